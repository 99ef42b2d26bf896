package exchange

import "time"

// What single routers see of prompts that crash endpoints goes to the relays, which add it up and
// announce the result to all routers (see package poison). These messages are sent only while
// there is something to tell.

// sendPoisonReport sends what this router has to tell the relays.
func (e *Exchange) sendPoisonReport(now time.Time) {
	report := e.config.PoisonReport()
	if report == nil {
		return
	}
	m := &message{Router: e.config.Router, PoisonReport: report}
	e.mu.Lock()
	var outgoing []outgoingMessage
	for _, p := range e.collectors(now) {
		outgoing = append(outgoing, outgoingMessage{p.address, m})
	}
	e.mu.Unlock()
	e.send(outgoing)
}

// announcePoison announces to all routers what this router knows as a relay.
func (e *Exchange) announcePoison() {
	e.mu.Lock()
	relay := e.rank < relayCount
	e.mu.Unlock()
	if !relay {
		return
	}
	if announcement := e.config.PoisonAnnouncement(); announcement != nil {
		e.broadcast(&message{Router: e.config.Router, PoisonAnnouncement: announcement})
	}
}
