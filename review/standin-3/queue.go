package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["queue"] = queue }

const (
	queueRounds = 4
	// queueStreams are under way when a crowd comes.
	queueStreams = 20
	queueCrowd   = 56
	queueEvents  = 8
	// queueAt is when the crowd comes: a while after the streams' third events.
	queueAt = 1650 * time.Millisecond
	// acceptPause is for how long a replica opens no new connections.
	acceptPause = 800 * time.Millisecond
)

// shortQueue is the listener of a replica whose queue of new connections holds five.
type shortQueue struct {
	*net.TCPListener
	mu     sync.Mutex
	paused bool
}

func newShortQueue() *shortQueue {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	l := &shortQueue{TCPListener: listener.(*net.TCPListener)}
	raw, err := l.SyscallConn()
	check(err)
	check(raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 4) }))
	return l
}

func (l *shortQueue) pause(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = on
}

// Accept implements net.Listener. It accepts nothing while it pauses.
func (l *shortQueue) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		paused := l.paused
		l.mu.Unlock()
		if paused {
			time.Sleep(time.Millisecond)
			continue
		}
		if err := l.SetDeadline(time.Now().Add(2 * time.Millisecond)); err != nil {
			return nil, err
		}
		conn, err := l.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
	}
}

// queue: at one replica the queue of new connections is full for a moment. Its streams go on.
func queue(rec *record) int {
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	defer func() { _ = os.RemoveAll(dir) }()
	s, l := newStore(), newLedger()
	configuration := config(7, map[string][]string{"t1": {"k1"}})
	for _, r := range configuration["routes"].([]any) {
		r.(map[string]any)["timeout_ms"] = 12000
		r.(map[string]any)["gap_goal_ms"] = 800
	}
	s.put("config", "main", configuration)
	var busy *shortQueue
	for i := range 4 {
		listener := newShortQueue()
		if i == 0 {
			busy = listener
		}
		// Each replica is alone in its zone.
		r := newReplicaOn(listener, fmt.Sprintf("lm-%d", i), "lm", fmt.Sprintf("z%d", i), 100*time.Millisecond, l)
		r.pause, r.events = 700*time.Millisecond, queueEvents
		r.dropsAtOnce = i > 0 // most replicas do
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
	var ids []string
	whole, asked := 0, 0
	var mu sync.Mutex
	for round := range queueRounds {
		var group sync.WaitGroup
		chat := func(id string, n int) {
			ids = append(ids, id)
			group.Go(func() {
				c := &client{}
				defer c.drop()
				headers := fmt.Sprintf("Model: m\r\nToken-Count: 1460,80\r\nPrompt-Prefix: a0:512,b%03d:800,c%d%03d:148\r\n", n, round, n)
				r := c.send(routers[0].front, request{
					method: "POST", target: "/chat/2f", id: id, key: "k1", headers: headers, body: []byte("prompt"), deadline: 12 * time.Second,
				})
				rec.line("%s: status %d, whole %v (%v), %d bytes, after %.2f s", id, r.status, r.whole, r.err, len(r.body), r.ended.Sub(r.sent).Seconds())
				mu.Lock()
				defer mu.Unlock()
				asked++
				if r.whole && r.status == 200 {
					whole++
				}
			})
		}
		for i := range queueStreams {
			chat(fmt.Sprintf("stream-%d-%d", round, i), i)
			time.Sleep(time.Millisecond) // the queues are short
		}
		time.Sleep(queueAt)
		if trouble() {
			rec.line("lm-0 opens no new connections for %v", acceptPause)
			busy.pause(true)
			time.AfterFunc(acceptPause, func() { busy.pause(false) })
		}
		for i := range queueCrowd {
			chat(fmt.Sprintf("crowd-%d-%d", round, i), 100+i)
			time.Sleep(time.Millisecond)
		}
		group.Wait()
		time.Sleep(6 * time.Second)
	}
	twice := 0
	for _, id := range ids {
		runs := l.of(id)
		for j, x := range runs {
			if len(runs) > 1 {
				rec.line("%s: run %d at %s from %.3f s to %.3f s of the first, Last-Event-Id %q", id, x.n, x.replica, x.at.Sub(runs[0].at).Seconds(),
					x.ended.Sub(runs[0].at).Seconds(), x.lastEvent)
			}
			if j == 0 {
				continue
			}
			if before := runs[j-1]; before.ended.Sub(x.at) > atWorkFor {
				twice++
				rec.line("%s: TWICE: %s still worked on it %d ms after it went on at %s", id, before.replica, before.ended.Sub(x.at).Milliseconds(), x.replica)
			}
		}
	}
	rec.line("%d of %d chats were answered whole", whole, asked)
	if twice > 0 {
		rec.line("rule broken: TWICE, %d times in %d requests", twice, len(ids))
		return 1
	}
	rec.line("rule held")
	return 0
}
