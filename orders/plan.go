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
	// OrderTimeout is the longest time that sending an order may take, and also
	// the longest time after that until it arrives. It must be below two thirds of
	// the lease's lifetime, or a holder between two renewals can't send. Default 2s.
	OrderTimeout time.Duration
	// LoadsPerSecond is the rate limit of the weight store. Default 0.5.
	LoadsPerSecond float64
	// MissingFraction is the part of a pool's endpoints that may be missing at a
	// time; at least one may. Default 0.1.
	MissingFraction float64
	// ReportAge is the age beyond which a report yields no order. Default 10s.
	ReportAge time.Duration
	// CapacityAge is the age beyond which an endpoint counts as missing. It must
	// exceed the time of a sweep over all endpoints, which Controller bounds to 15m
	// at 600. Default 20m.
	CapacityAge time.Duration
	// SettleTimeout is how long an accepted order may stay without effect in the
	// report. Default 10m.
	SettleTimeout time.Duration
	// RetryMin and RetryMax bound the backoff after a failure. Defaults 1s, 30s.
	RetryMin, RetryMax time.Duration
	// MaxFailures in a row make a step failed. Default 5.
	MaxFailures int
	// SlowRetry is the time between attempts of a failed step. Default 5m.
	SlowRetry time.Duration
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.OrderTimeout, 2*time.Second)
	setDefault(&l.LoadsPerSecond, 0.5)
	setDefault(&l.MissingFraction, 0.1)
	setDefault(&l.ReportAge, 10*time.Second)
	setDefault(&l.CapacityAge, 20*time.Minute)
	setDefault(&l.SettleTimeout, 10*time.Minute)
	setDefault(&l.RetryMin, time.Second)
	setDefault(&l.RetryMax, 30*time.Second)
	setDefault(&l.MaxFailures, 5)
	setDefault(&l.SlowRetry, 5*time.Minute)
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

// MaySend says whether the lease covers the whole sending of an order that starts
// at now. It is asked again at the moment of sending.
func (l Limits) MaySend(now time.Time, held lease.Lease) bool {
	return held.Valid(now) && held.Valid(now.Add(l.withDefaults().OrderTimeout))
}

// StepState says how far a step has come.
type StepState string

// States of a step.
const (
	StepDone    StepState = "done"
	StepWaiting StepState = "waiting"
	StepFailed  StepState = "failed"
)

// Step is what release notes want on one endpoint.
type Step struct {
	Name  string
	State StepState
	// Reason says what a waiting step waits for, or why a step failed.
	Reason string
}

// Send is an order to an endpoint.
type Send struct {
	Endpoint, URL string
	Order         api.Order
}

// Decision is the result of Plan.
type Decision struct {
	// Sends are the orders to send now.
	Sends []Send
	// Steps has one entry for each endpoint that gets orders, in order of id.
	Steps []Step
	// Busy lists the endpoints that are missing because of an order, Differ those
	// whose next order waits. Their reports decide on the orders to come.
	Busy, Differ []string
}

// Plan compares the desired state with the reports. It changes none of its
// arguments. Reasons of waiting steps hold no times, so that they change only with
// their cause.
func Plan(now time.Time, limits Limits, view *fleet.View, reports map[string]Report, p *Progress, held lease.Lease) Decision {
	limits = limits.withDefaults()
	pl := planner{
		now: now, limits: limits, reports: reports, progress: p,
		maySend:  held.Term == p.term && limits.MaySend(now, held),
		loadFree: !now.Before(p.nextLoadAt),
	}
	all := pl.collect(view)
	pl.countPools(view)
	for _, w := range all {
		pl.endpoint(w)
	}
	slices.SortFunc(pl.decision.Steps, func(a, b Step) int { return cmp.Compare(a.Name, b.Name) })
	return pl.decision
}

// capacity counts the endpoints of a pool.
type capacity struct {
	allowed int
	// missing counts all endpoints that are missing, busy those that are so
	// because of an order.
	missing, busy int
}

type planner struct {
	now      time.Time
	limits   Limits
	reports  map[string]Report
	progress *Progress
	maySend  bool
	loadFree bool
	pools    map[string][]*capacity
	// absent holds the endpoints that are missing from their pools.
	absent   map[string]bool
	decision Decision
}

// collect returns what is wanted on the endpoints that get orders.
func (pl *planner) collect(view *fleet.View) []wanted {
	endpoints := view.State().Endpoints
	all := make([]wanted, 0, len(endpoints))
	pl.absent = make(map[string]bool, len(endpoints))
	for i := range endpoints {
		w, ok := wantedOn(view, &endpoints[i])
		if !ok {
			continue
		}
		all = append(all, w)
		pl.absent[w.endpoint.ID] = pl.isMissing(w)
	}
	return all
}

func (pl *planner) countPools(view *fleet.View) {
	pl.pools = make(map[string][]*capacity, len(view.State().Endpoints))
	for _, pool := range view.Pools() {
		allowed := int(math.Floor(pl.limits.MissingFraction * float64(len(pool.Endpoints))))
		c := &capacity{allowed: max(1, allowed)}
		for _, e := range pool.Endpoints {
			if e.Service != "" {
				continue
			}
			pl.pools[e.ID] = append(pl.pools[e.ID], c)
			if pl.running(e.ID).busy(pl.now) {
				c.busy++
			}
			if pl.absent[e.ID] {
				c.missing++
			}
		}
	}
}

