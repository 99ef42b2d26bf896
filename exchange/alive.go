package exchange

import "time"

const (
	// heartbeatPeriod is the time in which a router of a large fleet, which sends
	// loads to few others, is heard by each of them.
	heartbeatPeriod = 10 * time.Second
	// aliveFor is the silence up to which a router counts as alive in a large fleet,
	// and aliveLoads the datagrams in whose time it must be heard in a smaller one;
	// some may be lost.
	aliveFor   = 25 * time.Second
	aliveLoads = 4
)

// heartbeats returns the datagrams that tell a few peers, all of them by turns, that
// this router lives. In a small fleet the loads do. Callers hold e.mu.
func (e *Exchange) heartbeats() []addressed {
	if e.direct() {
		return nil
	}
	const beats = int(heartbeatPeriod / beatInterval)
	m := &message{Router: e.config.Router}
	var outgoing []addressed
	for range (len(e.order) + beats - 1) / beats {
		e.turn = (e.turn + 1) % len(e.order)
		outgoing = append(outgoing, addressed{e.order[e.turn].address, m})
	}
	return outgoing
}

// Alive returns the routers that were heard lately, this one among them.
func (e *Exchange) Alive(now time.Time) map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := aliveFor
	if e.direct() {
		limit = aliveLoads * e.loadInterval()
	}
	alive := map[string]bool{e.config.Router: true}
	for id, p := range e.peers {
		if now.Sub(p.heard) < limit {
			alive[id] = true
		}
	}
	return alive
}
