package exchange

import "time"

// maxDirectRouters is the number of routers up to which each sends its loads to all others. In
// a larger fleet that would exceed the limit for control traffic; there the routers send their
// loads to the relays, and a relay sends the sums to all (see fleetview.go).
const maxDirectRouters = 32

// Loads are the numbers of requests that one router has in flight.
type Loads struct {
	Endpoints map[string]int // by endpoint id
	Prompts   map[uint32]int // by balance.PromptID
}

// sendsDirect reports whether the routers send their loads to all others. Callers hold
// e.mu.
func (e *Exchange) sendsDirect() bool { return len(e.peers) < maxDirectRouters }

// loadMessages returns the messages with the loads of this router: to all peers in a small
// fleet, and otherwise to the relays. Callers hold e.mu.
func (e *Exchange) loadMessages(now time.Time, own Loads) []outgoingMessage {
	m := &message{Router: e.config.Router, Loads: own.Endpoints, Prompts: own.Prompts, HasLoads: true}
	if e.rank >= relayCount {
		m.StoreAnswers = e.storeAnswers(now, false)
	}
	receivers := e.relayOrder
	if !e.sendsDirect() {
		if !e.reportDue(now, own) {
			return nil
		}
		receivers = e.collectors(now)
		e.reported, e.reportedAt = own, now
	}
	outgoing := make([]outgoingMessage, 0, len(receivers))
	for _, p := range receivers {
		outgoing = append(outgoing, outgoingMessage{p.address, m})
	}
	return outgoing
}

// applyLoads passes the loads of a message of a small fleet to the functions of Config.
// previous are the loads at endpoints in the sender's last report; those that are missing in the
// new one are set to 0.
func (e *Exchange) applyLoads(m message, previous map[string]int) {
	for endpoint, requests := range m.Loads {
		e.config.ReceiveLoad(m.Router, endpoint, requests)
	}
	for endpoint := range previous {
		if _, ok := m.Loads[endpoint]; !ok {
			e.config.ReceiveLoad(m.Router, endpoint, 0)
		}
	}
	e.config.ReceivePrompts(m.Router, m.Prompts)
}

// sumLoads returns the loads of all peers that were heard within reportTTL, and whether
// most of the peers were.
func (e *Exchange) sumLoads(now time.Time) (sum Loads, complete bool) {
	sum = Loads{Endpoints: map[string]int{}, Prompts: map[uint32]int{}}
	heard := 0
	for _, p := range e.peers {
		if now.Sub(p.loadsAt) >= reportTTL {
			continue
		}
		heard++
		addTo(sum.Endpoints, p.loads)
		addTo(sum.Prompts, p.prompts)
	}
	return sum, heard*2 > len(e.peers)
}

// addTo adds the values of one map to those of another.
func addTo[K comparable](sum, values map[K]int) {
	for key, value := range values {
		sum[key] += value
	}
}
