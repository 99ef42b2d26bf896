package records

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

const (
	tickInterval = 250 * time.Millisecond
	callTimeout  = 2 * time.Second
	// A change is written after writeDelay, so that all records of one failure
	// share a batch, plus a random delay of up to live routers /
	// fleetWritesPerSecond seconds, so that routers that record the same failure
	// do not exceed that rate together.
	writeDelay           = 2 * time.Second
	fleetWritesPerSecond = 18
	// handoverDelay is the delay before an unwritten change is sent to peers.
	handoverDelay = 3 * time.Second
	// writeInterval bounds the sustained write rate: 350 routers whose records
	// change continuously make 17.5 writes per second, below the 20 that records
	// may use. A change that has to wait for it is sent to two peers.
	writeInterval = 20 * time.Second
	writeBurst    = 3
	// firstBackoff and maxBackoff bound the backoff while the object API fails.
	firstBackoff = time.Second
	maxBackoff   = 10 * time.Second
	// handoverBytesPerSecond bounds the mean rate of copies sent to peers, within
	// the 4 KB/s of a router's control traffic.
	handoverBytesPerSecond = 1 << 10
	handoverBurstBytes     = 32 << 10
	// handoverResendAfter is the time after which records that are still unwritten are
	// sent to the same peer again.
	handoverResendAfter = time.Minute
	// A peer writes copies after it has held them for minCopyHold plus up to
	// copyHoldJitter, and only if none of its calls to the object API has failed
	// within that time. The time is longer than maxBackoff and than the period over
	// which 350 routers spread their writes, so that a live origin writes first.
	minCopyHold    = 25 * time.Second
	copyHoldJitter = 15 * time.Second
	// copyReadInterval is the minimum interval between reads of the records that
	// origins have written themselves.
	copyReadInterval = time.Second
	// countInterval is the length of the intervals for which refusals and retries
	// are counted. 350 routers that refuse requests continuously make at most
	// 0.8 writes per second for these counts.
	countInterval = 15 * time.Minute
	flushTimeout  = 5 * time.Second
	// shutdownMessageBytes bounds one message to a peer at shutdown.
	shutdownMessageBytes = 64 << 10
	// shutdownTries bounds the attempts at shutdown of a send that failed or a
	// write whose outcome is unknown, and shutdownPause is the delay between them.
	shutdownTries = 3
	shutdownPause = 20 * time.Millisecond
)

// Sender sends one-way messages to peers.
type Sender interface {
	Send(router string, msg api.PeerMessage) error
}

// KeeperOptions are the settings of a Keeper. Store, Sender, Peers, Router,
// Incarnation and Metrics are required.
type KeeperOptions struct {
	Store  objectstore.Store
	Sender Sender
	// Peers returns the names of the peers that hold copies; see PickPeers.
	Peers func() []string
	// Routers returns the number of live routers, which share the fleet's write
	// rate. Default 350, the target size of a fleet.
	Routers     func() int
	Router      string
	Incarnation uint64
	Metrics     *telemetry.Metrics
	// Logger defaults to a logger that writes nothing.
	Logger *zap.Logger
	// Retention is how long records stay in the object API. Default 14 days.
	Retention time.Duration
	// Seed makes the random delays reproducible. Default a random seed.
	Seed uint64
	// Now is the clock. Default time.Now.
	Now func() time.Time
	// Book sets the bounds of the router's own records. Its Router and Incarnation
	// are replaced by those above.
	Book BookOptions
}

// Keeper records this router's failures, writes the records to the object API,
// and holds copies for other routers. It is safe for concurrent use; recording
// never waits for I/O.
type Keeper struct {
	opts KeeperOptions

	mu         sync.Mutex // guards local and peerCopies
	local      *Book
	peerCopies *PeerCopies

	stepMu          sync.Mutex // held during a step or flush; guards the fields below
	random          *rand.Rand
	currentDay      string
	nextCountAt     time.Time
	writeDue        time.Time // time of the next write; zero if nothing is unwritten
	handoverDue     time.Time // time of the next handover; zero if nothing is unwritten
	pending         *pendingBatch
	objectCounter   uint64
	writeLimiter    *rate.Limiter
	handoverLimiter *rate.Limiter
	copyReadLimiter *rate.Limiter
	backoff         time.Duration
	nextTryAt       time.Time
	lastFailure     time.Time
	copyHoldTime    time.Duration
	cleaner         cleaner
}

