package exchange

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/mirror"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
	"github.com/hornbeamproxy/hornbeamproxy/poison"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

// allOthers stands for the sums of all other routers in router.loads.
const allOthers = "*"

// promptOfTest is the prompt of all requests in flight at endpoint "e".
const promptOfTest = 77

// router is a router of a fleet on the loopback interface. own are the loads that it
// sends; loads and batches are what it has received.
type router struct {
	*Exchange
	mu      sync.Mutex
	own     map[string]int
	loads   map[string]int // "router/endpoint"
	prompts map[uint32]int // of all others, from the newest view
	batches []mirror.Batch
	poison  *poison.Detector
	leaving []uint64 // to tell the others
	left    []uint64 // told by others
	// rollouts are the staged roll-outs that the router knows, none by default.
	rollouts rolloutStub
	// ownDemands are reported, fleetDemands received.
	ownDemands, fleetDemands Demands
	stop                     context.CancelFunc
}

func newFleet(t *testing.T, n int) []*router {
	t.Helper()
	fleet := make([]*router, n)
	addresses := map[string]Peer{}
	for i := range fleet {
		r := &router{own: map[string]int{}, loads: map[string]int{}, poison: poison.New(), rollouts: rolloutStub{from: map[string]RolloutReport{}}}
		e, err := Listen(Config{
			Router: fmt.Sprintf("r%d", i), Peer: Peer{Address: "127.0.0.1:0"}, Logger: zap.NewNop(), Metrics: telemetry.NewMetrics(),
			Loads: func() Loads {
				r.mu.Lock()
				defer r.mu.Unlock()
				return Loads{Endpoints: maps.Clone(r.own), Prompts: map[uint32]int{promptOfTest: r.own["e"]}}
			},
			ReceiveLoad: func(from, endpoint string, requests int) {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.loads[from+"/"+endpoint] = requests
			},
			ReceivePrompts: func(from string, requests map[uint32]int) {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.loads[from+"/prompt"] = requests[promptOfTest]
			},
			ReceiveFleetLoads: func(atEndpoint func(string) int, prompts map[uint32]int) {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.loads[allOthers+"/e"], r.prompts = atEndpoint("e"), prompts
			},
			TakeLeaving: func() []uint64 {
				r.mu.Lock()
				defer r.mu.Unlock()
				taken := r.leaving
				r.leaving = nil
				return taken
			},
			ReceiveLeaving: func(starts []uint64) {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.left = append(r.left, starts...)
			},
			PoisonReport: func() *poison.Report {
				r.mu.Lock()
				defer r.mu.Unlock()
				return r.poison.TakeReport(time.Now())
			},
			PoisonAnnouncement: func() *poison.Report {
				r.mu.Lock()
				defer r.mu.Unlock()
				return r.poison.Announcement(time.Now())
			},
			ReceivePoison: func(report *poison.Report, announcement bool) {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.poison.Receive(time.Now(), report, announcement)
			},
			Rollouts: &r.rollouts,
			Demands: func() Demands {
				r.mu.Lock()
				defer r.mu.Unlock()
				return maps.Clone(r.ownDemands)
			},
			ReceiveDemands: func(sums Demands) {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.fleetDemands = sums
			},
			ReceiveBatch: func(batch mirror.Batch) {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.batches = append(r.batches, batch)
			},
		})
		assert.NilError(t, err)
		r.Exchange = e
		addresses[fmt.Sprintf("r%d", i)] = Peer{Address: e.socket.LocalAddr().String()}
		fleet[i] = r
	}
	for _, r := range fleet {
		r.SetPeers(addresses)
		ctx, cancel := context.WithCancel(context.Background())
		r.stop = cancel
		go func() { _ = r.Receive() }()
		go func() { _ = r.Send(ctx) }()
		t.Cleanup(func() { cancel(); r.Close() })
	}
	return fleet
}

