package balance

import (
	"math"
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
	// The home of a prompt keeps it up to a multiple of the mean work + homeWorkSlack requests of
	// mean cost. The multiple is drawn between homeWorkFactor - homeWorkRamp and homeWorkFactor
	// for each request. The bound in requests alone lets prompts of unequal cost pile up at one engine.
	homeWorkFactor = 1.3
	homeWorkRamp   = 0.4
	homeWorkSlack  = 1
	// stayFraction is the part of the goal up to which the expected time at a prompt's home keeps the
	// request there: the rest covers what the estimate does not know, so that leaving gains its
	// caller nothing, while the copy of the prompt takes memory from other prompts.
	stayFraction = 0.5
	// freeSlots is the part of an endpoint's slots up to which its work does not count against a
	// home: no request gains anything by leaving.
	freeSlots = 0.125
	// draws and unevenDraws are the numbers of endpoints that are compared. The larger one is
	// for services whose endpoints have uneven speeds: two draws often are both slow.
	draws       = 2
	unevenDraws = 3
	// Expected times count as equal if they differ by at most equalTime, or by one part in equalCosts,
	// so that an endpoint whose estimate is a little worse still gets requests, and a new estimate.
	equalTime  = 2 * time.Millisecond
	equalCosts = 8
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
	// Goal is the latency goal of the request's route, 0 if it has none.
	Goal time.Duration

	// Estimate is the expected cost at the chosen endpoint, Request.Cached being 0 if the
	// endpoint is not expected to hold the shared parts. Usual is the expected time until the
	// first event at usual speed.
	Estimate work.Estimate
	Usual    time.Duration
	// LeftHome is set when the request left its prompt's home because another endpoint is
	// expected to answer earlier.
	LeftHome bool

	cached, whole, mean work.Estimate
	// meanOthers is the mean number of requests of other routers at the candidates, and kept the
	// weight of a single number beside the mean.
	meanOthers, kept float64
}

// prepare computes the costs that are the same for all candidates.
func (w *ByWork) prepare() {
	w.cached = w.Model.Cost(w.Request)
	uncached := w.Request
	uncached.Cached = 0
	w.whole = w.Model.Cost(uncached)
	w.mean = w.Model.Mean()
	w.meanOthers, w.kept = 0, 1
	w.LeftHome = false
}

// Work returns what is known of the endpoint's work and speed, creating it at first use.
func (s *State) Work() *work.Endpoint {
	if s.work == nil {
		s.work = &work.Endpoint{}
	}
	return s.work
}

// others returns the number of requests of other routers at the candidate as they reported it.
func (c *candidate) others() float64 { return max(0, c.load-float64(c.state.LocalRequests)) }

// prepareOthers computes what expectedOthers needs.
func (b *Balancer) prepareOthers(now time.Time, w *ByWork, candidates []candidate) {
	sum := 0.0
	for i := range candidates {
		sum += candidates[i].others()
	}
	w.meanOthers = sum / float64(max(1, len(candidates)))
	w.kept = 1
	if lifetime := w.mean.Total(); lifetime > 0 && !b.loadsAt.IsZero() {
		// All routers act on the same report until the next, so that a single number counts less
		// the longer that takes.
		age := max(now.Sub(b.loadsAt), b.loadsInterval/2)
		w.kept = math.Exp(-float64(age) / float64(lifetime))
	}
}

// expectedOthers returns the number of requests of other routers at the candidate that is
// expected by now. It tends to the mean as the reports age, since the requests that were counted
// end within the mean time of a request. Without that, an endpoint that was free at the time of a
// report would look free to all routers until the next.
func (w *ByWork) expectedOthers(c *candidate) float64 {
	return w.meanOthers + w.kept*(c.others()-w.meanOthers)
}

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
	cost := c.state.Work().Expected(now, c.state.Endpoint.Slots, w.expectedOthers(c), w.mean, estimate)
	if !c.state.Work().Sampled(now) {
		// At usual speed it might never be chosen where the others are faster than that.
		cost = time.Duration(float64(cost) * w.Model.Speed())
	}
	if c.state.Endpoint.Zone != b.zone {
		cost += zoneDelay
	}
	if !w.hasMemory(now, c) {
		cost += noMemory
	}
	return option{candidate: c, cost: cost, holds: holds}
}

