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
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

// scriptedSource is a source that answers each call with the next step, and blocks
// when there are no more.
type scriptedSource struct {
	mu    sync.Mutex
	steps []func(since uint64) ([]objectstore.Object, uint64, error)
	calls []string
}

func (s *scriptedSource) next(ctx context.Context, call string, since uint64) ([]objectstore.Object, uint64, error) {
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

func (s *scriptedSource) List(ctx context.Context, _ string, stale bool) ([]objectstore.Object, uint64, error) {
	if stale {
		return nil, 0, errors.New("a mirror must not read stale lists")
	}
	return s.next(ctx, "list", 0)
}

func (s *scriptedSource) Watch(ctx context.Context, _ string, since uint64, _ time.Duration) ([]objectstore.Object, uint64, error) {
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

func (r *recorder) ObjectsListed(objects []objectstore.Object) {
	for _, object := range objects {
		r.add("list " + object.Key)
	}
}
func (r *recorder) ObjectChanged(object objectstore.Object) { r.add("change " + object.Key) }
func (r *recorder) StoreUnavailable(time.Time, error)       { r.add("unavailable") }
func (r *recorder) StoreAvailable()                         { r.add("available") }

// peerStub is a fleet whose relays announce what the test sets.
type peerStub struct {
	mu      sync.Mutex
	relay   bool
	changed uint64
	fresh   bool
	// answeredAt is when the store answered the relays; zero means just now.
	answeredAt time.Time
	heard      bool
	published  []Batch
}

func (p *peerStub) RelayRole() (relay, first bool) { return p.relay, p.relay }

func (p *peerStub) RelayHead(string) Head {
	p.mu.Lock()
	defer p.mu.Unlock()
	answeredAt := p.answeredAt
	if answeredAt.IsZero() {
		answeredAt = time.Now()
	}
	return Head{Changed: p.changed, Fresh: p.fresh, AnsweredAt: answeredAt}
}

func (p *peerStub) set(changed uint64, fresh bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changed, p.fresh = changed, fresh
}

func (p *peerStub) RelaysHeard() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heard
}

func (p *peerStub) Announce(string, Head) {}

func (p *peerStub) Publish(batch Batch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.published = append(p.published, batch)
}

func replyWith(revision uint64, err error, keys ...string) func(uint64) ([]objectstore.Object, uint64, error) {
	return func(uint64) ([]objectstore.Object, uint64, error) {
		var objects []objectstore.Object
		for _, key := range keys {
			objects = append(objects, objectstore.Object{Key: key, Version: revision})
		}
		return objects, revision, err
	}
}

// Guards against these faults:
//   - Changes are missed after the store has compacted its history or was unavailable.
//   - The mirror reads a second list although a watch could continue from the first.
//   - The first call after an outage is a watch. It would return all changes since the
//     outage began, and could time out again and again.
func TestRun(t *testing.T) {
	var since []uint64
	watch := func(next func(uint64) ([]objectstore.Object, uint64, error)) func(uint64) ([]objectstore.Object, uint64, error) {
		return func(at uint64) ([]objectstore.Object, uint64, error) {
			since = append(since, at)
			return next(at)
		}
	}
	source := &scriptedSource{steps: []func(uint64) ([]objectstore.Object, uint64, error){
		replyWith(0, objectstore.ErrUnavailable),
		replyWith(5, nil, "a"),
		watch(replyWith(6, nil, "b")),
		watch(replyWith(0, objectstore.ErrUnavailable)),
		replyWith(7, nil, "b", "e"),
		watch(replyWith(0, objectstore.ErrCompacted)),
		replyWith(20, nil, "c"),
		watch(replyWith(21, nil, "d")),
	}}
	received := &recorder{}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- New(Config{
			Source: source, Kind: "k", WatchWait: time.Second, Receiver: received, Peers: &peerStub{relay: true}, Logger: zap.NewNop(),
		}).Run(ctx)
	}()
	want := []string{"unavailable", "list a", "available", "change b", "unavailable", "list b", "list e", "available", "list c", "change d"}
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
	assert.DeepEqual(t, since[:4], []uint64{5, 6, 7, 20})
	assert.DeepEqual(t, source.calls[:8], []string{"list", "list", "watch", "watch", "list", "watch", "list", "watch"})
}

