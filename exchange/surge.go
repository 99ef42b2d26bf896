package exchange

import "time"

// All routers send the requests of a prompt to its home until a view shows that it has become
// hot. The relay that sends the views therefore does not wait for the next one when the
// requests of a prompt surge.

const (
	// A prompt surges when it has at least surgeRequests requests in flight and surgeFactor
	// times as many as at the last view.
	surgeRequests = 8
	surgeFactor   = 2
	// minViewInterval is the shortest time between two views.
	minViewInterval = 60 * time.Millisecond
)

// surgeDetector follows the requests in flight by prompt from report to report.
type surgeDetector struct {
	sums map[uint32]int // of the newest reports
	told map[uint32]int // sums at the last view
}

// reset sets the sums at a view.
func (d *surgeDetector) reset(sums map[uint32]int) {
	d.sums = make(map[uint32]int, len(sums))
	d.told = make(map[uint32]int, len(sums))
	addTo(d.sums, sums)
	addTo(d.told, sums)
}

// add replaces the previous report of a router with its next one. It returns true if a prompt
// surges.
func (d *surgeDetector) add(previous, next map[uint32]int) bool {
	if d.sums == nil {
		return false
	}
	for id, requests := range previous {
		d.sums[id] -= requests
	}
	surge := false
	for id, requests := range next {
		d.sums[id] += requests
		surge = surge || d.sums[id] >= surgeRequests && d.sums[id] >= surgeFactor*d.told[id]
	}
	return surge
}

// sendSurgeView sends a view at once if this router is the relay that sends them.
func (e *Exchange) sendSurgeView(now time.Time) {
	own := e.config.Loads()
	e.mu.Lock()
	age := now.Sub(e.viewSentAt)
	if age < minViewInterval || age > viewTimeout || e.rank >= relayCount {
		e.mu.Unlock()
		return
	}
	e.viewSentAt = now
	sum, _ := e.sumLoads(now)
	view := e.newView(sum, own)
	outgoing := e.toAll(&message{Router: e.config.Router, View: view})
	e.mu.Unlock()
	e.send(outgoing)
	e.applyView(view, own)
	e.config.Metrics.Counter("exchange.surge_views").Inc(1)
}
