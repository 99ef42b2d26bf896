package claims

import (
	"context"
	"crypto/rand"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

// maxReplyWait bounds the wait for a reply, even if the caller has a later deadline or
// none.
const maxReplyWait = 10 * time.Second

// ShardOf returns the shard of a key, from 0 to shards-1. It returns 0 if
// shards is not positive.
func ShardOf(key string, shards int) int {
	if shards <= 0 {
		return 0
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	return int(hash.Sum64() % uint64(shards))
}

// Clock is the source of time of an Owner and of ReportOutcomes.
type Clock interface {
	Now() time.Time
	// After behaves like time.After.
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the Clock of the operating system.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// After implements Clock.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// OwnerConfig holds the settings of an Owner. A field that Config also has applies to
// each shard and is described there.
type OwnerConfig struct {
	Router string
	// Shards is the number of shards, the same on all routers.
	Shards          int
	CommitInterval  time.Duration
	Retention       time.Duration
	UnknownAfter    time.Duration
	MaxQueue        int // queued operations per shard
	MaxOutcomeBytes int
	// CallTimeout bounds each call to the object API.
	CallTimeout time.Duration
}

// DefaultOwnerConfig returns the default settings for a router.
func DefaultOwnerConfig(router string) OwnerConfig {
	return OwnerConfig{
		Router:          router,
		Shards:          64,
		CommitInterval:  50 * time.Millisecond,
		Retention:       24 * time.Hour,
		UnknownAfter:    10 * time.Minute,
		MaxQueue:        1024,
		MaxOutcomeBytes: 16 << 10,
		CallTimeout:     2 * time.Second,
	}
}

// Owner runs the shards that this router owns. It needs no lease: two owners of
// one shard only cause each other write conflicts. It is safe for concurrent use.
type Owner struct {
	cfg         OwnerConfig
	store       objectstore.Store
	clock       Clock
	lostRouters atomic.Pointer[map[string]time.Time]
	liveRouters atomic.Pointer[map[string]bool]

	mu      sync.Mutex
	closed  bool
	shards  map[int]*shardRunner
	ctx     context.Context
	cancel  context.CancelFunc
	runners sync.WaitGroup
}

// shardRunner holds one shard. Its goroutine runs only while the shard has work.
type shardRunner struct {
	mu      sync.Mutex
	shard   *Shard
	running bool
	nextID  uint64
	waiting map[uint64]chan api.ClaimReply
	wake    chan struct{} // capacity 1
}

// NewOwner returns an Owner without shards. Close ends its work.
func NewOwner(cfg OwnerConfig, store objectstore.Store, clock Clock) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Owner{
		cfg:    cfg,
		store:  store,
		clock:  clock,
		shards: map[int]*shardRunner{},
		ctx:    ctx,
		cancel: cancel,
	}
}

// SetLiveRouters replaces the set of routers that are in the fleet. Requests for a key
// that a router outside the set claimed more than absentAfter ago are answered with
// outcome_unknown.
func (o *Owner) SetLiveRouters(routers []string) {
	live := make(map[string]bool, len(routers))
	for _, router := range routers {
		live[router] = true
	}
	o.liveRouters.Store(&live)
}

func (o *Owner) isAbsent(router string) bool {
	live := o.liveRouters.Load()
	return live != nil && !(*live)[router]
}

// SetLostRouters replaces the routers that are known to be lost, with the time from which
// each has been lost. Requests for a key that such a router claimed before that time are
// answered with outcome_unknown.
func (o *Owner) SetLostRouters(since map[string]time.Time) { o.lostRouters.Store(&since) }

func (o *Owner) lostSince(router string) (time.Time, bool) {
	lost := o.lostRouters.Load()
	if lost == nil {
		return time.Time{}, false
	}
	since, ok := (*lost)[router]
	return since, ok
}

// SetOwned frees the memory of idle shards that are not in the list. A shard that
// has work is kept until a later call finds it idle.
func (o *Owner) SetOwned(shards []int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for number, r := range o.shards {
		if slices.Contains(shards, number) {
			continue
		}
		r.mu.Lock()
		idle := !r.running && len(r.waiting) == 0
		r.mu.Unlock()
		if idle {
			delete(o.shards, number)
		}
	}
}

// Handle claims a key and returns the reply. The result is unavailable if ctx ends or
// maxReplyWait passes before the reply.
func (o *Owner) Handle(ctx context.Context, request api.ClaimRequest) api.ClaimReply {
	return o.submitAndWait(ctx, request.Shard, request.Key, func(s *Shard, id uint64) { s.Claim(id, request) })
}

// HandleUpdate completes or releases a claim. The result is done once the update is
// committed or has become irrelevant, in_progress if another attempt holds the key, and
// unavailable if the update has to be sent again.
func (o *Owner) HandleUpdate(ctx context.Context, update api.ClaimUpdate) api.ClaimReply {
	return o.submitAndWait(ctx, update.Shard, update.Key, func(s *Shard, id uint64) { s.Update(id, update) })
}

// Close stops all work. Operations in progress are answered with unavailable.
func (o *Owner) Close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.cancel()
	o.runners.Wait()
}

func (o *Owner) submitAndWait(ctx context.Context, number int, key string, enqueue func(*Shard, uint64)) api.ClaimReply {
	// Routers that disagree on the number of shards would grant one key in two
	// journals.
	if ShardOf(key, o.cfg.Shards) != number {
		return api.ClaimReply{Result: api.ClaimResultUnavailable, NotClaimed: true}
	}
	ctx, cancel := context.WithTimeout(ctx, maxReplyWait)
	defer cancel()
	r, id, reply := o.submit(number, enqueue)
	if r == nil {
		return api.ClaimReply{Result: api.ClaimResultUnavailable, NotClaimed: true}
	}
	select {
	case received := <-reply:
		return received
	case <-ctx.Done():
	case <-o.ctx.Done():
	}
	return r.abandon(id, reply)
}

// submit queues an operation. It holds the owner's lock throughout, so that SetOwned
// does not free the shard before the operation is queued.
func (o *Owner) submit(number int, enqueue func(*Shard, uint64)) (*shardRunner, uint64, chan api.ClaimReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return nil, 0, nil
	}
	r := o.shards[number]
	if r == nil {
		r = o.newRunner(number)
		o.shards[number] = r
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextID++
	reply := make(chan api.ClaimReply, 1)
	r.waiting[r.nextID] = reply
	enqueue(r.shard, r.nextID)
	if !r.running {
		r.running = true
		o.runners.Go(func() { o.drive(r) })
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return r, r.nextID, reply
}

func (o *Owner) newRunner(number int) *shardRunner {
	shard := NewShard(Config{
		Shard: number,
		// A shard that is freed and created again numbers its batches from 1, so
		// batch ids within one process would repeat without a new random part.
		Owner:           o.cfg.Router + "-" + rand.Text(),
		CommitInterval:  o.cfg.CommitInterval,
		Retention:       o.cfg.Retention,
		UnknownAfter:    o.cfg.UnknownAfter,
		MaxQueue:        o.cfg.MaxQueue,
		MaxOutcomeBytes: o.cfg.MaxOutcomeBytes,
	})
	shard.SetLost(o.lostSince)
	shard.SetAbsent(o.isAbsent)
	return &shardRunner{shard: shard, waiting: map[uint64]chan api.ClaimReply{}, wake: make(chan struct{}, 1)}
}

// abandon cancels an operation whose caller no longer waits. If the reply has arrived in
// the meantime, abandon returns it.
func (r *shardRunner) abandon(id uint64, reply chan api.ClaimReply) api.ClaimReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case received := <-reply:
		return received
	default:
	}
	delete(r.waiting, id)
	return api.ClaimReply{Result: api.ClaimResultUnavailable, NotClaimed: r.shard.Cancel(id)}
}

