// Package standin holds test doubles of the systems around the routers, with
// faults that can be set while they run.
package standin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

// PlatformFaults are the faults of a Platform; the zero value has none.
type PlatformFaults struct {
	// Outage cuts every connection before the call has an effect.
	Outage bool
	// Latency is added before each call.
	Latency time.Duration
	// LoseAnswers is the number of next writes that take effect and whose
	// connection is then cut.
	LoseAnswers int
	// LoseProbability does the same to each write by chance, drawn from Seed.
	LoseProbability float64
	Seed            uint64
	// DelayWrites is the number of next writes that are not answered and take
	// effect after WriteDelay.
	DelayWrites int
	WriteDelay  time.Duration
	// WritesPerSecond and ReadsPerSecond above 0 refuse more calls with 429.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// StaleFor serves reads from the state at the time of SetFaults.
	StaleFor time.Duration
}

// Platform is the object API and the instance list over a Memory store. It is
// an http.Handler and safe for concurrent use.
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
	instances  []api.Instance
	calls      map[string]int
}

// NewPlatform returns a platform that accepts the bearer token.
func NewPlatform(token string) *Platform {
	p := &Platform{token: token, store: objectstore.NewMemory(), calls: map[string]int{}, instances: []api.Instance{}}
	p.SetFaults(PlatformFaults{})
	return p
}

// Store returns the objects, for use without faults.
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

// SetInstances replaces the instance list.
func (p *Platform) SetInstances(instances []api.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = append([]api.Instance{}, instances...)
}

// Calls returns the number of calls so far by operation.
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.calls)
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	want := "Bearer " + p.token
	if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) != 1 {
		http.Error(w, "unauthorized", http.StatusUnauthorized)
		return
	}
	operation, key := operationOf(r)
	write := operation == "put" || operation == "delete"
	faults, allowed := p.admit(operation, write)
	if !sleep(r.Context(), faults.Latency) || faults.Outage {
		panic(http.ErrAbortHandler)
	}
	if !allowed {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	}
	switch operation {
	case "get":
		p.get(w, key)
	case "list":
		p.list(w, r.URL.Query().Get("prefix"))
	case "watch":
		p.watch(w, r)
	case "instances":
		p.mu.Lock()
		list := api.InstanceList{Instances: p.instances}
		p.mu.Unlock()
		writeJSON(w, list)
	case "put", "delete":
		p.write(w, r, operation, key)
	default:
		http.NotFound(w, r)
	}
}

func operationOf(r *http.Request) (operation, key string) {
	key, isObject := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if isObject {
		return strings.ToLower(r.Method), key
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /v1/objects":
		return "list", ""
	case "GET /v1/watch":
		return "watch", ""
	case "GET /v1/instances":
		return "instances", ""
	}
	return "unknown", ""
}

// admit counts a call and reports whether the rate limits allow it.
func (p *Platform) admit(operation string, write bool) (PlatformFaults, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[operation]++
	if write {
		return p.faults, p.writes.Allow()
	}
	return p.faults, p.reads.Allow()
}

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

// snapshot returns the state that stale reads see, or nil.
func (p *Platform) snapshot() map[string]objectstore.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().After(p.staleUntil) {
		return nil
	}
	return p.stale
}

func (p *Platform) get(w http.ResponseWriter, key string) {
	object, err := p.store.Get(context.Background(), key)
	if stale := p.snapshot(); stale != nil {
		var ok bool
		err = nil
		if object, ok = stale[key]; !ok {
			err = objectstore.ErrNotFound
		}
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", etag(object.Version))
	_, _ = w.Write(object.Value)
}

func (p *Platform) list(w http.ResponseWriter, prefix string) {
	objects, _ := p.store.List(context.Background(), prefix)
	if stale := p.snapshot(); stale != nil {
		objects = nil
		for _, object := range stale {
			if strings.HasPrefix(object.Key, prefix) {
				objects = append(objects, object)
			}
		}
	}
	writeJSON(w, objectList(objects, 0))
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err1 := strconv.ParseUint(query.Get("since"), 10, 64)
	wait, err2 := strconv.Atoi(query.Get("wait_ms"))
	if err1 != nil || err2 != nil {
		http.Error(w, "bad query", http.StatusBadRequest)
		return
	}
	objects, version, err := p.store.Watch(r.Context(), query.Get("prefix"), since, time.Duration(wait)*time.Millisecond)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, objectList(objects, version))
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request, operation, key string) {
	value, err := io.ReadAll(io.LimitReader(r.Body, objectstore.MaxValueBytes+1))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	condition, err := conditionOf(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	apply := func() (uint64, error) {
		if operation == "delete" {
			return 0, p.store.Delete(context.Background(), key, condition)
		}
		return p.store.Put(context.Background(), key, value, condition)
	}
	lose, delay := p.writeFault()
	if delay > 0 {
		time.AfterFunc(delay, func() { _, _ = apply() })
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	version, err := apply()
	switch {
	case lose:
		panic(http.ErrAbortHandler)
	case err != nil:
		writeError(w, err)
	default:
		w.Header().Set("ETag", etag(version))
	}
}

func (p *Platform) writeFault() (lose bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.DelayWrites > 0 {
		p.faults.DelayWrites--
		return false, p.faults.WriteDelay
	}
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return true, 0
	}
	return p.random.Float64() < p.faults.LoseProbability, 0
}

func conditionOf(header http.Header) (uint64, error) {
	if header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	version, err := strconv.ParseUint(strings.Trim(header.Get("If-Match"), `"`), 10, 64)
	if err != nil || version == 0 {
		return 0, errors.New("a condition is required")
	}
	return version, nil
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func objectList(objects []objectstore.Object, version uint64) api.ObjectList {
	list := api.ObjectList{Objects: []api.StoredObject{}, Version: version}
	for _, object := range objects {
		list.Objects = append(list.Objects, api.StoredObject{
			Key: object.Key, Version: object.Version, Value: object.Value, Deleted: object.Deleted,
		})
	}
	return list
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, objectstore.ErrConflict):
		status = http.StatusPreconditionFailed
	case errors.Is(err, objectstore.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, err.Error(), status)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
