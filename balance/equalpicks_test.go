package balance

import (
	"hash/fnv"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/work"
)

// Hashes of the picks in the two tests below by the code without placement by work, on
// amd64. On processors that fuse multiplication and addition, loads that lie exactly at a bound may
// round to the other side of it, so that the hashes are compared on amd64 only.
const (
	picksInSimulation = 2001179979812139893
	picksWithFailures = 17095922993068544393
)

func assertPicks(t *testing.T, got, want uint64) {
	t.Helper()
	if runtime.GOARCH == "amd64" {
		assert.Equal(t, got, want)
	}
}

// Guards against placement by work that changes picks where it is off. The picks of a fleet with a
// hot prompt, lost views and churn are the same as before it was added.
func TestPicksUnchangedInSimulation(t *testing.T) {
	hash := fnv.New64a()
	s := newSimulation(simConfig{routers: 37, endpoints: 40, hotShare: 0.3, viewInterval: 250 * time.Millisecond, lost: 0.05, churn: true, seed: 5})
	s.picked = func(id string) { _, _ = hash.Write([]byte(id)) }
	s.run()
	assertPicks(t, hash.Sum64(), picksInSimulation)
}

// Guards against the same with requests without a prompt, endpoints that fail, are tried already
// or ask for a pause, and slots that differ.
func TestPicksUnchangedWithFailures(t *testing.T) {
	hash := fnv.New64a()
	random := rand.New(rand.NewPCG(8, 1))
	b, endpoints := New("z0"), members(30)
	for i, endpoint := range endpoints {
		endpoint.Slots = 4 + i%3*8
	}
	var running []*State
	for i := range 20000 {
		now := start.Add(time.Duration(i) * 3 * time.Millisecond)
		criteria := Criteria{
			Members: endpoints, Usable: anyUsable, Key: random.Uint64N(4) * 77, Draw: random.Uint64(),
			HomeLoadFactor: 1.5, LoadFactor: 2, MaxLocal: 30, Repeatable: i%2 == 0,
		}
		if i%5 == 0 {
			criteria.Tried = endpoints[i%20 : i%20+2]
		}
		if i%100 == 0 {
			b.SetRemoteLoad(now, "other", endpoints[random.IntN(30)].ID, random.IntN(20))
		}
		state, refusal := b.Pick(now, criteria)
		if refusal != None {
			_, _ = hash.Write([]byte{byte(refusal)})
			continue
		}
		_, _ = hash.Write([]byte(state.Endpoint.ID))
		state.RecordStart(now)
		running = append(running, state)
		if len(running) > 100 {
			ended := random.IntN(len(running))
			running[ended].RecordEnd()
			switch random.IntN(40) {
			case 0:
				running[ended].RecordFailure(now)
			case 1:
				running[ended].Pause(now, 200*time.Millisecond)
			default:
				running[ended].RecordSuccess()
			}
			running[ended] = running[len(running)-1]
			running = running[:len(running)-1]
		}
	}
	assertPicks(t, hash.Sum64(), picksWithFailures)
}

// benchmarkEndpoints is the number of endpoints of a service at one router.
const benchmarkEndpoints = 300

// BenchmarkPick measures one pick by number of requests and by work.
func BenchmarkPick(b *testing.B) {
	for _, c := range []struct {
		name     string
		key      uint64
		byWork   bool
		capacity int
		busy     bool // each endpoint has reported, answered and has a request of this router
	}{
		{name: "prompt", key: 42},
		{name: "plain"},
		{name: "prompt by work", key: 42, byWork: true, capacity: 400000},
		{name: "plain by work", byWork: true},
		{name: "prompt by work, busy", key: 42, byWork: true, capacity: 400000, busy: true},
		{name: "plain by work, busy", byWork: true, busy: true},
	} {
		b.Run(c.name, func(b *testing.B) {
			balancer, endpoints := New("z0"), members(benchmarkEndpoints)
			for _, endpoint := range endpoints {
				balancer.Join(start, endpoint, true)
			}
			balancer.SetFleetLoads(start, func(string) int { return 4 }, nil)
			criteria := Criteria{Members: endpoints, Usable: anyUsable, Key: c.key, HomeLoadFactor: 1.5, LoadFactor: 2}
			if c.byWork {
				criteria.Work = &ByWork{
					Model:   work.New(work.Config{Capacity: c.capacity}),
					Request: work.Request{Prompt: 2400, Cached: 1800, MaxOutput: 300, Hint: 100, Plain: c.key == 0},
				}
			}
			if c.busy {
				model := criteria.Work.Model
				for _, endpoint := range endpoints {
					known := balancer.State(endpoint).Work()
					known.ObserveLoad(start, work.Load{Running: 4, Slots: 8, Contention: 1.5})
					known.ObserveSpeed(start, model, time.Millisecond, 2*time.Millisecond)
					known.Start(start, 1, model.Cost(criteria.Work.Request), time.Millisecond)
					balancer.State(endpoint).RecordStart(start)
					model.RecordPlaced(model.Cost(criteria.Work.Request))
				}
			}
			b.ReportAllocs()
			for i := range b.N {
				criteria.Draw = uint64(i) * 0x9e3779b97f4a7c15
				balancer.Pick(start, criteria)
			}
		})
	}
}
