package admission

import (
	"math"
	"slices"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/endpointstate"
)

// Gate is the state machine of one endpoint's admission owner. It is not safe
// for concurrent use. Every method that returns outcomes may return those of requests
// that were queued by earlier calls. The caller must deliver each outcome to the
// router that sent the request.
type Gate struct {
	config   Config
	settings Settings
	lease    Lease

	counter uint32
	permits map[uint64]permit
	// lostRouters maps each router that membership declared lost to the time at which
	// RouterLost reported it.
	lostRouters map[string]time.Time
	queue       queue
	moved       movedTable
	service     serviceTime

	report report
	warmup warmup

	pool   PoolLoad
	poolAt time.Time // when the figures in pool were measured
}

type permit struct {
	router    string
	workspace string
	// granted is the zero time for a permit adopted from a former owner.
	granted time.Time
	expires time.Time
}

// report is the newest load report.
type report struct {
	known    bool
	failed   bool
	load     api.LoadReport
	measured time.Time
	// cutoff is the time of the measurement, or an earlier time for a cold endpoint;
	// recountGranted sets it. grantedSince counts the permits in use that were granted
	// at cutoff or later. The report's figures possibly leave out their work.
	grantedSince int
	cutoff       time.Time
	// returned holds the permits returned after the measurement. If such a permit was
	// granted before the measurement, the report's figures include the permit's work,
	// although that work has ended.
	returned []returnedPermit
}

// returnedPermit is a permit that was released because its work had ended. A permit of a
// failed request is not one.
type returnedPermit struct {
	granted, returned time.Time
}

// maxReturned bounds report.returned, which grows while no reports arrive. A returned
// permit beyond this number is not recorded. Inflight may then count its ended
// work until the next report.
const maxReturned = 1024

// NewGate returns a gate without permits. It grants nothing before the first
// load report, unless Settings.NoReports is set.
func NewGate(config Config) *Gate {
	config = config.withDefaults()
	return &Gate{
		config:      config,
		permits:     map[uint64]permit{},
		lostRouters: map[string]time.Time{},
		queue:       newQueue(config.QueueLength),
		moved:       newMovedTable(config.MaxMovedChats),
	}
}

// Request grants, queues, redirects or refuses a request. If queued is true, the
// returned outcome is empty, and a later call of another method returns the
// request's outcome.
func (g *Gate) Request(now time.Time, r Request) (outcome Outcome, queued bool) {
	if g.config.NoLimits {
		return g.requestWithoutLimits(now, r), false
	}
	if r.ChatKey != 0 {
		if target := g.moved.lookup(r.ChatKey); target != "" {
			return Outcome{RequestID: r.ID, Router: r.Router, Redirect: target}, false
		}
	}
	if reason := g.endpointRefusal(now); reason != "" {
		return refuse(r, reason), false
	}
	// The pool's load that was sent with the request may be newer than g.pool. The
	// next call of SetPool replaces g.pool.
	g.pool.Inflight = max(g.pool.Inflight, r.PoolInflight)
	limit, full := g.limit(now)
	if g.queue.total == 0 && g.Inflight() < limit {
		return g.grant(now, r, now), false
	}
	if reason := g.queueRefusal(now, r, limit, full); reason != "" {
		return refuse(r, reason), false
	}
	g.queue.push(now, r)
	return Outcome{}, true
}

func (g *Gate) requestWithoutLimits(now time.Time, r Request) Outcome {
	if reason := g.stateRefusal(); reason != "" {
		return refuse(r, reason)
	}
	return g.grant(now, r, now)
}

// queueRefusal returns why a request cannot be queued, or "". limit is the
// endpoint's limit, and full the refusal for an endpoint that has reached it.
func (g *Gate) queueRefusal(now time.Time, r Request, limit int, full api.Refusal) api.Refusal {
	switch {
	case r.Deadline.IsZero():
		return full
	case !r.Deadline.After(now):
		return api.RefusalDeadlineExceeded
	case g.queue.full():
		return api.RefusalQueueFull
	case g.queue.shareExhausted(r.Workspace):
		return api.RefusalWorkspaceShare
	}
	wait := g.service.estimateWait(g.queue.requestsAhead(r), limit)
	if now.Add(wait).After(r.Deadline) {
		return api.RefusalDeadlineUnreachable
	}
	return ""
}

func refuse(r Request, reason api.Refusal) Outcome {
	return Outcome{RequestID: r.ID, Router: r.Router, Refusal: reason}
}

