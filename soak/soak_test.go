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
	seeds = flag.Int("soak.seeds", 1, "number of soaks, with one seed after the other")
	steps = flag.Int("soak.steps", 12, "faults in a soak")
)

const (
	callers  = 8
	stepTime = 700 * time.Millisecond
	// settleTime is the time after which a router that nothing disturbs follows
	// the store: 2 s for a change, and 3 s after a disruption.
	settleTime = 5 * time.Second
)

// Guards against broken promises under faults that come in series and overlap:
// whole answers, at most one run, true refusals, a configuration that is in force
// and never reverts, and a stop that cuts nothing.
func TestSoak(t *testing.T) {
	binary := build(t)
	for n := range *seeds {
		s := *seed + uint64(n)
		t.Run(fmt.Sprint("seed ", s), func(t *testing.T) {
			w, history := soak(t, binary, s, *steps)
			if len(w.problems) == 0 {
				return
			}
			t.Errorf("play again: go test ./soak -run 'TestSoak$' -soak.seed %d -soak.steps %d\nhistory:\n  %s\nproblems:\n  %s",
				s, *steps, strings.Join(history, "\n  "), strings.Join(w.problems, "\n  "))
			for _, r := range w.routers {
				text, _ := os.ReadFile(r.log)
				t.Logf("log of %s:\n%s", r.file, text)
			}
		})
	}
}

// soak plays one soak and returns the world with its problems, and the faults.
func soak(t *testing.T, binary string, seed uint64, steps int) (w *world, history []string) {
	w = newWorld(t, binary)
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for id := range callers {
		load.Go(func() { w.caller(ctx, id) })
	}
	f := &faults{w: w, random: rand.New(rand.NewPCG(seed, 0))}
	for range steps {
		f.step()
		time.Sleep(stepTime)
	}
	f.heal()
	time.Sleep(settleTime)
	f.checkSettled()
	cancel()
	load.Wait()
	w.checkRuns(callers)
	return w, f.history
}

// faults draws and makes faults.
type faults struct {
	w       *world
	random  *rand.Rand
	history []string
	keys    int
	mends   []func()
}

