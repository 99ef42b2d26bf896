// Package mirror keeps a local copy of the objects of one kind in the store, by
// listing them once and watching what changes.
package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

const (
	// firstPause and longestPause bound the time between calls that fail. An
	// outage must be found over well within the 2 s that bounds allow.
	firstPause   = 100 * time.Millisecond
	longestPause = 700 * time.Millisecond
)

// Receiver takes the changes of a mirror. All calls come from one goroutine.
type Receiver interface {
	// Replace is called with a complete list.
	Replace(objects []objectstore.Object)
	// Change is called for each object that changed or was deleted.
	Change(object objectstore.Object)
	// Lost and Found are called when the store stops answering and answers again;
	// Lost is called for each failed call.
	Lost(err error)
	Found()
}

// Config holds what a mirror needs.
type Config struct {
	Source objectstore.Source
	Kind   string
	// Wait is the longest time that one watch waits. A store that has lost its
	// history leaves watches waiting without their events; only the next watch
	// finds out.
	Wait     time.Duration
	Receiver Receiver
	Logger   *zap.Logger
}

// Run mirrors a kind until ctx ends.
func Run(ctx context.Context, config Config) error {
	m := &loop{Config: config}
	for ctx.Err() == nil {
		if err := m.step(ctx); err != nil {
			m.failed(ctx, err)
			continue
		}
		m.answered()
	}
	return nil
}

type loop struct {
	Config
	listed   bool
	revision uint64
	failures int
	since    time.Time // of the outage
}

// step makes one call and passes on what it brought.
func (m *loop) step(ctx context.Context) error {
	if !m.listed {
		objects, revision, err := m.Source.List(ctx, m.Kind, false)
		if err != nil {
			return err
		}
		m.listed, m.revision = true, revision
		m.Receiver.Replace(objects)
		return nil
	}
	objects, revision, err := m.Source.Watch(ctx, m.Kind, m.revision, m.Wait)
	if errors.Is(err, objectstore.ErrCompacted) {
		m.Logger.Info("watch history compacted", zap.String("kind", m.Kind), zap.Uint64("revision", m.revision))
		m.listed = false
		return nil
	}
	if err != nil {
		return err
	}
	m.revision = revision
	for _, object := range objects {
		m.Receiver.Change(object)
	}
	return nil
}

func (m *loop) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if m.failures == 0 {
		m.since = time.Now()
		m.Logger.Warn("store lost", zap.String("kind", m.Kind), zap.Uint64("revision", m.revision), zap.Error(err))
	}
	m.failures++
	m.Receiver.Lost(err)
	pause := min(firstPause<<min(m.failures-1, 8), longestPause)
	timer := time.NewTimer(pause/2 + rand.N(pause/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (m *loop) answered() {
	if m.failures == 0 {
		return
	}
	m.Logger.Info("store found", zap.String("kind", m.Kind), zap.Uint64("revision", m.revision),
		zap.Duration("outage", time.Since(m.since)), zap.Int("failed_calls", m.failures))
	m.failures = 0
	m.Receiver.Found()
}
