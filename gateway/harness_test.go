package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/gateway"
	"github.com/hornbeamproxy/hornbeamproxy/platform"
	"github.com/hornbeamproxy/hornbeamproxy/quota"
	"github.com/hornbeamproxy/hornbeamproxy/roster"
	"github.com/hornbeamproxy/hornbeamproxy/routing"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

// endpoint is a fake endpoint that answers each request with the next script, and
// repeats the last script when there are no more.
type endpoint struct {
	id       string
	listener net.Listener

	mu       sync.Mutex
	scripts  []script
	requests []*http.Request
	closed   int // number of connections that the gateway closed
	accepted int // number of connections in all
	open     int // number of connections that are not closed
	conns    map[net.Conn]bool
}

// script writes the response to a request. The connection is closed when it returns
// false.
type script func(r *http.Request, w io.Writer) bool

func newEndpoint(t *testing.T, id string, scripts ...script) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &endpoint{id: id, listener: listener, scripts: scripts, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

func (e *endpoint) serve(conn net.Conn) {
	e.countOpen(conn, 1)
	defer e.countOpen(conn, -1)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			e.mu.Lock()
			e.closed++
			e.mu.Unlock()
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		request.Body = io.NopCloser(strings.NewReader(string(body)))
		e.mu.Lock()
		e.requests = append(e.requests, request)
		next := e.scripts[0]
		if len(e.scripts) > 1 {
			e.scripts = e.scripts[1:]
		}
		e.mu.Unlock()
		if !next(request, conn) {
			return
		}
	}
}

// countOpen records that a connection was opened (change 1) or closed (-1).
func (e *endpoint) countOpen(conn net.Conn, change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conns[conn] = true
	if change < 0 {
		delete(e.conns, conn)
	}
	e.open += change
	e.accepted += max(0, change)
}

// connections returns the numbers of connections that were accepted and that are open.
func (e *endpoint) connections() (accepted, open int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.accepted, e.open
}

func (e *endpoint) received() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*http.Request(nil), e.requests...)
}

func answer(status int, headers, body string) script {
	return func(r *http.Request, w io.Writer) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n%sContent-Length: %d\r\n\r\n%s",
			status, r.Header.Get("Request-Id"), headers, len(body), body)
		return true
	}
}

func refuseNotRun(r *http.Request, w io.Writer) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
	return true
}

func closeWithoutResponse(*http.Request, io.Writer) bool { return false }

func truncated(r *http.Request, w io.Writer) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\nhalf", r.Header.Get("Request-Id"))
	return false
}

// events writes a stream with the events from first to last. If whole is true it ends
// the stream, otherwise it closes the connection in the middle of an event.
func events(first, last int, whole bool) script {
	return func(r *http.Request, w io.Writer) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: s%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			r.Header.Get("Request-Id"), first)
		for id := first; id <= last; id++ {
			event := fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
			_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		}
		if whole {
			_, _ = io.WriteString(w, "0\r\n\r\n")
		} else {
			_, _ = io.WriteString(w, "7\r\nid: 99\n\r\n")
		}
		return whole
	}
}

const timeout = 2 * time.Second

// testGateway is a gateway that serves HTTP on url and forwards to fake endpoints.
type testGateway struct {
	*gateway.Gateway
	url      string
	metrics  *telemetry.Metrics
	reporter *recorder
}

// recorder is a gateway.Reporter that keeps one line for each call.
type recorder struct {
	mu    sync.Mutex
	lines []string
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf(format, args...))
}

// take returns the lines since the last call.
func (r *recorder) take() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	lines := r.lines
	r.lines = nil
	return lines
}

func (r *recorder) OutcomeUnknown(f gateway.FailedRequest) {
	r.add("unknown %s %s %s", f.ID, f.Workspace, f.Reason)
}

func (r *recorder) ResponseBroken(f gateway.FailedRequest)     { r.add("broken %s %s", f.Route, f.Reason) }
func (r *recorder) EndpointUnreachable(entry roster.Entry)     { r.add("unreachable %s", entry.ID) }
func (r *recorder) PromptQuarantined(part string, _ time.Time) { r.add("quarantined %s", part) }
func (r *recorder) EndpointRecovered(id string)                { r.add("recovered %s", id) }

