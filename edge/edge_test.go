package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/config"
	"github.com/hornbeamproxy/hornbeamproxy/edge"
	"github.com/hornbeamproxy/hornbeamproxy/platform"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

// site is a stand-in platform with one endpoint, to which tests add routers.
type site struct {
	platform *standin.Platform
	store    *httptest.Server
	endpoint *httptest.Server
	calls    atomic.Int64 // requests that reached the endpoint
	revision int
	// exposeShare switches staged roll-outs on at the routers that are started.
	exposeShare float64
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{platform: standin.NewPlatform("")}
	s.store = httptest.NewServer(s.platform)
	s.endpoint = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		serveEndpoint(w, r)
	}))
	t.Cleanup(func() {
		s.endpoint.CloseClientConnections()
		s.endpoint.Close()
		s.store.CloseClientConnections()
		s.store.Close()
	})
	return s
}

// serveEndpoint responds as an endpoint. It aborts the response to /call/cut, and refuses /call/pause
// with a pause. For paths
// under /stream/ it sends an event every 100 ms for 3 s. It does not answer paths that end in
// silent, and all other requests at once with the workspace of the request.
func serveEndpoint(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Server-Stamp", "stamp")
	if r.URL.Path == "/call/cut" {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/call/pause" {
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Retry-After", "0.5")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if strings.HasSuffix(r.URL.Path, "/silent") {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		_, _ = io.WriteString(w, r.Header.Get("Tenant"))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for id := 1; id <= 30; id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", id)
		w.(http.Flusher).Flush()
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *site) configure(keys ...string) {
	s.revision++
	s.platform.SetSpec("config", "main", map[string]any{
		"version": s.revision,
		"routes": []map[string]any{
			{"name": "c", "host": "h", "path_prefix": "/call/", "kind": "unsafe", "timeout_ms": 2000, "service": "s", "attempts": 1},
			{"name": "l", "host": "h", "path_prefix": "/long/", "kind": "unsafe", "timeout_ms": 9000, "service": "s", "attempts": 1},
			{"name": "s", "host": "h", "path_prefix": "/stream/", "kind": "streaming", "timeout_ms": 9000, "service": "s", "attempts": 1},
		},
		"services": []map[string]any{{"name": "s"}},
		"tenants":  []map[string]any{{"name": "w", "api_keys": keys}},
	})
}

func (s *site) register(state string) {
	s.platform.SetSpec("servers", "i-1", map[string]any{
		"service": "s", "address": s.endpoint.Listener.Addr().String(), "zone": "z", "slots": 8, "state": state,
		"version": "1", "cold_left_ms": 0, "seq": 1,
	})
}

// router is a router under test and the channel that receives the result of its Run.
type router struct {
	settings *config.EdgeSettings
	stop     context.CancelFunc
	done     chan error
}

func (s *site) start(t *testing.T, id string) *router {
	t.Helper()
	return s.startAt(t, id, s.store.Listener.Addr().String())
}

// startAt starts a router that reaches the store at the address.
func (s *site) startAt(t *testing.T, id, store string) *router {
	t.Helper()
	return s.startRouter(t, id, store, 8)
}

// startWithGrace starts a router with a grace period in seconds.
func (s *site) startWithGrace(t *testing.T, id string, graceS float64) *router {
	t.Helper()
	return s.startRouter(t, id, s.store.Listener.Addr().String(), graceS)
}

