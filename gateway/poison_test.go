package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/roster"
)

// poisonPart is the part of a prompt that makes the endpoints of a crashingPool exit.
const poisonPart = "dead"

// crashingPool is a service whose endpoints exit when they begin an answer to a prompt with
// poisonPart. Each comes back after a pause, under a new id.
type crashingPool struct {
	t       *testing.T
	gateway testGateway

	mu       sync.Mutex
	exits    []time.Time // one for each request with poisonPart that reached an endpoint
	started  int
	replaced sync.WaitGroup
}

const restartPause = 300 * time.Millisecond

func newCrashingPool(t *testing.T, size int) *crashingPool {
	t.Helper()
	p := &crashingPool{t: t, gateway: newTestGateway(t).configure()}
	for range size {
		p.start()
	}
	t.Cleanup(p.replaced.Wait)
	return p
}

// start starts an endpoint and registers it.
func (p *crashingPool) start() {
	p.mu.Lock()
	p.started++
	id := fmt.Sprintf("e%d", p.started)
	p.mu.Unlock()
	var e *endpoint
	e = newEndpoint(p.t, id, func(r *http.Request, w io.Writer) bool {
		time.Sleep(20 * time.Millisecond)
		if strings.Contains(r.Header.Get("Prompt-Prefix"), poisonPart) {
			p.mu.Lock()
			p.exits = append(p.exits, time.Now())
			p.mu.Unlock()
			p.replaced.Add(1)
			go p.replace(e)
			return false
		}
		return events(1, 2, true)(r, w)
	})
	p.gateway.SetEndpoint(roster.Entry{ID: id, Service: "s", Address: e.listener.Addr().String(), Zone: "z", Slots: 8})
}

func (p *crashingPool) replace(e *endpoint) {
	defer p.replaced.Done()
	e.exit()
	time.Sleep(restartPause)
	p.gateway.RemoveEndpoint(e.id)
	p.start()
}

// reachedAfter returns the number of requests with poisonPart that reached an endpoint later
// than the given time after the fifth one.
func (p *crashingPool) reachedAfter(pause time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	for _, at := range p.exits {
		if len(p.exits) >= 5 && at.Sub(p.exits[4]) > pause {
			late++
		}
	}
	return late
}

// Guards against requests with a part that crashes endpoints being sent to endpoint after
// endpoint for as long as they come, and against sound requests with the same first part being
// refused with them.
func TestPromptPartThatCrashesEndpointsIsStopped(t *testing.T) {
	p := newCrashingPool(t, 6)
	const stableWindow = 3 * time.Second
	var served, sound atomic.Int64
	var requests sync.WaitGroup
	begun := time.Now()
	for i := 0; time.Since(begun) < 2*stableWindow+2*time.Second; i++ {
		prompt := fmt.Sprintf("a:800,b%d:80,c%d:20", i%3, i)
		poison := i%10 == 9
		if poison {
			prompt = fmt.Sprintf("a:800,b%d:80,%s:30,c%d:20", i%3, poisonPart, i)
		}
		requests.Go(func() {
			response, _, err := p.gateway.do(t, "/prompt/1", "Prompt-Prefix", prompt, "Request-Id", fmt.Sprintf("r%d", i))
			if poison || time.Since(begun) < stableWindow {
				return
			}
			sound.Add(1)
			if response.StatusCode == http.StatusOK && err == nil {
				served.Add(1)
			}
		})
		time.Sleep(15 * time.Millisecond)
	}
	requests.Wait()
	assert.Assert(t, p.reachedAfter(stableWindow) <= 3, "%d requests with the part reached endpoints", p.reachedAfter(stableWindow))
	assert.Assert(t, served.Load()*10 >= sound.Load()*9, "%d of %d sound requests were served", served.Load(), sound.Load())
}

// Guards against a request whose prompt is about to be quarantined crashing a second endpoint
// because its route allows a retry.
func TestSuspectedPromptIsNotSentAgain(t *testing.T) {
	p := newCrashingPool(t, 6)
	send := func(path string) {
		_, _, _ = p.gateway.do(t, path, "Prompt-Prefix", "a:800,"+poisonPart+":30,c:20")
	}
	for range 2 {
		send("/prompt/1")
		time.Sleep(600 * time.Millisecond) // two exits in quick succession quarantine a new part at once
	}
	send("/chatprompt/1")
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Equal(t, len(p.exits), 2+1)
}

