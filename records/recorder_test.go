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

// faultyStore fails all calls during an outage. It returns ErrAmbiguous for some
// writes, which then take effect at once, later or never.
type faultyStore struct {
	*objectstore.Memory
	random   *rand.Rand
	outage   bool
	lossRate float64
	delayed  []func()
	maxList  int
	puts     int
}

func (s *faultyStore) applyDelayed() {
	for _, apply := range s.delayed {
		apply()
	}
	s.delayed = nil
}

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if s.outage {
		return 0, objectstore.ErrUnavailable
	}
	s.puts++
	if s.random.Float64() >= s.lossRate {
		return s.Memory.Put(ctx, key, value, ifVersion)
	}
	apply := func() { _, _ = s.Memory.Put(ctx, key, value, ifVersion) }
	switch s.random.IntN(3) {
	case 0:
		apply()
	case 1:
		s.delayed = append(s.delayed, apply)
	}
	return 0, objectstore.ErrAmbiguous
}

func (s *faultyStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if s.outage {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	return s.Memory.Get(ctx, key)
}

func (s *faultyStore) List(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	if s.outage {
		return nil, objectstore.ErrUnavailable
	}
	objects, err := s.Memory.List(ctx, prefix)
	if s.maxList > 0 && len(objects) > s.maxList {
		return nil, objectstore.ErrTooLarge
	}
	return objects, err
}

// fleet is a set of routers' recorders that share a store and a simulated clock.
type fleet struct {
	store    *faultyStore
	now      time.Time
	live     []*Recorder
	dropRate float64
	size     func() int
}

func newFleet(seed uint64, routers int) *fleet {
	random := rand.New(rand.NewPCG(seed, 0))
	f := &fleet{store: &faultyStore{Memory: objectstore.NewMemory(), random: random}, now: testStart}
	f.size = func() int { return len(f.live) }
	for i := range routers {
		self := Peer{Router: fmt.Sprint("r", i), Zone: fmt.Sprint("z", i%3)}
		f.live = append(f.live, NewRecorder(RecorderOptions{
			Store: f.store, Sender: sender{f, self.Router}, Router: self.Router, Incarnation: 1, Seed: random.Uint64() | 1,
			Peers:       func() []string { return PickPeers(self, f.peers()) },
			RouterCount: f.size,
			Metrics:     telemetry.NewMetrics(), Now: func() time.Time { return f.now },
		}))
	}
	return f
}

func (f *fleet) peers() []Peer {
	var list []Peer
	for _, r := range f.live {
		var n int
		_, _ = fmt.Sscanf(r.opts.Router, "r%d", &n)
		list = append(list, Peer{Router: r.opts.Router, Zone: fmt.Sprint("z", n%3)})
	}
	return list
}

func (f *fleet) remove(i int) *Recorder {
	r := f.live[i]
	f.live = append(append([]*Recorder{}, f.live[:i]...), f.live[i+1:]...)
	return r
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(500 * time.Millisecond) {
		for _, r := range f.live {
			r.step(context.Background(), f.now)
		}
	}
}

type sender struct {
	fleet *fleet
	from  string
}

func (s sender) Send(router string, msg api.PeerMessage) error {
	if s.fleet.store.random.Float64() < s.fleet.dropRate {
		return errors.New("queue is full")
	}
	for _, r := range s.fleet.live {
		if r.opts.Router == router {
			r.HandleBatch(s.from, *msg.Records)
			return nil
		}
	}
	return errors.New("router is gone")
}

// minSurvivalAge is the age from which a record must survive the crash of its
// router: by then it is written or handed over.
const minSurvivalAge = 8 * time.Second

// The object API has outages and loses responses, and routers crash and shut down.
// Guards against records that are missing from the report or appear in it twice.
func TestRecordsSurviveDeathsAndOutages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 7)
		if rapid.Bool().Draw(t, "spread") {
			f.size = func() int { return 350 }
			for _, r := range f.live {
				r.opts.RouterCount = f.size
			}
		}
		f.store.lossRate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "losses")
		f.dropRate = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "drops")
		made := map[string]time.Time{}
		mustSurvive := map[string]bool{}
		// A record has three copies, and two after its router has shut down. The
		// number of crashes is limited so that one copy remains.
		crashes, shutdowns := 2, 0
		if rapid.Bool().Draw(t, "leaving") {
			crashes, shutdowns = 1, 2
		}
		for i := range rapid.IntRange(5, 40).Draw(t, "steps") {
			at := rapid.IntRange(0, len(f.live)-1).Draw(t, "router")
			r := f.live[at]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				f.store.outage = !f.store.outage
			case 1:
				if crashes > 0 {
					crashes--
					f.remove(at)
					for id, since := range made {
						if strings.HasPrefix(id, r.opts.Router+"/") && f.now.Sub(since) < minSurvivalAge {
							delete(mustSurvive, id)
						}
					}
				}
			case 2:
				if shutdowns > 0 {
					shutdowns--
					f.remove(at)
					_ = r.Flush(context.Background()) // missing copies are checked below
					if r.opts.Metrics.Counter("records.missing_copies").Count() > 0 {
						t.Skip("a peer accepted none of the last three messages, so one crash may lose the record")
					}
				}
			case 3, 4, 5:
				id := r.Open(api.RecordKindEndpointDown, fmt.Sprint("e", i), "z1", "down", "", "", "")
				made[id], mustSurvive[id] = f.now, true
			case 6:
				id := r.RecordEvent(api.RecordKindOrderFailed, fmt.Sprint("o", i), "", "failed", "", "", "retry it")
				made[id], mustSurvive[id] = f.now, true
			case 7:
				for _, record := range r.recordsInMemory(f.now) {
					r.Close(record.ID, "")
				}
			}
			f.run(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
		}
		f.store.outage, f.store.lossRate = false, 0
		f.run(2 * time.Minute)
		f.store.applyDelayed()
		result, err := readDays(context.Background(), f.store, Days(testStart, f.now))
		assert.NilError(t, err)
		report := BuildReport(result.Records, testStart, f.now, f.now)
		seen := map[string]int{}
		for _, e := range report.Entries {
			for _, id := range e.Records {
				seen[id]++
			}
		}
		for id := range mustSurvive {
			assert.Equal(t, seen[id], 1, "record %s made at %s", id, made[id])
		}
		for id, n := range seen {
			assert.Equal(t, n, 1, id)
		}
		assert.Equal(t, report.Lost, 0)
	})
}

