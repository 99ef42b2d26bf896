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

// Guards against sending a cold endpoint more requests a second than ColdRateLimit
// allows this router.
func TestColdRateLimit(t *testing.T) {
	b := New("z0")
	endpoints := members(1)
	endpoints[0].ColdUntil = start.Add(time.Minute)
	criteria := Criteria{Members: endpoints, Usable: anyUsable, ColdRateLimit: func(*roster.Endpoint) int { return 3 }}
	sent := 0
	for i := range 30 {
		now := start.Add(time.Duration(i) * 30 * time.Millisecond)
		if state, refusal := b.Pick(now, criteria); state != nil {
			state.RecordStart(now)
			state.RecordEnd()
			sent++
		} else {
			assert.Equal(t, refusal, AllCold)
		}
	}
	assert.Equal(t, sent, 3)
}

// Guards against choosing an endpoint that is unusable, ejected or already tried,
// and against a wrong refusal.
func TestBlocked(t *testing.T) {
	b := New("z0")
	endpoints := members(2)
	criteria := Criteria{Members: endpoints, Usable: func(e *roster.Endpoint) bool { return e == endpoints[1] }}
	state, _ := b.Pick(start, criteria)
	assert.Equal(t, state.Endpoint, endpoints[1])
	assert.Assert(t, state.RecordFailure(start))
	_, refusal := b.Pick(start.Add(baseEjectionTime), criteria)
	assert.Equal(t, refusal, None)
	criteria.Tried = endpoints[1:]
	_, refusal = b.Pick(start.Add(baseEjectionTime), criteria)
	assert.Equal(t, refusal, AllTried)
	_, refusal = b.Pick(start, Criteria{Usable: anyUsable})
	assert.Equal(t, refusal, NoEndpoint)
}

// Guards against a prompt that leaves its home although the home's load is within the
// bound, and against a home that is loaded far above the mean.
func TestHome(t *testing.T) {
	b := New("z0")
	criteria := Criteria{Members: members(6), Usable: anyUsable, Key: 42, HomeLoadFactor: 1.25}
	home, _ := b.Pick(start, criteria)
	for range 20 {
		again, _ := b.Pick(start, criteria)
		assert.Equal(t, again, home)
	}
	most := 0
	for range 60 {
		state, _ := b.Pick(start, criteria)
		state.RecordStart(start)
		most = max(most, state.LocalRequests)
	}
	assert.Assert(t, most <= 2*10+3, "the busiest endpoint has %d requests, the mean is 10", most)
}

// Guards against a bound that follows only from the endpoints in use: while a zone is
// evacuated its idle endpoints lower the mean of the service, and with it the limit that
// the platform sets for the load of each endpoint.
func TestHomeBoundCountsUnusable(t *testing.T) {
	b := New("z0")
	endpoints := members(8)
	criteria := Criteria{
		Members: endpoints, Key: 42, HomeLoadFactor: 1.5, LoadFactor: 2,
		Usable: func(e *roster.Endpoint) bool { return e.Zone == "z0" },
	}
	for _, endpoint := range endpoints {
		if endpoint.Zone == "z0" {
			b.SetRemoteLoad(start, "other", b.State(endpoint).Endpoint.ID, 12)
		}
	}
	home, _ := b.Pick(start, criteria)
	b.SetRemoteLoad(start, "other", home.Endpoint.ID, 15) // limit: 2 x 51/8 + 3 = 15.75
	again, _ := b.Pick(start, criteria)
	assert.Assert(t, again != home)
}

// Guards against sending a request to another zone while the router's own has an idle
// endpoint, and against loads of other routers that are ignored or never expire.
func TestLeast(t *testing.T) {
	b := New("z1")
	criteria := Criteria{Members: members(4), Usable: anyUsable}
	state, _ := b.Pick(start, criteria)
	assert.Equal(t, state.Endpoint.Zone, "z1")
	b.SetRemoteLoad(start, "other", "e1", 5)
	b.SetRemoteLoad(start, "other", "e3", 5)
	state, _ = b.Pick(start, criteria)
	assert.Equal(t, state.Endpoint.Zone, "z0")
	state, _ = b.Pick(start.Add(remoteLoadTTL), criteria)
	assert.Equal(t, state.Endpoint.Zone, "z1")
}

