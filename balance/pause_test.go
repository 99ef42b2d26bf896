package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request, a retry or a probe for an endpoint that has asked for a pause, against
// a pause that is ended by a shorter one, and against one that lasts for good.
func TestPause(t *testing.T) {
	for _, pause := range []time.Duration{200 * time.Millisecond, 2 * time.Second, 30 * time.Second, 200 * 365 * 24 * time.Hour} {
		b := New("z0")
		endpoints := members(2)
		state := b.State(endpoints[0])
		obeyed := state.Pause(start, pause)
		assert.Equal(t, obeyed, min(pause, maxPause))
		state.Pause(start, time.Millisecond)
		state.unverified = true
		for _, key := range []uint64{0, 1, 2, 3, 4, 5} {
			criteria := Criteria{Members: endpoints, Usable: anyUsable, Key: key, HomeLoadFactor: 1.5, LoadFactor: 2}
			picked, _ := b.Pick(start.Add(obeyed-1), criteria)
			assert.Equal(t, picked.Endpoint, endpoints[1])
			criteria.Tried = endpoints[1:]
			_, refusal := b.Pick(start.Add(obeyed-1), criteria)
			assert.Equal(t, refusal, AllTried)
		}
		assert.Equal(t, len(b.StartProbes(start.Add(obeyed-1))), 0)
		assert.Equal(t, len(b.StartProbes(start.Add(obeyed))), 1)
		state.unverified = false
		picked, _ := b.Pick(start.Add(obeyed), Criteria{Members: endpoints[:1], Usable: anyUsable})
		assert.Equal(t, picked.Endpoint, endpoints[0])
	}
}

// Guards against a request that waits, or is sent, when all endpoints pause, against a wrong time
// to come back, and against a pause that outlives the endpoint's start.
func TestAllPaused(t *testing.T) {
	b := New("z0")
	endpoints := members(3)
	b.State(endpoints[0]).Pause(start, 3*time.Second)
	b.State(endpoints[1]).Pause(start, 2*time.Second)
	usable := anyUsable
	criteria := Criteria{Members: endpoints[:2], Usable: usable}
	_, refusal := b.Pick(start, criteria)
	assert.Equal(t, refusal, AllPaused)
	criteria.Tried = endpoints[:1]
	_, refusal = b.Pick(start, criteria)
	assert.Equal(t, refusal, AllPaused, "the endpoint that refused the request is paused too")
	assert.Equal(t, b.PauseEnd(start.Add(time.Second), endpoints[:2], usable), time.Second)
	assert.Equal(t, b.PauseEnd(start, endpoints, usable), time.Duration(0))
	restarted := members(1)
	picked, _ := b.Pick(start, Criteria{Members: restarted, Usable: usable})
	assert.Equal(t, picked.Endpoint, restarted[0])
}

// Guards against a mass of pauses that pushes the other endpoints over the load limit, or uses up the
// retry budget because each router learns of each pause by a request that is refused: a third of
// the service asks each router that comes for 2 s, again and again, while one prompt is hot.
func TestPausesKeepLoadLimit(t *testing.T) {
	for _, config := range []simConfig{
		{routers: 6, endpoints: 18, hotShare: 0.1, viewInterval: 250 * time.Millisecond},
		{routers: 91, endpoints: 90, hotShare: 0.1, viewInterval: 250 * time.Millisecond},
		{routers: 195, endpoints: 93, hotShare: 0.1, viewInterval: 250 * time.Millisecond},
		{routers: 350, endpoints: 200, hotShare: 0.1, viewInterval: 250 * time.Millisecond},
	} {
		config.pauses, config.lost, config.seed = true, 0.05, 1
		t.Run(fmt.Sprintf("%d routers", config.routers), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(config)
			assert.Equal(t, s.run(), 0.0, "fraction over the limit in 5 s")
			assert.Assert(t, s.refused > 0)
			const retryRatio = 0.2
			arrived := 0 // requests since the pauses began
			for _, request := range s.over {
				if request.at >= hotFrom {
					arrived++
				}
			}
			t.Logf("%d refusals of %d requests", s.refused, arrived)
			assert.Assert(t, float64(s.refused) < retryRatio*float64(arrived), "%d refusals of %d requests", s.refused, arrived)
			assert.Equal(t, s.pressed, 0, "requests reached an endpoint within its pause")
		})
	}
}