// Guards against a router that exceeds its share of the fleet's 20 writes per
// second while its records change continuously.
func TestWritesAreBounded(t *testing.T) {
	f := newFleet(1, 1)
	for i := range 1800 {
		f.live[0].RecordEvent(api.RecordKindAnswerBroken, fmt.Sprint("e", i%50), "", fmt.Sprint(i), "", "", "")
		f.run(time.Second)
	}
	assert.Assert(t, f.store.puts <= 1800*20/350+writeBurst+1, "%d writes", f.store.puts)
	assert.Assert(t, f.store.puts > 60)
}

// Guards against a fleet of 350 routers that exceeds 20 writes per second in any
// minute because all of them record the same failures and interval counts at
// the same time.
func TestFleetWritesAreBounded(t *testing.T) {
	f := newFleet(1, 350)
	for _, r := range f.live {
		r.opts.Peers = func() []string { return []string{"r0", "r1"} }
	}
	for minute := range 20 {
		before := f.store.puts
		for _, r := range f.live {
			r.opts.Metrics.CountRefusal(api.RefusalOverloaded)
			if minute%8 == 0 {
				r.Open(api.RecordKindEndpointDown, fmt.Sprint("e", minute), "z", "down", "", "", "")
			}
		}
		f.run(time.Minute)
		assert.Assert(t, f.store.puts-before <= 20*60, "%d writes in minute %d", f.store.puts-before, minute)
	}
	t.Logf("%d writes in 20 minutes", f.store.puts)
}

// Guards against a router that sends its peers more bytes during an outage of the
// object API than handoverBytesPerSecond and handoverBurstBytes allow.
func TestHandoverIsBounded(t *testing.T) {
	f := newFleet(1, 3)
	f.store.outage = true
	for i := range 600 {
		f.live[0].RecordEvent(api.RecordKindAnswerBroken, fmt.Sprint("e", i), "", strings.Repeat("x", 500), "", "", "")
	}
	f.run(time.Minute)
	bytes := 0
	for _, r := range f.live[1:] {
		for _, record := range r.peerCopies.Records("r0") {
			bytes += encodedSize(record)
		}
	}
	assert.Assert(t, bytes > 32<<10 && bytes <= handoverBurstBytes+61*handoverBytesPerSecond, "%d bytes", bytes)
}

// Guards against these faults: records are missing from a report because a day has
// more objects than one call of List can return; a report does not name the routers
// whose objects are damaged.
func TestReadDividesLargeListsAndNamesDamage(t *testing.T) {
	f := newFleet(1, 20)
	f.store.maxList = 3
	for i, r := range f.live {
		for j := range i % 5 {
			r.RecordEvent(api.RecordKindIsolated, fmt.Sprint(j), "", "isolated", "", "", "")
			f.run(30 * time.Second)
		}
	}
	key := routerPrefix(testStart.Format(dayFormat), "r/x") + "1-1"
	_, err := f.store.Put(context.Background(), key, []byte("damaged"), 0)
	assert.NilError(t, err)
	result, err := readDays(context.Background(), f.store, Days(testStart, f.now))
	assert.NilError(t, err)
	assert.Equal(t, len(result.Records), 40)
	assert.DeepEqual(t, result.Unread, []string{"router r/x"})
	f.store.outage = true
	result, err = readDays(context.Background(), f.store, Days(testStart, testStart))
	assert.ErrorIs(t, err, objectstore.ErrUnavailable)
	assert.DeepEqual(t, result.Unread, []string{"objects " + dayPrefix(testStart.Format(dayFormat))})
	report, err := f.live[19].Report(context.Background(), testStart)
	assert.NilError(t, err)
	assert.Assert(t, report.NeedsPerson && len(report.Entries) == 4)
}

