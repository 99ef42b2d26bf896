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
	// DefaultWait is the length of a long poll. It stays below the default
	// withdraw_within of 3 s, so that a router without peers keeps its contact.
	// 350 routers then make 175 of the 2,000 reads per second.
	DefaultWait = 2 * time.Second
	// DefaultCallTimeout bounds a read or a call to a peer, which must leave time
	// for another try within the 5 s in which a note comes into force.
	DefaultCallTimeout = 2 * time.Second
	// DefaultCatchUpDelay is how long a revision that a peer has offered waits for
	// the object API to deliver it, which saves most requests to peers.
	DefaultCatchUpDelay = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after failed reads. The maximum
	// keeps a note within its 5 s when an outage ends.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxOffers bounds the peers that are remembered as being ahead.
	maxOffers = 16
)

// PeerSource asks other routers for notes.
type PeerSource interface {
	// Notes returns what the peer has applied after a revision.
	Notes(ctx context.Context, peer string, after uint64) (api.NotesReply, error)
}

// SyncerOptions configures a Syncer. Zero durations mean the defaults.
type SyncerOptions struct {
	Store objectstore.Store
	// Peers may be nil for a router without peers; Start then takes none.
	Peers   PeerSource
	Metrics *telemetry.Metrics
	Logger  *zap.Logger
	// Now returns a time with a monotonic reading; nil means time.Now.
	Now          func() time.Time
	Wait         time.Duration
	CallTimeout  time.Duration
	CatchUpDelay time.Duration
}

// applied is the revision in force. It is replaced whole.
type applied struct {
	view   *fleet.View
	digest string
	recent []api.AcceptedNote
}

// Syncer holds the applied revision of one router and brings it up to date. Its
// methods are safe for concurrent use.
type Syncer struct {
	options SyncerOptions
	current atomic.Pointer[applied]
	contact atomic.Pointer[time.Time]
	newest  atomic.Uint64 // highest revision of a head that was read

	installing sync.Mutex // held while a revision and its callbacks take effect
	onChange   []func(before, after *fleet.View)

	offering sync.Mutex
	offers   map[string]uint64
	offered  chan struct{}
}

// NewSyncer returns a syncer at revision 0.
func NewSyncer(o SyncerOptions) *Syncer {
	setDefault(&o.Wait, DefaultWait)
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
	s := &Syncer{options: o, offers: map[string]uint64{}, offered: make(chan struct{}, 1)}
	s.current.Store(&applied{view: fleet.NewView(fleet.State{})})
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

// Recent returns the last notes up to the applied revision, oldest first. The
// list must not be modified.
func (s *Syncer) Recent() []api.AcceptedNote { return s.current.Load().recent }

// OnChange registers a function that is called after each change of the view,
// in the order of revisions. It must not block. Register before Start.
func (s *Syncer) OnChange(f func(before, after *fleet.View)) {
	s.installing.Lock()
	defer s.installing.Unlock()
	s.onChange = append(s.onChange, f)
}

// LastContact returns the latest time at which the object API or a peer is known
// to have been heard; the zero time when neither was.
func (s *Syncer) LastContact() time.Time {
	if at := s.contact.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Heard records that a peer sent any message just now.
func (s *Syncer) Heard() { s.heardAt(s.options.Now()) }

func (s *Syncer) heardAt(at time.Time) {
	for {
		last := s.contact.Load()
		if last != nil && !at.After(*last) {
			return
		}
		if s.contact.CompareAndSwap(last, &at) {
			return
		}
	}
}

// Offer records the revision that a peer says it has applied. When it is higher
// than the own one, Run asks the peer for what is missing.
func (s *Syncer) Offer(peer string, revision uint64) {
	s.Heard()
	if revision <= s.Revision() || s.options.Peers == nil {
		return
	}
	s.offering.Lock()
	_, known := s.offers[peer]
	if known || len(s.offers) < maxOffers {
		s.offers[peer] = max(revision, s.offers[peer])
	}
	s.offering.Unlock()
	select {
	case s.offered <- struct{}{}:
	default:
	}
}

// Serve answers another router with what it lacks.
func (s *Syncer) Serve(request api.NotesRequest) api.NotesReply {
	now := s.current.Load()
	return planReply(now.view.State(), now.recent, request.After)
}

// Start brings a new router to the highest revision that the object API and the
// peers have, and returns once the object API or a peer has answered and no
// higher head is known. It asks all of them at once, and repeats that until ctx
// ends. Each peer may answer with a whole state, so a few peers are enough.
func (s *Syncer) Start(ctx context.Context, peers []string) error {
	delay := minBackoff
	for {
		errs := s.startOnce(ctx, peers)
		if len(errs) <= len(peers) && s.Revision() >= s.newest.Load() {
			return nil
		}
		if err := sleep(ctx, jitter(delay)); err != nil {
			return fmt.Errorf("notes: the newest revision could not be read: %w", errors.Join(errs...))
		}
		delay = min(2*delay, maxBackoff)
	}
}

// startOnce returns one error for each source that failed: the object API and
// each peer.
func (s *Syncer) startOnce(ctx context.Context, peers []string) []error {
	results := make(chan error, len(peers)+1)
	go func() { results <- s.readStore(ctx) }()
	for _, peer := range peers {
		go func() { results <- s.askPeer(ctx, peer) }()
	}
	var errs []error
	for range len(peers) + 1 {
		if err := <-results; err != nil {
			errs = append(errs, err)
		}
	}
	return errs
}

func (s *Syncer) readStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	sent := s.options.Now()
	_, head, err := readHead(ctx, s.options.Store)
	if err != nil {
		return err
	}
	s.heardAt(sent)
	return s.takeHead(ctx, head)
}

// Run follows the head and the peers until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Go(func() { s.watch(ctx) })
	loops.Go(func() { s.catchUp(ctx) })
	loops.Wait()
	return nil
}

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
		s.options.Logger.Warn("head of the release notes could not be followed", zap.Error(err))
		if sleep(ctx, jitter(delay)) != nil {
			return
		}
		delay = min(2*delay, maxBackoff)
	}
}

