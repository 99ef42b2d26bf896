// Package mirror keeps a local copy of the objects of one kind in the store. It lists
// them once and then receives their changes: a few routers, the relays, watch the
// store and publish the changes; the others follow the relays, and watch the store
// themselves while no relay can reach it.
package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
	"github.com/hornbeamproxy/hornbeamproxy/outage"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

const (
	// minBackoff and maxBackoff bound the back-off after a failed call. The delay before
	// the next call is the back-off, shortened at random by up to half. The bounds are
	// low because the end of an outage must be detected well within the 2 s that the
	// platform allows.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 700 * time.Millisecond
	// followInterval is the time between checks of what the relays announce.
	followInterval = 250 * time.Millisecond
	// relayTimeout is how long a router waits for changes that a relay has announced
	// before it asks the store itself.
	relayTimeout = 300 * time.Millisecond
	// firstRelayWatchDelay and backupRelayWatchDelay are the times between a watch that
	// returned changes and the next watch, so that changes in quick succession cost one
	// call. The delay is longer for backup relays (all but the first) because they get
	// most changes from the first relay. Routers that watch the store without being a
	// relay use firstRelayWatchDelay.
	firstRelayWatchDelay  = 50 * time.Millisecond
	backupRelayWatchDelay = 400 * time.Millisecond
	// largeObjectWatchDelay replaces firstRelayWatchDelay for kinds with ListToCatchUp, whose
	// objects take several datagrams to each router.
	largeObjectWatchDelay = 250 * time.Millisecond
	// partialDelay is the minimum delay before a router asks the store for the changes
	// of a batch that it can't apply, such as one without objects. The delay is chosen at
	// random up to twice the minimum, so that the routers do not all ask at the same
	// time. It also lets changes in quick succession cost one call.
	partialDelay = 100 * time.Millisecond
	// startGrace is how long a router that has just listed a kind for the first time waits
	// for a relay before it watches the store itself: it needs about a second to find the
	// others.
	startGrace = 1500 * time.Millisecond
	// batchQueueLength bounds the number of batches that wait to be applied. Further
	// batches are dropped, and their changes are read from the store later.
	batchQueueLength = 64
)

// Batch holds the changes of a kind after the revision From up to and including
// the revision To.
type Batch struct {
	Kind     string
	From, To uint64 // revisions of the store
	Objects  []objectstore.Object
	// Partial is set if the objects are left out: receivers then read the changes from
	// the store.
	Partial bool
	// Listed is set if the objects are the difference between the state at From and a list
	// at To. Only a receiver in the state at From can apply them: an object that was created
	// and deleted in between is not among them. Partial is set as well, for receivers that
	// do not know Listed.
	Listed bool
}

// Peers are the other routers. Implementations are safe for concurrent use.
type Peers interface {
	// RelayRole reports whether this router is a relay, which watches the store for the
	// others, and whether it is the first relay, which publishes changes at once.
	RelayRole() (relay, first bool)
	// RelayHead returns what the fresh relays together announce: the highest revision and the
	// latest answer of the store. It is not Fresh if there is no such relay.
	RelayHead(kind string) Head
	// RelaysHeard reports whether there is a relay that announces heads, fresh or not.
	RelaysHeard() bool
	// Announce sets what this router announces to the others for the kind.
	Announce(kind string, head Head)
	// Publish sends a batch to the other routers.
	Publish(batch Batch)
}

// Receiver receives the contents of a mirror. All calls come from one goroutine.
type Receiver interface {
	// ObjectsListed is called with a complete list of the objects.
	ObjectsListed(objects []objectstore.Object)
	// ObjectChanged is called for each object that was changed or deleted.
	ObjectChanged(object objectstore.Object)
	// StoreUnavailable is called after each failed call to the store, and
	// StoreAvailable after the first successful call that follows. The store last answered at
	// answeredAt, zero if it never did. A single failed call does not show an outage: a watch
	// may be cut off while the store answers all other calls.
	StoreUnavailable(answeredAt time.Time, err error)
	StoreAvailable()
}

// Config configures a mirror.
type Config struct {
	Source objectstore.KindReader
	Kind   string
	// WatchWait is the longest time that one watch waits for a change, and the interval
	// within which the store answers a router that watches it. It also bounds how late the
	// mirror detects that the store has lost its history: a pending watch then gets no
	// events, and only the next watch detects the loss.
	WatchWait time.Duration
	// ListToCatchUp is set for kinds that have few, large objects of which only the
	// newest version matters. After missed changes, a list of all objects then costs
	// less than a watch, which returns every change.
	ListToCatchUp bool
	Receiver      Receiver
	Peers         Peers
	// Access and Outages are shared by the mirrors of a router.
	Access  *Access
	Outages *outage.Tracker
	Logger  *zap.Logger
	// Guard runs the receiver.
	Guard telemetry.Guard
}