func (s *site) startRouter(t *testing.T, id, store string, graceS float64) *router {
	t.Helper()
	addresses, err := standin.FreeAddresses(4)
	assert.NilError(t, err)
	settings := &config.EdgeSettings{}
	settings.Router.ID, settings.Router.Zone = id, "z"
	settings.Listen.Callers, settings.Listen.Readiness = addresses[0], addresses[1]
	settings.Listen.Metrics, settings.Listen.Peers = addresses[2], addresses[3]
	settings.Store.Address = store
	settings.Store.HeartbeatMS = 1200
	settings.Bounds.GraceS, settings.Bounds.ColdRateFactor, settings.Bounds.LoadFactor = graceS, 1, 2
	settings.Bounds.ExposeShare = s.exposeShare
	ctx, cancel := context.WithCancel(context.Background())
	r := &router{settings: settings, stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- edge.Run(ctx, edge.Options{Settings: settings, Logger: zap.NewNop()}) }()
	t.Cleanup(func() {
		cancel()
		http.DefaultClient.CloseIdleConnections() // the router waits for requests on them
		select {
		case err := <-r.done:
			assert.Check(t, err)
		case <-time.After(10 * time.Second):
			t.Error("router does not stop")
		}
	})
	return r
}

func (r *router) ready() bool {
	response, err := http.Get("http://" + r.settings.Listen.Readiness + "/v1/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// call returns the status and body of a request, or 0 and the error's text.
func (r *router) call(path, key string) (int, string) {
	request, _ := http.NewRequest(http.MethodPost, "http://"+r.settings.Listen.Callers+path, strings.NewReader("b"))
	request.Host = "h"
	request.Header.Set("Request-Id", "r")
	request.Header.Set("Api-Key", key)
	request.Header.Set("Deadline-Ms", "8000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

func eventually(t *testing.T, within time.Duration, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(within)
	for !condition() {
		assert.Assert(t, time.Now().Before(deadline), what)
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against these faults: a router is ready before it has the configuration; an API
// key is accepted after it was revoked; a draining endpoint gets new requests.
func TestFollowsTheStore(t *testing.T) {
	s := newSite(t)
	s.register("ready")
	r := s.start(t, "r1")
	time.Sleep(200 * time.Millisecond)
	assert.Assert(t, !r.ready())
	status, _ := r.call("/call/1", "k1")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	s.configure("k1", "k2")
	eventually(t, 2*time.Second, "ready", r.ready)
	status, body := r.call("/call/1", "k1")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "w")
	s.configure("k2")
	eventually(t, time.Second, "key revoked", func() bool {
		status, _ := r.call("/call/1", "k1")
		return status == http.StatusUnauthorized
	})
	s.register("draining")
	eventually(t, time.Second, "endpoint drains", func() bool {
		status, _ := r.call("/call/1", "k2")
		return status == http.StatusServiceUnavailable
	})
	s.register("ready")
	eventually(t, time.Second, "endpoint is back", func() bool {
		status, _ := r.call("/call/1", "k2")
		return status == http.StatusOK
	})
	response, err := http.Get("http://" + r.settings.Listen.Metrics + "/metrics")
	assert.NilError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), "refusals.unauthorized"))
}

// Guards against these faults: each router fetches each change from the store, although
// the relays pass the changes on; a router misses a change that the relays pass on.
func TestRelaysServeTheFleet(t *testing.T) {
	s := newSite(t)
	s.register("ready")
	s.configure("k0")
	routers := make([]*router, 6)
	for i := range routers {
		routers[i] = s.start(t, fmt.Sprintf("r%d", i))
	}
	for _, r := range routers {
		eventually(t, 3*time.Second, "ready", r.ready)
	}
	time.Sleep(4 * time.Second)
	before := s.platform.Calls()["watch"]
	const changes = 10
	for i := range changes {
		s.register("draining")
		s.register("ready")
		s.configure("k0", fmt.Sprintf("k%d", i+1))
		time.Sleep(100 * time.Millisecond)
	}
	for _, r := range routers {
		eventually(t, 2*time.Second, "newest key", func() bool {
			status, _ := r.call("/call/1", fmt.Sprintf("k%d", changes))
			return status == http.StatusOK
		})
	}
	calls := s.platform.Calls()["watch"] - before
	// Three relays make a watch call for each of the 30 changes, and some calls that time
	// out. The other three routers make no calls for changes that the relays pass on. The
	// bound is 80 % of the 180 calls that six routers would make without relays.
	assert.Assert(t, calls < 6*3*changes*8/10, "%d watches", calls)
	for _, r := range routers {
		r.stop()
	}
}

// Guards against new work for an endpoint whose entry was removed just after the store's watches
// were cut off, while the store answers all other calls.
func TestCutWatchDoesNotDelayRemoval(t *testing.T) {
	s := newSite(t)
	s.register("ready")
	s.configure("k")
	r := s.start(t, "r1")
	eventually(t, 2*time.Second, "ready", r.ready)
	for range 3 {
		time.Sleep(1100 * time.Millisecond)
		s.platform.CutWatches("servers")
		time.Sleep(20 * time.Millisecond)
		s.platform.RemoveSpec("servers", "i-1")
		eventually(t, time.Second, "no work for the endpoint", func() bool {
			status, _ := r.call("/call/1", "k")
			return status == http.StatusServiceUnavailable
		})
		s.register("ready")
		eventually(t, time.Second, "the endpoint is back", func() bool {
			status, _ := r.call("/call/1", "k")
			return status == http.StatusOK
		})
	}
}

// Guards against these faults of a graceful shutdown: it aborts a stream; it refuses
// requests that still arrive; it leaves the router ready.
func TestGracefulShutdown(t *testing.T) {
	s := newSite(t)
	s.register("ready")
	s.configure("k")
	r := s.start(t, "r1")
	eventually(t, 2*time.Second, "ready", r.ready)
	stream := make(chan string, 1)
	go func() {
		_, body := r.call("/stream/1", "k")
		stream <- body
	}()
	time.Sleep(300 * time.Millisecond)
	r.stop()
	eventually(t, time.Second, "out of readiness", func() bool { return !r.ready() })
	status, _ := r.call("/call/1", "k")
	assert.Equal(t, status, http.StatusOK, "a request that arrives during the shutdown")
	body := <-stream
	assert.Assert(t, strings.HasSuffix(body, "id: 30\ndata: x\n\n"), body)
	select {
	case err := <-r.done:
		assert.NilError(t, err)
		r.done <- nil
	case <-time.After(6 * time.Second):
		t.Fatal("router still runs after its last request")
	}
}

// Guards against requests that are cut off without an answer during a planned stop under
// load: callers open new connections, and keep others, until the load balancer has taken the
// router out of rotation.
func TestStopUnderLoad(t *testing.T) {
	s := newSite(t)
	s.register("ready")
	s.configure("k")
	r := s.start(t, "r1")
	eventually(t, 2*time.Second, "ready", r.ready)
	const callers = 16
	const untilOutOfRotation = 2200 * time.Millisecond
	end := time.Now().Add(300*time.Millisecond + untilOutOfRotation)
	failed := make(chan string, callers)
	for range callers {
		go func() {
			for time.Now().Before(end) {
				if status, body := r.call("/call/1", "k"); status != http.StatusOK {
					failed <- fmt.Sprint(status, " ", body)
					return
				}
			}
			failed <- ""
		}()
	}
	time.Sleep(300 * time.Millisecond)
	r.stop()
	for range callers {
		assert.Equal(t, <-failed, "")
	}
}

// Guards against a router whose registration was removed while it runs, as by one that could not
// hear it: the others would no longer leave it its share of the limits, nor send it changes.
func TestRemovedRegistrationIsRestored(t *testing.T) {
	s := newSite(t)
	s.register("ready")
	s.configure("k")
	s.start(t, "r1")
	s.start(t, "r2")
	store := platform.NewStore(s.store.URL, "", telemetry.NewMetrics())
	registered := func() bool {
		_, err := store.Get(context.Background(), platform.KindRouters, "r1")
		return err == nil
	}
	eventually(t, 5*time.Second, "registered", registered)
	time.Sleep(2 * time.Second) // the routers have found each other
	assert.NilError(t, store.Remove(context.Background(), platform.KindRouters, "r1", 0))
	eventually(t, 20*time.Second, "registered again", registered)
}
