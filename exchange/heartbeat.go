package exchange

import "time"

const (
	// heartbeatInterval is the time between two heartbeats to the same peer. Routers
	// send heartbeats only in a large fleet (see maxDirectRouters), where they send
	// their loads to few others.
	heartbeatInterval = 10 * time.Second
	// aliveTimeout is how long a router of a large fleet counts as alive after its last
	// datagram. In a smaller fleet the time is aliveLoadIntervals times the interval
	// between two datagrams with loads. Both allow for lost datagrams.
	aliveTimeout       = 25 * time.Second
	aliveLoadIntervals = 4
)

// heartbeats returns the heartbeats that are due now. They go to a few peers at each
// call, in turn, so that each gets one per heartbeatInterval. In a small fleet there are
// none, since the loads that are sent to all show that the router is alive. Callers hold
// e.mu.
func (e *Exchange) heartbeats() []outgoingMessage {
	if e.sendsDirect() {
		return nil
	}
	const sendsPerInterval = int(heartbeatInterval / sendInterval)
	m := &message{Router: e.config.Router}
	var outgoing []outgoingMessage
	for range (len(e.relayOrder) + sendsPerInterval - 1) / sendsPerInterval {
		e.heartbeatIndex = (e.heartbeatIndex + 1) % len(e.relayOrder)
		outgoing = append(outgoing, outgoingMessage{e.relayOrder[e.heartbeatIndex].address, m})
	}
	return outgoing
}

// Alive returns the ids of the routers that count as alive, including this one.
func (e *Exchange) Alive(now time.Time) map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := aliveTimeout
	if e.sendsDirect() {
		limit = aliveLoadIntervals * sendInterval
	}
	alive := map[string]bool{e.config.Router: true}
	for id, p := range e.peers {
		if now.Sub(p.lastHeard) < limit {
			alive[id] = true
		}
	}
	return alive
}
