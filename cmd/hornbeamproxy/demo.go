package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/demo"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

func addDemoCommand(app *kingpin.Application) {
	command := app.Command("demo", "Run a short scenario against simulated endpoints, all on loopback in one process.")
	keep := command.Flag("keep", "Keep the fleet running after the scenario.").Bool()
	verbose := command.Flag("verbose", "Print the routers' logs to standard error.").Bool()
	command.Action(func(*kingpin.ParseContext) error {
		return runDemo(*keep, *verbose)
	})
}

func runDemo(keep, verbose bool) error {
	logger := zap.NewNop()
	if verbose {
		var err error
		if logger, err = telemetry.NewLogger("debug"); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := demo.Run(ctx, demo.Options{Out: os.Stdout, Keep: keep, Logger: logger})
	if errors.Is(err, demo.ErrGuaranteeBroken) {
		return &exitError{code: exitProblems, err: err}
	}
	return err
}