// poll makes one long poll and applies what it returns. The version only moves
// on when the head was applied, so that a failed read of a state is repeated.
func (s *Syncer) poll(ctx context.Context, version uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Wait+s.options.CallTimeout)
	defer cancel()
	sent := s.options.Now()
	objects, next, err := s.options.Store.Watch(ctx, HeadKey, version, s.options.Wait)
	if err != nil {
		return version, err
	}
	if len(objects) == 0 {
		waited := s.options.Now().Sub(sent)
		if waited < s.options.Wait/2 {
			_ = sleep(ctx, minBackoff) // a store that does not hold the poll must not be flooded
		} else if waited >= s.options.Wait {
			sent = sent.Add(s.options.Wait) // the store answered no earlier than that
		}
	}
	s.heardAt(sent)
	for _, object := range objects {
		if object.Key != HeadKey || object.Deleted {
			continue
		}
		head, err := decodeHead(object.Value)
		if err != nil {
			return version, err
		}
		if err := s.takeHead(ctx, head); err != nil {
			return version, err
		}
	}
	return next, nil
}

// takeHead applies a head by its notes, or by its whole state when the notes do
// not lead to its digest.
func (s *Syncer) takeHead(ctx context.Context, head api.NoteHead) error {
	s.sawHead(head.Revision)
	now := s.current.Load()
	revision := now.view.Revision()
	if head.Revision <= revision {
		if head.Revision < revision {
			s.count("stale_heads")
		} else if head.Digest != now.digest {
			s.mismatch("object API", head.Revision)
		}
		return nil
	}
	err := s.takeNotes(head.Recent)
	if s.Revision() >= head.Revision {
		return nil
	}
	if errors.Is(err, errDigest) {
		s.mismatch("object API", head.Revision)
	}
	s.count("state_reads")
	state, err := readState(ctx, s.options.Store, head)
	if err != nil {
		return fmt.Errorf("notes: state of revision %d: %w", head.Revision, err)
	}
	if state.Revision != head.Revision || state.NoteID != head.NoteID {
		return fmt.Errorf("notes: state of revision %d: %w", head.Revision, errGap)
	}
	s.install(state, head.Digest, head.Recent)
	return nil
}

func (s *Syncer) sawHead(revision uint64) {
	for {
		newest := s.newest.Load()
		if revision <= newest || s.newest.CompareAndSwap(newest, revision) {
			return
		}
	}
}

