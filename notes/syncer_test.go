package notes

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

// faultyStore fails all calls if down is set, and reads of states if noStates is set.
// Get returns staleHead as the head if it is set.
type faultyStore struct {
	*objectstore.Memory
	down      atomic.Bool
	noStates  atomic.Bool
	staleHead atomic.Pointer[objectstore.Object]
}

func (s *faultyStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if s.down.Load() || (s.noStates.Load() && key != HeadKey) {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	if stale := s.staleHead.Load(); stale != nil && key == HeadKey {
		return *stale, nil
	}
	return s.Memory.Get(ctx, key)
}

func (s *faultyStore) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]objectstore.Object, uint64, error) {
	if s.down.Load() {
		return nil, 0, objectstore.ErrUnavailable
	}
	objects, next, err := s.Memory.Watch(ctx, prefix, since, wait)
	if s.down.Load() { // an outage also fails the long polls in progress
		return nil, 0, objectstore.ErrUnavailable
	}
	return objects, next, err
}

// directPeers is a PeerNotesReader that calls other syncers directly, by peer name.
type directPeers map[string]func(after uint64) (api.NotesReply, error)

func (p directPeers) Notes(_ context.Context, peer string, after uint64) (api.NotesReply, error) {
	call, ok := p[peer]
	if !ok {
		return api.NotesReply{}, errors.New("no such peer")
	}
	return call(after)
}

func (p directPeers) add(name string, s *Syncer) {
	p[name] = func(after uint64) (api.NotesReply, error) { return s.Reply(api.NotesRequest{After: after}), nil }
}

// noteHistory holds the heads and states after each of a sequence of accepted notes,
// indexed by revision.
type noteHistory struct {
	store  *objectstore.Memory
	heads  []api.NoteHead
	states []fleet.State
}

func newNoteHistory(t assert.TestingT, count int) noteHistory {
	history := noteHistory{store: objectstore.NewMemory(), heads: []api.NoteHead{{}}, states: []fleet.State{{}}}
	acceptor := testAcceptor(history.store)
	for i := range count {
		_, err := acceptor.Accept(context.Background(), addZone(fmt.Sprintf("zone-%d", i)))
		assert.NilError(t, err)
		_, head, err := readHead(context.Background(), history.store)
		assert.NilError(t, err)
		state, err := readState(context.Background(), history.store, head)
		assert.NilError(t, err)
		history.heads, history.states = append(history.heads, head), append(history.states, state)
	}
	return history
}

// Heads are stale; replies of peers are late, repeated, incomplete or corrupted; the
// router restarts during outages. Guards against these faults: the router goes back to
// an older revision; its state does not match its revision.
func TestSyncerNeverGoesBack(t *testing.T) {
	const revisions = 40 // more than a head lists
	history := newNoteHistory(t, revisions)
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		store := &faultyStore{Memory: history.store}
		peers := directPeers{}
		var s *Syncer
		last := uint64(0)
		start := func() {
			s = NewSyncer(SyncerOptions{Store: store, Peers: peers})
			s.OnChange(func(before, after *fleet.View) {
				assert.Assert(t, after.Revision() > before.Revision())
			})
			last = 0
		}
		start()
		pick := func(label string) int { return rapid.IntRange(0, revisions).Draw(t, label) }
		t.Repeat(map[string]func(*rapid.T){
			"head": func(*rapid.T) {
				head := history.heads[pick("revision")]
				store.noStates.Store(rapid.Bool().Draw(t, "states unreadable"))
				_ = s.applyHead(ctx, head)
			},
			"peer": func(*rapid.T) {
				at := pick("peer's revision")
				reply := planReply(history.states[at], history.heads[at].Recent, uint64(pick("after")))
				_ = s.applyReply(corruptReply(t, reply))
			},
			"restart": func(*rapid.T) {
				start()
				at := pick("peer's revision")
				peers["a"] = func(after uint64) (api.NotesReply, error) {
					return planReply(history.states[at], history.heads[at].Recent, after), nil
				}
				store.down.Store(true)
				assert.NilError(t, s.Start(ctx, []string{"a", "unreachable"}))
				store.down.Store(false)
				assert.Equal(t, s.Revision(), uint64(at))
			},
			"": func(*rapid.T) {
				assert.Assert(t, s.Revision() >= last)
				last = s.Revision()
				digest, err := fleet.Digest(s.View().State())
				assert.NilError(t, err)
				if last > 0 {
					assert.Equal(t, digest, history.heads[last].Digest)
				}
			},
		})
		store.noStates.Store(false)
		_ = s.applyHead(ctx, history.heads[revisions])
		assert.Equal(t, s.Revision(), uint64(revisions))
	})
}

// corruptReply returns a reply unchanged or with one fault.
func corruptReply(t *rapid.T, reply api.NotesReply) api.NotesReply {
	reply.Notes = slices.Clone(reply.Notes)
	switch rapid.IntRange(0, 4).Draw(t, "alteration") {
	case 1:
		reply.Notes = rapid.Permutation(reply.Notes).Draw(t, "order")
	case 2:
		if len(reply.Notes) > 0 {
			reply.Notes[rapid.IntRange(0, len(reply.Notes)-1).Draw(t, "note")].Note = addZone("wrong")
		}
	case 3:
		if reply.State != nil {
			wrong := *reply.State
			wrong.Zones = append(slices.Clone(wrong.Zones), api.Zone{ID: "wrong"})
			reply.State = &wrong
		}
	case 4:
		if len(reply.Notes) > 1 {
			reply.Notes = slices.Delete(reply.Notes, 0, 1)
		}
	}
	return reply
}

