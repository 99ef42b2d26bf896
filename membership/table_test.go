package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// Messages are lost, delayed and reordered, the network is partitioned and routers
// restart. Guards against these faults: the tables do not converge after all that has
// ended; a dead router is still an owner 30 s later; a dead router becomes an owner again
// through stale gossip.
func TestFleetConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 9).Draw(t, "routers")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), n, 3)
		s.run(3*time.Second, nil)
		s.latency = func() time.Duration {
			return time.Duration(s.random.Int64N(int64(500 * time.Millisecond)))
		}
		lossy := rapid.IntRange(0, 60).Draw(t, "loss percent")
		split := rapid.IntRange(0, n).Draw(t, "partition")
		s.lost = func(from, to *simNode) bool {
			apart := (from.cfg.ID < s.nodes[split%n].cfg.ID) != (to.cfg.ID < s.nodes[split%n].cfg.ID)
			return apart || s.random.IntN(100) < lossy
		}
		for range rapid.IntRange(0, 6).Draw(t, "faults") {
			node := s.nodes[rapid.IntRange(0, n-1).Draw(t, "router")]
			if node.dead {
				node.cfg.Incarnation++
				s.start(node)
			} else {
				node.dead = true
			}
			s.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms"))*time.Millisecond, nil)
		}
		s.lost = func(_, _ *simNode) bool { return false }
		s.run(30*time.Second, nil)
		for range 40 {
			s.run(500*time.Millisecond, nil)
			_, extra := s.wrongOwners()
			assert.Equal(t, extra, 0, "a dead router is an owner")
		}
		s.run(maxDamping, nil)
		missing, extra := s.wrongOwners()
		assert.Equal(t, missing+extra, 0)
	})
}

func newTable(now time.Time) *Table {
	return New(now, Config{ID: "a", Address: "1:1", Zone: "z", Incarnation: 5, Seed: 1})
}

func gossipOf(entries ...api.GossipEntry) *api.Gossip { return &api.Gossip{Entries: entries} }

func owns(t *Table, now time.Time, id string) bool {
	owners, _ := t.EligibleOwners(now)
	return contains(owners, id)
}

// tick moves the clock in steps of one interval, as the gossip loop does.
func tick(t *Table, now time.Time, intervals int) time.Time {
	for range intervals {
		now = now.Add(t.Interval())
		t.Tick(now)
	}
	return now
}

// Guards against these faults: a silent router stays an owner; its entry is removed too
// early or too late; stale gossip adds the entry again.
func TestSilentRouterIsSuspectedAndRemoved(t *testing.T) {
	now := time.Unix(1, 0)
	table := newTable(now)
	b := api.GossipEntry{R: "b", A: "2:2", I: 1, H: 10}
	table.Merge(now, "b", gossipOf(b))
	assert.Assert(t, owns(table, now, "b"))
	now = tick(table, now, SuspectIntervals)
	assert.Assert(t, owns(table, now, "b"))
	now = tick(table, now, 1)
	assert.Assert(t, !owns(table, now, "b"))
	now = tick(table, now, RemoveIntervals)
	assert.Equal(t, len(table.Members(now)), 1)
	b.H = 12
	table.Merge(now, "c", gossipOf(b))
	assert.Equal(t, len(table.Members(now)), 1)
	b.H = 10 + RemoveIntervals + 1
	table.Merge(now, "c", gossipOf(b))
	assert.Equal(t, len(table.Members(now)), 2)
}

// Guards against a router that suspects all others after a pause of its own process.
func TestOwnPauseSuspectsNobody(t *testing.T) {
	now := time.Unix(1, 0)
	table := newTable(now)
	table.Merge(now, "b", gossipOf(api.GossipEntry{R: "b", A: "2:2", I: 1, H: 10}))
	assert.Assert(t, owns(table, now.Add(time.Minute), "b"))
}

