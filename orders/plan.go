package orders

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
	"github.com/hornbeamproxy/hornbeamproxy/lease"
)

// Limits are the settings of orders. Zero fields take the defaults.
type Limits struct {
	// OrderTimeout bounds the time for sending an order, and also the time from the end
	// of sending until the order arrives. It must be below two thirds of the lease's
	// lifetime: a renewal is due after one third of the lifetime, so just before a
	// renewal only two thirds are left for sending. Default 2s.
	OrderTimeout time.Duration
	// LoadsPerSecond is the rate limit of the weight store, from which endpoints load
	// models, versions and adapters. Default 0.5.
	LoadsPerSecond float64
	// MaxMissingFraction is the largest fraction of a pool's endpoints that may be
	// missing at the same time. A missing endpoint is one that adds no capacity to the
	// pool. At least one endpoint may always be missing. Default 0.1.
	MaxMissingFraction float64
	// MaxReportAge is the age of a report above which no order is sent on its basis.
	// Default 10s.
	MaxReportAge time.Duration
	// MaxCapacityReportAge is the age of an endpoint's report above which the endpoint
	// counts as missing. It must exceed the time in which all endpoints are polled once,
	// at most 15m for 600; see Config.PollBytesPerSecond.
	// Default 20m.
	MaxCapacityReportAge time.Duration
	// OrderEffectTimeout bounds the time until an accepted order shows its effect in the
	// report, and the time until the endpoint is ready after a load. Default 10m.
	OrderEffectTimeout time.Duration
	// RetryMin and RetryMax bound the backoff after a failure. Defaults 1s, 30s.
	RetryMin, RetryMax time.Duration
	// MaxFailures is the number of consecutive failures after which a step counts as
	// failed. Default 5.
	MaxFailures int
	// FailedRetryDelay is the delay between attempts of a failed step. Default 5m.
	FailedRetryDelay time.Duration
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.OrderTimeout, 2*time.Second)
	setDefault(&l.LoadsPerSecond, 0.5)
	setDefault(&l.MaxMissingFraction, 0.1)
	setDefault(&l.MaxReportAge, 10*time.Second)
	setDefault(&l.MaxCapacityReportAge, 20*time.Minute)
	setDefault(&l.OrderEffectTimeout, 10*time.Minute)
	setDefault(&l.RetryMin, time.Second)
	setDefault(&l.RetryMax, 30*time.Second)
	setDefault(&l.MaxFailures, 5)
	setDefault(&l.FailedRetryDelay, 5*time.Minute)
	return l
}

func setDefault[T cmp.Ordered](field *T, value T) {
	var zero T
	if *field <= zero {
		*field = value
	}
}

func (l Limits) loadInterval() time.Duration {
	return time.Duration(float64(time.Second) / l.LoadsPerSecond)
}

// MaySend reports whether the lease is valid for the whole OrderTimeout of an order
// sent at now. It is checked when planning and again immediately before sending.
func (l Limits) MaySend(now time.Time, held lease.Lease) bool {
	return held.Valid(now) && held.Valid(now.Add(l.withDefaults().OrderTimeout))
}

// StepState is the state of a step.
type StepState string

// States of a step.
const (
	StepDone    StepState = "done"
	StepWaiting StepState = "waiting"
	StepFailed  StepState = "failed"
)

// Step is the progress of one endpoint towards its desired state.
type Step struct {
	// Name is the endpoint's id, or "orders" for a step of Controller.Status that is not
	// about a single endpoint.
	Name  string
	State StepState
	// Reason states what a waiting step waits for, or why a step failed.
	Reason string
}

// OutgoingOrder is an order to be sent to an endpoint.
type OutgoingOrder struct {
	Endpoint, URL string
	Order         api.Order
}

// Decision is the result of Plan.
type Decision struct {
	// OutgoingOrders are the orders to send now.
	OutgoingOrders []OutgoingOrder
	// Steps has one entry for each endpoint that gets orders, sorted by id.
	Steps []Step
	// BusyEndpoints lists the endpoints that are missing because of an order.
	// UnreconciledEndpoints lists the endpoints that differ from their desired state and had
	// no order in progress before this call of Plan. The next orders depend on new
	// reports of the endpoints in both lists.
	BusyEndpoints, UnreconciledEndpoints []string
}

