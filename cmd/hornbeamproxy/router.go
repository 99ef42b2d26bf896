package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/config"
	"github.com/hornbeamproxy/hornbeamproxy/edge"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

const (
	// settingsPollInterval is the time between two checks of whether the settings file
	// has changed. The file is checked because not every change is followed by SIGHUP.
	settingsPollInterval = time.Second
	// memoryLimitFraction is the fraction of router.memory_mb that is set as the memory
	// limit of the Go runtime. Above that limit the garbage collector runs more often.
	// The rest of router.memory_mb is for the program itself and for what the collector is late.
	memoryLimitFraction = 0.85
)

// addRouterCommand adds the command that runs a router which takes its configuration
// from the platform. Package edge implements it.
func addRouterCommand(app *kingpin.Application) {
	command := app.Command("router", "Run a router on the platform.")
	file := command.Flag("settings", "Settings file in TOML.").Envar("HORNBEAMPROXY_CONFIG").Required().String()
	command.Action(func(*kingpin.ParseContext) error {
		return runRouter(*file)
	})
}

// runRouter runs a router until SIGTERM or SIGINT. SIGHUP reloads the settings.
func runRouter(file string) error {
	settings, err := config.LoadEdge(file)
	if err != nil {
		return &exitError{code: exitProblems, err: err}
	}
	registry := telemetry.NewMetrics()
	logger, flush := telemetry.NewRouterLogger(settings.Router.ID, registry)
	defer flush()
	if settings.Router.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.Router.MemoryMB) * memoryLimitFraction * (1 << 20)))
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	reloads := make(chan *config.EdgeSettings)
	var group run.Group
	group.Add(func() error {
		return edge.Run(ctx, edge.Options{Settings: settings, Logger: logger, Metrics: registry, Reload: reloads})
	}, func(error) { stop() })
	signalsDone := make(chan struct{})
	group.Add(func() error { return awaitSignals(signalsDone, stop) }, func(error) { close(signalsDone) })
	watchDone := make(chan struct{})
	group.Add(func() error { return watchSettings(watchDone, file, reloads, logger) }, func(error) { close(watchDone) })
	if err := group.Run(); err != nil {
		logger.Error("router stopped with an error", zap.Error(err))
		return &exitError{code: exitProblems, err: err}
	}
	return nil
}

// watchSettings sends the settings to reloads whenever the file has changed or SIGHUP
// arrives. Invalid settings are logged and not sent.
func watchSettings(done <-chan struct{}, file string, reloads chan<- *config.EdgeSettings, logger *zap.Logger) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last := modificationTime(file)
	for {
		select {
		case <-done:
			return nil
		case <-hangups:
		case <-ticker.C:
			if modificationTime(file).Equal(last) {
				continue
			}
		}
		last = modificationTime(file)
		settings, err := config.LoadEdge(file)
		if err != nil {
			logger.Error("settings not reloaded", zap.Error(err))
			continue
		}
		select {
		case reloads <- settings:
		case <-done:
			return nil
		}
	}
}

// modificationTime returns the file's modification time, or the zero time if it can't be
// read.
func modificationTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