// Mirror is the local copy of one kind. Offer and KnownAt are safe for concurrent use, also
// while Run runs; nothing else is.
type Mirror struct {
	Config
	batches chan Batch

	haveList bool
	// listedAt is when the first list arrived. startedInOutage is set if a call failed
	// before: the list may then lack entries that expired in the outage and come back soon.
	listedAt        time.Time
	startedInOutage bool
	// relist is set after a failed call, so that the next call is a list. A watch
	// would return all changes since the last revision, which may take longer than its
	// time-out.
	relist          bool
	revision        uint64 // all changes up to this revision of the store are known
	changedRevision uint64 // revision of the newest list or batch of changes
	// versions are the highest versions seen, by key, so that batches and watch results
	// that arrive out of order never restore an older version.
	versions map[string]uint64
	// behindSince is the time since which changes are known to be missing; zero if none
	// are. The router asks the store when relayTimeout has passed since then. To set
	// another delay, applyBatch sets behindSince to an earlier time.
	behindSince time.Time
	failures    int       // consecutive failed calls
	outageSince time.Time // start of the current outage
	// answeredAt is when the store last answered this router, or a relay whose changes this
	// router knows. following is set while the router gets the changes from relays.
	answeredAt time.Time
	following  bool
	// known is the newest answeredAt, for KnownAt.
	known atomic.Pointer[time.Time]
}

// New returns an empty mirror.
func New(config Config) *Mirror {
	if config.Access == nil {
		config.Access = &Access{}
	}
	if config.Outages == nil {
		config.Outages = outage.New(outage.Config{})
	}
	return &Mirror{Config: config, batches: make(chan Batch, batchQueueLength), versions: map[string]uint64{}}
}

// Offer queues a batch from a relay. It does not block: if the queue is full the batch
// is dropped, and its changes are read from the store later.
func (m *Mirror) Offer(batch Batch) {
	select {
	case m.batches <- batch:
	default:
	}
}

// Run mirrors the kind until ctx ends, and returns nil.
func (m *Mirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		var err error
		switch {
		case !m.haveList:
			err = m.list(ctx)
		case m.followsRelays():
			m.logSource(true)
			m.awaitBatch(ctx)
			continue
		case m.awaitsRelays():
			m.waitApplyingBatches(ctx, followInterval)
			continue
		case m.relist || m.ListToCatchUp && !m.behindSince.IsZero():
			err = m.list(ctx)
		default:
			m.logSource(false)
			err = m.watch(ctx)
		}
		if err != nil {
			m.callFailed(ctx, err)
			continue
		}
		m.callSucceeded()
	}
	return nil
}

// logSource logs a change between relays and the store as the source of the changes.
func (m *Mirror) logSource(following bool) {
	if m.following == following {
		return
	}
	m.following = following
	source := "store"
	if following {
		source = "relays"
	}
	m.Logger.Info("changes are taken from the "+source, zap.String("kind", m.Kind), zap.Uint64("revision", m.revision),
		zap.Duration("store_answered_ago", since(m.answeredAt)))
}

// since returns the time since an answer of the store, 0 if it never answered.
func since(answeredAt time.Time) time.Duration {
	if answeredAt.IsZero() {
		return 0
	}
	return time.Since(answeredAt)
}

// list reads all objects from the store. A relay then publishes what has changed since
// the state that it had.
func (m *Mirror) list(ctx context.Context) error {
	began := time.Now()
	objects, revision, err := m.Source.List(ctx, m.Kind, false)
	if err != nil {
		return err
	}
	m.Outages.RecordAnswer(time.Now()) // the store may have been unavailable when the call began
	m.setAnswered(began)
	if m.listedAt.IsZero() {
		m.listedAt = time.Now()
	}
	changes := m.changesOfList(objects, revision)
	m.haveList, m.relist, m.revision, m.changedRevision = true, false, revision, revision
	m.behindSince = time.Time{}
	clear(m.versions)
	for _, object := range objects {
		m.versions[object.Key] = object.Version
	}
	m.Guard.Run("list of "+m.Kind, func() { m.Receiver.ObjectsListed(objects) })
	if relay, _ := m.Peers.RelayRole(); relay {
		m.Peers.Publish(changes)
	}
	return nil
}

// changesOfList returns the batch that leads from the known state to that of a list. It is
// partial if no state is known.
func (m *Mirror) changesOfList(objects []objectstore.Object, revision uint64) Batch {
	if m.changedRevision == 0 {
		return Batch{Kind: m.Kind, To: revision, Partial: true}
	}
	batch := Batch{Kind: m.Kind, From: m.changedRevision, To: revision, Partial: true, Listed: true}
	listed := make(map[string]bool, len(objects))
	for _, object := range objects {
		listed[object.Key] = true
		if known, ok := m.versions[object.Key]; !ok || known != object.Version {
			batch.Objects = append(batch.Objects, object)
		}
	}
	for key := range m.versions {
		if !listed[key] {
			batch.Objects = append(batch.Objects, objectstore.Object{Key: key, Version: revision, Deleted: true})
		}
	}
	return batch
}

