package router

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
	"github.com/hornbeamproxy/hornbeamproxy/placement"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
	"github.com/hornbeamproxy/hornbeamproxy/timing"
)

const (
	// maxCandidates is the number of endpoints that one placement asks.
	maxCandidates = 6
	// avoidRefused is how long an endpoint is left out after its owner said
	// that it takes no work, or did not answer.
	avoidRefused = 500 * time.Millisecond
	// placePause is the time before all candidates are asked again.
	placePause = 50 * time.Millisecond
	// avoidUnreachable is how long an endpoint is left out after a connection
	// to it failed.
	avoidUnreachable = time.Second
)

// candidatePool is a pool prepared for ranking.
type candidatePool struct {
	// near are the endpoints of the router's own region, far all others. Far ones
	// follow near ones, so that chats and their tokens stay within the region
	// while it has endpoints.
	near, far candidateGroup
	// former is the pool before its recent changes; nil if there were none.
	former *candidatePool
}

// candidateGroup is a set of endpoints that are ranked together.
type candidateGroup struct {
	ranked    []placement.Endpoint
	endpoints []*api.Endpoint
}

func (g *candidateGroup) add(e *api.Endpoint) {
	g.ranked = append(g.ranked, placement.NewEndpoint(e.ID, e.Zone, e.Weight))
	g.endpoints = append(g.endpoints, e)
}

// rank appends up to limit endpoints in the order to try them.
func (g *candidateGroup) rank(dst []*api.Endpoint, policy placement.Policy, key uint64, limit int) []*api.Endpoint {
	var buffer [maxCandidates]int
	for _, i := range policy.Rank(buffer[:0], key, g.ranked, limit) {
		dst = append(dst, g.endpoints[i])
	}
	return dst
}

func newCandidatePool(endpoints []*api.Endpoint, isNear func(*api.Endpoint) bool) *candidatePool {
	pool := &candidatePool{}
	for _, e := range endpoints {
		if isNear(e) {
			pool.near.add(e)
		} else {
			pool.far.add(e)
		}
	}
	return pool
}

func (p *candidatePool) rank(dst []*api.Endpoint, policy placement.Policy, key uint64, limit int) []*api.Endpoint {
	dst = p.near.rank(dst, policy, key, limit)
	return p.far.rank(dst, policy, key, limit-len(dst))
}

func (p *candidatePool) home(policy placement.Policy, key uint64) *api.Endpoint {
	var buffer [1]*api.Endpoint
	ranked := p.rank(buffer[:0], policy, key, 1)
	if len(ranked) == 0 {
		return nil
	}
	return ranked[0]
}

// candidateIndex holds the prepared pools of one fleet view.
type candidateIndex struct {
	view   *fleet.View
	isNear func(*api.Endpoint) bool
	former map[string]*candidatePool // by the pool's name
	mu     sync.RWMutex
	pools  map[*fleet.Pool]*candidatePool
}

func newCandidateIndex(view *fleet.View, history *poolHistory, region string) *candidateIndex {
	x := &candidateIndex{
		view:   view,
		isNear: nearTo(view, region),
		former: map[string]*candidatePool{},
		pools:  map[*fleet.Pool]*candidatePool{},
	}
	for _, pool := range view.Pools() {
		if former := history.former(pool); former != nil {
			x.former[pool.Name] = newCandidatePool(former, x.isNear)
		}
	}
	return x
}

// nearTo tells which endpoints are in the region. A router without a region, as
// at a site with one, takes all endpoints as near.
func nearTo(view *fleet.View, region string) func(*api.Endpoint) bool {
	zones := map[string]bool{}
	for _, zone := range view.State().Zones {
		zones[zone.ID] = region == "" || zone.Region == region
	}
	return func(e *api.Endpoint) bool { return zones[e.Zone] }
}

// pool prepares a pool at its first use.
func (x *candidateIndex) pool(p *fleet.Pool) *candidatePool {
	x.mu.RLock()
	prepared := x.pools[p]
	x.mu.RUnlock()
	if prepared != nil {
		return prepared
	}
	prepared = newCandidatePool(p.Endpoints, x.isNear)
	prepared.former = x.former[p.Name]
	x.mu.Lock()
	x.pools[p] = prepared
	x.mu.Unlock()
	return prepared
}