// pendingBatch is a batch that is not known to be written. All attempts use the
// same key, so that it is stored once even if the outcome of one is unknown.
type pendingBatch struct {
	key   string
	data  []byte
	batch api.RecordBatch
}

// NewKeeper returns a keeper without records.
func NewKeeper(opts KeeperOptions) *Keeper {
	if opts.Logger == nil {
		opts.Logger = zap.NewNop()
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Routers == nil {
		opts.Routers = func() int { return 350 }
	}
	if opts.Seed == 0 {
		opts.Seed = rand.Uint64()
	}
	if opts.Retention <= 0 {
		opts.Retention = 14 * 24 * time.Hour
	}
	opts.Book.Router = opts.Router
	opts.Book.Incarnation = opts.Incarnation
	k := &Keeper{
		opts:            opts,
		local:           NewBook(opts.Book),
		peerCopies:      NewPeerCopies(),
		writeLimiter:    rate.NewLimiter(rate.Every(writeInterval), writeBurst),
		handoverLimiter: rate.NewLimiter(handoverBytesPerSecond, handoverBurstBytes),
		copyReadLimiter: rate.NewLimiter(rate.Every(copyReadInterval), 1),
		random:          rand.New(rand.NewPCG(opts.Seed, 0)),
	}
	k.copyHoldTime = minCopyHold + k.randomBelow(copyHoldJitter)
	k.cleaner.init(opts.Now().Add(k.randomBelow(cleanInterval)))
	k.recordCounts(opts.Now(), true) // starts the first count interval
	return k
}

// randomBelow returns a random delay below d.
func (k *Keeper) randomBelow(d time.Duration) time.Duration {
	return time.Duration(k.random.Int64N(int64(max(d, 1))))
}

// HandleBatch stores the copies that a peer sent. Invalid batches are logged.
func (k *Keeper) HandleBatch(from string, batch api.RecordBatch) {
	k.mu.Lock()
	defer k.mu.Unlock()
	dropped, err := k.peerCopies.Add(batch, k.opts.Now())
	if err != nil {
		k.opts.Metrics.Counter("records.invalid_batches").Inc(1)
		k.opts.Logger.Warn("batch of records from peer rejected", zap.String("peer", from), zap.Error(err))
		return
	}
	k.opts.Metrics.Counter("records.copies_dropped").Inc(int64(dropped))
	k.local.RecordLoss(LostCopies, dropped, k.opts.Now())
}

// Run writes records and deletes expired ones until ctx ends, then calls Flush.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
			defer cancel()
			return k.Flush(flushCtx)
		case <-ticker.C:
			k.step(ctx, k.opts.Now())
		}
	}
}

func (k *Keeper) step(ctx context.Context, now time.Time) {
	k.stepMu.Lock()
	defer k.stepMu.Unlock()
	k.rollOver(now)
	k.recordCounts(now, false)
	k.write(ctx, now)
	k.handOver(now)
	k.writePeerCopies(ctx, now)
	k.clean(ctx, now)
}

// rollOver marks the open records as unwritten when a new UTC day has begun, and
// evicts records that are no longer needed.
func (k *Keeper) rollOver(now time.Time) {
	day := now.UTC().Format(dayFormat)
	k.mu.Lock()
	defer k.mu.Unlock()
	if day != k.currentDay && k.currentDay != "" {
		k.local.MarkOpenUnwritten()
	}
	k.currentDay = day
	k.local.Prune(now)
}

