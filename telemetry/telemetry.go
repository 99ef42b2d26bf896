// Package telemetry holds what all packages use to report about themselves: the
// metrics registry with its reason counters, and the logger.
package telemetry

import (
	"fmt"
	"os"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// Metrics is the registry of one router. Each router has its own, so that
// several can run in one process.
type Metrics struct {
	Registry metrics.Registry
}

// NewMetrics returns an empty registry.
func NewMetrics() *Metrics {
	return &Metrics{Registry: metrics.NewRegistry()}
}

// Counter returns the counter with the name, and creates it at first use.
func (m *Metrics) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, m.Registry)
}

// Refused counts one refusal under refusals.<reason>.
func (m *Metrics) Refused(reason api.Refusal) {
	m.Counter("refusals." + string(reason)).Inc(1)
}

// Retried counts one retry under retries.<reason>.
func (m *Metrics) Retried(reason api.RetryReason) {
	m.Counter("retries." + string(reason)).Inc(1)
}

// NewLogger returns a logger that writes JSON lines to standard error. The
// level is debug, info, warn or error; the empty string means info.
func NewLogger(level string) (*zap.Logger, error) {
	if level == "" {
		level = "info"
	}
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", level, err)
	}
	settings := zap.NewProductionConfig()
	settings.Level = zap.NewAtomicLevelAt(parsed)
	settings.Sampling = nil
	settings.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	logger, err := settings.Build()
	if err != nil {
		return nil, fmt.Errorf("build logger: %w", err)
	}
	return logger, nil
}

const (
	// logBuffer bytes are held until they are written, every logFlush.
	logBuffer = 256 << 10
	logFlush  = 500 * time.Millisecond
	// logFirst lines of each message are written in a second, and of the others
	// each logThereafter-th.
	logFirst      = 30
	logThereafter = 50
)

// NewEdgeLogger returns the logger of a router on the platform: JSON lines on
// standard error, at a bounded rate for each message. Lines that are left out are
// counted under log.dropped. The function that is returned writes what is pending.
func NewEdgeLogger(router string, registry *Metrics) (*zap.Logger, func()) {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	dropped := registry.Counter("log.dropped")
	writer := newAsyncWriter(os.Stderr, logBuffer, logFlush, dropped)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), writer, zapcore.InfoLevel)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, logFirst, logThereafter,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				dropped.Inc(1)
			}
		}))
	return zap.New(sampled).With(zap.String("router", router)), writer.Close
}
