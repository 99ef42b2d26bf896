package notes

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

func addZone(id string) api.Note {
	return api.Note{Title: "Add " + id, Author: "operator", Added: &api.NoteParts{Zones: []api.Zone{{ID: id}}}}
}

func withdrawZone(id string) api.Note {
	return api.Note{Title: "Withdraw " + id, Withdrawn: &api.NoteWithdrawals{Zones: []string{id}}}
}

func testAcceptor(store objectstore.Store) *Acceptor {
	return NewAcceptor(AcceptorOptions{
		Store: store,
		Now:   func() time.Time { return time.UnixMilli(1) },
		Sleep: func(ctx context.Context, _ time.Duration) error { return ctx.Err() },
	})
}

type outcome struct {
	note   api.Note
	result NoteResult
	err    error
}

// Several operators accept notes concurrently, while the store loses and delays writes
// and returns stale reads. Guards against these faults: two notes get the same
// revision; the state of a head is missing or does not result from the accepted notes;
// an accepted note is reported as rejected; a rejected note is committed later.
func TestAcceptorRaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newScheduledStore()
		acceptor := testAcceptor(store)
		outcomes := make([][]outcome, rapid.IntRange(2, 4).Draw(t, "operators"))
		var operators []func()
		for i := range outcomes {
			count := rapid.IntRange(1, 3).Draw(t, "notes")
			zones := rapid.SliceOfN(rapid.IntRange(0, 5), count, count).Draw(t, "zones")
			operators = append(operators, func() {
				for _, zone := range zones {
					note := addZone(fmt.Sprintf("zone-%d", zone))
					result, err := acceptor.Accept(context.Background(), note)
					outcomes[i] = append(outcomes[i], outcome{note, result, err})
				}
			})
		}
		store.runOperators(t, operators)
		committed := checkHeadHistory(t, store)
		for _, list := range outcomes {
			for _, o := range list {
				checkOutcome(t, o, committed)
			}
		}
	})
}

// checkHeadHistory checks all values that the head has had and returns the note of
// each revision.
func checkHeadHistory(t *rapid.T, store *scheduledStore) []api.AcceptedNote {
	var committed []api.AcceptedNote
	state := fleet.State{}
	for i, object := range store.history[HeadKey] {
		head, err := decodeHead(object.Value)
		assert.NilError(t, err)
		assert.Equal(t, head.Revision, uint64(i+1))
		newest := head.Recent[len(head.Recent)-1]
		state, err = applyNote(state, newest)
		assert.NilError(t, err)
		committed = append(committed, newest)
		assert.DeepEqual(t, head.Recent, committed)
		stored := store.history[stateKey(head.Revision, head.NoteID)]
		assert.Assert(t, len(stored) > 0 && stored[0].Version < object.Version, "head before its state")
		_, err = decodeState(stored[0].Value, head.Digest)
		assert.NilError(t, err)
	}
	if len(committed) > 0 {
		newest := committed[len(committed)-1]
		_, err := store.memory.Get(context.Background(), stateKey(newest.Revision, newest.ID))
		assert.NilError(t, err, "the state of the head was removed")
	}
	return committed
}

// checkOutcome compares the result that an operator got with the committed notes.
func checkOutcome(t *rapid.T, o outcome, committed []api.AcceptedNote) {
	id, err := fleet.NoteID(o.note)
	assert.NilError(t, err)
	own, found := findNote(committed, id, 0)
	var lost *LostRaceError
	var problems fleet.Problems
	switch {
	case o.err == nil:
		assert.Assert(t, found, "accepted, but not in the sequence")
		assert.Equal(t, o.result.Revision, own.Revision)
		assert.Equal(t, o.result.Digest, own.Digest)
	case errors.As(o.err, &lost):
		assert.Assert(t, len(lost.Winners) > 0)
		for _, winner := range lost.Winners {
			assert.DeepEqual(t, winner, committed[winner.Revision-1])
			assert.Assert(t, winner.ID != id)
		}
	case errors.As(o.err, &problems):
		t.Fatalf("a note without faults was refused: %v", o.err)
	default:
		// Another operator may have accepted the same note, so it may or may not
		// be committed.
		assert.Assert(t, errors.Is(o.err, ErrUnavailable) || errors.Is(o.err, ErrOutcomeUnknown), "%v", o.err)
	}
}