func (k *Keeper) recordCounts(now time.Time, force bool) {
	if now.Before(k.nextCountAt) && !force {
		return
	}
	k.nextCountAt = now.Add(countInterval)
	counters := map[string]int64{}
	k.opts.Metrics.Registry.Each(func(name string, metric any) {
		if counter, ok := metric.(metrics.Counter); ok {
			counters[name] = counter.Count()
		}
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	k.local.RecordCounts(now, counters)
}

// write makes at most one attempt to write a batch, if one is due.
func (k *Keeper) write(ctx context.Context, now time.Time) {
	k.schedule(now)
	if k.pending == nil {
		if !isDue(k.writeDue, now) || !k.writeLimiter.AllowN(now, 1) {
			return
		}
		k.pending = k.nextBatch(now)
	}
	if k.pending == nil || now.Before(k.nextTryAt) {
		return
	}
	_ = k.writePending(ctx, now) // counted in backOff, and retried after the backoff
}

// schedule sets the times of the next write and handover when there are new
// changes, and clears them when there are none.
func (k *Keeper) schedule(now time.Time) {
	k.mu.Lock()
	dirty := k.local.Dirty()
	k.mu.Unlock()
	switch {
	case !dirty:
		k.writeDue, k.handoverDue = time.Time{}, time.Time{}
	case k.writeDue.IsZero():
		spread := time.Duration(max(k.opts.Routers(), 1)) * time.Second / fleetWritesPerSecond
		k.writeDue = now.Add(writeDelay + k.randomBelow(spread))
		k.handoverDue = now.Add(handoverDelay)
	}
}

func isDue(due, now time.Time) bool { return !due.IsZero() && !now.Before(due) }

// nextBatch returns the next batch to write, or nil if nothing is unwritten.
func (k *Keeper) nextBatch(now time.Time) *pendingBatch {
	k.mu.Lock()
	batch := k.local.Batch(MaxBatchBytes)
	k.mu.Unlock()
	if len(batch.Records) == 0 {
		return nil
	}
	data, err := EncodeBatch(batch)
	if err != nil {
		k.opts.Logger.Error("encoding records failed", zap.Error(err))
		return nil
	}
	return &pendingBatch{key: k.objectKey(now, k.opts.Router), data: data, batch: batch}
}

// objectKey returns an unused key for records of a router, under the prefix of the
// router and the current day. The key holds the writer's name, after "by-" if the
// writer is another router, and its incarnation, so that no two writers choose the
// same key.
func (k *Keeper) objectKey(now time.Time, router string) string {
	k.objectCounter++
	name := fmt.Sprintf("%d-%06d", k.opts.Incarnation, k.objectCounter)
	if router != k.opts.Router {
		name = "by-" + url.QueryEscape(k.opts.Router) + "-" + name
	}
	return routerPrefix(now.UTC().Format(dayFormat), router) + name
}

func (k *Keeper) writePending(ctx context.Context, now time.Time) error {
	p := k.pending
	if err := k.put(ctx, p.key, p.data); err != nil {
		if errors.Is(err, errKeyTaken) {
			k.pending = nil // the records are still unwritten and get another key
		}
		k.backOff(now, err)
		return err
	}
	k.pending = nil
	k.writeDue, k.handoverDue = time.Time{}, time.Time{}
	k.resetBackoff()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.local.MarkWritten(p.batch)
	return nil
}

// errKeyTaken means that another process writes under this router's name and
// incarnation.
var errKeyTaken = errors.New("records: key is taken by another writer")

// put creates an object. A conflict with an object of the same content counts as
// success: an earlier attempt took effect although its response was lost. Errors:
// errKeyTaken, and those of the store.
func (k *Keeper) put(ctx context.Context, key string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.opts.Metrics.Counter("records.writes").Inc(1)
	_, err := k.opts.Store.Put(ctx, key, data, 0)
	if !errors.Is(err, objectstore.ErrConflict) {
		return err
	}
	object, err := k.opts.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	if !bytes.Equal(object.Value, data) {
		return errKeyTaken
	}
	return nil
}

func (k *Keeper) backOff(now time.Time, err error) {
	k.opts.Metrics.Counter("records.failed_calls").Inc(1)
	if k.backoff == 0 {
		k.opts.Logger.Warn("calls to the object API fail, backing off", zap.Error(err))
	}
	k.backoff = min(max(2*k.backoff, firstBackoff), maxBackoff)
	k.nextTryAt = now.Add(k.backoff/2 + k.randomBelow(k.backoff/2))
	k.lastFailure = now
}

func (k *Keeper) resetBackoff() {
	k.backoff = 0
	k.nextTryAt = time.Time{}
}

// handOver sends copies of the unwritten records to two peers once the handover
// is due.
func (k *Keeper) handOver(now time.Time) {
	k.schedule(now)
	if !isDue(k.handoverDue, now) {
		return
	}
	for _, peer := range k.opts.Peers() {
		available := int(k.handoverLimiter.TokensAt(now))
		k.mu.Lock()
		batch := k.local.HandoverBatch(peer, now, handoverResendAfter, available)
		k.mu.Unlock()
		if len(batch.Records) == 0 {
			continue
		}
		size := batchOverheadBytes
		for _, record := range batch.Records {
			size += encodedSize(record)
		}
		k.handoverLimiter.AllowN(now, min(size, available))
		if k.send(peer, batch) {
			k.mu.Lock()
			k.local.MarkSent(peer, now, batch)
			k.mu.Unlock()
		}
	}
}

func (k *Keeper) send(peer string, batch api.RecordBatch) bool {
	if err := k.opts.Sender.Send(peer, api.PeerMessage{Records: &batch}); err != nil {
		k.opts.Metrics.Counter("records.failed_sends").Inc(1)
		return false
	}
	k.opts.Metrics.Counter("records.handed_over").Inc(int64(len(batch.Records)))
	return true
}

// writePeerCopies writes the copies of one router that have been held for
// copyHoldTime, as far as the router has not written them itself.
func (k *Keeper) writePeerCopies(ctx context.Context, now time.Time) {
	if now.Sub(k.lastFailure) < k.copyHoldTime {
		return
	}
	k.mu.Lock()
	due := k.peerCopies.Due(now, k.copyHoldTime)
	k.mu.Unlock()
	if len(due) == 0 || !k.copyReadLimiter.AllowN(now, 1) {
		return
	}
	allowed := func() bool { return k.writeLimiter.AllowN(now, 1) }
	if err := k.writeCopiesOf(ctx, now, due[0], allowed); err != nil {
		k.backOff(now, err)
	}
}

// writeCopiesOf writes the copies of the records that the router has not written
// itself. allowed is called before each write; once it returns false, the other
// copies wait for the next call.
func (k *Keeper) writeCopiesOf(ctx context.Context, now time.Time, router string, allowed func() bool) error {
	k.mu.Lock()
	since := k.peerCopies.WaitingSince(router)
	k.mu.Unlock()
	stored, err := k.readStored(ctx, router, Days(since.Add(-readMargin), now))
	if err != nil {
		return err
	}
	k.removeStoredCopies(router, now, stored)
	for {
		k.mu.Lock()
		batch := k.peerCopies.Batch(router, MaxBatchBytes)
		k.mu.Unlock()
		if len(batch.Records) == 0 || !allowed() {
			return nil
		}
		data, err := EncodeBatch(batch)
		if err != nil {
			return err
		}
		if err := k.put(ctx, k.objectKey(now, router), data); err != nil {
			return err
		}
		k.opts.Metrics.Counter("records.written_for_peers").Inc(int64(len(batch.Records)))
		k.removeStoredCopies(router, now, batch.Records)
	}
}

func (k *Keeper) removeStoredCopies(router string, now time.Time, stored []api.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.peerCopies.RemoveStored(router, now, stored)
}

// readStored reads the records of one router from the object API.
func (k *Keeper) readStored(ctx context.Context, router string, days []string) ([]api.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	set := newRecordSet()
	unread := map[string]bool{}
	for _, day := range days {
		err := listAll(ctx, k.opts.Store, routerPrefix(day, router), unread, func(object objectstore.Object) {
			if batch, err := DecodeBatch(object.Value); err == nil {
				set.add(batch.Records...)
			}
		})
		if err != nil {
			return nil, err
		}
	}
	return set.sorted(), nil
}

// Report builds the report of the period from since to now from the object API
// and from the records and copies that this router has in memory. Days that
// cannot be read are named in the report; the error is always nil.
func (k *Keeper) Report(ctx context.Context, since time.Time) (Report, error) {
	now := k.opts.Now()
	result, err := readDays(ctx, k.opts.Store, Days(since.Add(-readMargin), now.Add(readMargin)))
	if err != nil {
		k.opts.Logger.Warn("object API not readable, report holds only the records in memory", zap.Error(err))
	}
	list := append(result.Records, k.recordsInMemory(now)...)
	report := Build(list, since, now, now)
	report.SetUnread(result.Unread)
	return report, nil
}

// recordsInMemory returns this router's records in memory, written ones included, and the
// copies held for other routers.
func (k *Keeper) recordsInMemory(now time.Time) []api.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := k.local.Records()
	for _, router := range k.peerCopies.Due(now, 0) {
		list = append(list, k.peerCopies.Records(router)...)
	}
	return list
}
