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

// ownerTickInterval is the time between two calls of tick. Each of them checks the
// endpoints' states, the expiry of permits and the deadlines of queued requests, and
// exchanges the pool loads with the other routers.
const ownerTickInterval = 50 * time.Millisecond

// maxPoolLoadAge is the age beyond which a pool's load is not used. The load is summed
// from the counts of all routers, and its age is that of the oldest count. With 350
// routers that is up to 141 s (BenchmarkFleet of package membership). Such an age is
// acceptable, because the mean over hundreds of endpoints changes slowly.
const maxPoolLoadAge = 3 * time.Minute

// loadReader reads the load report of an endpoint.
type loadReader interface {
	ReadLoad(ctx context.Context, url string) (api.LoadReport, error)
}

// poolCounter publishes the load of the endpoints that this router owns, summed by
// pool, and returns the sum over all routers.
type poolCounter interface {
	SetPoolCounts(counts []api.PoolCount)
	PoolLoad(pool string) (inflight, ready int, age time.Duration)
}

// admissionOwner runs the admission gates of the endpoints that this router owns. It
// polls their load and decides on permits for all routers.
type admissionOwner struct {
	self              string
	network           Network
	loads             loadReader
	pools             poolCounter
	leases            *lease.Manager
	settings          *api.Settings
	logger            *zap.Logger
	metrics           *telemetry.Metrics
	now               func() time.Time
	isolated          func() bool
	failures          *failureRecorder
	noAdmissionLimits bool
	gates             *admission.Set
	waiters           sync.Map // request id -> chan admission.Outcome
	requestID         atomic.Uint64

	mu    sync.Mutex
	owned map[string]*ownedEndpoint
}

// ownedEndpoint holds the state of an owned endpoint, except its admission gate, which
// is in admissionOwner.gates.
type ownedEndpoint struct {
	cancel context.CancelFunc
	// pollNow makes the polling goroutine read a load report at once.
	pollNow chan struct{}

	mu          sync.Mutex
	endpoint    *api.Endpoint
	pool        string
	machine     *endpointstate.Machine
	leaseWanted bool // the cold lease is held or being acquired
	closed      bool // the endpoint was released; poll results are discarded
	// pollSucceeded is set if the last load poll succeeded.
	pollSucceeded bool
}

// loadPoolName returns the name of the group of endpoints whose mean load bounds the
// load of this one: the replicas of its service, or the engines with the same models.
func loadPoolName(e *api.Endpoint) string {
	if e.Service != "" {
		return "service/" + e.Service
	}
	return strings.Join(e.Models, ",")
}

// update takes the endpoints that this router has become the owner of, reconfigures
// those that it still owns and releases those that it no longer owns. It is called when
// the fleet state or the owners change.
func (o *admissionOwner) update(ctx context.Context, view *fleet.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := view.State()
	for i := range state.Endpoints {
		e := &state.Endpoints[i]
		owned := o.owned[e.ID]
		mine := o.network.OwnerOf(endpointOwnershipKey(e.ID)) == o.self
		switch {
		case mine && owned == nil:
			o.takeEndpoint(ctx, e, view)
		case mine:
			o.configure(owned, e, view)
		case owned != nil:
			o.releaseEndpoint(e.ID, owned)
		}
	}
	for id, owned := range o.owned {
		if _, ok := view.Endpoint(id); !ok {
			o.releaseEndpoint(id, owned)
		}
	}
}

// takeEndpoint adds the endpoint's gate and starts to poll its load. o.mu is held.
func (o *admissionOwner) takeEndpoint(ctx context.Context, e *api.Endpoint, view *fleet.View) {
	ctx, cancel := context.WithCancel(ctx)
	owned := &ownedEndpoint{
		cancel:  cancel,
		pollNow: make(chan struct{}, 1),
		machine: endpointstate.New(endpointstate.Config{}),
	}
	o.gates.Add(admission.Config{
		Endpoint:       e.ID,
		LoadMultiple:   o.settings.Limits.LoadMultiple,
		QueueLength:    o.settings.Limits.QueueLength,
		PoolLoadMaxAge: maxPoolLoadAge,
		NoLimits:       o.noAdmissionLimits,
	})
	o.owned[e.ID] = owned
	o.logger.Info("endpoint ownership taken", zap.String("endpoint", e.ID))
	owned.machine.SetPolling(o.now(), e.Service == "")
	o.configure(owned, e, view)
	go o.pollUntilReleased(ctx, owned)
}

// releaseEndpoint removes the endpoint's gate, ends its polling and refuses its queued
// requests. o.mu is held.
func (o *admissionOwner) releaseEndpoint(id string, owned *ownedEndpoint) {
	owned.cancel()
	o.closeEndpoint(owned)
	delete(o.owned, id)
	outcomes, _ := o.gates.Remove(id)
	o.logger.Info("endpoint ownership released", zap.String("endpoint", id))
	o.deliver(outcomes)
	o.failures.endpointReleased(id)
}

// configure applies the endpoint's part of the fleet state.
func (o *admissionOwner) configure(owned *ownedEndpoint, e *api.Endpoint, view *fleet.View) {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	owned.endpoint = e
	owned.pool = loadPoolName(e)
	from := owned.machine.State()
	owned.machine.SetWithdrawn(view.EndpointWithdrawn(e.ID))
	o.applyState(owned, from)
}