// Plan compares the desired state with the reports. It does not modify its arguments.
// The reason text of a waiting step contains no timestamps or durations, so it changes
// only when the cause of the wait changes.
func Plan(now time.Time, limits Limits, view *fleet.View, reports map[string]Report, p *Progress, held lease.Lease) Decision {
	limits = limits.withDefaults()
	pl := planner{
		now: now, limits: limits, reports: reports, progress: p,
		maySend:     held.Term == p.term && limits.MaySend(now, held),
		loadAllowed: !now.Before(p.nextLoadAt),
	}
	all := pl.collectDesired(view)
	pl.countPools(view)
	for _, d := range all {
		pl.planEndpoint(d)
	}
	slices.SortFunc(pl.decision.Steps, func(a, b Step) int { return cmp.Compare(a.Name, b.Name) })
	return pl.decision
}

// poolCapacity counts the missing endpoints of a pool.
type poolCapacity struct {
	// allowed is the number of endpoints that may be missing.
	allowed int
	// missing counts all missing endpoints, and busy those of them that are missing
	// because of an order.
	missing, busy int
}

type planner struct {
	now         time.Time
	limits      Limits
	reports     map[string]Report
	progress    *Progress
	maySend     bool
	loadAllowed bool
	// pools holds the pools of each endpoint, by endpoint id.
	pools map[string][]*poolCapacity
	// missingEndpoints is true for the ids of the endpoints that add no capacity to
	// their pools.
	missingEndpoints map[string]bool
	decision         Decision
}

// collectDesired returns the desired state of each endpoint that gets orders, and
// determines which of them are missing.
func (pl *planner) collectDesired(view *fleet.View) []desired {
	endpoints := view.State().Endpoints
	all := make([]desired, 0, len(endpoints))
	pl.missingEndpoints = make(map[string]bool, len(endpoints))
	for i := range endpoints {
		d, ok := desiredFor(view, &endpoints[i])
		if !ok {
			continue
		}
		all = append(all, d)
		pl.missingEndpoints[d.endpoint.ID] = pl.isMissing(d)
	}
	return all
}

// countPools counts the missing endpoints of each pool.
func (pl *planner) countPools(view *fleet.View) {
	pl.pools = make(map[string][]*poolCapacity, len(view.State().Endpoints))
	for _, pool := range view.Pools() {
		allowed := int(math.Floor(pl.limits.MaxMissingFraction * float64(len(pool.Endpoints))))
		c := &poolCapacity{allowed: max(1, allowed)}
		for _, e := range pool.Endpoints {
			if e.Service != "" {
				continue
			}
			pl.pools[e.ID] = append(pl.pools[e.ID], c)
			if pl.progressOf(e.ID).busy(pl.now) {
				c.busy++
			}
			if pl.missingEndpoints[e.ID] {
				c.missing++
			}
		}
	}
}

func (pl *planner) progressOf(id string) *endpointProgress {
	if ep := pl.progress.endpoints[id]; ep != nil {
		return ep
	}
	return &emptyProgress
}

// isMissing reports whether an endpoint adds no capacity to its pools. It ignores
// reports from before the end of the handover, because an order of the previous
// holder may have arrived since.
func (pl *planner) isMissing(d desired) bool {
	id := d.endpoint.ID
	r, ok := pl.reports[id]
	stale := pl.now.Sub(r.DataTime) > pl.limits.MaxCapacityReportAge || !r.DataTime.After(pl.progress.handoverEnd)
	unable := r.Down || r.ReportedUnable || r.Readiness != api.ReadinessReady || !servesAny(d, r)
	return !ok || stale || unable || pl.progressOf(id).busy(pl.now)
}

// capacityAllows reports whether an order to the endpoint leaves enough capacity in each
// of its pools: the number of missing endpoints (see isMissing) of the pool, not counting
// this one, must be below the pool's limit. The rule also holds for an endpoint that is
// itself missing, because it may become ready before the order arrives. There are two
// exceptions:
//   - An endpoint that has loaded none of its models may always get an order, because
//     it has no capacity to lose.
//   - An endpoint that has been unready for longer than OrderEffectTimeout may get an
//     order even if a pool's limit is reached, provided that no endpoint of that pool is
//     missing because of an order. Otherwise two endpoints that need an order to recover
//     would block each other.
func (pl *planner) capacityAllows(d desired, report Report) bool {
	id := d.endpoint.ID
	if !servesAny(d, report) {
		return true
	}
	missing, progress := pl.missingEndpoints[id], pl.progressOf(id)
	since := progress.notReadySince
	stuck := !since.IsZero() && pl.now.Sub(since) > pl.limits.OrderEffectTimeout
	for _, c := range pl.pools[id] {
		others := c.missing
		if missing {
			others--
		}
		if others >= c.allowed && (!stuck || c.busy > 0) {
			return false
		}
	}
	return true
}

