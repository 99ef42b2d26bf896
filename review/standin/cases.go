package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

var zones = []string{"port-louis", "curepipe", "ebene", "rose-hill"}

const (
	goodKey = "anfqasnmgkcuyj8pjbvk"
	holds   = "comptoir-app"
	chats   = "atelier-lm"
)

// configuration is the operator's configuration of the given version. Beside the usual routes it
// has routes for bookings with these prefixes.
func configuration(version int, prefixes []string) map[string]any {
	routes := []map[string]any{}
	for _, prefix := range append([]string{"/hold/"}, prefixes...) {
		routes = append(routes, map[string]any{
			"name": "r-" + strings.Trim(prefix, "/"), "host": "shop.example", "path_prefix": prefix, "kind": "unsafe", "timeout_ms": 1500,
			"goal_ms": 100, "priority": 0, "service": holds, "attempts": 1, "public": false, "sticky": false, "can_resume": false,
		})
	}
	return map[string]any{
		"version": version,
		"routes": append(routes,
			map[string]any{
				"name": "r-chat", "host": "shop.example", "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 15000,
				"goal_ms": 500, "priority": 1, "service": chats, "attempts": 1, "public": false, "sticky": true, "can_resume": false,
				"gap_goal_ms": 300,
			}),
		"services": []map[string]any{
			{"name": holds, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false, "cold_s": 0.0, "cold_per_s": 0.0},
			{"name": chats, "health_path": "/health", "max_conns": 620, "protocol": "h1", "tls": false, "cold_s": 0.0, "cold_per_s": 0.0},
		},
		"limits":  map[string]any{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{goodKey}, "priority": 1}},
	}
}

// begin starts the store, the replicas and the routers, and waits until the routers have been
// ready for longer than the stable window.
func (s *scene) begin(routers []string, replicas []*replica, prefixes []string) {
	s.store.put("config", "main", configuration(1, prefixes))
	for _, p := range replicas {
		s.store.put("servers", p.id, p.entry("ready"))
	}
	address := s.store.serve()
	for i, id := range routers {
		s.fleet.add(id, zones[i%len(zones)], address)
	}
	for _, p := range s.fleet.routers {
		s.fleet.start(p)
	}
	s.fleet.awaitReady(20 * time.Second)
	time.Sleep(stableWindow + 4*time.Second)
}

func routerNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i/len(zones)+1))
	}
	return names
}

// playCutWatch removes the entry of a replica just after the store has cut off the watches that
// wait, and looks at what the replica still gets.
func playCutWatch(s *scene) bool {
	var replicas []*replica
	number := 0
	add := func(zone string) *replica {
		number++
		p := startReplica(s.record, holds, fmt.Sprintf("i-%08x", 0x7f3a0000+number), zone, 6, 24, 15*time.Millisecond, 0, 0)
		replicas = append(replicas, p)
		return p
	}
	for _, zone := range zones {
		add(zone)
	}
	s.begin(routerNames(4), replicas, nil)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var clients []*client
	for _, p := range s.fleet.routers {
		for range 2 {
			c := &client{record: s.record, router: p, path: "/hold/2f", key: goodKey, timeout: 1500 * time.Millisecond}
			clients = append(clients, c)
			group.Add(1)
			go c.every(15*time.Millisecond, stop, &group)
		}
	}
	time.Sleep(stableWindow + time.Second)
	late, lost := 0, 0
	// In the last round watches are cut off again and again, and the replica serves for longer.
	for i, zone := range append(zones, zones[0]) {
		leaving := replicas[i]
		serves := drainTime + 200*time.Millisecond // drain_ms and a little longer
		cut := func() {
			if s.trouble {
				s.record.now("store: %d waiting watches of kind servers cut off", s.store.cutWatches("servers"))
			}
		}
		cut()
		time.Sleep(20 * time.Millisecond)
		gone := s.store.remove("servers", leaving.id)
		s.record.line(gone, "store: entry of replica %s in zone %s removed and acknowledged", leaving.id, zone)
		if i == len(zones) {
			serves = 7 * time.Second
			for range 4 {
				time.Sleep(1500 * time.Millisecond)
				cut()
			}
		}
		time.Sleep(time.Until(gone.Add(serves)))
		leaving.exit()
		s.record.now("replica %s exits", leaving.id)
		time.Sleep(500 * time.Millisecond)
		arrived := leaving.arrivals(gone.Add(drainTime))
		broken := 0
		last := time.Duration(0)
		for _, r := range arrived {
			last = max(last, r.arrived.Sub(gone))
			if !r.done {
				broken++
			}
		}
		late += len(arrived)
		lost += broken
		s.record.result("replica %s: %d requests arrived later than 2.000 s after the acknowledgement, the last after %.3f s; %d of them were cut by its exit",
			leaving.id, len(arrived), last.Seconds(), broken)
		next := add(zone)
		s.store.put("servers", next.id, next.entry("ready"))
		time.Sleep(stableWindow + 500*time.Millisecond)
	}
	close(stop)
	group.Wait()
	s.countAnswers(clients)
	s.record.result("DRAIN: %d late requests in all, %d of them lost", late, lost)
	return late > 0
}

