package lease

import (
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

const simStep = 100 * time.Millisecond

// simStore is the one object that holds the lease.
type simStore struct {
	version uint64
	record  api.LeaseRecord
}

// simCall is a call in flight. It takes effect at applyAt and returns at returnAt. For a
// write that takes effect only after its caller timed out, applyAt is the later one.
type simCall struct {
	router            *simRouter
	action            Action
	applyAt, returnAt time.Duration
	returned, applied bool
	result            WriteResult // WriteNoEffect also stands for a read that fails
	version           uint64
	record            api.LeaseRecord
}

// simRouter has a clock with its own offset and rate.
type simRouter struct {
	elector     *Elector
	callOpen    bool
	pausedUntil time.Duration
	offset      time.Duration
	rate        float64
}

func (r *simRouter) clock(now time.Duration) time.Time {
	return time.Unix(0, 0).Add(r.offset + time.Duration(float64(now)*r.rate))
}

// sim has its own random generator, because rapid prefers small values and would
// make rare faults frequent.
type sim struct {
	t       *rapid.T
	rand    *rand.Rand
	now     time.Duration
	faults  bool
	store   simStore
	routers []*simRouter
	calls   []*simCall
}

func newSim(t *rapid.T, routers int, config Config) *sim {
	seed := rapid.Uint64().Draw(t, "seed")
	s := &sim{t: t, rand: rand.New(rand.NewPCG(seed, 0)), faults: true}
	for i := range routers {
		config.Router = string(rune('a' + i))
		config.Nonce = uint64(i) * 1_000_000
		r := &simRouter{elector: NewElector(config)}
		// The rate differs from 1 by up to one percent, which is ten times the drift of
		// a bad quartz clock.
		r.rate = 1 + float64(s.rand.IntN(21)-10)/1000
		r.offset = s.randomDuration(1000 * time.Second)
		r.elector.SetWanted(true)
		s.routers = append(s.routers, r)
	}
	return s
}

func (s *sim) randomChance(perMille int) bool {
	return s.faults && s.rand.IntN(1000) < perMille
}

func (s *sim) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.rand.IntN(int(limit/simStep)+1)) * simStep
}

// step advances the time by one step, lets calls take effect and return, and lets
// each router that is not paused make its next call.
func (s *sim) step() {
	s.now += simStep
	for _, c := range s.calls {
		s.advance(c)
	}
	s.calls = removeDone(s.calls)
	for _, r := range s.routers {
		if s.randomChance(4) {
			r.pausedUntil = s.now + s.randomDuration(12*time.Second)
		}
		if !r.callOpen && r.pausedUntil <= s.now {
			s.send(r)
		}
	}
}

func (s *sim) send(r *simRouter) {
	action := r.elector.Next(r.clock(s.now))
	if action.Kind != ActionRead && action.Kind != ActionWrite {
		return
	}
	c := &simCall{router: r, action: action}
	c.applyAt = s.now + simStep
	c.returnAt = c.applyAt + simStep
	switch {
	case s.randomChance(80):
		c.applyAt += s.randomDuration(10 * time.Second)
		c.returnAt = c.applyAt + s.randomDuration(time.Second)
	case action.Kind == ActionWrite && s.randomChance(100):
		c.result = WriteUnknown
		c.applyAt += s.randomDuration(10 * time.Second)
		c.returnAt += s.randomDuration(2 * time.Second)
	case s.randomChance(100):
		c.result = WriteNoEffect
	}
	r.callOpen = true
	s.calls = append(s.calls, c)
}

func (s *sim) advance(c *simCall) {
	if !c.applied && c.applyAt <= s.now {
		c.applied = true
		s.apply(c)
	}
	if !c.returned && c.returnAt <= s.now && c.router.pausedUntil <= s.now {
		c.returned = true
		s.returnResult(c)
	}
}

func (s *sim) apply(c *simCall) {
	c.version, c.record = s.store.version, s.store.record
	if c.action.Kind == ActionRead || c.result == WriteNoEffect {
		return
	}
	if c.action.IfVersion != s.store.version {
		if c.result == WriteSucceeded {
			c.result = WriteConflict
		}
		return
	}
	s.store = simStore{version: s.store.version + 1, record: c.action.Record}
	c.version = s.store.version
}

func (s *sim) returnResult(c *simCall) {
	r, now := c.router, c.router.clock(s.now)
	r.callOpen = false
	switch {
	case c.action.Kind == ActionWrite:
		r.elector.WriteDone(now, c.result, c.version)
	case c.result == WriteNoEffect:
		r.elector.ReadFailed(now)
	default:
		r.elector.ReadDone(now, c.record, c.version)
	}
}

func removeDone(calls []*simCall) []*simCall {
	var open []*simCall
	for _, c := range calls {
		if !c.applied || !c.returned {
			open = append(open, c)
		}
	}
	return open
}

func (s *sim) holders() []*simRouter {
	var holders []*simRouter
	for _, r := range s.routers {
		if r.elector.Lease().Valid(r.clock(s.now)) {
			holders = append(holders, r)
		}
	}
	return holders
}
