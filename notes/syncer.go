package notes

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

const (
	// DefaultLongPollTimeout is the duration of a long poll of the head. It is below the default
	// withdraw_within of 3 s, so that a router without peers hears from the object API
	// at least once within that time. 350 routers then make 175 reads per second, of a
	// budget of 2,000.
	DefaultLongPollTimeout = 2 * time.Second
	// DefaultCallTimeout bounds a read from the object API or a request to a peer. It
	// leaves time for a second attempt within 5 s of a note's acceptance, by which time
	// the note must be in force at every router.
	DefaultCallTimeout = 2 * time.Second
	// DefaultCatchUpDelay is the time to wait for the object API to deliver a revision
	// that a peer has already applied. It avoids most requests to peers.
	DefaultCatchUpDelay = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after failed reads. The maximum lets a
	// note be in force within 5 s of the end of an outage.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxPeerRevisions bounds the number of peers recorded as having a newer revision.
	maxPeerRevisions = 16
)

// PeerNotesReader fetches notes from other routers.
type PeerNotesReader interface {
	// Notes returns the notes that the peer has applied after a revision, or its whole
	// state.
	Notes(ctx context.Context, peer string, after uint64) (api.NotesReply, error)
}

// SyncerOptions configures a Syncer. Only Store is required; zero durations mean the
// defaults.
type SyncerOptions struct {
	Store objectstore.Store
	// Peers may be nil for a router without peers; Start must then be called without
	// peers.
	Peers   PeerNotesReader
	Metrics *telemetry.Metrics
	Logger  *zap.Logger
	// Now returns a time with a monotonic reading; nil means time.Now.
	Now func() time.Time
	// LongPollTimeout is the duration of a long poll of the head; see
	// DefaultLongPollTimeout.
	LongPollTimeout time.Duration
	CallTimeout     time.Duration
	CatchUpDelay    time.Duration
}

// appliedRevision is the revision in force at this router. It is never modified but
// replaced as a whole.
type appliedRevision struct {
	view   *fleet.View
	digest string
	recent []api.AcceptedNote
}

// Syncer holds the applied revision of one router and keeps it up to date. The
// applied revision never decreases. Its methods are safe for concurrent use.
type Syncer struct {
	options     SyncerOptions
	current     atomic.Pointer[appliedRevision]
	lastContact atomic.Pointer[time.Time]
	newestHead  atomic.Uint64 // highest revision of any head read

	installMu sync.Mutex // held while a revision is installed and its callbacks run
	onChange  []func(before, after *fleet.View)

	peerRevisionsMu   sync.Mutex
	peerRevisions     map[string]uint64 // newest revision by peer, if above the applied one
	peerRevisionReady chan struct{}
}

