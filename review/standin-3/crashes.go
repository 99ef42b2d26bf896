package main

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["crashes"] = crashes }

const (
	crashReplicas = 8
	crashAtOnce   = 2 // a quarter of the service
	crashGap      = 120 * time.Millisecond
	crashFor      = 2 * time.Second // until a replica is back
	lapsesAfter   = 3600 * time.Millisecond
	systemPrompts = 3
	chatDeadline  = 10 * time.Second
	// The crowd comes at once; the chats after it ask about new subjects.
	crowdSize   = 48
	subjects    = 30
	asks        = 8
	asksGap     = 5 * time.Second
	plainGap    = 150 * time.Millisecond
	restedAfter = 6 * time.Second // after the crashes: the replicas are back, the old entries are gone
)

// prompt returns the headers of a chat about a subject.
func prompt(subject int, id string) string {
	return fmt.Sprintf("Model: m\r\nToken-Count: 1460,80\r\nPrompt-Prefix: a0%d:512,b0%02d:800,%x:148\r\n", subject%systemPrompts, subject, len(id)*7919+subject)
}

// tally counts the requests of a kind, and those that were served.
type tally struct {
	mu           sync.Mutex
	asked        int
	served       int
	refused      int
	servedOf     map[int]int // by subject
	lastRefusals []string
}

func (t *tally) add(rec *record, id string, subject int, r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked++
	switch {
	case r.status == 200 && r.whole:
		t.served++
		t.servedOf[subject]++
	case r.status == 503:
		t.refused++
	}
	rec.line("%s: status %d, whole %v (%v), after %.2f s, Retry-After %q %.50q", id, r.status, r.whole, r.err, r.ended.Sub(r.sent).Seconds(), r.retryAfter,
		r.body[:min(len(r.body), 40)])
}

// ask sends a request and, like a client, once more after a refusal, when the answer says so and within a
// third of the time that is left.
func ask(rec *record, front string, q request, t *tally, subject int) {
	began := time.Now()
	c := &client{}
	defer func() { c.drop() }()
	r := c.send(front, q)
	if seconds, err := strconv.ParseFloat(r.retryAfter, 64); r.status == 503 && err == nil {
		left := q.deadline - time.Since(began)
		time.Sleep(min(time.Duration(seconds*float64(time.Second)), left/3))
		c.drop()
		rec.line("%s: refused %.50q, asks again", q.id, r.body)
		q.id += "-again"
		q.deadline -= time.Since(began)
		r = c.send(front, q)
	}
	t.add(rec, q.id, subject, r)
}

// crashes: all replicas of a service crash, a quarter at a time, and are back two seconds later.
func crashes(rec *record) int {
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	defer func() { _ = os.RemoveAll(dir) }()
	s, l := newStore(), newLedger()
	configuration := config(7, map[string][]string{"t1": {"k1"}})
	for _, r := range configuration["routes"].([]any) {
		r.(map[string]any)["timeout_ms"] = chatDeadline.Milliseconds()
	}
	s.put("config", "main", configuration)
	zone := func(i int) string { return fmt.Sprintf("z%d", i%4) }
	var replicas []*replica
	start := func(i, incarnation int) *replica {
		// A chat's first event comes within its aim of 500 ms.
		r := newReplica(fmt.Sprintf("lm-%d-%d", i, incarnation), "lm", zone(i), 300*time.Millisecond, l)
		s.put("servers", r.id, r.entry())
		return r
	}
	for i := range crashReplicas {
		replicas = append(replicas, start(i, 1))
	}
	for i := range 4 {
		r := newReplica(fmt.Sprintf("app-%d", i), "app", zone(i), 15*time.Millisecond, l)
		s.put("servers", r.id, r.entry())
	}
	var routers []*router
	defer func() {
		for _, r := range routers {
			r.signal(syscall.SIGKILL)
			<-r.exited
		}
	}()
	for i := range 4 {
		r := newRouter(dir, fmt.Sprintf("edge-%d", i), zone(i), s.address)
		r.start()
		routers = append(routers, r)
	}
	for _, r := range routers {
		if !r.awaitReady(10 * time.Second) {
			rec.line("router %s did not become ready", r.id)
			return 2
		}
	}
	time.Sleep(4 * time.Second)

	chats, plain := &tally{servedOf: map[int]int{}}, &tally{servedOf: map[int]int{}}
	var group sync.WaitGroup
	chat := func(id string, subject int) {
		group.Go(func() {
			q := request{method: "POST", target: "/report/2f", id: id, key: "k1", headers: prompt(subject, id), body: []byte("prompt"), deadline: chatDeadline}
			ask(rec, routers[subject%len(routers)].front, q, chats, subject)
		})
	}
	stop := make(chan struct{})
	group.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(plainGap):
			}
			ask(rec, routers[n%4].front, request{method: "GET", target: "/stock/2f", id: fmt.Sprintf("stock-%d", n), key: "k1", deadline: 1500 * time.Millisecond}, plain, 0)
		}
	})
	// A first crowd, which is served.
	for i := range crowdSize {
		chat(fmt.Sprintf("first-%d", i), 50+i)
	}
	time.Sleep(3 * time.Second)
	// A second crowd, and the crashes while it waits for its first events.
	for i := range crowdSize {
		chat(fmt.Sprintf("crowd-%d", i), 50+i)
	}
	time.Sleep(100 * time.Millisecond)
	if trouble() {
		for i, r := range replicas {
			if i > 0 && i%crashAtOnce == 0 {
				time.Sleep(crashGap)
			}
			rec.line("%s crashes", r.id)
			r.crash()
			time.AfterFunc(crashFor, func() { rec.line("%s starts", start(i, 2).id) })
			time.AfterFunc(lapsesAfter, func() { s.remove("servers", r.id) })
		}
	}
	time.Sleep(restedAfter)
	rec.line("all replicas are up; chats about %d new subjects, %d times each, in %.0f s", subjects, asks, (asks * asksGap).Seconds())
	for k := range asks {
		for subject := range subjects {
			chat(fmt.Sprintf("chat-%d-%d", subject, k), subject)
			time.Sleep(asksGap / subjects)
		}
	}
	close(stop)
	group.Wait()

	all := float64(chats.served+plain.served) / float64(chats.asked+plain.asked)
	share := float64(chats.served) / float64(chats.asked)
	never := 0
	for subject := range subjects {
		if chats.servedOf[subject] == 0 {
			never++
		}
	}
	rec.line("chats: %d asked, %d served, %d refused with 503; plain requests: %d asked, %d served", chats.asked, chats.served, chats.refused, plain.asked, plain.served)
	rec.line("served of chats %.2f, of all %.2f; %d of %d subjects that were asked for %d times were never served", share, all, never, subjects, asks)
	if share < all/4 {
		rec.line("rule broken: STARVED, a kind of request is served less than a quarter as often as all")
		return 1
	}
	// What chance would give, if each request were served with the share of all.
	chance := subjects * math.Pow(1-all, asks)
	if float64(never) > 2+0.04*subjects+3*chance {
		rec.line("rule broken: STARVED, subjects that are never served")
		return 1
	}
	rec.line("rule held")
	return 0
}
