package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

const (
	routerCount   = 4
	endpointCount = 4
	eventCount    = 12
	eventInterval = 30 * time.Millisecond
)

// harness is a fleet of router processes with the stand-ins for the other systems. It
// collects the violated guarantees in problems.
type harness struct {
	t            *testing.T
	platform     *standin.Platform
	store        *httptest.Server
	storeProxies []*standin.FaultProxy // between the routers and the store, by router
	routers      []*routerProcess
	endpoints    []*endpoint

	mu            sync.Mutex
	configVersion int
	runs          map[string]int // by request id
	problems      []string
	wishes        *wishes
	versions      *versionLog
	promptRoute   map[string]any // of configurePrompts, or nil
	exits         exitLog
	restarts      sync.WaitGroup // endpoints that exited and are not back
}

func (h *harness) addProblem(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.problems = append(h.problems, fmt.Sprintf(format, args...))
}

// routerProcess is a process of the built binary that runs as a router.
type routerProcess struct {
	binary       string
	otherBinary  string // the other one of two builds; empty if there is one build
	settingsFile string
	log          string // path of the log file
	callers      string // address (host:port) of the listener for callers
	readiness    string // address (host:port) of the readiness listener
	mu           sync.Mutex
	command      *exec.Cmd
	exited       chan struct{}
}

func (r *routerProcess) start(t *testing.T) {
	t.Helper()
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(t, err)
	command := exec.Command(r.binary, "router", "--settings", r.settingsFile)
	command.Stderr = log
	assert.NilError(t, command.Start())
	exited := make(chan struct{})
	r.mu.Lock()
	r.command, r.exited = command, exited
	r.mu.Unlock()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
}

func (r *routerProcess) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.command.Process.Signal(s)
}

// awaitExit waits until the process has ended, and returns false if that takes longer than
// within.
func (r *routerProcess) awaitExit(within time.Duration) bool {
	r.mu.Lock()
	exited := r.exited
	r.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(within):
		return false
	}
}

func (r *routerProcess) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	response, err := client.Get("http://" + r.readiness + "/v1/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// endpoint is a stand-in for an endpoint, behind a fault proxy. It serves requests and
// streams, and counts each of them in harness.runs.
type endpoint struct {
	id     string
	server *httptest.Server
	proxy  *standin.FaultProxy
	born   atomic.Int64 // start, in Unix milliseconds
	// leaving and pausing are set while the endpoint says in its answers that it leaves, and
	// while it refuses requests and asks for a pause.
	leaving, pausing atomic.Bool
	version          string
	fault            versionFault // of the version
	losses           *losses      // of its streams, or nil
	inFlight         atomic.Int64
	gone             atomic.Bool // stopped for good
}

// start identifies the current start of the endpoint.
func (e *endpoint) start() string { return fmt.Sprint(e.id, "/", e.born.Load()) }

func (h *harness) newEndpoint(id string) *endpoint {
	e := &endpoint{id: id, version: firstVersion}
	e.born.Store(1)
	e.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { h.serveEndpoint(e, rw, r) }))
	proxy, err := standin.NewFaultProxy(e.server.Listener.Addr().String())
	assert.NilError(h.t, err)
	e.proxy = proxy
	return e
}