func (f *faults) note(format string, args ...any) {
	f.history = append(f.history, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// step mends an earlier fault by chance and makes a new one.
func (f *faults) step() {
	if len(f.mends) > 0 && f.random.IntN(2) == 0 {
		f.mends[0]()
		f.mends = f.mends[1:]
	}
	router := f.random.IntN(len(f.w.routers))
	endpoint := f.random.IntN(len(f.w.servers))
	kinds := []func(router, endpoint int){
		f.kill, f.terminate, f.pause, f.hangUp, f.cutEndpoint, f.silenceEndpoint, f.loseAnswers,
		f.drainEndpoint, f.cutStore, f.silenceStore, f.slowStore, f.compact, f.rotateKeys,
	}
	kinds[f.random.IntN(len(kinds))](router, endpoint)
}

func (f *faults) kill(router, _ int) {
	f.note("kill router %d", router)
	r := f.w.routers[router]
	r.signal(syscall.SIGCONT)
	r.signal(syscall.SIGKILL)
	r.await(3 * time.Second)
	r.start(f.w.t)
}

// terminate stops a router and checks that it ends within its grace period.
func (f *faults) terminate(router, _ int) {
	f.note("terminate router %d", router)
	r := f.w.routers[router]
	r.signal(syscall.SIGCONT)
	r.signal(syscall.SIGTERM)
	if !r.await(7 * time.Second) {
		f.w.problem("router %d did not end within its grace period", router)
		r.signal(syscall.SIGKILL)
		r.await(3 * time.Second)
	}
	r.start(f.w.t)
}

func (f *faults) pause(router, _ int) {
	f.note("pause router %d", router)
	r := f.w.routers[router]
	r.signal(syscall.SIGSTOP)
	f.mends = append(f.mends, func() {
		f.note("continue router %d", router)
		r.signal(syscall.SIGCONT)
	})
}

func (f *faults) hangUp(router, _ int) {
	f.note("SIGHUP to router %d", router)
	f.w.routers[router].signal(syscall.SIGHUP)
}

func (f *faults) cutEndpoint(_, endpoint int) {
	f.note("cut connections of endpoint %d", endpoint)
	f.w.servers[endpoint].proxy.CutAll()
}

func (f *faults) proxyFault(name string, index int, proxy *standin.FaultProxy, faults standin.ProxyFaults) {
	f.note("%s %d: %+v", name, index, faults)
	_ = proxy.SetFaults(faults)
	f.mends = append(f.mends, func() {
		f.note("%s %d mended", name, index)
		_ = proxy.SetFaults(standin.ProxyFaults{})
		proxy.CutAll()
	})
}

func (f *faults) silenceEndpoint(_, endpoint int) {
	f.proxyFault("endpoint", endpoint, f.w.servers[endpoint].proxy, standin.ProxyFaults{Freeze: true})
}

func (f *faults) loseAnswers(_, endpoint int) {
	f.proxyFault("endpoint", endpoint, f.w.servers[endpoint].proxy, standin.ProxyFaults{CutAfterBytes: int64(100 + f.random.IntN(2000))})
}

func (f *faults) drainEndpoint(_, endpoint int) {
	f.note("drain endpoint %d", endpoint)
	e := f.w.servers[endpoint]
	f.w.register(e, "draining")
	f.mends = append(f.mends, func() {
		f.note("endpoint %d is back", endpoint)
		f.w.register(e, "ready")
	})
}

func (f *faults) cutStore(router, _ int) {
	f.proxyFault("store of router", router, f.w.proxies[router], standin.ProxyFaults{Refuse: true})
	f.w.proxies[router].CutAll()
}

func (f *faults) silenceStore(router, _ int) {
	f.proxyFault("store of router", router, f.w.proxies[router], standin.ProxyFaults{Freeze: true})
}

func (f *faults) slowStore(_, _ int) {
	f.note("store is slow")
	f.w.stand.SetFaults(standin.PlatformFaults{Latency: 200 * time.Millisecond})
	f.mends = append(f.mends, func() {
		f.note("store is fast")
		f.w.stand.SetFaults(standin.PlatformFaults{})
	})
}

func (f *faults) compact(_, _ int) {
	f.note("store drops its history")
	f.w.stand.Compact()
}

// rotateKeys takes the newest key away and adds another; the callers' key stays.
func (f *faults) rotateKeys(_, _ int) {
	f.keys++
	f.note("key n%d replaces n%d", f.keys, f.keys-1)
	f.w.configure("k0", fmt.Sprint("n", f.keys))
}

func (f *faults) heal() {
	for _, mend := range f.mends {
		mend()
	}
	f.mends = nil
	f.rotateKeys(0, 0)
}

// checkSettled checks that each router is ready, accepts the newest key and
// refuses the one before.
func (f *faults) checkSettled() {
	client := &http.Client{Timeout: 3 * time.Second}
	for i, r := range f.w.routers {
		if !r.isReady() {
			f.w.problem("router %d is not ready %s after the last fault", i, settleTime)
		}
		for key, want := range map[string]int{fmt.Sprint("n", f.keys): http.StatusOK, fmt.Sprint("n", f.keys-1): http.StatusUnauthorized} {
			request, _ := http.NewRequest(http.MethodPost, "http://"+r.callers+"/safe/x", strings.NewReader("x"))
			request.Host = "h"
			request.Header.Set("Request-Id", fmt.Sprintf("settled-%d-%s", i, key))
			request.Header.Set("Api-Key", key)
			response, err := client.Do(request)
			if err != nil {
				f.w.problem("router %d with key %s: %v", i, key, err)
				continue
			}
			response.Body.Close()
			if response.StatusCode != want {
				f.w.problem("router %d answers key %s with %d, not %d", i, key, response.StatusCode, want)
			}
		}
	}
}
