package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

const (
	firstVersion = "v1"
	// rolloutPeriod is the period of the roll-outs that the tests order.
	rolloutPeriod = 10 * time.Second
	targetCount   = 4
	// In a soak, one in rolloutEvery steps without a roll-out begins one.
	rolloutEvery = 3
	// Bounds of what a bad version may get: exposeShare of the requests to the service until the
	// deadline plus exposeSlack, and none that arrives later than rollbackTime after its answer
	// number exposeSlack that is bad.
	exposeShare  = 0.1
	exposeSlack  = 50
	rollbackTime = 5 * time.Second
	// resumeGrace is the time after a frozen router goes on in which it may send what it had chosen
	// an endpoint for before.
	resumeGrace = 500 * time.Millisecond
	// staleTime is the time after which a router that hears nothing sends nothing to a target with a
	// share below 1, and a margin for what is under way.
	staleTime = 1600 * time.Millisecond
	// verdictGrace is the time after the deadline within which a test reads the verdict.
	verdictGrace = 500 * time.Millisecond
)

// rolloutSettings returns the settings that switch staged roll-outs on. An earlier build does not
// know them and refuses unknown settings.
func rolloutSettings() string {
	if *previous != "" {
		return ""
	}
	return "expose_share = 0.1\n"
}

// versionFault is what is wrong with a version; the zero value is a good one.
type versionFault struct {
	percent uint32        // of the requests fail
	path    string        // prefix of the paths that fail; all if it is empty
	delay   time.Duration // of all answers
	from    time.Time     // when the faults begin; zero for at once
}

func (f versionFault) bad() bool { return f != versionFault{} }

func (f versionFault) applies(request, path string) bool {
	return time.Now().After(f.from) && strings.HasPrefix(path, f.path) && crc32.ChecksumIEEE([]byte(request))%100 < f.percent
}

// versionLog records which requests reach the versions.
type versionLog struct {
	mu         sync.Mutex
	arrivals   map[string][]time.Time // by version
	isolated   map[string][]time.Time // those that came through router 0, by version
	bad        map[string][]time.Time // when bad answers were given, by version
	lastResume time.Time              // of a frozen router
	excused    map[string][]time.Time // arrivals shortly after lastResume, by version
}

func newVersionLog() *versionLog {
	return &versionLog{arrivals: map[string][]time.Time{}, isolated: map[string][]time.Time{}, bad: map[string][]time.Time{}, excused: map[string][]time.Time{}}
}

func (l *versionLog) arrived(version, request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.arrivals[version] = append(l.arrivals[version], now)
	var caller, n int
	if _, err := fmt.Sscanf(request, "v%d-%d", &caller, &n); err == nil && (caller+n)%routerCount == 0 {
		l.isolated[version] = append(l.isolated[version], now)
	}
	if now.Sub(l.lastResume) < resumeGrace {
		l.excused[version] = append(l.excused[version], now)
	}
}

func (l *versionLog) answeredBadly(version string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bad[version] = append(l.bad[version], time.Now())
}

func (l *versionLog) resumed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastResume = time.Now()
}

// between returns how many requests arrived in an interval: at a version, and at all.
func (l *versionLog) between(version string, from, to time.Time) (at, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, times := range l.arrivals {
		for _, arrival := range times {
			if arrival.Before(from) || arrival.After(to) {
				continue
			}
			if all++; name == version {
				at++
			}
		}
	}
	return at, all
}

// throughRouter0 returns how many requests reached a version through router 0 since a time.
func (l *versionLog) throughRouter0(version string, since time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, arrival := range l.isolated[version] {
		if arrival.After(since) {
			n++
		}
	}
	return n
}

// tooLate returns the arrivals at a bad version that came later than allowed.
func (l *versionLog) tooLate(version string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.bad[version]) < exposeSlack {
		return 0
	}
	end := l.bad[version][exposeSlack-1].Add(rollbackTime)
	late := 0
	for _, arrival := range l.arrivals[version] {
		if arrival.After(end) {
			late++
		}
	}
	for _, arrival := range l.excused[version] {
		if arrival.After(end) {
			late--
		}
	}
	return late
}