// awaitsRelays reports whether the router waits for a relay instead of calling the store
// itself: shortly after its start, unless it started in an outage.
func (m *Mirror) awaitsRelays() bool {
	relay, _ := m.Peers.RelayRole()
	trusted := m.Peers.RelayHead(m.Kind).trusted(time.Now())
	return !relay && !trusted && !m.startedInOutage && time.Since(m.listedAt) < startGrace
}

// followsRelays reports whether the router gets the changes from relays. That is so if it
// is not a relay itself, the store has answered a relay within maxKnowledgeAge, and the
// mirror has not been behind the relays for relayTimeout or longer.
func (m *Mirror) followsRelays() bool {
	if relay, _ := m.Peers.RelayRole(); relay {
		return false
	}
	head, now := m.Peers.RelayHead(m.Kind), time.Now()
	if !head.trusted(now) {
		return false
	}
	if head.Changed <= m.revision {
		m.behindSince = time.Time{}
		m.endOutage()
		if head.AnsweredAt.After(m.answeredAt) {
			m.setAnswered(head.AnsweredAt)
		}
		return true
	}
	if m.behindSince.IsZero() {
		m.behindSince = now
	}
	return now.Sub(m.behindSince) < relayTimeout
}

// awaitBatch applies the next batch, if one arrives within followInterval and before the relays
// are no longer trusted. It also withdraws what this router announced while it watched the store
// itself.
func (m *Mirror) awaitBatch(ctx context.Context) {
	m.Peers.Announce(m.Kind, Head{})
	timer := time.NewTimer(min(followInterval, m.Peers.RelayHead(m.Kind).trustLeft(time.Now())))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case batch := <-m.batches:
		m.applyBatch(batch)
	case <-timer.C:
	}
}

// applyBatch applies a batch that continues the known state. If the batch is partial or
// starts after the known revision, applyBatch sets behindSince instead, so that the router
// asks the store after a random delay of one to two times partialDelay.
func (m *Mirror) applyBatch(batch Batch) {
	if !m.haveList || batch.To <= m.revision {
		return
	}
	usable := !batch.Partial || batch.Listed && m.changedRevision <= batch.From
	if !usable || batch.From > m.revision {
		delay := partialDelay + rand.N(partialDelay)
		if m.behindSince.IsZero() {
			m.behindSince = time.Now().Add(delay - relayTimeout)
		}
		return
	}
	m.applyObjects(batch.Objects)
	m.revision, m.changedRevision = batch.To, batch.To
	m.behindSince = time.Time{}
}

// watchResult is the result of one watch call.
type watchResult struct {
	objects  []objectstore.Object
	revision uint64
	err      error
}

// watch asks the store for changes and applies batches of relays while it waits.
func (m *Mirror) watch(ctx context.Context) error {
	began := time.Now()
	wait := watchWait(began, m.answeredAt, !m.behindSince.IsZero(), m.WatchWait)
	call, cancel := context.WithTimeout(ctx, wait+overdueAfter)
	defer cancel()
	from := m.revision
	result := make(chan watchResult, 1)
	go func() {
		objects, revision, err := m.Source.Watch(call, m.Kind, from, wait)
		result <- watchResult{objects: objects, revision: revision, err: err}
	}()
	for {
		select {
		case batch := <-m.batches:
			m.applyBatch(batch)
		case r := <-result:
			answeredAt := answeredBy(began, time.Now(), wait, len(r.objects))
			if r.err == nil {
				m.Outages.RecordAnswer(answeredAt)
			}
			err := m.applyWatch(from, r)
			if err == nil && r.err == nil {
				m.setAnswered(answeredAt)
			}
			if err != nil || len(r.objects) == 0 {
				return err
			}
			m.waitApplyingBatches(ctx, m.watchDelay())
			return nil
		}
	}
}

// watchDelay returns the time between a change and the next watch.
func (m *Mirror) watchDelay() time.Duration {
	if relay, first := m.Peers.RelayRole(); relay && !first {
		return backupRelayWatchDelay
	}
	if m.ListToCatchUp {
		return largeObjectWatchDelay
	}
	return firstRelayWatchDelay
}

// newestOfEach returns the last of the objects with each key, in the order of the last ones.
func newestOfEach(objects []objectstore.Object) []objectstore.Object {
	last := make(map[string]int, len(objects))
	for i, object := range objects {
		last[object.Key] = i
	}
	if len(last) == len(objects) {
		return objects
	}
	newest := make([]objectstore.Object, 0, len(last))
	for i, object := range objects {
		if last[object.Key] == i {
			newest = append(newest, object)
		}
	}
	return newest
}