// Guards against a note that is committed although Accept returned an error other than
// ErrOutcomeUnknown. All notes differ, so each note has a single operator.
func TestAcceptorRefusedNoteIsNeverCommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newScheduledStore()
		acceptor := testAcceptor(store)
		outcomes := make([]outcome, rapid.IntRange(2, 5).Draw(t, "operators"))
		var operators []func()
		for i := range outcomes {
			operators = append(operators, func() {
				note := addZone(fmt.Sprintf("zone-%d", i))
				result, err := acceptor.Accept(context.Background(), note)
				outcomes[i] = outcome{note, result, err}
			})
		}
		store.runOperators(t, operators)
		committed := checkHeadHistory(t, store)
		for _, o := range outcomes {
			if o.err == nil || errors.Is(o.err, ErrOutcomeUnknown) {
				continue
			}
			id, err := fleet.NoteID(o.note)
			assert.NilError(t, err)
			_, found := findNote(committed, id, 0)
			assert.Assert(t, !found, "reported %v, but accepted", o.err)
		}
	})
}

// Guards against these faults when a note is accepted again: a note that is still in
// force gets a second revision; a note that a later note has undone is reported as
// accepted, but has no effect.
func TestAcceptTwice(t *testing.T) {
	ctx := context.Background()
	acceptor := testAcceptor(objectstore.NewMemory())
	accept := func(note api.Note) (NoteResult, error) { return acceptor.Accept(ctx, note) }
	_, err := accept(addZone("a"))
	assert.NilError(t, err)
	first, err := accept(withdrawZone("a"))
	assert.NilError(t, err)
	again, err := accept(withdrawZone("a"))
	assert.NilError(t, err)
	assert.Assert(t, again.AlreadyAccepted)
	assert.Equal(t, again.Revision, first.Revision)
	_, err = accept(api.Note{Title: "Return a", Changed: &api.NoteParts{Zones: []api.Zone{{ID: "a"}}}})
	assert.NilError(t, err)
	_, err = accept(withdrawZone("a"))
	var superseded *SupersededError
	assert.Assert(t, errors.As(err, &superseded))
	assert.Equal(t, superseded.Accepted.Revision, first.Revision)
}

// Guards against these faults: the head exceeds its size limit; the head lists fewer than
// maxRecent notes, so that the outcome of an acceptance cannot be looked up in it; state
// objects accumulate.
func TestHeadAndStatesStayBounded(t *testing.T) {
	ctx := context.Background()
	store := objectstore.NewMemory()
	acceptor := testAcceptor(store)
	for i := range 2 * maxRecent {
		note := addZone(fmt.Sprintf("zone-%d", i))
		for j := range 200 {
			note.Added.Zones = append(note.Added.Zones, api.Zone{ID: fmt.Sprintf("zone-%d-%d", i, j)})
		}
		_, err := acceptor.Accept(ctx, note)
		assert.NilError(t, err)
	}
	object, head, err := readHead(ctx, store)
	assert.NilError(t, err)
	assert.Equal(t, len(head.Recent), maxRecent)
	assert.Assert(t, head.Recent[0].Trimmed && !head.Recent[maxRecent-1].Trimmed)
	assert.Assert(t, len(object.Value) < maxRecentBytes+maxRecent*1024, "%d bytes", len(object.Value))
	states, err := store.List(ctx, statePrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(states), keptStates)
}

// lostResponseStore carries out one write of the head but loses the response, and is
// unreachable from then on.
type lostResponseStore struct{ faultyStore }

func (s *lostResponseStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if s.down.Load() {
		return 0, objectstore.ErrUnavailable
	}
	version, err := s.Memory.Put(ctx, key, value, ifVersion)
	if key == HeadKey && err == nil {
		s.down.Store(true)
		return 0, objectstore.ErrAmbiguous
	}
	return version, err
}

