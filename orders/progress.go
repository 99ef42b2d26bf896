package orders

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
)

// Report is the newest load report of an endpoint.
type Report struct {
	api.LoadReport
	// DataTime is a lower bound of the time of the report's data: the start of the poll
	// minus the reported age.
	DataTime time.Time
	// Down is true if the newest poll failed.
	Down bool
	// ReportedUnable is true if a source other than the polls, such as failed requests
	// or the instance list, shows that the endpoint is down, cold or leaving.
	ReportedUnable bool
}

// SendResult is the outcome of sending an order.
type SendResult int

const (
	// Accepted means that the endpoint accepted the order.
	Accepted SendResult = iota
	// Refused means that the endpoint rejected the order or was not reached. The order
	// has no effect.
	Refused
	// NotSent means that the lease no longer allowed sending. It is not a failure.
	NotSent
	// OutcomeUnknown means that the order may have been executed, or may still be
	// executed.
	OutcomeUnknown
)

// Progress tracks the orders of one lease holder in one term. A new holder starts with
// an empty Progress. A Progress is not safe for concurrent use.
type Progress struct {
	term uint64
	// handoverEnd is the end of the handover, the time at the start of the term in which
	// orders of the previous holder may still arrive.
	handoverEnd time.Time
	// nextLoadAt is the earliest time of the next load under Limits.LoadsPerSecond.
	nextLoadAt time.Time
	endpoints  map[string]*endpointProgress
}

// endpointProgress is the order in progress at an endpoint and the history on which the
// next order depends.
type endpointProgress struct {
	// order is the newest order. It is in progress while active is true.
	order  api.Order
	active bool
	// sending is true until the result of sending is known.
	sending bool
	sentAt  time.Time
	// observableFrom is compared with Report.DataTime. Only later reports show whether the
	// order took effect.
	observableFrom time.Time
	// effectDeadline is the time after which an order without visible effect has failed.
	effectDeadline time.Time
	// accepted counts the orders that the endpoint accepted in this term. It is part of
	// the order's id, because an endpoint ignores an id that it has already executed.
	// If a desired state was reached and lost again, the next order thus has a new id.
	// A retry after an unknown outcome has the same id.
	accepted uint64
	// failures counts the consecutive failures, reason tells why the last attempt failed
	// or has an unknown outcome, and retryAt is the earliest time of the next attempt.
	failures int
	reason   string
	retryAt  time.Time
	// settlingUntil is the time until which the endpoint counts as busy after a load. It
	// is cleared when a report shows the endpoint to be ready, and bounds the wait for
	// an endpoint that never becomes ready.
	settlingUntil time.Time
	// notReadySince is the time since which the reports have not shown the endpoint to
	// be ready; zero if the newest report does.
	notReadySince time.Time
}

// busy reports whether the endpoint is missing because of an order.
func (ep *endpointProgress) busy(now time.Time) bool {
	return ep.active || now.Before(ep.settlingUntil)
}

// NewProgress returns the progress of a term that this router first observed at now.
func NewProgress(now time.Time, term uint64, limits Limits) *Progress {
	limits = limits.withDefaults()
	handoverEnd := now.Add(limits.OrderTimeout)
	// The previous holder may have sent a load just before its lease ended. That load
	// may arrive until the end of the handover.
	return &Progress{
		term: term, handoverEnd: handoverEnd, nextLoadAt: handoverEnd.Add(limits.loadInterval()),
		endpoints: map[string]*endpointProgress{},
	}
}

// Term returns the lease term of the progress.
func (p *Progress) Term() uint64 { return p.term }

func (p *Progress) endpoint(endpoint string) *endpointProgress {
	ep := p.endpoints[endpoint]
	if ep == nil {
		ep = &endpointProgress{}
		p.endpoints[endpoint] = ep
	}
	return ep
}

