package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

// grace: the platform changes grace_s in the settings, sends SIGHUP, and later stops a router. Streams
// that the router has passed on must end whole if they end well before the new grace_s is over.
func grace(rec *record) int {
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	defer func() { _ = os.RemoveAll(dir) }()
	s := newStore()
	l := &ledger{runs: map[string][]run{}}
	configuration := config(7, map[string][]string{"t1": {"k1"}})
	for _, r := range configuration["routes"].([]any) {
		r.(map[string]any)["timeout_ms"] = 15000
	}
	s.put("config", "main", configuration)
	for i := range 2 {
		r := newReplica(fmt.Sprintf("lm-%d", i), "lm", fmt.Sprintf("z%d", i), l)
		r.pause, r.eventCount = 170*time.Millisecond, 64
		s.put("servers", r.id, r.entry())
	}
	var routers []*router
	defer func() {
		for _, r := range routers {
			if r.running() {
				r.signal(syscall.SIGKILL)
				<-r.exited
			}
		}
	}()
	for i := range 2 {
		r := newRouter(dir, fmt.Sprintf("edge-%d", i), fmt.Sprintf("z%d", i), s.address)
		r.start()
		routers = append(routers, r)
	}
	for _, r := range routers {
		if !r.awaitReady(10 * time.Second) {
			rec.line("router %s did not become ready", r.id)
			return 2
		}
	}
	graceS := 8.0
	if trouble() {
		graceS = 20
		for _, r := range routers {
			r.graceS = graceS
			r.writeSettings()
			r.signal(syscall.SIGHUP)
		}
		rec.line("the settings files of all routers say grace_s = %g instead of 8, and SIGHUP was sent", graceS)
	}
	time.Sleep(4 * time.Second) // stable_window_ms, and a second for the reload
	stopped := routers[0]
	const streams = 6
	results := make([]result, streams)
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() {
			c := &client{}
			defer c.drop()
			id := fmt.Sprintf("stream-%d", i)
			results[i] = c.send(stopped.front, "POST", "/report/2f", id, "k1", []byte("prompt"), false, 15*time.Second)
		})
	}
	time.Sleep(time.Second)
	term := time.Now()
	stopped.signal(syscall.SIGTERM)
	rec.line("SIGTERM to %s", stopped.id)
	end := time.Duration(graceS * float64(time.Second))
	select {
	case <-stopped.exited:
		rec.line("%s ended %.2f s after SIGTERM", stopped.id, time.Since(term).Seconds())
	case <-time.After(end):
		stopped.signal(syscall.SIGKILL)
		rec.line("SIGKILL to %s after grace_s", stopped.id)
	}
	group.Wait()
	time.Sleep(time.Second) // a replica notices at its next events that its connection is closed
	lost := 0
	for i, r := range results {
		id := fmt.Sprintf("stream-%d", i)
		runs := l.of(id)
		rec.line("%s: status %d, whole %v (%v), %d bytes, sent %.2f s before SIGTERM, ended %.2f s after it", id, r.status, r.whole, r.err,
			len(r.body), term.Sub(r.sent).Seconds(), r.ended.Sub(term).Seconds())
		if len(runs) != 1 {
			rec.line("%s: %d runs", id, len(runs))
			return 2
		}
		worked := runs[0].ended.Sub(term)
		rec.line("%s: %s was at work until %.2f s after SIGTERM", id, runs[0].replica, worked.Seconds())
		switch {
		case r.whole:
		case r.ended.Sub(r.sent) >= 14900*time.Millisecond:
			rec.line("%s: not counted: its deadline was reached", id)
		case worked >= end*5/6:
			rec.line("%s: not counted: the replica was at work in the last sixth of grace_s", id)
		default:
			lost++
			rec.line("%s: LOST: passed on, cut without a complete answer %.2f s before the end of grace_s", id, (end - r.ended.Sub(term)).Seconds())
		}
	}
	if lost > 0 {
		rec.line("rule broken: LOST, %d of %d streams", lost, streams)
		return 1
	}
	rec.line("rule held")
	return 0
}
