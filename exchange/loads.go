package exchange

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/placement"
)

const (
	// maxDirectRouters is the number of routers up to which each sends its loads to
	// all others, so that all know the load of each endpoint. In a larger fleet that
	// would exceed the limit for control traffic; there a router reports the load of
	// an endpoint to the router that owns the endpoint by rendezvous hashing, which
	// sends the total to all routers that report.
	maxDirectRouters = 128
	// fullRateRouters is the number of routers up to which loads are sent to all every
	// sendInterval. In a larger fleet the interval grows with the number of routers, so
	// that the traffic that each router receives does not grow.
	fullRateRouters = 32
	// ownerReportInterval is the time between two reports to the owner of an endpoint.
	// A total is up to two intervals old, well below the 3 s after which receivers
	// ignore a load (remoteLoadTTL in package balance).
	ownerReportInterval = 500 * time.Millisecond
	// The loads that a peer has reported count in the totals until reportTTL after its
	// last datagram.
	reportTTL = 3 * time.Second
	// allOthers is the router id that stands for all other routers in a total.
	allOthers = "*"
)

// sendsDirect reports whether the routers send their loads to all others. Callers hold
// e.mu.
func (e *Exchange) sendsDirect() bool { return len(e.peers) < maxDirectRouters }

// loadInterval returns the time between two datagrams with loads to the same peer.
func (e *Exchange) loadInterval() time.Duration {
	if !e.sendsDirect() {
		return ownerReportInterval
	}
	return sendInterval * time.Duration((len(e.peers)+fullRateRouters)/fullRateRouters)
}

// loadMessages returns the messages with loads that are due. own are the numbers of
// requests that this router has in flight, by endpoint id. Callers hold e.mu.
func (e *Exchange) loadMessages(now time.Time, own map[string]int) []outgoingMessage {
	if now.Sub(e.loadsSentAt) < e.loadInterval()-sendInterval/2 {
		return nil
	}
	e.loadsSentAt = now
	if e.sendsDirect() {
		return e.directMessages(own)
	}
	return e.ownerMessages(now, own)
}

// directMessages returns the messages that send the loads to all peers.
func (e *Exchange) directMessages(own map[string]int) []outgoingMessage {
	m := &message{Router: e.config.Router, Loads: own, HasLoads: true}
	outgoing := make([]outgoingMessage, 0, len(e.peers))
	for _, p := range e.peers {
		p.sentLoads = len(own) > 0
		outgoing = append(outgoing, outgoingMessage{p.address, m})
	}
	return outgoing
}

// ownerMessages returns the reports to the owners of the endpoints at which this router
// has requests in flight, and the totals for the peers that report to this router. A peer
// that was last sent a non-empty report gets an empty one when there is nothing left to
// report.
func (e *Exchange) ownerMessages(now time.Time, own map[string]int) []outgoingMessage {
	reports := map[string]map[string]int{}
	for endpoint, requests := range own {
		owner := placement.Owner(endpoint, e.ids)
		if owner == e.config.Router {
			continue
		}
		if reports[owner] == nil {
			reports[owner] = map[string]int{}
		}
		reports[owner][endpoint] = requests
	}
	totals := e.totals(now, own)
	var outgoing []outgoingMessage
	for id, p := range e.peers {
		m := &message{Router: e.config.Router}
		if report := reports[id]; report != nil || p.sentLoads {
			m.Loads, m.HasLoads, p.sentLoads = report, true, report != nil
		}
		if now.Sub(p.lastHeard) < reportTTL {
			m.RemoteLoads = totalsOfOthers(totals, p.loads)
		}
		if m.HasLoads || m.RemoteLoads != nil {
			outgoing = append(outgoing, outgoingMessage{p.address, m})
		}
	}
	return outgoing
}

// totals returns the numbers of requests that all routers have in flight at the
// endpoints that peers have reported to this router, by endpoint id.
func (e *Exchange) totals(now time.Time, own map[string]int) map[string]int {
	totals := map[string]int{}
	for _, p := range e.peers {
		if now.Sub(p.lastHeard) >= reportTTL {
			continue
		}
		for endpoint, requests := range p.loads {
			totals[endpoint] += requests
		}
	}
	for endpoint := range totals {
		totals[endpoint] += own[endpoint]
	}
	return totals
}

// totalsOfOthers returns, for each endpoint that a peer has reported, the total without
// the peer's own requests. It returns nil if the peer has reported none.
func totalsOfOthers(totals, reported map[string]int) map[string]int {
	if len(reported) == 0 {
		return nil
	}
	rest := make(map[string]int, len(reported))
	for endpoint, requests := range reported {
		rest[endpoint] = totals[endpoint] - requests
	}
	return rest
}

// applyLoads passes the loads of a message to ReceiveLoad. previous are the loads in the
// sender's last report; those that are missing in the new one are set to 0.
func (e *Exchange) applyLoads(m message, previous map[string]int) {
	for endpoint, requests := range m.RemoteLoads {
		e.config.ReceiveLoad(allOthers, endpoint, requests)
	}
	if !m.HasLoads {
		return
	}
	for endpoint, requests := range m.Loads {
		e.config.ReceiveLoad(m.Router, endpoint, requests)
	}
	for endpoint := range previous {
		if _, ok := m.Loads[endpoint]; !ok {
			e.config.ReceiveLoad(m.Router, endpoint, 0)
		}
	}
}