// Guards against a part of all prompts that stays refused after all endpoints exited together for
// another reason: no request with it is left whose answer could lift the quarantine.
func TestSharedPartIsServedAfterCommonExit(t *testing.T) {
	g := newTestGateway(t).configure()
	slowly := func(r *http.Request, w io.Writer) bool {
		time.Sleep(500 * time.Millisecond)
		return events(1, 2, true)(r, w)
	}
	start := func(id string, next script) *endpoint {
		e := newEndpoint(t, id, next)
		g.register(e)
		return e
	}
	var endpoints []*endpoint
	for i := range 4 {
		endpoints = append(endpoints, start(fmt.Sprint("before", i), slowly))
	}
	send := func(i int) int {
		response, _, _ := g.do(t, "/prompt/1", "Prompt-Prefix", fmt.Sprintf("a:800,b%d:80,c%d:20", i, i), "Request-Id", fmt.Sprint("r", i))
		return response.StatusCode
	}
	var requests sync.WaitGroup
	for i := range 16 {
		requests.Go(func() { send(i) })
	}
	time.Sleep(100 * time.Millisecond)
	for _, e := range endpoints {
		e.exit()
		time.Sleep(120 * time.Millisecond)
	}
	requests.Wait()
	assert.Equal(t, send(100), http.StatusServiceUnavailable, "the part is not quarantined")
	for i, e := range endpoints {
		g.RemoveEndpoint(e.id)
		start(fmt.Sprint("after", i), events(1, 2, true))
	}
	for i := 200; send(i) != http.StatusOK; i++ {
		assert.Assert(t, i < 300, "refused for 10 s")
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against a quarantine that is confirmed because the endpoint of a probe exited, although all
// others exited with it and had no requests that show it, and against one that nothing confirms.
func TestProbeAmongOtherExits(t *testing.T) {
	for _, alone := range []bool{false, true} {
		t.Run(fmt.Sprint("alone ", alone), func(t *testing.T) {
			g := newTestGateway(t).configure()
			reached := make(chan *endpoint, 100)
			var endpoints []*endpoint
			start := func(round int) {
				endpoints = nil
				for i := range 4 {
					var e *endpoint
					e = newEndpoint(t, fmt.Sprintf("e%d-%d", round, i), func(*http.Request, io.Writer) bool {
						reached <- e
						time.Sleep(time.Second)
						return false
					})
					g.register(e)
					endpoints = append(endpoints, e)
				}
			}
			send := func(i int) int {
				response, _, _ := g.do(t, "/prompt/1", "Prompt-Prefix", fmt.Sprintf("a:800,b%d:80,c%d:20", i, i), "Request-Id", fmt.Sprint("r", i))
				return response.StatusCode
			}
			start(1)
			var requests sync.WaitGroup
			for i := range 16 {
				requests.Go(func() { send(i) })
			}
			for range 16 {
				<-reached
			}
			for _, e := range endpoints {
				e.exit()
				g.RemoveEndpoint(e.id)
				time.Sleep(120 * time.Millisecond)
			}
			requests.Wait()
			start(2)
			for i := 200; len(reached) == 0; i++ {
				requests.Go(func() { send(i) })
				time.Sleep(100 * time.Millisecond)
			}
			probed := <-reached
			probed.exit()
			for _, e := range endpoints {
				if !alone && e != probed {
					e.exit()
				}
			}
			time.Sleep(1500 * time.Millisecond)
			_ = g.PoisonAnnouncement()
			assert.Equal(t, len(g.Quarantines()) == 1, alone)
			requests.Wait()
		})
	}
}

// Guards against a new part whose endpoints exit in quick succession being sent on until a third one
// exits.
func TestNewPartIsStoppedAfterTwoQuickExits(t *testing.T) {
	p := newCrashingPool(t, 6)
	for range 3 {
		_, _, _ = p.gateway.do(t, "/prompt/1", "Prompt-Prefix", "a:800,"+poisonPart+":30,c:20")
		time.Sleep(150 * time.Millisecond)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Equal(t, len(p.exits), 2)
}
