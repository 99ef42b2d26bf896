package router

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/admission"
	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/endpointstate"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
	"github.com/hornbeamproxy/hornbeamproxy/lease"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
	"github.com/hornbeamproxy/hornbeamproxy/timing"
)

// ownerTick is the interval of expiry checks and of new pool figures.
const ownerTick = 50 * time.Millisecond

// poolMaxAge is the age from which the pool's load is not used. With 350 routers
// the oldest part of it is up to 141 s old (BenchmarkFleet of package
// membership), while the mean over hundreds of endpoints changes slowly.
const poolMaxAge = 3 * time.Minute

// loadReader reads the load report of an endpoint.
type loadReader interface {
	Load(ctx context.Context, url string) (api.LoadReport, error)
}

// poolCounter spreads this router's share of the pools' load and returns the
// sum over all routers.
type poolCounter interface {
	SetPoolCounts(counts []api.PoolCount)
	PoolLoad(pool string) (inflight, ready int, age time.Duration)
}

// admissionOwner runs the gates of the endpoints that this router owns.
type admissionOwner struct {
	self      string
	network   Network
	loads     loadReader
	pools     poolCounter
	leases    *lease.Manager
	settings  *api.Settings
	logger    *zap.Logger
	metrics   *telemetry.Metrics
	now       func() time.Time
	isolated  func() bool
	failures  *failures
	unbounded bool
	gates     *admission.Set
	waiting   sync.Map // request id -> chan admission.Outcome
	requestID atomic.Uint64

	mu    sync.Mutex
	owned map[string]*ownedEndpoint
}

// ownedEndpoint is what the owner keeps beside the gate.
type ownedEndpoint struct {
	cancel context.CancelFunc
	// poll asks for a load report at once.
	poll chan struct{}

	mu       sync.Mutex
	endpoint *api.Endpoint
	pool     string
	machine  *endpointstate.Machine
	leased   bool
	closed   bool
	// pollSucceeded is the result of the last load poll.
	pollSucceeded bool
}

// loadPool names the group of endpoints whose mean load bounds the endpoint's:
// the replicas of its service, or the engines with the same models.
func loadPool(e *api.Endpoint) string {
	if e.Service != "" {
		return "service/" + e.Service
	}
	return strings.Join(e.Models, ",")
}

// update takes the gates that this router owns now. It is called when the
// fleet's state or the owners change.
func (o *admissionOwner) update(ctx context.Context, view *fleet.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := view.State()
	for i := range state.Endpoints {
		e := &state.Endpoints[i]
		owned := o.owned[e.ID]
		mine := o.network.OwnerOf(endpointOwnerName(e.ID)) == o.self
		switch {
		case mine && owned == nil:
			o.take(ctx, e, view)
		case mine:
			o.configure(owned, e, view)
		case owned != nil:
			o.drop(e.ID, owned)
		}
	}
	for id, owned := range o.owned {
		if _, ok := view.Endpoint(id); !ok {
			o.drop(id, owned)
		}
	}
}

func (o *admissionOwner) take(ctx context.Context, e *api.Endpoint, view *fleet.View) {
	ctx, cancel := context.WithCancel(ctx)
	owned := &ownedEndpoint{
		cancel:  cancel,
		poll:    make(chan struct{}, 1),
		machine: endpointstate.New(endpointstate.Config{}),
	}
	o.gates.Add(admission.Config{
		Endpoint:     e.ID,
		LoadMultiple: o.settings.Limits.LoadMultiple,
		QueueLength:  o.settings.Limits.QueueLength,
		PoolMaxAge:   poolMaxAge,
		Unbounded:    o.unbounded,
	})
	o.owned[e.ID] = owned
	o.logger.Info("endpoint taken", zap.String("endpoint", e.ID))
	owned.machine.SetPolling(o.now(), e.Service == "")
	o.configure(owned, e, view)
	go o.watch(ctx, owned)
}

func (o *admissionOwner) drop(id string, owned *ownedEndpoint) {
	owned.cancel()
	o.close(owned)
	delete(o.owned, id)
	outcomes, _ := o.gates.Remove(id)
	o.logger.Info("endpoint given up", zap.String("endpoint", id))
	o.deliver(outcomes)
	o.failures.endpointDropped(id)
}