func (pl *planner) running(id string) *running {
	if r := pl.progress.endpoints[id]; r != nil {
		return r
	}
	return &noOrder
}

// isMissing counts a report from before the end of the handover as unknown,
// because an order of the last holder may have arrived since.
func (pl *planner) isMissing(w wanted) bool {
	id := w.endpoint.ID
	r, ok := pl.reports[id]
	old := pl.now.Sub(r.At) > pl.limits.CapacityAge || !r.At.After(pl.progress.handoverAt)
	unable := r.Down || r.Missing || r.Readiness != api.ReadinessReady || !servesAny(w, r)
	return !ok || old || unable || pl.running(id).busy(pl.now)
}

// capacityFree says whether the endpoint may get an order. An endpoint that
// reports none of its models has no capacity to lose. One that is missing for
// another reason takes nothing more away, but may become ready before the order
// arrives, so it counts as if it were ready. Without the exception for endpoints
// that have been cold for long, two that need an order to recover would block
// each other.
func (pl *planner) capacityFree(w wanted, report Report) bool {
	id := w.endpoint.ID
	if !servesAny(w, report) {
		return true
	}
	missing, running := pl.absent[id], pl.running(id)
	since := running.notReadySince
	stuck := !since.IsZero() && pl.now.Sub(since) > pl.limits.SettleTimeout
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

func servesAny(w wanted, report Report) bool {
	for _, id := range report.Models {
		if slices.Contains(w.load, id) || slices.Contains(w.keep, id) {
			return true
		}
	}
	return false
}

func (pl *planner) take(id string) {
	missing, busy := pl.absent[id], pl.running(id).busy(pl.now)
	for _, c := range pl.pools[id] {
		if !busy {
			c.busy++
		}
		if !missing {
			c.missing++
		}
	}
	pl.absent[id] = true
}

func (pl *planner) endpoint(w wanted) {
	id := w.endpoint.ID
	step := Step{Name: id, State: StepWaiting}
	running := pl.running(id)
	if running.busy(pl.now) {
		pl.decision.Busy = append(pl.decision.Busy, id)
	}
	report, known := pl.reports[id]
	order, differs := api.Order{}, false
	if known {
		order, differs = w.next(&report.LoadReport)
	}
	switch {
	case w.conflict:
		step.State, step.Reason = StepFailed, "its models have different versions and the endpoint names none"
	case running.active:
		step.Reason = "order in progress: " + describe(running.order)
	case !known:
		step.Reason = "no report yet"
	case !differs:
		step.State = StepDone
	default:
		pl.decision.Differ = append(pl.decision.Differ, id)
		step.Reason = pl.obstacle(w, report, running, order)
		if step.Reason == "" {
			pl.send(w, running, order)
			step.Reason = "order in progress: " + describe(order)
		}
	}
	if step.State == StepWaiting && running.failures >= pl.limits.MaxFailures {
		step.State, step.Reason = StepFailed, running.reason
	}
	pl.decision.Steps = append(pl.decision.Steps, step)
}

// noOrder stands for an endpoint without history; it is never modified.
var noOrder running

// obstacle returns why an order can't be sent now, or "".
func (pl *planner) obstacle(w wanted, report Report, r *running, order api.Order) string {
	// Only a load takes capacity away at the endpoint, and only an endpoint that
	// checks fencing numbers rejects a late order of the last holder. During the
	// handover such an order may still take capacity anywhere.
	handover := isLoad(order.Kind) || !w.endpoint.ChecksFencing
	switch {
	case report.Down:
		return "endpoint does not answer"
	case pl.now.Sub(report.At) > pl.limits.ReportAge:
		return "report is too old"
	case report.Readiness == api.ReadinessLeaving:
		return "endpoint is leaving"
	case handover && pl.now.Before(pl.progress.handoverAt),
		handover && !report.At.After(pl.progress.handoverAt):
		return "waiting for late orders of the last lease holder"
	case report.FencingNumber > pl.progress.term:
		return "endpoint has seen a newer lease holder"
	case pl.now.Before(r.retryAt):
		return "retrying after: " + r.reason
	case isLoad(order.Kind) && !pl.loadFree:
		return "waiting for the weight store's rate limit"
	case !pl.capacityFree(w, report):
		return "too much of the pool's capacity is missing"
	case !pl.maySend:
		return "the control lease is about to end"
	}
	return ""
}

func (pl *planner) send(w wanted, r *running, order api.Order) {
	e := w.endpoint
	pl.take(e.ID)
	if isLoad(order.Kind) {
		pl.loadFree = false
	}
	order.FencingNumber = pl.progress.term
	order.ID = orderID(e.ID, pl.progress.term, r.answered, order)
	pl.decision.Sends = append(pl.decision.Sends, Send{Endpoint: e.ID, URL: e.URL, Order: order})
}

func describe(o api.Order) string { return string(o.Kind) + " " + subject(o) }