// Guards against a flapping router that becomes an owner again at once.
func TestFlappingDoublesTheDamping(t *testing.T) {
	now := time.Unix(1, 0)
	table := newTable(now)
	b := api.GossipEntry{R: "b", A: "2:2", I: 1, H: 1}
	table.Merge(now, "b", gossipOf(b))
	for _, wait := range []time.Duration{baseDamping, 2 * baseDamping, 4 * baseDamping} {
		now = tick(table, now, SuspectIntervals+1)
		b.H++
		table.Merge(now, "b", gossipOf(b))
		const step = 100 * time.Millisecond
		for passed := time.Duration(0); passed < wait; passed += step {
			assert.Assert(t, !owns(table, now, "b"))
			now = now.Add(step)
			b.H++
			table.Merge(now, "b", gossipOf(b))
		}
		assert.Assert(t, owns(table, now, "b"))
	}
}

// Guards against a restarted router whose entry stays overridden by an entry of its
// earlier process with a higher incarnation.
func TestOwnHigherIncarnationIsRefuted(t *testing.T) {
	now := time.Unix(1, 0)
	table := newTable(now)
	table.Merge(now, "b", gossipOf(api.GossipEntry{R: "a", I: 9, H: 100, L: true}))
	assert.Equal(t, table.Incarnation(), uint64(10))
	assert.Assert(t, owns(table, now, "a"))
	assert.Equal(t, table.NextRound(table.NextAt()).Message.Entries[0].I, uint64(10))
}

// Guards against these faults: a router that is leaving, or that this router cannot
// reach, is an owner; a call of EligibleOwners allocates although the owners are unchanged.
func TestLeavingAndLocalSuspicion(t *testing.T) {
	now := time.Unix(1, 0)
	table := newTable(now)
	b := api.GossipEntry{R: "b", A: "2:2", I: 1, H: 1}
	table.Merge(now, "b", gossipOf(b))
	table.SuspectLocally("b", now.Add(time.Second))
	assert.Assert(t, !owns(table, now, "b"))
	_, before := table.EligibleOwners(now)
	assert.Equal(t, testing.AllocsPerRun(10, func() { table.EligibleOwners(now) }), 0.0)
	now = now.Add(time.Second)
	assert.Assert(t, owns(table, now, "b"))
	_, after := table.EligibleOwners(now)
	assert.Assert(t, after != before)
	b.L = true
	table.Merge(now, "b", gossipOf(b))
	assert.Assert(t, !owns(table, now, "b"))
	table.SetLeaving(now)
	assert.Assert(t, !owns(table, now, "a"))
}

// Guards against packed input that causes a panic or yields more loads than the limit.
func FuzzMerge(f *testing.F) {
	now := time.Unix(1, 0)
	other := New(now, Config{ID: "b", Address: "2:2", Zone: "z", Incarnation: 1})
	other.SetPools(now, []api.PoolCount{{M: "m", N: 2, F: 3}})
	message := other.NextRound(now).Message
	f.Add(message.B, message.L)
	f.Fuzz(func(t *testing.T, heartbeats, loads []byte) {
		table := newTable(now)
		full := other.FullTable(now)
		table.Merge(now, "b", &full)
		table.Merge(now, "b", &api.Gossip{B: heartbeats, L: loads, M: []string{"m"}, V: 3})
		assert.Assert(t, table.PoolLoad(now, "m").Routers <= 2*maxPools)
	})
}

func BenchmarkRound350(b *testing.B) {
	s := newSimulation(1, 350, 6)
	s.run(30*s.nodes[0].intervalFor(350), nil)
	b.ReportAllocs()
	for b.Loop() {
		node := s.nodes[7]
		round := node.NextRound(s.now)
		for range 3 {
			node.Merge(s.now, "router-008", &round.Message)
		}
	}
}

// Guards against a returned router that still counts as dead. The version of the owners
// does not change before the router may own resources, so MembersVersion must change.
func TestMembersVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newTable(now)
	entry := api.GossipEntry{R: "b", A: "2:2", Z: "z", I: 1, H: 1}
	table.Merge(now, "b", gossipOf(entry))
	joined := table.MembersVersion()
	for range 2 * RemoveIntervals {
		now = now.Add(table.Interval())
		table.Tick(now)
	}
	lost := table.MembersVersion()
	assert.Assert(t, lost != joined)
	_, owners := table.EligibleOwners(now)
	entry.H += 3 * RemoveIntervals
	table.Merge(now, "b", gossipOf(entry))
	_, after := table.EligibleOwners(now)
	assert.Equal(t, after, owners, "the returned router may not own resources yet")
	assert.Assert(t, table.MembersVersion() != lost)
}