func (s *scene) countAnswers(clients []*client) {
	answers := map[int]int{}
	for _, c := range clients {
		for _, x := range c.exchanges() {
			answers[x.status]++
		}
	}
	s.record.result("answers by status (0 is none): %v", answers)
}

// cutRounds is the number of rounds of playCutRelays and playBlindRouters.
const cutRounds = 9

// playCutRelays cuts the routers that watch the store off from it, while the others reach it, and
// drops a route at the same moment.
func playCutRelays(s *scene) bool {
	return s.playCuts(cutRounds, 3500*time.Millisecond, func() {
		time.Sleep(rand.N(time.Second)) // the cut comes at any moment
		s.cutRelays()
	})
}

// playBlindRouters cuts the same routers off for longer. The others then watch the store
// themselves. One of their watches each is cut off, and then a route is dropped.
func playBlindRouters(s *scene) bool {
	return s.playCuts(3, 6*time.Second, func() {
		s.cutRelays()
		time.Sleep(4 * time.Second)
		if s.trouble {
			s.record.now("store: %d waiting watches of kind config cut off", s.store.cutWatches("config"))
		}
		time.Sleep(50 * time.Millisecond)
	})
}

// cutRelays cuts the routers that have a watch waiting at the store off from it.
func (s *scene) cutRelays() {
	if !s.trouble {
		return
	}
	for _, p := range s.fleet.routers {
		if s.relays[p.id] {
			p.gate.shut()
			s.record.now("router %s cut off from the store", p.id)
		}
	}
}

