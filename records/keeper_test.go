package records

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
	"github.com/hornbeamproxy/hornbeamproxy/platform"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

// faultyStore refuses calls in an outage and loses the answers of some writes,
// which then take effect at once, later or never.
type faultyStore struct {
	*objectstore.Memory
	random  *rand.Rand
	out     bool
	losses  float64
	late    []func()
	maxList int
	puts    int
}

func (s *faultyStore) settle() {
	for _, apply := range s.late {
		apply()
	}
	s.late = nil
}

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if s.out {
		return 0, objectstore.ErrUnavailable
	}
	s.puts++
	if s.random.Float64() >= s.losses {
		return s.Memory.Put(ctx, key, value, ifVersion)
	}
	apply := func() { _, _ = s.Memory.Put(ctx, key, value, ifVersion) }
	switch s.random.IntN(3) {
	case 0:
		apply()
	case 1:
		s.late = append(s.late, apply)
	}
	return 0, objectstore.ErrAmbiguous
}

func (s *faultyStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if s.out {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	return s.Memory.Get(ctx, key)
}

func (s *faultyStore) List(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	if s.out {
		return nil, objectstore.ErrUnavailable
	}
	objects, err := s.Memory.List(ctx, prefix)
	if s.maxList > 0 && len(objects) > s.maxList {
		return nil, objectstore.ErrTooLarge
	}
	return objects, err
}

// fleet is a set of keepers over one store with a simulated clock.
type fleet struct {
	store *faultyStore
	now   time.Time
	live  []*Keeper
	drops float64
	size  func() int
}

func newFleet(seed uint64, routers int) *fleet {
	random := rand.New(rand.NewPCG(seed, 0))
	f := &fleet{store: &faultyStore{Memory: objectstore.NewMemory(), random: random}, now: night}
	f.size = func() int { return len(f.live) }
	for i := range routers {
		self := Peer{Router: fmt.Sprint("r", i), Zone: fmt.Sprint("z", i%3)}
		f.live = append(f.live, NewKeeper(KeeperOptions{
			Store: f.store, Sender: sender{f, self.Router}, Router: self.Router, Incarnation: 1, Seed: random.Uint64() | 1,
			Peers:   func() []string { return PickPeers(self, f.peers()) },
			Routers: f.size,
			Metrics: telemetry.NewMetrics(), Now: func() time.Time { return f.now },
		}))
	}
	return f
}

func (f *fleet) peers() []Peer {
	var list []Peer
	for _, k := range f.live {
		var n int
		_, _ = fmt.Sscanf(k.opts.Router, "r%d", &n)
		list = append(list, Peer{Router: k.opts.Router, Zone: fmt.Sprint("z", n%3)})
	}
	return list
}

func (f *fleet) remove(i int) *Keeper {
	k := f.live[i]
	f.live = append(append([]*Keeper{}, f.live[:i]...), f.live[i+1:]...)
	return k
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(500 * time.Millisecond) {
		for _, k := range f.live {
			k.step(context.Background(), f.now)
		}
	}
}

type sender struct {
	fleet *fleet
	from  string
}

func (s sender) Send(router string, msg api.PeerMessage) error {
	if s.fleet.store.random.Float64() < s.fleet.drops {
		return errors.New("queue is full")
	}
	for _, k := range s.fleet.live {
		if k.opts.Router == router {
			k.HandleBatch(s.from, *msg.Records)
			return nil
		}
	}
	return errors.New("router is gone")
}

// survival is the age from which a record must survive its router.
const survival = 8 * time.Second

// Guards against failures that are missing from the report, or in it twice, after
// outages of the object API, lost answers, and routers that die or leave.
func TestRecordsSurviveDeathsAndOutages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 7)
		if rapid.Bool().Draw(t, "spread") {
			f.size = func() int { return 350 }
			for _, k := range f.live {
				k.opts.Routers = f.size
			}
		}
		f.store.losses = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "losses")
		f.drops = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "drops")
		made := map[string]time.Time{}
		must := map[string]bool{}
		// A record has three copies, and two after its router has left: only as many
		// routers may die as leave one copy.
		deaths, leaves := 2, 0
		if rapid.Bool().Draw(t, "leaving") {
			deaths, leaves = 1, 2
		}
		for i := range rapid.IntRange(5, 40).Draw(t, "steps") {
			at := rapid.IntRange(0, len(f.live)-1).Draw(t, "router")
			k := f.live[at]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				f.store.out = !f.store.out
			case 1:
				if deaths > 0 {
					deaths--
					f.remove(at)
					for id, since := range made {
						if strings.HasPrefix(id, k.opts.Router+"/") && f.now.Sub(since) < survival {
							delete(must, id)
						}
					}
				}
			case 2:
				if leaves > 0 {
					leaves--
					f.remove(at)
					_ = k.Flush(context.Background()) // a loss is counted with the copies
					if k.opts.Metrics.Counter("records.missing_copies").Count() > 0 {
						t.Skip("a peer took none of three last messages, so one death may lose the record")
					}
				}
			case 3, 4, 5:
				id := k.Open(api.RecordKindEndpointDown, fmt.Sprint("e", i), "z1", "down", "", "", "")
				made[id], must[id] = f.now, true
			case 6:
				id := k.Event(api.RecordKindOrderFailed, fmt.Sprint("o", i), "", "failed", "", "", "retry it")
				made[id], must[id] = f.now, true
			case 7:
				for _, r := range k.unwritten(f.now) {
					k.Close(r.ID, "")
				}
			}
			f.run(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
		}
		f.store.out, f.store.losses = false, 0
		f.run(2 * time.Minute)
		f.store.settle()
		result, err := readDays(context.Background(), f.store, Days(night, f.now))
		assert.NilError(t, err)
		report := Build(result.Records, night, f.now, f.now)
		seen := map[string]int{}
		for _, e := range report.Entries {
			for _, id := range e.Records {
				seen[id]++
			}
		}
		for id := range must {
			assert.Equal(t, seen[id], 1, "record %s made at %s", id, made[id])
		}
		for id, n := range seen {
			assert.Equal(t, n, 1, id)
		}
		assert.Equal(t, report.Lost, 0)
	})
}

