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
	// maxCandidates bounds the number of endpoints that are tried for one placement.
	maxCandidates = 6
	// avoidRefused is how long an endpoint is avoided, which means tried last, after its
	// owner refused all work for it or did not reply.
	avoidRefused = 500 * time.Millisecond
	// placeRetryInterval is the pause before all candidates are tried again.
	placeRetryInterval = 50 * time.Millisecond
	// avoidUnreachable is how long an endpoint is avoided after it did not start a
	// request or sent no response header in time.
	avoidUnreachable = time.Second
)

// candidatePool holds the endpoints of a fleet.Pool in the form that a placement policy
// ranks.
type candidatePool struct {
	// sameRegion holds the endpoints of this router's region, otherRegions all others.
	// Endpoints of sameRegion are tried first, so that chats and their tokens stay
	// within the region while it has endpoints.
	sameRegion, otherRegions candidateGroup
	// previous is the pool before its changes of the last 10 min (historyWindow); nil if
	// it had none.
	previous *candidatePool
}

// candidateGroup is a set of endpoints that are ranked together. rankInput and endpoints
// hold the same endpoints in the same order; the placement policy ranks rankInput.
type candidateGroup struct {
	rankInput []placement.Endpoint
	endpoints []*api.Endpoint
}

func (g *candidateGroup) add(e *api.Endpoint) {
	g.rankInput = append(g.rankInput, placement.NewEndpoint(e.ID, e.Zone, e.Weight))
	g.endpoints = append(g.endpoints, e)
}

// rank appends up to limit endpoints to dst in the order in which to try them.
func (g *candidateGroup) rank(dst []*api.Endpoint, policy placement.Policy, key uint64, limit int) []*api.Endpoint {
	var buffer [maxCandidates]int
	for _, i := range policy.Rank(buffer[:0], key, g.rankInput, limit) {
		dst = append(dst, g.endpoints[i])
	}
	return dst
}

func newCandidatePool(endpoints []*api.Endpoint, inRegion func(*api.Endpoint) bool) *candidatePool {
	pool := &candidatePool{}
	for _, e := range endpoints {
		if inRegion(e) {
			pool.sameRegion.add(e)
		} else {
			pool.otherRegions.add(e)
		}
	}
	return pool
}

func (p *candidatePool) rank(dst []*api.Endpoint, policy placement.Policy, key uint64, limit int) []*api.Endpoint {
	dst = p.sameRegion.rank(dst, policy, key, limit)
	return p.otherRegions.rank(dst, policy, key, limit-len(dst))
}

// home returns the endpoint that is ranked first for the placement key, or nil if the
// pool is empty.
func (p *candidatePool) home(policy placement.Policy, key uint64) *api.Endpoint {
	var buffer [1]*api.Endpoint
	ranked := p.rank(buffer[:0], policy, key, 1)
	if len(ranked) == 0 {
		return nil
	}
	return ranked[0]
}

// candidateIndex holds the candidate pools of one fleet view, which are created at
// their first use.
type candidateIndex struct {
	view     *fleet.View
	inRegion func(*api.Endpoint) bool
	previous map[string]*candidatePool // by pool name; see candidatePool.previous
	mu       sync.RWMutex
	pools    map[*fleet.Pool]*candidatePool // current pools that have been used
}

func newCandidateIndex(view *fleet.View, history *poolHistory, region string) *candidateIndex {
	x := &candidateIndex{
		view:     view,
		inRegion: regionFilter(view, region),
		previous: map[string]*candidatePool{},
		pools:    map[*fleet.Pool]*candidatePool{},
	}
	for _, pool := range view.Pools() {
		if previous := history.previousEndpoints(pool); previous != nil {
			x.previous[pool.Name] = newCandidatePool(previous, x.inRegion)
		}
	}
	return x
}

// regionFilter returns a function that reports whether an endpoint is in the region.
// If no region is configured, as in a fleet that has only one, all endpoints are in the
// region.
func regionFilter(view *fleet.View, region string) func(*api.Endpoint) bool {
	zones := map[string]bool{}
	for _, zone := range view.State().Zones {
		zones[zone.ID] = region == "" || zone.Region == region
	}
	return func(e *api.Endpoint) bool { return zones[e.Zone] }
}