// NewSyncer returns a Syncer at revision 0.
func NewSyncer(o SyncerOptions) *Syncer {
	setDefault(&o.LongPollTimeout, DefaultLongPollTimeout)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.CatchUpDelay, DefaultCatchUpDelay)
	if o.Metrics == nil {
		o.Metrics = telemetry.NewMetrics()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	s := &Syncer{options: o, peerRevisions: map[string]uint64{}, peerRevisionReady: make(chan struct{}, 1)}
	s.current.Store(&appliedRevision{view: fleet.NewView(fleet.State{})})
	return s
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// View returns the view in force. It is never nil.
func (s *Syncer) View() *fleet.View { return s.current.Load().view }

// Revision returns the applied revision.
func (s *Syncer) Revision() uint64 { return s.View().Revision() }

// Digest returns the digest of the applied state; empty at revision 0.
func (s *Syncer) Digest() string { return s.current.Load().digest }

// Recent returns the most recent notes up to the applied revision, oldest first.
// The list must not be modified.
func (s *Syncer) Recent() []api.AcceptedNote { return s.current.Load().recent }

// OnChange registers a function that is called after each change of the view,
// in the order of revisions. It must not block. Register before Start.
func (s *Syncer) OnChange(f func(before, after *fleet.View)) {
	s.installMu.Lock()
	defer s.installMu.Unlock()
	s.onChange = append(s.onChange, f)
}

// LastContact returns the latest time at which the object API or a peer is known to
// have responded; the zero time if neither has.
func (s *Syncer) LastContact() time.Time {
	if at := s.lastContact.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// RecordContact records that a message from a peer arrived just now.
func (s *Syncer) RecordContact() { s.recordContactAt(s.options.Now()) }

func (s *Syncer) recordContactAt(at time.Time) {
	for {
		last := s.lastContact.Load()
		if last != nil && !at.After(*last) {
			return
		}
		if s.lastContact.CompareAndSwap(last, &at) {
			return
		}
	}
}

// ObservePeerRevision records the revision that a peer reports as applied. If it is
// above this router's revision, Run fetches the missing notes from the peer.
func (s *Syncer) ObservePeerRevision(peer string, revision uint64) {
	s.RecordContact()
	if revision <= s.Revision() || s.options.Peers == nil {
		return
	}
	s.peerRevisionsMu.Lock()
	_, known := s.peerRevisions[peer]
	if known || len(s.peerRevisions) < maxPeerRevisions {
		s.peerRevisions[peer] = max(revision, s.peerRevisions[peer])
	}
	s.peerRevisionsMu.Unlock()
	select {
	case s.peerRevisionReady <- struct{}{}:
	default:
	}
}

// Reply returns the reply to another router's request for missing notes.
func (s *Syncer) Reply(request api.NotesRequest) api.NotesReply {
	now := s.current.Load()
	return planReply(now.view.State(), now.recent, request.After)
}

// Start brings a new router to the highest revision that the object API and the
// peers have. It queries all of them at once and repeats that with backoff until at
// least one has answered and the applied revision is not below that of any head read.
// A few peers are enough; more are costly, because each may reply with a whole state.
// If ctx ends first, Start returns the joined errors of the last attempt.
func (s *Syncer) Start(ctx context.Context, peers []string) error {
	delay := minBackoff
	for {
		errs := s.queryAllSources(ctx, peers)
		if len(errs) <= len(peers) && s.Revision() >= s.newestHead.Load() {
			return nil
		}
		if err := sleep(ctx, jitter(delay)); err != nil {
			return fmt.Errorf("notes: reading the newest revision: %w", errors.Join(errs...))
		}
		delay = min(2*delay, maxBackoff)
	}
}

// queryAllSources reads the head and queries the peers concurrently. It returns one
// error for each of these sources that failed.
func (s *Syncer) queryAllSources(ctx context.Context, peers []string) []error {
	results := make(chan error, len(peers)+1)
	go func() { results <- s.syncFromStore(ctx) }()
	for _, peer := range peers {
		go func() { results <- s.fetchFromPeer(ctx, peer) }()
	}
	var errs []error
	for range len(peers) + 1 {
		if err := <-results; err != nil {
			errs = append(errs, err)
		}
	}
	return errs
}

// syncFromStore reads the head once and applies it.
func (s *Syncer) syncFromStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	sent := s.options.Now()
	_, head, err := readHead(ctx, s.options.Store)
	if err != nil {
		return err
	}
	s.recordContactAt(sent)
	return s.applyHead(ctx, head)
}

// Run follows the head and the peers until ctx ends. It returns nil.
func (s *Syncer) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { s.watch(ctx) })
	loops.Go(func() { s.catchUp(ctx) })
	loops.Wait()
	return nil
}

// watch long-polls the head until ctx ends, with backoff after errors.
func (s *Syncer) watch(ctx context.Context) {
	delay := minBackoff
	var version uint64
	for ctx.Err() == nil {
		next, err := s.poll(ctx, version)
		if err == nil {
			version, delay = next, minBackoff
			continue
		}
		if ctx.Err() != nil {
			return
		}
		s.count("watch_errors")
		s.options.Logger.Warn("watching the release-note head failed", zap.Error(err))
		if sleep(ctx, jitter(delay)) != nil {
			return
		}
		delay = min(2*delay, maxBackoff)
	}
}

