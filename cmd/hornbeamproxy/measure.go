package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/measure"
)

const (
	defaultSeed = "1"
	// bothSites is the value of --site that selects both sites. A site is a simulated
	// fleet, whose size is given in the design.
	bothSites = "both"
)

func addMeasureCommand(app *kingpin.Application) {
	command := app.Command("measure", "Measure the design's targets against simulated endpoints, all on loopback in one process.")
	site := command.Flag("site", "Site to measure: zhetisu, tamarind or both.").Default(bothSites).Enum("zhetisu", "tamarind", bothSites)
	only := command.Flag("only", "Run one measure only.").Enum(measure.Names...)
	output := command.Flag("output", "Format of the table: text or json.").Default("text").Enum("text", "json")
	seed := command.Flag("seed", "Seed of the workloads.").Default(defaultSeed).Uint64()
	command.Action(func(*kingpin.ParseContext) error {
		sites := []string{*site}
		if *site == bothSites {
			sites = []string{"zhetisu", "tamarind"}
		}
		return runMeasure(measure.Options{Sites: sites, Only: *only, Seed: *seed}, *output)
	})
}

func runMeasure(o measure.Options, output string) error {
	o.Logger = zap.NewNop()
	o.Progress = os.Stderr
	fmt.Fprintln(os.Stderr, "seed", o.Seed)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	rows, err := measure.Run(ctx, o)
	if err != nil && !errors.Is(err, measure.ErrMissed) {
		return err
	}
	write := measure.WriteText
	if output == "json" {
		write = measure.WriteJSON
	}
	if err := write(os.Stdout, rows); err != nil {
		return err
	}
	if err != nil {
		return &exitError{code: exitProblems, err: err}
	}
	return nil
}