// The response to the write of the head is lost and an outage begins. Guards against
// these faults: the accepted note is reported as not accepted; the note gets a second
// revision when the operator accepts it again after the outage.
func TestLostResponseBeforeOutage(t *testing.T) {
	ctx := context.Background()
	store := &lostResponseStore{faultyStore{Memory: objectstore.NewMemory()}}
	_, err := testAcceptor(store).Accept(ctx, addZone("a"))
	assert.ErrorIs(t, err, ErrOutcomeUnknown)
	_, err = testAcceptor(store).Accept(ctx, addZone("a"))
	assert.ErrorIs(t, err, ErrUnavailable)
	store.down.Store(false)
	result, err := testAcceptor(store).Accept(ctx, addZone("a"))
	assert.NilError(t, err)
	assert.Assert(t, result.AlreadyAccepted)
	assert.Equal(t, result.Revision, uint64(1))
}

// targetNote returns a note that imports the largest fleet that routers are sized for:
// 600 endpoints and 3,200 workspaces.
func targetNote() api.Note {
	add := &api.NoteParts{Models: []api.Model{{ID: "chat", Version: "v1"}}}
	for i := range 6 {
		add.Zones = append(add.Zones, api.Zone{ID: fmt.Sprintf("zone-%d", i), Region: "region-1"})
	}
	for i := range 600 {
		add.Endpoints = append(add.Endpoints, api.Endpoint{
			ID: fmt.Sprintf("endpoint-%04d", i), Instance: fmt.Sprintf("instance-%04d", i), Zone: fmt.Sprintf("zone-%d", i%6),
			URL: fmt.Sprintf("http://10.0.%d.%d:8000", i/250, i%250), Models: []string{"chat"}, MaxInflight: 32, ChecksFencing: true,
		})
	}
	for i := range 3200 {
		add.Workspaces = append(add.Workspaces, api.Workspace{ID: fmt.Sprintf("workspace-%05d", i), KeySha256: fmt.Sprintf("%064x", i), Priority: 5})
	}
	return api.Note{Title: "Import", Added: add}
}

// Guards against these faults in the fleet of targetNote: an object exceeds the size
// limit of the object API; a reply with one note takes 4096 bytes or more. A router
// receives 440 notes a day, which must take little of its 4 KB/s of control traffic.
func TestSizesAtTarget(t *testing.T) {
	ctx := context.Background()
	store := objectstore.NewMemory()
	acceptor := testAcceptor(store)
	syncer := NewSyncer(SyncerOptions{Store: store})
	_, err := acceptor.Accept(ctx, targetNote())
	assert.NilError(t, err)
	for i := range 2 * maxRecent {
		_, err := acceptor.Accept(ctx, api.Note{Title: fmt.Sprintf("Withdraw %d", i), Withdrawn: &api.NoteWithdrawals{Instances: []string{fmt.Sprintf("instance-%04d", i)}}})
		assert.NilError(t, err)
	}
	assert.NilError(t, syncer.Start(ctx, nil))
	head, err := store.Get(ctx, HeadKey)
	assert.NilError(t, err)
	delta, err := fleet.Marshal(syncer.Reply(api.NotesRequest{After: syncer.Revision() - 1}))
	assert.NilError(t, err)
	whole, err := fleet.Marshal(syncer.Reply(api.NotesRequest{}))
	assert.NilError(t, err)
	t.Logf("head %d bytes, delta of one note %d bytes, whole state with recent notes %d bytes", len(head.Value), len(delta), len(whole))
	assert.Assert(t, len(head.Value) <= maxRecentBytes)
	assert.Assert(t, len(delta) < 4096)
	assert.Assert(t, len(whole) <= objectstore.MaxValueBytes)
}

// Guards against an accepted note that no router can forward to its peers because
// the object API failed before any router had read the new head.
func TestAcceptedNoteIsInForceAtOnce(t *testing.T) {
	store := objectstore.NewMemory()
	syncer := NewSyncer(SyncerOptions{Store: store})
	acceptor := NewAcceptor(AcceptorOptions{Store: store, Syncer: syncer})
	for i := range 2 {
		result, err := acceptor.Accept(context.Background(), addZone(fmt.Sprintf("zone-%d", i)))
		assert.NilError(t, err)
		assert.Equal(t, syncer.Revision(), result.Revision)
		assert.Equal(t, syncer.Digest(), result.Digest)
		assert.Equal(t, len(syncer.Recent()), i+1)
	}
}