// SendStarted records that sending an order of Plan starts at now.
func (p *Progress) SendStarted(now time.Time, limits Limits, s OutgoingOrder) {
	limits = limits.withDefaults()
	ep := p.endpoint(s.Endpoint)
	ep.order, ep.active, ep.sending, ep.sentAt = s.Order, true, true, now
	if isLoad(s.Order.Kind) {
		p.nextLoadAt = now.Add(limits.loadInterval())
	}
}

// SendFinished records the result of sending the order in progress.
func (p *Progress) SendFinished(now time.Time, limits Limits, endpoint string, result SendResult, reason string) {
	limits = limits.withDefaults()
	ep := p.endpoint(endpoint)
	if !ep.sending {
		return
	}
	ep.sending = false
	switch result {
	case Accepted:
		ep.accepted++
		ep.observableFrom = now
		ep.effectDeadline = now.Add(limits.OrderEffectTimeout)
	case OutcomeUnknown:
		ep.reason = reason
		ep.observableFrom = now.Add(limits.OrderTimeout)
		ep.effectDeadline = ep.observableFrom
	case NotSent:
		ep.active = false
	case Refused:
		ep.fail(now, limits, reason)
	}
}

// fail ends the order in progress as failed and sets the backoff: exponential from
// RetryMin to RetryMax, then FailedRetryDelay after MaxFailures.
func (ep *endpointProgress) fail(now time.Time, limits Limits, reason string) {
	ep.active = false
	ep.failures++
	ep.reason = reason
	delay := limits.RetryMin
	for i := 1; i < ep.failures && delay < limits.RetryMax; i++ {
		delay *= 2
	}
	delay = min(delay, limits.RetryMax)
	if ep.failures >= limits.MaxFailures {
		delay = limits.FailedRetryDelay
	}
	ep.retryAt = now.Add(delay)
}

// Observe completes the orders whose effect the reports show, and fails the orders whose
// effect the reports do not show by the deadline. It must be called before each Plan.
func (p *Progress) Observe(now time.Time, limits Limits, view *fleet.View, reports map[string]Report) {
	limits = limits.withDefaults()
	for id := range reports {
		p.endpoint(id)
	}
	for id, ep := range p.endpoints {
		if _, ok := view.Endpoint(id); !ok && !ep.sending && !ep.active {
			delete(p.endpoints, id)
			continue
		}
		ep.observe(now, limits, reports[id])
	}
}

func (ep *endpointProgress) observe(now time.Time, limits Limits, report Report) {
	ready := report.Readiness == api.ReadinessReady
	if ready {
		ep.notReadySince = time.Time{}
	} else if ep.notReadySince.IsZero() {
		ep.notReadySince = now
	}
	if ready && report.DataTime.After(ep.observableFrom) {
		ep.settlingUntil = time.Time{}
	}
	if !ep.active || ep.sending || now.Before(ep.observableFrom) {
		return
	}
	known := !report.Down && report.DataTime.After(ep.observableFrom)
	switch {
	case known && showsEffect(&report.LoadReport, ep.order):
		ep.active = false
		if isLoad(ep.order.Kind) && !ready {
			ep.settlingUntil = now.Add(limits.OrderEffectTimeout)
		}
		ep.failures = 0
		ep.reason = ""
	case now.Before(ep.effectDeadline):
	case known:
		reason := ep.reason
		if reason == "" {
			reason = "accepted, but the report does not show its effect"
		}
		ep.fail(now, limits, reason)
	}
}

// orderID returns the id of an order. It is the same when an order with an unknown
// outcome is sent again.
func orderID(endpoint string, term, accepted uint64, o api.Order) string {
	h := sha256.New()
	for _, part := range []string{endpoint, string(o.Kind), o.Model, o.Adapter, o.Version} {
		// Ids contain no zero bytes, so zero separates them unambiguously.
		h.Write(append([]byte(part), 0))
	}
	h.Write(strconv.AppendUint(nil, accepted, 10))
	return strconv.FormatUint(term, 10) + "-" + hex.EncodeToString(h.Sum(nil)[:12])
}