// before reports whether the option is better than another one. Of those that take about the same time,
// the one with fewer requests for its slots is.
func (o option) before(other option) bool {
	if margin := max(equalTime, min(o.cost, other.cost)/equalCosts); (o.cost - other.cost).Abs() > margin {
		return o.cost < other.cost
	}
	return o.candidate.load*other.candidate.slots() < other.candidate.load*o.candidate.slots()
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
		if best.candidate == nil || found.before(best) {
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
	w.Usual = c.state.Work().Usual(now, c.state.Endpoint.Slots, w.expectedOthers(c), w.mean, w.Estimate)
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

// workBound returns the work up to which a prompt stays at its home. The mean is over all
// candidates. The bound differs between requests, so that a home whose work is near it keeps a
// part of them: with one bound for all, it would get all or none until the next report. It does
// not differ when the loads are too old to show which homes have more work than others.
func (w *ByWork) workBound(now time.Time, candidates []candidate, draw uint64) float64 {
	total := 0.0
	for i := range candidates {
		total += w.load(now, &candidates[i])
	}
	factor := homeWorkFactor - w.kept*homeWorkRamp*float64(draw>>32)/(1<<32)
	return factor*total/float64(len(candidates)) + homeWorkSlack*float64(w.mean.Total())
}

// withinWork reports whether the work at the candidate is within the bound, or small for its
// slots, at usual speed and also relative to the mean speed if the candidate is slower.
func (w *ByWork) withinWork(now time.Time, c *candidate, bound float64) bool {
	load := w.load(now, c)
	bound = max(bound, freeSlots*c.slots()*float64(w.mean.Total()))
	return load <= bound && load*c.state.Work().Speed(now) <= bound*w.Model.Speed()
}

// load returns the outstanding work at the candidate, at usual speed.
func (w *ByWork) load(now time.Time, c *candidate) float64 {
	load := w.expectedOthers(c) * float64(w.mean.Total())
	if c.state.LocalRequests > 0 {
		load += float64(c.state.Outstanding(now))
	}
	return load
}

func anyState(*State) bool { return true }

// stayTime returns the expected time up to which a request stays at its prompt's home.
func (w *ByWork) stayTime() time.Duration { return time.Duration(float64(w.Goal) * stayFraction) }

// hasMemory reports whether the candidate's memory has room for the prompt.
func (w *ByWork) hasMemory(now time.Time, c *candidate) bool {
	capacity := w.Model.Capacity()
	return capacity <= 0 || c.state.Work().HasMemory(now, capacity, c.others(), w.mean, w.whole)
}

// preferred moves the candidates for which keep is true to the front and returns them, or all if
// it is true for none.
func preferred(candidates []candidate, keep func(*candidate) bool) []candidate {
	n := 0
	for i := range candidates {
		if keep(&candidates[i]) {
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
	b.prepareOthers(now, w, inBound)
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
		inBound = preferred(inBound, func(c *candidate) bool { return w.hasMemory(now, c) })
		best = b.draw(now, w, inBound, criteria.Draw, w.draws(), nil)
	}
	return w.choose(now, best)
}

// pickHomeByWork chooses for a prompt among the candidates within the bound in requests. The
// first choice is among the width candidates with the highest rendezvous scores, which are
// expected to hold the prompt, of those with room for it and with work within the bound. The request leaves them only for an endpoint that is expected to
// answer earlier by more than homeMargin, although it has to process the whole prompt.
func (b *Balancer) pickHomeByWork(now time.Time, criteria Criteria, inBound []candidate, width int) *State {
	w := criteria.Work
	holds := func(s *State) bool { return b.holders.has(now, criteria.Key, s.Endpoint) }
	expectedToHold := func(s *State) bool { return now.Sub(s.joined) >= settleTime || holds(s) }
	b.prepareOthers(now, w, b.scratch)
	bound := w.workBound(now, b.scratch, nextDraw(criteria.Draw))
	hasMemory := func(c *candidate) bool { return w.hasMemory(now, c) }
	withinWork := func(c *candidate) bool { return w.withinWork(now, c, bound) }
	homes := highestScores(inBound, width)
	// The home is taken to hold the prompt here: one that does not copies it, and will hold it for
	// the requests after this one.
	if home := b.draw(now, w, homes, criteria.Draw, draws, anyState); home.cost <= w.stayTime() {
		home.holds = expectedToHold(home.candidate.state)
		return w.choose(now, home)
	}
	for i := range homes {
		if !hasMemory(&homes[i]) || !withinWork(&homes[i]) {
			inBound = preferred(preferred(inBound, hasMemory), withinWork)
			homes = highestScores(inBound, width)
			break
		}
	}
	best := b.draw(now, w, homes, criteria.Draw, draws, expectedToHold)
	if others := inBound[len(homes):]; len(others) > 0 && best.cost > homeMargin {
		other := b.draw(now, w, others, nextDraw(^criteria.Draw), w.draws(), holds)
		if other.cost+homeMargin < best.cost {
			best = other
			w.LeftHome = true
		}
	}
	return w.choose(now, best)
}
