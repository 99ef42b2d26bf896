package edge

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/config"
	"github.com/hornbeamproxy/hornbeamproxy/exchange"
	"github.com/hornbeamproxy/hornbeamproxy/gateway"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
	"github.com/hornbeamproxy/hornbeamproxy/platform"
	"github.com/hornbeamproxy/hornbeamproxy/quota"
	"github.com/hornbeamproxy/hornbeamproxy/rollout"
	"github.com/hornbeamproxy/hornbeamproxy/roster"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

// rolloutSite is a store with the roll-out of a service, and the counts that a router of the fleet
// reports.
type rolloutSite struct {
	t        *testing.T
	platform *standin.Platform
	url      string
	bounds   rollout.Bounds
	counter  *rollout.Counter
	relays   []*rolloutRelay
}

// rolloutRelay is a relay without a network between it and the others. It is its own peers.
type rolloutRelay struct {
	*rollouts
	site      *rolloutSite
	first     bool
	heard     int
	mu        sync.Mutex
	announced []exchange.RolloutStatus
}

func (r *rolloutRelay) FirstFor(string) bool        { return r.first }
func (r *rolloutRelay) RelayRole() (bool, bool)     { return true, r.first }
func (r *rolloutRelay) Heard(time.Time) (int, int)  { return r.heard, 3 }
func (r *rolloutRelay) Routers() *quota.Routers     { return quota.NewRouters(r.router, nil) }
func (r *rolloutRelay) AnnounceRollouts()           { r.announce() }
func (r *rolloutRelay) order() (o *rolloutOrder)    { return r.orders["s"] }
func (r *rolloutRelay) inForce() rollout.Status     { return r.gateway.RolloutStatus("s") }
func (r *rolloutRelay) receive(from *rolloutRelay)  { r.ReceiveStatuses(time.Now(), from.Statuses()) }
func (r *rolloutRelay) tickNow(ctx context.Context) { r.tick(ctx, time.Now()) }

func (r *rolloutRelay) announce() {
	statuses := r.Statuses()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.announced = append(r.announced, statuses...)
}

func newRolloutSite(t *testing.T) *rolloutSite {
	t.Helper()
	s := &rolloutSite{t: t, platform: standin.NewPlatform("")}
	server := httptest.NewServer(s.platform)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	s.url = server.URL
	return s
}

func (s *rolloutSite) newOrder(target string) {
	s.platform.SetSpec(platform.KindRollouts, "s", map[string]any{"service": "s", "target": target, "period_s": 12})
	s.counter = nil
}

// stored returns the roll-out in the store and its status.
func (s *rolloutSite) stored() (rollout.Rollout, rollout.Status) {
	store := platform.NewStore(s.url, "", telemetry.NewMetrics())
	defer store.Close()
	object, err := store.Get(s.t.Context(), platform.KindRollouts, "s")
	assert.NilError(s.t, err)
	r, status, err := platform.DecodeRollout(object)
	assert.NilError(s.t, err)
	return r, status
}

func (s *rolloutSite) newRelay(first bool) *rolloutRelay {
	metrics := telemetry.NewMetrics()
	store := platform.NewStore(s.url, "", metrics)
	s.t.Cleanup(store.Close)
	name := fmt.Sprint("r", len(s.relays))
	g := gateway.New(gateway.Config{
		Router: name, Codec: platform.Codec{}, Logger: zap.NewNop(), Metrics: metrics, Reporter: noReporter{},
		Routers: func() *quota.Routers { return quota.NewRouters(name, nil) },
	})
	for i := range 4 {
		version := []string{"v1", "v2"}[i%2]
		g.SetEndpoint(roster.Entry{ID: fmt.Sprint("i-", i), Service: "s", Address: "127.0.0.1:1", Slots: 64, Version: version})
	}
	r := &rolloutRelay{site: s, first: first, heard: 3}
	r.rollouts = &rollouts{
		store: store, peers: r, gateway: g, known: time.Now, router: name, start: 1, logger: zap.NewNop(),
		orders: map[string]*rolloutOrder{}, versions: map[string]uint64{}, wake: make(chan struct{}, 1),
		listed: make(chan struct{}), bounds: s.bounds,
	}
	s.relays = append(s.relays, r)
	r.read()
	return r
}

// read takes what the store holds, as a mirror does.
func (r *rolloutRelay) read() {
	objects, _, err := r.store.(*platform.Store).List(r.site.t.Context(), platform.KindRollouts, false)
	assert.NilError(r.site.t, err)
	r.ObjectsListed(objects)
}

