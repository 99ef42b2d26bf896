// Package telemetry provides the metrics registry, with counters of refusals and
// retries by reason, and the loggers.
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

// Counter returns the counter with the name and creates it if it does not exist.
func (m *Metrics) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, m.Registry)
}

// CountRefusal counts one refusal under refusals.<reason>.
func (m *Metrics) CountRefusal(reason api.Refusal) {
	m.Counter("refusals." + string(reason)).Inc(1)
}

// CountRetry counts one retry under retries.<reason>.
func (m *Metrics) CountRetry(reason api.RetryReason) {
	m.Counter("retries." + string(reason)).Inc(1)
}

// NewLogger returns a logger that writes JSON lines to standard error. The
// level is debug, info, warn or error; the empty string means info. It returns an
// error for a level that zap does not know.
func NewLogger(level string) (*zap.Logger, error) {
	if level == "" {
		level = "info"
	}
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("parsing log level %q: %w", level, err)
	}
	settings := zap.NewProductionConfig()
	settings.Level = zap.NewAtomicLevelAt(parsed)
	settings.Sampling = nil
	settings.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	logger, err := settings.Build()
	if err != nil {
		return nil, fmt.Errorf("building logger: %w", err)
	}
	return logger, nil
}

const (
	// Up to logBufferBytes of log lines are buffered; they are written every
	// logFlushInterval.
	logBufferBytes   = 256 << 10
	logFlushInterval = 500 * time.Millisecond
	// In each second, the first logSampleFirst lines with the same message are
	// written, and then every logSampleThereafter-th.
	logSampleFirst      = 30
	logSampleThereafter = 50
)

// NewRouterLogger returns the logger of a router on the platform. It writes JSON
// lines of level info and above to standard error, without blocking the caller. Lines with
// the same message are sampled. Lines that are dropped are counted under
// log.dropped. The returned function writes the buffered lines and stops the writer;
// it must be called at most once.
func NewRouterLogger(router string, registry *Metrics) (*zap.Logger, func()) {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	dropped := registry.Counter("log.dropped")
	writer := newAsyncWriter(os.Stderr, logBufferBytes, logFlushInterval, dropped)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), writer, zapcore.InfoLevel)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, logSampleFirst, logSampleThereafter,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				dropped.Inc(1)
			}
		}))
	return zap.New(sampled).With(zap.String("router", router)), writer.Close
}
