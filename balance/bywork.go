package balance

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/work"
)

// This file places requests by the expected time until their first event instead of by the
// number of requests of each endpoint. The candidates are the same: the bounds in requests are
// checked first, and two or three of those within them are drawn, never the best of all. Routers
// whose knowledge is old would otherwise all take the same endpoint.

const (
	// homeMargin is by how much the expected time at a prompt's home must exceed that at another
	// endpoint, which has to process the whole prompt, for the request to leave its home.
	homeMargin = 20 * time.Millisecond
	// zoneDelay is the time that a request takes to another availability zone and back.
	zoneDelay = 2 * time.Millisecond
	// zoneMargin is by how much the expected time in the own zone must exceed that in another.
	zoneMargin = 5 * time.Millisecond
	// draws and unevenDraws are the numbers of endpoints that are compared. The larger one is
	// for services whose endpoints have uneven speeds: two draws often are both slow.
	draws       = 2
	unevenDraws = 3
	// noMemory is added to the expected time at an engine whose memory has no room for the
	// prompt. It is longer than any request.
	noMemory = time.Hour
)

// ByWork places a request by expected work and speed. Pick fills in the results if it chooses an
// endpoint.
type ByWork struct {
	// Model and Request describe the request; Request.Cached has the tokens that an endpoint
	// holds if it holds the prompt's shared parts.
	Model   *work.Model
	Request work.Request

	// Estimate is the expected cost at the chosen endpoint, Request.Cached being 0 if the
	// endpoint is not expected to hold the shared parts. Usual is the expected time until the
	// first event at usual speed.
	Estimate work.Estimate
	Usual    time.Duration
	// LeftHome is set when the request left its prompt's home because another endpoint is
	// expected to answer earlier.
	LeftHome bool

	cached, whole, mean work.Estimate
}

// prepare computes the costs that are the same for all candidates.
func (w *ByWork) prepare() {
	w.cached = w.Model.Cost(w.Request)
	uncached := w.Request
	uncached.Cached = 0
	w.whole = w.Model.Cost(uncached)
	w.mean = w.Model.Mean()
	w.LeftHome = false
}

// Work returns what is known of the endpoint's work and speed, creating it at first use.
func (s *State) Work() *work.Endpoint {
	if s.work == nil {
		s.work = &work.Endpoint{}
	}
	return s.work
}

// others returns the number of requests of other routers at the candidate.
func (c *candidate) others() float64 { return max(0, c.load-float64(c.state.LocalRequests)) }

// option is a candidate with its expected time.
type option struct {
	candidate *candidate
	cost      time.Duration
	holds     bool
}

// option returns the expected time of the request at a candidate. holds tells that the endpoint
// is expected to hold the prompt's shared parts.
func (b *Balancer) option(now time.Time, w *ByWork, c *candidate, holds bool) option {
	estimate := w.whole
	if holds {
		estimate = w.cached
	}
	cost := c.state.Work().Expected(now, c.state.Endpoint.Slots, c.others(), w.mean, estimate)
	if c.state.Endpoint.Zone != b.zone {
		cost += zoneDelay
	}
	if !w.hasMemory(now, c) {
		cost += noMemory
	}
	return option{candidate: c, cost: cost, holds: holds}
}

// draw returns the best of n different candidates, or of all if there are fewer. holds reports
// whether an endpoint is expected to hold the prompt. There must be at least one candidate.
func (b *Balancer) draw(now time.Time, w *ByWork, candidates []candidate, draw uint64, n int, holds func(*State) bool) option {
	var best option
	for i := range min(n, len(candidates)) {
		// The drawn candidate is moved out of the rest, so that it is not drawn again.
		rest := candidates[i:]
		at := int(draw % uint64(len(rest)))
		rest[0], rest[at] = rest[at], rest[0]
		draw = nextDraw(draw)
		found := b.option(now, w, &rest[0], holds != nil && holds(rest[0].state))
		if best.candidate == nil || found.cost < best.cost {
			best = found
		}
	}
	return best
}

// nextDraw returns another hash for the next draw of the same request.
func nextDraw(draw uint64) uint64 {
	draw ^= draw >> 29
	draw *= 0xbf58476d1ce4e5b9
	return draw ^ draw>>32
}

