package telemetry

import (
	"io"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// asyncWriter buffers lines and writes them to out at a fixed interval, so that
// Write never waits for out. Lines that exceed the buffer are dropped and counted.
type asyncWriter struct {
	out        io.Writer
	limitBytes int
	dropped    metrics.Counter

	mu      sync.Mutex
	pending []byte
	writing []byte
	stop    chan struct{}
	stopped chan struct{}
}

func newAsyncWriter(out io.Writer, limit int, interval time.Duration, dropped metrics.Counter) *asyncWriter {
	w := &asyncWriter{out: out, limitBytes: limit, dropped: dropped, stop: make(chan struct{}), stopped: make(chan struct{})}
	go w.run(interval)
	return w
}

// Write buffers a line. It never fails and never waits for the output.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > w.limitBytes {
		w.dropped.Inc(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Sync does nothing: the buffered lines are written at the next interval.
func (w *asyncWriter) Sync() error { return nil }

func (w *asyncWriter) run(interval time.Duration) {
	defer close(w.stopped)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			w.flush()
			return
		case <-ticker.C:
			w.flush()
		}
	}
}

func (w *asyncWriter) flush() {
	w.mu.Lock()
	w.writing, w.pending = w.pending, w.writing[:0]
	w.mu.Unlock()
	if len(w.writing) > 0 {
		// The error is ignored: a failure to write the log cannot be logged.
		_, _ = w.out.Write(w.writing)
	}
}

// Close writes the buffered lines and stops the writer. It must be called at
// most once. Lines that are written after it are lost.
func (w *asyncWriter) Close() {
	close(w.stop)
	<-w.stopped
}