// Guards against expired days that are never deleted, and against the deletion of
// days within the retention.
func TestRetention(t *testing.T) {
	ctx := context.Background()
	f := newFleet(1, 3)
	kept := routerPrefix(testStart.AddDate(0, 0, -14).Format(dayFormat), "r9") + "1-1"
	for _, key := range []string{kept, routerPrefix(testStart.AddDate(0, 0, -15).Format(dayFormat), "r9") + "1-1"} {
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

// Guards against a failure that lasts for several days but is missing from the objects
// of the later ones, so that a report of a later day does not list it.
func TestOpenRecordIsWrittenEachDay(t *testing.T) {
	f := newFleet(1, 1)
	f.live[0].Open(api.RecordKindEndpointDown, "e1", "", "down", "", "", "")
	f.run(27*time.Hour + time.Minute)
	today, err := readDays(context.Background(), f.store, Days(f.now, f.now))
	assert.NilError(t, err)
	assert.Equal(t, len(today.Records), 1)
}

// Guards against a Run that leaks goroutines or returns without writing the
// records.
func TestRunFlushes(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := newFleet(1, 1)
	r := f.live[0]
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- r.Run(ctx) }()
	r.opts.Metrics.CountRefusal(api.RefusalOverloaded)
	r.RecordEvent(api.RecordKindIsolated, "r0", "", "isolated", "", "", "")
	cancel()
	assert.NilError(t, <-done)
	result, err := readDays(context.Background(), f.store, Days(testStart, testStart))
	assert.NilError(t, err)
	assert.Equal(t, len(result.Records), 2)
}

// A router shuts down during an outage of the object API. Guards against these faults:
// records that do not fit into one message to a peer are lost; a loss is neither
// counted nor returned as an error.
func TestFlushInOutageSendsAll(t *testing.T) {
	f := newFleet(1, 3)
	f.store.outage = true
	r := f.live[0]
	for i := range maxCopiesPerOrigin {
		r.RecordEvent(api.RecordKindAnswerBroken, fmt.Sprint("e", i), "", strings.Repeat("x", 500), "", "", "")
	}
	assert.NilError(t, r.Flush(context.Background()))
	for _, peer := range f.live[1:] {
		assert.Equal(t, len(peer.peerCopies.Records("r0")), maxCopiesPerOrigin)
	}
	leaver := f.remove(1)
	assert.NilError(t, leaver.Flush(context.Background()))
	f.dropRate = 1
	assert.ErrorContains(t, r.Flush(context.Background()), "256 records lost")
	assert.Equal(t, r.opts.Metrics.Counter("records.lost").Count(), int64(maxCopiesPerOrigin))
}

// Guards against records that are lost when the store is the real client, which detects
// outages itself, and the platform loses responses and limits the rate of calls.
func TestRecorderOverHTTP(t *testing.T) {
	stand := standin.NewPlatform("secret")
	server := httptest.NewServer(stand)
	t.Cleanup(server.Close)
	f := newFleet(1, 3)
	for _, r := range f.live {
		cfg := objectstore.DefaultClientConfig()
		cfg.ProbeInterval, cfg.MaxProbeInterval = time.Millisecond, time.Millisecond
		r.opts.Store = objectstore.NewClient(cfg, platform.KeyStore{Store: platform.NewStore(server.URL, "secret", r.opts.Metrics)}, r.opts.Metrics)
	}
	dead := f.live[0]
	faults := []standin.PlatformFaults{{LoseResponses: 2}, {Outage: true}, {WritesPerSecond: 5}, {LoseProbability: 0.5}}
	for i, fault := range faults {
		stand.SetFaults(fault)
		for _, r := range f.live {
			r.RecordEvent(api.RecordKindIsolated, fmt.Sprint(r.opts.Router, i), "", "isolated", "", "", "")
		}
		f.run(15 * time.Second)
		if fault.Outage {
			f.remove(0)
		}
	}
	stand.SetFaults(standin.PlatformFaults{})
	f.run(2 * time.Minute)
	result, err := readDays(context.Background(), f.live[0].opts.Store, Days(testStart, f.now))
	assert.NilError(t, err)
	count := map[string]int{}
	for _, r := range result.Records {
		if r.Kind == api.RecordKindIsolated {
			count[r.Router]++
		}
	}
	assert.DeepEqual(t, count, map[string]int{dead.opts.Router: 2, "r1": 4, "r2": 4})
}

// Guards against copies that are all held in the origin's availability zone.
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