// work is one request on its way to an endpoint.
type work struct {
	pool      *fleet.Pool
	key       uint64
	workspace *api.Workspace
	deadline  time.Time
	// chat says that the key is a chat's, so that moved chats are looked up.
	chat bool
	// failed holds the endpoints that have failed this request.
	failed map[string]bool
	// home is the id of the first candidate; set by place.
	home string
	// cachedAt is the endpoint that is expected to hold the chat's cache; set by
	// place.
	cachedAt *api.Endpoint
	// sent says that a byte of the request may have reached an endpoint.
	sent bool
	// attempts counts the attempts that have failed.
	attempts int
}

// finalRefusal corrects "not run" when an earlier attempt has sent something.
func (w *work) finalRefusal(err error) error {
	var refused *refusal
	if w.sent && errors.As(err, &refused) {
		refused.notRun = false
	}
	return err
}

func (w *work) markFailed(endpoint string) {
	if w.failed == nil {
		w.failed = map[string]bool{}
	}
	w.failed[endpoint] = true
}

// placed is an endpoint that may be called, with the permit for it.
type placed struct {
	endpoint *api.Endpoint
	permit   *permit
}

// dispatcher finds an endpoint for each request.
type dispatcher struct {
	policy    placement.Policy
	permits   *permitClient
	metrics   *telemetry.Metrics
	queueWait time.Duration
	now       func() time.Time
	index     atomic.Pointer[candidateIndex]
	avoided   sync.Map // endpoint id -> time.Time until which it is left out
}

func (d *dispatcher) avoid(endpoint string, span time.Duration) {
	d.avoided.Store(endpoint, d.now().Add(span))
}

func (d *dispatcher) isAvoided(endpoint string) bool {
	until, ok := d.avoided.Load(endpoint)
	return ok && d.now().Before(until.(time.Time))
}

// place returns an endpoint and a permit for it. It asks the candidates in
// order without waiting and then waits at the one with the least load. While
// there is time it starts over when an endpoint or its owner was lost meanwhile,
// because the next view has others. The error is a *refusal that says "not run";
// the caller corrects that if an earlier attempt has sent something.
func (d *dispatcher) place(ctx context.Context, w *work) (*placed, error) {
	until := d.now().Add(d.queueWait)
	if w.deadline.Before(until) {
		until = w.deadline
	}
	for {
		found, reason := d.placeOnce(ctx, w, until)
		if found != nil {
			return found, nil
		}
		if !isPassing(reason) || !d.pause(ctx, until) {
			return nil, d.refused(reason)
		}
	}
}

// placeOnce asks all candidates once. The reason is set when none accepts.
func (d *dispatcher) placeOnce(ctx context.Context, w *work, until time.Time) (*placed, api.Refusal) {
	candidates := d.candidates(w)
	if len(candidates) == 0 {
		return nil, api.RefusalNoEndpoint
	}
	var best *api.Endpoint
	var last *denial
	sample := loadSample{}
	for _, e := range candidates {
		found, denied := d.try(ctx, w, e)
		if found != nil {
			return found, ""
		}
		sample.add(denied)
		if last == nil || d.betterToWait(e, denied, best, last) {
			best, last = e, denied
		}
	}
	if !isFull(last.reason) {
		return nil, last.reason
	}
	return d.wait(ctx, w, best, until, sample.poolInflight(len(w.pool.Endpoints)))
}

// loadSample sums the loads that the refusals of one placement name.
type loadSample struct {
	full, sum int
}

func (s *loadSample) add(denied *denial) {
	if denied.reason == api.RefusalLoadMultiple {
		s.full++
		s.sum += denied.inflight
	}
}

// poolInflight returns the load of the whole pool if all its endpoints were
// asked and are at the load bound, and 0 otherwise.
func (s *loadSample) poolInflight(endpoints int) int {
	if s.full < endpoints {
		return 0
	}
	return s.sum
}

// betterToWait says whether a request should rather wait at e than at best: at
// an endpoint that is full and not one that takes no work, at one that can be
// reached, and at the one with the least load.
func (d *dispatcher) betterToWait(e *api.Endpoint, denied *denial, best *api.Endpoint, last *denial) bool {
	if isFull(denied.reason) != isFull(last.reason) {
		return isFull(denied.reason)
	}
	if avoided := d.isAvoided(e.ID); avoided != d.isAvoided(best.ID) {
		return !avoided
	}
	return denied.inflight < last.inflight
}

// pause waits before the candidates are asked again.
func (d *dispatcher) pause(ctx context.Context, until time.Time) bool {
	if d.now().Add(placePause).After(until) {
		return false
	}
	return timing.Pause(ctx, placePause)
}

func (d *dispatcher) refused(reason api.Refusal) error {
	detail := "no endpoint accepts this request now"
	if reason == api.RefusalNoEndpoint {
		detail = "no endpoint serves this"
	}
	return &refusal{reason: reason, notRun: true, detail: detail, retryAfter: time.Second}
}

