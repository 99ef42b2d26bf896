package notes

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

const (
	// maxTries bounds the calls of one step of an acceptance. With the delay
	// doubling from firstRetryDelay they span about 3 s.
	maxTries = 6
	// firstRetryDelay is the delay after the first failed call.
	firstRetryDelay = 100 * time.Millisecond
)

// AcceptorOptions configures an Acceptor.
type AcceptorOptions struct {
	Store   objectstore.Store
	Metrics *telemetry.Metrics
	// Now returns the wall clock; nil means time.Now.
	Now func() time.Time
	// Sleep waits between calls; nil means a timer. It returns the context's
	// error when that ends first.
	Sleep func(ctx context.Context, d time.Duration) error
	// Syncer puts each accepted note into force at this router; it may be nil.
	Syncer *Syncer
}

// Acceptor checks and accepts release notes. It holds no state between calls and
// is safe for concurrent use.
type Acceptor struct {
	store   objectstore.Store
	metrics *telemetry.Metrics
	now     func() time.Time
	sleep   func(ctx context.Context, d time.Duration) error
	syncer  *Syncer
}

// NewAcceptor returns an acceptor.
func NewAcceptor(o AcceptorOptions) *Acceptor {
	a := &Acceptor{store: o.Store, metrics: o.Metrics, now: o.Now, sleep: o.Sleep, syncer: o.Syncer}
	if a.metrics == nil {
		a.metrics = telemetry.NewMetrics()
	}
	if a.now == nil {
		a.now = time.Now
	}
	if a.sleep == nil {
		a.sleep = sleep
	}
	return a
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Result describes a note that was checked or accepted.
type Result struct {
	// Revision is the revision of the note: the accepted one, or the one that it
	// would get.
	Revision uint64       `json:"revision"`
	NoteID   string       `json:"note_id"`
	Digest   string       `json:"digest"`
	Effect   fleet.Effect `json:"effect"`
	// Already says that the note was accepted before and is in force.
	Already bool `json:"already_accepted"`
}

// position is the head that an acceptance starts from.
type position struct {
	version uint64
	head    api.NoteHead
	state   fleet.State
}

// Check says what accepting the note now would do. Errors: fleet.Problems,
// *SupersededError, ErrUnavailable.
func (a *Acceptor) Check(ctx context.Context, note api.Note) (Result, error) {
	_, result, _, err := a.prepare(ctx, note)
	return result, err
}

// Accept commits the note as the next revision. It returns nil only after the
// commit. Accepting the same note again returns the revision that it has.
// Errors: fleet.Problems, *LostRaceError, *SupersededError, ErrUnavailable,
// ErrOutcomeUnknown.
func (a *Acceptor) Accept(ctx context.Context, note api.Note) (Result, error) {
	from, result, c, err := a.prepare(ctx, note)
	if err != nil || result.Already {
		return result, err
	}
	if err := a.writeState(ctx, c); err != nil {
		return Result{}, err
	}
	accepted, err := a.writeHead(ctx, from, c)
	if err != nil {
		return Result{}, err
	}
	a.metrics.Counter("notes.accepted").Inc(1)
	result.Revision, result.Digest = accepted.Revision, accepted.Digest
	a.putIntoForce(accepted, c)
	if err := a.Sweep(ctx); err != nil {
		a.metrics.Counter("notes.sweep_errors").Inc(1)
	}
	return result, nil
}

// putIntoForce applies a committed note at this router, so that peers can get it
// from here when the object API fails before any router has read the new head.
func (a *Acceptor) putIntoForce(accepted api.AcceptedNote, c commit) {
	if a.syncer != nil && accepted.Revision == c.accepted.Revision && accepted.Digest == c.accepted.Digest {
		a.syncer.install(c.state, c.accepted.Digest, c.recent)
	}
}

// prepare reads the head and its state and computes what to write.
func (a *Acceptor) prepare(ctx context.Context, note api.Note) (position, Result, commit, error) {
	id, err := fleet.NoteID(note)
	if err != nil {
		return position{}, Result{}, commit{}, err
	}
	from, err := a.readPosition(ctx)
	if err != nil {
		return position{}, Result{}, commit{}, err
	}
	if earlier, found := findNote(from.head.Recent, id, 0); found {
		if !fleet.InForce(from.state, note) {
			return from, Result{}, commit{}, &SupersededError{Accepted: earlier}
		}
		result := Result{Revision: earlier.Revision, NoteID: id, Digest: earlier.Digest, Already: true}
		result.Effect = fleet.Diff(from.state, from.state)
		return from, result, commit{}, nil
	}
	c, err := planCommit(from.head, from.state, note, a.now())
	if err != nil {
		return from, Result{}, commit{}, err
	}
	result := Result{Revision: c.accepted.Revision, NoteID: id, Digest: c.accepted.Digest}
	result.Effect = fleet.Diff(from.state, c.state)
	return from, result, c, nil
}

// readPosition reads the head and the state that belongs to it. The state may
// be removed between the two reads when several notes are accepted, so it then
// starts again.
func (a *Acceptor) readPosition(ctx context.Context) (position, error) {
	var from position
	err := a.retry(ctx, func() error {
		object, head, err := readHead(ctx, a.store)
		if err != nil {
			return err
		}
		state, err := readState(ctx, a.store, head)
		from = position{version: object.Version, head: head, state: state}
		return err
	})
	if err != nil {
		return position{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return from, nil
}

// readHead returns version 0 and an empty head when no note was accepted yet.
func readHead(ctx context.Context, store objectstore.Store) (objectstore.Object, api.NoteHead, error) {
	object, err := store.Get(ctx, HeadKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		return objectstore.Object{}, api.NoteHead{}, nil
	}
	if err != nil {
		return objectstore.Object{}, api.NoteHead{}, err
	}
	head, err := decodeHead(object.Value)
	return object, head, err
}

func readState(ctx context.Context, store objectstore.Store, head api.NoteHead) (fleet.State, error) {
	if head.Revision == 0 {
		return fleet.State{}, nil
	}
	object, err := store.Get(ctx, stateKey(head.Revision, head.NoteID))
	if err != nil {
		return fleet.State{}, err
	}
	return decodeState(object.Value, head.Digest)
}

// writeState stores the new state and returns only once it is known to be
// there. The state of a revision and a note id is always the same, so an
// existing object is as good as a new one.
func (a *Acceptor) writeState(ctx context.Context, c commit) error {
	err := a.retry(ctx, func() error {
		_, err := a.store.Put(ctx, c.stateKey, c.stateData, 0)
		if !errors.Is(err, objectstore.ErrConflict) && !errors.Is(err, objectstore.ErrAmbiguous) {
			return err
		}
		object, err := a.store.Get(ctx, c.stateKey)
		if err == nil && !bytes.Equal(object.Value, c.stateData) {
			return fmt.Errorf("%w: %s", errDigest, c.stateKey)
		}
		return err
	})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// writeHead commits. After a call with an unknown outcome it reads the head:
// its own note there means accepted, a changed head without it means that the
// pending write can no longer succeed, and an unchanged head allows the same
// conditional write again.
func (a *Acceptor) writeHead(ctx context.Context, from position, c commit) (api.AcceptedNote, error) {
	accepted := c.accepted
	pending := false
	err := a.retry(ctx, func() error {
		_, err := a.store.Put(ctx, HeadKey, c.headData, from.version)
		switch {
		case err == nil, errors.Is(err, objectstore.ErrUnavailable), errors.Is(err, objectstore.ErrTooLarge):
			return err
		case errors.Is(err, objectstore.ErrConflict):
			a.metrics.Counter("notes.accept_conflicts").Inc(1)
		default:
			a.metrics.Counter("notes.accept_ambiguous").Inc(1)
		}
		// An earlier call may have caused the conflict, so only a read tells.
		pending = true
		resolved, found, readErr := a.resolve(ctx, from, c.accepted.ID)
		if readErr != nil {
			return readErr
		}
		if !found {
			return err
		}
		accepted = resolved
		return nil
	})
	var lost *LostRaceError
	switch {
	case err == nil:
		return accepted, nil
	case errors.As(err, &lost), errors.Is(err, ErrOutcomeUnknown):
		return api.AcceptedNote{}, err
	case pending:
		return api.AcceptedNote{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	default:
		return api.AcceptedNote{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
}

// resolve looks for the own note in the head. It returns a *LostRaceError when
// the head has moved on without it.
func (a *Acceptor) resolve(ctx context.Context, from position, id string) (api.AcceptedNote, bool, error) {
	object, head, err := readHead(ctx, a.store)
	if err != nil {
		return api.AcceptedNote{}, false, err
	}
	if own, found := findNote(head.Recent, id, from.head.Revision); found {
		return own, true, nil
	}
	if object.Version <= from.version {
		return api.AcceptedNote{}, false, nil
	}
	winners := since(head.Recent, from.head.Revision)
	if len(winners) > 0 && winners[0].Revision > from.head.Revision+1 {
		return api.AcceptedNote{}, false, ErrOutcomeUnknown // more notes than the head keeps
	}
	return api.AcceptedNote{}, false, &LostRaceError{Winners: winners}
}

// retry repeats a step while its error may pass. It stops at a lost race and at
// a fault that another call cannot change.
func (a *Acceptor) retry(ctx context.Context, step func() error) error {
	delay := firstRetryDelay
	for try := 1; ; try++ {
		err := step()
		if err == nil || try == maxTries || !transient(err) {
			return err
		}
		if sleepErr := a.sleep(ctx, delay); sleepErr != nil {
			return fmt.Errorf("%w: %w", sleepErr, err)
		}
		delay *= 2
	}
}

func transient(err error) bool {
	for _, passing := range []error{
		objectstore.ErrUnavailable, objectstore.ErrAmbiguous, objectstore.ErrNotFound, objectstore.ErrConflict,
	} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// History returns the notes that the head keeps, oldest first.
func (a *Acceptor) History(ctx context.Context) ([]api.AcceptedNote, error) {
	var recent []api.AcceptedNote
	err := a.retry(ctx, func() error {
		_, head, err := readHead(ctx, a.store)
		recent = head.Recent
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return recent, nil
}

// Sweep removes state objects that no router needs: all but the newest
// committed ones, and those of notes that were not accepted.
func (a *Acceptor) Sweep(ctx context.Context) error {
	_, head, err := readHead(ctx, a.store)
	if err != nil {
		return err
	}
	objects, err := a.store.List(ctx, statePrefix)
	if err != nil {
		return err
	}
	for _, object := range objects {
		revision, noteID, ok := splitStateKey(object.Key)
		if !ok || !obsolete(head, revision, noteID) {
			continue
		}
		err := a.store.Delete(ctx, object.Key, object.Version)
		if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
			return err
		}
		a.metrics.Counter("notes.states_removed").Inc(1)
	}
	return nil
}