// pool returns the candidate pool of p and creates it at the first use.
func (x *candidateIndex) pool(p *fleet.Pool) *candidatePool {
	x.mu.RLock()
	prepared := x.pools[p]
	x.mu.RUnlock()
	if prepared != nil {
		return prepared
	}
	prepared = newCandidatePool(p.Endpoints, x.inRegion)
	prepared.previous = x.previous[p.Name]
	x.mu.Lock()
	x.pools[p] = prepared
	x.mu.Unlock()
	return prepared
}

// routedRequest is the part of a chat or service call that placement and retries
// need.
type routedRequest struct {
	pool         *fleet.Pool
	placementKey uint64
	workspace    *api.Workspace
	deadline     time.Time
	// chat is set if placementKey identifies a chat. The permit request for the chat's
	// home then carries the key, and the owner of the home can redirect a chat that has
	// moved.
	chat bool
	// failed holds the ids of the endpoints that have failed this request.
	failed map[string]bool
	// home is the id of the endpoint that was ranked first when the request was
	// first placed; set by place.
	home string
	// cachedAt is the endpoint that is expected to hold the chat's KV cache; set by
	// place.
	cachedAt *api.Endpoint
	// sent is set once a byte of the request may have reached an endpoint.
	sent bool
	// attempts counts the failed attempts.
	attempts int
}

// finalRefusal prepares err, which dispatcher.place returned, for the caller. place sets
// notRun in its refusals, because it sends nothing itself. If an earlier attempt may have
// sent a byte of the request, finalRefusal sets notRun to false. It returns err.
func (req *routedRequest) finalRefusal(err error) error {
	var refused *refusal
	if req.sent && errors.As(err, &refused) {
		refused.notRun = false
	}
	return err
}

func (req *routedRequest) markFailed(endpoint string) {
	if req.failed == nil {
		req.failed = map[string]bool{}
	}
	req.failed[endpoint] = true
}

// assignment is the endpoint chosen for a request and the permit to call it.
type assignment struct {
	endpoint *api.Endpoint
	permit   *permit
}

// dispatcher chooses an endpoint for each request and acquires the permit for it.
type dispatcher struct {
	policy    placement.Policy
	permits   *permitClient
	metrics   *telemetry.Metrics
	queueWait time.Duration
	now       func() time.Time
	index     atomic.Pointer[candidateIndex]
	avoided   sync.Map // endpoint id -> time.Time until which it is avoided
}

func (d *dispatcher) avoid(endpoint string, span time.Duration) {
	d.avoided.Store(endpoint, d.now().Add(span))
}

func (d *dispatcher) isAvoided(endpoint string) bool {
	until, ok := d.avoided.Load(endpoint)
	return ok && d.now().Before(until.(time.Time))
}

// place returns an endpoint and a permit for it. It tries the candidates in order
// without queueing and then queues at the one with the least load. After a transient
// refusal, for example because an endpoint or its owner can't be reached, it starts
// over, because a later fleet view may have other candidates. It gives up at the end of
// the queue wait or at the request's deadline, whichever is earlier. The error is a
// *refusal with notRun set. The caller of place passes it through finalRefusal, because
// an earlier attempt may have sent the request.
func (d *dispatcher) place(ctx context.Context, req *routedRequest) (*assignment, error) {
	until := d.now().Add(d.queueWait)
	if req.deadline.Before(until) {
		until = req.deadline
	}
	for {
		assigned, reason := d.placeOnce(ctx, req, until)
		if assigned != nil {
			return assigned, nil
		}
		if !isTransient(reason) || !d.pauseBeforeRetry(ctx, until) {
			return nil, d.placementRefusal(reason)
		}
	}
}