// candidates returns the endpoints to try. Endpoints to be avoided come last
// rather than not at all, because the reason may have passed.
func (d *dispatcher) candidates(w *work) []*api.Endpoint {
	pool := d.index.Load().pool(w.pool)
	var buffer [maxCandidates]*api.Endpoint
	ranked := pool.rank(buffer[:0], d.policy, w.key, maxCandidates)
	usable := make([]*api.Endpoint, 0, maxCandidates)
	var avoided []*api.Endpoint
	for _, e := range ranked {
		switch {
		case w.failed[e.ID]:
		case d.isAvoided(e.ID):
			avoided = append(avoided, e)
		default:
			usable = append(usable, e)
		}
	}
	if len(ranked) > 0 && w.home == "" {
		w.home = ranked[0].ID
		w.cachedAt = ranked[0]
		if pool.former != nil {
			w.cachedAt = pool.former.home(d.policy, w.key)
		}
	}
	return append(usable, avoided...)
}

// try asks for a permit without waiting, and follows a redirect once.
func (d *dispatcher) try(ctx context.Context, w *work, e *api.Endpoint) (*placed, *denial) {
	request := d.request(w, e)
	if w.chat && e.ID == w.home {
		request.ChatKey = w.key
	}
	p, denied := d.acquire(ctx, e, request, 0)
	if denied != nil && denied.redirect != "" {
		if found := d.follow(ctx, w, denied.redirect); found != nil {
			return found, nil
		}
		request.ChatKey = 0
		p, denied = d.acquire(ctx, e, request, 0)
	}
	if denied != nil {
		return nil, denied
	}
	return &placed{endpoint: e, permit: p}, nil
}

// follow asks for a permit at the endpoint that holds the chat's cache.
func (d *dispatcher) follow(ctx context.Context, w *work, target string) *placed {
	if w.failed[target] {
		return nil
	}
	for _, e := range w.pool.Endpoints {
		if e.ID != target {
			continue
		}
		w.cachedAt = e
		if p, _ := d.acquire(ctx, e, d.request(w, e), 0); p != nil {
			return &placed{endpoint: e, permit: p}
		}
		return nil
	}
	return nil
}

func (d *dispatcher) wait(ctx context.Context, w *work, e *api.Endpoint, until time.Time, poolInflight int) (*placed, api.Refusal) {
	wait := until.Sub(d.now())
	if wait <= 0 {
		return nil, api.RefusalDeadlineUnreachable
	}
	request := d.request(w, e)
	request.PoolInflight = poolInflight
	p, denied := d.acquire(ctx, e, request, wait)
	if denied != nil {
		return nil, denied.reason
	}
	return &placed{endpoint: e, permit: p}, ""
}

func (d *dispatcher) request(w *work, e *api.Endpoint) api.PermitRequest {
	return api.PermitRequest{
		Endpoint:  e.ID,
		Workspace: w.workspace.ID,
		Priority:  w.workspace.Priority,
	}
}

func (d *dispatcher) acquire(ctx context.Context, e *api.Endpoint, r api.PermitRequest, wait time.Duration) (*permit, *denial) {
	p, denied := d.permits.acquire(ctx, r, wait)
	if denied == nil {
		return p, nil
	}
	if denied.redirect == "" {
		d.metrics.Counter("permits.refused." + string(denied.reason)).Inc(1)
		if closesEndpoint(denied.reason) {
			d.avoid(e.ID, avoidRefused)
		}
	}
	return nil, denied
}

// isFull says that the endpoint may accept the request a little later.
func isFull(reason api.Refusal) bool {
	switch reason {
	case api.RefusalOverloaded, api.RefusalLoadMultiple, api.RefusalEndpointFull,
		api.RefusalWorkspaceShare, api.RefusalEndpointCold:
		return true
	}
	return false
}

// isPassing says that other candidates, or the same ones a little later, may
// accept the request: endpoints and owners change.
func isPassing(reason api.Refusal) bool {
	return closesEndpoint(reason) || reason == api.RefusalNotOwner || reason == api.RefusalPermitExpired
}

// closesEndpoint says that asking again at once gives the same answer.
func closesEndpoint(reason api.Refusal) bool {
	switch reason {
	case api.RefusalEndpointDown, api.RefusalEndpointWithdrawn, api.RefusalNoLease,
		api.RefusalLeaseTakeover, api.RefusalOwnerUnreachable:
		return true
	}
	return false
}