// Report applies a load report. A report that was measured before the newest one is
// ignored. load.AgeMs must include the time since the report was requested,
// rounded up, so that work started after the measurement does not appear to be
// part of the report.
func (g *Gate) Report(now time.Time, load api.LoadReport) []Outcome {
	age := time.Duration(max(0, load.AgeMs)) * time.Millisecond
	measured := now.Add(-age)
	if g.report.known && measured.Before(g.report.measured) {
		return g.serveQueue(now)
	}
	previous := g.report
	g.report.known = true
	g.report.failed = false
	g.report.load = load
	g.report.measured = measured
	g.report.returned = slices.DeleteFunc(g.report.returned, func(r returnedPermit) bool { return r.returned.Before(measured) })
	g.recountGranted()
	g.updateWarmup(now, previous)
	g.recountGranted()
	g.dropPermitsOfLostRouters()
	return g.serveQueue(now)
}

// ReportFailed records that the endpoint's load report could not be read. The
// endpoint may be restarting, so a cold endpoint gets no work before its next report.
func (g *Gate) ReportFailed(now time.Time) []Outcome {
	g.report.failed = true
	return g.serveQueue(now)
}

// recountGranted recomputes cutoff and grantedSince of the report. The cutoff is the
// time of the measurement. For a cold endpoint it is earlier by the start-by time,
// because work may start that long after the grant, and the limit of a cold endpoint
// must never be exceeded.
func (g *Gate) recountGranted() {
	g.report.cutoff = g.report.measured
	if g.cold() && g.report.known {
		g.report.cutoff = g.report.measured.Add(-g.config.StartBy)
	}
	g.report.grantedSince = 0
	for _, p := range g.permits {
		if !p.granted.Before(g.report.cutoff) {
			g.report.grantedSince++
		}
	}
}

// SetPool sets the load of the endpoint's pool.
func (g *Gate) SetPool(now time.Time, pool PoolLoad) []Outcome {
	g.pool = pool
	g.poolAt = now.Add(-pool.Age)
	return g.serveQueue(now)
}

// Lease returns the state of the endpoint's cold lease as last set by SetLease.
func (g *Gate) Lease() Lease { return g.lease }

// SetLease sets the state of the endpoint's cold lease.
func (g *Gate) SetLease(now time.Time, lease Lease) []Outcome {
	g.lease = lease
	return g.serveQueue(now)
}

// SetEndpoint sets the endpoint's settings and state. If the state stops work,
// the queued requests are refused at once.
func (g *Gate) SetEndpoint(now time.Time, settings Settings) []Outcome {
	wasCold := g.settings.cold()
	g.settings = settings
	if isCold := settings.cold(); wasCold != isCold {
		if wasCold && g.warmup.phase != phaseCold {
			g.warmup.startRamp(g.report.load.Bearable)
		}
		g.recountGranted()
	}
	return g.serveQueue(now)
}

// DropMoved removes the redirects of chats that moved to an endpoint which is no
// longer usable.
func (g *Gate) DropMoved(endpoint string) {
	g.moved.removeEndpoint(endpoint)
}

// Tick drops permits whose hold time has ended and refuses queued requests whose
// deadline has passed. It must be called several times within Config.StartBy.
func (g *Gate) Tick(now time.Time) []Outcome {
	for id, p := range g.permits {
		if !p.expires.After(now) {
			g.removePermit(id, p)
		}
	}
	for router, at := range g.lostRouters {
		if now.Sub(at) > g.config.HoldTime {
			delete(g.lostRouters, router)
		}
	}
	return g.serveQueue(now)
}

// Cancel removes a queued request, which then gets no outcome. It returns false
// for a request that is not queued.
func (g *Gate) Cancel(_ time.Time, requestID string) bool {
	return g.queue.cancel(requestID)
}

// Close refuses all queued requests because this router is no longer the owner.
func (g *Gate) Close() []Outcome {
	return g.refuseQueued(nil, api.RefusalNotOwner)
}

// Inflight returns the endpoint's load in requests. It is the greater of two counts:
//
//   - the permits in use at this gate;
//   - the load in the last report, plus the permits granted and minus the permits
//     returned since the report was measured.
//
// Without the subtraction, answers that end between two reports would make the load
// and the pool's mean too high.
func (g *Gate) Inflight() int {
	own := len(g.permits)
	if !g.report.known {
		return own
	}
	return max(own, g.reportedWork()+g.report.grantedSince-g.returnedSince())
}

// Permits returns the number of permits in use, which is the gate's share of the
// pool's load. Inflight is not used for that: as the greater of two counts it would
// bias the sum over the gates upwards.
func (g *Gate) Permits() int { return len(g.permits) }

// reportedWork returns the reported number of requests at the endpoint. It
// includes those that wait there, as each of them uses a permit.
func (g *Gate) reportedWork() int {
	return g.report.load.Running + g.report.load.Waiting
}

// Queued returns the number of requests in the gate's queue.
func (g *Gate) Queued() int {
	return g.queue.total
}

