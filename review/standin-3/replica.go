package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a replica.
type run struct {
	id, method, target, replica, lastEvent string
	at, ended                              time.Time // ended is when the replica stopped work on it
	n                                      int       // how many times the request had run before, plus one
}

// ledger has all runs, by request id.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]run
}

func newLedger() *ledger { return &ledger{runs: map[string][]run{}} }

func (l *ledger) add(r run) run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.at = time.Now()
	r.n = len(l.runs[r.id]) + 1
	l.runs[r.id] = append(l.runs[r.id], r)
	return r
}

// end records that the replica has stopped work on a run.
func (l *ledger) end(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.id][r.n-1].ended = time.Now()
}

func (l *ledger) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run{}, l.runs[id]...)
}

const eventCount = 10

// replica is a sound server of a service. It speaks HTTP/1.1 as PROTOCOL.md says.
type replica struct {
	id, service, address, zone string
	ledger                     *ledger
	work                       time.Duration // before the first byte of an answer's body
	pause                      time.Duration // between events
	events                     int           // of a stream
	listener                   net.Listener
	born                       time.Time

	mu    sync.Mutex
	conns map[net.Conn]bool
	down  bool
}

func newReplica(id, service, zone string, work time.Duration, l *ledger) *replica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	return newReplicaOn(listener, id, service, zone, work, l)
}

func newReplicaOn(listener net.Listener, id, service, zone string, work time.Duration, l *ledger) *replica {
	r := &replica{
		id: id, service: service, address: listener.Addr().String(), zone: zone, work: work, pause: 50 * time.Millisecond, events: eventCount, ledger: l,
		listener: listener, born: time.Now(), conns: map[net.Conn]bool{},
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[conn] = true
			r.mu.Unlock()
			go r.serve(conn)
		}
	}()
	return r
}

// crash closes the listener and all connections, as the end of a process does.
func (r *replica) crash() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = true
	for conn := range r.conns {
		_ = conn.Close()
	}
}

func (r *replica) entry() map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 128, "state": "ready", "cold_left_ms": 0,
		"seq": 1, "born": r.born.UnixMilli(),
	}
}

func (r *replica) serve(conn net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || !r.answer(conn, request) {
			return
		}
	}
}

func (r *replica) answer(conn net.Conn, q *http.Request) bool {
	id := q.Header.Get("Request-Id")
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return false
	}
	if q.Header.Get("Expect-Instance") != r.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id, id)
		return err == nil
	}
	got := r.ledger.add(run{id: id, method: q.Method, target: q.RequestURI, replica: r.id, lastEvent: q.Header.Get("Last-Event-Id")})
	defer r.ledger.end(got)
	time.Sleep(r.work)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Stamp: %s\r\nRequest-Id: %s\r\n", stampOf(r.id, got), id)
	if strings.HasPrefix(q.URL.Path, "/report/") || strings.HasPrefix(q.URL.Path, "/chat/") {
		return r.stream(conn, head, got)
	}
	text := "answer to " + id
	_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
	return err == nil
}

func stampOf(replica string, r run) string { return fmt.Sprintf("st.%s.%s.%d", replica, r.id, r.n) }

func event(id string, k int) string { return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", k, id, k) }

func (r *replica) stream(conn net.Conn, head string, got run) bool {
	if _, err := fmt.Fprintf(conn, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
		return false
	}
	first := 1
	if got.lastEvent != "" {
		_, _ = fmt.Sscan(got.lastEvent, &first)
		first++
	}
	for k := first; k <= r.events; k++ {
		text := event(got.id, k)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
		time.Sleep(r.pause)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}
