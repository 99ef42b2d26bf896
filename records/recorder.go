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
	// tickInterval is the time between two steps of Run.
	tickInterval = 250 * time.Millisecond
	// callTimeout bounds each call of the object API.
	callTimeout = 2 * time.Second
	// A change is written after writeDelay plus a random delay. Because of writeDelay,
	// all records of one failure share a batch. The random delay is below the number of
	// live routers divided by fleetWritesPerSecond, in seconds. It keeps routers that
	// record the same failure from exceeding that rate together.
	writeDelay           = 2 * time.Second
	fleetWritesPerSecond = 18
	// handoverDelay is the delay before an unwritten change is sent to peers.
	handoverDelay = 3 * time.Second
	// A router may make writeBurst writes at once, and one more after each
	// writeInterval: 350 routers whose records change continuously make 17.5 writes per
	// second, below the 20 that records may use. A change that has to wait for its
	// write is sent to two peers.
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
	// within that time. minCopyHold is longer than maxBackoff. It is also longer than
	// writeDelay plus the 350/18 s over which 350 routers spread their writes. A live
	// origin thus writes its records first.
	minCopyHold    = 25 * time.Second
	copyHoldJitter = 15 * time.Second
	// copyReadInterval is the minimum interval between reads of the records that
	// origins have written themselves.
	copyReadInterval = time.Second
	// countInterval is the length of the intervals for which refusals and retries
	// are counted. 350 routers that refuse requests continuously make at most
	// 0.8 writes per second for these counts.
	countInterval = 15 * time.Minute
	// flushTimeout bounds the Flush at the end of Run.
	flushTimeout = 5 * time.Second
	// shutdownMessageBytes bounds one message to a peer at shutdown.
	shutdownMessageBytes = 64 << 10
	// At shutdown, a failed send to a peer and a failed write that may be repeated are
	// attempted at most shutdownTries times, with a delay of shutdownPause.
	shutdownTries = 3
	shutdownPause = 20 * time.Millisecond
)

// Sender sends one-way messages to peers. An error means that the message was not
// sent; a nil error does not mean that it arrives.
type Sender interface {
	Send(router string, msg api.PeerMessage) error
}

// RecorderOptions are the settings of a Recorder. Store, Sender, Peers, Router,
// Incarnation and Metrics are required.
type RecorderOptions struct {
	Store  objectstore.Store
	Sender Sender
	// Peers returns the names of the peers that hold copies; see PickPeers.
	Peers func() []string
	// RouterCount returns the number of live routers, which share the fleet's write
	// rate. Default: a function that returns 350, the target size of a fleet.
	RouterCount func() int
	Router      string
	// Incarnation must rise with each restart of the router. It is a part of the ids of
	// records and of the keys of their objects, so that these stay unique.
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
	// Local sets the bounds of the router's own records. Its Router and Incarnation
	// are replaced by those above.
	Local LocalRecordsOptions
}

// Recorder records this router's failures, writes the records to the object API,
// and holds copies for other routers. It is safe for concurrent use; recording
// never waits for I/O.
type Recorder struct {
	opts RecorderOptions

	mu         sync.Mutex // guards local and peerCopies
	local      *LocalRecords
	peerCopies *PeerCopies

	stepMu          sync.Mutex // held during a step or flush; guards the fields below
	random          *rand.Rand
	currentDay      string
	nextCountAt     time.Time
	writeDue        time.Time // time of the next write; zero if nothing is unwritten
	handoverDue     time.Time // time of the next handover; zero if nothing is unwritten
	pending         *pendingBatch
	objectCounter   uint64
	writeLimiter    *rate.Limiter // limits the writes of batches
	handoverLimiter *rate.Limiter // limits the bytes sent to peers
	copyReadLimiter *rate.Limiter // limits the reads before copies are written
	backoff         time.Duration // newest backoff; zero after a successful write
	nextTryAt       time.Time     // end of the newest backoff
	lastFailure     time.Time     // time of the last failed call of the object API
	copyHoldTime    time.Duration // minCopyHold plus this router's random delay
	cleaner         cleaner
}