func newTestGateway(t *testing.T, endpoints ...*endpoint) testGateway {
	t.Helper()
	return newTestGatewayWith(t, gateway.ByWorkIfReported, endpoints...)
}

func newTestGatewayWith(t *testing.T, placement gateway.PlacementByWork, endpoints ...*endpoint) testGateway {
	t.Helper()
	metrics, reporter := telemetry.NewMetrics(), &recorder{}
	g := gateway.New(gateway.Config{
		Zone: "z", Codec: platform.Codec{}, Logger: zap.NewNop(), Metrics: metrics,
		Bounds:   gateway.Bounds{RetryRatio: 0.2, RetrySlack: 20, ColdRateFactor: 1.5, ColdRateSlack: 5, LoadFactor: 2},
		Reporter: reporter,
		Routers:  func() *quota.Routers { return quota.NewRouters("r", nil) },

		PlacementByWork: placement,
	})
	server := httptest.NewServer(g)
	t.Cleanup(server.Close)
	f := testGateway{Gateway: g, url: server.URL, metrics: metrics, reporter: reporter}
	for _, e := range endpoints {
		f.register(e)
	}
	ids := map[string]bool{}
	for _, e := range endpoints {
		ids[e.id] = true
	}
	g.RetainEndpoints(ids)
	return f
}

func (f testGateway) register(e *endpoint) {
	f.SetEndpoint(roster.Entry{ID: e.id, Service: "s", Address: e.listener.Addr().String(), Zone: "z", Slots: 8, Started: 1})
}

func (f testGateway) configure() testGateway { return f.configureRevision(1) }

func (f testGateway) configureRevision(revision uint64) testGateway {
	target := []routing.Target{{Service: "s", Weight: 1}}
	f.SetConfig(routing.Config{
		Revision: revision,
		Services: map[string]*routing.Service{"s": {Name: "s"}},
		Routes: []*routing.Route{
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: routing.Safe, Timeout: timeout, Targets: target, MaxEndpoints: 2},
			{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: routing.Unsafe, Timeout: timeout, Targets: target, MaxEndpoints: 2},
			{Name: "chat", Host: "h", Prefix: "/chat/", Kind: routing.Stream, Timeout: timeout, Targets: target, MaxEndpoints: 3, Resumable: true},
			{Name: "once", Host: "h", Prefix: "/once/", Kind: routing.Unsafe, Timeout: timeout, Targets: target, MaxEndpoints: 1},
			{Name: "prompt", Host: "h", Prefix: "/prompt/", Kind: routing.Stream, Timeout: timeout, Targets: target, MaxEndpoints: 1, CachesPrompts: true},
			{Name: "chatprompt", Host: "h", Prefix: "/chatprompt/", Kind: routing.Stream, Timeout: timeout, Targets: target, MaxEndpoints: 3, Resumable: true, CachesPrompts: true},
			{Name: "report", Host: "h", Prefix: "/report/", Kind: routing.Stream, Timeout: timeout, Targets: target, MaxEndpoints: 2},
		},
		Workspaces: []*routing.Workspace{{Name: "w", Keys: []string{"key"}}},
	})
	return f
}

func (f testGateway) request(t *testing.T, path string, headers ...string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, f.url+path, strings.NewReader("body"))
	assert.NilError(t, err)
	r.Host = "h"
	r.Header.Set("Request-Id", "r1")
	r.Header.Set("Api-Key", "key")
	r.Header.Set("Deadline-Ms", "1500")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

// do sends a request and returns the response, its body and the error of reading the
// body.
func (f testGateway) do(t *testing.T, path string, headers ...string) (*http.Response, string, error) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(f.request(t, path, headers...))
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(3 * time.Second)
	for !condition() {
		assert.Assert(t, time.Now().Before(deadline), "condition not met in time")
		time.Sleep(5 * time.Millisecond)
	}
}
