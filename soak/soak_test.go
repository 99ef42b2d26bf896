package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

var (
	seed  = flag.Uint64("soak.seed", 1, "seed of the first soak")
	seeds = flag.Int("soak.seeds", 1, "number of soaks, with consecutive seeds")
	steps = flag.Int("soak.steps", 12, "number of faults in a soak")
	// previous is the binary of the build before this one. Half of the routers begin with it, and
	// each router that is killed or terminated starts again with the other build.
	previous = flag.String("soak.previous", "", "binary of an earlier build that runs beside this one")
)

const (
	callerCount = 8
	stepTime    = 700 * time.Millisecond
	// settleTime is counted from the end of the last fault. Within it all routers must be
	// ready and apply the newest configuration. It is 3 s for the recovery from a
	// disruption plus 2 s for a change of the configuration.
	settleTime = 5 * time.Second
)

// Guards against routers that violate one of these guarantees under random faults, which
// follow each other and overlap:
//   - A response is complete or visibly failed.
//   - Unsafe requests and streams that can't be resumed run at most once.
//   - An unsafe request that was refused has not run.
//   - Routers apply the newest configuration and never go back to an older one.
//   - A router ends within its grace period after SIGTERM.
//   - An endpoint that says that it leaves, or asks for a pause, gets what it wants.
//   - A roll-out ends with the right verdict, and a bad version gets no more requests than allowed.
func TestSoak(t *testing.T) {
	binary := build(t)
	for n := range *seeds {
		s := *seed + uint64(n)
		t.Run(fmt.Sprint("seed ", s), func(t *testing.T) {
			h, history := runSoak(t, binary, s, *steps)
			if len(h.problems) == 0 {
				return
			}
			t.Errorf("reproduce with: go test ./soak -run 'TestSoak$' -soak.seed %d -soak.steps %d\nhistory:\n  %s\nproblems:\n  %s",
				s, *steps, strings.Join(history, "\n  "), strings.Join(h.problems, "\n  "))
			for _, r := range h.routers {
				text, _ := os.ReadFile(r.log)
				t.Logf("log of %s:\n%s", r.settingsFile, text)
			}
		})
	}
}

// runSoak runs one soak with the given number of faults. It returns the harness, which
// lists the problems found, and the history of the faults.
func runSoak(t *testing.T, binary string, seed uint64, steps int) (h *harness, history []string) {
	h = newHarness(t, binary)
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for id := range callerCount {
		load.Go(func() { h.runCaller(ctx, id) })
	}
	f := &faultInjector{harness: h, random: rand.New(rand.NewPCG(seed, 0)), rolloutRandom: rand.New(rand.NewPCG(seed, 1))}
	for range steps {
		f.step()
		time.Sleep(stepTime)
	}
	f.repairAll()
	f.endRollout()
	time.Sleep(settleTime)
	f.checkSettled()
	cancel()
	load.Wait()
	h.checkRuns(callerCount)
	t.Logf("routers were told %d times that an endpoint leaves, and asked %d times for a pause", h.wishes.told, h.wishes.asked)
	return h, f.history
}

// faultInjector picks faults at random, injects them and later repairs them.
type faultInjector struct {
	harness   *harness
	random    *rand.Rand
	history   []string
	newestKey int            // number of the newest API key, "n<newestKey>"
	repairs   []func()       // each ends one of the active faults, oldest fault first
	rollout   *playedRollout // the roll-out that is running, or nil
	// rolloutRandom decides on roll-outs, so that they change no other fault of a seed.
	rolloutRandom *rand.Rand
}

