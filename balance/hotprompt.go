package balance

import (
	"math"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/placement"
)

// This file answers the load of a hot prompt, one that gets much of the traffic, in a fleet
// of many routers whose knowledge of each other's loads is old. If all routers send such a
// prompt to the same endpoint until the loads show that the endpoint is over its bound, and
// then all to the same next one, each endpoint in turn gets all the requests of one reporting
// interval. Here the number of endpoints that share a prompt follows from the number of its
// requests in flight, which changes slowly and does not depend on where they are, and each
// request chooses among these endpoints by its own hash.

const (
	// maxSpread is the largest number of endpoints that share a prompt.
	maxSpread = 64
	// A prompt whose requests grew by at least minGrowth between two reports is expected
	// to have grown by growthReports times as much again before the next report takes
	// effect: the newest report is up to two intervals old.
	minGrowth     = 3
	growthReports = 2
)

// promptLoads are the numbers of requests in flight by prompt, as reported by one router
// or for all other routers together.
type promptLoads struct {
	requests map[uint32]int // by PromptID
	previous map[uint32]int // those of the report before
	at       time.Time
}

// expected returns the number of requests with the prompt that are expected by now, from
// the newest report and the growth since the one before.
func (l promptLoads) expected(id uint32) int {
	requests := l.requests[id]
	if growth := requests - l.previous[id]; growth >= minGrowth {
		requests += growthReports * growth
	}
	return requests
}

// PromptID shortens the key of a prompt to the form in which routers report it. It is 0
// only for key 0, which stands for a request without a prompt.
func PromptID(key uint64) uint32 {
	id := uint32(key ^ key>>32)
	if id == 0 && key != 0 {
		return 1
	}
	return id
}

// RecordPromptStart records that this router sends a request with the prompt's key to an
// endpoint.
func (b *Balancer) RecordPromptStart(key uint64) {
	if key != 0 {
		b.localPrompts[PromptID(key)]++
	}
}

// RecordPromptEnd records that a request with the prompt's key is no longer in flight.
func (b *Balancer) RecordPromptEnd(key uint64) {
	id := PromptID(key)
	if b.localPrompts[id] > 1 {
		b.localPrompts[id]--
	} else {
		delete(b.localPrompts, id)
	}
}

// SetRemotePrompts records the numbers of requests that another router has in flight, by
// PromptID. Prompts that are missing have none.
func (b *Balancer) SetRemotePrompts(now time.Time, router string, requests map[uint32]int) {
	last := b.remotePrompts[router]
	if now.Sub(last.at) >= remoteLoadTTL {
		last.requests = requests
	}
	b.remotePrompts[router] = promptLoads{requests: requests, previous: last.requests, at: now}
}

// promptRequests returns the number of requests that all routers are expected to have in
// flight with the prompt's key, according to their reports.
func (b *Balancer) promptRequests(now time.Time, key uint64) int {
	id := PromptID(key)
	local := b.localPrompts[id]
	if all := b.remotePrompts[allOthers]; now.Sub(all.at) < remoteLoadTTL {
		return local + all.expected(id)
	}
	total := local
	for router, remote := range b.remotePrompts {
		if now.Sub(remote.at) >= remoteLoadTTL {
			delete(b.remotePrompts, router)
			continue
		}
		total += remote.expected(id)
	}
	return total
}

// spread returns the number of endpoints that share a prompt with the given number of
// requests in flight. The prompt stays at one endpoint while its requests fit within the
// bound beside half of the mean load of other prompts. Above that, each endpoint takes what
// fits beside the whole mean.
func spread(requests int, mean, bound float64) int {
	if float64(requests) <= bound-mean/2 {
		return 1
	}
	return min(maxSpread, int(math.Ceil(float64(requests)/max(1, bound-mean))))
}

// pickHome chooses among the candidates for a prompt. total is the load of all usable
// endpoints, bound the load that none of them should exceed. The prompt is shared by the
// candidates with the highest rendezvous scores among those whose load stays within the
// bound: one, which is the prompt's home unless that is over the bound, or several if the
// prompt is hot. Of these, pickHome draws two and returns the one with the lower load. If all
// loads exceed the bound, it draws among all candidates.
func (b *Balancer) pickHome(now time.Time, criteria Criteria, total, bound float64) *State {
	requests := b.promptRequests(now, criteria.Key) + 1
	othersMean := max(0, total-float64(requests-1)) / float64(len(b.scratch))
	width := spread(requests, othersMean, bound)

	for i := range b.scratch {
		b.scratch[i].score = placement.Score(criteria.Key, &b.scratch[i].state.hash)
	}
	inBound := withinHomeBound(b.scratch, bound)
	if criteria.Work != nil && len(inBound) > 0 {
		return b.pickHomeByWork(now, criteria, b.preferProven(now, inBound), width)
	}
	if criteria.Work != nil {
		return criteria.Work.choose(now, b.draw(now, criteria.Work, b.scratch, criteria.Draw, draws, nil))
	}
	if len(inBound) == 0 {
		return drawLessLoaded(b.scratch, criteria.Draw)
	}
	inBound = b.preferProven(now, inBound)
	return drawLessLoaded(highestScores(inBound, width), criteria.Draw)
}

// withinHomeBound returns the candidates whose load stays within the bound with one more request.
// It reuses the memory of its argument.
func withinHomeBound(candidates []candidate, bound float64) []candidate {
	inBound := candidates[:0]
	for _, c := range candidates {
		if c.load+1 <= bound {
			inBound = append(inBound, c)
		}
	}
	return inBound
}

// highestScores moves the n candidates with the highest scores to the front and returns
// them, in no order.
func highestScores(candidates []candidate, n int) []candidate {
	if n >= len(candidates) {
		return candidates
	}
	lowest := 0 // index of the lowest score among the first n
	findLowest := func() {
		lowest = 0
		for i := range candidates[:n] {
			if candidates[i].score < candidates[lowest].score {
				lowest = i
			}
		}
	}
	findLowest()
	for i := n; i < len(candidates); i++ {
		if candidates[i].score > candidates[lowest].score {
			candidates[i], candidates[lowest] = candidates[lowest], candidates[i]
			findLowest()
		}
	}
	return candidates[:n]
}

// drawLessLoaded draws two different candidates, of at least one, and returns the one
// with the lower load for its slots. Two draws spread requests evenly although the loads
// are old, since not all routers compare the same two.
func drawLessLoaded(candidates []candidate, draw uint64) *State {
	n := uint64(len(candidates))
	at := draw % n
	first, second := &candidates[at], &candidates[at]
	if n > 1 {
		second = &candidates[(at+1+draw>>32%(n-1))%n]
	}
	if second.load*first.slots() < first.load*second.slots() {
		return second.state
	}
	return first.state
}

// slots returns the number of requests that the candidate runs concurrently, at least 1.
func (c *candidate) slots() float64 { return float64(max(1, c.state.Endpoint.Slots)) }
