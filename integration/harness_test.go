// Package integration_test runs the built binary as router processes against stand-ins
// that run in the test process: a site, i.e. a simulated platform and its endpoints. The
// tests count what arrives at the stand-ins.
package integration_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
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

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

const (
	startTimeout = 20 * time.Second
	// callTimeout bounds a caller's request that is not a stream.
	callTimeout = 8 * time.Second
	// maxLogBytes is how much of the end of each router's log a failed test shows.
	maxLogBytes = 4 << 10
)

// binary is the path of the built command.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hornbeamproxy-integration")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "hornbeamproxy")
	build := exec.Command("go", "build", "-o", binary, "../cmd/hornbeamproxy")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// fleetOptions describes a fleet. All fields but site and routers are optional.
type fleetOptions struct {
	site    standin.SiteConfig
	routers int
	// limits are merged into the section [limits] of the settings.
	limits map[string]any
	// settings are merged into the other sections, by the section's name.
	settings map[string]map[string]any
	// wrapEngine and wrapService get the handler of a stand-in and return the handler that
	// replaces it. If they are nil, the stand-in keeps its handler.
	wrapEngine  func(*standin.SiteEngine, http.Handler) http.Handler
	wrapService func(*standin.SiteReplica, http.Handler) http.Handler
	// directEndpoints lets the routers connect to the endpoints without the fault proxies, which
	// don't forward a reset as a reset.
	directEndpoints bool
	// peerSecret returns the peer secret of a router; nil means the site's secret.
	peerSecret func(id string) string
	// beforeNote runs after the routers have started and before they accept the release
	// note that adds the site.
	beforeNote func(*Fleet)
}

// Fleet is a site of stand-ins with router processes in front of it.
type Fleet struct {
	t       *testing.T
	options fleetOptions
	site    *standin.Site
	dir     string
	client  *http.Client
	// endpointProxies are the fault proxies in front of the endpoints, by endpoint id.
	endpointProxies map[string]*standin.FaultProxy

	mu      sync.Mutex
	routers []*Router
	started int
}

// Router is one router process.
type Router struct {
	id, callers, peers, admin string
	platformProxy             *standin.FaultProxy
	command                   *exec.Cmd
	log                       string
	exited                    chan struct{}
	exit                      error
}

// newFleet starts the stand-ins and routers, adds the site by a release note and waits
// until every router serves requests. Stand-ins and routers are stopped when the test ends.
func newFleet(t *testing.T, o fleetOptions) *Fleet {
	t.Helper()
	f := &Fleet{
		t:               t,
		options:         o,
		site:            standin.NewSite(o.site),
		dir:             t.TempDir(),
		client:          &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		endpointProxies: map[string]*standin.FaultProxy{},
	}
	t.Cleanup(f.close)
	f.wrapEndpoints()
	f.startRouters(o.routers)
	if o.beforeNote != nil {
		o.beforeNote(f)
	}
	f.mustAccept(f.routers[0], f.siteNote())
	f.awaitRevision(1, startTimeout)
	for _, r := range f.routers {
		f.awaitServing(r)
	}
	return f
}

func (f *Fleet) wrapEndpoints() {
	for _, e := range f.site.Engines {
		if f.options.wrapEngine != nil {
			e.Server.Config.Handler = f.options.wrapEngine(e, e.Engine)
		}
		f.addProxy(e.ID, e.Server)
	}
	for _, s := range f.site.Services {
		if f.options.wrapService != nil {
			s.Server.Config.Handler = f.options.wrapService(s, s.Service)
		}
		f.addProxy(s.ID, s.Server)
	}
}

func (f *Fleet) addProxy(id string, server *httptest.Server) {
	proxy, err := standin.NewFaultProxy(server.Listener.Addr().String())
	assert.NilError(f.t, err)
	f.endpointProxies[id] = proxy
}

// siteNote returns the note that adds the site, with the endpoints' URLs set to their
// proxies unless the fleet has none.
func (f *Fleet) siteNote() api.Note {
	note := f.site.Note()
	if f.options.directEndpoints {
		return note
	}
	for i := range note.Added.Endpoints {
		e := &note.Added.Endpoints[i]
		e.URL = "http://" + f.endpointProxies[e.ID].Addr()
	}
	return note
}

// startRouters launches the first router and waits until it is ready, because the others
// use it as a seed, i.e. as a peer to join the fleet through.
func (f *Fleet) startRouters(count int) {
	f.start()
	for range count - 1 {
		f.launch()
	}
	for _, r := range f.currentRouters() {
		f.awaitReady(r)
	}
}

