package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/peer"
)

// simulation runs many tables on one simulated clock and network.
type simulation struct {
	now     time.Time
	random  *rand.Rand
	nodes   []*simNode
	byAddr  map[string]*simNode
	queue   eventQueue
	latency func() time.Duration
	lost    func(from, to *simNode) bool
	every   time.Duration // least time between two calls of done in run
	bytes   int
	rounds  int
	entries int
}

type simNode struct {
	*Table
	cfg  Config
	dead bool
	due  time.Time
}

type event struct {
	at time.Time
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(seed uint64, n, zones int) *simulation {
	s := &simulation{
		now:    time.Unix(1000, 0),
		random: rand.New(rand.NewPCG(seed, 1)),
		byAddr: map[string]*simNode{},
		every:  20 * time.Millisecond,
		lost:   func(_, _ *simNode) bool { return false },
	}
	s.latency = func() time.Duration {
		return time.Millisecond + time.Duration(s.random.Int64N(int64(2*time.Millisecond)))
	}
	for i := range n {
		node := &simNode{cfg: Config{
			ID: fmt.Sprintf("router-%03d", i), Address: fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250),
			Zone: fmt.Sprintf("zone-%d", i%zones), Incarnation: 1_700_000_000_000, Seed: seed + uint64(i),
		}}
		s.nodes = append(s.nodes, node)
		s.byAddr[node.cfg.Address] = node
		s.start(node)
	}
	return s
}

// start runs a new process of a node, which joins through another node.
func (s *simulation) start(n *simNode) {
	n.dead = false
	n.Table = New(s.now, n.cfg)
	n.SetPools(s.now, []api.PoolCount{{M: "model-a", N: 1, F: 20}, {M: "model-b", N: 1, F: 30}})
	for _, other := range s.nodes {
		n.AddContact(other.cfg.ID, other.cfg.Address)
		other.AddContact(n.cfg.ID, n.cfg.Address)
	}
	for range 8 {
		other := s.nodes[s.random.IntN(len(s.nodes))]
		if other != n && !other.dead && !s.lost(n, other) {
			s.sync(n, other)
			break
		}
	}
	s.schedule(n)
}

func (s *simulation) sync(a, b *simNode) {
	toB, toA := a.FullTable(s.now), b.FullTable(s.now)
	a.Merge(s.now, b.cfg.ID, &toA)
	b.Merge(s.now, a.cfg.ID, &toB)
	for _, n := range []*simNode{a, b} {
		s.schedule(n)
	}
}

func (s *simulation) at(at time.Time, do func()) { heap.Push(&s.queue, event{at: at, do: do}) }

func (s *simulation) schedule(n *simNode) {
	if n.due = latest(n.NextAt(), s.now); n.dead {
		return
	}
	table, due := n.Table, n.due
	s.at(due, func() {
		if n.Table == table && n.due.Equal(due) && !n.dead {
			s.round(n)
		}
	})
}

func (s *simulation) round(n *simNode) {
	round := n.NextRound(s.now)
	size, _ := peer.EncodedSize(&api.PeerMessage{Gossip: &round.Message})
	s.rounds++
	s.entries += len(round.Message.B)/heartbeatBytes + len(round.Message.Entries)
	for _, target := range round.Peers {
		to := s.byAddr[target.Address]
		s.bytes += size + 8 // the longest header of a WebSocket frame of up to 64 KiB
		if to == nil || s.lost(n, to) {
			continue
		}
		message := round.Message
		s.at(s.now.Add(s.latency()), func() { s.deliver(n, to, &message) })
	}
	s.schedule(n)
}

func (s *simulation) deliver(from, to *simNode, message *api.Gossip) {
	if to.dead {
		return
	}
	if to.Merge(s.now, from.cfg.ID, message) && !from.dead && !s.lost(to, from) {
		s.sync(to, from)
	}
	if to.NextAt().Before(to.due) {
		s.schedule(to)
	}
}

// run advances the clock by d and returns d. If done is given, it is checked at most
// once per s.every; when it returns true, run stops and returns the time passed.
func (s *simulation) run(d time.Duration, done func() bool) time.Duration {
	start := s.now
	end := start.Add(d)
	checkAt := start
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(event)
		s.now = latest(s.now, next.at)
		next.do()
		if done != nil && !s.now.Before(checkAt) {
			if done() {
				return s.now.Sub(start)
			}
			checkAt = s.now.Add(s.every)
		}
	}
	s.now = end
	return d
}

// wrongOwners compares the owners that each live router knows with the live routers. It
// returns how many live routers are missing and how many dead ones are listed, summed
// over all live routers.
func (s *simulation) wrongOwners() (missing, extra int) {
	live := 0
	for _, n := range s.nodes {
		if !n.dead {
			live++
		}
	}
	for _, n := range s.nodes {
		if n.dead {
			continue
		}
		owners, _ := n.EligibleOwners(s.now)
		right := 0
		for _, m := range s.nodes {
			if !m.dead && contains(owners, m.cfg.ID) {
				right++
			}
		}
		missing += live - right
		extra += len(owners) - right
	}
	return missing, extra
}

func contains(sorted []string, id string) bool {
	low, high := 0, len(sorted)
	for low < high {
		if mid := (low + high) / 2; sorted[mid] < id {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low < len(sorted) && sorted[low] == id
}

// BenchmarkFleet reports the gossip bytes of a fleet and the time that revisions and
// failures take to reach all routers. Each figure is of one simulated run, so run the
// benchmark with -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{8, 50, 150, 350} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, n)
			}
		})
	}
}

func measureFleet(b *testing.B, n int) {
	s := newSimulation(1, n, 6)
	interval := s.nodes[0].intervalFor(n)
	s.run(40*interval, nil)
	s.bytes, s.rounds, s.entries = 0, 0, 0
	window, wrong, checks := 60*interval, 0, 0
	s.every = interval / 2
	s.run(window, func() bool {
		missing, _ := s.wrongOwners()
		wrong += missing
		checks++
		return false
	})
	perSecond := float64(s.bytes) / window.Seconds() / float64(n)
	b.ReportMetric(perSecond, "B/s/member")
	b.ReportMetric(float64(s.entries)/float64(s.rounds), "entries/message")
	b.ReportMetric(interval.Seconds()*1000, "interval-ms")
	b.ReportMetric(float64(wrong)/float64(checks), "false-suspicions")
	oldest := time.Duration(0)
	for _, node := range s.nodes {
		load := node.PoolLoad(s.now, "model-a")
		assert.Equal(b, load.Routers, n)
		oldest = max(oldest, load.Age)
	}
	b.ReportMetric(oldest.Seconds()*1000, "oldest-load-ms")
	s.every = 20 * time.Millisecond
	s.nodes[n/3].SetRevision(s.now, 441)
	s.schedule(s.nodes[n/3])
	spread := s.run(time.Minute, func() bool {
		for _, node := range s.nodes {
			if revision, _ := node.HighestRevision(); revision != 441 {
				return false
			}
		}
		return true
	})
	b.ReportMetric(spread.Seconds()*1000, "revision-ms")
	s.run(10*interval, nil)
	s.every = interval / 10
	s.nodes[n/2].dead = true
	first := s.run(5*time.Minute, func() bool {
		owners, _ := s.nodes[0].EligibleOwners(s.now)
		return !contains(owners, s.nodes[n/2].cfg.ID)
	})
	all := first + s.run(5*time.Minute, func() bool {
		_, extra := s.wrongOwners()
		return extra == 0
	})
	b.ReportMetric(all.Seconds()*1000, "detection-ms")
	b.ReportMetric(0, "ns/op")
}