// startMirror starts a mirror and returns it with a function that waits for events.
func startMirror(t *testing.T, source *scriptedSource, peers *peerStub) (*Mirror, func(want ...string)) {
	t.Helper()
	received := &recorder{}
	m := New(Config{Source: source, Kind: "k", WatchWait: time.Second, Receiver: received, Peers: peers, Logger: zap.NewNop()})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return m, func(want ...string) {
		t.Helper()
		deadline := time.Now().Add(5 * time.Second)
		for {
			received.mu.Lock()
			got := append([]string(nil), received.events...)
			received.mu.Unlock()
			if len(got) >= len(want) || time.Now().After(deadline) {
				assert.DeepEqual(t, got, want)
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func (s *scriptedSource) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

func newBatch(from, to uint64, keys ...string) Batch {
	batch := Batch{Kind: "k", From: from, To: to}
	for _, key := range keys {
		batch.Objects = append(batch.Objects, objectstore.Object{Key: key, Version: to})
	}
	return batch
}

// Guards against calls to the store although a relay publishes the changes, and against
// batches that are applied twice or out of order.
func TestFollow(t *testing.T) {
	source := &scriptedSource{steps: []func(uint64) ([]objectstore.Object, uint64, error){replyWith(5, nil, "a")}}
	m, events := startMirror(t, source, &peerStub{changed: 5, fresh: true})
	events("list a")
	m.Offer(newBatch(5, 8, "b"))
	m.Offer(newBatch(5, 8, "b"))
	m.Offer(newBatch(4, 7, "old"))
	m.Offer(newBatch(8, 9, "c"))
	events("list a", "change b", "change c")
	time.Sleep(2 * followInterval)
	assert.DeepEqual(t, source.calls, []string{"list"})
}

// Guards against an object that was deleted, or an old version, which a batch from before the
// first list of a router that has just started would bring back.
func TestBatchFromBeforeStart(t *testing.T) {
	release := make(chan struct{})
	source := &scriptedSource{steps: []func(uint64) ([]objectstore.Object, uint64, error){
		func(uint64) ([]objectstore.Object, uint64, error) {
			<-release
			return replyWith(5, nil, "a")(0)
		},
	}}
	m, events := startMirror(t, source, &peerStub{changed: 5, fresh: true})
	m.Offer(newBatch(2, 4, "deleted", "a"))
	close(release)
	events("list a")
	m.Offer(newBatch(3, 5, "deleted"))
	m.Offer(newBatch(5, 6, "b"))
	events("list a", "change b")
}

// Guards against missing the changes of a batch that was lost, has no objects, or starts
// after the known revision.
func TestFollowBehind(t *testing.T) {
	for name, offer := range map[string]func(m *Mirror, p *peerStub){
		"lost":    func(_ *Mirror, p *peerStub) { p.set(9, true) },
		"partial": func(m *Mirror, p *peerStub) { p.set(9, true); m.Offer(Batch{Kind: "k", From: 5, To: 9, Partial: true}) },
		"gap":     func(m *Mirror, p *peerStub) { p.set(9, true); m.Offer(newBatch(7, 9, "d")) },
	} {
		t.Run(name, func(t *testing.T) {
			source := &scriptedSource{steps: []func(uint64) ([]objectstore.Object, uint64, error){
				replyWith(5, nil, "a"), replyWith(9, nil, "missed"),
			}}
			peers := &peerStub{changed: 5, fresh: true}
			m, events := startMirror(t, source, peers)
			events("list a")
			offer(m, peers)
			events("list a", "change missed")
		})
	}
}

// Guards against a router that keeps following relays that can no longer reach the
// store.
func TestFollowUntilStale(t *testing.T) {
	source := &scriptedSource{steps: []func(uint64) ([]objectstore.Object, uint64, error){replyWith(5, nil, "a")}}
	peers := &peerStub{changed: 5, fresh: true}
	_, events := startMirror(t, source, peers)
	events("list a")
	peers.set(5, false)
	deadline := time.Now().Add(3 * time.Second)
	for source.count() < 2 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, source.count(), 2)
}

// Guards against a router that acts on an old state since the relays that it follows do not know
// yet that the store no longer answers them.
func TestFollowsOnlyAnsweredRelays(t *testing.T) {
	source := &scriptedSource{steps: []func(uint64) ([]objectstore.Object, uint64, error){replyWith(5, nil, "a"), replyWith(6, nil, "b")}}
	peers := &peerStub{changed: 5, fresh: true, heard: true}
	_, events := startMirror(t, source, peers)
	events("list a")
	time.Sleep(2 * followInterval)
	peers.mu.Lock()
	peers.answeredAt = time.Now()
	peers.mu.Unlock()
	began := time.Now()
	events("list a", "change b")
	assert.Assert(t, time.Since(began) < maxKnowledgeAge+100*time.Millisecond, "%s", time.Since(began))
}

// Guards against a router whose own knowledge grows older than a change may take, since a watch
// waits although the answer before it is old, or takes an answer that was held up for a new one.
func TestWatchWaitDependsOnAge(t *testing.T) {
	now := time.Unix(1000, 0)
	for age, want := range map[time.Duration]time.Duration{
		0: 800 * time.Millisecond, 400 * time.Millisecond: 400 * time.Millisecond,
		time.Second: catchUpWatchWait, time.Minute: catchUpWatchWait,
	} {
		assert.Equal(t, watchWait(now, now.Add(-age), false, 800*time.Millisecond), want, "%s", age)
	}
	assert.Equal(t, watchWait(now, now, true, 800*time.Millisecond), catchUpWatchWait)
	assert.Equal(t, answeredBy(now, now.Add(1400*time.Millisecond), 800*time.Millisecond, 0), now.Add(800*time.Millisecond))
	assert.Equal(t, answeredBy(now, now.Add(100*time.Millisecond), 800*time.Millisecond, 1), now.Add(100*time.Millisecond))
}

// Guards against an outage that lasts for good, so that endpoints without an entry are kept, for a
// router whose only call failed just before it followed the relays again.
func TestRelaysEndOutage(t *testing.T) {
	source := &scriptedSource{steps: []func(uint64) ([]objectstore.Object, uint64, error){replyWith(5, nil, "a"), replyWith(0, objectstore.ErrUnavailable)}}
	peers := &peerStub{changed: 5, fresh: true, heard: true}
	_, events := startMirror(t, source, peers)
	events("list a")
	time.Sleep(startGrace)
	peers.set(5, false)
	events("list a", "unavailable")
	peers.set(5, true)
	events("list a", "unavailable", "available")
}

// Guards against a watch of which nothing is heard that hides changes for longer than they may take.
func TestSilentWatchIsGivenUp(t *testing.T) {
	source := &scriptedSource{steps: []func(uint64) ([]objectstore.Object, uint64, error){replyWith(5, nil, "a")}}
	received := &recorder{}
	m := New(Config{
		Source: source, Kind: "k", WatchWait: 800 * time.Millisecond, Receiver: received, Peers: &peerStub{relay: true}, Logger: zap.NewNop(),
	})
	assert.NilError(t, m.list(context.Background()))
	began := time.Now()
	assert.ErrorContains(t, m.watch(context.Background()), "deadline")
	assert.Assert(t, time.Since(began) <= maxKnowledgeAge+50*time.Millisecond)
}

// Guards against two faults: a batch is not applied while the router's own watch is
// pending; the late result of that watch restores an older version.
func TestBatchDuringWatch(t *testing.T) {
	release := make(chan struct{})
	source := &scriptedSource{steps: []func(uint64) ([]objectstore.Object, uint64, error){
		replyWith(5, nil, "a"),
		func(uint64) ([]objectstore.Object, uint64, error) {
			<-release
			return replyWith(7, nil, "b")(0)
		},
	}}
	m, events := startMirror(t, source, &peerStub{relay: true})
	events("list a")
	m.Offer(newBatch(5, 8, "b"))
	events("list a", "change b")
	close(release)
	time.Sleep(50 * time.Millisecond)
	events("list a", "change b")
}

// Guards against reading every change of a large object when only its newest version
// counts.
func TestListToCatchUp(t *testing.T) {
	source := &scriptedSource{steps: []func(uint64) ([]objectstore.Object, uint64, error){
		replyWith(5, nil, "a"), replyWith(9, nil, "newest"),
	}}
	peers := &peerStub{changed: 5, fresh: true}
	received := &recorder{}
	m := New(Config{
		Source: source, Kind: "k", WatchWait: time.Second, ListToCatchUp: true, Receiver: received, Peers: peers, Logger: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	for source.count() < 1 {
		time.Sleep(time.Millisecond)
	}
	peers.set(9, true)
	m.Offer(Batch{Kind: "k", From: 5, To: 9, Partial: true})
	deadline := time.Now().Add(3 * time.Second)
	for source.count() < 2 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	cancel()
	assert.NilError(t, <-done)
	assert.DeepEqual(t, source.calls, []string{"list", "list"})
	assert.DeepEqual(t, received.events, []string{"list a", "list newest"})
}

// Guards against a relay that makes all other routers list the kind after each list of its
// own: it must publish what has changed, including what is gone.
func TestRelayPublishesChangesOfList(t *testing.T) {
	source := &scriptedSource{steps: []func(uint64) ([]objectstore.Object, uint64, error){
		replyWith(5, nil, "kept", "gone"),
		replyWith(0, objectstore.ErrCompacted),
		func(uint64) ([]objectstore.Object, uint64, error) {
			return []objectstore.Object{{Key: "kept", Version: 5}, {Key: "new", Version: 8}}, 9, nil
		},
	}}
	peers := &peerStub{relay: true}
	_, events := startMirror(t, source, peers)
	events("list kept", "list gone", "list kept", "list new")
	peers.mu.Lock()
	defer peers.mu.Unlock()
	assert.DeepEqual(t, peers.published, []Batch{
		{Kind: "k", To: 5, Partial: true},
		{Kind: "k", From: 5, To: 9, Partial: true, Listed: true, Objects: []objectstore.Object{
			{Key: "new", Version: 8}, {Key: "gone", Version: 9, Deleted: true},
		}},
	})
}

// Guards against keeping an endpoint that was created and deleted between two lists of a
// relay: the difference of the lists does not show it, so that a router which knows of it must
// list the kind itself.
func TestListedBatchNeedsSameState(t *testing.T) {
	listed := newBatch(5, 9, "new")
	listed.Partial, listed.Listed = true, true
	for name, c := range map[string]struct {
		first []Batch
		lists int
	}{
		"same state":    {nil, 1},
		"later changes": {[]Batch{newBatch(5, 7, "brief")}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			source := &scriptedSource{steps: []func(uint64) ([]objectstore.Object, uint64, error){replyWith(5, nil, "a"), replyWith(9, nil, "new")}}
			peers := &peerStub{changed: 5, fresh: true}
			m, events := startMirror(t, source, peers)
			events("list a")
			for _, batch := range c.first {
				m.Offer(batch)
			}
			time.Sleep(50 * time.Millisecond)
			peers.set(9, true)
			m.Offer(listed)
			deadline := time.Now().Add(time.Second)
			for source.count() < c.lists && time.Now().Before(deadline) {
				time.Sleep(5 * time.Millisecond)
			}
			time.Sleep(2 * relayTimeout)
			assert.Equal(t, source.count(), c.lists)
		})
	}
}

// Guards against a fleet whose routers all watch the store at their start, although a relay
// is found a moment later.
func TestAwaitsRelaysAtStart(t *testing.T) {
	source := &scriptedSource{steps: []func(uint64) ([]objectstore.Object, uint64, error){replyWith(5, nil, "a")}}
	peers := &peerStub{}
	_, events := startMirror(t, source, peers)
	events("list a")
	time.Sleep(startGrace / 2)
	peers.set(5, true)
	time.Sleep(startGrace)
	assert.DeepEqual(t, source.calls, []string{"list"})
}

// Guards against a router that starts in an outage and keeps for long to its first list, which
// lacks the entries that expired in the outage.
func TestStartInOutageWatchesAtOnce(t *testing.T) {
	source := &scriptedSource{steps: []func(uint64) ([]objectstore.Object, uint64, error){
		replyWith(0, objectstore.ErrUnavailable), replyWith(5, nil, "a"), replyWith(6, nil, "back"),
	}}
	began := time.Now()
	_, events := startMirror(t, source, &peerStub{})
	events("unavailable", "list a", "available", "change back")
	assert.Assert(t, time.Since(began) < startGrace)
}

// Guards against a router that acts on an old state for seconds since one of its watches was cut
// off, while the relays are cut off from a store that answers everybody else.
func TestCutWatchIsNoOutage(t *testing.T) {
	source := &scriptedSource{steps: []func(uint64) ([]objectstore.Object, uint64, error){
		replyWith(5, nil, "a"), replyWith(0, objectstore.ErrUnavailable), replyWith(6, nil, "b"),
	}}
	_, events := startMirror(t, source, &peerStub{heard: true})
	events("list a")
	began := time.Now()
	events("list a", "unavailable", "list b", "available")
	assert.Assert(t, time.Since(began) < startGrace+500*time.Millisecond, "%s", time.Since(began))
}

// Guards against three faults in an outage of the store that the relays see as well: the mirrors
// of a router call the store without measure; the router does not call it for longer than a change
// may take; it does not learn from the relays that the store is back.
func TestMirrorsShareProbesInOutage(t *testing.T) {
	const outage = 5 * time.Second
	source := &failingSource{}
	peers := &peerStub{changed: 5, fresh: true, heard: true}
	access := &Access{}
	ctx, cancel := context.WithCancel(context.Background())
	var mirrors sync.WaitGroup
	all := make([]*Mirror, 3)
	for i := range all {
		all[i] = New(Config{Source: source, Kind: "k", WatchWait: time.Second, Receiver: &recorder{}, Peers: peers, Access: access, Logger: zap.NewNop()})
		mirrors.Go(func() { _ = all[i].Run(ctx) })
	}
	defer mirrors.Wait()
	defer cancel()
	time.Sleep(startGrace)
	assert.Equal(t, len(source.failed()), 0, "the relays are followed")
	began := time.Now()
	peers.set(5, false)
	time.Sleep(outage)
	peers.set(8, true)
	for _, m := range all {
		m.Offer(newBatch(5, 8, "b"))
	}
	time.Sleep(probeCheckInterval)
	calls := source.failed()
	// A watch and a list of each mirror, one probe at once, and one for each minProbeInterval.
	most := 2*len(all) + 1 + int(outage/minProbeInterval)
	assert.Assert(t, len(calls) <= most, "%d calls", len(calls))
	last := began
	for _, at := range append(calls, began.Add(outage)) {
		assert.Assert(t, at.Sub(last) < 2*time.Second, "no call for %s", at.Sub(last))
		last = at
	}
	time.Sleep(2 * relayTimeout)
	assert.Equal(t, len(source.failed()), len(calls), "the changes came from the relay")
}

// failingSource answers the first list of each mirror; all further calls fail.
type failingSource struct {
	mu    sync.Mutex
	lists int
	calls []time.Time
}

func (s *failingSource) List(context.Context, string, bool) ([]objectstore.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lists++; s.lists <= 3 {
		return []objectstore.Object{{Key: "a", Version: 5}}, 5, nil
	}
	s.calls = append(s.calls, time.Now())
	return nil, 0, objectstore.ErrUnavailable
}

func (s *failingSource) Watch(context.Context, string, uint64, time.Duration) ([]objectstore.Object, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, time.Now())
	return nil, 0, objectstore.ErrUnavailable
}

func (s *failingSource) failed() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.calls...)
}

// panicking is a receiver with a fault that one object shows.
type panicking struct{ *recorder }

func (p panicking) ObjectChanged(object objectstore.Object) {
	if object.Key == "bad" {
		panic("unexpected object")
	}
	p.recorder.ObjectChanged(object)
}

// Guards against one unexpected object that ends the process or hides the objects after it.
func TestUnexpectedObject(t *testing.T) {
	received := &recorder{}
	m := New(Config{
		Kind: "k", Receiver: panicking{received}, Logger: zap.NewNop(),
		Guard: telemetry.Guard{Logger: zap.NewNop(), Metrics: telemetry.NewMetrics()},
	})
	m.applyObjects(newBatch(1, 2, "a", "bad", "b").Objects)
	assert.DeepEqual(t, received.events, []string{"change a", "change b"})
}

// Guards against sending every version of an object that changed several times in a row.
func TestNewestOfEach(t *testing.T) {
	object := func(key string, version uint64) objectstore.Object {
		return objectstore.Object{Key: key, Version: version}
	}
	got := newestOfEach([]objectstore.Object{object("a", 1), object("b", 2), object("a", 3), object("a", 4)})
	assert.DeepEqual(t, got, []objectstore.Object{object("b", 2), object("a", 4)})
}
