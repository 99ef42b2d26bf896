package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["window"] = window }

const (
	// windowBody is the size of a prompt: the most that the sheet of perruque-hub names.
	windowBody = 72_000
	// readsOn is when a late reader goes on reading a body.
	readsOn = 1500 * time.Millisecond
	// firstEvent is when a replica has its first event, windowPause the time between two events and
	// windowEvents their number.
	firstEvent   = 100 * time.Millisecond
	windowPause  = 700 * time.Millisecond
	windowEvents = 6
	// atWorkFor is the time of the rule.
	atWorkFor = 400 * time.Millisecond
)

// lateReader is a replica of a streaming service. It begins to work and to answer when it has the head of
// a request, and reads the rest of a long body later. It drops a request when its connection has closed.
type lateReader struct {
	id, address string
	late        bool
	ledger      *ledger
}

func newLateReader(id string, late bool, l *ledger) *lateReader {
	r := &lateReader{id: id, late: late, ledger: l}
	// Links have small windows (DEPLOY.md).
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10) })
	}}
	listener, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	check(err)
	r.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r
}

func (r *lateReader) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReaderSize(conn, 4<<10)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || !r.answer(conn, request) {
			return
		}
	}
}

func (r *lateReader) answer(conn net.Conn, q *http.Request) bool {
	id := q.Header.Get("Request-Id")
	if q.Header.Get("Expect-Instance") != r.id {
		_, _ = io.Copy(io.Discard, q.Body)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id, id)
		return err == nil
	}
	got := r.ledger.add(run{id: id, method: q.Method, target: q.RequestURI, replica: r.id, lastEvent: q.Header.Get("Last-Event-Id")})
	defer r.ledger.end(got)
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nServer-Stamp: %s\r\nRequest-Id: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", stampOf(r.id, got), id); err != nil {
		return false
	}
	// dropped is closed when the replica notices, while it reads the body, that its connection has ended.
	dropped, read := make(chan struct{}), make(chan struct{})
	go func() {
		if r.late {
			time.Sleep(readsOn)
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			close(dropped)
		}
		close(read)
	}()
	first := 1
	if got.lastEvent != "" {
		_, _ = fmt.Sscan(got.lastEvent, &first)
		first++
	}
	time.Sleep(firstEvent)
	for k := first; k <= windowEvents; k++ {
		text := event(id, k)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
		select {
		case <-dropped:
			return false
		case <-time.After(windowPause):
		}
	}
	<-read
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

func (r *lateReader) entry(zone string) map[string]any {
	return map[string]any{
		"service": "lm", "address": r.address, "zone": zone, "version": "v1", "slots": 128, "state": "ready", "cold_left_ms": 0, "seq": 1,
		"born": 1700000000000,
	}
}

// window: sound replicas read the rest of a long body a second after they have begun to work on the request.
func window(rec *record) int {
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	defer func() { _ = os.RemoveAll(dir) }()
	s := newStore()
	l := newLedger()
	configuration := config(7, map[string][]string{"t1": {"k1"}})
	for _, r := range configuration["routes"].([]any) {
		r.(map[string]any)["timeout_ms"] = 12000
		r.(map[string]any)["gap_goal_ms"] = 800
	}
	s.put("config", "main", configuration)
	for i := range 4 {
		zone := fmt.Sprintf("z%d", i%2)
		r := newLateReader(fmt.Sprintf("lm-%d", i), trouble(), l)
		s.put("servers", r.id, r.entry(zone))
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
	const requests = 10
	body := make([]byte, windowBody)
	for i := range body {
		body[i] = 'p'
	}
	var group sync.WaitGroup
	for i := range requests {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 1500 * time.Millisecond)
			c := &client{}
			defer c.drop()
			id := fmt.Sprintf("chat-%d", i)
			x := c.send(routers[i%2].front, request{method: "POST", target: "/chat/2f", id: id, key: "k1", body: body, deadline: 12 * time.Second})
			rec.line("%s: status %d, whole %v (%v), %d bytes, after %.2f s", id, x.status, x.whole, x.err, len(x.body), x.ended.Sub(x.sent).Seconds())
		})
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	twice := 0
	for i := range requests {
		id := fmt.Sprintf("chat-%d", i)
		runs := l.of(id)
		for j, x := range runs {
			rec.line("%s: run %d at %s from %.3f s to %.3f s of the first, Last-Event-Id %q", id, x.n, x.replica, x.at.Sub(runs[0].at).Seconds(), x.ended.Sub(runs[0].at).Seconds(), x.lastEvent)
			if j == 0 {
				continue
			}
			if before := runs[j-1]; before.ended.Sub(x.at) > atWorkFor {
				twice++
				rec.line("%s: TWICE: %s still worked on it %.0f ms after it went on at %s", id, before.replica, float64(before.ended.Sub(x.at).Milliseconds()), x.replica)
			}
		}
	}
	if twice > 0 {
		rec.line("rule broken: TWICE, %d times in %d requests", twice, requests)
		return 1
	}
	rec.line("rule held")
	return 0
}