// Guards against a router that takes more than its share of the fleet's 20
// writes a second while its records change all the time.
func TestWritesAreBounded(t *testing.T) {
	f := newFleet(1, 1)
	for i := range 1800 {
		f.live[0].Event(api.RecordKindAnswerBroken, fmt.Sprint("e", i%50), "", fmt.Sprint(i), "", "", "")
		f.run(time.Second)
	}
	assert.Assert(t, f.store.puts <= 1800*20/350+writeBurst+1, "%d writes", f.store.puts)
	assert.Assert(t, f.store.puts > 60)
}

// Guards against 350 routers that exceed 20 writes a second in any minute when
// all of them see the same failures and make their interval counts together.
func TestFleetWritesAreBounded(t *testing.T) {
	f := newFleet(1, 350)
	for _, k := range f.live {
		k.opts.Peers = func() []string { return []string{"r0", "r1"} }
	}
	for minute := range 20 {
		before := f.store.puts
		for _, k := range f.live {
			k.opts.Metrics.Refused(api.RefusalOverloaded)
			if minute%8 == 0 {
				k.Open(api.RecordKindEndpointDown, fmt.Sprint("e", minute), "z", "down", "", "", "")
			}
		}
		f.run(time.Minute)
		assert.Assert(t, f.store.puts-before <= 20*60, "%d writes in minute %d", f.store.puts-before, minute)
	}
	t.Logf("%d writes in 20 minutes", f.store.puts)
}

// Guards against a store outage that sends more to peers than control traffic
// allows.
func TestHandoverIsBounded(t *testing.T) {
	f := newFleet(1, 3)
	f.store.out = true
	for i := range 600 {
		f.live[0].Event(api.RecordKindAnswerBroken, fmt.Sprint("e", i), "", strings.Repeat("x", 500), "", "", "")
	}
	f.run(time.Minute)
	bytes := 0
	for _, k := range f.live[1:] {
		for _, r := range k.held.Records("r0") {
			bytes += encodedSize(r)
		}
	}
	assert.Assert(t, bytes > 32<<10 && bytes <= handoverBurstBytes+61*handoverBytesPerSecond, "%d bytes", bytes)
}

// Guards against records that are missing from a report because a day exceeds
// the bound of one list, and against damaged objects that pass unnoticed.
func TestReadDividesLargeListsAndNamesDamage(t *testing.T) {
	f := newFleet(1, 20)
	f.store.maxList = 3
	for i, k := range f.live {
		for j := range i % 5 {
			k.Event(api.RecordKindIsolated, fmt.Sprint(j), "", "isolated", "", "", "")
			f.run(30 * time.Second)
		}
	}
	key := routerPrefix(night.Format(dayFormat), "r/x") + "1-1"
	_, err := f.store.Put(context.Background(), key, []byte("damaged"), 0)
	assert.NilError(t, err)
	result, err := readDays(context.Background(), f.store, Days(night, f.now))
	assert.NilError(t, err)
	assert.Equal(t, len(result.Records), 40)
	assert.DeepEqual(t, result.Unread, []string{"router r/x"})
	f.store.out = true
	result, err = readDays(context.Background(), f.store, Days(night, night))
	assert.ErrorIs(t, err, objectstore.ErrUnavailable)
	assert.DeepEqual(t, result.Unread, []string{"objects " + dayPrefix(night.Format(dayFormat))})
	report, err := f.live[19].Report(context.Background(), night)
	assert.NilError(t, err)
	assert.Assert(t, report.NeedsPerson && len(report.Entries) == 4)
}