func (h *harness) serveEndpoint(e *endpoint, rw http.ResponseWriter, r *http.Request) {
	request := r.Header.Get("Request-Id")
	rw.Header().Set("Request-Id", request)
	if r.Header.Get("Expect-Instance") != e.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	h.wishes.arrived(h, request, e.start())
	h.versions.arrived(e.version, request)
	if e.pausing.Load() {
		h.wishes.askForPause(request, e.start())
		rw.Header().Set("Not-Run", "1")
		rw.Header().Set("Retry-After", fmt.Sprint(askedPause.Seconds()))
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if e.leaving.Load() {
		rw.Header().Set("Server-Leaving", "1")
		rw.Header().Set(startHeader, e.start())
	}
	h.mu.Lock()
	h.runs[request]++
	h.mu.Unlock()
	rw.Header().Set("Server-Stamp", "s-"+request)
	if e.fault.applies(request, r.URL.Path) {
		h.versions.answeredBadly(e.version)
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	time.Sleep(e.fault.delay)
	if strings.HasPrefix(r.URL.Path, "/prompt/") {
		h.servePrompt(e, rw, r)
		return
	}
	if !strings.HasPrefix(r.URL.Path, "/chat/") && !strings.HasPrefix(r.URL.Path, "/report/") {
		time.Sleep(5 * time.Millisecond)
		_, _ = rw.Write(append([]byte(request+" "), body...))
		return
	}
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	if at, lost := e.losses.draw(); lost > 0 {
		var events []string
		for event := first; event <= eventCount; event++ {
			events = append(events, fmt.Sprintf("id: %d\ndata: %s %d\n\n", event, request, event))
		}
		writeLosing(rw, events, at, lost)
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	for event := first; event <= eventCount; event++ {
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s %d\n\n", event, request, event)
		rw.(http.Flusher).Flush()
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// expectedStream returns the body of the complete stream for a request id.
func expectedStream(request string) string {
	var b strings.Builder
	for event := 1; event <= eventCount; event++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s %d\n\n", event, request, event)
	}
	return b.String()
}

// configure stores the next version of the configuration, which allows exactly the given
// API keys, and returns the number of that version.
func (h *harness) configure(keys ...string) int {
	h.mu.Lock()
	h.configVersion++
	version := h.configVersion
	h.mu.Unlock()
	route := func(name, kind string, attempts int, resume bool) map[string]any {
		return map[string]any{
			"name": name, "host": "h", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 4000, "goal_ms": 100,
			"service": "s", "attempts": attempts, "can_resume": resume,
		}
	}
	routes := []map[string]any{
		route("safe", "safe", 2, false), route("unsafe", "unsafe", 2, false),
		route("chat", "streaming", 3, true), route("report", "streaming", 2, false),
	}
	if h.promptRoute != nil {
		routes = append(routes, h.promptRoute)
	}
	h.platform.SetSpec("config", "main", map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []map[string]any{{"name": "s"}},
		"tenants":  []map[string]any{{"name": "w", "api_keys": keys}},
	})
	return version
}

func (h *harness) register(e *endpoint, state string) {
	if e.gone.Load() {
		return
	}
	h.platform.SetSpec("servers", e.id, map[string]any{
		"service": "s", "address": e.proxy.Addr(), "zone": "z", "version": e.version, "slots": 16, "state": state,
		"cold_left_ms": 0, "seq": e.born.Load(), "born": e.born.Load(),
	})
}

// build builds the router's binary, passing the arguments to go build, and returns its
// path.
func build(t *testing.T, arguments ...string) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "hornbeamproxy")
	arguments = append(append([]string{"build", "-o", binary}, arguments...), "../cmd/hornbeamproxy")
	out, err := exec.Command("go", arguments...).CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return binary
}

func newHarness(t *testing.T, binary string) *harness {
	t.Helper()
	h := &harness{t: t, platform: standin.NewPlatform(""), runs: map[string]int{}, wishes: newWishes(), versions: newVersionLog()}
	h.store = httptest.NewServer(h.platform)
	h.configure("k0", "spare")
	for i := range endpointCount {
		e := h.newEndpoint(fmt.Sprintf("i-%d", i))
		h.endpoints = append(h.endpoints, e)
		h.register(e, "ready")
	}
	t.Cleanup(h.close)
	for i := range routerCount {
		first, other := binary, *previous
		if other != "" && i%2 == 1 {
			first, other = other, first
			h.wishes.setIgnored(i, true)
		}
		r := h.startRouter(first, i)
		r.otherBinary = other
		h.routers = append(h.routers, r)
	}
	return h
}

// startRouter starts router i and waits until it is ready. If another process took one of
// the router's ports after the port was selected, it starts the router again with other
// ports.
func (h *harness) startRouter(binary string, i int) *routerProcess {
	for {
		r := h.newRouter(binary, i)
		r.start(h.t)
		for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline) && !r.awaitExit(20*time.Millisecond); {
			if r.isReady() {
				return r
			}
		}
		r.signal(syscall.SIGKILL)
		r.awaitExit(3 * time.Second)
		text, err := os.ReadFile(r.log)
		assert.NilError(h.t, err)
		assert.Assert(h.t, strings.Contains(string(text), "address already in use"), "router is not ready: %s", text)
		h.t.Logf("router %d is started again with other ports: %s", i, text)
		h.storeProxies[i].Close()
		h.storeProxies = h.storeProxies[:i]
	}
}

