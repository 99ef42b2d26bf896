package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	mu      sync.Mutex
	release chan struct{}
	bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// Guards against a log that blocks requests when its output is not read, and
// against lines that are dropped without being counted.
func TestAsyncWriter(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	dropped := NewMetrics().Counter("dropped")
	w := newAsyncWriter(out, 1000, time.Millisecond, dropped)
	line := []byte(strings.Repeat("x", 99) + "\n")
	began := time.Now()
	const lines = 100
	for range lines {
		_, err := w.Write(line)
		assert.NilError(t, err)
		time.Sleep(100 * time.Microsecond)
	}
	assert.Assert(t, time.Since(began) < time.Second)
	assert.Assert(t, dropped.Count() > 0)
	close(out.release)
	w.Close()
	written := int64(out.Len() / len(line))
	assert.Equal(t, written+dropped.Count(), int64(lines))
}
