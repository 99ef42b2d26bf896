package balance

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/placement"
	"github.com/hornbeamproxy/hornbeamproxy/roster"
)

const (
	// maxTrackedPrompts bounds the number of prompts in the index; the oldest entries
	// are evicted first. A router sees a few hundred shared prompts at a time.
	maxTrackedPrompts = 8192
	// maxHoldersPerPrompt is the number of endpoints that are tracked for one prompt.
	maxHoldersPerPrompt = 4
	// holderTTL is how long an endpoint counts as a holder of a prompt after it last
	// processed the prompt: endpoints evict the least recently used parts from their
	// caches.
	holderTTL = 60 * time.Second
	// settleTime is how long an endpoint must have been registered to be expected to
	// hold the prompts whose home it is.
	settleTime = 10 * time.Second
)

// holderIndex tracks which endpoints hold a prompt in their caches because this router
// has sent it there.
type holderIndex struct {
	byKey          map[uint64]*holderSet
	insertionOrder []uint64 // keys, oldest first
}

// holderSet has the holders of one prompt. Slot i of endpoints is a holder or nil, and slot
// i of lastUsed is the time at which this holder last processed the prompt.
type holderSet struct {
	endpoints [maxHoldersPerPrompt]*roster.Endpoint
	lastUsed  [maxHoldersPerPrompt]time.Time
}

func newHolderIndex() holderIndex { return holderIndex{byKey: map[uint64]*holderSet{}} }

// add records that an endpoint has processed the prompt. When all slots are taken, it
// replaces the least recently used holder.
func (h *holderIndex) add(now time.Time, key uint64, endpoint *roster.Endpoint) {
	known, ok := h.byKey[key]
	if !ok {
		if len(h.insertionOrder) >= maxTrackedPrompts {
			delete(h.byKey, h.insertionOrder[0])
			h.insertionOrder = h.insertionOrder[1:]
		}
		known = &holderSet{}
		h.byKey[key] = known
		h.insertionOrder = append(h.insertionOrder, key)
	}
	oldest := 0
	for i := range known.endpoints {
		if known.endpoints[i] == endpoint {
			known.lastUsed[i] = now
			return
		}
		if known.lastUsed[i].Before(known.lastUsed[oldest]) {
			oldest = i
		}
	}
	known.endpoints[oldest], known.lastUsed[oldest] = endpoint, now
}

// find reports whether the endpoint holds the prompt. other is the most recently used
// of the other holders for which canCopyFrom is true, or nil.
func (h *holderIndex) find(now time.Time, key uint64, endpoint *roster.Endpoint, canCopyFrom func(*roster.Endpoint) bool) (holds bool, other *roster.Endpoint) {
	known, ok := h.byKey[key]
	if !ok {
		return false, nil
	}
	var newest time.Time
	for i, holder := range known.endpoints {
		switch {
		case holder == nil || now.Sub(known.lastUsed[i]) > holderTTL:
		case holder == endpoint:
			holds = true
		case known.lastUsed[i].After(newest) && canCopyFrom(holder):
			newest, other = known.lastUsed[i], holder
		}
	}
	return holds, other
}

// has reports whether the endpoint holds the prompt.
func (h *holderIndex) has(now time.Time, key uint64, endpoint *roster.Endpoint) bool {
	known, ok := h.byKey[key]
	if !ok {
		return false
	}
	for i, holder := range known.endpoints {
		if holder == endpoint {
			return now.Sub(known.lastUsed[i]) <= holderTTL
		}
	}
	return false
}

// RecordHolder records that an endpoint has processed the prompt with the key and
// therefore holds it in its cache.
func (b *Balancer) RecordHolder(now time.Time, key uint64, endpoint *roster.Endpoint) {
	if key != 0 {
		b.holders.add(now, key, endpoint)
	}
}

// CopySource returns the endpoint from which the chosen one can copy the prompt's
// shared parts. It returns nil if the chosen one is expected to hold them already, or if
// no other endpoint is expected to. The source may be a draining endpoint.
func (b *Balancer) CopySource(now time.Time, key uint64, chosen *State, members []*roster.Endpoint) *roster.Endpoint {
	if key == 0 {
		return nil
	}
	canCopyFrom := func(endpoint *roster.Endpoint) bool {
		state, ok := b.states[endpoint.ID]
		return ok && state.Endpoint == endpoint && !now.Before(state.ejectedUntil)
	}
	holds, other := b.holders.find(now, key, chosen.Endpoint, canCopyFrom)
	if holds {
		return nil
	}
	if other != nil {
		return other
	}
	return b.settledHome(now, key, chosen, members, canCopyFrom)
}

// settledHome returns the endpoint that other routers are expected to have used
// for the prompt: its home among the endpoints registered for at least settleTime.
// It returns nil if that is the chosen one.
func (b *Balancer) settledHome(now time.Time, key uint64, chosen *State, members []*roster.Endpoint, canCopyFrom func(*roster.Endpoint) bool) *roster.Endpoint {
	var best *State
	bestScore := -1.0
	for _, endpoint := range members {
		state := b.State(endpoint)
		if !canCopyFrom(endpoint) || now.Sub(state.joined) < settleTime {
			continue
		}
		if score := placement.Score(key, &state.hash); score > bestScore {
			best, bestScore = state, score
		}
	}
	if best == nil || best == chosen {
		return nil
	}
	return best.Endpoint
}
