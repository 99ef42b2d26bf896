package balance

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request that is spent on finding out whether an endpoint that
// could not be reached is back.
func TestUnreachable(t *testing.T) {
	b := New("z0")
	endpoints := members(2)
	ask := Ask{Members: endpoints, Usable: anyUsable}
	lost := b.State(endpoints[0])
	assert.Assert(t, lost.Unreachable(start))
	assert.Equal(t, len(b.Unverified(start)), 0, "no connection is opened before its time")
	later := start.Add(longestEjection)
	state, _ := b.Pick(later, ask)
	assert.Equal(t, state.Endpoint, endpoints[1])
	assert.DeepEqual(t, ids(b.Unverified(later)), []string{"e0"})
	assert.Equal(t, len(b.Unverified(later)), 0, "one connection at a time")
	lost.Verified(later, false)
	assert.Equal(t, len(b.Unverified(later)), 0, "a failed attempt is followed by a pause")
	later = later.Add(longestEjection)
	assert.Equal(t, len(b.Unverified(later)), 1)
	lost.Verified(later, true)
	ask.Tried = endpoints[1:]
	state, _ = b.Pick(later, ask)
	assert.Equal(t, state.Endpoint, endpoints[0])
}

// Guards against a zone that is given up because of one endpoint, and against one
// that is taken for sound after several fell silent together.
func TestSilentZone(t *testing.T) {
	b := New("z0")
	endpoints := members(6) // zones z0 and z1 by turns
	state := func(i int) *State { return b.State(endpoints[i]) }
	assert.Assert(t, !b.Silent(start, state(1)))
	assert.Assert(t, !b.Silent(start, state(1)), "the same endpoint counts once")
	assert.Assert(t, !b.Silent(start, state(0)), "zones count by themselves")
	assert.Assert(t, !b.Silent(start.Add(2*silenceWindow), state(3)), "the first was too long ago")
	assert.Assert(t, b.Silent(start.Add(2*silenceWindow), state(5)))
	b.Zone("z1", func(s *State) { s.Doubt() })
	for range 4 {
		picked, _ := b.Pick(start, Ask{Members: endpoints, Usable: anyUsable})
		assert.Equal(t, picked.Endpoint.Zone, "z0")
	}
	assert.Equal(t, len(b.Unverified(start)), 3, "all of the zone")
}

// Guards against a doubted zone that gets nothing when no other is left.
func TestDoubtedOnly(t *testing.T) {
	b := New("z0")
	endpoints := members(1)
	b.State(endpoints[0]).Doubt()
	state, refusal := b.Pick(start, Ask{Members: endpoints, Usable: anyUsable})
	assert.Equal(t, refusal, None)
	assert.Equal(t, state.Endpoint, endpoints[0])
}

func ids(states []*State) []string {
	var names []string
	for _, state := range states {
		names = append(names, state.Endpoint.ID)
	}
	return names
}
