package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playGrace: the settings of the routers change while they run, among them the time between SIGTERM and
// SIGKILL. A router that is stopped later must have answered what it has passed on when that time is over.
func playGrace(r *record, trouble bool) bool {
	const service = "bookings"
	s := newStore()
	var mu sync.Mutex
	ran := map[string]bool{}
	onLine := func(id, line string) {
		if strings.Contains(line, " run ") {
			mu.Lock()
			ran[field(line, "id")] = true
			mu.Unlock()
			r.add("%s: %s", id, line)
		}
	}
	for i, zone := range []string{"a", "a", "b", "b"} {
		p := startReplica(fmt.Sprintf("i-%s%d", zone, i), zone, service, onLine, "-work", "400ms")
		s.put("servers", p.id, p.entry("ready", i))
	}
	s.put("config", "main", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "hold", "host": "shop.example", "path_prefix": "/hold/", "kind": "unsafe", "timeout_ms": 1500, "goal_ms": 500,
			"priority": 0, "service": service, "attempts": 1, "public": true,
		}},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 110, "cold_s": 0, "cold_per_s": 0}},
		"limits":   map[string]any{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 10000},
	})
	routers := []*router{startRouter("edge-a1", "a", s.address), startRouter("edge-a2", "a", s.address), startRouter("edge-b1", "b", s.address)}
	awaitReady(routers)
	time.Sleep(4 * time.Second)
	grace := 8 * time.Second
	if trouble {
		grace = 5 * time.Second
		for _, p := range routers {
			text, err := os.ReadFile(p.file)
			must(err)
			must(os.WriteFile(p.file+".new", []byte(strings.Replace(string(text), "grace_s = 8", "grace_s = 5", 1)), 0o600))
			must(os.Rename(p.file+".new", p.file))
			p.signal(syscall.SIGHUP)
		}
		r.add("the settings of all routers have changed: grace_s = 5")
	}
	time.Sleep(4 * time.Second)
	// Each client keeps a connection of its own.
	const count = 20
	clients := make([]*http.Client, count)
	ask := func(i int) (string, outcome) {
		id := newID()
		return id, sendBy(clients[i], routers[0].front, "POST", "/hold/1", id, "one pair", 1500*time.Millisecond)
	}
	var wait sync.WaitGroup
	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{}}
		wait.Go(func() { ask(i) })
	}
	wait.Wait()
	stopped := time.Now()
	routers[0].signal(syscall.SIGTERM)
	r.add("edge-a1 gets SIGTERM")
	time.AfterFunc(grace, func() {
		if routers[0].running() {
			r.add("edge-a1 gets SIGKILL")
			routers[0].signal(syscall.SIGKILL)
		}
	})
	time.Sleep(time.Until(stopped.Add(4800 * time.Millisecond)))
	broken := 0
	for i := range clients {
		wait.Go(func() {
			id, o := ask(i)
			mu.Lock()
			defer mu.Unlock()
			r.add("client got %s: status %d, ran %v, %v", id, o.status, ran[id], o.err)
			if ran[id] && !o.complete {
				broken++
				r.add("LOST: %s was passed on, and its connection ended without an answer", id)
			}
		})
	}
	wait.Wait()
	r.add("%d of %d requests were lost", broken, count)
	fmt.Println(broken, "of", count, "requests were lost")
	return broken == 0
}
