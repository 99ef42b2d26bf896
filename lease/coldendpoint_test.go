package lease

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hornbeamproxy/hornbeamproxy/admission"
	"github.com/hornbeamproxy/hornbeamproxy/api"
)

const (
	coldBearable = 3
	coldSteps    = 1000
)

// coldSim runs one gate per router for the same cold endpoint, as if each router
// considered itself the endpoint's admission owner. It counts the work that really runs
// at the endpoint.
type coldSim struct {
	*sim
	gates          []*admission.Gate // by index of the router
	permits        []*simPermit
	requests       int
	startedCount   int   // permits on which work has started
	running        int   // permits whose work runs now
	runningHistory []int // value of running at the end of each step
}

// simPermit is a granted permit and, from startAt on, the work done on it.
type simPermit struct {
	gate              int
	id                uint64
	startAt, endAt    time.Duration
	userDiesAt        time.Duration
	started, finished bool
}

func newColdSim(t *rapid.T) *coldSim {
	c := &coldSim{sim: newSim(t, rapid.IntRange(2, 4).Draw(t, "routers"), Config{})}
	for i := range c.routers {
		config := admission.Config{Endpoint: "e", Nonce: uint32(i + 1)}
		c.gates = append(c.gates, admission.NewGate(config))
	}
	return c
}

func (c *coldSim) step() {
	c.sim.step()
	for _, p := range c.permits {
		c.stepPermit(p)
	}
	c.runningHistory = append(c.runningHistory, c.running)
	for i, r := range c.routers {
		if r.pausedUntil > c.now {
			continue
		}
		if c.randomChance(10) {
			r.elector.SetWanted(!r.elector.wanted)
		}
		c.stepGate(i, r)
	}
}

func (c *coldSim) stepPermit(p *simPermit) {
	gate, router := c.gates[p.gate], c.routers[p.gate]
	if !p.started && p.startAt <= c.now {
		p.started = true
		c.startedCount++
		c.running++
		assert.Assert(c.t, c.running <= coldBearable, "%d running at %s", c.running, c.now)
	}
	if !p.started || p.finished || router.pausedUntil > c.now {
		return
	}
	now := router.clock(c.now)
	switch {
	case p.endAt <= c.now:
		p.finished = true
		c.running--
		if p.userDiesAt > c.now {
			gate.Release(now, p.id, admission.ReleaseInfo{})
		}
	case p.userDiesAt > c.now:
		gate.Renew(now, "user", []uint64{p.id})
	}
}

// stepGate sometimes gives the gate a load report, possibly an old one, and then
// requests permits.
func (c *coldSim) stepGate(i int, r *simRouter) {
	gate, now := c.gates[i], r.clock(c.now)
	gate.SetLease(now, admission.Lease(r.elector.Lease()))
	if c.randomChance(300) {
		back := min(c.rand.IntN(16), len(c.runningHistory)-1)
		age := time.Duration(back) * simStep
		gate.Report(now, api.LoadReport{
			BootID:    "b",
			Readiness: api.ReadinessWarming,
			Bearable:  coldBearable,
			Running:   c.runningHistory[len(c.runningHistory)-1-back],
			// The router's clock may run fast. The age is raised by 2 percent, so that
			// it is not too short on that clock.
			AgeMs: int(age/time.Millisecond) * 102 / 100,
		})
	}
	gate.Tick(now)
	for range c.rand.IntN(3) {
		c.requests++
		c.request(i, now)
	}
}

// request requests a permit. If it is granted, work starts within the start-by time; in
// rare cases the grant is lost instead. The permit is renewed while its user lives.
func (c *coldSim) request(i int, now time.Time) {
	o, _ := c.gates[i].Request(now, admission.Request{ID: fmt.Sprint(c.requests), Router: "user", Workspace: "w"})
	if !o.Granted() || c.randomChance(30) {
		return
	}
	p := &simPermit{gate: i, id: o.Grant.PermitID}
	p.startAt = c.now + c.randomDuration(admission.DefaultStartBy-simStep)
	p.endAt = p.startAt + c.randomDuration(8*time.Second)
	p.userDiesAt = p.endAt + simStep
	if c.randomChance(100) {
		p.userDiesAt = p.startAt + c.randomDuration(5*time.Second)
	}
	c.permits = append(c.permits, p)
}

// Guards against more work at a cold endpoint than its bearable load, summed over all
// routers. Meanwhile leases expire or are released, holders are paused, permits are used
// late, reports are old, and users of permits die.
func TestColdEndpointIsNeverOverloaded(t *testing.T) {
	startedTotal, stepsAtLimit, runs := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := newColdSim(t)
		for range coldSteps {
			c.step()
			if c.running == coldBearable {
				stepsAtLimit++
			}
		}
		startedTotal += c.startedCount
		runs++
	})
	t.Logf("%d starts in %d runs of 100 s; at the limit in %d of %d steps", startedTotal, runs, stepsAtLimit, coldSteps*runs)
	assert.Assert(t, startedTotal > runs, "the endpoint hardly got any work")
}