// poll makes one long poll and applies the head that it returns. It returns the
// version for the next poll, which advances only once the head is applied, so that
// a failed read of a state is repeated.
func (s *Syncer) poll(ctx context.Context, version uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.LongPollTimeout+s.options.CallTimeout)
	defer cancel()
	sent := s.options.Now()
	objects, next, err := s.options.Store.Watch(ctx, HeadKey, version, s.options.LongPollTimeout)
	if err != nil {
		return version, err
	}
	if len(objects) == 0 {
		waited := s.options.Now().Sub(sent)
		if waited < s.options.LongPollTimeout/2 {
			_ = sleep(ctx, minBackoff) // limits the request rate if the store returns at once
		} else if waited >= s.options.LongPollTimeout {
			// The store answers a poll without changes only after LongPollTimeout.
			sent = sent.Add(s.options.LongPollTimeout)
		}
	}
	s.recordContactAt(sent)
	for _, object := range objects {
		if object.Key != HeadKey || object.Deleted {
			continue
		}
		head, err := decodeHead(object.Value)
		if err != nil {
			return version, err
		}
		if err := s.applyHead(ctx, head); err != nil {
			return version, err
		}
	}
	return next, nil
}

// applyHead brings the router to the revision of a head. It applies the notes in the
// head or, if these do not suffice or result in another digest than the head's, the
// stored state.
func (s *Syncer) applyHead(ctx context.Context, head api.NoteHead) error {
	s.recordHeadRevision(head.Revision)
	now := s.current.Load()
	revision := now.view.Revision()
	if head.Revision <= revision {
		if head.Revision < revision {
			s.count("stale_heads")
		} else if head.Digest != now.digest {
			s.recordMismatch("object API", head.Revision)
		}
		return nil
	}
	err := s.applyNotes(head.Recent)
	if s.Revision() >= head.Revision {
		return nil
	}
	if errors.Is(err, errDigest) {
		s.recordMismatch("object API", head.Revision)
	}
	s.count("state_reads")
	state, err := readState(ctx, s.options.Store, head)
	if err != nil {
		return fmt.Errorf("notes: reading the state of revision %d: %w", head.Revision, err)
	}
	if state.Revision != head.Revision || state.NoteID != head.NoteID {
		return fmt.Errorf("notes: checking the state of revision %d: %w", head.Revision, errGap)
	}
	s.install(state, head.Digest, head.Recent)
	return nil
}

// recordHeadRevision raises newestHead to a revision, if that is higher.
func (s *Syncer) recordHeadRevision(revision uint64) {
	for {
		newest := s.newestHead.Load()
		if revision <= newest || s.newestHead.CompareAndSwap(newest, revision) {
			return
		}
	}
}

// applyNotes applies the notes that follow the applied revision, up to the first one
// that fails or results in another digest.
func (s *Syncer) applyNotes(notes []api.AcceptedNote) error {
	now := s.current.Load()
	state, applied, err := advance(now.view.State(), notes)
	if len(applied) > 0 {
		digest := applied[len(applied)-1].Digest
		if s.install(state, digest, appendRecent(now.recent, applied...)) {
			s.options.Metrics.Counter("notes.deltas").Inc(int64(len(applied)))
		}
	}
	return err
}

// catchUp fetches notes from peers with a newer revision, the newest first, until ctx
// ends.
func (s *Syncer) catchUp(ctx context.Context) {
	for {
		select {
		case <-s.peerRevisionReady:
		case <-ctx.Done():
			return
		}
		if sleep(ctx, jitter(s.options.CatchUpDelay)) != nil {
			return
		}
		for {
			peer, ok := s.nextPeer()
			if !ok || ctx.Err() != nil {
				break
			}
			if err := s.fetchFromPeer(ctx, peer); err != nil {
				s.count("peer_errors")
				s.options.Logger.Warn("fetching release notes from peer failed", zap.String("peer", peer), zap.Error(err))
			}
		}
	}
}