// playedRollout is a roll-out that a test has ordered.
type playedRollout struct {
	h       *harness
	version string
	fault   versionFault
	targets []*endpoint
	ordered time.Time
}

// order starts endpoints of a version and orders its roll-out. faults are those of the endpoints.
func (h *harness) order(version string, fault versionFault) *playedRollout {
	p := &playedRollout{h: h, version: version, fault: fault}
	for i := range targetCount {
		e := h.newEndpoint(fmt.Sprint("i-", version, "-", i))
		e.version, e.fault = version, fault
		p.targets = append(p.targets, e)
		h.register(e, "ready")
	}
	p.ordered = time.Now()
	h.platform.SetSpec("rollouts", "s", map[string]any{"service": "s", "target": version, "period_s": rolloutPeriod.Seconds()})
	return p
}

// storedStatus is the status of the roll-out in the store.
type storedStatus struct {
	State, Target, Reason, Order string
	Share                        float64
}

func (p *playedRollout) status() storedStatus {
	object, err := p.h.platform.Store().Get(context.Background(), "rollouts/s")
	if err != nil {
		return storedStatus{}
	}
	var status storedStatus
	_ = json.Unmarshal(object.Status, &status)
	if status.Target != p.version {
		return storedStatus{}
	}
	return status
}

// verdict returns the final status, or false if there is none.
func (p *playedRollout) verdict() (storedStatus, bool) {
	status := p.status()
	return status, status.State == "done" || status.State == "rolled_back"
}