// count reports answers of both versions to all relays, of which every second one of the target
// fails if bad is set.
func (s *rolloutSite) count(answers int, bad bool) {
	order := s.relays[0].order().rollout
	if s.counter == nil {
		s.counter = rollout.NewCounter(order.ID)
	}
	for i := range 2 * answers {
		target := i%2 == 0
		s.counter.RecordSent(target)
		s.counter.RecordEnd(target)
		s.counter.RecordAnswer(rollout.Answer{
			Target: target, Route: "route", Endpoint: fmt.Sprint("i-", i%4), Failed: bad && target && i%8 < 4,
			Elapsed: 10 * time.Millisecond, Goal: 100 * time.Millisecond,
		})
	}
	report := s.counter.Report(0.05)
	for _, r := range s.relays {
		r.ReceiveReports(time.Now(), "other", []exchange.RolloutReport{{Service: "s", Start: 1, Report: report}})
	}
}

// rollBack lets the first relay find the target bad.
func (s *rolloutSite) rollBack(first *rolloutRelay) {
	s.count(100, true)
	first.tickNow(s.t.Context())
	assert.Equal(s.t, first.inForce().State, rollout.RolledBack)
	assert.Equal(s.t, first.inForce().Reason, rollout.ReasonFailures)
}

func (s *rolloutSite) awaitStored(state rollout.State, relays ...*rolloutRelay) {
	s.t.Helper()
	deadline := time.Now().Add(8 * time.Second)
	for {
		if _, status := s.stored(); status.State == state {
			return
		}
		assert.Assert(s.t, time.Now().Before(deadline), "the store does not hold %s in time", state)
		time.Sleep(50 * time.Millisecond)
		for _, r := range relays {
			r.tickNow(s.t.Context())
		}
	}
}

// Guards against an order that is not begun, a status in the store that other routers can't
// read, and a decision by a relay that is not the first, or that hears too few routers.
func TestRolloutBegins(t *testing.T) {
	s := newRolloutSite(t)
	s.newOrder("v2")
	backup, cutOff, first := s.newRelay(false), s.newRelay(true), s.newRelay(true)
	cutOff.heard = 0
	backup.tickNow(t.Context())
	cutOff.tickNow(t.Context())
	assert.Equal(t, backup.inForce().State, rollout.None)
	assert.Equal(t, cutOff.inForce().State, rollout.None)
	first.tickNow(t.Context())
	s.awaitStored(rollout.Running)
	order, status := s.stored()
	assert.Equal(t, status.Order, order.ID)
	assert.Equal(t, status.Target, "v2")
	assert.Equal(t, status.Share, 0.05)
	assert.Assert(t, time.Since(status.Started) < 5*time.Second)
	backup.receive(first)
	assert.Equal(t, backup.inForce().Share, 0.05)
	assert.Equal(t, len(backup.Statuses()), 0, "only the decider announces a share")
}

// Guards against bounds in the settings that don't reach the decisions.
func TestRolloutBounds(t *testing.T) {
	p := &process{options: Options{Settings: &config.EdgeSettings{}}}
	p.options.Settings.Bounds.ExposeShare, p.options.Settings.Bounds.ExposeSlack = 0.02, 10
	p.newRollouts()
	s := newRolloutSite(t)
	s.bounds = p.rollouts.bounds
	s.newOrder("v2")
	first := s.newRelay(true)
	first.tickNow(t.Context())
	assert.Equal(t, first.order().rollout.Bounds, rollout.Bounds{Share: 0.02, Slack: 10})
	assert.Equal(t, first.inForce().Share, 0.01)
}

// Guards against messages, calls to the store and choices that change without an order.
func TestNothingWithoutOrder(t *testing.T) {
	s := newRolloutSite(t)
	first := s.newRelay(true)
	before := s.platform.Calls()
	first.tickNow(t.Context())
	time.Sleep(50 * time.Millisecond)
	assert.DeepEqual(t, s.platform.Calls(), before)
	assert.Equal(t, len(first.Reports(time.Now())), 0)
	assert.Equal(t, len(first.Statuses()), 0)
}

// Guards against a verdict that is lost or late since the store is down before, in or after the
// write of it: the others obey the relay at once, and the store gets the verdict when it answers.
func TestVerdictWhileStoreIsDown(t *testing.T) {
	for name, faults := range map[string]standin.PlatformFaults{
		"down":          {Outage: true},
		"answer lost":   {LoseResponses: 1},
		"executed late": {DelayWrites: 1, WriteDelay: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRolloutSite(t)
			s.newOrder("v2")
			first, other := s.newRelay(true), s.newRelay(false)
			first.tickNow(t.Context())
			s.awaitStored(rollout.Running)
			s.platform.SetFaults(faults)
			s.rollBack(first)
			other.receive(first)
			assert.Equal(t, other.inForce().State, rollout.RolledBack)
			assert.Equal(t, first.announced[len(first.announced)-1].State, rollout.RolledBack)
			if faults.Outage {
				time.Sleep(500 * time.Millisecond)
				s.platform.SetFaults(standin.PlatformFaults{})
			}
			s.awaitStored(rollout.RolledBack, first)
			time.Sleep(faults.WriteDelay)
			_, status := s.stored()
			assert.Equal(t, status.State, rollout.RolledBack, "a late write changed the verdict")
		})
	}
}

