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
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

const (
	routers     = 4
	endpoints   = 4
	eventsCount = 12
	eventPause  = 30 * time.Millisecond
)

// world is a fleet of router processes with their stand-ins.
type world struct {
	t       *testing.T
	stand   *standin.Platform
	store   *httptest.Server
	proxies []*standin.FaultProxy // routers to the store, one each
	routers []*routerProcess
	servers []*endpoint

	mu       sync.Mutex
	revision int
	runs     map[string]int // by request id
	problems []string
}

func (w *world) problem(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

// routerProcess is a router of the built binary.
type routerProcess struct {
	binary  string
	file    string
	log     string
	callers string
	ready   string
	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func (r *routerProcess) start(t *testing.T) {
	t.Helper()
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(t, err)
	command := exec.Command(r.binary, "router", "--settings", r.file)
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

// await waits for the process to end.
func (r *routerProcess) await(within time.Duration) bool {
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
	response, err := client.Get("http://" + r.ready + "/v1/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// endpoint answers calls and streams, and counts what it runs.
type endpoint struct {
	id     string
	server *httptest.Server
	proxy  *standin.FaultProxy
}

func (w *world) newEndpoint(id string) *endpoint {
	e := &endpoint{id: id}
	e.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serveEndpoint(id, rw, r) }))
	proxy, err := standin.NewFaultProxy(e.server.Listener.Addr().String())
	assert.NilError(w.t, err)
	e.proxy = proxy
	return e
}

func (w *world) serveEndpoint(id string, rw http.ResponseWriter, r *http.Request) {
	request := r.Header.Get("Request-Id")
	rw.Header().Set("Request-Id", request)
	if r.Header.Get("Expect-Instance") != id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	w.runs[request]++
	w.mu.Unlock()
	rw.Header().Set("Server-Stamp", "s-"+request)
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
	rw.Header().Set("Content-Type", "text/event-stream")
	for event := first; event <= eventsCount; event++ {
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s %d\n\n", event, request, event)
		rw.(http.Flusher).Flush()
		select {
		case <-time.After(eventPause):
		case <-r.Context().Done():
			return
		}
	}
}

// wholeStream is what a caller must see of a stream.
func wholeStream(request string) string {
	var b strings.Builder
	for event := 1; event <= eventsCount; event++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s %d\n\n", event, request, event)
	}
	return b.String()
}

// configure accepts a configuration with the keys and returns its revision.
func (w *world) configure(keys ...string) int {
	w.mu.Lock()
	w.revision++
	revision := w.revision
	w.mu.Unlock()
	route := func(name, kind string, attempts int, resume bool) map[string]any {
		return map[string]any{
			"name": name, "host": "h", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 4000,
			"service": "s", "attempts": attempts, "can_resume": resume,
		}
	}
	w.stand.SetSpec("config", "main", map[string]any{
		"version": revision,
		"routes": []map[string]any{
			route("safe", "safe", 2, false), route("unsafe", "unsafe", 2, false),
			route("chat", "streaming", 3, true), route("report", "streaming", 2, false),
		},
		"services": []map[string]any{{"name": "s"}},
		"tenants":  []map[string]any{{"name": "w", "api_keys": keys}},
	})
	return revision
}

func (w *world) register(e *endpoint, state string) {
	w.stand.SetSpec("servers", e.id, map[string]any{
		"service": "s", "address": e.proxy.Addr(), "zone": "z", "slots": 16, "state": state,
	})
}

// build builds the router's binary with further arguments of go build.
func build(t *testing.T, arguments ...string) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "hornbeamproxy")
	arguments = append(append([]string{"build", "-o", binary}, arguments...), "../cmd/hornbeamproxy")
	out, err := exec.Command("go", arguments...).CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return binary
}

func newWorld(t *testing.T, binary string) *world {
	t.Helper()
	w := &world{t: t, stand: standin.NewPlatform(""), runs: map[string]int{}}
	w.store = httptest.NewServer(w.stand)
	w.configure("k0", "spare")
	for i := range endpoints {
		e := w.newEndpoint(fmt.Sprintf("i-%d", i))
		w.servers = append(w.servers, e)
		w.register(e, "ready")
	}
	t.Cleanup(w.close)
	for i := range routers {
		w.routers = append(w.routers, w.startRouter(binary, i))
	}
	return w
}