// playCuts plays the disruption and drops a route just after it, several times. The routers that
// reach the store are asked for the route until the given time after it was dropped.
func (s *scene) playCuts(rounds int, asked time.Duration, disrupt func()) bool {
	var replicas []*replica
	for i, zone := range zones {
		replicas = append(replicas, startReplica(s.record, holds, fmt.Sprintf("i-%08x", 0x7f3b0000+i), zone, 6, 24, 15*time.Millisecond, 0, 0))
	}
	prefix := func(round int) string { return fmt.Sprintf("/old%d/", round+1) }
	var routes []string // that will be dropped
	for round := range rounds {
		routes = append(routes, prefix(round))
	}
	s.begin(routerNames(9), replicas, routes)
	late := 0
	for round := range rounds {
		s.findRelays()
		if len(s.relays) != 3 {
			s.record.result("round %d: %d routers watch the store, not 3", round+1, len(s.relays))
		}
		stop := make(chan struct{})
		var group sync.WaitGroup
		var clients []*client
		for _, p := range s.fleet.routers {
			if s.relays[p.id] {
				continue
			}
			c := &client{record: s.record, router: p, path: prefix(round) + "2f", key: goodKey, timeout: 1500 * time.Millisecond}
			clients = append(clients, c)
			group.Add(1)
			go c.every(10*time.Millisecond, stop, &group)
		}
		time.Sleep(time.Second)
		disrupt()
		acknowledged := s.store.put("config", "main", configuration(round+2, routes[round+1:]))
		s.record.line(acknowledged, "store: version %d acknowledged, route %s is dropped", round+2, prefix(round))
		time.Sleep(asked)
		if s.trouble {
			for _, p := range s.fleet.routers {
				if s.relays[p.id] {
					p.gate.open()
				}
			}
			s.record.now("the cut is healed")
		}
		close(stop)
		group.Wait()
		count, last := 0, time.Duration(0)
		for _, c := range clients {
			for _, x := range c.exchanges() {
				after := x.sent.Sub(acknowledged)
				if x.status != 200 || after < 0 {
					continue
				}
				last = max(last, after)
				if after > configTime {
					count++
				}
			}
		}
		late += count
		s.record.result("round %d: %d requests on the dropped route ran although they were sent later than 2.000 s after the acknowledgement; the last that ran was sent after %.3f s", round+1, count, last.Seconds())
		time.Sleep(stableWindow + 500*time.Millisecond)
	}
	s.record.result("CONFIG: %d requests ran on a route that was dropped more than 2.000 s before", late)
	return late > 0
}

