package integration_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// balancer picks among the routers that passed the last readiness check, as the
// platform's load balancer does.
type balancer struct {
	mu    sync.Mutex
	ready []*Router
}

func (b *balancer) run(f *Fleet, stop <-chan struct{}) {
	for {
		var ready []*Router
		for _, r := range f.currentRouters() {
			if f.ready(r) {
				ready = append(ready, r)
			}
		}
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (b *balancer) pick(n int) *Router {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil
	}
	return b.ready[n%len(b.ready)]
}

// Guards against a graceful shutdown that cuts off requests or runs them twice. Under load,
// the test starts a replacement for each router in turn and then ends the router by SIGTERM.
func TestShutdownCutsAndDoublesNothing(t *testing.T) {
	random := rand.New(rand.NewPCG(logSeed(t, 71), 0))
	f := newFleet(t, fleetOptions{
		site: standin.SiteConfig{
			Zones: threeZones, Engines: 4, Services: 2, Workspaces: 1, MaxInflight: 64,
			Engine: standin.EngineConfig{TTFT: 5 * time.Millisecond, TokenInterval: 5 * time.Millisecond, MaxRunning: 64},
		},
		routers: 8,
		limits:  map[string]any{"withdraw_within": "1s"},
	})
	stop := make(chan struct{})
	balance := &balancer{}
	var waiting sync.WaitGroup
	waiting.Go(func() { balance.run(f, stop) })
	eventually(t, startTimeout, "the balancer knows the routers", func() bool { return balance.pick(0) != nil })
	tally := &streamTally{}
	for i := range 16 {
		first := random.IntN(8)
		waiting.Go(func() { chatsThrough(t, f, balance, tally, i, first, stop) })
	}
	var holds atomic.Int64
	for i := range 8 {
		first := random.IntN(8)
		waiting.Go(func() { holdsThrough(t, f, balance, &holds, i, first, stop) })
	}
	for _, r := range f.currentRouters() {
		f.start()
		r.signal(syscall.SIGTERM)
		select {
		case <-r.exited:
		case <-time.After(startTimeout):
			t.Fatalf("%s has not ended %s after SIGTERM", r.id, startTimeout)
		}
		assert.NilError(t, r.exit, "%s", r.id)
		r.platformProxy.Close()
		f.remove(r)
	}
	close(stop)
	waiting.Wait()
	t.Logf("8 routers replaced: %s; %d holds", tally, holds.Load())
	assert.Equal(t, tally.failedVisibly, 0)
	assert.Assert(t, tally.complete > 100 && holds.Load() > 100, "no load")
	for _, s := range f.site.Services {
		for _, run := range s.Runs() {
			assert.Check(t, f.site.RunsOfKey(run.IdempotencyKey) == 1, "%s ran more than once", run.IdempotencyKey)
		}
	}
}

func chatsThrough(t *testing.T, f *Fleet, balance *balancer, tally *streamTally, caller, first int, stop <-chan struct{}) {
	for turn := 0; ; turn++ {
		select {
		case <-stop:
			return
		default:
		}
		// Every fourth stream has 320 tokens of 5 ms. It lasts longer than the 1 s
		// (withdraw_within) for which a router still accepts requests after SIGTERM.
		tokens := 20 + 300*(turn%4/3)
		call := chatCall{chat: fmt.Sprintf("leaving-%d", caller), text: fmt.Sprint(turn), tokens: tokens}
		tally.add(t, f.chat(balance.pick(first+turn), call))
	}
}

func holdsThrough(t *testing.T, f *Fleet, balance *balancer, holds *atomic.Int64, caller, first int, stop <-chan struct{}) {
	for turn := 0; ; turn++ {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		key := fmt.Sprintf("leaving-%d-%d", caller, turn)
		result := f.hold(balance.pick(first+turn), holdCall{key: key, tag: key})
		holds.Add(1)
		if result.status != http.StatusCreated {
			t.Errorf("hold not answered with 201: %s", result)
		}
	}
}

// Guards against a router that an operator can't stop while it drains a long stream: the
// second SIGTERM must end the process within a second.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	f := newFleet(t, fleetOptions{
		site: standin.SiteConfig{
			Zones: threeZones, Engines: 1, Workspaces: 1, MaxInflight: 16,
			Engine: standin.EngineConfig{TokenInterval: 5 * time.Millisecond},
		},
		routers: 1,
	})
	r := f.currentRouters()[0]
	begun := make(chan struct{})
	var once sync.Once
	ended := make(chan *chatResult, 1)
	go func() {
		ended <- f.chat(r, chatCall{chat: "long", tokens: 4000, onEvent: func(int) { once.Do(func() { close(begun) }) }})
	}()
	<-begun
	r.signal(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	assert.Assert(t, !r.hasExited(), "the router exited after the first signal, during a stream")
	signalled := time.Now()
	r.signal(syscall.SIGTERM)
	<-r.exited
	took := time.Since(signalled)
	t.Logf("ended %s after the second signal", took)
	assert.Assert(t, took < time.Second, "took %s", took)
	assert.Equal(t, r.command.ProcessState.ExitCode(), 1)
	assert.Assert(t, !(<-ended).complete())
}