// servesAny reports whether the endpoint has loaded any of its models.
func servesAny(d desired, report Report) bool {
	for _, id := range report.Models {
		if slices.Contains(d.required, id) || slices.Contains(d.allowed, id) {
			return true
		}
	}
	return false
}

// reserveCapacity counts an endpoint that gets an order as missing and busy in its pools.
func (pl *planner) reserveCapacity(id string) {
	missing, busy := pl.missingEndpoints[id], pl.progressOf(id).busy(pl.now)
	for _, c := range pl.pools[id] {
		if !busy {
			c.busy++
		}
		if !missing {
			c.missing++
		}
	}
	pl.missingEndpoints[id] = true
}

// planEndpoint appends the step of an endpoint and, if it is due, the order to send.
func (pl *planner) planEndpoint(d desired) {
	id := d.endpoint.ID
	step := Step{Name: id, State: StepWaiting}
	progress := pl.progressOf(id)
	if progress.busy(pl.now) {
		pl.decision.BusyEndpoints = append(pl.decision.BusyEndpoints, id)
	}
	report, known := pl.reports[id]
	order, differs := api.Order{}, false
	if known {
		order, differs = d.nextOrder(&report.LoadReport)
	}
	switch {
	case d.conflict:
		step.State, step.Reason = StepFailed, "its models have different versions and the endpoint names none"
	case progress.active:
		step.Reason = "order in progress: " + describe(progress.order)
	case !known:
		step.Reason = "no report yet"
	case !differs:
		step.State = StepDone
	default:
		pl.decision.UnreconciledEndpoints = append(pl.decision.UnreconciledEndpoints, id)
		step.Reason = pl.blockingReason(d, report, progress, order)
		if step.Reason == "" {
			pl.send(d, progress, order)
			step.Reason = "order in progress: " + describe(order)
		}
	}
	if step.State == StepWaiting && progress.failures >= pl.limits.MaxFailures {
		step.State, step.Reason = StepFailed, progress.reason
	}
	pl.decision.Steps = append(pl.decision.Steps, step)
}

// emptyProgress is the progress of an endpoint without history; it is never modified.
var emptyProgress endpointProgress

// blockingReason returns why an order can't be sent now, or "".
func (pl *planner) blockingReason(d desired, report Report, ep *endpointProgress, order api.Order) string {
	// A load must wait for the end of the handover, because a late load of the previous
	// holder may still make any endpoint missing; other orders make none missing. All
	// orders to an endpoint that does not check fencing numbers must wait too, because
	// such an endpoint does not reject a late order of the previous holder.
	awaitHandover := isLoad(order.Kind) || !d.endpoint.ChecksFencing
	switch {
	case report.Down:
		return "endpoint does not answer"
	case pl.now.Sub(report.DataTime) > pl.limits.MaxReportAge:
		return "report is too old"
	case report.Readiness == api.ReadinessLeaving:
		return "endpoint is leaving"
	case awaitHandover && pl.now.Before(pl.progress.handoverEnd),
		awaitHandover && !report.DataTime.After(pl.progress.handoverEnd):
		return "waiting for late orders of the last lease holder"
	case report.FencingNumber > pl.progress.term:
		return "endpoint has seen a newer lease holder"
	case pl.now.Before(ep.retryAt):
		return "retrying after: " + ep.reason
	case isLoad(order.Kind) && !pl.loadAllowed:
		return "waiting for the weight store's rate limit"
	case !pl.capacityAllows(d, report):
		return "too much of the pool's capacity is missing"
	case !pl.maySend:
		return "the control lease is about to end"
	}
	return ""
}

func (pl *planner) send(d desired, ep *endpointProgress, order api.Order) {
	e := d.endpoint
	pl.reserveCapacity(e.ID)
	if isLoad(order.Kind) {
		pl.loadAllowed = false
	}
	order.FencingNumber = pl.progress.term
	order.ID = orderID(e.ID, pl.progress.term, ep.accepted, order)
	pl.decision.OutgoingOrders = append(pl.decision.OutgoingOrders, OutgoingOrder{Endpoint: e.ID, URL: e.URL, Order: order})
}

func describe(o api.Order) string { return string(o.Kind) + " " + target(o) }