// findRelays finds the routers that have a watch waiting at the store.
func (s *scene) findRelays() {
	s.relays = map[string]bool{}
	for range 20 {
		for _, p := range s.fleet.routers {
			if s.store.watchedBy(p.gate) {
				s.relays[p.id] = true
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// playOddEntry has another writer replace the entry of a chat replica by one that lacks fields and
// names the service of the bookings, until the replica writes its own entry again.
func playOddEntry(s *scene) bool {
	const (
		rounds = 5
		beat   = 1200 * time.Millisecond // beat_ms
	)
	var chatting, replicas []*replica
	for i, zone := range zones {
		chatting = append(chatting, startReplica(s.record, chats, fmt.Sprintf("i-%08x", 0x7f3e0000+i), zone, 128, 384, 50*time.Millisecond, 8, 20*time.Millisecond))
		replicas = append(replicas, startReplica(s.record, holds, fmt.Sprintf("i-%08x", 0x7f3f0000+i), zone, 6, 24, 15*time.Millisecond, 0, 0))
	}
	s.begin(routerNames(4), append(replicas, chatting...), nil)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var clients []*client
	for _, p := range s.fleet.routers {
		for range 2 {
			c := &client{record: s.record, router: p, path: "/hold/2f", key: goodKey, timeout: 1500 * time.Millisecond}
			clients = append(clients, c)
			group.Add(1)
			go c.every(15*time.Millisecond, stop, &group)
		}
	}
	for round := range rounds {
		time.Sleep(stableWindow)
		p := chatting[round%len(chatting)]
		if s.trouble {
			s.store.put("servers", p.id, map[string]any{"service": holds, "address": p.address, "zone": p.zone, "state": "ready"})
			s.record.now("store: another writer replaced the entry of replica %s: service %s; version, slots, cold_left_ms and seq are missing", p.id, holds)
		}
		time.Sleep(beat)
		s.store.put("servers", p.id, p.entry("ready"))
		s.record.now("replica %s of service %s wrote its own entry again", p.id, chats)
	}
	time.Sleep(time.Second)
	close(stop)
	group.Wait()
	wrong := 0
	for _, p := range chatting {
		// Only bookings are sent in this case.
		wrong += len(p.arrivals(time.Time{}))
	}
	s.countAnswers(clients)
	s.record.result("ROUTE: %d bookings were run by replicas of %s, to which no configuration sends them", wrong, chats)
	return wrong > 0
}

// playUploads has as many callers as a router usually serves at once send prompts of the largest
// size that the configuration allows, to two of the three routers. The platform ends a process
// that exceeds its memory and starts it again.
func playUploads(s *scene) bool {
	const ends = 3 // of each of the two processes
	var replicas []*replica
	for i, zone := range zones {
		replicas = append(replicas,
			startReplica(s.record, chats, fmt.Sprintf("i-%08x", 0x7f3c0000+i), zone, 128, 384, 50*time.Millisecond, 64, 60*time.Millisecond),
			startReplica(s.record, holds, fmt.Sprintf("i-%08x", 0x7f3d0000+i), zone, 6, 24, 15*time.Millisecond, 0, 0))
	}
	s.begin(routerNames(3), replicas, nil)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var clients []*client
	targets := s.fleet.routers[:2]
	for _, target := range targets {
		for range 12 {
			c := &client{record: s.record, router: target, path: "/hold/2f", key: goodKey, timeout: 1500 * time.Millisecond}
			clients = append(clients, c)
			group.Add(1)
			go c.every(10*time.Millisecond, stop, &group)
		}
	}
	time.Sleep(stableWindow + time.Second)
	ended := make([]int, len(targets))
	var plays sync.WaitGroup
	for i, target := range targets {
		plays.Add(1)
		go func() {
			defer plays.Done()
			for range ends {
				if !s.uploadTo(target) {
					return
				}
				ended[i]++
				<-target.exited
				time.Sleep(time.Second)
				s.fleet.start(target)
				time.Sleep(stableWindow + 3*time.Second)
			}
		}()
	}
	plays.Wait()
	close(stop)
	group.Wait()
	ran := map[string]bool{}
	for _, p := range replicas {
		for _, r := range p.arrivals(time.Time{}) {
			ran[r.id] = true
		}
	}
	lost := 0
	for _, c := range clients {
		for _, x := range c.exchanges() {
			if x.kept && ran[x.id] && x.status == 0 {
				lost++
			}
		}
	}
	s.countAnswers(clients)
	s.record.result("processes that ended by themselves, by router: %d and %d times", ended[0], ended[1])
	s.record.result("LOST: %d holds of kept connections were passed on to a sound replica, and their connection was closed without an answer", lost)
	return lost > 3
}

// uploadTo has callers send their prompts to the router for some seconds. It reports whether the
// process had to be ended since it exceeded its memory.
func (s *scene) uploadTo(target *router) bool {
	const (
		uploads = 48
		// All uploads to a router take 100 MB/s, less than its link of 1,000 Mbit/s.
		pace = uploads * partBytes * time.Second / 100_000_000
	)
	size := 12000
	if s.trouble {
		size = 4194304
	}
	s.record.now("%d callers send prompts of %d bytes at once to router %s", uploads, size, target.id)
	stop := make(chan struct{})
	var group sync.WaitGroup
	defer group.Wait()
	defer close(stop)
	for range uploads {
		c := &client{record: s.record, router: target, path: "/chat/2f", key: goodKey, timeout: 15 * time.Second, body: make([]byte, size), headers: chatHeaders, pace: pace}
		group.Add(1)
		go c.every(time.Millisecond, stop, &group)
	}
	peak := 0
	defer func() { s.record.result("the memory of router %s reached %d MB of %d MB", target.id, peak, memoryMB) }()
	for until := time.Now().Add(6 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		used := residentMB(target.command.Process.Pid)
		peak = max(peak, used)
		if used > memoryMB {
			s.record.now("router %s holds more than its memory: killed, as the platform does", target.id)
			_ = target.command.Process.Signal(syscall.SIGKILL)
			return true
		}
	}
	return false
}

const chatHeaders = "Model: m\r\nToken-Count: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n"

// residentMB returns the resident memory of a process of this case.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}