func (f *faultInjector) record(format string, args ...any) {
	f.history = append(f.history, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// step repairs the oldest active fault with a probability of 1/2 and injects a new
// one.
func (f *faultInjector) step() {
	f.followRollout()
	if f.rollout == nil && f.rolloutRandom.IntN(rolloutEvery) == 0 {
		f.orderRollout()
	}
	if len(f.repairs) > 0 && f.random.IntN(2) == 0 {
		f.repairs[0]()
		f.repairs = f.repairs[1:]
	}
	router := f.random.IntN(len(f.harness.routers))
	endpoint := f.random.IntN(len(f.harness.endpoints))
	kinds := []func(router, endpoint int){
		f.kill, f.terminate, f.pause, f.sendHangup, f.cutEndpointConnections, f.freezeEndpoint, f.truncateResponses,
		f.drainEndpoint, f.cutStore, f.freezeStore, f.delayStore, f.compactStore, f.rotateKeys, f.leaveEndpoint, f.pauseEndpoint,
		f.cutWatches,
	}
	kinds[f.random.IntN(len(kinds))](router, endpoint)
}

func (f *faultInjector) kill(router, _ int) {
	f.record("kill router %d", router)
	f.harness.wishes.disturbRouter(router)
	defer f.harness.wishes.disturbRouter(router)
	r := f.harness.routers[router]
	r.signal(syscall.SIGCONT)
	r.signal(syscall.SIGKILL)
	r.awaitExit(3 * time.Second)
	f.swapBuild(router)
	r.start(f.harness.t)
}

// swapBuild makes a router that has ended start again with the other build, if there are two.
func (f *faultInjector) swapBuild(router int) {
	r := f.harness.routers[router]
	if *previous == "" {
		return
	}
	r.binary, r.otherBinary = r.otherBinary, r.binary
	f.record("router %d changes to %s", router, r.binary)
	f.harness.wishes.setIgnored(router, r.binary == *previous)
}

// terminate stops a router and checks that it ends within its grace period.
func (f *faultInjector) terminate(router, _ int) {
	f.record("terminate router %d", router)
	f.harness.wishes.disturbRouter(router)
	defer f.harness.wishes.disturbRouter(router)
	r := f.harness.routers[router]
	r.signal(syscall.SIGCONT)
	r.signal(syscall.SIGTERM)
	if !r.awaitExit(7 * time.Second) {
		f.harness.addProblem("router %d did not end within its grace period", router)
		r.signal(syscall.SIGKILL)
		r.awaitExit(3 * time.Second)
	}
	f.swapBuild(router)
	r.start(f.harness.t)
}

func (f *faultInjector) pause(router, _ int) {
	f.record("pause router %d", router)
	f.harness.wishes.disturbRouter(router)
	r := f.harness.routers[router]
	r.signal(syscall.SIGSTOP)
	f.repairs = append(f.repairs, func() {
		f.record("continue router %d", router)
		f.harness.versions.resumed()
		r.signal(syscall.SIGCONT)
		f.harness.wishes.disturbRouter(router)
	})
}

func (f *faultInjector) sendHangup(router, _ int) {
	f.record("SIGHUP to router %d", router)
	f.harness.routers[router].signal(syscall.SIGHUP)
}

func (f *faultInjector) cutEndpointConnections(_, endpoint int) {
	f.record("cut connections of endpoint %d", endpoint)
	f.harness.wishes.disturbEndpoint(f.harness.endpoints[endpoint].id)
	f.harness.endpoints[endpoint].proxy.CutAll()
}

func (f *faultInjector) proxyFault(name string, index int, proxy *standin.FaultProxy, faults standin.ProxyFaults) {
	f.record("%s %d: %+v", name, index, faults)
	disturb := func() {
		for _, e := range f.harness.endpoints {
			if e.proxy == proxy {
				f.harness.wishes.disturbEndpoint(e.id)
			}
		}
	}
	disturb()
	_ = proxy.SetFaults(faults)
	f.repairs = append(f.repairs, func() {
		f.record("%s %d repaired", name, index)
		disturb()
		_ = proxy.SetFaults(standin.ProxyFaults{})
		proxy.CutAll()
	})
}

func (f *faultInjector) freezeEndpoint(_, endpoint int) {
	f.proxyFault("endpoint", endpoint, f.harness.endpoints[endpoint].proxy, standin.ProxyFaults{Freeze: true})
}

func (f *faultInjector) truncateResponses(_, endpoint int) {
	f.proxyFault("endpoint", endpoint, f.harness.endpoints[endpoint].proxy, standin.ProxyFaults{CutAfterBytes: int64(100 + f.random.IntN(2000))})
}

func (f *faultInjector) drainEndpoint(_, endpoint int) {
	f.record("drain endpoint %d", endpoint)
	e := f.harness.endpoints[endpoint]
	f.harness.register(e, "draining")
	f.repairs = append(f.repairs, func() {
		f.record("endpoint %d is ready again", endpoint)
		f.harness.register(e, "ready")
	})
}

// leaveEndpoint makes an endpoint say in its answers that it leaves, while its entry stays ready. It
// comes back as a new start.
func (f *faultInjector) leaveEndpoint(_, endpoint int) {
	f.record("endpoint %d leaves", endpoint)
	e := f.harness.endpoints[endpoint]
	e.leaving.Store(true)
	f.repairs = append(f.repairs, func() {
		f.record("endpoint %d starts again", endpoint)
		e.leaving.Store(false)
		e.born.Add(1)
		f.harness.register(e, "ready")
	})
}

// pauseEndpoint makes an endpoint refuse requests and ask for a pause.
func (f *faultInjector) pauseEndpoint(_, endpoint int) {
	f.record("endpoint %d asks for pauses", endpoint)
	e := f.harness.endpoints[endpoint]
	e.pausing.Store(true)
	f.repairs = append(f.repairs, func() {
		f.record("endpoint %d asks for no more pauses", endpoint)
		e.pausing.Store(false)
	})
}

func (f *faultInjector) cutStore(router, _ int) {
	f.proxyFault("store of router", router, f.harness.storeProxies[router], standin.ProxyFaults{Refuse: true})
	f.harness.storeProxies[router].CutAll()
}

func (f *faultInjector) freezeStore(router, _ int) {
	f.proxyFault("store of router", router, f.harness.storeProxies[router], standin.ProxyFaults{Freeze: true})
}

func (f *faultInjector) delayStore(_, _ int) {
	f.record("store is slow")
	f.harness.platform.SetFaults(standin.PlatformFaults{Latency: 200 * time.Millisecond})
	f.repairs = append(f.repairs, func() {
		f.record("store is fast")
		f.harness.platform.SetFaults(standin.PlatformFaults{})
	})
}

func (f *faultInjector) compactStore(_, _ int) {
	f.record("store compacts its history")
	f.harness.platform.Compact()
}

func (f *faultInjector) cutWatches(_, _ int) {
	f.record("watches are cut off")
	for _, kind := range []string{"config", "servers", "evacuations", "rollouts"} {
		f.harness.platform.CutWatches(kind)
	}
}

// rotateKeys replaces the newest API key by another one; the callers' key k0 stays.
func (f *faultInjector) rotateKeys(_, _ int) {
	f.newestKey++
	f.record("key n%d replaces n%d", f.newestKey, f.newestKey-1)
	f.harness.configure("k0", fmt.Sprint("n", f.newestKey))
}

func (f *faultInjector) repairAll() {
	for _, repair := range f.repairs {
		repair()
	}
	f.repairs = nil
	f.rotateKeys(0, 0)
}

// checkSettled checks that each router is ready, accepts the newest API key and
// refuses the previous one.
func (f *faultInjector) checkSettled() {
	client := &http.Client{Timeout: 3 * time.Second}
	for i, r := range f.harness.routers {
		if !r.isReady() {
			f.harness.addProblem("router %d is not ready %s after the last fault", i, settleTime)
		}
		for key, want := range map[string]int{fmt.Sprint("n", f.newestKey): http.StatusOK, fmt.Sprint("n", f.newestKey-1): http.StatusUnauthorized} {
			request, _ := http.NewRequest(http.MethodPost, "http://"+r.callers+"/safe/x", strings.NewReader("x"))
			request.Host = "h"
			request.Header.Set("Request-Id", fmt.Sprintf("settled-%d-%s", i, key))
			request.Header.Set("Api-Key", key)
			response, err := client.Do(request)
			if err != nil {
				f.harness.addProblem("router %d with key %s: %v", i, key, err)
				continue
			}
			response.Body.Close()
			if response.StatusCode != want {
				f.harness.addProblem("router %d answers key %s with %d, not %d", i, key, response.StatusCode, want)
			}
		}
	}
}
