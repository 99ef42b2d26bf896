package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is a sound replica. It runs a request for the given time, or answers it with a stream
// of events, and it refuses what is meant for another instance.
type replica struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	events                     int           // of a stream; 0 for a plain answer
	gap                        time.Duration // between two events
	record                     *record
	listener                   net.Listener
	places                     chan struct{} // of running requests
	queue                      chan struct{} // of running and waiting requests
	server                     *http.Server

	mu   sync.Mutex
	runs []run
}

// run is a request that reached the replica and was not refused.
type run struct {
	id, tenant string
	arrived    time.Time
	done       bool // answered to its end
}

func startReplica(r *record, service, id, zone string, slots, queue int, work time.Duration, events int, gap time.Duration) *replica {
	p := &replica{
		id: id, service: service, zone: zone, slots: slots, work: work, events: events, gap: gap, record: r,
		listener: listenLoopback(), places: make(chan struct{}, slots), queue: make(chan struct{}, slots+queue),
	}
	p.address = p.listener.Addr().String()
	p.server = &http.Server{Handler: p, IdleTimeout: 6 * time.Second}
	go func() { _ = p.server.Serve(p.listener) }()
	return p
}

// entry is what the replica registers in the store.
func (p *replica) entry(state string) map[string]any {
	return map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots,
		"state": state, "cold_left_ms": 0, "seq": 1, "born": start.UnixMilli(),
	}
}

// exit ends the replica: its requests at work are lost.
func (p *replica) exit() { _ = p.server.Close() }

func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	header := w.Header()
	id := r.Header.Get("Request-Id")
	header.Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != p.id {
		header.Set("Instance", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case p.queue <- struct{}{}:
		defer func() { <-p.queue }()
	default:
		header.Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	at := p.begin(id, r.Header.Get("Tenant"), arrived)
	_, _ = io.Copy(io.Discard, r.Body)
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	select {
	case p.places <- struct{}{}:
		defer func() { <-p.places }()
	case <-ctx.Done():
		return
	}
	header.Set("Server-Stamp", "stamp."+p.id+"."+id)
	header.Set("Keep-Alive", "timeout=5")
	if !sleep(ctx, p.work) {
		return
	}
	if p.events == 0 {
		_, _ = io.WriteString(w, strings.Repeat("x", 800))
		p.end(at)
		return
	}
	header.Set("Content-Type", "text/event-stream")
	for n := 1; n <= p.events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("t", 50)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		if n < p.events && !sleep(ctx, p.gap) {
			return
		}
	}
	p.end(at)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (p *replica) begin(id, tenant string, arrived time.Time) int {
	p.record.line(arrived, "replica %s: request %s of tenant %s arrived", p.id, id, tenant)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, run{id: id, tenant: tenant, arrived: arrived})
	return len(p.runs) - 1
}

func (p *replica) end(at int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[at].done = true
}

// arrivals returns the requests that arrived after the given time.
func (p *replica) arrivals(after time.Time) []run {
	p.mu.Lock()
	defer p.mu.Unlock()
	var late []run
	for _, r := range p.runs {
		if r.arrived.After(after) {
			late = append(late, r)
		}
	}
	return late
}