// start launches one more router and waits until it is ready.
func (f *Fleet) start() *Router {
	r := f.launch()
	f.awaitReady(r)
	return r
}

func (f *Fleet) launch() *Router {
	f.t.Helper()
	f.mu.Lock()
	f.started++
	id := fmt.Sprintf("router-%d", f.started)
	var seeds []string
	for _, r := range f.routers {
		seeds = append(seeds, r.peers)
	}
	f.mu.Unlock()
	addresses, err := standin.FreeAddresses(3)
	assert.NilError(f.t, err)
	proxy, err := standin.NewFaultProxy(f.site.PlatformServer.Listener.Addr().String())
	assert.NilError(f.t, err)
	r := &Router{
		id: id, callers: "http://" + addresses[0], peers: addresses[1], admin: "http://" + addresses[2],
		platformProxy: proxy,
		log:           filepath.Join(f.dir, id+".log"),
		exited:        make(chan struct{}),
	}
	f.exec(r, f.writeSettings(r, addresses, seeds))
	f.mu.Lock()
	f.routers = append(f.routers, r)
	f.mu.Unlock()
	return r
}

func (f *Fleet) writeSettings(r *Router, addresses, seeds []string) string {
	zones := f.site.Config.Zones
	values := map[string]map[string]any{
		"router":   {"id": r.id, "zone": zones[f.started%len(zones)]},
		"listen":   {"callers": addresses[0], "peers": addresses[1], "admin": addresses[2]},
		"platform": {"url": "http://" + r.platformProxy.Addr(), "token_env": "TEST_PLATFORM_TOKEN"},
		"peers":    {"seeds": append([]string{}, seeds...), "secret_env": "TEST_PEER_SECRET"},
		"admin":    {"token_env": "TEST_ADMIN_TOKEN"},
		"limits":   {"load_poll_interval": "100ms"},
	}
	for key, value := range f.options.limits {
		values["limits"][key] = value
	}
	for section, settings := range f.options.settings {
		if values[section] == nil {
			values[section] = map[string]any{}
		}
		for key, value := range settings {
			values[section][key] = value
		}
	}
	text, err := toml.Marshal(values)
	assert.NilError(f.t, err)
	file := filepath.Join(f.dir, r.id+".toml")
	assert.NilError(f.t, os.WriteFile(file, text, 0o600))
	return file
}

func (f *Fleet) exec(r *Router, settings string) {
	log, err := os.Create(r.log)
	assert.NilError(f.t, err)
	r.command = exec.Command(binary, "serve", "--settings", settings)
	secret := standin.SitePeerSecret
	if f.options.peerSecret != nil {
		secret = f.options.peerSecret(r.id)
	}
	r.command.Env = []string{
		"TEST_PLATFORM_TOKEN=" + standin.SitePlatformToken,
		"TEST_PEER_SECRET=" + secret,
		"TEST_ADMIN_TOKEN=" + standin.SiteAdminToken,
	}
	r.command.Stdout, r.command.Stderr = log, log
	assert.NilError(f.t, r.command.Start())
	go func() {
		r.exit = r.command.Wait()
		_ = log.Close()
		close(r.exited)
	}()
}

// close kills the routers before it stops the stand-ins, so that the routers don't log
// errors about missing stand-ins.
func (f *Fleet) close() {
	for _, r := range f.routers {
		r.signal(syscall.SIGKILL)
	}
	for _, r := range f.routers {
		<-r.exited
		r.platformProxy.Close()
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", r.id, logTail(r.log))
		}
	}
	f.client.CloseIdleConnections()
	for _, proxy := range f.endpointProxies {
		proxy.Close()
	}
	f.site.Close()
}

func logTail(file string) string {
	text, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-maxLogBytes):])
}

func (r *Router) signal(signal syscall.Signal) { _ = r.command.Process.Signal(signal) }

// hasExited reports whether the process has ended.
func (r *Router) hasExited() bool {
	select {
	case <-r.exited:
		return true
	default:
		return false
	}
}

// kill ends the router with SIGKILL and removes it from the fleet.
func (f *Fleet) kill(r *Router) {
	r.signal(syscall.SIGKILL)
	<-r.exited
	r.platformProxy.Close()
	f.remove(r)
}

func (f *Fleet) remove(r *Router) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rest []*Router
	for _, other := range f.routers {
		if other != r {
			rest = append(rest, other)
		}
	}
	f.routers = rest
}

// currentRouters returns the routers that were started and not removed, in the order of
// their start. Frozen routers are among them.
func (f *Fleet) currentRouters() []*Router {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Router{}, f.routers...)
}