// Guards against processing the shared parts of a prompt again although another
// endpoint holds them, and against copying them from a failing endpoint. A copy is
// needed when a request spills over from the loaded home to another endpoint.
func TestCopySource(t *testing.T) {
	b := New("z0")
	endpoints := members(4)
	for _, endpoint := range endpoints {
		b.Join(start, endpoint, true)
	}
	home, _ := b.Pick(start, Criteria{Members: endpoints, Usable: anyUsable, Key: 42, HomeLoadFactor: 1.25})
	assert.Assert(t, b.CopySource(start, 42, home, endpoints) == nil, "a settled home holds its prompts")
	other := b.State(endpoints[0])
	if other == home {
		other = b.State(endpoints[1])
	}
	assert.Equal(t, b.CopySource(start, 42, other, endpoints), home.Endpoint)
	b.RecordHolder(start, 42, other.Endpoint)
	assert.Assert(t, b.CopySource(start, 42, other, endpoints) == nil)
	assert.Equal(t, b.CopySource(start, 42, home, endpoints), other.Endpoint, "known holders come before expected ones")
	home.RecordFailure(start)
	b.holders = newHolderIndex()
	assert.Assert(t, b.CopySource(start, 42, other, endpoints) != home.Endpoint, "an endpoint that fails is not copied from")
	assert.Assert(t, b.CopySource(start, 0, other, endpoints) == nil)
}

// Guards against counting an endpoint that has just registered as a holder. As the new
// home of a prompt it would process the shared parts again, although the previous home
// holds them.
func TestCopySourceJoined(t *testing.T) {
	b := New("z0")
	endpoints := members(2)
	b.Join(start, endpoints[0], true)
	b.Join(start, endpoints[1], false)
	assert.Equal(t, b.CopySource(start, 7, b.State(endpoints[1]), endpoints), endpoints[0])
	assert.Assert(t, b.CopySource(start, 7, b.State(endpoints[0]), endpoints) == nil)
}

// Guards against an index of holders that grows without bound.
func TestHoldersBounded(t *testing.T) {
	h := newHolderIndex()
	endpoints := members(6)
	for key := range uint64(maxTrackedPrompts + 100) {
		for _, endpoint := range endpoints {
			h.add(start, key+1, endpoint)
		}
	}
	assert.Equal(t, len(h.byKey), maxTrackedPrompts)
}

// Guards against refusing requests when all endpoints are ejected at the same time.
func TestAllAvoided(t *testing.T) {
	b := New("z0")
	endpoints := members(3)
	criteria := Criteria{Members: endpoints, Usable: anyUsable, Key: 42, HomeLoadFactor: 1.25}
	for _, endpoint := range endpoints {
		b.State(endpoint).RecordFailure(start)
	}
	b.State(endpoints[1]).ejectedUntil = start.Add(time.Millisecond)
	state, refusal := b.Pick(start, criteria)
	assert.Equal(t, refusal, None)
	assert.Equal(t, state.Endpoint, endpoints[1], "the endpoint whose ejection ends first")
	criteria.Tried = endpoints
	_, refusal = b.Pick(start, criteria)
	assert.Equal(t, refusal, AllTried)
}

// Guards against sending more requests to an address that now belongs to another
// endpoint.
func TestMisdirected(t *testing.T) {
	b := New("z0")
	endpoints := members(2)
	b.State(endpoints[0]).MarkMisdirected(start)
	for range 10 {
		state, _ := b.Pick(start.Add(maxEjectionTime-time.Millisecond), Criteria{Members: endpoints, Usable: anyUsable})
		assert.Equal(t, state.Endpoint, endpoints[1])
		state.RecordStart(start)
	}
}

// Guards against exceeding the router's share of the connections that an endpoint
// accepts.
func TestMaxLocal(t *testing.T) {
	b := New("z0")
	criteria := Criteria{Members: members(2), Usable: anyUsable, MaxLocal: 3}
	for range 6 {
		state, _ := b.Pick(start, criteria)
		state.RecordStart(start)
		assert.Assert(t, state.LocalRequests <= 3)
	}
	_, refusal := b.Pick(start, criteria)
	assert.Equal(t, refusal, AllFull)
}
