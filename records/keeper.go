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
	// A change is written after writeDelay, so that what follows from one failure
	// shares a batch, plus a random part of live routers / fleetWritesPerSecond,
	// so that routers that see the same failure together stay at that rate.
	writeDelay           = 2 * time.Second
	fleetWritesPerSecond = 18
	// handoverDelay is when a change that is not written yet is handed to peers.
	handoverDelay = 3 * time.Second
	// writeInterval bounds the sustained writes: 350 routers with changes at all
	// times make 17.5 writes a second, under the 20 that records may use. A
	// change that must wait for it is handed to two peers.
	writeInterval = 20 * time.Second
	writeBurst    = 3
	// firstBackoff and maxBackoff pace the tries while the object API is out.
	firstBackoff = time.Second
	maxBackoff   = 10 * time.Second
	// handoverBytesPerSecond bounds what is sent to peers on average, within the
	// 4 KB/s of a router's control traffic.
	handoverBytesPerSecond = 1 << 10
	handoverBurstBytes     = 32 << 10
	// handoverAgain is when unwritten records are sent again to the same peer.
	handoverAgain = time.Minute
	// holdWait plus up to holdJitter is how long copies are held, and how long the
	// object API must have answered, before a peer writes them. It is longer than
	// maxBackoff and the spread of 350 routers' writes, so that a live origin
	// writes first.
	holdWait   = 25 * time.Second
	holdJitter = 15 * time.Second
	// heldInterval spaces the reads that find out what an origin has written.
	heldInterval = time.Second
	// countInterval gives 0.8 writes a second for 350 routers that refuse
	// requests at all times.
	countInterval = 15 * time.Minute
	flushTimeout  = 5 * time.Second
	// shutdownMessageBytes bounds one message to a peer at shutdown.
	shutdownMessageBytes = 64 << 10
	// shutdownTries and shutdownPause repeat sends and writes without answer at
	// shutdown.
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
	// Peers names the two live peers that hold copies; see PickPeers.
	Peers func() []string
	// Routers is the number of live routers, over which writes are spread.
	// Default 350, the target size of a fleet.
	Routers     func() int
	Router      string
	Incarnation uint64
	Metrics     *telemetry.Metrics
	// Logger defaults to no log.
	Logger *zap.Logger
	// Retention is how long records stay in the object API. Default 14 days.
	Retention time.Duration
	// Seed makes the random delays repeatable. Default a random seed.
	Seed uint64
	// Now is the clock. Default time.Now.
	Now func() time.Time
	// Book holds the bounds of the router's own records; its Router and
	// Incarnation are those above.
	Book BookOptions
}

// Keeper records this router's failures, writes them, and holds copies for other
// routers. It is safe for concurrent use; recording never waits for I/O.
type Keeper struct {
	opts KeeperOptions

	mu   sync.Mutex // guards book and held
	book *Book
	held *Held

	work       sync.Mutex // one step or flush at a time; guards the rest
	random     *rand.Rand
	day        string
	nextCount  time.Time
	due        time.Time // of the next write; zero without changes
	handDue    time.Time // of the next hand-over; zero without changes
	pending    *pendingBatch
	number     uint64
	writes     *rate.Limiter
	handover   *rate.Limiter
	heldReads  *rate.Limiter
	backoff    time.Duration
	nextTry    time.Time
	lastFailed time.Time
	holdFor    time.Duration
	cleaner    cleaner
}

// pendingBatch is a write whose outcome is not known. It is repeated under the
// same key, so that it is stored once.
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
		opts:      opts,
		book:      NewBook(opts.Book),
		held:      NewHeld(),
		writes:    rate.NewLimiter(rate.Every(writeInterval), writeBurst),
		handover:  rate.NewLimiter(handoverBytesPerSecond, handoverBurstBytes),
		heldReads: rate.NewLimiter(rate.Every(heldInterval), 1),
		random:    rand.New(rand.NewPCG(opts.Seed, 0)),
	}
	k.holdFor = holdWait + k.upTo(holdJitter)
	k.cleaner.init(opts.Now().Add(k.upTo(cleanInterval)))
	k.count(opts.Now(), true) // starts the first interval
	return k
}

