package integration_test

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// loadProbe reads the load of all engines just before and just after each start of a
// completion.
type loadProbe struct {
	mu      sync.Mutex
	engines []*standin.SiteEngine
	// totalAtStart holds, by request id, the number of requests at all engines when the
	// request started, including that request. It is the larger of the numbers read just
	// before and just after the start.
	totalAtStart map[string]int
}

func (p *loadProbe) totalRunning() int {
	total := 0
	for _, e := range p.engines {
		total += e.Running()
	}
	return total
}

func (p *loadProbe) record(id string, total int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.totalAtStart[id] = max(p.totalAtStart[id], total)
}

func (p *loadProbe) wrap(engine *standin.SiteEngine, next http.Handler) http.Handler {
	p.engines = append(p.engines, engine)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			next.ServeHTTP(w, r)
			return
		}
		id := r.Header.Get("X-Request-Id")
		p.record(id, p.totalRunning()+1)
		next.ServeHTTP(&probedWriter{ResponseWriter: w, started: func() { p.record(id, p.totalRunning()) }}, r)
	})
}

// probedWriter calls started at the first flush, which the engine does once it has
// registered the request.
type probedWriter struct {
	http.ResponseWriter
	once    sync.Once
	started func()
}

func (w *probedWriter) FlushError() error {
	w.once.Do(w.started)
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Guards against an engine that gets more than its share of the load while others
// have room.
//
// At the start of each completion, the number of requests at its engine must not exceed
// ceil(1.25 x mean). The mean is the number of requests at all engines divided by the
// number of engines. Both numbers of requests include the completion. Requests start and
// end while the test counts those at all engines. So the test counts them just before and
// just after the start, and uses the larger count.
func TestLoadPerEngineIsBounded(t *testing.T) {
	const engines, callers, surge = 8, 64, 72
	probe := &loadProbe{totalAtStart: map[string]int{}}
	f := newFleet(t, fleetOptions{
		site: standin.SiteConfig{
			Zones: threeZones, Engines: engines, Workspaces: 8, MaxInflight: 64,
			Engine: standin.EngineConfig{TTFT: 10 * time.Millisecond, TokenInterval: 5 * time.Millisecond, MaxRunning: 64},
		},
		routers:    8,
		wrapEngine: probe.wrap,
	})
	started := time.Now()
	tally := &streamTally{}
	stop, stopSurge := make(chan struct{}), make(chan struct{})
	var waits []func()
	for workspace := range 8 {
		call := chatCall{workspace: workspace, chat: fmt.Sprintf("base-%d", workspace), tokens: 60}
		waits = append(waits, f.startCallers(t, callers/8, call, tally, stop))
	}
	time.Sleep(4 * time.Second)
	surging := time.Now()
	waitSurge := f.startCallers(t, surge, chatCall{chat: "surge", tokens: 60}, tally, stopSurge)
	time.Sleep(4 * time.Second)
	calming := time.Now()
	close(stopSurge)
	waitSurge()
	time.Sleep(3 * time.Second)
	close(stop)
	for _, wait := range waits {
		wait()
	}
	phases := []struct {
		name       string
		from, till time.Time
	}{
		{"steady", started, surging},
		{"surge", surging, calming},
		{"after the surge", calming, time.Now()},
	}
	t.Logf("%s", tally)
	for _, phase := range phases {
		over := checkStarts(t, f, probe, phase.name, phase.from, phase.till)
		assert.Check(t, over == 0, "%s: %d starts above the bound", phase.name, over)
	}
}

// checkStarts compares the load of the engine at each start in the interval [from, till)
// with the bound, and returns the number of starts above the bound.
func checkStarts(t *testing.T, f *Fleet, probe *loadProbe, name string, from, till time.Time) int {
	t.Helper()
	probe.mu.Lock()
	defer probe.mu.Unlock()
	starts, over, worst, means := 0, 0, 0.0, 0.0
	for _, e := range f.site.Engines {
		for _, start := range e.CompletionStarts() {
			if start.At.Before(from) || !start.At.Before(till) {
				continue
			}
			total, ok := probe.totalAtStart[start.RequestID]
			assert.Assert(t, ok, "no total recorded for %s", start.RequestID)
			mean := float64(total) / float64(len(f.site.Engines))
			starts++
			means += mean
			worst = max(worst, float64(start.Concurrent)/mean)
			if start.Concurrent <= int(math.Ceil(1.25*mean)) {
				continue
			}
			over++
			if over <= 10 {
				t.Logf("%s: %s at %s (%s into the phase): %d present, mean %.3f", name, start.RequestID, e.ID,
					start.At.Sub(from).Round(time.Millisecond), start.Concurrent, mean)
			}
		}
	}
	assert.Assert(t, starts > 100, "%s: %d starts", name, starts)
	t.Logf("%s: %d starts, %d above the bound, mean %.2f per engine, largest load %.2f of the mean",
		name, starts, over, means/float64(starts), worst)
	return over
}
