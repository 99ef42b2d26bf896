package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/roster"
)

var start = time.Unix(1000, 0)

func members(n int) []*roster.Endpoint {
	endpoints := make([]*roster.Endpoint, n)
	for i := range endpoints {
		endpoints[i] = &roster.Endpoint{Entry: roster.Entry{ID: fmt.Sprintf("e%d", i), Zone: fmt.Sprintf("z%d", i%2), Slots: 8}}
	}
	return endpoints
}

func anyUsable(*roster.Endpoint) bool { return true }

// Guards against a cold endpoint that gets more than the router's share in a
// second.
func TestColdShare(t *testing.T) {
	b := New("z0")
	endpoints := members(1)
	endpoints[0].ColdUntil = start.Add(time.Minute)
	ask := Ask{Members: endpoints, Usable: anyUsable, ColdShare: func(*roster.Endpoint) int { return 3 }}
	sent := 0
	for i := range 30 {
		now := start.Add(time.Duration(i) * 30 * time.Millisecond)
		if state, refusal := b.Pick(now, ask); state != nil {
			state.Started(now)
			state.Ended()
			sent++
		} else {
			assert.Equal(t, refusal, AllCold)
		}
	}
	assert.Equal(t, sent, 3)
}

// Guards against work for endpoints that may not get it, and against a wrong
// reason for the refusal.
func TestBlocked(t *testing.T) {
	b := New("z0")
	endpoints := members(2)
	ask := Ask{Members: endpoints, Usable: func(e *roster.Endpoint) bool { return e == endpoints[1] }}
	state, _ := b.Pick(start, ask)
	assert.Equal(t, state.Endpoint, endpoints[1])
	assert.Assert(t, state.Failed(start))
	_, refusal := b.Pick(start.Add(firstEjection), ask)
	assert.Equal(t, refusal, None)
	ask.Tried = endpoints[1:]
	_, refusal = b.Pick(start.Add(firstEjection), ask)
	assert.Equal(t, refusal, AllTried)
	_, refusal = b.Pick(start, Ask{Usable: anyUsable})
	assert.Equal(t, refusal, NoEndpoint)
}

// Guards against a prompt that leaves its home without need, and against a home
// that is filled far above the mean.
func TestHome(t *testing.T) {
	b := New("z0")
	ask := Ask{Members: members(6), Usable: anyUsable, Key: 42, HomeLoad: 1.25}
	home, _ := b.Pick(start, ask)
	for range 20 {
		again, _ := b.Pick(start, ask)
		assert.Equal(t, again, home)
	}
	most := 0
	for range 60 {
		state, _ := b.Pick(start, ask)
		state.Started(start)
		most = max(most, state.Local)
	}
	assert.Assert(t, most <= 2*10+3, "busiest holds %d of a mean of 10", most)
}

// Guards against requests that go past an idle endpoint of the router's own zone,
// and against a load of other routers that is not seen or never forgotten.
func TestLeast(t *testing.T) {
	b := New("z1")
	ask := Ask{Members: members(4), Usable: anyUsable}
	state, _ := b.Pick(start, ask)
	assert.Equal(t, state.Endpoint.Zone, "z1")
	b.SetRemote(start, "other", "e1", 5)
	b.SetRemote(start, "other", "e3", 5)
	state, _ = b.Pick(start, ask)
	assert.Equal(t, state.Endpoint.Zone, "z0")
	state, _ = b.Pick(start.Add(remoteAge), ask)
	assert.Equal(t, state.Endpoint.Zone, "z1")
}

// Guards against shared parts that are read again although an endpoint holds
// them: after a spill, while the home has just joined, and while it drains.
func TestCopyFrom(t *testing.T) {
	b := New("z0")
	endpoints := members(4)
	for _, endpoint := range endpoints {
		b.Join(start, endpoint, true)
	}
	home, _ := b.Pick(start, Ask{Members: endpoints, Usable: anyUsable, Key: 42, HomeLoad: 1.25})
	assert.Assert(t, b.CopyFrom(start, 42, home, endpoints) == nil, "a settled home holds its prompts")
	other := b.State(endpoints[0])
	if other == home {
		other = b.State(endpoints[1])
	}
	assert.Equal(t, b.CopyFrom(start, 42, other, endpoints), home.Endpoint)
	b.Read(start, 42, other.Endpoint)
	assert.Assert(t, b.CopyFrom(start, 42, other, endpoints) == nil)
	assert.Equal(t, b.CopyFrom(start, 42, home, endpoints), other.Endpoint, "known holders come before expected ones")
	home.Failed(start)
	b.holders = newHolders()
	assert.Assert(t, b.CopyFrom(start, 42, other, endpoints) != home.Endpoint, "an endpoint that fails is not copied from")
	assert.Assert(t, b.CopyFrom(start, 0, other, endpoints) == nil)
}

// Guards against an endpoint that has just joined and is taken for a holder.
func TestCopyFromJoined(t *testing.T) {
	b := New("z0")
	endpoints := members(2)
	b.Join(start, endpoints[0], true)
	b.Join(start, endpoints[1], false)
	assert.Equal(t, b.CopyFrom(start, 7, b.State(endpoints[1]), endpoints), endpoints[0])
	assert.Assert(t, b.CopyFrom(start, 7, b.State(endpoints[0]), endpoints) == nil)
}

// Guards against holders that grow without bound.
func TestHoldersBounded(t *testing.T) {
	h := newHolders()
	endpoints := members(6)
	for key := range uint64(maxKeys + 100) {
		for _, endpoint := range endpoints {
			h.add(start, key+1, endpoint)
		}
	}
	assert.Equal(t, len(h.byKey), maxKeys)
}

// Guards against requests that are refused although endpoints are there, only
// because each of them has failed just now.
func TestAllEjected(t *testing.T) {
	b := New("z0")
	endpoints := members(3)
	ask := Ask{Members: endpoints, Usable: anyUsable, Key: 42, HomeLoad: 1.25}
	for _, endpoint := range endpoints {
		b.State(endpoint).Failed(start)
	}
	b.State(endpoints[1]).ejectedUntil = start.Add(time.Millisecond)
	state, refusal := b.Pick(start, ask)
	assert.Equal(t, refusal, None)
	assert.Equal(t, state.Endpoint, endpoints[1], "the one that may be back first")
	ask.Tried = endpoints
	_, refusal = b.Pick(start, ask)
	assert.Equal(t, refusal, AllTried)
}

// Guards against more work for an address that another endpoint has now.
func TestMisdirected(t *testing.T) {
	b := New("z0")
	endpoints := members(2)
	b.State(endpoints[0]).Misdirected(start)
	for range 10 {
		state, _ := b.Pick(start.Add(longestEjection-time.Millisecond), Ask{Members: endpoints, Usable: anyUsable})
		assert.Equal(t, state.Endpoint, endpoints[1])
		state.Started(start)
	}
}

// Guards against more connections than the router's share of what an endpoint
// accepts.
func TestMaxLocal(t *testing.T) {
	b := New("z0")
	ask := Ask{Members: members(2), Usable: anyUsable, MaxLocal: 3}
	for range 6 {
		state, _ := b.Pick(start, ask)
		state.Started(start)
		assert.Assert(t, state.Local <= 3)
	}
	_, refusal := b.Pick(start, ask)
	assert.Equal(t, refusal, AllFull)
}
