package mirror

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

// scripted is a source whose answers are set one by one; without one it waits.
type scripted struct {
	mu    sync.Mutex
	steps []func(since uint64) ([]objectstore.Object, uint64, error)
	calls []string
}

func (s *scripted) next(ctx context.Context, call string, since uint64) ([]objectstore.Object, uint64, error) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	if len(s.steps) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	s.mu.Unlock()
	return step(since)
}

func (s *scripted) List(ctx context.Context, _ string, stale bool) ([]objectstore.Object, uint64, error) {
	if stale {
		return nil, 0, errors.New("a mirror must not read stale lists")
	}
	return s.next(ctx, "list", 0)
}

func (s *scripted) Watch(ctx context.Context, _ string, since uint64, _ time.Duration) ([]objectstore.Object, uint64, error) {
	return s.next(ctx, "watch", since)
}

type recorder struct {
	mu     sync.Mutex
	events []string
}

func (r *recorder) add(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
}

func (r *recorder) Replace(objects []objectstore.Object) {
	for _, object := range objects {
		r.add("list " + object.Key)
	}
}
func (r *recorder) Change(object objectstore.Object) { r.add("change " + object.Key) }
func (r *recorder) Lost(error)                       { r.add("lost") }
func (r *recorder) Found()                           { r.add("found") }

// fakePeers is a fleet whose relays announce what a test sets.
type fakePeers struct {
	mu        sync.Mutex
	relay     bool
	changed   uint64
	fresh     bool
	published []News
}

func (p *fakePeers) Relay() bool { return p.relay }

func (p *fakePeers) Head(string) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed, p.fresh
}

func (p *fakePeers) set(changed uint64, fresh bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changed, p.fresh = changed, fresh
}

func (p *fakePeers) Announce(string, Head) {}

func (p *fakePeers) Publish(news News) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.published = append(p.published, news)
}

func reply(revision uint64, err error, keys ...string) func(uint64) ([]objectstore.Object, uint64, error) {
	return func(uint64) ([]objectstore.Object, uint64, error) {
		var objects []objectstore.Object
		for _, key := range keys {
			objects = append(objects, objectstore.Object{Key: key, Version: revision})
		}
		return objects, revision, err
	}
}

// Guards against changes that are missed when the store has dropped its history
// or was away, and against a second list where a watch can go on.
func TestRun(t *testing.T) {
	var since []uint64
	watch := func(next func(uint64) ([]objectstore.Object, uint64, error)) func(uint64) ([]objectstore.Object, uint64, error) {
		return func(at uint64) ([]objectstore.Object, uint64, error) {
			since = append(since, at)
			return next(at)
		}
	}
	source := &scripted{steps: []func(uint64) ([]objectstore.Object, uint64, error){
		reply(0, objectstore.ErrUnavailable),
		reply(5, nil, "a"),
		watch(reply(6, nil, "b")),
		watch(reply(0, objectstore.ErrUnavailable)),
		watch(reply(7, nil)),
		watch(reply(0, objectstore.ErrCompacted)),
		reply(20, nil, "c"),
		watch(reply(21, nil, "d")),
	}}
	received := &recorder{}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- New(Config{
			Source: source, Kind: "k", Wait: time.Second, Receiver: received, Peers: &fakePeers{relay: true}, Logger: zap.NewNop(),
		}).Run(ctx)
	}()
	want := []string{"lost", "list a", "found", "change b", "lost", "found", "list c", "change d"}
	deadline := time.Now().Add(5 * time.Second)
	for {
		received.mu.Lock()
		n := len(received.events)
		received.mu.Unlock()
		if n >= len(want) || time.Now().After(deadline) {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	assert.NilError(t, <-done)
	assert.DeepEqual(t, received.events, want)
	assert.DeepEqual(t, since[:5], []uint64{5, 6, 6, 7, 20})
}