// applyState passes the endpoint's state and settings to its gate, and logs and
// records a change from the given state. owned.mu is held.
func (o *admissionOwner) applyState(owned *ownedEndpoint, from endpointstate.State) {
	e := owned.endpoint
	state := owned.machine.State()
	settings := admission.Settings{
		MaxInflight: e.MaxInflight,
		State:       state,
		NeedsLease:  owned.machine.NeedsLease(),
		NoReports:   e.Service != "",
	}
	o.setLeaseWanted(owned, settings.NeedsLease)
	o.withGate(e.ID, func(g *admission.Gate) []admission.Outcome { return g.SetEndpoint(o.now(), settings) })
	if state == from {
		return
	}
	o.logger.Info("endpoint state changed", zap.String("endpoint", e.ID), zap.Stringer("from", from), zap.Stringer("to", state))
	o.failures.endpointChanged(e, from, state)
}

// setLeaseWanted starts to acquire the endpoint's cold lease, or releases it, if
// wanted has changed. owned.mu is held.
func (o *admissionOwner) setLeaseWanted(owned *ownedEndpoint, wanted bool) {
	if wanted == owned.leaseWanted {
		return
	}
	owned.leaseWanted = wanted
	key := lease.ColdKey(owned.endpoint.ID)
	if wanted {
		o.leases.Acquire(key)
		return
	}
	o.leases.Release(key)
}

// closeEndpoint releases the cold lease and discards later poll results. The polling
// goroutine can't do this, because it may end after this router has taken the
// endpoint again.
func (o *admissionOwner) closeEndpoint(owned *ownedEndpoint) {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	owned.closed = true
	o.setLeaseWanted(owned, false)
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

// withGate calls f with the endpoint's gate and delivers the outcomes that f returns.
// It returns false if this router does not own the endpoint.
func (o *admissionOwner) withGate(endpoint string, f func(*admission.Gate) []admission.Outcome) bool {
	var outcomes []admission.Outcome
	ok := o.gates.Do(endpoint, func(g *admission.Gate) { outcomes = f(g) })
	o.deliver(outcomes)
	return ok
}

// pollUntilReleased polls the endpoint's load until ctx ends. It skips every second poll
// while canSkipPoll allows that.
func (o *admissionOwner) pollUntilReleased(ctx context.Context, owned *ownedEndpoint) {
	ticker := time.NewTicker(o.settings.Limits.LoadPollInterval.Duration)
	defer ticker.Stop()
	skipped := false
	for {
		if !skipped {
			o.pollLoad(ctx, owned)
		}
		select {
		case <-ctx.Done():
			return
		case <-owned.pollNow:
			skipped = false
		case <-ticker.C:
			skipped = !skipped && o.canSkipPoll(owned)
		}
	}
}

// canSkipPoll reports whether every second poll may be skipped. The endpoint must be
// ready, its last poll must have succeeded and nothing may be in flight. Moreover, two
// poll intervals must be at most half of the time after which a missing report makes
// an endpoint suspect.
func (o *admissionOwner) canSkipPoll(owned *ownedEndpoint) bool {
	if 2*o.settings.Limits.LoadPollInterval.Duration > endpointstate.DefaultSuspectAfter/2 {
		return false
	}
	owned.mu.Lock()
	id := owned.endpoint.ID
	skip := owned.pollSucceeded && owned.machine.State() == endpointstate.Ready
	owned.mu.Unlock()
	if skip {
		o.gates.Do(id, func(g *admission.Gate) { skip = g.Inflight() == 0 })
	}
	return skip
}

// pollLoad reads the load report and passes it to the state machine and the gate.
// Plain services have no load report; their state follows from the results of calls.
func (o *admissionOwner) pollLoad(ctx context.Context, owned *ownedEndpoint) {
	owned.mu.Lock()
	e := owned.endpoint
	owned.mu.Unlock()
	if e.Service != "" {
		return
	}
	sent := o.now()
	callCtx, cancel := context.WithTimeout(ctx, loadPollTimeout)
	load, err := o.loads.ReadLoad(callCtx, e.URL)
	o.metrics.Counter("load.polls").Inc(1)
	cancel()
	// The endpoint may have sent the report as soon as the call started, so the whole
	// call counts towards its age. The age must not be understated, because the limit
	// of a cold endpoint depends on it.
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

// loadPollTimeout bounds one read of a load report.
const loadPollTimeout = time.Second

// run calls tick periodically until ctx ends.
func (o *admissionOwner) run(ctx context.Context) error {
	return timing.Every(ctx, ownerTickInterval, func(time.Time) { o.tick() })
}

func (o *admissionOwner) tick() {
	endpoints := o.snapshot()
	for _, owned := range endpoints {
		o.tickMachine(owned)
	}
	counts := map[string]*api.PoolCount{}
	for _, owned := range endpoints {
		o.addPoolCount(owned, counts)
	}
	list := make([]api.PoolCount, 0, len(counts))
	for _, count := range counts {
		list = append(list, *count)
	}
	o.pools.SetPoolCounts(list)
	for _, owned := range endpoints {
		o.updatePoolLoad(owned)
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

// addPoolCount adds the endpoint and its load to the count of its pool if the endpoint
// is ready or suspect.
func (o *admissionOwner) addPoolCount(owned *ownedEndpoint, counts map[string]*api.PoolCount) {
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

// updatePoolLoad passes the load of the endpoint's pool to the endpoint's gate. It also
// makes the gate drop expired permits and refuse queued requests whose deadline has
// passed.
func (o *admissionOwner) updatePoolLoad(owned *ownedEndpoint) {
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

// HandleInstances applies instance states from the platform's list to the endpoints on
// those instances.
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

// routerLost reports to all gates that a router is lost.
func (o *admissionOwner) routerLost(router string) {
	now := o.now()
	o.gates.Each(func(_ string, g *admission.Gate) { g.RouterLost(now, router) })
}
