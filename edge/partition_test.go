package edge_test

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// fleetKnown is the time after the start within which all routers know each other: a router that has
// found another one lists them again after 5 s.
const fleetKnown = 6 * time.Second

// partitionableFleet is a fleet of which each router reaches the store through a proxy of its own.
type partitionableFleet struct {
	*site
	ids     []string // in the order in which the routers become relays
	routers map[string]*router
	proxies map[string]*standin.FaultProxy
}

func newPartitionableFleet(t *testing.T, n int) *partitionableFleet {
	t.Helper()
	f := &partitionableFleet{site: newSite(t), routers: map[string]*router{}, proxies: map[string]*standin.FaultProxy{}}
	f.register("ready")
	f.configure("k0")
	for i := range n {
		id := fmt.Sprintf("r%d", i)
		proxy, err := standin.NewFaultProxy(f.store.Listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(proxy.Close)
		f.ids, f.proxies[id] = append(f.ids, id), proxy
		f.routers[id] = f.startAt(t, id, proxy.Addr())
	}
	// Routers with equal links become relays in the order of the hashes of their ids.
	slices.SortFunc(f.ids, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	eventually(t, 5*time.Second, "all serve", f.allAnswer(http.StatusOK))
	time.Sleep(fleetKnown)
	return f
}

// allAnswer returns whether all routers answer with the status.
func (f *partitionableFleet) allAnswer(status int) func() bool {
	return func() bool {
		for _, r := range f.routers {
			if got, _ := r.call("/call/1", "k0"); got != status {
				return false
			}
		}
		return true
	}
}

// partition cuts the routers off from the store by faults of their proxies; heal ends that.
func (f *partitionableFleet) partition(t *testing.T, faults standin.ProxyFaults, ids []string) {
	t.Helper()
	for _, id := range ids {
		assert.NilError(t, f.proxies[id].SetFaults(faults))
	}
}

func (f *partitionableFleet) heal(t *testing.T) {
	t.Helper()
	for _, proxy := range f.proxies {
		assert.NilError(t, proxy.SetFaults(standin.ProxyFaults{}))
		proxy.CutAll()
	}
}

// Guards against work for an endpoint that is gone, sent by a router that keeps it because it takes
// its own partition from the store for an outage of the store, although the store has answered other
// routers all the while. A key and an evacuation are withdrawn in the same way.
func TestPartitionIsNoOutage(t *testing.T) {
	const partitionLength = 2500 * time.Millisecond // longer than an entry lasts without a renewal
	bothWays, noAnswers := standin.ProxyFaults{Freeze: true}, standin.ProxyFaults{DropFromTarget: true}
	for name, c := range map[string]struct {
		routers int
		cut     func(ids []string) []string
		faults  standin.ProxyFaults
		// healFirst is set if the withdrawal can't reach the routers in the partition.
		healFirst bool
	}{
		"a relay":                       {3, func(ids []string) []string { return ids[:1] }, bothWays, false},
		"a relay, only answers":         {3, func(ids []string) []string { return ids[:1] }, noAnswers, false},
		"no relay":                      {5, func(ids []string) []string { return ids[4:] }, bothWays, false},
		"all relays":                    {5, func(ids []string) []string { return ids[:3] }, bothWays, true},
		"all relays, only answers":      {5, func(ids []string) []string { return ids[:3] }, noAnswers, true},
		"all relays and another router": {5, func(ids []string) []string { return ids[:4] }, bothWays, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newPartitionableFleet(t, c.routers)
			for what, w := range map[string]struct {
				withdraw, restore func()
				status            int
			}{
				"endpoint": {func() { f.platform.RemoveSpec("servers", "i-1") }, func() { f.register("ready") }, http.StatusServiceUnavailable},
				"key":      {func() { f.configure("k1") }, func() { f.configure("k0") }, http.StatusUnauthorized},
				"zone": {
					func() { f.platform.SetSpec("evacuations", "z", map[string]any{}) },
					func() { f.platform.RemoveSpec("evacuations", "z") }, http.StatusServiceUnavailable,
				},
			} {
				f.partition(t, c.faults, c.cut(f.ids))
				time.Sleep(partitionLength)
				if c.healFirst {
					f.heal(t)
				}
				w.withdraw()
				eventually(t, changeBound, what+" withdrawn", f.allAnswer(w.status))
				f.heal(t)
				w.restore()
				eventually(t, 5*time.Second, what+" restored", f.allAnswer(http.StatusOK))
				time.Sleep(time.Second)
			}
		})
	}
}

// Guards against a fleet that drops the endpoints whose entries lapsed in an outage of the store,
// although they register again within 2 s of its end.
func TestOutageKeepsEndpoints(t *testing.T) {
	f := newPartitionableFleet(t, 5)
	f.partition(t, standin.ProxyFaults{Freeze: true}, f.ids)
	time.Sleep(2500 * time.Millisecond)
	f.platform.RemoveSpec("servers", "i-1")
	time.Sleep(500 * time.Millisecond)
	f.heal(t)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
		assert.Assert(t, f.allAnswer(http.StatusOK)(), "an endpoint whose entry may have lapsed gets work")
	}
	f.register("ready")
	time.Sleep(2 * time.Second)
	assert.Assert(t, f.allAnswer(http.StatusOK)())
	f.platform.RemoveSpec("servers", "i-1")
	eventually(t, changeBound, "endpoint withdrawn", f.allAnswer(http.StatusServiceUnavailable))
}