// endpointRefusal returns why the endpoint gets no work at all, or "".
func (g *Gate) endpointRefusal(now time.Time) api.Refusal {
	if reason := g.stateRefusal(); reason != "" {
		return reason
	}
	switch {
	case g.settings.NoReports && !g.report.known:
		if g.settings.cold() {
			return api.RefusalEndpointCold
		}
		return ""
	case !g.report.known:
		return api.RefusalNotReady
	case g.report.load.Readiness == api.ReadinessLeaving:
		return api.RefusalEndpointWithdrawn
	case g.cold():
		return g.coldRefusal(now)
	}
	return ""
}

// stateRefusal returns why the endpoint's state allows no work, or "".
func (g *Gate) stateRefusal() api.Refusal {
	switch g.settings.State {
	case endpointstate.Withdrawn, endpointstate.Leaving:
		return api.RefusalEndpointWithdrawn
	case endpointstate.Down:
		return api.RefusalEndpointDown
	}
	return ""
}

// coldRefusal returns why a cold endpoint gets no work, or "". It checks the
// lease against the clock on each decision, so a router that was paused beyond the
// end of its lease grants nothing. The work that the former holder of the lease
// granted is either included in a report measured after GrantsFrom or can no longer
// start.
func (g *Gate) coldRefusal(now time.Time) api.Refusal {
	switch {
	case !g.lease.Held || !now.Before(g.lease.ValidUntil):
		return api.RefusalNoLease
	case now.Before(g.lease.GrantsFrom), g.report.measured.Before(g.lease.GrantsFrom):
		return api.RefusalLeaseTakeover
	case g.report.failed, now.Sub(g.report.measured) >= g.config.ReportMaxAge:
		return api.RefusalEndpointCold
	case g.report.load.Bearable <= 0:
		return api.RefusalEndpointCold
	}
	return ""
}

// limit returns how many requests the endpoint may have in flight, and the
// refusal for requests beyond that limit.
func (g *Gate) limit(now time.Time) (int, api.Refusal) {
	limit, reason := g.maxInflight(), api.RefusalEndpointFull
	if bound, ok := g.loadBound(now); ok && bound < limit {
		limit, reason = bound, api.RefusalLoadMultiple
	}
	if warm, ok := g.warmupLimit(); ok && warm < limit {
		limit, reason = warm, api.RefusalEndpointCold
	}
	return limit, reason
}

func (g *Gate) maxInflight() int {
	configured, reported := g.settings.MaxInflight, g.report.load.MaxRunning
	switch {
	case configured <= 0 && reported <= 0:
		return DefaultMaxInflight
	case configured <= 0:
		return reported
	case reported <= 0:
		return configured
	}
	return min(configured, reported)
}

// boundFraction sets the bound that admission applies to an endpoint's load. A fraction
// of 0 stands for the pool's mean load, and 1 for LoadMultiple times that mean. A
// fraction below 1 leaves a margin for two errors: an ended request is still present at
// its endpoint for some time, and the mean is some time old.
const boundFraction = 0.6

// loadBound returns the highest load of the endpoint, in requests, that the pool's mean
// allows. It returns false if the pool's load is unknown or too old.
func (g *Gate) loadBound(now time.Time) (int, bool) {
	if g.pool.Ready <= 0 || now.Sub(g.poolAt) > g.config.PoolLoadMaxAge {
		return 0, false
	}
	mean := float64(g.pool.Inflight+1) / float64(g.pool.Ready)
	multiple := 1 + boundFraction*(g.config.LoadMultiple-1)
	bound := max(math.Ceil(mean), math.Floor(multiple*mean))
	return int(bound), true
}

// serveQueue refuses the queued requests that can no longer be served and grants
// permits to the next ones up to the limit.
func (g *Gate) serveQueue(now time.Time) []Outcome {
	if g.queue.total == 0 {
		return nil
	}
	if reason := g.endpointRefusal(now); reason != "" {
		return g.refuseQueued(nil, reason)
	}
	late := g.queue.removeIf(func(item *queuedRequest) bool { return !item.request.Deadline.After(now) })
	var outcomes []Outcome
	for _, item := range late {
		outcomes = append(outcomes, refuse(item.request, api.RefusalDeadlineExceeded))
	}
	limit, _ := g.limit(now)
	share := int(math.Ceil(g.config.WorkspaceShare * float64(limit)))
	for g.Inflight() < limit {
		item, ok := g.queue.next(share)
		if !ok {
			break
		}
		outcomes = append(outcomes, g.grant(now, item.request, item.received))
	}
	return outcomes
}

func (g *Gate) refuseQueued(outcomes []Outcome, reason api.Refusal) []Outcome {
	for _, item := range g.queue.removeIf(func(*queuedRequest) bool { return true }) {
		outcomes = append(outcomes, refuse(item.request, reason))
	}
	return outcomes
}
