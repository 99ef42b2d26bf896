package fleet

import (
	"fmt"
	"math"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// warnCapacityRatio is the smallest value of PoolEffect.CapacityRatio without a warning.
// Withdrawing one of four availability zones of equal capacity leaves exactly this
// share, and gets no warning.
const warnCapacityRatio = 0.75

// PoolEffect quantifies the effect of a note on one pool.
type PoolEffect struct {
	// Pool is the name of the pool; see Pool.Name.
	Pool string `json:"pool"`
	// Before and After count the pool's endpoints before and after the note, Added and
	// Withdrawn those that join and leave the pool.
	Before    int `json:"before"`
	After     int `json:"after"`
	Added     int `json:"added"`
	Withdrawn int `json:"withdrawn"`
	// CapacityRatio is the sum of max_inflight after the note divided by the sum
	// before it; 1 for a pool that had no capacity.
	CapacityRatio float64 `json:"capacity_left"`
	// MovedChatFraction is the share, 0 to 1, of the pool's chats whose home endpoint,
	// the one that rendezvous hashing selects for the chat, changes. It is 0 for
	// services.
	MovedChatFraction float64 `json:"chats_moved"`
}

// NoteEffect quantifies the effect of a note on the fleet.
type NoteEffect struct {
	// Pools lists the pools that change, those of models before those of services.
	Pools []PoolEffect `json:"pools"`
	// MovedChatFraction is the share, 0 to 1, of all chats whose home endpoint changes.
	// It is estimated as the mean of PoolEffect.MovedChatFraction over the default pools
	// of all models, weighted by the pools' capacity, the sum of max_inflight, before the
	// note; 0 if this capacity is 0.
	MovedChatFraction float64 `json:"chats_moved"`
	// Warnings holds one line for the operator per consequence that may be unintended.
	Warnings []string `json:"warnings"`
}

// Diff returns the effect of going from one state to another.
func Diff(before, after State) NoteEffect {
	old, next := NewView(before), NewView(after)
	effect := NoteEffect{Pools: []PoolEffect{}, Warnings: []string{}}
	moved, capacity := 0.0, 0.0
	for _, pool := range sortedPools(unionPools(old.pools, next.pools)) {
		oldEndpoints, newEndpoints := endpointsOf(old.pools[pool.Name]), endpointsOf(next.pools[pool.Name])
		p := comparePool(pool.Name, oldEndpoints, newEndpoints)
		p.MovedChatFraction = movedChatFraction(oldEndpoints, newEndpoints)
		effect.addPool(p)
		if _, isDefault := next.models[pool.Name]; isDefault {
			poolCapacity := float64(capacityOf(oldEndpoints))
			moved += p.MovedChatFraction * poolCapacity
			capacity += poolCapacity
		}
	}
	if capacity > 0 {
		effect.MovedChatFraction = moved / capacity
	}
	for _, pool := range sortedPools(unionPools(old.servicePools, next.servicePools)) {
		oldEndpoints, newEndpoints := endpointsOf(old.servicePools[pool.Name]), endpointsOf(next.servicePools[pool.Name])
		effect.addPool(comparePool(pool.Name, oldEndpoints, newEndpoints))
	}
	effect.warnReinstated(old, next)
	return effect
}

func unionPools(a, b map[string]*Pool) map[string]*Pool {
	all := make(map[string]*Pool, len(a)+len(b))
	for name, pool := range a {
		all[name] = pool
	}
	for name, pool := range b {
		all[name] = pool
	}
	return all
}

func endpointsOf(p *Pool) []*api.Endpoint {
	if p == nil {
		return nil
	}
	return p.Endpoints
}

func capacityOf(endpoints []*api.Endpoint) int {
	sum := 0
	for _, e := range endpoints {
		sum += e.MaxInflight
	}
	return sum
}

func comparePool(name string, before, after []*api.Endpoint) PoolEffect {
	kept := len(keptWeights(before, after))
	effect := PoolEffect{
		Pool:          name,
		Before:        len(before),
		After:         len(after),
		Added:         len(after) - kept,
		Withdrawn:     len(before) - kept,
		CapacityRatio: 1,
	}
	if capacity := capacityOf(before); capacity > 0 {
		effect.CapacityRatio = float64(capacityOf(after)) / float64(capacity)
	}
	return effect
}

// addPool appends the effect on a pool, with warnings, unless the pool is unchanged.
func (e *NoteEffect) addPool(p PoolEffect) {
	if p.Added == 0 && p.Withdrawn == 0 && p.CapacityRatio == 1 && p.MovedChatFraction == 0 {
		return
	}
	e.Pools = append(e.Pools, p)
	switch {
	case p.Before > 0 && p.After == 0:
		e.warn("pool %s has no endpoint left", p.Pool)
	case p.CapacityRatio < warnCapacityRatio:
		e.warn("pool %s keeps %.0f%% of its capacity", p.Pool, 100*p.CapacityRatio)
	}
}

func (e *NoteEffect) warn(format string, args ...any) {
	e.Warnings = append(e.Warnings, fmt.Sprintf(format, args...))
}

// warnReinstated warns of withdrawn zones, models, versions and adapters that the note
// reinstates. A change replaces a part as a whole, so this may be unintended.
func (e *NoteEffect) warnReinstated(old, next *View) {
	withdrawn := map[string]bool{}
	for _, z := range old.state.Zones {
		withdrawn[z.ID] = z.Withdrawn
	}
	for _, z := range next.state.Zones {
		if withdrawn[z.ID] && !z.Withdrawn {
			e.warn("zone %s returns to service", z.ID)
		}
	}
	for _, m := range next.state.Models {
		oldModel := old.models[m.ID]
		if oldModel == nil {
			continue
		}
		if oldModel.Withdrawn && !m.Withdrawn {
			e.warn("model %s returns to service", m.ID)
		}
		for _, version := range difference(oldModel.WithdrawnVersions, m.WithdrawnVersions) {
			e.warn("version %s@%s returns to service", m.ID, version)
		}
		for _, adapter := range difference(oldModel.WithdrawnAdapters, m.WithdrawnAdapters) {
			e.warn("adapter %s:%s returns to service", m.ID, adapter)
		}
	}
}

// difference returns the names in a that are not in b.
func difference(a, b []string) []string {
	in := make(map[string]bool, len(b))
	for _, name := range b {
		in[name] = true
	}
	var found []string
	for _, name := range a {
		if !in[name] {
			found = append(found, name)
		}
	}
	return found
}

// weightPair holds the weights of one endpoint before and after a note.
type weightPair struct{ before, after float64 }

// weight returns the weight of an endpoint; 1 if none is set.
func weight(e *api.Endpoint) float64 {
	if e.Weight == 0 {
		return 1
	}
	return e.Weight
}

// keptWeights returns the weights of the endpoints that are in both lists, in the
// order of the list after.
func keptWeights(before, after []*api.Endpoint) []weightPair {
	oldWeights := make(map[string]float64, len(before))
	for _, e := range before {
		oldWeights[e.ID] = weight(e)
	}
	var kept []weightPair
	for _, e := range after {
		if w, ok := oldWeights[e.ID]; ok {
			kept = append(kept, weightPair{before: w, after: weight(e)})
		}
	}
	return kept
}

// movedChatFraction returns the share of chats, 0 to 1, whose home endpoint changes under
// weighted rendezvous hashing. Each endpoint j has an exponential random variable x(j)
// of rate 1 and the score x(j)/weight(j); the lowest score wins. Let r(j) be the
// greater of the ratios weight(j)/weight(i) before and after, or the only one if j is
// added or withdrawn. Endpoint i is the home both before and after if x(i)*r(j) is
// below x(j) for each other j, which has the probability 1 / (1 + sum over j of r(j)).
func movedChatFraction(before, after []*api.Endpoint) float64 {
	if len(before) == 0 {
		return 0
	}
	kept := keptWeights(before, after)
	totalBefore, totalAfter := totalWeight(before), totalWeight(after)
	keptBefore, keptAfter := 0.0, 0.0
	changed := false
	for _, p := range kept {
		keptBefore += p.before
		keptAfter += p.after
		changed = changed || p.before != p.after
	}
	unmoved := 0.0
	for i, p := range kept {
		others := (totalBefore-keptBefore)/p.before + (totalAfter-keptAfter)/p.after
		if changed {
			others += sumGreaterRatios(kept, i)
		} else {
			others += (keptBefore - p.before) / p.before
		}
		unmoved += 1 / (1 + others)
	}
	return math.Max(0, 1-roundShare(unmoved))
}

// sumGreaterRatios returns the sum of r(j), as defined at movedChatFraction, over all kept
// endpoints j other than i. r(j) is the greater of two ratios: weight(j)/weight(i)
// before the note, and the same ratio after it.
func sumGreaterRatios(kept []weightPair, i int) float64 {
	sum := 0.0
	for j, other := range kept {
		if j != i {
			sum += math.Max(other.before/kept[i].before, other.after/kept[i].after)
		}
	}
	return sum
}

func totalWeight(endpoints []*api.Endpoint) float64 {
	sum := 0.0
	for _, e := range endpoints {
		sum += weight(e)
	}
	return sum
}

// roundShare removes the floating-point error of a sum, so that an unchanged pool is
// reported as unchanged.
func roundShare(share float64) float64 {
	const steps = 1e9
	return math.Round(share*steps) / steps
}
