package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// share sends requests through the balancer and returns the fraction of them that the
// first endpoint got. fail reports whether the endpoint with index i fails a request.
func share(b *Balancer, criteria Criteria, requests int, fail func(i, request int) bool) float64 {
	first := 0
	for request := range requests {
		now := start.Add(time.Duration(request) * 20 * time.Millisecond)
		state, _ := b.Pick(now, criteria)
		state.RecordStart(now)
		state.RecordEnd()
		for i, endpoint := range criteria.Members {
			if endpoint != state.Endpoint {
				continue
			}
			if i == 0 {
				first++
			}
			if fail(i, request) {
				state.RecordError()
			} else {
				state.RecordSuccess()
			}
		}
	}
	return float64(first) / float64(requests)
}

// Guards against an endpoint that fails most of its requests and still gets as many as
// the others, because connections to it succeed.
func TestGreyGetsProbes(t *testing.T) {
	criteria := Criteria{Members: members(1), Usable: anyUsable, Key: 42, HomeLoadFactor: 1.25, Repeatable: true}
	home, _ := New("z0").Pick(start, Criteria{Members: members(4), Usable: anyUsable, Key: 42, HomeLoadFactor: 1.25})
	all := members(4)
	for i := range all {
		if all[i].ID == home.Endpoint.ID {
			all[0], all[i] = all[i], all[0]
		}
	}
	criteria.Members = all
	grey := share(New("z0"), criteria, 1000, func(i, request int) bool { return i == 0 && request%3 > 0 })
	assert.Assert(t, grey < 0.1, "the failing home got %.2f", grey)
	healthy := share(New("z0"), criteria, 1000, func(_, request int) bool { return request%20 == 0 })
	assert.Equal(t, healthy, 1.0, "few failures keep a prompt at its home")
	alike := share(New("z0"), criteria, 1000, func(_, request int) bool { return request%3 > 0 })
	assert.Assert(t, alike > 0.9, "no endpoint is better than the others, and the home got %.2f", alike)
}

// Guards against holding back a grey endpoint that has recovered.
func TestGreyReturns(t *testing.T) {
	b := New("z0")
	endpoints := members(3)
	criteria := Criteria{Members: endpoints, Usable: anyUsable, Repeatable: true}
	state := b.State(endpoints[0])
	for range 20 {
		state.RecordError()
	}
	now, sent := start, 0
	for range 400 {
		now = now.Add(50 * time.Millisecond)
		picked, _ := b.Pick(now, criteria)
		picked.RecordStart(now)
		picked.RecordEnd()
		picked.RecordSuccess()
		if picked == state {
			sent++
		}
	}
	assert.Assert(t, sent > 50, "got %d of 400", sent)
	assert.Assert(t, state.failureRate < greyFailureRate)
}

// Guards against sending a grey endpoint requests that may not run again as often as it
// gets repeatable ones.
func TestGreyAndOnce(t *testing.T) {
	b := New("z0")
	endpoints := members(2)
	state := b.State(endpoints[0])
	for range 20 {
		state.RecordError()
	}
	state.RecordStart(start)
	state.RecordEnd()
	at := func(after time.Duration, repeatable bool) bool {
		return state.heldBack(start.Add(after), Criteria{Repeatable: repeatable}, 0.1)
	}
	assert.Assert(t, at(greyProbeInterval-time.Millisecond, true))
	assert.Assert(t, !at(greyProbeInterval, true))
	assert.Assert(t, at(greyProbeInterval, false))
	assert.Assert(t, !at(unrepeatableProbeInterval, false))
}
