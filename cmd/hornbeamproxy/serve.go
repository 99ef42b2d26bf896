package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/oklog/run"

	"github.com/hornbeamproxy/hornbeamproxy/config"
	"github.com/hornbeamproxy/hornbeamproxy/server"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

// addServeCommand adds the command that runs a router which takes its configuration from
// the settings file and from release notes. Package server implements it.
func addServeCommand(app *kingpin.Application) {
	command := app.Command("serve", "Run a router.")
	file := command.Flag("settings", "Settings file in TOML.").Required().String()
	command.Action(func(*kingpin.ParseContext) error {
		return serve(*file)
	})
}

// serve runs a router until SIGTERM or SIGINT. A second signal ends the process at once
// and aborts the requests in progress.
func serve(file string) error {
	settings, err := config.Load(file)
	if err != nil {
		return &exitError{code: exitProblems, err: err}
	}
	secrets, err := config.ReadSecrets(settings)
	if err != nil {
		return &exitError{code: exitProblems, err: err}
	}
	logger, err := telemetry.NewLogger(settings.Log.Level)
	if err != nil {
		return &exitError{code: exitProblems, err: err}
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var group run.Group
	group.Add(func() error {
		return server.Run(ctx, server.Options{Settings: settings, Secrets: secrets, Logger: logger})
	}, func(error) { stop() })
	done := make(chan struct{})
	group.Add(func() error { return awaitSignals(done, stop) }, func(error) { close(done) })
	if err := group.Run(); err != nil {
		return &exitError{code: exitProblems, err: err}
	}
	return nil
}

// awaitSignals calls stop at the first SIGTERM or SIGINT and returns when done is closed,
// which is once the router has stopped. A second signal ends the process.
func awaitSignals(done <-chan struct{}, stop func()) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	select {
	case <-signals:
		stop()
	case <-done:
		return nil
	}
	select {
	case received := <-signals:
		fmt.Fprintln(os.Stderr, "hornbeamproxy: ended by a second signal:", received)
		os.Exit(exitProblems)
	case <-done:
	}
	return nil
}
