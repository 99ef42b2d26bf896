package room

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Each simulation runs with the same requests as before this package (sent at once, an endpoint
// that is full refuses, one other endpoint is tried, Retry-After of 200 ms) and with a shared room.

var fleets = []int{6, 79, 350}

const seeds = 3

// capacity is the requests a second that 5 plain endpoints of 6 slots and 60 ms can do.
const capacity = 500.0

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func plain(name string, goal time.Duration, peak float64, rate func(time.Duration) float64) kind {
	return kind{
		name: name, workspace: name, goal: goal, deadline: 2 * time.Second,
		first: 60 * time.Millisecond, hold: 60 * time.Millisecond, rate: rate, peak: peak,
	}
}

func plainService(kinds ...kind) simulation {
	return simulation{
		endpoints: 5, slots: 6, plain: true, length: 32 * time.Second, returns: 2, loss: 0.05, blackout: 0.02,
		blackoutFor: 2 * time.Second, kinds: kinds,
	}
}

// mean runs the simulation with several seeds and returns the mean of a figure.
func (s simulation) mean(figure func(outcome) float64) float64 {
	sum := 0.0
	for seed := range uint64(seeds) {
		s.seed = seed + 1
		sum += figure(s.run())
	}
	return sum / seeds
}

// compare returns the mean of a figure without and with a shared room, and logs both.
func (s simulation) compare(t *testing.T, routers int, name string, figure func(outcome) float64) (before, shared float64) {
	t.Helper()
	s.routers = routers
	before = s.mean(figure)
	s.shared = true
	shared = s.mean(figure)
	t.Logf("%d routers: %s %.3f before, %.3f shared", routers, name, before, shared)
	return before, shared
}

func lost(prefix string) func(outcome) float64 {
	return func(o outcome) float64 { return o.of(prefix).lost() }
}

func bursts() simulation {
	return plainService(plain("plain", 150*time.Millisecond, 2.4*capacity, func(at time.Duration) float64 {
		if at%(5*time.Second) >= 4700*time.Millisecond {
			return 2.4 * capacity
		}
		return 0.6 * capacity
	}))
}

// burstGoal is the largest part of the requests that may be late or refused.
const burstGoal = 0.15

// burst compares the bursts with the same requests without a shared room.
func burst(t *testing.T, routers int, loadReports bool) {
	t.Helper()
	s := bursts()
	s.noHeader = !loadReports
	before, shared := s.compare(t, routers, "late and refused", lost(""))
	assert.Assert(t, before > 0.25)
	assert.Assert(t, shared < burstGoal)
}

// Guards against bursts that fill the queues of all endpoints, so that the requests of the burst
// and those after it are late.
func TestBurstOnPlainService(t *testing.T) {
	burst(t, fleets[0], true)
	burst(t, fleets[1], true)
	burst(t, fleets[0], false)
}

// Guards against the same in the largest fleet, whose views arrive when most of the burst of 300 ms has
// been sent.
func TestBurstInLargestFleet(t *testing.T) { burst(t, fleets[2], true) }

// Guards against the same where endpoints do not report their loads.
func TestBurstWithoutLoadReports(t *testing.T) {
	burst(t, fleets[1], false)
	burst(t, fleets[2], false)
}

// Guards against shares that leave slots idle while requests wait or are refused. With choices by
// true loads nearly all slots are in use; the rest is lost since choices by old loads make the
// endpoints' numbers uneven.
func TestSlotsInUse(t *testing.T) {
	for _, routers := range fleets {
		s := plainService(plain("plain", 250*time.Millisecond, 2.4*capacity, constant(2.4*capacity)))
		s.routers, s.shared, s.length = routers, true, 17*time.Second
		use := s.mean(outcome.use)
		s.exact = true
		exact := s.mean(outcome.use)
		t.Logf("%d routers: %.3f of the slots in use, %.3f with choices by true loads", routers, use, exact)
		assert.Assert(t, use > 0.7)
		assert.Assert(t, exact > 0.85)
	}
}

func workspaces(factor float64) simulation {
	var kinds []kind
	for i := range 10 {
		name, rate := fmt.Sprint("other", i), 0.06*capacity
		if i == 0 {
			name, rate = "hot", rate*factor
		}
		kinds = append(kinds, plain(name, 250*time.Millisecond, rate, constant(rate)))
	}
	return plainService(kinds...)
}

// Guards against a workspace at 9 times its usual that costs the others their responses. The goal
// is that they lose at most 0.03 of a day without it.
func TestOneWorkspaceAtNineTimes(t *testing.T) {
	for _, routers := range fleets {
		_, usual := workspaces(1).compare(t, routers, "others lost at the usual rate", lost("other"))
		before, shared := workspaces(9).compare(t, routers, "others lost at 9 times", lost("other"))
		assert.Assert(t, before > 0.5)
		assert.Assert(t, shared-usual < 0.03)
	}
}

// Guards against large workspaces that take the room of small ones, and against uneven shares of
// the large ones.
func TestSmallBesideLargeWorkspaces(t *testing.T) {
	var kinds []kind
	for i := range 3 {
		kinds = append(kinds, plain(fmt.Sprint("large", i), 250*time.Millisecond, 0.4*capacity, constant(0.4*capacity)))
	}
	for i := range 10 {
		kinds = append(kinds, plain(fmt.Sprint("small", i), 250*time.Millisecond, 0.02*capacity, constant(0.02*capacity)))
	}
	for _, routers := range fleets {
		before, shared := plainService(kinds...).compare(t, routers, "small lost", lost("small"))
		assert.Assert(t, before > 0.5)
		assert.Assert(t, shared < 0.05)
		_, spread := plainService(kinds...).compare(t, routers, "difference of the large", func(o outcome) float64 {
			large := []float64{o.of("large0").lost(), o.of("large1").lost(), o.of("large2").lost()}
			return slices.Max(large) - slices.Min(large)
		})
		assert.Assert(t, spread < 0.05)
	}
}

// draftsAndTags is a service of engines that loses a third of them from the first time to the
// second. Drafts hold a slot for twice as long as tags, and both kinds need 0.36 of the slots.
func draftsAndTags(hold, deadline, from, to, length time.Duration) simulation {
	const engines, slots = 24, 8
	kinds := []kind{
		{name: "drafts", workspace: "a", goal: 500 * time.Millisecond, first: 150 * time.Millisecond, hold: hold},
		{name: "tags", workspace: "b", goal: 2 * time.Second, first: 300 * time.Millisecond, hold: hold / 2},
	}
	for i := range kinds {
		k := &kinds[i]
		k.deadline, k.peak = deadline, 0.36*engines*slots/k.hold.Seconds()
		k.rate = constant(k.peak)
	}
	return simulation{
		endpoints: engines, slots: slots, length: length, returns: 3, loss: 0.05, blackout: 0.02,
		blackoutFor: 2 * time.Second, kinds: kinds,
		alive: func(at time.Duration) int {
			if at > from && at < to {
				return engines * 2 / 3
			}
			return engines
		},
	}
}

// Guards against drafts (500 ms) that wait behind tags (2,000 ms) when a third of the engines is
// lost. The goals are 0.92 of the drafts and 0.90 of the tags in time.
func TestDraftsBesideTagsWithLostEngines(t *testing.T) {
	for _, routers := range fleets {
		s := draftsAndTags(800*time.Millisecond, 8*time.Second, 10*time.Second, 18*time.Second, 32*time.Second)
		before, shared := s.compare(t, routers, "drafts lost", lost("drafts"))
		assert.Assert(t, before > 0.12)
		assert.Assert(t, shared < 0.08)
		_, shared = s.compare(t, routers, "tags lost", lost("tags"))
		assert.Assert(t, shared < 0.1)
	}
}

// Guards against shares that hold back streams of several seconds for longer than the loss lasts,
// or let more of them in than before.
func TestLongStreamsWithLostEngines(t *testing.T) {
	for _, routers := range fleets {
		s := draftsAndTags(4*time.Second, 30*time.Second, 20*time.Second, 40*time.Second, 62*time.Second)
		before, shared := s.compare(t, routers, "drafts lost", lost("drafts"))
		assert.Assert(t, shared < before)
		before, shared = s.compare(t, routers, "tags lost", lost("tags"))
		assert.Assert(t, shared < before)
	}
}

// Guards against refused callers that all return at the same time.
func TestReturnsAreSpread(t *testing.T) {
	s := plainService(plain("plain", 150*time.Millisecond, 6*capacity, func(at time.Duration) float64 {
		if at > 4*time.Second && at < 4200*time.Millisecond {
			return 6 * capacity
		}
		return 0.3 * capacity
	}))
	s.length, s.returns = 8*time.Second, 1
	highest := func(o outcome) float64 {
		total := 0
		for _, n := range o.returned {
			total += n
		}
		return float64(slices.Max(append(o.returned, 0))) / float64(max(1, total))
	}
	for _, routers := range fleets {
		before, shared := s.compare(t, routers, "returns in the busiest 100 ms", highest)
		assert.Assert(t, shared < before)
		assert.Assert(t, shared < 0.4)
	}
}

// Guards against a room that delays or refuses requests in calm.
func TestCalm(t *testing.T) {
	for _, routers := range fleets {
		before, shared := workspaces(1).compare(t, routers, "lost in calm", lost(""))
		assert.Assert(t, shared < before+0.01)
	}
}

// Guards against routers that send nothing, or more than before, when half of them get no views
// and the endpoints do not tell their loads.
func TestViewsLost(t *testing.T) {
	s := bursts()
	s.loss, s.blackout, s.blackoutFor, s.noHeader = 0.3, 0.5, 5*time.Second, true
	for _, routers := range fleets {
		before, shared := s.compare(t, routers, "late and refused without views", lost(""))
		assert.Assert(t, shared < before)
	}
}
