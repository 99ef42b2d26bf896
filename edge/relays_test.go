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

// changeBound is the time from a change in the store until it is in force at each router that
// reaches the store.
const changeBound = 2 * time.Second

// Guards against routers that reach the store and yet go on with a key that was taken away, or
// send work to an endpoint that is gone or whose zone is withdrawn, since the relays that they
// follow are cut off from the store, also while watches of the others are cut off.
func TestChangesWhileRelaysAreCutOff(t *testing.T) {
	s := newSite(t)
	s.register("ready")
	s.configure("k0")
	var ids []string
	proxies := map[string]*standin.FaultProxy{}
	routers := map[string]*router{}
	for i := range 6 {
		id := fmt.Sprintf("r%d", i)
		proxy, err := standin.NewFaultProxy(s.store.Listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(proxy.Close)
		ids, proxies[id] = append(ids, id), proxy
		routers[id] = s.startAt(t, id, proxy.Addr())
	}
	// Routers with equal links become relays in the order of the hashes of their ids.
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	relays, others := ids[:3], ids[3:]
	refuses := func(status int, key string) func() bool {
		return func() bool {
			for _, id := range others {
				if got, _ := routers[id].call("/call/1", key); got != status {
					return false
				}
			}
			return true
		}
	}
	eventually(t, 5*time.Second, "all serve", refuses(http.StatusOK, "k0"))
	for name, c := range map[string]struct {
		change, revert func()
		status         int
	}{
		"key":      {func() { s.configure("k1") }, func() { s.configure("k0") }, http.StatusUnauthorized},
		"endpoint": {func() { s.platform.RemoveSpec("servers", "i-1") }, func() { s.register("ready") }, http.StatusServiceUnavailable},
		"zone": {
			func() { s.platform.SetSpec("evacuations", "z", map[string]any{}) },
			func() { s.platform.RemoveSpec("evacuations", "z") }, http.StatusServiceUnavailable,
		},
	} {
		for _, watchesCutAfter := range []time.Duration{0, 2500 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " ", watchesCutAfter), func(t *testing.T) {
				time.Sleep(2 * time.Second) // the relays are followed again
				for _, id := range relays {
					assert.NilError(t, proxies[id].SetFaults(standin.ProxyFaults{Freeze: true}))
				}
				if watchesCutAfter > 0 {
					time.Sleep(watchesCutAfter)
					for _, kind := range []string{"config", "servers", "evacuations"} {
						s.platform.CutWatches(kind)
					}
					time.Sleep(20 * time.Millisecond)
				}
				c.change()
				eventually(t, changeBound, "change in force", refuses(c.status, "k0"))
				for _, id := range relays {
					assert.NilError(t, proxies[id].SetFaults(standin.ProxyFaults{}))
					proxies[id].CutAll()
				}
				c.revert()
				eventually(t, 5*time.Second, "all serve again", refuses(http.StatusOK, "k0"))
			})
		}
	}
}
