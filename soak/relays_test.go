package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

const (
	relayCount = 3
	// changeBound is the time from a change in the store until it is in force at each router that
	// reaches the store.
	changeBound = 2 * time.Second
)

// relayOrder returns the routers in the order in which they become relays. With equal links that is
// the order of the hashes of their ids.
func relayOrder() []int {
	order := make([]int, routerCount)
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(xxhash.Sum64String(fmt.Sprint("r", a)), xxhash.Sum64String(fmt.Sprint("r", b)))
	})
	return order
}

// Guards against a router that reaches the store and yet accepts a key that was taken away, or sends
// work to an endpoint that is gone, since the relays that it follows are frozen, slow, killed, or cut
// off from the store before that.
func TestChangesWhileRelaysAreLost(t *testing.T) {
	h := newHarness(t, build(t))
	order := relayOrder()
	relays, follower := order[:relayCount], h.routers[order[relayCount]]
	signalAll := func(s syscall.Signal) {
		for _, i := range relays {
			h.routers[i].signal(s)
		}
	}
	resume := func() { signalAll(syscall.SIGCONT) }
	cutStore := func(cut bool) {
		for _, i := range relays {
			_ = h.storeProxies[i].SetFaults(standin.ProxyFaults{Freeze: cut})
			if !cut {
				h.storeProxies[i].CutAll()
			}
		}
	}
	for name, c := range map[string]struct{ lose, repair func() }{
		"frozen": {func() { signalAll(syscall.SIGSTOP) }, resume},
		"cut off, then frozen": {func() {
			cutStore(true)
			time.AfterFunc(1400*time.Millisecond, func() { signalAll(syscall.SIGSTOP) })
		}, func() {
			time.Sleep(1400 * time.Millisecond)
			resume()
			cutStore(false)
		}},
		"slow": {func() {
			go func() {
				for range 10 {
					signalAll(syscall.SIGSTOP)
					time.Sleep(300 * time.Millisecond)
					signalAll(syscall.SIGCONT)
					time.Sleep(50 * time.Millisecond)
				}
			}()
		}, func() { time.Sleep(4 * time.Second) }},
		"killed": {func() { signalAll(syscall.SIGKILL) }, func() {
			for _, i := range relays {
				h.routers[i].awaitExit(time.Second)
				h.routers[i].start(t)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h.configure("k0")
			e := h.newEndpoint("i-gone")
			h.register(e, "ready")
			time.Sleep(4 * time.Second) // the relays are followed
			for _, other := range h.endpoints {
				h.register(other, "draining")
			}
			awaitStatus(t, follower.callers, "k0", http.StatusOK)
			time.Sleep(1500 * time.Millisecond) // the follower has no call of its own at the store
			c.lose()
			h.platform.RemoveSpec("servers", e.id)
			awaitStatus(t, follower.callers, "k0", http.StatusServiceUnavailable)
			h.configure("k1")
			awaitStatus(t, follower.callers, "k0", http.StatusUnauthorized)
			c.repair()
			for _, other := range h.endpoints {
				h.register(other, "ready")
			}
		})
	}
}

// awaitStatus waits until requests with the key get the status, for changeBound at most.
func awaitStatus(t *testing.T, address, key string, want int) {
	t.Helper()
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	status := 0
	for deadline := time.Now().Add(changeBound); status != want; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "status %d, not %d, %s after the change", status, want, changeBound)
		request, _ := http.NewRequest(http.MethodPost, "http://"+address+"/unsafe/x", strings.NewReader("body"))
		request.Host = "h"
		request.Header.Set("Request-Id", "x")
		request.Header.Set("Api-Key", key)
		request.Header.Set("Deadline-Ms", "900")
		if response, err := client.Do(request); err == nil {
			status = response.StatusCode
			response.Body.Close()
		}
	}
}
