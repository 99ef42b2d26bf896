package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/work"
)

// Loads of the tests: each router gets 10 requests a second. An engine of 32 slots gets 25 a second
// and has about 15 in flight: prompts of 11,800 tokens (10%), 2,400 and 830, of which three
// quarters are shared by the requests of a key, and outputs of 64 events in the mean. A plain
// endpoint of 6 slots gets 20 a second, of 30 to 90 ms each.
const (
	routerRate  = 10
	engineRate  = 25
	plainRate   = 20
	keysPer     = 8 // keys of each kind of prompt for each engine
	workFactor  = 1.3
	plainLate   = 0.02
	sameFactor  = 1.1 // a figure that should not be worse than another
	normalViews = 250 * time.Millisecond
	// overByChance is the difference of the fractions over the load bound that chance makes: 4 of
	// the 18,000 requests of the smallest fleet.
	overByChance = 0.00025
)

var fleetSizes = []int{37, 79, 350}

func engineLoad(routers int) workLoad {
	n := routers * routerRate / engineRate
	return workLoad{
		routers: routers, endpoints: n, slots: 32, rate: float64(routers * routerRate), heavy: 0.1,
		keys: uint64(n) * keysPer, view: normalViews, goal: 500 * time.Millisecond, seed: 1,
	}
}

func plainLoad(routers int) workLoad {
	return workLoad{
		routers: routers, endpoints: routers * routerRate / plainRate, slots: 6, rate: float64(routers * routerRate), plain: true,
		view: normalViews, goal: 150 * time.Millisecond, seed: 1,
	}
}

// runSeeds returns the means of the results of several seeds, since few requests of a small fleet
// are over a bound; of a fleet of 350 routers one seed has enough.
func runSeeds(load workLoad) workResult {
	seeds := uint64(4)
	if load.routers == 350 {
		seeds = 1
	}
	var mean workResult
	for range seeds {
		r := newWorkSim(load).run()
		mean.add(r, 1/float64(seeds))
		load.seed++
	}
	return mean
}

// compare runs the load by number of requests and by work, and checks in a subtest that the load
// bound is not exceeded more often by work.
func compare(t *testing.T, name string, load workLoad, check func(t *testing.T, before, now workResult)) {
	t.Run(fmt.Sprintf("%s, %d routers", name, load.routers), func(t *testing.T) {
		t.Parallel()
		before := runSeeds(load)
		load.byWork = true
		now := runSeeds(load)
		t.Logf("by number: %s", before)
		t.Logf("by work:   %s", now)
		assert.Assert(t, now.over <= before.over+overByChance, "fraction of requests over the load bound: %.5f, was %.5f", now.over, before.over)
		check(t, before, now)
	})
}

func checkBusiest(t *testing.T, before, now workResult) {
	assert.Assert(t, now.busiest < workFactor && now.busiest < before.busiest, "busiest engine %.2f x the mean, was %.2f", now.busiest, before.busiest)
	assert.Assert(t, now.late <= before.late)
}

// Load: 30% of the engines are 6 times slower for 6 s; they report nothing of it. Guards against
// slow engines that keep the prompts whose home they are, so that the busiest engine gets 1.5 times
// the mean and one request in fifty waits.
func TestUnevenEngines(t *testing.T) {
	for _, routers := range fleetSizes {
		load := engineLoad(routers)
		load.slowShare, load.slowFactor = 0.3, 6
		compare(t, "30% six times slower", load, func(t *testing.T, before, now workResult) {
			checkBusiest(t, before, now)
			assert.Assert(t, now.late < before.late/2, "late: %.4f, was %.4f", now.late, before.late)
		})
	}
}

// Load: costs spread over 50:1, while 15% of the machines take 2.5 times as long, others each
// 600 ms, and report it. Guards against a fourth figure that makes routers leave for engines that
// look free at the moment.
func TestEnginesOnSharedMachines(t *testing.T) {
	for _, routers := range fleetSizes {
		load := engineLoad(routers)
		load.noise = true
		compare(t, "noise", load, checkBusiest)
	}
}

// Load: costs spread over 50:1 with hints of the output that are absent, right at the median but
// often far off, or always 20 times too high. Guards against a placement that depends on hints.
func TestHints(t *testing.T) {
	hints := map[string]func(*rand.Rand, float64) int{
		"no hints":    nil,
		"rough hints": func(r *rand.Rand, output float64) int { return int(output * r.ExpFloat64() / 0.7) },
		"wrong hints": func(_ *rand.Rand, output float64) int { return int(20 * output) },
	}
	for name, hint := range hints {
		load := engineLoad(fleetSizes[1])
		load.hint = hint
		compare(t, name, load, checkBusiest)
	}
}

// Load: a tenth of the plain endpoints are 6 times slower for 6 s. Guards against routers that go on
// sending them as many requests as others. At 350 routers each endpoint gets a request of one
// router of its zone every 6 s, so that few routers learn of it in time.
func TestSlowPlainEndpoints(t *testing.T) {
	for _, routers := range fleetSizes {
		load := plainLoad(routers)
		load.slowShare, load.slowFactor = 0.1, 6
		compare(t, "a tenth slow", load, func(t *testing.T, before, now workResult) {
			assert.Assert(t, now.late < before.late, "late: %.4f, was %.4f", now.late, before.late)
			assert.Assert(t, now.late < plainLate || routers == 350, "late: %.4f", now.late)
		})
	}
}

