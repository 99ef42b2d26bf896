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
	// settleWithin is how long after a fault each key must get its outcome.
	settleWithin = 10 * time.Second
	// freezeFor is longer than the hold time of permits (15 s) and the cold lease.
	freezeFor = 17 * time.Second
)

// arrivals records which calls reached a service, by the callers' tags.
type arrivals struct {
	mu     sync.Mutex
	byTag  map[string]int
	tagOf  map[string]string // request id -> tag
	keyRun map[string][]string
}

func (a *arrivals) wrap(_ *standin.SiteReplica, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tag, id := r.Header.Get("Accept-Language"), r.Header.Get("X-Request-Id")
		a.mu.Lock()
		a.byTag[tag]++
		a.tagOf[id] = tag
		a.keyRun[r.Header.Get("Idempotency-Key")] = append(a.keyRun[r.Header.Get("Idempotency-Key")], tag+" as "+id)
		a.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

// holdPhase is a fault with the load around it.
type holdPhase struct {
	name string
	// span is the time over which the keys are sent.
	span time.Duration
	// inject runs beside the load and returns when the fault is over.
	inject func(t *testing.T, f *Fleet)
}

// holdRun is the load of one phase.
type holdRun struct {
	fleet   *Fleet
	random  *rand.Rand
	mu      sync.Mutex
	results map[string][]*holdResult // by key, in the order of their ends
	tags    int
}

// Guards against a second run of a hold, against refusals that say "not run" of a
// call that reached a service, and against outcomes that change.
func TestHoldsRunAtMostOnce(t *testing.T) {
	seed := seedOf(t, 20261204)
	log := &arrivals{byTag: map[string]int{}, tagOf: map[string]string{}, keyRun: map[string][]string{}}
	f := newFleet(t, fleetOptions{
		site:        standin.SiteConfig{Zones: threeZones, Services: 3, Workspaces: 1, MaxInflight: 200},
		routers:     8,
		limits:      map[string]any{"cold_lease": "1s"},
		wrapService: log.wrap,
	})
	phases := []holdPhase{
		{"router killed", 3 * time.Second, killRouter},
		{"platform answers lost", 3 * time.Second, losePlatformAnswers},
		{"platform outage", 4 * time.Second, platformOutage},
		{"router frozen", freezeFor, freezeRouter},
		{"service answers lost", 3 * time.Second, loseServiceAnswers},
		{"endpoint connections refused", 3 * time.Second, refuseEndpoints},
		{"router killed and platform answers lost", 4 * time.Second, together(killRouter, losePlatformAnswers)},
		{"router frozen and platform outage", freezeFor, together(freezeRouter, platformOutage)},
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
			run.check(t, log, keys)
		})
	}
}

func together(faults ...func(*testing.T, *Fleet)) func(*testing.T, *Fleet) {
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
	f.kill(f.all()[1])
	time.Sleep(time.Second)
	f.launch()
}

func losePlatformAnswers(_ *testing.T, f *Fleet) {
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
	frozen := f.all()[2]
	time.Sleep(500 * time.Millisecond)
	frozen.signal(syscall.SIGSTOP)
	time.Sleep(freezeFor)
	frozen.signal(syscall.SIGCONT)
}

// loseServiceAnswers lets every third replica lose all answers for a while.
func loseServiceAnswers(_ *testing.T, f *Fleet) {
	for round := range 6 {
		f.site.Services[round%3].SetFaults(standin.ServiceFaults{LoseAnswer: round%2 == 0, CutBody: round%2 == 1})
		time.Sleep(400 * time.Millisecond)
		f.site.Services[round%3].SetFaults(standin.ServiceFaults{})
	}
}

// refuseEndpoints refuses connections of two of three replicas, then of all.
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

