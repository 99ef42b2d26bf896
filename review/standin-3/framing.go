package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["framing"] = framing }

const (
	framingFor     = 30 * time.Second
	framingClients = 8
	framingPause   = 100 * time.Millisecond // of a client, between an answer and its next request
	// Half of the replicas spoil one in twenty of their answers.
	spoilOneIn = 20
)

// framing: two of four replicas spoil some of their answers.
func framing(rec *record) int {
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	defer func() { _ = os.RemoveAll(dir) }()
	s, l := newStore(), newLedger()
	s.put("config", "main", config(7, map[string][]string{"t1": {"k1"}}))
	for i := range 4 {
		r := newReplica(fmt.Sprintf("app-%d", i), "app", fmt.Sprintf("z%d", i%2), 15*time.Millisecond, l)
		if i < 2 && trouble() {
			r.spoilEvery = spoilOneIn
		}
		s.put("servers", r.id, r.entry())
	}
	var routers []*router
	defer func() {
		for _, r := range routers {
			r.signal(syscall.SIGKILL)
			<-r.exited
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
	time.Sleep(4 * time.Second) // stable_window_ms, and a second more
	var mu sync.Mutex
	asked, served, failed, wrong := 0, 0, 0, 0
	judge := func(id string, r result) {
		mu.Lock()
		defer mu.Unlock()
		asked++
		success := r.whole && r.status >= 200 && r.status < 300
		text := "answer to " + id
		switch {
		case success && r.body == text:
			served++
		case success:
			wrong++
			rec.line("%s: MIXED: status %d, whole, with the body %q in place of %q", id, r.status, r.body, text)
		default:
			failed++
			rec.line("%s: status %d, whole %v (%v)", id, r.status, r.whole, r.err)
		}
		for _, x := range l.of(id) {
			if x.spoiled {
				rec.line("%s: run %d at %s, whose answer was spoiled", id, x.n, x.replica)
			}
		}
	}
	var group sync.WaitGroup
	until := time.Now().Add(framingFor)
	for i := range framingClients {
		group.Go(func() {
			c := &client{}
			defer c.drop()
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("r-%d-%d", i, n)
				q := request{method: "GET", target: "/stock/2f", id: id, key: "k1", deadline: 1500 * time.Millisecond}
				if n%2 == 1 {
					q.method, q.target, q.body = "POST", "/hold/2f", []byte("hold")
				}
				judge(id, c.send(routers[i%2].front, q))
				time.Sleep(framingPause)
			}
		})
	}
	group.Wait()
	rec.line("%d requests, %d served, %d failed, %d with a success and a wrong body", asked, served, failed, wrong)
	switch {
	case wrong > 0:
		rec.line("rule broken: MIXED")
		return 1
	case served == 0:
		rec.line("nothing was served")
		return 2
	}
	rec.line("rule held")
	return 0
}
