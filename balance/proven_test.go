package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// shareOf returns the fraction of 300 requests without and with prompts that go to an endpoint.
func shareOf(b *Balancer, criteria Criteria, at time.Time, index int) float64 {
	const requests = 300
	picked := 0
	for i := range requests {
		criteria.Draw = uint64(i)*0x9e3779b97f4a7c15 + 1
		criteria.Key = uint64(i%2) * criteria.Draw
		if state, _ := b.Pick(at, criteria); state.Endpoint == criteria.Members[index] {
			picked++
		}
	}
	return float64(picked) / requests
}

// Guards against an endpoint that asks for pauses again and again and gets a request of each router
// after each of them, and against one that accepts again and gets none.
func TestRepeatedPausesBackOff(t *testing.T) {
	b, endpoints := New("z0"), members(4)
	criteria := Criteria{Members: endpoints, Usable: anyUsable, HomeLoadFactor: 1.5, LoadFactor: 2}
	state, now := b.State(endpoints[0]), start
	for _, held := range []time.Duration{0, 2 * time.Second, 6 * time.Second, 14 * time.Second, 14 * time.Second} {
		state.Pause(now, 2*time.Second)
		now = now.Add(2*time.Second + held)
		if held > 0 {
			assert.Equal(t, shareOf(b, criteria, now.Add(-time.Millisecond), 0), 0.0)
		}
		assert.Assert(t, shareOf(b, criteria, now, 0) > 0.1)
		state.RecordStart(now)
		assert.Equal(t, shareOf(b, criteria, now, 0), 0.0, "more than one request on trial")
		state.RecordEnd()
	}
	state.RecordAccepted(now)
	assert.Assert(t, shareOf(b, criteria, now, 0) > 0.1)
	state.Pause(now, time.Second)
	criteria.Members = endpoints[:1]
	picked, _ := b.Pick(now.Add(time.Second), criteria)
	assert.Equal(t, picked, state, "the only endpoint is asked when its pause ends")
}

// Guards against requests that go to untried endpoints while many of the service refuse, against
// proven ones that get more than their bound, and against a preference that does not end.
func TestProvenPreferred(t *testing.T) {
	b, endpoints := New("z0"), members(6)
	criteria := Criteria{Members: endpoints, Usable: anyUsable, HomeLoadFactor: 1.5, LoadFactor: 2}
	b.State(endpoints[0]).Pause(start, 100*time.Millisecond)
	b.State(endpoints[4]).RecordAccepted(start.Add(time.Millisecond))
	later := start.Add(time.Second)
	assert.Assert(t, shareOf(b, criteria, later, 5) > 0.05, "one endpoint that pauses is no reason")
	b.State(endpoints[1]).Pause(start, 100*time.Millisecond)
	assert.Equal(t, shareOf(b, criteria, later, 4), 1.0)
	b.State(endpoints[4]).LocalRequests = 30
	assert.Equal(t, shareOf(b, criteria, later, 4), 0.0)
	b.State(endpoints[4]).LocalRequests = 0
	assert.Assert(t, shareOf(b, criteria, start.Add(provenTime), 5) > 0.05)
}
