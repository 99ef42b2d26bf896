package standin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

// PlatformFaults are the faults of a Platform; the zero value injects none.
type PlatformFaults struct {
	// Outage closes the connection of every call before the call takes effect.
	Outage bool
	// Latency is the delay before each call.
	Latency time.Duration
	// LoseResponses is the number of subsequent writes that take effect but whose
	// connection is closed without a response.
	LoseResponses int
	// LoseProbability is the probability that any other write, i.e. one that neither
	// LoseResponses nor DelayWrites affects, takes effect but gets no response. Seed seeds
	// the random numbers.
	LoseProbability float64
	Seed            uint64
	// DelayWrites is the number of subsequent writes that get no response and take
	// effect after WriteDelay.
	DelayWrites int
	WriteDelay  time.Duration
	// WritesPerSecond and ReadsPerSecond above 0 are rate limits; calls beyond them
	// get status 429.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// StaleFor is the length of a period that begins with the call of SetFaults. During it
	// reads return the state at the time of that call. Watches are not affected.
	StaleFor time.Duration
}

// Platform is a test double of the platform's object store. It serves the store's HTTP
// API from memory. It is an http.Handler and safe for concurrent use.
type Platform struct {
	token string
	store *objectstore.Memory

	mu         sync.Mutex
	faults     PlatformFaults
	random     *rand.Rand
	writes     *rate.Limiter
	reads      *rate.Limiter
	stale      map[string]objectstore.Object
	staleUntil time.Time
	calls      map[string]int
	jsonKinds  map[string]bool // kinds whose values are JSON
	compacted  uint64          // the store's revision at the last call of Compact
	// cutWatches is closed, and replaced, when the waiting watches of a kind are cut off.
	cutWatches map[string]chan struct{}
}

// NewPlatform returns a platform that requires the bearer token, unless token is empty.
func NewPlatform(token string) *Platform {
	p := &Platform{token: token, store: objectstore.NewMemory(), calls: map[string]int{}, jsonKinds: map[string]bool{}, cutWatches: map[string]chan struct{}{}}
	p.SetFaults(PlatformFaults{})
	return p
}

// Store returns the underlying store, which has no faults.
func (p *Platform) Store() *objectstore.Memory { return p.store }

// SetFaults replaces all faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	snapshot, _ := p.store.List(context.Background(), "")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.random = rand.New(rand.NewPCG(faults.Seed, 0))
	p.writes = limiter(faults.WritesPerSecond)
	p.reads = limiter(faults.ReadsPerSecond)
	p.staleUntil = time.Now().Add(faults.StaleFor)
	p.stale = map[string]objectstore.Object{}
	for _, object := range snapshot {
		p.stale[object.Key] = object
	}
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// SetInstances replaces the instance list in the store.
func (p *Platform) SetInstances(instances []api.Instance) {
	ctx := context.Background()
	listed, _ := p.store.List(ctx, instancesKind+"/")
	versions := map[string]uint64{}
	for _, object := range listed {
		versions[object.Key] = object.Version
	}
	for _, instance := range instances {
		key := instancesKind + "/" + instance.ID
		value, _ := json.Marshal(instance)
		_, _ = p.store.Put(ctx, key, value, versions[key])
		delete(versions, key)
	}
	for key, version := range versions {
		_ = p.store.Delete(ctx, key, version)
	}
}

// SetSpec stores spec as the JSON value of an object, whether or not the object exists. It
// simulates writes by other programs than the routers, such as the operator's
// configuration and the registration of endpoints.
//
// The kind must be one of the platform's own, such as config or servers. From then on all
// objects of the kind are served as JSON, so that platform.KeyStore can no longer read
// the values that it stored under that kind.
func (p *Platform) SetSpec(kind, name string, spec any) {
	value, _ := json.Marshal(spec)
	p.mu.Lock()
	p.jsonKinds[kind] = true
	p.mu.Unlock()
	key := kind + "/" + name
	object, _ := p.store.Get(context.Background(), key)
	_, _ = p.store.Put(context.Background(), key, value, object.Version)
}