// nextPeer removes and returns a peer with the highest observed revision above the
// applied one. Among equal revisions the map's random iteration order decides, which
// spreads the requests of many routers over the peers.
func (s *Syncer) nextPeer() (string, bool) {
	revision := s.Revision()
	s.peerRevisionsMu.Lock()
	defer s.peerRevisionsMu.Unlock()
	best := ""
	highest := revision
	for peer, peerRevision := range s.peerRevisions {
		if peerRevision <= revision {
			delete(s.peerRevisions, peer)
		} else if peerRevision > highest {
			best, highest = peer, peerRevision
		}
	}
	delete(s.peerRevisions, best)
	return best, highest > revision
}

// fetchFromPeer fetches the missing notes from a peer and applies them. If the notes
// cannot be applied, it fetches the peer's whole state.
func (s *Syncer) fetchFromPeer(ctx context.Context, peer string) error {
	after := s.Revision()
	err := s.fetchFromPeerAfter(ctx, peer, after)
	if err == nil || after == 0 || !deltaFailed(err) {
		return err
	}
	s.count("state_reads")
	return s.fetchFromPeerAfter(ctx, peer, 0)
}

func (s *Syncer) fetchFromPeerAfter(ctx context.Context, peer string, after uint64) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	s.count("peer_requests")
	reply, err := s.options.Peers.Notes(ctx, peer, after)
	if err != nil {
		return fmt.Errorf("notes: requesting notes from peer %s: %w", peer, err)
	}
	s.RecordContact()
	if err := s.applyReply(reply); err != nil {
		if errors.Is(err, errDigest) {
			s.recordMismatch(peer, s.Revision())
		}
		return fmt.Errorf("notes: applying notes from peer %s: %w", peer, err)
	}
	return nil
}

// deltaFailed reports whether err means that notes were received but could not be
// applied.
func deltaFailed(err error) bool {
	var problems fleet.Problems
	return errors.Is(err, errDigest) || errors.Is(err, errGap) || errors.Is(err, errTrimmed) || errors.As(err, &problems)
}

// applyReply applies the notes or the whole state in a peer's reply.
func (s *Syncer) applyReply(reply api.NotesReply) error {
	if reply.State == nil {
		return s.applyNotes(reply.Notes)
	}
	if reply.State.Revision <= s.Revision() {
		s.count("stale_replies")
		return nil
	}
	state, err := verifyState(reply)
	if err != nil {
		return err
	}
	s.install(state, reply.Recent[len(reply.Recent)-1].Digest, reply.Recent)
	return nil
}

// install makes a state the applied revision, calls the OnChange callbacks and
// returns true. It does nothing if the applied revision is at least as new.
func (s *Syncer) install(state fleet.State, digest string, recent []api.AcceptedNote) bool {
	view := fleet.NewView(state)
	s.installMu.Lock()
	defer s.installMu.Unlock()
	before := s.current.Load()
	if state.Revision <= before.view.Revision() {
		return false
	}
	s.current.Store(&appliedRevision{view: view, digest: digest, recent: recent})
	s.count("applied")
	s.options.Logger.Info("release notes applied", zap.Uint64("revision", state.Revision), zap.String("note", state.NoteID))
	for _, f := range s.onChange {
		f(before.view, view)
	}
	return true
}

// recordMismatch counts and logs a digest mismatch at a revision. source is a peer or
// the object API.
func (s *Syncer) recordMismatch(source string, revision uint64) {
	s.count("digest_mismatches")
	s.options.Logger.Error("release note digest mismatch", zap.String("source", source), zap.Uint64("revision", revision))
}

func (s *Syncer) count(name string) { s.options.Metrics.Counter("notes." + name).Inc(1) }

// jitter returns a random duration between d/2 and d, so that routers that failed at
// the same time do not retry at the same time.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
