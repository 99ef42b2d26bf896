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
	// settingsPoll is the time between looks at the settings file, which may
	// change without a signal.
	settingsPoll = time.Second
	// heapShare is the part of the process's memory that the heap may take
	// before the collector works harder; the rest is for stacks and sockets.
	heapShare = 0.6
)

func addRouterCommand(app *kingpin.Application) {
	command := app.Command("router", "Run a router on the platform.")
	file := command.Flag("settings", "Settings file in TOML.").Envar("HORNBEAMPROXY_CONFIG").Required().String()
	command.Action(func(*kingpin.ParseContext) error {
		return runRouter(*file)
	})
}

// runRouter runs until SIGTERM or SIGINT; SIGHUP reads the settings again.
func runRouter(file string) error {
	settings, err := config.LoadEdge(file)
	if err != nil {
		return &exitError{code: exitProblems, err: err}
	}
	registry := telemetry.NewMetrics()
	logger, flush := telemetry.NewEdgeLogger(settings.Router.ID, registry)
	defer flush()
	if settings.Router.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.Router.MemoryMB) * heapShare * (1 << 20)))
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	reloads := make(chan *config.EdgeSettings)
	var group run.Group
	group.Add(func() error {
		return edge.Run(ctx, edge.Options{Settings: settings, Logger: logger, Metrics: registry, Reload: reloads})
	}, func(error) { stop() })
	done := make(chan struct{})
	group.Add(func() error { return awaitSignals(done, stop) }, func(error) { close(done) })
	ended := make(chan struct{})
	group.Add(func() error { return watchSettings(ended, file, reloads, logger) }, func(error) { close(ended) })
	if err := group.Run(); err != nil {
		logger.Error("router ended", zap.Error(err))
		return &exitError{code: exitProblems, err: err}
	}
	return nil
}

// watchSettings sends the settings on whenever the file has changed or SIGHUP
// arrives. Settings with problems are logged and left.
func watchSettings(done <-chan struct{}, file string, reloads chan<- *config.EdgeSettings, logger *zap.Logger) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	last := modified(file)
	for {
		select {
		case <-done:
			return nil
		case <-hangups:
		case <-ticker.C:
			if modified(file).Equal(last) {
				continue
			}
		}
		last = modified(file)
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

func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