// placeOnce tries all candidates once and then queues at one of them. It returns a
// refusal if no permit was granted.
func (d *dispatcher) placeOnce(ctx context.Context, req *routedRequest, until time.Time) (*assignment, api.Refusal) {
	candidates := d.candidates(req)
	if len(candidates) == 0 {
		return nil, api.RefusalNoEndpoint
	}
	var best *api.Endpoint
	var bestDenied *denial
	sample := loadSample{}
	for _, e := range candidates {
		assigned, denied := d.tryEndpoint(ctx, req, e)
		if assigned != nil {
			return assigned, ""
		}
		sample.add(denied)
		if bestDenied == nil || d.preferWaitingAt(e, denied, best, bestDenied) {
			best, bestDenied = e, denied
		}
	}
	if !isFull(bestDenied.reason) {
		return nil, bestDenied.reason
	}
	return d.waitForPermit(ctx, req, best, until, sample.poolInflight(len(req.pool.Endpoints)))
}

// loadSample sums the endpoint loads that owners report when they refuse permits
// because of the load bound.
type loadSample struct {
	// full counts the endpoints that are at the load bound; sum is the total of their
	// requests in flight.
	full, sum int
}

func (s *loadSample) add(denied *denial) {
	if denied.reason == api.RefusalLoadMultiple {
		s.full++
		s.sum += denied.inflight
	}
}

// poolInflight returns the requests in flight at all endpoints of the pool together, if
// all of them were tried and are at the load bound. Otherwise it returns 0.
func (s *loadSample) poolInflight(endpoints int) int {
	if s.full < endpoints {
		return 0
	}
	return s.sum
}

// preferWaitingAt reports whether a request should queue at e rather than at best. The
// owner of e has refused a permit with denied, the owner of best with bestDenied. The
// first of these rules on which the two endpoints differ decides:
//
//   - A full endpoint is preferred to one that accepts no work at all.
//   - An endpoint that is not avoided is preferred to one that is.
//   - The endpoint with the lower load is preferred.
func (d *dispatcher) preferWaitingAt(e *api.Endpoint, denied *denial, best *api.Endpoint, bestDenied *denial) bool {
	if isFull(denied.reason) != isFull(bestDenied.reason) {
		return isFull(denied.reason)
	}
	if avoided := d.isAvoided(e.ID); avoided != d.isAvoided(best.ID) {
		return !avoided
	}
	return denied.inflight < bestDenied.inflight
}

// pauseBeforeRetry waits before the candidates are tried again. It returns false if
// there is no time left for that.
func (d *dispatcher) pauseBeforeRetry(ctx context.Context, until time.Time) bool {
	if d.now().Add(placeRetryInterval).After(until) {
		return false
	}
	return timing.Pause(ctx, placeRetryInterval)
}

func (d *dispatcher) placementRefusal(reason api.Refusal) error {
	detail := "no endpoint accepts this request now"
	if reason == api.RefusalNoEndpoint {
		detail = "no endpoint serves this"
	}
	return &refusal{reason: reason, notRun: true, detail: detail, retryAfter: time.Second}
}

// candidates returns the endpoints to try, in order. Avoided endpoints come last
// rather than being left out, because they may have recovered. At the first call
// for a request it sets home and cachedAt.
func (d *dispatcher) candidates(req *routedRequest) []*api.Endpoint {
	pool := d.index.Load().pool(req.pool)
	var buffer [maxCandidates]*api.Endpoint
	ranked := pool.rank(buffer[:0], d.policy, req.placementKey, maxCandidates)
	usable := make([]*api.Endpoint, 0, maxCandidates)
	var avoided []*api.Endpoint
	for _, e := range ranked {
		switch {
		case req.failed[e.ID]:
		case d.isAvoided(e.ID):
			avoided = append(avoided, e)
		default:
			usable = append(usable, e)
		}
	}
	if len(ranked) > 0 && req.home == "" {
		req.home = ranked[0].ID
		req.cachedAt = ranked[0]
		if pool.previous != nil {
			req.cachedAt = pool.previous.home(d.policy, req.placementKey)
		}
	}
	return append(usable, avoided...)
}

