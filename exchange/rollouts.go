package exchange

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/rollout"
)

// While a staged roll-out is running, each router tells the relays its counts of answers, and the
// relay that decides tells all routers the status in force (see package rollout). Without a
// roll-out nothing is sent.

const (
	// directRolloutInterval is the time between two reports of counts in a small fleet. In a
	// larger one it is rollout.ReportInterval.
	directRolloutInterval = sendInterval
	// heardWithin is the silence after which a peer no longer counts in Heard: routers send to
	// the relays every 500 ms at least.
	heardWithin = time.Second
)

// RolloutReport has the counts of one start of a router for the roll-out of a service. They only
// grow, so that a lost report costs nothing.
type RolloutReport struct {
	Service string         `cbor:"1,keyasint"`
	Start   uint64         `cbor:"2,keyasint"` // identifies the start of the router
	Report  rollout.Report `cbor:"3,keyasint"`
}

// Failed returns the number of failed answers of the target.
func (r *RolloutReport) Failed() (n uint32) {
	for _, tally := range r.Report.Target {
		n += tally.Failed
	}
	return n
}

// RolloutStatus is the status of the roll-out of a service, as a relay has decided or heard it.
type RolloutStatus struct {
	Service   string        `cbor:"1,keyasint"`
	Order     string        `cbor:"2,keyasint"`
	Target    string        `cbor:"3,keyasint"`
	State     rollout.State `cbor:"4,keyasint"`
	Share     float64       `cbor:"5,keyasint"`
	StartedMS int64         `cbor:"6,keyasint"` // Unix time
	Reason    string        `cbor:"7,keyasint,omitempty"`
}

// NewRolloutStatus returns the message for a status.
func NewRolloutStatus(service string, s rollout.Status) RolloutStatus {
	return RolloutStatus{
		Service: service, Order: s.Order, Target: s.Target, State: s.State, Share: s.Share,
		StartedMS: s.Started.UnixMilli(), Reason: s.Reason,
	}
}

// Status returns the status in a message.
func (s RolloutStatus) Status() rollout.Status {
	return rollout.Status{
		State: s.State, Target: s.Target, Order: s.Order, Reason: s.Reason, Share: s.Share,
		Started: time.UnixMilli(s.StartedMS),
	}
}

// Rollouts are the staged roll-outs that this router knows. Implementations are safe for concurrent
// use.
type Rollouts interface {
	// Reports returns the counts to report, empty if no roll-out is running.
	Reports(now time.Time) []RolloutReport
	// Statuses returns what this router announces as a relay.
	Statuses() []RolloutStatus
	// ReceiveReports is called with the reports of another router, and ReceiveStatuses with what
	// another router announces.
	ReceiveReports(now time.Time, router string, reports []RolloutReport)
	ReceiveStatuses(now time.Time, statuses []RolloutStatus)
}

// sendRolloutReports sends the counts of this router to the relays when they are due.
func (e *Exchange) sendRolloutReports(now time.Time) {
	if e.config.Rollouts == nil {
		return
	}
	reports := e.config.Rollouts.Reports(now)
	if len(reports) == 0 {
		return
	}
	failed := uint32(0)
	for i := range reports {
		failed += reports[i].Failed()
	}
	var outgoing []outgoingMessage
	e.mu.Lock()
	interval := rollout.ReportInterval
	if e.sendsDirect() {
		interval = directRolloutInterval
	}
	// New failures of a target are sent at the next opportunity: at a high share each moment
	// exposes more requests to it.
	if failed == e.rolloutsFailed && now.Sub(e.rolloutsSentAt) < interval-reportInterval/2 {
		e.mu.Unlock()
		return
	}
	e.rolloutsSentAt, e.rolloutsFailed = now, failed
	receivers := e.collectors(now)
	for i := range reports {
		// One roll-out a message, so that each fits into a datagram.
		m := &message{Router: e.config.Router, RolloutReports: reports[i : i+1]}
		for _, p := range receivers {
			outgoing = append(outgoing, outgoingMessage{p.address, m})
		}
	}
	e.mu.Unlock()
	e.send(outgoing)
}

// rolloutStatuses returns what this router announces as a relay.
func (e *Exchange) rolloutStatuses() []RolloutStatus {
	if e.config.Rollouts == nil {
		return nil
	}
	return e.config.Rollouts.Statuses()
}

// AnnounceRollouts sends what this router announces of roll-outs to all others at once.
func (e *Exchange) AnnounceRollouts() {
	if statuses := e.rolloutStatuses(); len(statuses) > 0 {
		e.broadcast(&message{Router: e.config.Router, RolloutStatuses: statuses})
	}
}

func (e *Exchange) receiveRollouts(m message) {
	if e.config.Rollouts == nil {
		return
	}
	if len(m.RolloutReports) > 0 {
		e.config.Rollouts.ReceiveReports(time.Now(), m.Router, m.RolloutReports)
	}
	if len(m.RolloutStatuses) > 0 {
		e.config.Rollouts.ReceiveStatuses(time.Now(), m.RolloutStatuses)
	}
}

// FirstFor reports whether this router is the first of the relays that watch a kind. Relays of
// earlier versions watch fewer kinds.
func (e *Exchange) FirstFor(kind string) bool {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.peers) == 0 || e.rank >= relayCount {
		return false
	}
	if e.rank == 0 {
		return true
	}
	for _, p := range e.predecessors {
		_, watches := p.heads[kind]
		starting := p.relayAt.IsZero() && now.Sub(p.expectedAt) < relayTimeout
		if starting || watches && now.Sub(p.headsAt) < relayTimeout {
			return false
		}
	}
	return true
}

// Heard returns the number of other routers that were heard lately, and of all that are known. Only
// a relay hears all others.
func (e *Exchange) Heard(now time.Time) (heard, known int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		if now.Sub(p.lastHeard) < heardWithin {
			heard++
		}
	}
	return heard, len(e.peers)
}