// startRouter starts a router and waits until it is ready. Its ports were free
// when they were drawn; when another process has taken one since, it is started
// again with others.
func (w *world) startRouter(binary string, i int) *routerProcess {
	for {
		r := w.newRouter(binary, i)
		r.start(w.t)
		for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline) && !r.await(20*time.Millisecond); {
			if r.isReady() {
				return r
			}
		}
		r.signal(syscall.SIGKILL)
		r.await(3 * time.Second)
		text, err := os.ReadFile(r.log)
		assert.NilError(w.t, err)
		assert.Assert(w.t, strings.Contains(string(text), "address already in use"), "router is not ready: %s", text)
		w.t.Logf("router %d is started again: %s", i, text)
		w.proxies[i].Close()
		w.proxies = w.proxies[:i]
	}
}

func (w *world) newRouter(binary string, i int) *routerProcess {
	proxy, err := standin.NewFaultProxy(w.store.Listener.Addr().String())
	assert.NilError(w.t, err)
	w.proxies = append(w.proxies, proxy)
	addresses, err := standin.FreeAddresses(4)
	assert.NilError(w.t, err)
	dir := w.t.TempDir()
	r := &routerProcess{binary: binary, file: filepath.Join(dir, "router.toml"), log: filepath.Join(dir, "log"), callers: addresses[0], ready: addresses[1]}
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
`, i, addresses[0], addresses[1], addresses[2], addresses[3], proxy.Addr())
	assert.NilError(w.t, os.WriteFile(r.file, []byte(text), 0o600))
	return r
}

func (w *world) close() {
	for _, r := range w.routers {
		r.signal(syscall.SIGCONT)
		r.signal(syscall.SIGKILL)
		r.await(5 * time.Second)
	}
	for _, e := range w.servers {
		e.proxy.Close()
		e.server.CloseClientConnections()
		e.server.Close()
	}
	for _, p := range w.proxies {
		p.Close()
	}
	w.store.CloseClientConnections()
	w.store.Close()
}

// caller sends requests to routers in turn until ctx ends, and checks each answer.
func (w *world) caller(ctx context.Context, id int) {
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	paths := []string{"/unsafe/", "/chat/", "/safe/", "/report/"}
	for n := 0; ctx.Err() == nil; n++ {
		path := paths[n%len(paths)]
		request := fmt.Sprintf("c%d-%d", id, n)
		w.request(client, w.routers[(id+n)%len(w.routers)], path, request)
		time.Sleep(10 * time.Millisecond)
	}
}

func (w *world) request(client *http.Client, router *routerProcess, path, id string) {
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
	body, err := io.ReadAll(response.Body)
	w.judge(path, id, response, string(body), err)
}

// judge checks an answer against what must hold of any.
func (w *world) judge(path, id string, response *http.Response, body string, err error) {
	want := id + " body " + id
	if path == "/chat/" || path == "/report/" {
		want = wholeStream(id)
	}
	switch {
	case response.StatusCode == http.StatusOK && err == nil && body != want:
		w.problem("%s%s: an answer that looks complete is not: %q", path, id, body)
	case response.StatusCode == http.StatusOK && !strings.HasPrefix(want, body):
		w.problem("%s%s: bytes that are not the endpoint's: %q", path, id, body)
	case response.StatusCode == http.StatusOK && response.Header.Get("Server-Stamp") != "s-"+id:
		w.problem("%s%s: the signature is %q", path, id, response.Header.Get("Server-Stamp"))
	case response.StatusCode == http.StatusUnauthorized || response.StatusCode == http.StatusNotFound:
		w.problem("%s%s: refused with %d though every configuration allows it", path, id, response.StatusCode)
	case path == "/unsafe/" && (response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests):
		w.mu.Lock()
		runs := w.runs[id]
		w.mu.Unlock()
		if runs > 0 {
			w.problem("%s%s: refused with %d though it ran", path, id, response.StatusCode)
		}
	}
}

// checkRuns checks how often each request ran.
func (w *world) checkRuns(callers int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Assert(w.t, len(w.runs) > 20*callers, "the load ran only %d requests", len(w.runs))
	for id, runs := range w.runs {
		var caller, n int
		if _, err := fmt.Sscanf(id, "c%d-%d", &caller, &n); err != nil {
			continue
		}
		// Paths alternate as in caller: unsafe, chat, safe, report.
		if onlyOnce := n%4 == 0 || n%4 == 3; onlyOnce && runs > 1 {
			w.problems = append(w.problems, fmt.Sprintf("%s ran %d times", id, runs))
		}
	}
}
