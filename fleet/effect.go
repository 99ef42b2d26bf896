package fleet

import (
	"fmt"
	"math"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// warnCapacityLeft is the share of a pool's capacity below which a note gets a
// warning. Losing one of four availability zones evenly gives none.
const warnCapacityLeft = 0.75

// PoolEffect says in numbers what a note does to one pool.
type PoolEffect struct {
	Pool string `json:"pool"`
	// Before, After, Added and Withdrawn count endpoints.
	Before    int `json:"before"`
	After     int `json:"after"`
	Added     int `json:"added"`
	Withdrawn int `json:"withdrawn"`
	// CapacityLeft is the sum of max_inflight after the note divided by that
	// before it; 1 for a pool that had no capacity.
	CapacityLeft float64 `json:"capacity_left"`
	// ChatsMoved is the share, 0 to 1, of the pool's chats whose home endpoint
	// changes. It is 0 for services.
	ChatsMoved float64 `json:"chats_moved"`
}

// Effect says in numbers what a note does.
type Effect struct {
	// Pools lists the pools that change, models before services.
	Pools []PoolEffect `json:"pools"`
	// ChatsMoved is the mean share over the models' default pools, weighted by
	// their capacity before the note.
	ChatsMoved float64  `json:"chats_moved"`
	Warnings   []string `json:"warnings"`
}

// Diff compares two states.
func Diff(before, after State) Effect {
	old, next := NewView(before), NewView(after)
	effect := Effect{Pools: []PoolEffect{}, Warnings: []string{}}
	moved, capacity := 0.0, 0.0
	for _, pool := range sorted(union(old.pools, next.pools)) {
		was, is := endpointsOf(old.pools[pool.Name]), endpointsOf(next.pools[pool.Name])
		p := comparePool(pool.Name, was, is)
		p.ChatsMoved = chatsMoved(was, is)
		effect.add(p)
		if _, isDefault := next.models[pool.Name]; isDefault {
			share := float64(capacityOf(was))
			moved += p.ChatsMoved * share
			capacity += share
		}
	}
	if capacity > 0 {
		effect.ChatsMoved = moved / capacity
	}
	for _, pool := range sorted(union(old.servicePools, next.servicePools)) {
		was, is := endpointsOf(old.servicePools[pool.Name]), endpointsOf(next.servicePools[pool.Name])
		effect.add(comparePool(pool.Name, was, is))
	}
	effect.warnReturns(old, next)
	return effect
}

func union(a, b map[string]*Pool) map[string]*Pool {
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

func comparePool(name string, was, is []*api.Endpoint) PoolEffect {
	kept := len(pairs(was, is))
	effect := PoolEffect{
		Pool:         name,
		Before:       len(was),
		After:        len(is),
		Added:        len(is) - kept,
		Withdrawn:    len(was) - kept,
		CapacityLeft: 1,
	}
	if capacity := capacityOf(was); capacity > 0 {
		effect.CapacityLeft = float64(capacityOf(is)) / float64(capacity)
	}
	return effect
}

// add records a pool that changes, with its warnings.
func (e *Effect) add(p PoolEffect) {
	if p.Added == 0 && p.Withdrawn == 0 && p.CapacityLeft == 1 && p.ChatsMoved == 0 {
		return
	}
	e.Pools = append(e.Pools, p)
	switch {
	case p.Before > 0 && p.After == 0:
		e.warn("pool %s has no endpoint left", p.Pool)
	case p.CapacityLeft < warnCapacityLeft:
		e.warn("pool %s keeps %.0f%% of its capacity", p.Pool, 100*p.CapacityLeft)
	}
}

func (e *Effect) warn(format string, args ...any) {
	e.Warnings = append(e.Warnings, fmt.Sprintf(format, args...))
}

// warnReturns names withdrawn zones and models that the note brings back. A
// change replaces a part whole, so this may be unintended.
func (e *Effect) warnReturns(old, next *View) {
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
		was := old.models[m.ID]
		if was == nil {
			continue
		}
		if was.Withdrawn && !m.Withdrawn {
			e.warn("model %s returns to service", m.ID)
		}
		for _, version := range missing(was.WithdrawnVersions, m.WithdrawnVersions) {
			e.warn("version %s@%s returns to service", m.ID, version)
		}
		for _, adapter := range missing(was.WithdrawnAdapters, m.WithdrawnAdapters) {
			e.warn("adapter %s:%s returns to service", m.ID, adapter)
		}
	}
}

// missing returns the names of a that b lacks.
func missing(a, b []string) []string {
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

// weightPair holds the weights of one endpoint before and after a note; 0 when
// it is not in the pool.
type weightPair struct{ before, after float64 }

func weight(e *api.Endpoint) float64 {
	if e.Weight == 0 {
		return 1
	}
	return e.Weight
}

// pairs returns the weights of the endpoints that are in both lists.
func pairs(was, is []*api.Endpoint) []weightPair {
	before := make(map[string]float64, len(was))
	for _, e := range was {
		before[e.ID] = weight(e)
	}
	var kept []weightPair
	for _, e := range is {
		if w, ok := before[e.ID]; ok {
			kept = append(kept, weightPair{before: w, after: weight(e)})
		}
	}
	return kept
}

// chatsMoved returns the share of chats whose home changes under weighted
// rendezvous hashing. The score of endpoint j is an exponential variable with
// rate 1 divided by its weight, and the lowest score wins. Endpoint i is the
// home before and after when it beats each j by the greater of the two ratios of
// weights, which has the probability 1 / (1 + sum over j of that ratio).
func chatsMoved(was, is []*api.Endpoint) float64 {
	if len(was) == 0 {
		return 0
	}
	kept := pairs(was, is)
	totalBefore, totalAfter := totalWeight(was), totalWeight(is)
	keptBefore, keptAfter := 0.0, 0.0
	changed := false
	for _, p := range kept {
		keptBefore += p.before
		keptAfter += p.after
		changed = changed || p.before != p.after
	}
	stay := 0.0
	for i, p := range kept {
		others := (totalBefore-keptBefore)/p.before + (totalAfter-keptAfter)/p.after
		if changed {
			others += greaterRatios(kept, i)
		} else {
			others += (keptBefore - p.before) / p.before
		}
		stay += 1 / (1 + others)
	}
	return math.Max(0, 1-roundShare(stay))
}

func greaterRatios(kept []weightPair, i int) float64 {
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

// roundShare removes the rounding error of a sum, so that an unchanged pool is
// reported as unchanged.
func roundShare(share float64) float64 {
	const steps = 1e9
	return math.Round(share*steps) / steps
}
