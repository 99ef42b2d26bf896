package balance

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/placement"
	"github.com/hornbeamproxy/hornbeamproxy/roster"
)

const (
	// maxKeys bounds the prompts whose holders are known; the oldest are
	// forgotten first. A router sees some hundred shared prompts at a time.
	maxKeys = 8192
	// maxHolders is the number of endpoints that are known for one prompt.
	maxHolders = 4
	// holdAge is how long an endpoint counts as a holder after its last use: the
	// least recently used parts yield.
	holdAge = 60 * time.Second
	// joinedAge is the age from which an endpoint is expected to hold the prompts
	// whose home it is.
	joinedAge = 10 * time.Second
)

// holders remembers which endpoints have read a prompt, as far as this router
// has sent it there.
type holders struct {
	byKey map[uint64]*holding
	order []uint64 // keys in the order of their first use
}

type holding struct {
	endpoints [maxHolders]*roster.Endpoint
	at        [maxHolders]time.Time
}

func newHolders() holders { return holders{byKey: map[uint64]*holding{}} }

// add enters an endpoint that has read the prompt.
func (h *holders) add(now time.Time, key uint64, endpoint *roster.Endpoint) {
	known, ok := h.byKey[key]
	if !ok {
		if len(h.order) >= maxKeys {
			delete(h.byKey, h.order[0])
			h.order = h.order[1:]
		}
		known = &holding{}
		h.byKey[key] = known
		h.order = append(h.order, key)
	}
	oldest := 0
	for i := range known.endpoints {
		if known.endpoints[i] == endpoint {
			known.at[i] = now
			return
		}
		if known.at[i].Before(known.at[oldest]) {
			oldest = i
		}
	}
	known.endpoints[oldest], known.at[oldest] = endpoint, now
}

// find reports whether the endpoint is a holder, and returns the one used last
// among the others for which alive is true, or nil.
func (h *holders) find(now time.Time, key uint64, endpoint *roster.Endpoint, alive func(*roster.Endpoint) bool) (holds bool, other *roster.Endpoint) {
	known, ok := h.byKey[key]
	if !ok {
		return false, nil
	}
	var newest time.Time
	for i, holder := range known.endpoints {
		switch {
		case holder == nil || now.Sub(known.at[i]) > holdAge:
		case holder == endpoint:
			holds = true
		case known.at[i].After(newest) && alive(holder):
			newest, other = known.at[i], holder
		}
	}
	return holds, other
}

// Read says that an endpoint has read the prompt with the key.
func (b *Balancer) Read(now time.Time, key uint64, endpoint *roster.Endpoint) {
	if key != 0 {
		b.holders.add(now, key, endpoint)
	}
}

// CopyFrom returns the endpoint from which the chosen one can copy the prompt's
// shared parts, or nil if it is expected to hold them. Endpoints that drain may
// still be copied from.
func (b *Balancer) CopyFrom(now time.Time, key uint64, chosen *State, members []*roster.Endpoint) *roster.Endpoint {
	if key == 0 {
		return nil
	}
	alive := func(endpoint *roster.Endpoint) bool {
		state, ok := b.states[endpoint.ID]
		return ok && state.Endpoint == endpoint && !now.Before(state.ejectedUntil)
	}
	holds, other := b.holders.find(now, key, chosen.Endpoint, alive)
	if holds {
		return nil
	}
	if other != nil {
		return other
	}
	return b.settledHome(now, key, chosen, members, alive)
}

// settledHome returns the endpoint that other routers are expected to have used
// for the prompt: its home among the endpoints that have not just joined. It
// returns nil if that is the chosen one.
func (b *Balancer) settledHome(now time.Time, key uint64, chosen *State, members []*roster.Endpoint, alive func(*roster.Endpoint) bool) *roster.Endpoint {
	var best *State
	bestScore := -1.0
	for _, endpoint := range members {
		state := b.State(endpoint)
		if !alive(endpoint) || now.Sub(state.joined) < joinedAge {
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