// upTo returns a random delay below d.
func (k *Keeper) upTo(d time.Duration) time.Duration {
	return time.Duration(k.random.Int64N(int64(max(d, 1))))
}

// HandleBatch holds the copies that a peer sent.
func (k *Keeper) HandleBatch(from string, batch api.RecordBatch) {
	k.mu.Lock()
	defer k.mu.Unlock()
	dropped, err := k.held.Take(batch, k.opts.Now())
	if err != nil {
		k.opts.Metrics.Counter("records.invalid_batches").Inc(1)
		k.opts.Logger.Warn("records from a peer refused", zap.String("peer", from), zap.Error(err))
		return
	}
	k.opts.Metrics.Counter("records.copies_dropped").Inc(int64(dropped))
	k.book.Lose(LostCopies, dropped, k.opts.Now())
}

// Run writes and cleans until ctx ends, and then flushes.
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
	k.work.Lock()
	defer k.work.Unlock()
	k.roll(now)
	k.count(now, false)
	k.write(ctx, now)
	k.handOver(now)
	k.writeHeld(ctx, now)
	k.clean(ctx, now)
}

func (k *Keeper) roll(now time.Time) {
	day := now.UTC().Format(dayFormat)
	k.mu.Lock()
	defer k.mu.Unlock()
	if day != k.day && k.day != "" {
		k.book.Rollover()
	}
	k.day = day
	k.book.Prune(now)
}