func waitRevision(t *testing.T, s *Syncer, revision uint64) time.Duration {
	t.Helper()
	begin := time.Now()
	for s.Revision() != revision {
		assert.Assert(t, time.Since(begin) < 5*time.Second, "revision %d, want %d", s.Revision(), revision)
		time.Sleep(time.Millisecond)
	}
	return time.Since(begin)
}

// Guards against a note that does not reach a router within 5 s in one of these cases:
// the router reads the object API; the router can reach only a peer; the router can
// reach the object API again after an outage.
func TestSyncerFollowsThroughOutage(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithCancel(context.Background())
	memory := objectstore.NewMemory()
	acceptor := testAcceptor(memory)
	storeA := &faultyStore{Memory: memory}
	storeB := &faultyStore{Memory: memory}
	peers := directPeers{}
	a := NewSyncer(SyncerOptions{Store: storeA, Peers: peers})
	b := NewSyncer(SyncerOptions{Store: storeB, Peers: peers})
	peers.add("a", a)
	done := make(chan error)
	for _, s := range []*Syncer{a, b} {
		assert.NilError(t, s.Start(ctx, nil))
		go func() { done <- s.Run(ctx) }()
	}
	accept := func(note api.Note) {
		_, err := acceptor.Accept(ctx, note)
		assert.NilError(t, err)
	}
	accept(addZone("a"))
	t.Logf("by the object API: %v, %v", waitRevision(t, a, 1), waitRevision(t, b, 1))
	storeB.down.Store(true)
	accept(withdrawZone("a"))
	waitRevision(t, a, 2)
	assert.Equal(t, b.Revision(), uint64(1))
	b.ObservePeerRevision("gone", 2)
	b.ObservePeerRevision("a", 2)
	t.Logf("by a peer: %v", waitRevision(t, b, 2))
	accept(addZone("c"))
	storeB.down.Store(false)
	t.Logf("after the outage: %v", waitRevision(t, b, 3))
	assert.Assert(t, time.Since(b.LastContact()) < 5*time.Second)
	cancel()
	for range 2 {
		assert.NilError(t, <-done)
	}
}

// Guards against applying notes from a peer or the object API that result in another
// state than the accepted one.
func TestSyncerReadsWholeStateOnMismatch(t *testing.T) {
	ctx := context.Background()
	history := newNoteHistory(t, 3)
	peers := directPeers{"a": func(after uint64) (api.NotesReply, error) {
		reply := planReply(history.states[3], history.heads[3].Recent, after)
		reply.Notes = slices.Clone(reply.Notes)
		for i := range reply.Notes {
			reply.Notes[i].Note = addZone("wrong")
		}
		return reply, nil
	}}
	for name, update := range map[string]func(*Syncer) error{
		"peer": func(s *Syncer) error { return s.fetchFromPeer(ctx, "a") },
		"store": func(s *Syncer) error {
			head := history.heads[3]
			head.Recent = slices.Clone(head.Recent)
			head.Recent[1].Note = addZone("wrong")
			return s.applyHead(ctx, head)
		},
	} {
		s := NewSyncer(SyncerOptions{Store: history.store, Peers: peers})
		assert.NilError(t, s.applyHead(ctx, history.heads[1]))
		assert.NilError(t, update(s), name)
		assert.Equal(t, s.Revision(), uint64(3))
		assert.Equal(t, s.options.Metrics.Counter("notes.digest_mismatches").Count(), int64(1), name)
		assert.Equal(t, s.Digest(), history.heads[3].Digest)
	}
}

// Guards against a new router that becomes ready at an old revision in one of these
// cases: the head is stale, but a peer has a newer revision; the state of the head
// cannot be read; neither the object API nor a peer answers.
func TestStartReachesHighestRevision(t *testing.T) {
	history := newNoteHistory(t, 40)
	store := &faultyStore{Memory: history.store}
	data, err := fleet.Marshal(history.heads[2])
	assert.NilError(t, err)
	store.staleHead.Store(&objectstore.Object{Key: HeadKey, Version: 1, Value: data})
	peers := directPeers{"a": func(after uint64) (api.NotesReply, error) {
		return planReply(history.states[39], history.heads[39].Recent, after), nil
	}, "old": func(after uint64) (api.NotesReply, error) {
		return planReply(history.states[5], history.heads[5].Recent, after), nil
	}}
	s := NewSyncer(SyncerOptions{Store: store, Peers: peers})
	assert.NilError(t, s.Start(context.Background(), []string{"a", "old"}))
	assert.Equal(t, s.Revision(), uint64(39))

	store.staleHead.Store(nil)
	store.noStates.Store(true)
	shortCtx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	s = NewSyncer(SyncerOptions{Store: store, Peers: peers})
	assert.ErrorIs(t, s.Start(shortCtx, []string{"old"}), objectstore.ErrUnavailable)
	store.down.Store(true)
	s = NewSyncer(SyncerOptions{Store: store, Peers: peers})
	assert.ErrorIs(t, s.Start(shortCtx, []string{"gone"}), objectstore.ErrUnavailable)
	assert.Assert(t, s.LastContact().IsZero())
}

// Guards against a peer's reply that makes a router panic, hold a state that does not
// match its digest, or go back to an older revision.
func FuzzPeerReply(f *testing.F) {
	history := newNoteHistory(f, 5)
	for _, after := range []uint64{0, 2, 5} {
		data, err := fleet.Marshal(planReply(history.states[5], history.heads[5].Recent, after))
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		reply, err := DecodeReply(data)
		if err != nil {
			return
		}
		s := NewSyncer(SyncerOptions{Store: history.store})
		assert.NilError(t, s.applyHead(context.Background(), history.heads[2]))
		_ = s.applyReply(reply)
		assert.Assert(t, s.Revision() >= 2)
		digest, err := fleet.Digest(s.View().State())
		assert.NilError(t, err)
		assert.Equal(t, digest, s.Digest())
	})
}
