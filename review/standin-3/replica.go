package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a replica.
type run struct {
	id, method, target, replica, lastEvent string
	at, ended                              time.Time // ended is when the replica stopped work on it
	n                                      int       // how many times the request had run before, plus one
	spoiled                                bool      // whether its answer was spoiled
	body                                   []byte    // of a stream, as it was sent
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

// end records that the replica has stopped work on a run, unless it has been recorded.
func (l *ledger) end(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := &l.runs[r.id][r.n-1]; known.ended.IsZero() {
		known.ended = time.Now()
	}
}

// spoil records that the answer of a run is spoiled.
func (l *ledger) spoil(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.id][r.n-1].spoiled = true
}

// sent records the body of a stream as it was sent.
func (l *ledger) sent(r run, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.id][r.n-1].body = body
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
	// dropsAtOnce is set if the replica drops a stream as soon as its connection closes. Otherwise it does when
	// a write fails.
	dropsAtOnce bool
	// spoilEvery makes each so many-th answer that is no stream a spoiled one (see spoiled); 0 means none.
	spoilEvery int
	// lose, unless nil, returns the place in a stream's body from which on bytes are lost, and their number; 0 for none.
	lose     func() (at, n int)
	listener net.Listener
	born     time.Time

	mu      sync.Mutex
	conns   map[net.Conn]bool
	down    bool
	answers int // that are no streams
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
		if err != nil || !r.answer(conn, reader, request) {
			return
		}
	}
}

func (r *replica) answer(conn net.Conn, reader *bufio.Reader, q *http.Request) bool {
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
		return r.stream(conn, reader, head, got)
	}
	text := "answer to " + id
	if r.spoils() {
		r.ledger.spoil(got)
		_, _ = io.WriteString(conn, spoiled(head, text))
		return false
	}
	_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
	return err == nil
}

// spoils reports whether the replica spoils its next answer.
func (r *replica) spoils() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers++
	return r.spoilEvery > 0 && r.answers%r.spoilEvery == 0
}

// spoiled returns the bytes of an answer whose framing is faulty: it says that it is of HTTP/1.0 and that its
// body is in chunks. The connection is closed after it.
func spoiled(head, text string) string {
	head = strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1)
	return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(text), text)
}

func stampOf(replica string, r run) string { return fmt.Sprintf("st.%s.%s.%d", replica, r.id, r.n) }

func event(id string, k int) string { return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", k, id, k) }

// closing returns a channel that is closed when the connection closes, and a function that waits until the
// reader may be used again, which is when the next request comes or the connection closes.
func closing(reader *bufio.Reader) (closed <-chan struct{}, wait func()) {
	gone, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		if _, err := reader.Peek(1); err != nil {
			close(gone)
		}
	}()
	return gone, func() { <-done }
}

func (r *replica) stream(conn net.Conn, reader *bufio.Reader, head string, got run) (whole bool) {
	var closed <-chan struct{} // never closed unless dropsAtOnce is set
	if r.dropsAtOnce {
		gone, wait := closing(reader)
		closed = gone
		defer func() {
			r.ledger.end(got)
			if !whole {
				_ = conn.Close()
			}
			wait()
		}()
	}
	if _, err := fmt.Fprintf(conn, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
		return false
	}
	first := 1
	if last, err := strconv.Atoi(got.lastEvent); err == nil {
		first = last + 1
	}
	body := &lossy{Writer: conn}
	if r.lose != nil {
		body.at, body.lost = r.lose()
	}
	defer func() { r.ledger.sent(got, body.sent) }()
	for k := first; k <= r.events; k++ {
		text := event(got.id, k)
		if _, err := fmt.Fprintf(body, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
		select {
		case <-closed:
			return false
		case <-time.After(r.pause):
		}
	}
	_, err := io.WriteString(body, "0\r\n\r\n")
	return err == nil
}

// lossy is a writer that loses some bytes.
type lossy struct {
	io.Writer
	at, lost int // what is lost: from at on, that many bytes
	written  int
	sent     []byte // what was not lost
}

// Write implements io.Writer.
func (l *lossy) Write(p []byte) (int, error) {
	from := min(max(l.at-l.written, 0), len(p))
	to := min(max(l.at+l.lost-l.written, from), len(p))
	kept := append(append([]byte{}, p[:from]...), p[to:]...)
	l.written += len(p)
	l.sent = append(l.sent, kept...)
	if _, err := l.Writer.Write(kept); err != nil {
		return 0, err
	}
	return len(p), nil
}