// pendingBatch is a batch that is not known to be written. All attempts to write it use
// the same key, so that the batch is stored once even if the outcome of an attempt is
// unknown.
type pendingBatch struct {
	key   string
	data  []byte
	batch api.RecordBatch
}

// NewRecorder returns a recorder without records.
func NewRecorder(opts RecorderOptions) *Recorder {
	if opts.Logger == nil {
		opts.Logger = zap.NewNop()
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.RouterCount == nil {
		opts.RouterCount = func() int { return 350 }
	}
	if opts.Seed == 0 {
		opts.Seed = rand.Uint64()
	}
	if opts.Retention <= 0 {
		opts.Retention = 14 * 24 * time.Hour
	}
	opts.Local.Router = opts.Router
	opts.Local.Incarnation = opts.Incarnation
	r := &Recorder{
		opts:            opts,
		local:           NewLocalRecords(opts.Local),
		peerCopies:      NewPeerCopies(),
		writeLimiter:    rate.NewLimiter(rate.Every(writeInterval), writeBurst),
		handoverLimiter: rate.NewLimiter(handoverBytesPerSecond, handoverBurstBytes),
		copyReadLimiter: rate.NewLimiter(rate.Every(copyReadInterval), 1),
		random:          rand.New(rand.NewPCG(opts.Seed, 0)),
	}
	r.copyHoldTime = minCopyHold + r.randomBelow(copyHoldJitter)
	r.cleaner.init(opts.Now().Add(r.randomBelow(cleanInterval)))
	r.recordCounts(opts.Now(), true) // starts the first count interval
	return r
}

// randomBelow returns a random delay below d.
func (r *Recorder) randomBelow(d time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(max(d, 1))))
}

// HandleBatch keeps the copies that a peer sent in memory. Invalid batches are logged
// and dropped.
func (r *Recorder) HandleBatch(from string, batch api.RecordBatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	dropped, err := r.peerCopies.Add(batch, r.opts.Now())
	if err != nil {
		r.opts.Metrics.Counter("records.invalid_batches").Inc(1)
		r.opts.Logger.Warn("batch of records from peer rejected", zap.String("peer", from), zap.Error(err))
		return
	}
	r.opts.Metrics.Counter("records.copies_dropped").Inc(int64(dropped))
	r.local.RecordLoss(LostCopies, dropped, r.opts.Now())
}

// Run writes records and deletes expired ones until ctx ends. It then calls Flush with a
// timeout of flushTimeout and returns the error of Flush.
func (r *Recorder) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
			defer cancel()
			return r.Flush(flushCtx)
		case <-ticker.C:
			r.step(ctx, r.opts.Now())
		}
	}
}

func (r *Recorder) step(ctx context.Context, now time.Time) {
	r.stepMu.Lock()
	defer r.stepMu.Unlock()
	r.rollOver(now)
	r.recordCounts(now, false)
	r.write(ctx, now)
	r.handOver(now)
	r.writePeerCopies(ctx, now)
	r.clean(ctx, now)
}

// rollOver marks the open records as unwritten when a new UTC day has begun, and
// evicts records that are no longer needed.
func (r *Recorder) rollOver(now time.Time) {
	day := now.UTC().Format(dayFormat)
	r.mu.Lock()
	defer r.mu.Unlock()
	if day != r.currentDay && r.currentDay != "" {
		r.local.MarkOpenUnwritten()
	}
	r.currentDay = day
	r.local.Prune(now)
}