func (f *Fleet) awaitReady(r *Router) {
	f.t.Helper()
	eventually(f.t, startTimeout, r.id+" is ready", func() bool {
		assert.Assert(f.t, !r.hasExited(), "%s ended: %s", r.id, logTail(r.log))
		return f.ready(r)
	})
}

func (f *Fleet) ready(r *Router) bool {
	response, err := f.client.Get(r.admin + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusNoContent
}

// awaitServing waits until the router serves a streamed chat, if the site has engines, and
// a call of the plain service, if the site has replicas of that service.
func (f *Fleet) awaitServing(r *Router) {
	f.t.Helper()
	if len(f.site.Engines) > 0 {
		eventually(f.t, startTimeout, r.id+" answers a chat", func() bool {
			return f.chat(r, chatCall{chat: "probe-" + r.id, tokens: 1}).complete()
		})
	}
	if len(f.site.Services) > 0 {
		eventually(f.t, startTimeout, r.id+" answers a service call", func() bool {
			return f.hold(r, holdCall{key: "probe-" + r.id, tag: "probe"}).status == http.StatusCreated
		})
	}
}

// eventually waits until the condition is true and fails the test if that takes
// longer than within.
func eventually(t *testing.T, within time.Duration, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(within)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", within, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// state is the part of GET /state that the tests use.
type state struct {
	Ready     bool   `json:"ready"`
	Revision  uint64 `json:"revision"`
	Endpoints []struct {
		Endpoint string `json:"endpoint"`
		State    string `json:"state"`
		Inflight int    `json:"inflight"`
	} `json:"endpoints"`
}

func (f *Fleet) state(r *Router) (state, error) {
	var s state
	request, err := http.NewRequest(http.MethodGet, r.admin+"/state", nil)
	if err != nil {
		return s, err
	}
	request.Header.Set("Authorization", "Bearer "+standin.SiteAdminToken)
	client := http.Client{Transport: f.client.Transport, Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	return s, json.NewDecoder(response.Body).Decode(&s)
}

// ownerOf returns the first router that lists the endpoint in its state, i.e. that takes
// itself for the endpoint's admission owner. It returns nil if there is none.
func (f *Fleet) ownerOf(endpoint string) *Router {
	for _, r := range f.currentRouters() {
		s, err := f.state(r)
		if err != nil {
			continue
		}
		for _, e := range s.Endpoints {
			if e.Endpoint == endpoint {
				return r
			}
		}
	}
	return nil
}

func (f *Fleet) awaitRevision(revision uint64, within time.Duration) {
	f.t.Helper()
	for _, r := range f.currentRouters() {
		eventually(f.t, within, fmt.Sprintf("%s applies revision %d", r.id, revision), func() bool {
			s, err := f.state(r)
			return err == nil && s.Revision >= revision
		})
	}
}

// accept posts a note to the router's admin listener and returns the revision of the
// accepted note.
func (f *Fleet) accept(r *Router, note api.Note) (uint64, error) {
	body, err := toml.Marshal(note)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequest(http.MethodPost, r.admin+"/notes/accept", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+standin.SiteAdminToken)
	response, err := f.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d: %s", response.StatusCode, answer)
	}
	var result struct {
		Revision uint64 `json:"revision"`
	}
	return result.Revision, json.Unmarshal(answer, &result)
}

func (f *Fleet) mustAccept(r *Router, note api.Note) uint64 {
	f.t.Helper()
	revision, err := f.accept(r, note)
	assert.NilError(f.t, err)
	return revision
}

// replaceEngine kills engine i of the site and starts another one at the same address,
// with a new boot id and an empty cache. The caller must not use site.Engines meanwhile.
func (f *Fleet) replaceEngine(i int) error {
	old := f.site.Engines[i]
	address := old.Server.Listener.Addr().String()
	old.Kill()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	config := f.site.Config.Engine
	config.ID = old.ID + "-next"
	config.Models = []string{standin.SiteModel}
	engine := standin.NewEngine(config)
	server := httptest.NewUnstartedServer(engine)
	_ = server.Listener.Close()
	server.Listener = listener
	server.Start()
	f.site.Engines[i] = &standin.SiteEngine{Engine: engine, ID: old.ID, Zone: old.Zone, Server: server}
	return nil
}

// problem is the body of a refusal.
type problem struct {
	Reason string `json:"reason"`
	NotRun bool   `json:"not_run"`
	Detail string `json:"detail"`
}

func logSeed(t *testing.T, seed uint64) uint64 {
	t.Logf("seed %d", seed)
	return seed
}

func isProblem(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json")
}