// Guards against old days that are never deleted, and against the deletion of
// days within the retention.
func TestRetention(t *testing.T) {
	ctx := context.Background()
	f := newFleet(1, 3)
	kept := routerPrefix(night.AddDate(0, 0, -14).Format(dayFormat), "r9") + "1-1"
	for _, key := range []string{kept, routerPrefix(night.AddDate(0, 0, -15).Format(dayFormat), "r9") + "1-1"} {
		_, err := f.store.Put(ctx, key, nil, 0)
		assert.NilError(t, err)
	}
	f.run(150 * time.Minute)
	left, err := f.store.List(ctx, keyPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(left), 1)
	assert.Equal(t, left[0].Key, kept)
	assert.Assert(t, f.store.puts <= 2+3, "more than one router cleaned in an hour")
}

// Guards against a long failure that is missing from the report of a later day.
func TestOpenRecordIsWrittenEachDay(t *testing.T) {
	f := newFleet(1, 1)
	f.live[0].Open(api.RecordKindEndpointDown, "e1", "", "down", "", "", "")
	f.run(27*time.Hour + time.Minute)
	today, err := readDays(context.Background(), f.store, Days(f.now, f.now))
	assert.NilError(t, err)
	assert.Equal(t, len(today.Records), 1)
}

// Guards against Run that leaks goroutines or ends without writing.
func TestRunFlushes(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := newFleet(1, 1)
	k := f.live[0]
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- k.Run(ctx) }()
	k.opts.Metrics.Refused(api.RefusalOverloaded)
	k.Event(api.RecordKindIsolated, "r0", "", "isolated", "", "", "")
	cancel()
	assert.NilError(t, <-done)
	result, err := readDays(context.Background(), f.store, Days(night, night))
	assert.NilError(t, err)
	assert.Equal(t, len(result.Records), 2)
}

// Guards against a shutdown in an outage that loses what exceeds one message,
// and against a loss there that nobody learns of.
func TestFlushInOutageSendsAll(t *testing.T) {
	f := newFleet(1, 3)
	f.store.out = true
	k := f.live[0]
	for i := range maxHeldRecords {
		k.Event(api.RecordKindAnswerBroken, fmt.Sprint("e", i), "", strings.Repeat("x", 500), "", "", "")
	}
	assert.NilError(t, k.Flush(context.Background()))
	for _, peer := range f.live[1:] {
		assert.Equal(t, len(peer.held.Records("r0")), maxHeldRecords)
	}
	leaver := f.remove(1)
	assert.NilError(t, leaver.Flush(context.Background()))
	f.drops = 1
	assert.ErrorContains(t, k.Flush(context.Background()), "256 records lost")
	assert.Equal(t, k.opts.Metrics.Counter("records.lost").Count(), int64(maxHeldRecords))
}

// Guards against a keeper that fails over the real client: lost answers, an
// outage that the client itself detects, and rate limits.
func TestKeeperOverHTTP(t *testing.T) {
	stand := standin.NewPlatform("secret")
	server := httptest.NewServer(stand)
	t.Cleanup(server.Close)
	f := newFleet(1, 3)
	for _, k := range f.live {
		cfg := objectstore.DefaultClientConfig()
		cfg.ProbeInterval, cfg.MaxProbeInterval = time.Millisecond, time.Millisecond
		k.opts.Store = objectstore.NewClient(cfg, platform.Keys{Store: platform.NewStore(server.URL, "secret", k.opts.Metrics)}, k.opts.Metrics)
	}
	dead := f.live[0]
	faults := []standin.PlatformFaults{{LoseAnswers: 2}, {Outage: true}, {WritesPerSecond: 5}, {LoseProbability: 0.5}}
	for i, fault := range faults {
		stand.SetFaults(fault)
		for _, k := range f.live {
			k.Event(api.RecordKindIsolated, fmt.Sprint(k.opts.Router, i), "", "isolated", "", "", "")
		}
		f.run(15 * time.Second)
		if fault.Outage {
			f.remove(0)
		}
	}
	stand.SetFaults(standin.PlatformFaults{})
	f.run(2 * time.Minute)
	result, err := readDays(context.Background(), f.live[0].opts.Store, Days(night, f.now))
	assert.NilError(t, err)
	count := map[string]int{}
	for _, r := range result.Records {
		if r.Kind == api.RecordKindIsolated {
			count[r.Router]++
		}
	}
	assert.DeepEqual(t, count, map[string]int{dead.opts.Router: 2, "r1": 4, "r2": 4})
}

// Guards against copies that all lie in the origin's availability zone.
func TestPickPeersPrefersOtherZones(t *testing.T) {
	self := Peer{"a1", "a"}
	live := []Peer{self, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}, {"c1", "c"}}
	for range 3 {
		picked := PickPeers(self, live)
		assert.Equal(t, len(picked), 2)
		assert.Assert(t, picked[0][0] != 'a' && picked[1][0] != 'a' && picked[0][0] != picked[1][0])
	}
	assert.DeepEqual(t, PickPeers(self, live[:2]), []string{"a2"})
	assert.Equal(t, len(PickPeers(self, live[:1])), 0)
}