// Load: plain endpoints on machines that are shared with others, as in TestEnginesOnSharedMachines.
// A request that meets a slow machine is late whatever else happens. Guards against placement that
// makes more of them late.
func TestPlainOnSharedMachines(t *testing.T) {
	for _, routers := range fleetSizes {
		load := plainLoad(routers)
		load.noise = true
		compare(t, "noise", load, func(t *testing.T, before, now workResult) {
			assert.Assert(t, now.late < before.late, "late: %.4f, was %.4f", now.late, before.late)
		})
	}
}

// Load: views each 3 s, the age at which they expire. Guards against routers that all send to the
// endpoints that were free at the last view.
func TestStaleViews(t *testing.T) {
	for _, routers := range fleetSizes {
		for name, load := range map[string]workLoad{"plain": plainLoad(routers), "engines": engineLoad(routers)} {
			load.view = 3 * time.Second
			compare(t, name+", views each 3 s", load, func(t *testing.T, before, now workResult) {
				assert.Assert(t, now.busiest < before.busiest*sameFactor)
				assert.Assert(t, now.late <= before.late*sameFactor)
			})
		}
	}
}

// Load: engines on shared machines whose reports are zero, absurd or those of another moment.
// Guards against reports that do harm: the result may not be worse than without reports.
func TestLyingReports(t *testing.T) {
	lies := map[string]func(*rand.Rand, work.Load) work.Load{
		"zeros":    func(_ *rand.Rand, l work.Load) work.Load { return work.Load{Slots: l.Slots} },
		"no slots": func(_ *rand.Rand, l work.Load) work.Load { return work.Load{Running: l.Running} },
		"absurd":   func(*rand.Rand, work.Load) work.Load { return work.Load{Running: 1 << 20, Slots: 1, Contention: 30} },
		"arbitrary": func(r *rand.Rand, _ work.Load) work.Load {
			return work.Load{Running: r.IntN(64), Slots: 32, Contention: 0.1 + 8*r.Float64()}
		},
	}
	for name, lie := range lies {
		load := engineLoad(fleetSizes[1])
		load.noise, load.reports = true, lie
		compare(t, name, load, func(t *testing.T, before, now workResult) {
			assert.Assert(t, now.busiest < workFactor, "busiest engine %.2f x the mean", now.busiest)
			assert.Assert(t, now.late < 0.005, "late: %.4f", now.late)
		})
	}
}

// Load: prompts of 11,800 tokens only, 11 a second at an engine of 32 slots and 188,940 tokens, half
// of which are in use. Guards against an engine that is given more than its memory holds. With one
// router the bound holds; with old views the requests of other routers since the last one are not
// known, and it holds more often than by number.
func TestEngineMemory(t *testing.T) {
	for _, routers := range append([]int{1}, fleetSizes...) {
		load := engineLoad(routers)
		if routers == 1 {
			load.rate, load.endpoints, load.keys = 110, 10, 80
		} else {
			load.endpoints = routers * routerRate / 11
		}
		load.heavy, load.capacity = 1, 188940
		compare(t, "long prompts", load, func(t *testing.T, before, now workResult) {
			if routers == 1 {
				assert.Equal(t, now.overfull, 0)
			}
			assert.Assert(t, now.overfull*3 <= before.overfull*2, "%d requests beyond the memory, were %d", now.overfull, before.overfull)
		})
	}
}

// Load: the ordinary mix on engines of 64 slots and 377,879 tokens, 50 requests a second each.
// Guards against the same; here no engine comes near its memory.
func TestOrdinaryEngineMemory(t *testing.T) {
	load := engineLoad(fleetSizes[1])
	load.slots, load.capacity = 64, 377879
	load.endpoints /= 2
	compare(t, "ordinary prompts", load, func(t *testing.T, _, now workResult) {
		assert.Equal(t, now.overfull, 0)
		assert.Assert(t, now.most < 0.9)
	})
}

// Load: 3 requests a second at each engine, about 2 in flight. Guards against prompts that leave
// their home although nothing is gained.
func TestPromptsStayAtHome(t *testing.T) {
	for _, routers := range fleetSizes {
		load := engineLoad(routers)
		load.endpoints = routers * routerRate / 3
		load.keys = uint64(load.endpoints)
		compare(t, "light load", load, func(t *testing.T, before, now workResult) {
			assert.Assert(t, now.hits > before.hits-0.01, "%.3f of the prompts held, were %.3f", now.hits, before.hits)
		})
	}
}

// Guards against a herd: 350 routers that have the same view, in which one endpoint has nothing to
// do, may not all send there. The fraction is that of a draw of two out of ten.
func TestNoHerdToFreeEndpoint(t *testing.T) {
	endpoints, random := members(10), rand.New(rand.NewPCG(3, 3))
	got := map[string]int{}
	const routers = 350
	for range routers {
		b := New("elsewhere")
		model := work.New(work.Config{})
		for _, e := range endpoints {
			b.Join(start, e, true)
		}
		model.RecordPlaced(work.Estimate{Prefill: time.Second})
		b.SetFleetLoads(start, func(id string) int {
			if id == "e3" {
				return 0
			}
			return 2
		}, nil)
		state, _ := b.Pick(start, Criteria{Members: endpoints, Usable: anyUsable, Draw: random.Uint64(), Work: &ByWork{Model: model, Request: work.Request{Plain: true}}})
		got[state.Endpoint.ID]++
	}
	assert.Assert(t, got["e3"] > routers/10, "the free endpoint gets %d", got["e3"])
	assert.Assert(t, got["e3"] < routers*3/10, "the free endpoint gets %d", got["e3"])
}