// load sends each key to two routers at the same moment, evenly over the span of
// the phase, and returns after the fault and all calls have ended.
func (h *holdRun) load(t *testing.T, phase holdPhase, number int) []string {
	var waiting sync.WaitGroup
	waiting.Go(func() { phase.inject(t, h.fleet) })
	var keys []string
	for i := range holdKeysPerPhase {
		key := fmt.Sprintf("hold-%d-%d", number, i)
		keys = append(keys, key)
		routers := h.fleet.all()
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
	h.tags++
	tag := fmt.Sprintf("%s-call-%d", key, h.tags)
	h.mu.Unlock()
	result := h.fleet.hold(r, holdCall{key: key, tag: tag, quantity: quantity})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.results[key] = append(h.results[key], result)
	return result
}

// settle repeats each key at changing routers, as a caller does, until it has its
// outcome; then twice more and with another body.
func (h *holdRun) settle(t *testing.T, keys []string) {
	for _, r := range h.fleet.all() {
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
	routers := h.fleet.all()
	outcome := h.outcome(routers, key, i, 0)
	if !hasOutcome(outcome) {
		h.unsettled(t, key, outcome)
		return
	}
	for n := range 2 {
		repeat := h.outcome(routers, key, i+3*n+1, 0)
		if !hasOutcome(repeat) || repeat.status != outcome.status || repeat.body != outcome.body {
			t.Errorf("repeats of %s differ:\n%s\n%s", key, outcome, repeat)
		}
	}
	if other := h.outcome(routers, key, i+5, 1); other.status != http.StatusUnprocessableEntity {
		t.Errorf("another body under %s: %s", key, other)
	}
}

// outcome repeats a call at changing routers until it is told more than that the
// key is in progress or can't be claimed now. An owner may answer "in progress"
// from a journal that it read up to a second ago (refreshAge in claims).
func (h *holdRun) outcome(routers []*Router, key string, first, quantity int) *holdResult {
	deadline := time.Now().Add(settleWithin)
	for n := first; ; n++ {
		result := h.call(routers[n%len(routers)], key, quantity)
		passing := !hasOutcome(result) && result.status != http.StatusUnprocessableEntity
		if !passing || time.Now().After(deadline) {
			return result
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// unsettled accepts "in progress" for a key whose run was at a router that was
// killed: an owner that has never seen that router can't know it to be dead and
// says so until the claim's age passes UnknownAfter, 10 minutes.
func (h *holdRun) unsettled(t *testing.T, key string, last *holdResult) {
	running := map[string]bool{}
	for _, r := range h.fleet.all() {
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

// hasOutcome says that the key's result is recorded: a replayed answer, or that
// it may have run with an unknown outcome. After the first answer the key may be
// in progress until the outcome is durable.
func hasOutcome(r *holdResult) bool {
	return r.replayed || r.problem.Reason == "claim_outcome_unknown"
}

func (h *holdRun) check(t *testing.T, log *arrivals, keys []string) {
	log.mu.Lock()
	defer log.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := map[string]int{}
	for _, key := range keys {
		runs := len(log.keyRun[key])
		counts[fmt.Sprintf("keys with %d runs", runs)]++
		if runs != h.fleet.site.RunsOfKey(key) {
			t.Errorf("%s: %d arrivals but %d runs", key, runs, h.fleet.site.RunsOfKey(key))
		}
		before := len(h.failures(t, log, key, counts))
		if runs > 1 || before > 0 {
			t.Errorf("%s ran %d times %v; broken: %v", key, runs, log.keyRun[key], h.failures(t, log, key, map[string]int{}))
			for _, result := range h.results[key] {
				t.Logf("  %s", result)
			}
		}
	}
	t.Logf("%d keys: %v", len(keys), counts)
	assert.Assert(t, counts["answers of the service"] > len(keys)/4, "the load ran too few holds")
}

// failures lists what is wrong with the results of one key. Each call has its own
// tag, which the service sees, so a refusal that says "not run" is checked for
// exactly that call. An answer must have come from the arrival of its own tag,
// which shows that tags arrive.
func (h *holdRun) failures(t *testing.T, log *arrivals, key string, counts map[string]int) []string {
	t.Helper()
	var wrong []string
	var recorded *holdResult
	for _, result := range h.results[key] {
		switch {
		case result.err != nil:
			counts["calls without an answer"]++
		case result.problem.Reason != "":
			counts[fmt.Sprintf("%s not_run=%t", result.problem.Reason, result.problem.NotRun)]++
			if result.problem.NotRun && log.byTag[result.tag] > 0 {
				wrong = append(wrong, "said not run, but reached a service: "+result.String())
			}
		case result.status != http.StatusCreated:
			wrong = append(wrong, "unexpected status: "+result.String())
		case !result.replayed:
			counts["answers of the service"]++
			if log.tagOf[result.requestID] != result.tag {
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

// lostOutcomes lists repeats that were sent after an outcome had been returned
// and were told that it is unknown.
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