// configure applies the endpoint's part of the fleet state.
func (o *admissionOwner) configure(owned *ownedEndpoint, e *api.Endpoint, view *fleet.View) {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	owned.endpoint = e
	owned.pool = loadPool(e)
	from := owned.machine.State()
	owned.machine.SetWithdrawn(view.EndpointWithdrawn(e.ID))
	o.applyState(owned, from)
}

// applyState gives the gate the endpoint's state. owned.mu is held.
func (o *admissionOwner) applyState(owned *ownedEndpoint, from endpointstate.State) {
	e := owned.endpoint
	state := owned.machine.State()
	settings := admission.Settings{
		MaxInflight: e.MaxInflight,
		State:       state,
		NeedsLease:  owned.machine.NeedsLease(),
		NoReports:   e.Service != "",
	}
	o.wantLease(owned, settings.NeedsLease)
	o.withGate(e.ID, func(g *admission.Gate) []admission.Outcome { return g.SetEndpoint(o.now(), settings) })
	if state == from {
		return
	}
	o.logger.Info("endpoint state changed", zap.String("endpoint", e.ID), zap.Stringer("from", from), zap.Stringer("to", state))
	o.failures.endpointChanged(e, from, state)
}

// wantLease acquires the cold lease of an endpoint that needs it, and releases it
// afterwards. owned.mu is held.
func (o *admissionOwner) wantLease(owned *ownedEndpoint, wanted bool) {
	if wanted == owned.leased {
		return
	}
	owned.leased = wanted
	key := lease.ColdKey(owned.endpoint.ID)
	if wanted {
		o.leases.Acquire(key)
		return
	}
	o.leases.Release(key)
}

// close releases the lease here rather than in the polling goroutine, which may
// end after this router has taken the endpoint again.
func (o *admissionOwner) close(owned *ownedEndpoint) {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	owned.closed = true
	o.wantLease(owned, false)
}

// leaseChanged passes the state of a cold lease to the endpoint's gate.
func (o *admissionOwner) leaseChanged(key string, l lease.Lease) {
	endpoint, ok := lease.ColdEndpoint(key)
	if !ok {
		return
	}
	var before admission.Lease
	known := o.withGate(endpoint, func(g *admission.Gate) []admission.Outcome {
		before = g.Lease()
		return g.SetLease(o.now(), admission.Lease(l))
	})
	if before.Held != l.Held || before.Term != l.Term || !known {
		o.logger.Info("cold lease changed", zap.String("endpoint", endpoint), zap.Bool("held", l.Held),
			zap.Uint64("term", l.Term), zap.Bool("endpoint_taken", known))
	}
}

// withGate calls f with the endpoint's gate and delivers the outcomes.
func (o *admissionOwner) withGate(endpoint string, f func(*admission.Gate) []admission.Outcome) bool {
	var outcomes []admission.Outcome
	ok := o.gates.Do(endpoint, func(g *admission.Gate) { outcomes = f(g) })
	o.deliver(outcomes)
	return ok
}

// watch polls the endpoint's load and keeps its cold lease while it is cold.
func (o *admissionOwner) watch(ctx context.Context, owned *ownedEndpoint) {
	ticker := time.NewTicker(o.settings.Limits.LoadPollInterval.Duration)
	defer ticker.Stop()
	skipped := false
	for {
		if !skipped {
			o.poll(ctx, owned)
		}
		select {
		case <-ctx.Done():
			return
		case <-owned.poll:
			skipped = false
		case <-ticker.C:
			skipped = !skipped && o.pollIsSpared(owned)
		}
	}
}

// pollIsSpared says whether every second poll is left out: the endpoint is ready,
// its last poll succeeded and nothing is in flight. Two intervals stay well under
// the time after which a missing report makes an endpoint suspect.
func (o *admissionOwner) pollIsSpared(owned *ownedEndpoint) bool {
	if 2*o.settings.Limits.LoadPollInterval.Duration > endpointstate.DefaultLateAfter/2 {
		return false
	}
	owned.mu.Lock()
	id := owned.endpoint.ID
	spared := owned.pollSucceeded && owned.machine.State() == endpointstate.Ready
	owned.mu.Unlock()
	if spared {
		o.gates.Do(id, func(g *admission.Gate) { spared = g.Inflight() == 0 })
	}
	return spared
}

