package orders

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
)

// Report is the newest that is known from an endpoint.
type Report struct {
	api.LoadReport
	// At is the time at which the figures were true at the latest: the start of
	// the poll less the reported age.
	At time.Time
	// Down says that the newest poll failed.
	Down bool
	// Missing says that the endpoint is known from elsewhere, such as errors of
	// requests or the instance list, to be down, cold or leaving.
	Missing bool
}

// Result is the outcome of sending an order.
type Result int

const (
	// Accepted was answered by the endpoint.
	Accepted Result = iota
	// Refused was answered by the endpoint and has no effect.
	Refused
	// NotSent was held back by the check of the lease and is no failure.
	NotSent
	// Unknown may have been carried out, or may still be.
	Unknown
)

// Progress is what one holder knows of its orders in one term. A new holder starts
// with an empty one. It is not safe for concurrent use.
type Progress struct {
	term       uint64
	handoverAt time.Time
	nextLoadAt time.Time
	endpoints  map[string]*running
}

// running is the order in progress at an endpoint and the history that the next
// one depends on.
type running struct {
	order  api.Order
	active bool
	// open says that the result of sending is not there yet.
	open   bool
	sentAt time.Time
	// showsFrom is the time from which reports tell whether the order took effect.
	showsFrom time.Time
	// failsAt is when an order without visible effect has failed.
	failsAt time.Time
	// answered counts the orders that the endpoint accepted in this term. It is
	// part of the order's id: an endpoint ignores an id that it has carried out,
	// so a state that was reached and lost again needs a new id, and a repetition
	// after an unknown outcome needs the old one.
	answered uint64
	failures int
	reason   string
	retryAt  time.Time
	// settlingUntil is set after a load until a report says ready, and bounded for
	// an endpoint that never does.
	settlingUntil time.Time
	// notReadySince is zero while reports say ready.
	notReadySince time.Time
}

// busy says whether the endpoint is missing because of an order.
func (r *running) busy(now time.Time) bool {
	return r.active || now.Before(r.settlingUntil)
}

// NewProgress starts a term that this router learnt of at now.
func NewProgress(now time.Time, term uint64, limits Limits) *Progress {
	limits = limits.withDefaults()
	handover := now.Add(limits.OrderTimeout)
	// The load of the last holder may have been sent just before its lease ended,
	// and may arrive until the end of the handover.
	return &Progress{
		term: term, handoverAt: handover, nextLoadAt: handover.Add(limits.loadInterval()),
		endpoints: map[string]*running{},
	}
}

// Term returns the term of the lease that the progress belongs to.
func (p *Progress) Term() uint64 { return p.term }

func (p *Progress) of(endpoint string) *running {
	r := p.endpoints[endpoint]
	if r == nil {
		r = &running{}
		p.endpoints[endpoint] = r
	}
	return r
}

// Sending says that an order of Plan is sent from now on.
func (p *Progress) Sending(now time.Time, limits Limits, s Send) {
	limits = limits.withDefaults()
	r := p.of(s.Endpoint)
	r.order, r.active, r.open, r.sentAt = s.Order, true, true, now
	if isLoad(s.Order.Kind) {
		p.nextLoadAt = now.Add(limits.loadInterval())
	}
}

// Sent takes the result of sending the order in progress.
func (p *Progress) Sent(now time.Time, limits Limits, endpoint string, result Result, reason string) {
	limits = limits.withDefaults()
	r := p.of(endpoint)
	if !r.open {
		return
	}
	r.open = false
	switch result {
	case Accepted:
		r.answered++
		r.showsFrom = now
		r.failsAt = now.Add(limits.SettleTimeout)
	case Unknown:
		r.reason = reason
		r.showsFrom = now.Add(limits.OrderTimeout)
		r.failsAt = r.showsFrom
	case NotSent:
		r.active = false
	case Refused:
		r.fail(now, limits, reason)
	}
}

func (r *running) fail(now time.Time, limits Limits, reason string) {
	r.active = false
	r.failures++
	r.reason = reason
	delay := limits.RetryMin
	for i := 1; i < r.failures && delay < limits.RetryMax; i++ {
		delay *= 2
	}
	delay = min(delay, limits.RetryMax)
	if r.failures >= limits.MaxFailures {
		delay = limits.SlowRetry
	}
	r.retryAt = now.Add(delay)
}

// Observe ends orders whose effect the reports show, and fails those without
// effect. It is called before each Plan.
func (p *Progress) Observe(now time.Time, limits Limits, view *fleet.View, reports map[string]Report) {
	limits = limits.withDefaults()
	for id := range reports {
		p.of(id)
	}
	for id, r := range p.endpoints {
		if _, ok := view.Endpoint(id); !ok && !r.open && !r.active {
			delete(p.endpoints, id)
			continue
		}
		r.observe(now, limits, reports[id])
	}
}

func (r *running) observe(now time.Time, limits Limits, report Report) {
	ready := report.Readiness == api.ReadinessReady
	if ready {
		r.notReadySince = time.Time{}
	} else if r.notReadySince.IsZero() {
		r.notReadySince = now
	}
	if ready && report.At.After(r.showsFrom) {
		r.settlingUntil = time.Time{}
	}
	if !r.active || r.open || now.Before(r.showsFrom) {
		return
	}
	known := !report.Down && report.At.After(r.showsFrom)
	switch {
	case known && shows(&report.LoadReport, r.order):
		r.active = false
		if isLoad(r.order.Kind) && !ready {
			r.settlingUntil = now.Add(limits.SettleTimeout)
		}
		r.failures = 0
		r.reason = ""
	case now.Before(r.failsAt):
	case known:
		reason := r.reason
		if reason == "" {
			reason = "accepted, but the report does not show its effect"
		}
		r.fail(now, limits, reason)
	}
}

// orderID is the same for repetitions of an order with an unknown outcome.
func orderID(endpoint string, term, answered uint64, o api.Order) string {
	h := sha256.New()
	for _, part := range []string{endpoint, string(o.Kind), o.Model, o.Adapter, o.Version} {
		// Ids hold no zero bytes.
		h.Write(append([]byte(part), 0))
	}
	h.Write(strconv.AppendUint(nil, answered, 10))
	return strconv.FormatUint(term, 10) + "-" + hex.EncodeToString(h.Sum(nil)[:12])
}