func (h *harness) newRouter(binary string, i int) *routerProcess {
	proxy, err := standin.NewFaultProxy(h.store.Listener.Addr().String())
	assert.NilError(h.t, err)
	h.storeProxies = append(h.storeProxies, proxy)
	addresses, err := standin.FreeAddresses(4)
	assert.NilError(h.t, err)
	dir := h.t.TempDir()
	r := &routerProcess{binary: binary, settingsFile: filepath.Join(dir, "router.toml"), log: filepath.Join(dir, "log"), callers: addresses[0], readiness: addresses[1]}
	text := fmt.Sprintf(`[router]
id = "r%d"
zone = "z"
[listen]
callers = %q
readiness = %q
metrics = %q
peers = %q
[store]
address = %q
[bounds]
grace_s = 6
retry_ratio = 0.2
retry_slack = 50
%s`, i, addresses[0], addresses[1], addresses[2], addresses[3], proxy.Addr(), rolloutSettings())
	assert.NilError(h.t, os.WriteFile(r.settingsFile, []byte(text), 0o600))
	return r
}

func (h *harness) close() {
	for _, r := range h.routers {
		r.signal(syscall.SIGCONT)
		r.signal(syscall.SIGKILL)
		r.awaitExit(5 * time.Second)
	}
	for _, e := range h.endpoints {
		e.proxy.Close()
		e.server.CloseClientConnections()
		e.server.Close()
	}
	for _, p := range h.storeProxies {
		p.Close()
	}
	h.store.CloseClientConnections()
	h.store.Close()
}

// runCaller sends requests to the routers in turn until ctx ends, and checks each
// response.
func (h *harness) runCaller(ctx context.Context, id int) {
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	paths := []string{"/unsafe/", "/chat/", "/safe/", "/report/"}
	for n := 0; ctx.Err() == nil; n++ {
		path := paths[n%len(paths)]
		request := fmt.Sprintf("c%d-%d", id, n)
		h.sendRequest(client, h.routers[(id+n)%len(h.routers)], path, request)
		time.Sleep(10 * time.Millisecond)
	}
}

func (h *harness) sendRequest(client *http.Client, router *routerProcess, path, id string) {
	h.wishes.send(id)
	r, _ := http.NewRequest(http.MethodPost, "http://"+router.callers+path+id, strings.NewReader("body "+id))
	r.Host = "h"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Api-Key", "k0")
	r.Header.Set("Deadline-Ms", "4000")
	response, err := client.Do(r)
	if err != nil {
		return
	}
	defer response.Body.Close()
	h.wishes.answered(id, response)
	body, err := io.ReadAll(response.Body)
	h.checkResponse(path, id, response, string(body), err)
}

// checkResponse checks the guarantees that hold for each response. A response with status
// 200 comes from the endpoint and is complete, or ended with an error after a correct
// start. An unsafe request that was refused has not run. No request is refused as
// unauthorized or not found, because every configuration allows it.
func (h *harness) checkResponse(path, id string, response *http.Response, body string, err error) {
	want := id + " body " + id
	if path == "/chat/" || path == "/report/" {
		want = expectedStream(id)
	}
	switch {
	case response.StatusCode == http.StatusOK && err == nil && body != want:
		h.addProblem("%s%s: a response that looks complete is not: %q", path, id, body)
	case response.StatusCode == http.StatusOK && !strings.HasPrefix(want, body):
		h.addProblem("%s%s: the body is not the endpoint's: %q", path, id, body)
	case response.StatusCode == http.StatusOK && response.Header.Get("Server-Stamp") != "s-"+id:
		h.addProblem("%s%s: the Server-Stamp header is %q", path, id, response.Header.Get("Server-Stamp"))
	case response.StatusCode == http.StatusUnauthorized || response.StatusCode == http.StatusNotFound:
		h.addProblem("%s%s: refused with %d though every configuration allows it", path, id, response.StatusCode)
	case path == "/unsafe/" && (response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests):
		h.mu.Lock()
		runs := h.runs[id]
		h.mu.Unlock()
		if runs > 0 {
			h.addProblem("%s%s: refused with %d though it ran", path, id, response.StatusCode)
		}
	}
}

// checkRuns checks that no unsafe request and no stream that can't be resumed ran more
// than once, and that the callers sent enough requests.
func (h *harness) checkRuns(callers int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	assert.Assert(h.t, len(h.runs) > 20*callers, "the load ran only %d requests", len(h.runs))
	for id, runs := range h.runs {
		var caller, n int
		if _, err := fmt.Sscanf(id, "c%d-%d", &caller, &n); err != nil {
			continue
		}
		// The paths alternate as in runCaller: unsafe, chat, safe, report.
		if onlyOnce := n%4 == 0 || n%4 == 3; onlyOnce && runs > 1 {
			h.problems = append(h.problems, fmt.Sprintf("%s ran %d times", id, runs))
		}
	}
}