// tryEndpoint requests a permit without queueing. If the owner redirects the chat to
// the endpoint that holds its cache, that one is tried first.
func (d *dispatcher) tryEndpoint(ctx context.Context, req *routedRequest, e *api.Endpoint) (*assignment, *denial) {
	request := d.permitRequest(req, e)
	if req.chat && e.ID == req.home {
		request.ChatKey = req.placementKey
	}
	p, denied := d.acquire(ctx, e, request, 0)
	if denied != nil && denied.redirect != "" {
		if assigned := d.followRedirect(ctx, req, denied.redirect); assigned != nil {
			return assigned, nil
		}
		request.ChatKey = 0
		p, denied = d.acquire(ctx, e, request, 0)
	}
	if denied != nil {
		return nil, denied
	}
	return &assignment{endpoint: e, permit: p}, nil
}

// followRedirect requests a permit for the endpoint that holds the chat's cache. It
// returns nil if no permit is granted, or if that endpoint has failed the request before
// or is not in the request's pool.
func (d *dispatcher) followRedirect(ctx context.Context, req *routedRequest, target string) *assignment {
	if req.failed[target] {
		return nil
	}
	for _, e := range req.pool.Endpoints {
		if e.ID != target {
			continue
		}
		req.cachedAt = e
		if p, _ := d.acquire(ctx, e, d.permitRequest(req, e), 0); p != nil {
			return &assignment{endpoint: e, permit: p}
		}
		return nil
	}
	return nil
}

// waitForPermit queues for a permit at e until the given time.
func (d *dispatcher) waitForPermit(ctx context.Context, req *routedRequest, e *api.Endpoint, until time.Time, poolInflight int) (*assignment, api.Refusal) {
	wait := until.Sub(d.now())
	if wait <= 0 {
		return nil, api.RefusalDeadlineUnreachable
	}
	request := d.permitRequest(req, e)
	request.PoolInflight = poolInflight
	p, denied := d.acquire(ctx, e, request, wait)
	if denied != nil {
		return nil, denied.reason
	}
	return &assignment{endpoint: e, permit: p}, ""
}

func (d *dispatcher) permitRequest(req *routedRequest, e *api.Endpoint) api.PermitRequest {
	return api.PermitRequest{
		Endpoint:  e.ID,
		Workspace: req.workspace.ID,
		Priority:  req.workspace.Priority,
	}
}

// acquire requests a permit. After a refusal it counts the reason. If the endpoint accepts
// no work, later requests try it last for 500 ms (avoidRefused).
func (d *dispatcher) acquire(ctx context.Context, e *api.Endpoint, r api.PermitRequest, wait time.Duration) (*permit, *denial) {
	p, denied := d.permits.acquire(ctx, r, wait)
	if denied == nil {
		return p, nil
	}
	if denied.redirect == "" {
		d.metrics.Counter("permits.refused." + string(denied.reason)).Inc(1)
		if isEndpointUnavailable(denied.reason) {
			d.avoid(e.ID, avoidRefused)
		}
	}
	return nil, denied
}

// isFull reports whether a permit was refused for lack of free capacity, so that the
// endpoint may accept the request shortly.
func isFull(reason api.Refusal) bool {
	switch reason {
	case api.RefusalOverloaded, api.RefusalLoadMultiple, api.RefusalEndpointFull,
		api.RefusalWorkspaceShare, api.RefusalEndpointCold:
		return true
	}
	return false
}

// isTransient reports whether other candidates, or the same ones shortly after, may
// accept the request, since endpoints and owners change.
func isTransient(reason api.Refusal) bool {
	return isEndpointUnavailable(reason) || reason == api.RefusalNotOwner || reason == api.RefusalPermitExpired
}

// isEndpointUnavailable reports whether the endpoint accepts no work at all at
// present, so that an immediate retry would be refused too.
func isEndpointUnavailable(reason api.Refusal) bool {
	switch reason {
	case api.RefusalEndpointDown, api.RefusalEndpointWithdrawn, api.RefusalNoLease,
		api.RefusalLeaseTakeover, api.RefusalOwnerUnreachable:
		return true
	}
	return false
}
