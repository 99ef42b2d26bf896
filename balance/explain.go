package balance

import (
	"maps"
	"slices"
	"time"
)

// Reasons why an endpoint is no candidate, as Explain returns them.
const (
	ExcludedNotUsable   = "not_usable" // Criteria.Usable is false for it
	ExcludedPaused      = "paused"
	ExcludedTried       = "tried"
	ExcludedCold        = "cold"
	ExcludedFull        = "full"
	ExcludedUnverified  = "unverified"
	ExcludedZoneDoubted = "zone_doubted"
	ExcludedEjected     = "ejected"
	ExcludedGrey        = "failing"
	ExcludedOverBound   = "over_load_bound" // it has too many requests compared with the mean
)

// Candidate is an endpoint as a pick sees it.
type Candidate struct {
	State *State
	// Load is the number of requests of all routers there.
	Load float64
	// Excluded is why the endpoint is not among those that are drawn from; empty if it is.
	Excluded string
	// Expected is the time until the first event, and Speed how many times as long as usual work
	// takes. Both are 0 unless the request is placed by work.
	Expected time.Duration
	Speed    float64
	// NoMemory is set if the engine's memory has no room for the prompt.
	NoMemory bool
}

// Explain returns all members with the reasons for which some are excluded, and the results that
// Pick returns for the same arguments. It changes no state that a later pick depends on.
func (b *Balancer) Explain(now time.Time, criteria Criteria) (candidates []Candidate, chosen *State, refusal Refusal) {
	snapshot := b.snapshot()
	if criteria.Work != nil {
		placed := *criteria.Work // Pick writes its results there
		criteria.Work = &placed
	}
	candidates = snapshot.candidates(now, criteria)
	chosen, refusal = snapshot.Pick(now, criteria)
	return candidates, chosen, refusal
}

// snapshot returns a copy whose maps are its own, since picks add states of new endpoints and drop
// expired reports. The states themselves are shared: picks only read them, apart from memory that is
// reused.
func (b *Balancer) snapshot() *Balancer {
	c := *b
	c.scratch = nil
	c.states, c.zones = maps.Clone(b.states), maps.Clone(b.zones)
	c.remotePrompts = maps.Clone(b.remotePrompts)
	return &c
}

// candidates returns all members in their order. It is called on a snapshot.
func (b *Balancer) candidates(now time.Time, criteria Criteria) []Candidate {
	loads := b.collect(now, criteria)
	_, _ = b.filterCandidates(now, criteria, loads.failureRate)
	kept := slices.Clone(b.scratch)
	var inBound []candidate
	switch {
	case len(kept) == 0:
	case criteria.Key != 0:
		inBound = withinHomeBound(slices.Clone(kept), loads.homeBound(criteria, len(kept)))
	default:
		inBound = withinZoneBound(slices.Clone(kept))
	}
	drawn := map[*State]bool{}
	for _, c := range inBound {
		drawn[c.state] = true
	}
	if criteria.Work != nil {
		criteria.Work.prepare()
		if criteria.Key == 0 {
			kept = inBound
		}
		b.prepareOthers(now, criteria.Work, kept)
	}
	result := make([]Candidate, 0, len(criteria.Members))
	for _, endpoint := range criteria.Members {
		state := b.State(endpoint)
		c := Candidate{State: state, Load: state.load(now)}
		if c.Excluded = state.excluded(now, criteria, loads.failureRate); c.Excluded == "" && !drawn[state] {
			c.Excluded = ExcludedOverBound
		}
		b.addWork(now, criteria, &c)
		result = append(result, c)
	}
	return result
}

// excluded names the reason of exclusionReason; it is empty if there is none.
func (s *State) excluded(now time.Time, criteria Criteria, mean float64) string {
	if !criteria.Usable(s.Endpoint) {
		return ExcludedNotUsable
	}
	switch s.exclusionReason(now, criteria, mean) {
	case AllPaused:
		return ExcludedPaused
	case AllTried:
		return ExcludedTried
	case AllCold:
		return ExcludedCold
	case AllFull:
		return ExcludedFull
	case AllAvoided:
		return s.avoidance(now, criteria, mean)
	}
	return ""
}

// addWork fills in what placement by work knows of the candidate.
func (b *Balancer) addWork(now time.Time, criteria Criteria, c *Candidate) {
	if criteria.Work == nil {
		return
	}
	holds := criteria.Key != 0 && (now.Sub(c.State.joined) >= settleTime || b.holders.has(now, criteria.Key, c.State.Endpoint))
	found := b.option(now, criteria.Work, &candidate{state: c.State, load: c.Load}, holds)
	c.Expected, c.Speed = found.cost, c.State.Work().Speed(now)
	if found.cost >= noMemory {
		c.Expected, c.NoMemory = found.cost-noMemory, true
	}
}