func (w *ByWork) draws() int {
	if w.Model.Uneven() {
		return unevenDraws
	}
	return draws
}

// choose records the results for the chosen option and returns its state.
func (w *ByWork) choose(now time.Time, chosen option) *State {
	c := chosen.candidate
	w.Estimate = w.whole
	if chosen.holds {
		w.Estimate = w.cached
	} else {
		w.Request.Cached = 0
	}
	w.Usual = c.state.Work().Usual(now, c.state.Endpoint.Slots, c.others(), w.mean, w.Estimate)
	return c.state
}

// ChooseFor records the results for an endpoint that was chosen in another way: because no
// candidate was left, or by the number of requests.
func (w *ByWork) ChooseFor(now time.Time, state *State) {
	w.prepare()
	c := candidate{state: state, load: state.load(now)}
	w.choose(now, option{candidate: &c})
}

// Outstanding returns the remaining work of this router's requests at the endpoint, at usual
// speed.
func (s *State) Outstanding(now time.Time) time.Duration {
	if s.work == nil {
		return 0
	}
	return s.work.Outstanding(now)
}

// hasMemory reports whether the candidate's memory has room for the prompt.
func (w *ByWork) hasMemory(now time.Time, c *candidate) bool {
	capacity := w.Model.Capacity()
	return capacity <= 0 || c.state.Work().HasMemory(now, capacity, c.others(), w.mean, w.whole)
}

// withMemory moves the candidates whose memory has room for the prompt to the front and returns
// them, or all if none has room.
func withMemory(now time.Time, w *ByWork, candidates []candidate) []candidate {
	n := 0
	for i := range candidates {
		if w.hasMemory(now, &candidates[i]) {
			candidates[i], candidates[n] = candidates[n], candidates[i]
			n++
		}
	}
	if n == 0 {
		return candidates
	}
	return candidates[:n]
}

// pickInZoneByWork chooses among the candidates within the bound in requests, of which the first
// own are in the router's availability zone. Another zone is chosen only if one draw there is
// expected to answer clearly earlier.
func (b *Balancer) pickInZoneByWork(now time.Time, criteria Criteria, inBound []candidate, own int) *State {
	w := criteria.Work
	inZone, others := inBound[:own], inBound[own:]
	if own == 0 {
		inZone, others = others, nil
	}
	best := b.draw(now, w, inZone, criteria.Draw, w.draws(), nil)
	if len(others) > 0 {
		elsewhere := b.draw(now, w, others, nextDraw(^criteria.Draw), 1, nil)
		if elsewhere.cost+zoneMargin < best.cost {
			best = elsewhere
		}
	}
	if best.cost >= noMemory {
		best = b.draw(now, w, withMemory(now, w, inBound), criteria.Draw, w.draws(), nil)
	}
	return w.choose(now, best)
}

// pickHomeByWork chooses for a prompt among the candidates within the bound in requests. The
// first choice is among the width candidates with the highest rendezvous scores, which are
// expected to hold the prompt. The request leaves them only for an endpoint that is expected to
// answer earlier by more than homeMargin, although it has to process the whole prompt.
func (b *Balancer) pickHomeByWork(now time.Time, criteria Criteria, inBound []candidate, width int) *State {
	w := criteria.Work
	holds := func(s *State) bool { return b.holders.has(now, criteria.Key, s.Endpoint) }
	expectedToHold := func(s *State) bool { return now.Sub(s.joined) >= settleTime || holds(s) }
	homes := highestScores(inBound, width)
	best := b.draw(now, w, homes, criteria.Draw, draws, expectedToHold)
	if best.cost >= noMemory {
		inBound = withMemory(now, w, inBound)
		homes = highestScores(inBound, width)
		best = b.draw(now, w, homes, criteria.Draw, draws, expectedToHold)
	}
	if others := inBound[len(homes):]; len(others) > 0 && best.cost > homeMargin {
		other := b.draw(now, w, others, nextDraw(^criteria.Draw), w.draws(), holds)
		if other.cost+homeMargin < best.cost {
			best = other
			w.LeftHome = true
		}
	}
	return w.choose(now, best)
}