// poll reads the load report. Plain services publish none; their state follows
// from the calls.
func (o *admissionOwner) poll(ctx context.Context, owned *ownedEndpoint) {
	owned.mu.Lock()
	e := owned.endpoint
	owned.mu.Unlock()
	if e.Service != "" {
		return
	}
	sent := o.now()
	callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	load, err := o.loads.Load(callCtx, e.URL)
	o.metrics.Counter("load.polls").Inc(1)
	cancel()
	// The figures may be as old as the call; the cold limit depends on their
	// age not being understated.
	load.AgeMs += int(o.now().Sub(sent)/time.Millisecond) + 1
	if ctx.Err() != nil {
		return
	}
	owned.mu.Lock()
	defer owned.mu.Unlock()
	if owned.closed {
		return
	}
	from := owned.machine.State()
	now := o.now()
	owned.pollSucceeded = err == nil
	if err != nil {
		owned.machine.ReportFailed(now)
		o.withGate(e.ID, func(g *admission.Gate) []admission.Outcome { return g.ReportFailed(now) })
	} else {
		owned.machine.Report(now, load.Readiness)
		o.withGate(e.ID, func(g *admission.Gate) []admission.Outcome { return g.Report(now, load) })
	}
	o.applyState(owned, from)
}

// loadTimeout bounds one read of a load report.
const loadTimeout = time.Second

// run checks deadlines and expiry, and exchanges pool figures, until the
// context ends.
func (o *admissionOwner) run(ctx context.Context) error {
	return timing.Every(ctx, ownerTick, func(time.Time) { o.tick() })
}

func (o *admissionOwner) tick() {
	owned := o.snapshot()
	for _, at := range owned {
		o.tickMachine(at)
	}
	counts := map[string]*api.PoolCount{}
	for _, at := range owned {
		o.count(at, counts)
	}
	list := make([]api.PoolCount, 0, len(counts))
	for _, count := range counts {
		list = append(list, *count)
	}
	o.pools.SetPoolCounts(list)
	for _, at := range owned {
		o.refresh(at)
	}
}

func (o *admissionOwner) tickMachine(owned *ownedEndpoint) {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	from := owned.machine.State()
	owned.machine.Tick(o.now())
	if owned.machine.State() != from {
		o.applyState(owned, from)
	}
}

func (o *admissionOwner) snapshot() []*ownedEndpoint {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]*ownedEndpoint, 0, len(o.owned))
	for _, owned := range o.owned {
		list = append(list, owned)
	}
	return list
}

func (o *admissionOwner) count(owned *ownedEndpoint, counts map[string]*api.PoolCount) {
	owned.mu.Lock()
	id, pool, state := owned.endpoint.ID, owned.pool, owned.machine.State()
	owned.mu.Unlock()
	if state != endpointstate.Ready && state != endpointstate.Suspect {
		return
	}
	total := counts[pool]
	if total == nil {
		total = &api.PoolCount{M: pool}
		counts[pool] = total
	}
	total.N++
	o.gates.Do(id, func(g *admission.Gate) { total.F += g.Permits() + g.Queued() })
}

func (o *admissionOwner) refresh(owned *ownedEndpoint) {
	owned.mu.Lock()
	id, pool := owned.endpoint.ID, owned.pool
	owned.mu.Unlock()
	inflight, ready, age := o.pools.PoolLoad(pool)
	now := o.now()
	load := admission.PoolLoad{Inflight: inflight, Ready: ready, Age: age}
	o.withGate(id, func(g *admission.Gate) []admission.Outcome {
		return append(g.SetPool(now, load), g.Tick(now)...)
	})
}

// HandleInstances takes what the platform's list says about instances.
func (o *admissionOwner) HandleInstances(update api.InstanceStates) {
	states := make(map[string]api.InstanceState, len(update.Instances))
	for _, state := range update.Instances {
		states[state.ID] = state
	}
	for _, owned := range o.snapshot() {
		owned.mu.Lock()
		if state, ok := states[owned.endpoint.Instance]; ok {
			from := owned.machine.State()
			owned.machine.SetInstance(!state.Gone, state.Leaving)
			o.applyState(owned, from)
		}
		owned.mu.Unlock()
	}
}

// routerLost tells the gates that a router is dead.
func (o *admissionOwner) routerLost(router string) {
	now := o.now()
	o.gates.Each(func(_ string, g *admission.Gate) { g.RouterLost(now, router) })
}