// Guards against a verdict that is lost with the first relay between the decision and the write,
// or since the first relay reaches the routers and not the store.
func TestAnotherRelayWritesTheVerdict(t *testing.T) {
	s := newRolloutSite(t)
	s.newOrder("v2")
	first, backup := s.newRelay(true), s.newRelay(false)
	first.tickNow(t.Context())
	s.awaitStored(rollout.Running)
	first.store = brokenStore{}
	s.rollBack(first)
	backup.receive(first)
	backup.read()
	backup.tickNow(t.Context())
	_, status := s.stored()
	assert.Equal(t, status.State, rollout.Running, "the first relay gets time for the write")
	time.Sleep(rolloutBackupDelay)
	s.awaitStored(rollout.RolledBack, backup)
}

// Guards against a roll-out without a status in the store, by which the platform sees that it has
// begun, since the first relay can't write it, and against a relay that writes what is announced no
// longer.
func TestAnotherRelayWritesTheFirstStatus(t *testing.T) {
	s := newRolloutSite(t)
	s.newOrder("v2")
	first, backup := s.newRelay(true), s.newRelay(false)
	first.store = brokenStore{}
	first.tickNow(t.Context())
	backup.receive(first)
	time.Sleep(rolloutBackupDelay)
	backup.tickNow(t.Context())
	time.Sleep(100 * time.Millisecond)
	_, status := s.stored()
	assert.Equal(t, status.State, rollout.None, "announced no longer")
	backup.receive(first)
	backup.tickNow(t.Context())
	s.awaitStored(rollout.Running)
}

// Guards against a successor of the first relay that knows nothing of the answers before, and
// against one that decides otherwise than the relay that was lost.
func TestSuccessorDecidesFromTheSameReports(t *testing.T) {
	s := newRolloutSite(t)
	s.newOrder("v2")
	first, next := s.newRelay(true), s.newRelay(false)
	first.tickNow(t.Context())
	s.awaitStored(rollout.Running)
	s.count(100, true) // the first relay is killed before it decides
	next.read()
	next.first = true
	next.tickNow(t.Context())
	assert.Equal(t, next.inForce().State, rollout.RolledBack)
	s.awaitStored(rollout.RolledBack)
}

// Guards against two relays that overwrite each other's status, or end with different ones.
func TestTwoRelaysDecideAtOnce(t *testing.T) {
	s := newRolloutSite(t)
	s.newOrder("v2")
	a, b := s.newRelay(true), s.newRelay(true)
	s.count(100, false)
	a.tickNow(t.Context())
	b.tickNow(t.Context())
	s.awaitStored(rollout.Running)
	time.Sleep(200 * time.Millisecond)
	_, status := s.stored()
	for _, r := range []*rolloutRelay{a, b} {
		r.rollouts.mu.Lock()
		assert.Assert(t, r.order().stored.SameContent(status), "%v and %v", r.order().stored, status)
		r.rollouts.mu.Unlock()
	}
	s.rollBack(a)
	b.tickNow(t.Context())
	s.awaitStored(rollout.RolledBack, a, b)
	_, verdict := s.stored()
	time.Sleep(500 * time.Millisecond)
	a.tickNow(t.Context())
	b.tickNow(t.Context())
	_, status = s.stored()
	assert.Assert(t, status.SameContent(verdict), "a verdict was changed")
}

// Guards against a second order that takes over the verdict or the counts of the first, also for the
// same version, and against a late answer of a write that restores a deleted order.
func TestSecondOrder(t *testing.T) {
	s := newRolloutSite(t)
	s.newOrder("v2")
	first := s.newRelay(true)
	first.tickNow(t.Context())
	s.awaitStored(rollout.Running)
	s.rollBack(first)
	s.awaitStored(rollout.RolledBack, first)
	old := first.order().rollout.ID

	s.platform.RemoveSpec(platform.KindRollouts, "s")
	s.newOrder("v2")
	first.read()
	assert.Assert(t, first.order().rollout.ID != old)
	assert.Equal(t, first.inForce().State, rollout.None)
	first.tickNow(t.Context())
	s.awaitStored(rollout.Running)
	assert.Equal(t, first.inForce().State, rollout.Running)

	object, err := first.store.Get(t.Context(), platform.KindRollouts, "s")
	assert.NilError(t, err)
	s.platform.RemoveSpec(platform.KindRollouts, "s")
	first.read()
	first.ObjectChanged(objectstore.Object{Key: "s", Version: object.Version + 1, Deleted: true})
	first.ObjectChanged(object)
	assert.Equal(t, len(first.orders), 0)
}

// brokenStore is a store that answers nothing.
type brokenStore struct{}

func (brokenStore) Get(context.Context, string, string) (objectstore.Object, error) {
	return objectstore.Object{}, objectstore.ErrUnavailable
}

func (brokenStore) ReplaceStatus(context.Context, string, string, []byte, uint64) (objectstore.Object, error) {
	return objectstore.Object{}, objectstore.ErrUnavailable
}
