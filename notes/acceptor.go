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
	// maxTries is the number of attempts for each step of an acceptance. The delays
	// between them double from firstRetryDelay and add up to about 3 s.
	maxTries = 6
	// firstRetryDelay is the delay after the first failed attempt.
	firstRetryDelay = 100 * time.Millisecond
)

// AcceptorOptions configures an Acceptor. Only Store is required.
type AcceptorOptions struct {
	Store   objectstore.Store
	Metrics *telemetry.Metrics
	// Now returns the wall clock; nil means time.Now.
	Now func() time.Time
	// Sleep waits between attempts; nil means a timer. It returns the context's
	// error if the context ends first.
	Sleep func(ctx context.Context, d time.Duration) error
	// Syncer applies each accepted note at this router; it may be nil.
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

// NewAcceptor returns an Acceptor with defaults for the optional fields of o.
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

// NoteResult describes a note that was checked or accepted.
type NoteResult struct {
	// Revision is the revision that the note has or, if it is only checked, would
	// get.
	Revision uint64 `json:"revision"`
	NoteID   string `json:"note_id"`
	// Digest is the digest of the fleet state at the revision; see fleet.Digest.
	Digest string `json:"digest"`
	// Effect is empty if AlreadyAccepted is true.
	Effect fleet.NoteEffect `json:"effect"`
	// AlreadyAccepted is true if the note was accepted earlier and is still in force.
	AlreadyAccepted bool `json:"already_accepted"`
}

// headSnapshot holds the head as read at the start of an acceptance, the version of
// the head object in the store, and the fleet state of the head's revision.
type headSnapshot struct {
	version uint64
	head    api.NoteHead
	state   fleet.State
}

// Check returns the result that Accept would now return for the note, without
// writing anything. Errors: fleet.Problems, *SupersededError, ErrUnavailable.
func (a *Acceptor) Check(ctx context.Context, note api.Note) (NoteResult, error) {
	_, result, _, err := a.prepare(ctx, note)
	return result, err
}

// Accept commits the note as the next revision. It returns a nil error only after
// the commit. Accepting the same note again returns its existing revision.
// Errors: fleet.Problems, *LostRaceError, *SupersededError, ErrUnavailable,
// ErrOutcomeUnknown.
func (a *Acceptor) Accept(ctx context.Context, note api.Note) (NoteResult, error) {
	from, result, c, err := a.prepare(ctx, note)
	if err != nil || result.AlreadyAccepted {
		return result, err
	}
	if err := a.writeState(ctx, c); err != nil {
		return NoteResult{}, err
	}
	accepted, err := a.writeHead(ctx, from, c)
	if err != nil {
		return NoteResult{}, err
	}
	a.metrics.Counter("notes.accepted").Inc(1)
	result.Revision, result.Digest = accepted.Revision, accepted.Digest
	a.applyLocally(accepted, c)
	if err := a.DeleteUnusedStates(ctx); err != nil {
		a.metrics.Counter("notes.sweep_errors").Inc(1)
	}
	return result, nil
}

// applyLocally applies a committed note at this router, so that peers can fetch
// it from here if the object API fails before any router has read the new head.
func (a *Acceptor) applyLocally(accepted api.AcceptedNote, c commit) {
	if a.syncer != nil && accepted.Revision == c.accepted.Revision && accepted.Digest == c.accepted.Digest {
		a.syncer.install(c.state, c.accepted.Digest, c.recent)
	}
}

// prepare reads the head and the fleet state of the head's revision, and plans the
// commit. The commit is empty if the note is already accepted.
func (a *Acceptor) prepare(ctx context.Context, note api.Note) (headSnapshot, NoteResult, commit, error) {
	id, err := fleet.NoteID(note)
	if err != nil {
		return headSnapshot{}, NoteResult{}, commit{}, err
	}
	from, err := a.readHeadSnapshot(ctx)
	if err != nil {
		return headSnapshot{}, NoteResult{}, commit{}, err
	}
	if earlier, found := findNote(from.head.Recent, id, 0); found {
		if !fleet.InForce(from.state, note) {
			return from, NoteResult{}, commit{}, &SupersededError{Accepted: earlier}
		}
		result := NoteResult{Revision: earlier.Revision, NoteID: id, Digest: earlier.Digest, AlreadyAccepted: true}
		result.Effect = fleet.Diff(from.state, from.state)
		return from, result, commit{}, nil
	}
	c, err := planCommit(from.head, from.state, note, a.now())
	if err != nil {
		return from, NoteResult{}, commit{}, err
	}
	result := NoteResult{Revision: c.accepted.Revision, NoteID: id, Digest: c.accepted.Digest}
	result.Effect = fleet.Diff(from.state, c.state)
	return from, result, c, nil
}

// readHeadSnapshot reads the head and then the fleet state of the head's revision. If
// several notes are accepted between the two reads, that state may have been deleted.
// Both are then read again.
func (a *Acceptor) readHeadSnapshot(ctx context.Context) (headSnapshot, error) {
	var from headSnapshot
	err := a.retry(ctx, func() error {
		object, head, err := readHead(ctx, a.store)
		if err != nil {
			return err
		}
		state, err := readState(ctx, a.store, head)
		from = headSnapshot{version: object.Version, head: head, state: state}
		return err
	})
	if err != nil {
		return headSnapshot{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return from, nil
}

// readHead returns version 0 and an empty head if no note has been accepted yet.
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

// writeState stores the new state and returns nil only once the object is known to
// exist. A revision and a note id determine the state, so an existing object with
// the same bytes counts as written.
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

// writeHead commits the note by a conditional write of the head. After a call with
// an unknown outcome it reads the head: if the head contains the note, the note is
// accepted; if the head has changed but does not contain the note, the pending write
// can no longer succeed; if the head is unchanged, the same conditional write is
// repeated.
func (a *Acceptor) writeHead(ctx context.Context, from headSnapshot, c commit) (api.AcceptedNote, error) {
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
		// The conflict may stem from an earlier attempt of this note, so only reading
		// the head resolves the outcome.
		pending = true
		resolved, found, readErr := a.resolveOutcome(ctx, from, c.accepted.ID)
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

// resolveOutcome reads the head and looks for the note that is being accepted. It
// returns false if the head that it reads is not newer than the snapshot from. Errors:
// those of reading the head; a *LostRaceError if the head has changed but does not list
// the note; ErrOutcomeUnknown if the head no longer lists all notes accepted since from.
func (a *Acceptor) resolveOutcome(ctx context.Context, from headSnapshot, id string) (api.AcceptedNote, bool, error) {
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
	winners := notesAfter(head.Recent, from.head.Revision)
	if len(winners) > 0 && winners[0].Revision > from.head.Revision+1 {
		return api.AcceptedNote{}, false, ErrOutcomeUnknown // the head no longer lists all notes accepted since from
	}
	return api.AcceptedNote{}, false, &LostRaceError{Winners: winners}
}

// retry repeats a step, with exponential backoff, while its error is transient and
// at most maxTries times. A lost race is not transient.
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

// transient reports whether repeating the step may succeed. ErrNotFound and
// ErrConflict may be due to a stale read or a concurrent acceptance.
func transient(err error) bool {
	for _, target := range []error{
		objectstore.ErrUnavailable, objectstore.ErrAmbiguous, objectstore.ErrNotFound, objectstore.ErrConflict,
	} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// History returns the notes listed in the head, oldest first. Errors:
// ErrUnavailable.
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

// DeleteUnusedStates deletes state objects that no router needs: all committed ones but
// the newest keptStates, and those of notes that were not accepted. Errors: those of the
// store.
func (a *Acceptor) DeleteUnusedStates(ctx context.Context) error {
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
		if !ok || !stateObsolete(head, revision, noteID) {
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