// waitApplyingBatches waits for d and applies batches of relays meanwhile.
func (m *Mirror) waitApplyingBatches(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case batch := <-m.batches:
			m.applyBatch(batch)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// applyWatch applies the result of a watch for the changes after the revision from, and
// publishes them if this router is a relay. If the store no longer has the history
// since that revision, the next call is a list.
func (m *Mirror) applyWatch(from uint64, r watchResult) error {
	if errors.Is(r.err, objectstore.ErrCompacted) {
		m.Logger.Info("watch history compacted", zap.String("kind", m.Kind), zap.Uint64("revision", from))
		m.haveList = false
		return nil
	}
	if r.err != nil {
		return r.err
	}
	m.behindSince = time.Time{}
	r.objects = newestOfEach(r.objects)
	m.applyObjects(r.objects)
	if len(r.objects) > 0 {
		if relay, _ := m.Peers.RelayRole(); relay {
			m.Peers.Publish(Batch{Kind: m.Kind, From: min(m.changedRevision, from), To: r.revision, Objects: r.objects})
		}
		m.changedRevision = max(m.changedRevision, r.revision)
	}
	m.revision = max(m.revision, r.revision)
	return nil
}

// applyObjects passes those objects to the receiver that are newer than the known version.
// A deletion may have the same version as the object that it deletes.
func (m *Mirror) applyObjects(objects []objectstore.Object) {
	for _, object := range objects {
		known, ok := m.versions[object.Key]
		if ok && (object.Version < known || object.Version == known && !object.Deleted) {
			continue
		}
		m.versions[object.Key] = object.Version
		m.Guard.Run("object "+m.Kind+"/"+object.Key, func() { m.Receiver.ObjectChanged(object) })
	}
}

// callFailed tells the receiver that a call to the store failed, announces that, and backs off.
func (m *Mirror) callFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	m.Outages.RecordFailure(time.Now())
	if m.failures == 0 {
		m.outageSince = time.Now()
		m.Logger.Warn("store unavailable", zap.String("kind", m.Kind), zap.Uint64("revision", m.revision),
			zap.Duration("store_answered_ago", since(m.answeredAt)),
			zap.Duration("fleet_answered_ago", since(m.Outages.LastAnswer())), zap.Error(err))
	}
	m.failures++
	m.relist = true
	m.startedInOutage = m.startedInOutage || m.listedAt.IsZero()
	m.Receiver.StoreUnavailable(m.answeredAt, err)
	fresh := m.failures < failuresToOutage && since(m.answeredAt) < maxKnowledgeAge && !m.answeredAt.IsZero()
	m.Peers.Announce(m.Kind, Head{Changed: m.changedRevision, Fresh: fresh, AnsweredAt: m.answeredAt})
	backoff := min(minBackoff<<min(m.failures-1, 8), maxBackoff)
	m.waitApplyingBatches(ctx, backoff/2+rand.N(backoff/2+1))
	m.awaitTurn(ctx, err)
}

// awaitTurn waits in an outage of the store until it answers a relay or another mirror of this
// router, or until it is this mirror's turn to probe it. A relay, and a router that hears none,
// does not wait. The receiver is told that the outage lasts.
func (m *Mirror) awaitTurn(ctx context.Context, err error) {
	failedAt := time.Now()
	for ctx.Err() == nil && m.failures >= failuresToOutage {
		relay, _ := m.Peers.RelayRole()
		trusted := m.Peers.RelayHead(m.Kind).trusted(time.Now())
		if relay || trusted || !m.Peers.RelaysHeard() || m.Access.mayCall(time.Now(), failedAt) {
			return
		}
		m.Receiver.StoreUnavailable(m.answeredAt, err)
		m.waitApplyingBatches(ctx, probeCheckInterval)
	}
}

// callSucceeded announces a Fresh head, and ends an outage.
func (m *Mirror) callSucceeded() {
	m.Access.recordAnswer(time.Now())
	m.Peers.Announce(m.Kind, Head{Changed: m.changedRevision, Fresh: true, AnsweredAt: m.answeredAt})
	m.endOutage()
}

// endOutage reports the end of an outage, if there is one: the store has answered this router or
// a relay that it follows.
func (m *Mirror) endOutage() {
	if m.failures == 0 {
		return
	}
	m.Logger.Info("store available again", zap.String("kind", m.Kind), zap.Uint64("revision", m.revision),
		zap.Duration("outage", time.Since(m.outageSince)), zap.Int("failed_calls", m.failures))
	m.failures = 0
	m.Receiver.StoreAvailable()
}
