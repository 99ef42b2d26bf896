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

// coldSim runs a gate for the same cold endpoint at every router, as when all of
// them believe that they own it, and counts the work at the endpoint itself.
type coldSim struct {
	*sim
	gates    []*admission.Gate
	permits  []*simPermit
	requests int
	starts   int
	running  int
	history  []int
}

// simPermit is a permit on its way, then the work done on it.
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
		c.work(p)
	}
	c.history = append(c.history, c.running)
	for i, r := range c.routers {
		if r.pausedUntil > c.now {
			continue
		}
		if c.chance(10) {
			r.elector.SetWanted(!r.elector.wanted)
		}
		c.decide(i, r)
	}
}

func (c *coldSim) work(p *simPermit) {
	gate, router := c.gates[p.gate], c.routers[p.gate]
	if !p.started && p.startAt <= c.now {
		p.started = true
		c.starts++
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

// decide reports an old figure, then asks the gate for permits.
func (c *coldSim) decide(i int, r *simRouter) {
	gate, now := c.gates[i], r.clock(c.now)
	gate.SetLease(now, admission.Lease(r.elector.Lease()))
	if c.chance(300) {
		back := min(c.rand.IntN(16), len(c.history)-1)
		age := time.Duration(back) * simStep
		gate.Report(now, api.LoadReport{
			BootID:    "b",
			Readiness: api.ReadinessWarming,
			Bearable:  coldBearable,
			Running:   c.history[len(c.history)-1-back],
			// The clock's rate may make the age seem shorter.
			AgeMs: int(age/time.Millisecond) * 102 / 100,
		})
	}
	gate.Tick(now)
	for range c.rand.IntN(3) {
		c.requests++
		c.request(i, now)
	}
}

// request uses a permit after at most the start-by time, and holds it while its
// user lives.
func (c *coldSim) request(i int, now time.Time) {
	o, _ := c.gates[i].Request(now, admission.Request{ID: fmt.Sprint(c.requests), Router: "user", Workspace: "w"})
	if !o.Granted() || c.chance(30) {
		return
	}
	p := &simPermit{gate: i, id: o.Grant.PermitID}
	p.startAt = c.now + c.draw(admission.DefaultStartBy-simStep)
	p.endAt = p.startAt + c.draw(8*time.Second)
	p.userDiesAt = p.endAt + simStep
	if c.chance(100) {
		p.userDiesAt = p.startAt + c.draw(5*time.Second)
	}
	c.permits = append(c.permits, p)
}

// Guards against more work at a cold endpoint than it can bear, counted over all
// routers, while leases lapse or are released, holders are paused, permits are used late,
// reports are old and permit users die.
func TestColdEndpointIsNeverOverloaded(t *testing.T) {
	starts, full, runs := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := newColdSim(t)
		for range coldSteps {
			c.step()
			if c.running == coldBearable {
				full++
			}
		}
		starts += c.starts
		runs++
	})
	t.Logf("%d starts in %d runs of 100 s; at the limit in %d of %d steps", starts, runs, full, coldSteps*runs)
	assert.Assert(t, starts > runs, "the endpoint hardly got any work")
}
