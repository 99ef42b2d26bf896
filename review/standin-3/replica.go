package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one run of a request at a replica.
type run struct {
	id, method, target, tenant, replica, lastEvent string
	bodyHash                                       string
	at, ended                                      time.Time // ended is when the replica stopped work on it
	n                                              int       // how many times the request had run before, plus one
}

// ledger has all runs, by request id.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]run
}

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

// replica is a server of a service. It speaks HTTP/1.1 as PROTOCOL.md says.
type replica struct {
	id, service, address, zone string
	ledger                     *ledger
	listener                   net.Listener
	// fault chooses how a request is answered; nil means soundly.
	fault func(r *http.Request) string
	// work is the time that a plain request takes.
	work  func(r *http.Request) time.Duration
	pause time.Duration // between events
	// eventCount above 0 is the number of events of a stream.
	eventCount int
	// slots above 0 makes the replica tell its load, and refuse what does not fit.
	slots int
	mu    sync.Mutex
	conns map[net.Conn]bool
	open  atomic.Int64
}

func newReplica(id, service, zone string, l *ledger) *replica {
	r := &replica{id: id, service: service, zone: zone, ledger: l, conns: map[net.Conn]bool{}, pause: 20 * time.Millisecond}
	r.listen("127.0.0.1:0")
	return r
}

func (r *replica) listen(address string) {
	listener, err := net.Listen("tcp", address)
	check(err)
	r.listener, r.address = listener, listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[conn] = true
			r.mu.Unlock()
			go r.serve(conn.(*net.TCPConn))
		}
	}()
}

// crash closes the listener and all connections, as the end of a process does.
func (r *replica) crash() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (r *replica) entry() map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0,
		"seq": 1, "born": 1700000000000,
	}
}

const eventCount = 10

// events returns the number of events of a stream.
func (r *replica) events() int {
	if r.eventCount > 0 {
		return r.eventCount
	}
	return eventCount
}

func (r *replica) serve(conn *net.TCPConn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReaderSize(conn, 64<<10)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !r.answer(conn, reader, request) {
			return
		}
	}
}

func (r *replica) answer(conn *net.TCPConn, reader *bufio.Reader, q *http.Request) bool {
	id := q.Header.Get("Request-Id")
	if q.Header.Get("Expect-Instance") != r.id {
		_, _ = io.Copy(io.Discard, q.Body)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id, id)
		return err == nil
	}
	fault := ""
	if r.fault != nil {
		fault = r.fault(q)
	}
	switch fault {
	case "early-shed":
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		time.Sleep(30 * time.Millisecond)
		_, err := io.Copy(io.Discard, q.Body)
		return err == nil
	case "early-shed-close":
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRequest-Id: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", id)
		return false
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return false
	}
	if r.slots > 0 && r.open.Load() >= int64(2*r.slots) {
		fault = "shed"
	}
	if fault == "shed" {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	got := r.ledger.add(run{
		id: id, method: q.Method, target: q.RequestURI, tenant: q.Header.Get("Tenant"), replica: r.id,
		bodyHash: hash(body), lastEvent: q.Header.Get("Last-Event-Id"),
	})
	r.open.Add(1)
	defer func() {
		r.open.Add(-1)
		r.ledger.end(got)
	}()
	if r.work != nil {
		time.Sleep(r.work(q))
	}
	stamp := fmt.Sprintf("st.%s.%s.%d", r.id, id, got.n)
	if r.slots > 0 {
		running := int(r.open.Load())
		id = fmt.Sprintf("%s\r\nReplica-Load: %d,%d,%d,%d", id, min(running, r.slots), max(0, running-r.slots), r.slots, 100+running*5)
	}
	switch fault {
	case "reset":
		_ = conn.SetLinger(0)
		return false
	case "close":
		return false
	case "hang":
		time.Sleep(6 * time.Second)
		return false
	case "500":
		text := "failed " + got.id
		_, err := fmt.Fprintf(conn, "HTTP/1.1 500 Internal Server Error\r\nServer-Stamp: %s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", stamp, id, len(text), text)
		return err == nil
	}
	if strings.HasPrefix(q.URL.Path, "/chat/") || strings.HasPrefix(q.URL.Path, "/report/") {
		return r.stream(conn, got.id, id, stamp, fault, got.lastEvent)
	}
	text := answerOf(got.id, got.n, got.bodyHash)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Stamp: %s\r\nRequest-Id: %s\r\n", stamp, id)
	whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
	switch fault {
	case "cut":
		_, _ = io.WriteString(conn, whole[:len(whole)-7])
		return false
	case "cut-reset":
		_, _ = io.WriteString(conn, whole[:len(whole)-7])
		time.Sleep(5 * time.Millisecond)
		_ = conn.SetLinger(0)
		return false
	case "cut-head":
		_, _ = io.WriteString(conn, whole[:30])
		return false
	case "unframed":
		_, _ = io.WriteString(conn, head+"\r\n"+text)
		return false
	case "unframed-reset":
		_, _ = io.WriteString(conn, head+"\r\n"+text[:len(text)/2])
		time.Sleep(5 * time.Millisecond)
		_ = conn.SetLinger(0)
		return false
	case "extra":
		_, err := io.WriteString(conn, whole+whole)
		return err == nil
	case "extra-late":
		_, _ = io.WriteString(conn, whole)
		time.Sleep(15 * time.Millisecond)
		_, err := io.WriteString(conn, whole)
		return err == nil
	case "junk":
		_, _ = io.WriteString(conn, "\x01\x02junk\r\n\r\n")
		return false
	case "junk-after":
		_, err := io.WriteString(conn, whole+"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc")
		return err == nil
	case "close-after":
		_, _ = io.WriteString(conn, whole)
		return false
	}
	_, err = io.WriteString(conn, whole)
	return err == nil
}

func answerOf(id string, n int, bodyHash string) string {
	return fmt.Sprintf("answer to %s run %d body %s %s", id, n, bodyHash, strings.Repeat("x", 700))
}

func event(id string, k int) string { return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", k, id, k) }

func wholeStream(id string) string {
	var b strings.Builder
	for k := 1; k <= eventCount; k++ {
		b.WriteString(event(id, k))
	}
	return b.String()
}

func (r *replica) stream(conn *net.TCPConn, id, headID, stamp, fault, last string) bool {
	first := 1
	if last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	chunked := fault != "unframed" && fault != "unframed-reset"
	framing := "Transfer-Encoding: chunked\r\n"
	if !chunked {
		framing = ""
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nServer-Stamp: %s\r\nRequest-Id: %s\r\nContent-Type: text/event-stream\r\n%s\r\n", stamp, headID, framing); err != nil {
		return false
	}
	send := func(text string) error {
		if chunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		_, err := io.WriteString(conn, text)
		return err
	}
	for k := first; k <= r.events(); k++ {
		text := event(id, k)
		if k == first+4 {
			switch fault {
			case "cut":
				_ = send(text[:len(text)/2])
				return false
			case "cut-reset", "unframed-reset":
				_ = send(text[:len(text)/2])
				time.Sleep(5 * time.Millisecond)
				_ = conn.SetLinger(0)
				return false
			case "cut-between":
				return false
			}
		}
		if send(text) != nil {
			return false
		}
		time.Sleep(r.pause)
	}
	if !chunked {
		return false
	}
	if fault == "cut-end" {
		return false
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}