// RemoveSpec removes an object that SetSpec wrote.
func (p *Platform) RemoveSpec(kind, name string) {
	key := kind + "/" + name
	object, _ := p.store.Get(context.Background(), key)
	_ = p.store.Delete(context.Background(), key, object.Version)
}

// Compact drops the history: watches from a revision before the current one get status
// 410.
func (p *Platform) Compact() {
	_, version, _ := p.store.Watch(context.Background(), "", 0, 0)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.compacted = version
}

// CutWatches closes the connections of the watches of a kind that are waiting.
func (p *Platform) CutWatches(kind string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cut := p.cutWatches[kind]; cut != nil {
		close(cut)
		delete(p.cutWatches, kind)
	}
}

// watchesCut returns the channel that the next call of CutWatches for the kind closes.
func (p *Platform) watchesCut(kind string) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cutWatches[kind] == nil {
		p.cutWatches[kind] = make(chan struct{})
	}
	return p.cutWatches[kind]
}

// Calls returns the number of calls so far, by operation: get, list, watch, put or delete.
// Calls that list the instances are counted under "instances" instead of "list". Calls that
// match no operation are counted under "unknown".
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.calls)
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	want := "Bearer " + p.token
	if p.token != "" && subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) != 1 {
		http.Error(w, "unauthorized", http.StatusUnauthorized)
		return
	}
	operation, kind, name := parseOperation(r)
	write := operation == "put" || operation == "delete"
	faults, allowed := p.admit(operation, kind, write)
	if !sleep(r.Context(), faults.Latency) || faults.Outage {
		panic(http.ErrAbortHandler)
	}
	if !allowed {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	}
	switch operation {
	case "get":
		p.get(w, kind, name)
	case "list":
		p.list(w, kind, r.URL.Query().Get("after"))
	case "watch":
		p.watch(w, r, kind)
	case "put", "delete":
		p.write(w, r, kind, name)
	default:
		http.NotFound(w, r)
	}
}

// parseOperation returns the operation of a call and the kind and name of its object. A
// call that creates an object counts as a put.
func parseOperation(r *http.Request) (operation, kind, name string) {
	path, ok := strings.CutPrefix(r.URL.EscapedPath(), "/v1/objects/")
	if !ok {
		return "unknown", "", ""
	}
	if isStatusCall(r) {
		path = strings.TrimSuffix(path, statusSuffix)
	}
	kind, escaped, named := strings.Cut(path, "/")
	name, err := url.PathUnescape(escaped)
	switch {
	case err != nil:
		return "unknown", "", ""
	case named && r.Method != http.MethodPost:
		return strings.ToLower(r.Method), kind, name
	case !named && r.Method == http.MethodPost:
		return "put", kind, ""
	case r.Method != http.MethodGet:
		return "unknown", "", ""
	case r.URL.Query().Has("watch"):
		return "watch", kind, ""
	}
	return "list", kind, ""
}

// statusSuffix is the end of the path of the status of an object.
const statusSuffix = "/status"

// isStatusCall reports whether a call writes the status of an object.
func isStatusCall(r *http.Request) bool {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/objects/")
	return r.Method == http.MethodPut && strings.Count(path, "/") == 2 && strings.HasSuffix(path, statusSuffix)
}

// admit counts a call. It returns the current faults and whether the rate limits allow
// the call.
func (p *Platform) admit(operation, kind string, write bool) (PlatformFaults, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if operation == "list" && kind == instancesKind {
		operation = instancesKind
	}
	p.calls[operation]++
	if write {
		return p.faults, p.writes.Allow()
	}
	return p.faults, p.reads.Allow()
}

// sleep returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// staleSnapshot returns the state for stale reads, or nil if reads are not stale.
func (p *Platform) staleSnapshot() map[string]objectstore.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().After(p.staleUntil) {
		return nil
	}
	return p.stale
}