// recordCounts records the refusals and retries since its last run, if countInterval
// has passed or force is set.
func (r *Recorder) recordCounts(now time.Time, force bool) {
	if now.Before(r.nextCountAt) && !force {
		return
	}
	r.nextCountAt = now.Add(countInterval)
	counters := map[string]int64{}
	r.opts.Metrics.Registry.Each(func(name string, metric any) {
		if counter, ok := metric.(metrics.Counter); ok {
			counters[name] = counter.Count()
		}
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.local.RecordCounts(now, counters)
}

// write makes at most one attempt to write a batch, if one is due.
func (r *Recorder) write(ctx context.Context, now time.Time) {
	r.schedule(now)
	if r.pending == nil {
		if !isDue(r.writeDue, now) || !r.writeLimiter.AllowN(now, 1) {
			return
		}
		r.pending = r.nextBatch(now)
	}
	if r.pending == nil || now.Before(r.nextTryAt) {
		return
	}
	_ = r.writePending(ctx, now) // counted in backOff, and retried after the backoff
}

// schedule sets the times of the next write and handover when there are new
// changes, and clears them when there are none.
func (r *Recorder) schedule(now time.Time) {
	r.mu.Lock()
	dirty := r.local.Dirty()
	r.mu.Unlock()
	switch {
	case !dirty:
		r.writeDue, r.handoverDue = time.Time{}, time.Time{}
	case r.writeDue.IsZero():
		spread := time.Duration(max(r.opts.RouterCount(), 1)) * time.Second / fleetWritesPerSecond
		r.writeDue = now.Add(writeDelay + r.randomBelow(spread))
		r.handoverDue = now.Add(handoverDelay)
	}
}

func isDue(due, now time.Time) bool { return !due.IsZero() && !now.Before(due) }

// nextBatch returns the next batch to write, or nil if nothing is unwritten.
func (r *Recorder) nextBatch(now time.Time) *pendingBatch {
	r.mu.Lock()
	batch := r.local.Batch(MaxBatchBytes)
	r.mu.Unlock()
	if len(batch.Records) == 0 {
		return nil
	}
	data, err := EncodeBatch(batch)
	if err != nil {
		r.opts.Logger.Error("encoding records failed", zap.Error(err))
		return nil
	}
	return &pendingBatch{key: r.objectKey(now, r.opts.Router), data: data, batch: batch}
}

// objectKey returns an unused key for records of a router, under the prefix of the
// router and the current day. The key holds the writer's name, after "by-" if the
// writer is another router, and its incarnation, so that no two writers choose the
// same key.
func (r *Recorder) objectKey(now time.Time, router string) string {
	r.objectCounter++
	name := fmt.Sprintf("%d-%06d", r.opts.Incarnation, r.objectCounter)
	if router != r.opts.Router {
		name = "by-" + url.QueryEscape(r.opts.Router) + "-" + name
	}
	return routerPrefix(now.UTC().Format(dayFormat), router) + name
}

func (r *Recorder) writePending(ctx context.Context, now time.Time) error {
	p := r.pending
	if err := r.put(ctx, p.key, p.data); err != nil {
		if errors.Is(err, errKeyTaken) {
			r.pending = nil // the records are still unwritten and get another key
		}
		r.backOff(now, err)
		return err
	}
	r.pending = nil
	r.writeDue, r.handoverDue = time.Time{}, time.Time{}
	r.resetBackoff()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.local.MarkWritten(p.batch)
	return nil
}

// errKeyTaken means that another process writes under this router's name and
// incarnation.
var errKeyTaken = errors.New("records: key is taken by another writer")

// put creates an object. A conflict with an object of the same content counts as
// success: an earlier attempt took effect although its response was lost. Errors:
// errKeyTaken, and those of the store.
func (r *Recorder) put(ctx context.Context, key string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.opts.Metrics.Counter("records.writes").Inc(1)
	_, err := r.opts.Store.Put(ctx, key, data, 0)
	if !errors.Is(err, objectstore.ErrConflict) {
		return err
	}
	object, err := r.opts.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	if !bytes.Equal(object.Value, data) {
		return errKeyTaken
	}
	return nil
}

func (r *Recorder) backOff(now time.Time, err error) {
	r.opts.Metrics.Counter("records.failed_calls").Inc(1)
	if r.backoff == 0 {
		r.opts.Logger.Warn("calls to the object API fail, backing off", zap.Error(err))
	}
	r.backoff = min(max(2*r.backoff, firstBackoff), maxBackoff)
	r.nextTryAt = now.Add(r.backoff/2 + r.randomBelow(r.backoff/2))
	r.lastFailure = now
}

func (r *Recorder) resetBackoff() {
	r.backoff = 0
	r.nextTryAt = time.Time{}
}

// handOver sends copies of the unwritten records to two peers once the handover
// is due.
func (r *Recorder) handOver(now time.Time) {
	r.schedule(now)
	if !isDue(r.handoverDue, now) {
		return
	}
	for _, peer := range r.opts.Peers() {
		available := int(r.handoverLimiter.TokensAt(now))
		r.mu.Lock()
		batch := r.local.HandoverBatch(peer, now, handoverResendAfter, available)
		r.mu.Unlock()
		if len(batch.Records) == 0 {
			continue
		}
		size := batchOverheadBytes
		for _, record := range batch.Records {
			size += encodedSize(record)
		}
		r.handoverLimiter.AllowN(now, min(size, available))
		if r.send(peer, batch) {
			r.mu.Lock()
			r.local.MarkSent(peer, now, batch)
			r.mu.Unlock()
		}
	}
}

func (r *Recorder) send(peer string, batch api.RecordBatch) bool {
	if err := r.opts.Sender.Send(peer, api.PeerMessage{Records: &batch}); err != nil {
		r.opts.Metrics.Counter("records.failed_sends").Inc(1)
		return false
	}
	r.opts.Metrics.Counter("records.handed_over").Inc(int64(len(batch.Records)))
	return true
}

// writePeerCopies picks one other router whose records have waited here as copies for at
// least copyHoldTime, and writes those that the other router has not written itself.
func (r *Recorder) writePeerCopies(ctx context.Context, now time.Time) {
	if now.Sub(r.lastFailure) < r.copyHoldTime {
		return
	}
	r.mu.Lock()
	due := r.peerCopies.DueRouters(now, r.copyHoldTime)
	r.mu.Unlock()
	if len(due) == 0 || !r.copyReadLimiter.AllowN(now, 1) {
		return
	}
	allowed := func() bool { return r.writeLimiter.AllowN(now, 1) }
	if err := r.writeCopiesOf(ctx, now, due[0], allowed); err != nil {
		r.backOff(now, err)
	}
}

// writeCopiesOf writes the copies of those records that the router has not written
// itself. allowed is called before each write; once it returns false, the other
// copies wait for the next call.
func (r *Recorder) writeCopiesOf(ctx context.Context, now time.Time, router string, allowed func() bool) error {
	r.mu.Lock()
	since := r.peerCopies.WaitingSince(router)
	r.mu.Unlock()
	stored, err := r.readStored(ctx, router, Days(since.Add(-readMargin), now))
	if err != nil {
		return err
	}
	r.removeStoredCopies(router, now, stored)
	for {
		r.mu.Lock()
		batch := r.peerCopies.Batch(router, MaxBatchBytes)
		r.mu.Unlock()
		if len(batch.Records) == 0 || !allowed() {
			return nil
		}
		data, err := EncodeBatch(batch)
		if err != nil {
			return err
		}
		if err := r.put(ctx, r.objectKey(now, router), data); err != nil {
			return err
		}
		r.opts.Metrics.Counter("records.written_for_peers").Inc(int64(len(batch.Records)))
		r.removeStoredCopies(router, now, batch.Records)
	}
}

func (r *Recorder) removeStoredCopies(router string, now time.Time, stored []api.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerCopies.RemoveStored(router, now, stored)
}

// readStored reads the records of one router from the object API.
func (r *Recorder) readStored(ctx context.Context, router string, days []string) ([]api.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	set := newRecordSet()
	unread := map[string]bool{}
	for _, day := range days {
		err := listAll(ctx, r.opts.Store, routerPrefix(day, router), unread, func(object objectstore.Object) {
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
func (r *Recorder) Report(ctx context.Context, since time.Time) (Report, error) {
	now := r.opts.Now()
	result, err := readDays(ctx, r.opts.Store, Days(since.Add(-readMargin), now.Add(readMargin)))
	if err != nil {
		r.opts.Logger.Warn("object API not readable, report holds only the records in memory", zap.Error(err))
	}
	list := append(result.Records, r.recordsInMemory(now)...)
	report := BuildReport(list, since, now, now)
	report.SetUnread(result.Unread)
	return report, nil
}

// recordsInMemory returns this router's records in memory, written ones included, and the
// copies held for other routers.
func (r *Recorder) recordsInMemory(now time.Time) []api.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.local.Records()
	for _, router := range r.peerCopies.DueRouters(now, 0) {
		list = append(list, r.peerCopies.Records(router)...)
	}
	return list
}
