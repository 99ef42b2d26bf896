package integration_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

const (
	holdKeysPerPhase = 260
	// settleWithin is the time after a fault within which each key must get its outcome.
	settleWithin = 10 * time.Second
	// freezeFor is longer than the time after which an owner drops a permit that was never
	// renewed (15 s), and longer than the cold lease (1 s in this test).
	freezeFor = 17 * time.Second
)

// arrivals records which calls reached a replica of the service. holdCall.tag identifies a
// call.
type arrivals struct {
	mu             sync.Mutex
	countByTag     map[string]int
	tagByRequestID map[string]string
	arrivalsByKey  map[string][]string // "tag as request id", by idempotency key
}

func (a *arrivals) wrap(_ *standin.SiteReplica, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tag, id := r.Header.Get("Accept-Language"), r.Header.Get("X-Request-Id")
		a.mu.Lock()
		a.countByTag[tag]++
		a.tagByRequestID[id] = tag
		a.arrivalsByKey[r.Header.Get("Idempotency-Key")] = append(a.arrivalsByKey[r.Header.Get("Idempotency-Key")], tag+" as "+id)
		a.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

// holdPhase is a fault and the load that runs during it.
type holdPhase struct {
	name string
	// span is the time over which the keys are sent.
	span time.Duration
	// inject runs concurrently with the load and returns when the fault is over.
	inject func(t *testing.T, f *Fleet)
}

// holdRun sends the load of one phase and collects the results.
type holdRun struct {
	fleet     *Fleet
	random    *rand.Rand
	mu        sync.Mutex
	results   map[string][]*holdResult // by key, in the order in which the calls ended
	callCount int
}

// Guards against these faults:
//   - A hold runs twice.
//   - A call is refused with not_run although it reached a service.
//   - The outcome of a key changes.
//
// Routers, the platform and the services fail while each key is sent to two routers at
// once.
func TestHoldsRunAtMostOnce(t *testing.T) {
	seed := logSeed(t, 20261204)
	arrived := &arrivals{countByTag: map[string]int{}, tagByRequestID: map[string]string{}, arrivalsByKey: map[string][]string{}}
	f := newFleet(t, fleetOptions{
		site:        standin.SiteConfig{Zones: threeZones, Services: 3, Workspaces: 1, MaxInflight: 200},
		routers:     8,
		limits:      map[string]any{"cold_lease": "1s"},
		wrapService: arrived.wrap,
	})
	phases := []holdPhase{
		{"router killed", 3 * time.Second, killRouter},
		{"platform answers lost", 3 * time.Second, losePlatformResponses},
		{"platform outage", 4 * time.Second, platformOutage},
		{"router frozen", freezeFor, freezeRouter},
		{"service answers lost", 3 * time.Second, loseServiceResponses},
		{"endpoint connections refused", 3 * time.Second, refuseEndpoints},
		{"router killed and platform answers lost", 4 * time.Second, concurrently(killRouter, losePlatformResponses)},
		{"router frozen and platform outage", freezeFor, concurrently(freezeRouter, platformOutage)},
	}
	for i, phase := range phases {
		t.Run(phase.name, func(t *testing.T) {
			run := &holdRun{
				fleet:   f,
				random:  rand.New(rand.NewPCG(seed, uint64(i))),
				results: map[string][]*holdResult{},
			}
			keys := run.load(t, phase, i)
			run.settle(t, keys)
			run.check(t, arrived, keys)
		})
	}
}

func concurrently(faults ...func(*testing.T, *Fleet)) func(*testing.T, *Fleet) {
	return func(t *testing.T, f *Fleet) {
		var waiting sync.WaitGroup
		for _, fault := range faults {
			waiting.Go(func() { fault(t, f) })
		}
		waiting.Wait()
	}
}

func killRouter(_ *testing.T, f *Fleet) {
	time.Sleep(time.Second)
	f.kill(f.currentRouters()[1])
	time.Sleep(time.Second)
	f.launch()
}

func losePlatformResponses(_ *testing.T, f *Fleet) {
	f.site.Platform.SetFaults(standin.PlatformFaults{LoseProbability: 0.3, Seed: 7})
	time.Sleep(3 * time.Second)
	f.site.Platform.SetFaults(standin.PlatformFaults{})
}

func platformOutage(_ *testing.T, f *Fleet) {
	time.Sleep(500 * time.Millisecond)
	f.site.Platform.SetFaults(standin.PlatformFaults{Outage: true})
	time.Sleep(3 * time.Second)
	f.site.Platform.SetFaults(standin.PlatformFaults{})
}

func freezeRouter(_ *testing.T, f *Fleet) {
	frozen := f.currentRouters()[2]
	time.Sleep(500 * time.Millisecond)
	frozen.signal(syscall.SIGSTOP)
	time.Sleep(freezeFor)
	frozen.signal(syscall.SIGCONT)
}

// loseServiceResponses makes each of the three replicas in turn fail for 400 ms. It
// alternates between lost responses and responses that are cut off in their body.
func loseServiceResponses(_ *testing.T, f *Fleet) {
	for round := range 6 {
		f.site.Services[round%3].SetFaults(standin.ServiceFaults{LoseResponse: round%2 == 0, CutBody: round%2 == 1})
		time.Sleep(400 * time.Millisecond)
		f.site.Services[round%3].SetFaults(standin.ServiceFaults{})
	}
}

// refuseEndpoints refuses the connections to two of three replicas, then to all.
func refuseEndpoints(t *testing.T, f *Fleet) {
	set := func(refuse bool, ids ...string) {
		for _, id := range ids {
			proxy := f.endpointProxies[id]
			if err := proxy.SetFaults(standin.ProxyFaults{Refuse: refuse}); err != nil {
				t.Error(err)
			}
			if refuse {
				proxy.CutAll()
			}
		}
	}
	set(true, "orders-1", "orders-2")
	time.Sleep(time.Second)
	set(true, "orders-3")
	time.Sleep(700 * time.Millisecond)
	set(false, "orders-1", "orders-2", "orders-3")
}

// load sends each key to two routers at the same moment. It spreads the keys evenly over
// the span of the phase. It returns after the fault and all calls have ended.
func (h *holdRun) load(t *testing.T, phase holdPhase, number int) []string {
	var waiting sync.WaitGroup
	waiting.Go(func() { phase.inject(t, h.fleet) })
	var keys []string
	for i := range holdKeysPerPhase {
		key := fmt.Sprintf("hold-%d-%d", number, i)
		keys = append(keys, key)
		routers := h.fleet.currentRouters()
		first := h.random.IntN(len(routers))
		second := (first + 1 + h.random.IntN(len(routers)-1)) % len(routers)
		for _, r := range []*Router{routers[first], routers[second]} {
			waiting.Go(func() { h.call(r, key, 0) })
		}
		time.Sleep(phase.span / holdKeysPerPhase)
	}
	waiting.Wait()
	return keys
}

func (h *holdRun) call(r *Router, key string, quantity int) *holdResult {
	h.mu.Lock()
	h.callCount++
	tag := fmt.Sprintf("%s-call-%d", key, h.callCount)
	h.mu.Unlock()
	result := h.fleet.hold(r, holdCall{key: key, tag: tag, quantity: quantity})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.results[key] = append(h.results[key], result)
	return result
}

// settle resends each key through different routers, as a caller does, until the key has
// its outcome. It then sends the key twice more, and once with another body.
func (h *holdRun) settle(t *testing.T, keys []string) {
	for _, r := range h.fleet.currentRouters() {
		h.fleet.awaitReady(r)
	}
	slots := make(chan struct{}, 32)
	var waiting sync.WaitGroup
	for i, key := range keys {
		slots <- struct{}{}
		waiting.Go(func() {
			defer func() { <-slots }()
			h.settleKey(t, key, i)
		})
	}
	waiting.Wait()
}

func (h *holdRun) settleKey(t *testing.T, key string, i int) {
	routers := h.fleet.currentRouters()
	outcome := h.awaitOutcome(routers, key, i, 0)
	if !hasOutcome(outcome) {
		h.checkUnsettled(t, key, outcome)
		return
	}
	for n := range 2 {
		repeat := h.awaitOutcome(routers, key, i+3*n+1, 0)
		if !hasOutcome(repeat) || repeat.status != outcome.status || repeat.body != outcome.body {
			t.Errorf("repeats of %s differ:\n%s\n%s", key, outcome, repeat)
		}
	}
	if other := h.awaitOutcome(routers, key, i+5, 1); other.status != http.StatusUnprocessableEntity {
		t.Errorf("another body under %s: %s", key, other)
	}
}

// awaitOutcome resends a call through different routers until it gets the key's outcome or
// status 422 (the key was used with another body), or until settleWithin has passed. Other
// responses are transient, for example that the key is in progress or can't be claimed now.
// An owner may respond "in progress" for up to a second after the outcome was recorded,
// because it may use a journal that it read up to a second ago (maxHeadAge in claims).
func (h *holdRun) awaitOutcome(routers []*Router, key string, first, quantity int) *holdResult {
	deadline := time.Now().Add(settleWithin)
	for n := first; ; n++ {
		result := h.call(routers[n%len(routers)], key, quantity)
		transient := !hasOutcome(result) && result.status != http.StatusUnprocessableEntity
		if !transient || time.Now().After(deadline) {
			return result
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkUnsettled reports an error for a key without an outcome. It accepts "in progress"
// if the key was sent to a router that was killed. The owner of the key may never have seen
// that router and then can't know that the router is dead. It responds "in progress" until
// the router's claim of the key is older than UnknownAfter (10 minutes).
func (h *holdRun) checkUnsettled(t *testing.T, key string, last *holdResult) {
	running := map[string]bool{}
	for _, r := range h.fleet.currentRouters() {
		running[r.id] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, result := range h.results[key] {
		if last.problem.Reason == "claim_in_progress" && !running[result.router] {
			t.Logf("%s is still in progress after %s; it was sent to %s, which was killed", key, settleWithin, result.router)
			return
		}
	}
	t.Errorf("%s has no outcome after %s: %s", key, settleWithin, last)
}

// hasOutcome reports whether the response shows a recorded outcome of the key. It is either
// a replayed answer, or a refusal because the call may have run and its outcome is unknown.
// The first answer does not count, because the key may stay in progress until the outcome
// is durable.
func hasOutcome(r *holdResult) bool {
	return r.replayed || r.problem.Reason == "claim_outcome_unknown"
}

func (h *holdRun) check(t *testing.T, arrived *arrivals, keys []string) {
	arrived.mu.Lock()
	defer arrived.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := map[string]int{}
	for _, key := range keys {
		runs := len(arrived.arrivalsByKey[key])
		counts[fmt.Sprintf("keys with %d runs", runs)]++
		if runs != h.fleet.site.RunsOfKey(key) {
			t.Errorf("%s: %d arrivals but %d runs", key, runs, h.fleet.site.RunsOfKey(key))
		}
		violations := len(h.violations(t, arrived, key, counts))
		if runs > 1 || violations > 0 {
			t.Errorf("%s ran %d times %v; violations: %v", key, runs, arrived.arrivalsByKey[key], h.violations(t, arrived, key, map[string]int{}))
			for _, result := range h.results[key] {
				t.Logf("  %s", result)
			}
		}
	}
	t.Logf("%d keys: %v", len(keys), counts)
	assert.Assert(t, counts["answers of the service"] > len(keys)/4, "the load ran too few holds")
}

// violations lists the violations in the results of one key and counts the results by
// kind. Each call has its own tag, which the service records, so that a refusal with
// not_run is checked against the arrivals of exactly that call. The answer to a call must
// come from the arrival with the call's tag. This also shows that routers forward the tags.
func (h *holdRun) violations(t *testing.T, arrived *arrivals, key string, counts map[string]int) []string {
	t.Helper()
	var wrong []string
	var recorded *holdResult
	for _, result := range h.results[key] {
		switch {
		case result.err != nil:
			counts["calls without an answer"]++
		case result.problem.Reason != "":
			counts[fmt.Sprintf("%s not_run=%t", result.problem.Reason, result.problem.NotRun)]++
			if result.problem.NotRun && arrived.countByTag[result.tag] > 0 {
				wrong = append(wrong, "refused with not_run, but reached a service: "+result.String())
			}
		case result.status != http.StatusCreated:
			wrong = append(wrong, "unexpected status: "+result.String())
		case !result.replayed:
			counts["answers of the service"]++
			if arrived.tagByRequestID[result.requestID] != result.tag {
				wrong = append(wrong, "answer of another call: "+result.String())
			}
		default:
			counts["replayed"]++
		}
		if result.status != http.StatusCreated {
			continue
		}
		if recorded != nil && recorded.body != result.body {
			wrong = append(wrong, "outcomes differ: "+recorded.String()+" / "+result.String())
		}
		recorded = result
	}
	return append(wrong, lostOutcomes(h.results[key])...)
}

// lostOutcomes lists the calls that were refused because the outcome of the key is unknown,
// although they were sent after another call of the key had got a replayed answer.
func lostOutcomes(results []*holdResult) []string {
	var wrong []string
	for _, known := range results {
		if known.status != http.StatusCreated || !known.replayed {
			continue
		}
		for _, later := range results {
			if later.sent.After(known.ended) && later.problem.Reason == "claim_outcome_unknown" {
				wrong = append(wrong, "a recorded outcome became unknown: "+later.String())
			}
		}
	}
	return wrong
}
