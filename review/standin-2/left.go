package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playLeft: a replica leaves without a word just after one router's way to the store is back. Once the
// router is in touch again, and drain_ms have passed, nothing more may reach the replica.
func playLeft(r *record, trouble bool) bool {
	const (
		rounds  = 6
		cutFor  = 5500 * time.Millisecond
		leaves  = 500 * time.Millisecond  // after the end of the cut
		touch   = 3000 * time.Millisecond // stable_window_ms
		drain   = 2000 * time.Millisecond // drain_ms
		lingers = 1100 * time.Millisecond // how long a replica serves beyond drain_ms
		service = "bookings"
	)
	s := newStore()
	type arrival struct {
		replica, request string
		at               time.Time
	}
	var mu sync.Mutex
	var arrivals []arrival
	failed := map[string]bool{} // requests that got no success
	onLine := func(id, line string) {
		if !strings.Contains(line, " run ") {
			return
		}
		r.add("%s: %s", id, line)
		at, _ := strconv.ParseInt(field(line, "at"), 10, 64)
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, arrival{id, field(line, "id"), time.UnixMilli(at)})
	}
	number := 0
	join := func(zone string) *replica {
		number++
		p := startReplica(fmt.Sprintf("i-%s%d", zone, number), zone, service, onLine, "-work", "150ms")
		s.put("servers", p.id, p.entry("ready", number))
		return p
	}
	var first, second *replica
	first, second = join("a"), join("a")
	join("b")
	join("b")
	s.put("config", "main", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "hold", "host": "shop.example", "path_prefix": "/hold/", "kind": "unsafe", "timeout_ms": 1500, "goal_ms": 100,
			"priority": 0, "service": service, "attempts": 1, "public": true,
		}},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 110, "cold_s": 0, "cold_per_s": 0}},
		"limits":   map[string]any{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 10000},
	})
	way := newProxy(s.address)
	routers := []*router{startRouter("edge-a1", "a", way.address), startRouter("edge-a2", "a", s.address), startRouter("edge-b1", "b", s.address)}
	awaitReady(routers)
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			clients.Go(func() {
				id := newID()
				o := send(routers[0].front, "POST", "/hold/1", id, "one pair", 1500*time.Millisecond)
				r.add("client sent %s and got status %d, %v", id, o.status, o.err)
				if o.status != 200 {
					mu.Lock()
					failed[id] = true
					mu.Unlock()
				}
			})
		}
	})
	broken, lost := 0, 0
	for round := range rounds {
		if trouble {
			r.add("round %d: edge-a1 is cut off from the store", round)
			way.cut()
		}
		time.Sleep(cutFor)
		way.heal()
		healed := time.Now()
		r.add("round %d: the cut has ended", round)
		time.Sleep(leaves)
		leaver := first
		first, second = second, join("a")
		s.remove("servers", leaver.id)
		left := time.Now()
		r.add("round %d: the entry of %s is removed", round, leaver.id)
		time.Sleep(drain + lingers)
		leaver.signal(syscall.SIGKILL)
		r.add("round %d: %s has ended", round, leaver.id)
		bound := left.Add(drain)
		if trouble && healed.Add(touch).After(bound) {
			bound = healed.Add(touch)
		}
		time.Sleep(400 * time.Millisecond)
		mu.Lock()
		for _, a := range arrivals {
			if a.replica == leaver.id && a.at.After(bound.Add(10*time.Millisecond)) {
				broken++
				if failed[a.request] {
					lost++
				}
				r.add("DRAIN: %s reached %s %d ms after its entry was removed, %d ms after the cut; lost: %v", a.request, leaver.id,
					a.at.Sub(left).Milliseconds(), a.at.Sub(healed).Milliseconds(), failed[a.request])
			}
		}
		mu.Unlock()
		time.Sleep(4 * time.Second)
	}
	close(stop)
	clients.Wait()
	r.add("%d requests reached replicas, %d broke the rule, %d of these were lost", len(arrivals), broken, lost)
	fmt.Println(len(arrivals), "requests reached replicas,", broken, "broke the rule,", lost, "of these were lost")
	return broken == 0
}