// takeNotes applies the notes that follow the applied revision, as far as each
// leads to its digest.
func (s *Syncer) takeNotes(notes []api.AcceptedNote) error {
	now := s.current.Load()
	state, taken, err := advance(now.view.State(), notes)
	if len(taken) > 0 {
		digest := taken[len(taken)-1].Digest
		if s.install(state, digest, appendRecent(now.recent, taken...)) {
			s.options.Metrics.Counter("notes.deltas").Inc(int64(len(taken)))
		}
	}
	return err
}

// catchUp asks the peers that are ahead, the furthest first.
func (s *Syncer) catchUp(ctx context.Context) {
	for {
		select {
		case <-s.offered:
		case <-ctx.Done():
			return
		}
		if sleep(ctx, jitter(s.options.CatchUpDelay)) != nil {
			return
		}
		for {
			peer, ok := s.takeOffer()
			if !ok || ctx.Err() != nil {
				break
			}
			if err := s.askPeer(ctx, peer); err != nil {
				s.count("peer_errors")
				s.options.Logger.Warn("peer did not deliver release notes", zap.String("peer", peer), zap.Error(err))
			}
		}
	}
}

// takeOffer removes and returns a peer with the highest offer above the applied
// revision. Peers with equal offers are chosen at random by the order of the
// map, which spreads the requests of many routers.
func (s *Syncer) takeOffer() (string, bool) {
	revision := s.Revision()
	s.offering.Lock()
	defer s.offering.Unlock()
	best := ""
	highest := revision
	for peer, offer := range s.offers {
		if offer <= revision {
			delete(s.offers, peer)
		} else if offer > highest {
			best, highest = peer, offer
		}
	}
	delete(s.offers, best)
	return best, highest > revision
}

// askPeer asks a peer for the notes that are missing and, when they do not lead
// to their digests, for its whole state.
func (s *Syncer) askPeer(ctx context.Context, peer string) error {
	after := s.Revision()
	err := s.askPeerAfter(ctx, peer, after)
	if err == nil || after == 0 || !deltaFailed(err) {
		return err
	}
	s.count("state_reads")
	return s.askPeerAfter(ctx, peer, 0)
}

func (s *Syncer) askPeerAfter(ctx context.Context, peer string, after uint64) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	s.count("peer_requests")
	reply, err := s.options.Peers.Notes(ctx, peer, after)
	if err != nil {
		return fmt.Errorf("notes: peer %s: %w", peer, err)
	}
	s.Heard()
	if err := s.takeReply(reply); err != nil {
		if errors.Is(err, errDigest) {
			s.mismatch(peer, s.Revision())
		}
		return fmt.Errorf("notes: peer %s: %w", peer, err)
	}
	return nil
}

// deltaFailed reports whether notes were delivered but could not be applied.
func deltaFailed(err error) bool {
	var problems fleet.Problems
	return errors.Is(err, errDigest) || errors.Is(err, errGap) || errors.Is(err, errTrimmed) || errors.As(err, &problems)
}

// takeReply applies what a peer sent.
func (s *Syncer) takeReply(reply api.NotesReply) error {
	if reply.State == nil {
		return s.takeNotes(reply.Notes)
	}
	if reply.State.Revision <= s.Revision() {
		s.count("stale_replies")
		return nil
	}
	state, err := wholeState(reply)
	if err != nil {
		return err
	}
	s.install(state, reply.Recent[len(reply.Recent)-1].Digest, reply.Recent)
	return nil
}

// install puts a state into force unless one at least as new is.
func (s *Syncer) install(state fleet.State, digest string, recent []api.AcceptedNote) bool {
	view := fleet.NewView(state)
	s.installing.Lock()
	defer s.installing.Unlock()
	before := s.current.Load()
	if state.Revision <= before.view.Revision() {
		return false
	}
	s.current.Store(&applied{view: view, digest: digest, recent: recent})
	s.count("applied")
	s.options.Logger.Info("release notes applied", zap.Uint64("revision", state.Revision), zap.String("note", state.NoteID))
	for _, f := range s.onChange {
		f(before.view, view)
	}
	return true
}

func (s *Syncer) mismatch(source string, revision uint64) {
	s.count("digest_mismatches")
	s.options.Logger.Error("release notes do not lead to their digest", zap.String("source", source), zap.Uint64("revision", revision))
}

func (s *Syncer) count(name string) { s.options.Metrics.Counter("notes." + name).Inc(1) }

// jitter returns between half and the whole of a delay, so that routers that
// failed together do not return together.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
