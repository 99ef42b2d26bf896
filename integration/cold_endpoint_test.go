package integration_test

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// Guards against a cold engine that gets more concurrent requests from all routers together
// than its limit allows. The test provokes this in three ways:
//   - The endpoint's admission owner is killed.
//   - The owner is frozen for longer than its lease.
//   - Routers join, stall and die, so that the routers disagree on who owns the endpoint.
func TestColdEngineIsNotOverloaded(t *testing.T) {
	const bearable = 2
	f := newFleet(t, fleetOptions{
		site: standin.SiteConfig{
			Zones: threeZones, Engines: 4, Workspaces: 1, MaxInflight: 16,
			Engine: standin.EngineConfig{TTFT: 10 * time.Millisecond, TokenInterval: 3 * time.Millisecond, MaxRunning: 16},
		},
		routers:    8,
		limits:     map[string]any{"cold_lease": "1s"},
		beforeNote: func(f *Fleet) { f.site.Engines[0].SetReadiness(api.ReadinessCold, bearable) },
	})
	cold := f.site.Engines[0]
	stop := make(chan struct{})
	tally := &streamTally{}
	// While the cold engine gets no work, its chats are served by other engines. They stay
	// there, because that is where their prompts are cached. So each caller begins a new
	// chat after 10 turns: only new chats can reach the cold engine again.
	wait := f.startCallers(t, 40, chatCall{chat: "cold", turns: 10, tokens: 30, tolerateAborts: true}, tally, stop)
	awaitStarts := func(when string) {
		before := len(cold.CompletionStarts())
		eventually(t, startTimeout, "the cold engine gets work "+when, func() bool { return len(cold.CompletionStarts()) > before+5 })
	}
	awaitStarts("from the lease holder")
	owner := f.ownerOf(cold.ID)
	assert.Assert(t, owner != nil)
	f.kill(owner)
	f.start()
	awaitStarts("after its owner was killed")
	owner = f.ownerOf(cold.ID)
	assert.Assert(t, owner != nil)
	owner.signal(syscall.SIGSTOP)
	time.Sleep(5 * time.Second)
	owner.signal(syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	f.disturbViews(cold.ID)
	awaitStarts("after the owners changed")
	close(stop)
	wait()
	counters := cold.Counters()
	t.Logf("%d starts at the cold engine, at most %d at once; over all: %s", counters.Started, counters.MaxConcurrent, tally)
	for _, start := range cold.CompletionStarts() {
		assert.Check(t, start.Concurrent <= bearable, "%s started as number %d at %s", start.RequestID, start.Concurrent,
			start.At.Format(time.StampMilli))
	}
	assert.Equal(t, counters.Overloaded, 0)
}

// disturbViews makes the ownership of an endpoint change repeatedly. Each time a router
// joins, the owner stalls, and the router that joined is killed. The stall lasts about as
// long as other routers wait before they suspect that the owner has failed.
func (f *Fleet) disturbViews(endpoint string) {
	for range 3 {
		joined := f.start()
		if owner := f.ownerOf(endpoint); owner != nil {
			owner.signal(syscall.SIGSTOP)
			time.Sleep(1800 * time.Millisecond)
			owner.signal(syscall.SIGCONT)
		}
		f.kill(joined)
	}
}