func (k *Keeper) count(now time.Time, force bool) {
	if now.Before(k.nextCount) && !force {
		return
	}
	k.nextCount = now.Add(countInterval)
	counters := map[string]int64{}
	k.opts.Metrics.Registry.Each(func(name string, metric any) {
		if counter, ok := metric.(metrics.Counter); ok {
			counters[name] = counter.Count()
		}
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.Count(now, counters)
}

// write stores one batch when one is due.
func (k *Keeper) write(ctx context.Context, now time.Time) {
	k.schedule(now)
	if k.pending == nil {
		if !reached(k.due, now) || !k.writes.AllowN(now, 1) {
			return
		}
		k.pending = k.nextBatch(now)
	}
	if k.pending == nil || now.Before(k.nextTry) {
		return
	}
	_ = k.writePending(ctx, now) // counted, and repeated after the backoff
}

// schedule sets when the changes are written and handed over.
func (k *Keeper) schedule(now time.Time) {
	k.mu.Lock()
	dirty := k.book.Dirty()
	k.mu.Unlock()
	switch {
	case !dirty:
		k.due, k.handDue = time.Time{}, time.Time{}
	case k.due.IsZero():
		spread := time.Duration(max(k.opts.Routers(), 1)) * time.Second / fleetWritesPerSecond
		k.due = now.Add(writeDelay + k.upTo(spread))
		k.handDue = now.Add(handoverDelay)
	}
}

func reached(due, now time.Time) bool { return !due.IsZero() && !now.Before(due) }

// nextBatch returns nil if there is nothing to write.
func (k *Keeper) nextBatch(now time.Time) *pendingBatch {
	k.mu.Lock()
	batch := k.book.Batch(MaxBatchBytes)
	k.mu.Unlock()
	if len(batch.Records) == 0 {
		return nil
	}
	data, err := EncodeBatch(batch)
	if err != nil {
		k.opts.Logger.Error("records not encoded", zap.Error(err))
		return nil
	}
	return &pendingBatch{key: k.key(now, k.opts.Router), data: data, batch: batch}
}

// key returns an unused key under a router's prefix of today. It holds the
// writer's name and incarnation, so that no two writers choose the same.
func (k *Keeper) key(now time.Time, router string) string {
	k.number++
	name := fmt.Sprintf("%d-%06d", k.opts.Incarnation, k.number)
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
		k.failed(now, err)
		return err
	}
	k.pending = nil
	k.due, k.handDue = time.Time{}, time.Time{}
	k.answered()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.Saved(p.batch)
	return nil
}

// errKeyTaken says that another process writes under this router's name and
// incarnation.
var errKeyTaken = errors.New("records: key is taken by another writer")

// put creates an object. A conflict with the same content is an earlier try
// whose answer was lost.
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

func (k *Keeper) failed(now time.Time, err error) {
	k.opts.Metrics.Counter("records.failed_calls").Inc(1)
	if k.backoff == 0 {
		k.opts.Logger.Warn("records cannot be written now", zap.Error(err))
	}
	k.backoff = min(max(2*k.backoff, firstBackoff), maxBackoff)
	k.nextTry = now.Add(k.backoff/2 + k.upTo(k.backoff/2))
	k.lastFailed = now
}

func (k *Keeper) answered() {
	k.backoff = 0
	k.nextTry = time.Time{}
}

// handOver sends copies of the records that are due but not written to two
// peers.
func (k *Keeper) handOver(now time.Time) {
	k.schedule(now)
	if !reached(k.handDue, now) {
		return
	}
	for _, peer := range k.opts.Peers() {
		available := int(k.handover.TokensAt(now))
		k.mu.Lock()
		batch := k.book.Handover(peer, now, handoverAgain, available)
		k.mu.Unlock()
		if len(batch.Records) == 0 {
			continue
		}
		size := batchOverheadBytes
		for _, record := range batch.Records {
			size += encodedSize(record)
		}
		k.handover.AllowN(now, min(size, available))
		if k.send(peer, batch) {
			k.mu.Lock()
			k.book.Handed(peer, now, batch)
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

// writeHeld writes the copies of one router that has not written them itself.
func (k *Keeper) writeHeld(ctx context.Context, now time.Time) {
	if now.Sub(k.lastFailed) < k.holdFor {
		return
	}
	k.mu.Lock()
	due := k.held.Due(now, k.holdFor)
	k.mu.Unlock()
	if len(due) == 0 || !k.heldReads.AllowN(now, 1) {
		return
	}
	allowed := func() bool { return k.writes.AllowN(now, 1) }
	if err := k.writeHeldOf(ctx, now, due[0], allowed); err != nil {
		k.failed(now, err)
	}
}

// writeHeldOf writes what the router has not written, as far as allowed; the
// rest waits for the next time.
func (k *Keeper) writeHeldOf(ctx context.Context, now time.Time, router string, allowed func() bool) error {
	k.mu.Lock()
	since := k.held.Since(router)
	k.mu.Unlock()
	stored, err := k.storedOf(ctx, router, Days(since.Add(-readMargin), now))
	if err != nil {
		return err
	}
	k.heldStored(router, now, stored)
	for {
		k.mu.Lock()
		batch := k.held.Batch(router, MaxBatchBytes)
		k.mu.Unlock()
		if len(batch.Records) == 0 || !allowed() {
			return nil
		}
		data, err := EncodeBatch(batch)
		if err != nil {
			return err
		}
		if err := k.put(ctx, k.key(now, router), data); err != nil {
			return err
		}
		k.opts.Metrics.Counter("records.written_for_peers").Inc(int64(len(batch.Records)))
		k.heldStored(router, now, batch.Records)
	}
}

func (k *Keeper) heldStored(router string, now time.Time, stored []api.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held.Stored(router, now, stored)
}

// storedOf reads the records that the object API has of one router.
func (k *Keeper) storedOf(ctx context.Context, router string, days []string) ([]api.Record, error) {
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

// Report builds the report of the time since then from the object API and from
// what this router has not written yet.
func (k *Keeper) Report(ctx context.Context, since time.Time) (Report, error) {
	now := k.opts.Now()
	result, err := readDays(ctx, k.opts.Store, Days(since.Add(-readMargin), now.Add(readMargin)))
	if err != nil {
		k.opts.Logger.Warn("report without the object API", zap.Error(err))
	}
	list := append(result.Records, k.unwritten(now)...)
	report := Build(list, since, now, now)
	report.SetUnread(result.Unread)
	return report, nil
}

// unwritten returns the records of the book and the copies held for others.
func (k *Keeper) unwritten(now time.Time) []api.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := k.book.Records()
	for _, router := range k.held.Due(now, 0) {
		list = append(list, k.held.Records(router)...)
	}
	return list
}
