package main

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// playMoved: two replicas of a zone go dark; the streams of a third one, which is sound, must not go
// on at another replica while it still works on them.
func playMoved(r *record, trouble bool) bool {
	s := newStore()
	var mu sync.Mutex
	type run struct{ from, to int64 }    // to is 0 while the replica works
	runs := map[string]map[string]*run{} // by request and replica
	onLine := func(id, line string) {
		mu.Lock()
		defer mu.Unlock()
		at, _ := strconv.ParseInt(field(line, "at"), 10, 64)
		request := field(line, "id")
		if runs[request] == nil {
			runs[request] = map[string]*run{}
		}
		if known := runs[request][id]; known == nil {
			runs[request][id] = &run{from: at}
		} else {
			known.to = at
		}
		r.add("%s: %s", id, line)
	}
	const service = "models"
	stream := []string{"-first", "400ms", "-gap", "700ms", "-events", "6"}
	var replicas []*replica
	for i, zone := range []string{"a", "a", "a", "a", "a", "a", "b", "b"} {
		id := fmt.Sprintf("i-%s%d", zone, i+1)
		flags := stream
		if id == "i-a3" || id == "i-a4" {
			flags = append([]string{"-drops=false"}, stream...)
		} else if i < 2 {
			flags = append([]string{"-backlog", "1"}, stream...)
		}
		replicas = append(replicas, startReplica(id, zone, service, onLine, flags...))
	}
	for i, p := range replicas {
		s.put("servers", p.id, p.entry("ready", i))
	}
	s.put("config", "main", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "check", "host": "shop.example", "path_prefix": "/check/", "kind": "safe", "timeout_ms": 1500, "goal_ms": 100,
			"priority": 0, "service": service, "attempts": 2, "public": true,
		}, map[string]any{
			"name": "chat", "host": "shop.example", "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 12000, "goal_ms": 1500,
			"priority": 0, "service": service, "attempts": 2, "public": true, "can_resume": true, "gap_goal_ms": 800,
		}},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 620, "cold_s": 0, "cold_per_s": 0}},
		"limits":   map[string]any{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 10000},
	})
	var routers []*router
	for _, zone := range []string{"a", "b"} {
		routers = append(routers, startRouter("edge-"+zone, zone, s.address))
	}
	awaitReady(routers)
	time.Sleep(4 * time.Second) // the routers are in touch
	var clients sync.WaitGroup
	began := time.Now()
	dark := func(from time.Duration) {
		time.AfterFunc(from, func() {
			r.add("i-a1 and i-a2 go dark")
			for _, p := range replicas[:2] {
				p.signal(syscall.SIGSTOP)
				fillQueue(p.address)
			}
		})
		time.AfterFunc(from+4*time.Second, func() {
			r.add("i-a1 and i-a2 are back")
			for _, p := range replicas[:2] {
				p.signal(syscall.SIGCONT)
			}
		})
	}
	if trouble {
		dark(5 * time.Second)
		dark(19 * time.Second)
		dark(33 * time.Second)
	}
	ask := func(method, path string, deadline time.Duration) {
		id := newID()
		r.add("client sends %s %s to %s", path, id, routers[0].id)
		o := send(routers[0].front, method, path, id, "", deadline)
		r.add("client got %s: status %d, stamp %s, events %d, complete %v, %v", id, o.status, o.stamp, o.events, o.complete, o.err)
	}
	for time.Since(began) < 40*time.Second {
		clients.Go(func() { ask("POST", "/chat/1", 12*time.Second) })
		time.Sleep(166 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(5 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	for request, at := range runs {
		for _, id := range []string{"i-a3", "i-a4"} { // the sound ones that work on
			sound := at[id]
			if sound == nil {
				continue
			}
			if sound.to == 0 {
				sound.to = time.Now().UnixMilli()
			}
			for other, run := range at {
				if other != id && run.from > sound.from && sound.to-run.from >= 400 {
					broken++
					r.add("TWICE: %s began at %s while %s still worked on it for %d ms", request, other, id, sound.to-run.from)
				}
			}
		}
	}
	r.add("%d requests in all, %d broke the rule", len(runs), broken)
	fmt.Println(len(runs), "requests,", broken, "broke the rule")
	return broken == 0
}

// fillQueue opens connections to a replica that accepts none, so that its queue of new ones is full and
// opening packets get no answer, as at a machine without power.
func fillQueue(address string) {
	for range 4 {
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return
		}
		time.AfterFunc(20*time.Second, func() { conn.Close() })
	}
}