func (r *router) load(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loads[key]
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !condition() {
		assert.Assert(t, time.Now().Before(deadline), what)
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against loads that do not reach another router, or are not reset there after
// the requests have ended.
func TestLoads(t *testing.T) {
	fleet := newFleet(t, 2)
	fleet[0].mu.Lock()
	fleet[0].own["e"] = 3
	fleet[0].mu.Unlock()
	eventually(t, "load arrives", func() bool { return fleet[1].load("r0/e") == 3 && fleet[1].load("r0/prompt") == 3 })
	fleet[0].mu.Lock()
	delete(fleet[0].own, "e")
	fleet[0].mu.Unlock()
	eventually(t, "load ends", func() bool { return fleet[1].load("r0/e") == 0 })
	assert.Equal(t, fleet[0].Routers().Count(), 2)
}

// Guards against a fleet with fewer or more relays than relayCount, also after a relay
// has stopped sending: another router then has to take its place.
func TestRelays(t *testing.T) {
	fleet := newFleet(t, 5)
	count := func() int {
		n := 0
		for _, r := range fleet {
			if relay, _ := r.RelayRole(); relay {
				n++
			}
		}
		return n
	}
	eventually(t, "three relays", func() bool { return count() == relayCount })
	var first int
	for i, r := range fleet {
		if relay, _ := r.RelayRole(); relay {
			first = i
			break
		}
	}
	fleet[first].stop()
	fleet[first].Close()
	fleet = append(fleet[:first], fleet[first+1:]...)
	eventually(t, "three relays without the silent one", func() bool { return count() == relayCount })
}

// Guards against two faults: a backup relay never forwards a batch that the first relay
// has not forwarded; a router uses the head of a relay that can no longer reach the store.
func TestBatches(t *testing.T) {
	fleet := newFleet(t, 4)
	eventually(t, "relays", func() bool {
		n := 0
		for _, r := range fleet {
			if relay, _ := r.RelayRole(); relay {
				n++
			}
		}
		return n == relayCount
	})
	var backup, follower *router
	for _, r := range fleet {
		r.mu.Lock()
		r.Exchange.mu.Lock()
		rank := r.rank
		r.Exchange.mu.Unlock()
		r.mu.Unlock()
		switch rank {
		case 1:
			backup = r
		case 3:
			follower = r
		}
	}
	batch := mirror.Batch{Kind: "k", From: 4, To: 6, Objects: []objectstore.Object{{Key: "a", Version: 6}}}
	answeredAt := time.Now().Add(-time.Second)
	backup.Announce("k", mirror.Head{Changed: 6, Fresh: true, AnsweredAt: answeredAt})
	backup.Publish(batch)
	eventually(t, "batch of the backup relay", func() bool {
		follower.mu.Lock()
		defer follower.mu.Unlock()
		return len(follower.batches) > 0
	})
	follower.mu.Lock()
	assert.DeepEqual(t, follower.batches[0], batch)
	follower.mu.Unlock()
	eventually(t, "head", func() bool { head := follower.RelayHead("k"); return head.Fresh && head.Changed == 6 })
	for range 3 {
		late := follower.RelayHead("k").AnsweredAt.Sub(answeredAt)
		assert.Assert(t, late.Abs() < 200*time.Millisecond, "the answer seems newer by %s", late)
		time.Sleep(sendInterval)
	}
	backup.Announce("k", mirror.Head{Changed: 6})
	eventually(t, "no fresh head", func() bool { return !follower.RelayHead("k").Fresh })
}

// largeBatch returns a batch whose objects are of the given size together. Their values do
// not compress well.
func largeBatch(size int) mirror.Batch {
	random := rand.NewChaCha8([32]byte{1})
	batch := mirror.Batch{Kind: "config", From: 3, To: 9}
	for i := range 4 {
		value := make([]byte, size/4)
		_, _ = random.Read(value)
		batch.Objects = append(batch.Objects, objectstore.Object{Key: fmt.Sprint(i), Version: 9, Value: value})
	}
	return batch
}

// Guards against a large change that each router has to read from the store itself, and
// against one that is too large for fragments and is not announced at all.
func TestLargeBatch(t *testing.T) {
	fleet := newFleet(t, 2)
	for size, partial := range map[int]bool{40 << 10: false, maxFragments * maxDatagram: true} {
		want := largeBatch(size)
		fleet[0].broadcastBatch(&want)
		if partial {
			want = mirror.Batch{Kind: want.Kind, From: want.From, To: want.To, Partial: true}
		}
		eventually(t, "batch arrives", func() bool {
			fleet[1].mu.Lock()
			defer fleet[1].mu.Unlock()
			n := len(fleet[1].batches)
			return n > 0 && reflect.DeepEqual(fleet[1].batches[n-1], want)
		})
	}
}

// Guards against a malformed or incomplete fragment that ends the process, and against
// memory that grows with fragments whose batches never become complete.
func TestMalformedFragments(t *testing.T) {
	p := &peer{assemblies: map[string]*assembly{}}
	for _, f := range []fragment{
		{Kind: "k", To: 1, Index: 0, Count: 0},
		{Kind: "k", To: 1, Index: 2, Count: 2},
		{Kind: "k", To: 1, Index: -1, Count: 2},
		{Kind: "k", To: 1, Index: 0, Count: maxFragments + 1},
		{Kind: "k", To: 1, Count: 1, Data: make([]byte, fragmentBytes+1)},
	} {
		compressed, err := p.addFragment(&f)
		assert.Assert(t, compressed == nil && err != nil, "%+v", f)
	}
	for _, compressed := range []string{"not compressed", "", "\x01\x02\x00\xfd\xff\xff\xff"} {
		batch, err := decompressBatch([]byte(compressed))
		assert.Assert(t, batch == nil && err != nil, "%q", compressed)
	}
	for i := range 1000 {
		_, err := p.addFragment(&fragment{Kind: fmt.Sprint("k", i), To: 1, Index: 0, Count: 2, Data: []byte{1}})
		assert.NilError(t, err)
	}
	assert.Assert(t, len(p.assemblies) <= maxAssemblies)
}

// Guards against a malformed datagram, or an error in the handling of one, that ends the
// process or keeps the next datagrams from being handled.
func TestFaultyDatagrams(t *testing.T) {
	fleet := newFleet(t, 2)
	var once sync.Once
	receive := fleet[1].config.ReceiveBatch
	fleet[1].config.Guard = telemetry.Guard{Logger: zap.NewNop(), Metrics: fleet[1].config.Metrics}
	fleet[1].config.ReceiveBatch = func(batch mirror.Batch) {
		once.Do(func() { panic("unexpected batch") })
		receive(batch)
	}
	to := fleet[1].socket.LocalAddr().(*net.UDPAddr).AddrPort()
	for _, datagram := range [][]byte{nil, {0}, {0xff}, []byte("\xbf\x01"), []byte("text"), make([]byte, maxDatagram)} {
		_, err := fleet[0].socket.WriteToUDPAddrPort(datagram, to)
		assert.NilError(t, err)
	}
	for to := range uint64(2) {
		fleet[0].broadcastBatch(&mirror.Batch{Kind: "k", To: to + 1})
	}
	eventually(t, "the batch after the faulty ones arrives", func() bool {
		fleet[1].mu.Lock()
		defer fleet[1].mu.Unlock()
		return len(fleet[1].batches) == 1
	})
	assert.Equal(t, fleet[1].config.Metrics.Counter("panics.recovered").Count(), int64(1))
	assert.Assert(t, fleet[1].config.Metrics.Counter("exchange.malformed").Count() >= 4)
}

// Guards against a datagram that ends the process.
func FuzzMessage(f *testing.F) {
	for _, m := range []message{
		{Router: "r1", HasLoads: true, Loads: map[string]int{"e": 1}, Prompts: map[uint32]int{1: 2}},
		{Router: "r1", Relay: true, View: newFleetView(Loads{Endpoints: map[string]int{"e": 3}})},
		{Router: "r1", Fragment: &fragment{Kind: "k", To: 1, Count: 1, Data: []byte{1}}},
		{Batch: &mirror.Batch{Kind: "k", To: 2}},
		{Router: "r1", PoisonReport: &poison.Report{Exits: []poison.Exit{{Endpoint: 1, Prompts: [][]uint64{{1, 2}}}}}},
		{Router: "r1", PoisonAnnouncement: &poison.Report{Quarantines: []poison.Quarantine{{Part: 1}}, Answers: []poison.Answer{{Part: 2}}}},
	} {
		datagram, err := cbor.Marshal(m)
		assert.NilError(f, err)
		f.Add(datagram)
	}
	detector := poison.New()
	e, err := Listen(Config{
		Router: "r0", Peer: Peer{Address: "127.0.0.1:0"}, Logger: zap.NewNop(), Metrics: telemetry.NewMetrics(),
		ReceiveLoad: func(string, string, int) {}, ReceivePrompts: func(string, map[uint32]int) {},
		ReceiveFleetLoads: func(func(string) int, map[uint32]int) {}, ReceiveBatch: func(mirror.Batch) {},
		ReceiveLeaving: func([]uint64) {},
		ReceivePoison:  func(report *poison.Report, announcement bool) { detector.Receive(time.Now(), report, announcement) },
	})
	assert.NilError(f, err)
	f.Cleanup(e.Close)
	e.SetPeers(map[string]Peer{"r1": {Address: "127.0.0.1:9"}})
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		var m message
		if cbor.Unmarshal(datagram, &m) == nil {
			e.handleMessage(time.Now(), m)
			e.sumLoads(time.Now())
		}
	})
}