// drive makes the calls that the shard requests until it is idle.
func (o *Owner) drive(r *shardRunner) {
	for {
		action, idle := r.advance(o.clock.Now())
		switch {
		case idle:
			return
		case action.Kind != ActionNone:
			result := o.callStore(action)
			r.completeCall(o.clock.Now(), result)
		case !o.waitForWork(r, action.Wake):
			return
		}
	}
}

// advance delivers the replies of the shard and returns its next action. If the
// shard has no work, it returns true and marks the runner as stopped under the same
// lock.
func (r *shardRunner) advance(now time.Time) (Action, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	action := r.shard.NextAction(now)
	for _, reply := range action.Replies {
		if waiting, ok := r.waiting[reply.ID]; ok {
			waiting <- reply.Reply
			delete(r.waiting, reply.ID)
		}
	}
	idle := action.Kind == ActionNone && action.Wake.IsZero()
	if idle {
		r.running = false
	}
	return action, idle
}

func (r *shardRunner) completeCall(now time.Time, result ActionResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shard.ApplyResult(now, result)
}

// waitForWork waits for new operations or until wake. It returns false when the
// owner is closed.
func (o *Owner) waitForWork(r *shardRunner, wake time.Time) bool {
	select {
	case <-r.wake:
	case <-o.clock.After(wake.Sub(o.clock.Now())):
	case <-o.ctx.Done():
		return false
	}
	return true
}

func (o *Owner) callStore(action Action) ActionResult {
	ctx, cancel := context.WithTimeout(o.ctx, o.cfg.CallTimeout)
	defer cancel()
	var result ActionResult
	switch action.Kind {
	case ActionGet:
		result.Object, result.Err = o.store.Get(ctx, action.Key)
	case ActionPut:
		result.Version, result.Err = o.store.Put(ctx, action.Key, action.Value, action.IfVersion)
	case ActionDelete:
		result.Err = o.store.Delete(ctx, action.Key, action.IfVersion)
	}
	return result
}