// await waits for the verdict until the time, and returns the last status.
func (p *playedRollout) await(until time.Time) storedStatus {
	for {
		status, final := p.verdict()
		if final || time.Now().After(until) {
			return status
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (p *playedRollout) deadline() time.Time { return p.ordered.Add(rolloutPeriod) }

// checkExposure checks what a bad version may get.
func (p *playedRollout) checkExposure() {
	if !p.fault.bad() {
		return
	}
	at, all := p.h.versions.between(p.version, p.ordered, p.deadline())
	if float64(at) > exposeShare*float64(all)+exposeSlack {
		p.h.addProblem("bad version %s got %d of %d requests", p.version, at, all)
	}
	if late := p.h.versions.tooLate(p.version); late > 0 {
		p.h.addProblem("bad version %s got %d requests later than %s after its bad answer %d", p.version, late, rollbackTime, exposeSlack)
	}
	p.h.t.Logf("bad version %s got %d of %d requests, status %+v", p.version, at, all, p.status())
}

// stop stops endpoints for good. Endpoints are removed from the store first.
func (h *harness) stop(endpoints []*endpoint) {
	for _, e := range endpoints {
		e.gone.Store(true)
		h.platform.RemoveSpec("servers", e.id)
	}
	for _, e := range endpoints {
		e.proxy.Close()
	}
}

// finish does what the platform does at a verdict: at done the old endpoints stop at once, otherwise
// those of the target drain and stop.
func (p *playedRollout) finish(state string) {
	if state == "done" {
		old := p.h.endpoints
		p.h.endpoints = p.targets
		p.h.stop(old)
		return
	}
	for _, e := range p.targets {
		p.h.register(e, "draining")
	}
	p.h.stop(p.targets)
}

// oldInFlight returns the requests in flight at the endpoints that are not of the target.
func (p *playedRollout) oldInFlight() (n int64) {
	for _, e := range p.h.endpoints {
		n += e.inFlight.Load()
	}
	return n
}

// orderRollout orders a roll-out of a good or a bad version, unless an earlier build runs too.
func (f *faultInjector) orderRollout() {
	if *previous != "" {
		return
	}
	faults := []versionFault{{}, {}, {percent: 50}, {percent: 90, path: "/safe/"}}
	fault := faults[f.rolloutRandom.IntN(len(faults))]
	version := fmt.Sprint("w", len(f.history))
	f.record("roll-out of version %s: %+v", version, fault)
	f.rollout = f.harness.order(version, fault)
}

// followRollout does what follows from a verdict on the roll-out.
func (f *faultInjector) followRollout() {
	if f.rollout == nil {
		return
	}
	if status, final := f.rollout.verdict(); final {
		f.judge(status)
	}
}

// judge checks the verdict on the roll-out and ends it.
func (f *faultInjector) judge(status storedStatus) {
	p := f.rollout
	f.rollout = nil
	f.record("roll-out of version %s: %+v", p.version, status)
	switch {
	case p.fault.bad() && status.State == "done":
		f.harness.addProblem("bad version %s: %+v", p.version, status)
	case !p.fault.bad() && status.State == "rolled_back":
		f.harness.addProblem("good version %s: %+v", p.version, status)
	}
	if wait := time.Until(p.deadline()); p.fault.bad() && wait > 0 {
		f.record("deadline of version %s", p.version)
		time.Sleep(wait)
	}
	p.checkExposure()
	p.finish(status.State)
}

// endRollout waits for the verdict on the last roll-out.
func (f *faultInjector) endRollout() {
	if f.rollout == nil {
		return
	}
	until := f.rollout.deadline()
	if repaired := time.Now().Add(settleTime); until.Before(repaired) {
		until = repaired
	}
	status := f.rollout.await(until)
	if status.State != "done" && status.State != "rolled_back" {
		f.harness.addProblem("no verdict on version %s: %+v", f.rollout.version, status)
	}
	f.judge(status)
}

// runRolloutLoad sends steady requests on all routes until ctx ends.
func (h *harness) runRolloutLoad(ctx context.Context) *sync.WaitGroup {
	load := &sync.WaitGroup{}
	for id := range callerCount {
		load.Go(func() {
			client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			defer client.CloseIdleConnections()
			paths := []string{"/unsafe/", "/safe/"}
			if id == 0 {
				paths = []string{"/chat/", "/report/"}
			}
			for n := 0; ctx.Err() == nil; n++ {
				h.sendRequest(client, h.routers[(id+n)%len(h.routers)], paths[n%len(paths)], fmt.Sprintf("v%d-%d", id, n))
				time.Sleep(25 * time.Millisecond)
			}
		})
	}
	return load
}

// withRolloutFleet runs a test with a fleet under load, and reports the problems found.
func withRolloutFleet(t *testing.T, binary string, test func(h *harness)) {
	t.Helper()
	h := newHarness(t, binary)
	time.Sleep(2 * time.Second) // the routers find each other
	ctx, cancel := context.WithCancel(context.Background())
	load := h.runRolloutLoad(ctx)
	test(h)
	cancel()
	load.Wait()
	for _, problem := range h.problems {
		t.Error(problem)
	}
	if !t.Failed() {
		return
	}
	for _, r := range h.routers {
		text, _ := os.ReadFile(r.log)
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, "rollout") {
				t.Log(line)
			}
		}
	}
}

// Guards against these faults of a fleet of router processes: a good version is not done by the
// deadline, or requests are in flight at old endpoints when it is; a bad one is not rolled back by
// then, or gets more requests than allowed, also with the store down before, at or after the
// verdict, and with a router that is cut off meanwhile or the first relay lost between its decision
// and the write; a second order takes over the verdict on the first.
func TestRollouts(t *testing.T) {
	if *previous != "" {
		t.Skip("the earlier build knows no roll-outs")
	}
	binary := build(t)
	bad := versionFault{percent: 40}
	for name, test := range map[string]func(h *harness){
		"good, then bad": func(h *harness) {
			p := h.order("v2", versionFault{})
			status := p.await(p.deadline().Add(verdictGrace))
			inFlight := p.oldInFlight()
			assert.Check(h.t, status.State == "done", "%+v", status)
			assert.Check(h.t, inFlight == 0, "%d requests in flight at old endpoints", inFlight)
			p.finish(status.State)
			next := h.order("v3", bad)
			next.checkRollBack()
			next.finish("rolled_back")
		},
		"one route": func(h *harness) { h.order("v2", versionFault{percent: 60, path: "/safe/"}).checkRollBack() },
		"slow":      func(h *harness) { h.order("v2", versionFault{delay: 60 * time.Millisecond}).checkRollBack() },
		"store down before": func(h *harness) {
			p := h.order("v2", bad)
			time.Sleep(700 * time.Millisecond)
			h.platform.SetFaults(standin.PlatformFaults{Outage: true})
			time.Sleep(time.Until(p.deadline()) - 2*time.Second)
			h.platform.SetFaults(standin.PlatformFaults{})
			p.checkRollBack()
		},
		"answers of the store lost": func(h *harness) {
			h.platform.SetFaults(standin.PlatformFaults{LoseProbability: 0.7})
			p := h.order("v2", bad)
			p.checkRollBack()
		},
		"store down after": func(h *harness) {
			p := h.order("v2", bad)
			p.await(p.deadline())
			h.platform.SetFaults(standin.PlatformFaults{Outage: true})
			time.Sleep(3 * time.Second)
			h.platform.SetFaults(standin.PlatformFaults{})
			p.checkRollBack()
			at, _ := h.versions.between("v2", p.deadline(), time.Now().Add(time.Minute))
			assert.Check(h.t, at == 0, "%d requests after the verdict", at)
		},
		"router cut off": func(h *harness) {
			// The others send to an address at which nobody listens, so that router 0 hears nothing.
			h.platform.SetSpec("hornbeam-routers", "r0", map[string]any{"address": "127.0.0.1:9"})
			time.Sleep(6 * time.Second) // the others list the routers every 5 s
			p := h.order("v2", versionFault{})
			time.Sleep(2 * time.Second)
			before := h.versions.throughRouter0("v2", p.ordered)
			assert.Check(h.t, before > 0, "router 0 takes no part in the roll-out")
			assert.NilError(h.t, h.storeProxies[0].SetFaults(standin.ProxyFaults{Refuse: true}))
			h.storeProxies[0].CutAll()
			time.Sleep(staleTime)
			cut := time.Now()
			time.Sleep(2500 * time.Millisecond)
			at, _ := h.versions.between("v2", cut, time.Now())
			assert.Check(h.t, h.versions.throughRouter0("v2", cut) == 0 && at > 0, "%d requests at the target", at)
			assert.NilError(h.t, h.storeProxies[0].SetFaults(standin.ProxyFaults{}))
			status := p.await(p.deadline().Add(verdictGrace))
			assert.Check(h.t, status.State == "done", "%+v", status)
		},
		"first relay killed": func(h *harness) {
			first := relayOrder()[0]
			p := h.order("v2", bad)
			p.awaitRunning()
			assert.NilError(h.t, h.storeProxies[first].SetFaults(standin.ProxyFaults{Freeze: true}))
			for until := p.deadline(); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
				text, err := os.ReadFile(h.routers[first].log)
				assert.NilError(h.t, err)
				if strings.Contains(string(text), `"state":"rolled_back"`) {
					break
				}
			}
			h.routers[first].signal(syscall.SIGKILL)
			p.checkRollBack()
		},
	} {
		t.Run(name, func(t *testing.T) { withRolloutFleet(t, binary, test) })
	}
}

func (p *playedRollout) awaitRunning() {
	for p.status().State == "" && time.Now().Before(p.deadline()) {
		time.Sleep(10 * time.Millisecond)
	}
}

// checkRollBack checks that the version is rolled back by the deadline, and what it got until then.
func (p *playedRollout) checkRollBack() {
	status := p.await(p.deadline().Add(verdictGrace))
	assert.Check(p.h.t, status.State == "rolled_back", "%+v", status)
	time.Sleep(time.Until(p.deadline()))
	p.checkExposure()
}

// Guards against a version that is good at first and gets more requests than allowed when it turns
// bad in the second or in the last stage.
func TestVersionTurnsBadLate(t *testing.T) {
	if *previous != "" {
		t.Skip("the earlier build knows no roll-outs")
	}
	binary := build(t)
	for name, after := range map[string]time.Duration{
		"second stage": 6800 * time.Millisecond, "last stage": 7700 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			withRolloutFleet(t, binary, func(h *harness) {
				h.order("v2", versionFault{percent: 40, from: time.Now().Add(after)}).checkRollBack()
			})
		})
	}
}
