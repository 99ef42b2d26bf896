package integration_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// streamTally counts the results of many streams.
type streamTally struct {
	mu                               sync.Mutex
	complete, failedVisibly, invalid int
	reasons                          map[string]int
}

// add counts a result. It fails the test if the result is neither complete nor a visible
// failure.
func (s *streamTally) add(t *testing.T, result *chatResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case result.complete():
		s.complete++
	case result.failedVisibly():
		s.failedVisibly++
		if s.reasons == nil {
			s.reasons = map[string]int{}
		}
		s.reasons[fmt.Sprintf("%d %s after %d events", result.status, result.problem.Reason, len(result.events))]++
	default:
		s.invalid++
		t.Errorf("neither complete nor visibly failed: %s", result)
	}
}

// completeShare returns the share of complete answers.
func (s *streamTally) completeShare() float64 {
	return float64(s.complete) / float64(s.complete+s.failedVisibly+s.invalid)
}

func (s *streamTally) String() string {
	return fmt.Sprintf("%d complete, %d visibly failed %v, %d invalid", s.complete, s.failedVisibly, s.reasons, s.invalid)
}

// startCallers runs count callers until stop is closed. Each caller sends one request at a
// time, to the routers in turn. The returned function waits until all callers have ended.
func (f *Fleet) startCallers(t *testing.T, count int, call chatCall, tally *streamTally, stop <-chan struct{}) (wait func()) {
	var waiting sync.WaitGroup
	for i := range count {
		waiting.Go(func() {
			for turn := 0; ; turn++ {
				select {
				case <-stop:
					return
				default:
				}
				routers := f.currentRouters()
				own := call
				own.chat = fmt.Sprintf("%s-%d", call.chat, i)
				if call.turns > 0 {
					own.chat = fmt.Sprintf("%s-%d", own.chat, turn/call.turns)
				}
				own.text = fmt.Sprintf(" turn %d", turn)
				result := f.chat(routers[(i+turn)%len(routers)], own)
				if call.tolerateAborts && result.err != nil && !result.errorEvent {
					continue
				}
				tally.add(t, result)
			}
		})
	}
	return waiting.Wait
}

// Guards against answers that look complete although they were altered, were mixed up with
// others or ended early. The stand-in engines inject each kind of stream fault.
func TestFaultyStreamsAreWholeOrVisiblyFailed(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(logSeed(t, 31), 0))
	const tokens = 40
	f := newFleet(t, fleetOptions{
		site: standin.SiteConfig{
			Zones: threeZones, Engines: 6, Workspaces: 2, MaxInflight: 16,
			Engine: standin.EngineConfig{TTFT: 5 * time.Millisecond, TokenInterval: time.Millisecond, MaxRunning: 16},
		},
		routers: 4,
	})
	stop := make(chan struct{})
	tally := &streamTally{}
	wait := f.startCallers(t, 24, chatCall{chat: "faulty", tokens: tokens}, tally, stop)
	kinds := map[string]int{}
	for range 400 {
		name, faults := randomStreamFault(random, tokens)
		kinds[name]++
		f.site.Engines[random.IntN(len(f.site.Engines))].SetFaults(faults)
		time.Sleep(20 * time.Millisecond)
	}
	close(stop)
	wait()
	resumed, continued := 0, 0
	for _, e := range f.site.Engines {
		counters := e.Counters()
		resumed += counters.Resumed
		continued += counters.Continued
	}
	t.Logf("faults set %v; resumed %d, continued elsewhere %d; %s", kinds, resumed, continued, tally)
	assert.Equal(t, tally.invalid, 0)
	assert.Assert(t, tally.complete > 0)
	assert.Assert(t, resumed > 0 && continued > 0, "the faults had no effect")
}

func randomStreamFault(random *rand.Rand, tokens int) (string, standin.EngineFaults) {
	at := 1 + random.IntN(tokens+2)
	faults := standin.EngineFaults{AffectedCalls: 1 + random.IntN(3)}
	switch random.IntN(8) {
	case 0:
		faults.CutAfter = at
		return "cut", faults
	case 1:
		faults.WrongResponse = true
		return "crossed", faults
	case 2:
		faults.HeaderDelay = time.Duration(random.IntN(300)) * time.Millisecond
		return "late", faults
	case 3:
		faults.DuplicateAt = at
		return "duplicate", faults
	case 4:
		faults.MissingAt = at
		return "missing", faults
	case 5:
		faults.OmitEndMarker = true
		return "no end", faults
	case 6:
		faults.Close = true
		return "closed", faults
	default:
		faults.HeaderDelay = time.Duration(random.IntN(300)) * time.Millisecond
		faults.WrongResponse = true
		return "late and crossed", faults
	}
}

// Guards against answers that fail when their engine is killed, although other engines
// could continue them. The test kills one engine each second; 99% of all answers must be
// complete.
func TestAnswersAreWholeWhileEnginesDie(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(logSeed(t, 32), 0))
	f := newFleet(t, fleetOptions{
		site: standin.SiteConfig{
			Zones: threeZones, Engines: 8, Workspaces: 1, MaxInflight: 16,
			Engine: standin.EngineConfig{TTFT: 10 * time.Millisecond, TokenInterval: 4 * time.Millisecond, MaxRunning: 16},
		},
		routers: 4,
	})
	stop := make(chan struct{})
	tally := &streamTally{}
	wait := f.startCallers(t, 32, chatCall{chat: "dying", tokens: 60}, tally, stop)
	for range 12 {
		time.Sleep(time.Second)
		assert.NilError(t, f.replaceEngine(random.IntN(len(f.site.Engines))))
	}
	time.Sleep(time.Second)
	close(stop)
	wait()
	t.Logf("12 engines killed in 12 s: %s", tally)
	assert.Equal(t, tally.invalid, 0)
	assert.Assert(t, tally.complete+tally.failedVisibly >= 500, "too few answers for a share")
	assert.Assert(t, tally.completeShare() >= 0.99, "%.2f%% of the answers are complete", 100*tally.completeShare())
}

// Guards against these faults:
//   - An engine keeps running a request whose caller has disconnected.
//   - A caller can't resume a stream at another router.
//   - A caller can resume a stream of another workspace, or with a forged handle.
func TestCallersThatGoAndComeBack(t *testing.T) {
	t.Parallel()
	const tokens = 500
	f := newFleet(t, fleetOptions{
		site: standin.SiteConfig{
			Zones: threeZones, Engines: 3, Workspaces: 2, MaxInflight: 16,
			Engine: standin.EngineConfig{TokenInterval: 5 * time.Millisecond, ResumeWindow: 10 * time.Second},
		},
		routers: 3,
	})
	running := func() int {
		total := 0
		for _, e := range f.site.Engines {
			total += e.Running()
		}
		return total
	}
	t.Run("work of a caller that goes away is cancelled", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		result := f.chat(f.currentRouters()[0], chatCall{chat: "going", tokens: tokens, ctx: ctx, onEvent: func(id int) {
			if id == 20 {
				cancel()
			}
		}})
		assert.Assert(t, result.lastEvent() >= 20 && !result.complete())
		// Without a cancellation the engine would end the run only after ResumeWindow.
		eventually(t, 2*time.Second, "the engine has ended the work", func() bool { return running() == 0 })
	})
	t.Run("the rest of a stream whose router died", func(t *testing.T) {
		lost := f.currentRouters()[1]
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		first := f.chat(lost, chatCall{workspace: 1, chat: "returning", tokens: tokens, ctx: ctx, onEvent: func(id int) {
			if id == 50 {
				f.kill(lost)
			}
		}})
		assert.Assert(t, first.err != nil && first.lastEvent() >= 50, "%s", first)
		for _, r := range f.currentRouters() {
			rest := f.resume(r, 1, first.handle, first.lastEvent())
			joined := *rest
			joined.events = append(append([]event{}, first.events...), rest.events...)
			joined.want = first.want
			assert.Assert(t, joined.complete(), "%s, then %s", first, rest)
			assert.Equal(t, rest.events[0].id, first.lastEvent()+1)
		}
	})
	t.Run("the handle of another workspace", func(t *testing.T) {
		first := f.chat(f.currentRouters()[0], chatCall{workspace: 1, chat: "private", tokens: 20})
		assert.Assert(t, first.complete())
		other := f.resume(f.currentRouters()[1], 0, first.handle, 0)
		assert.Equal(t, other.problem.Reason, "stream_not_found")
		forged := f.resume(f.currentRouters()[1], 1, strings.Replace(first.handle, "~", "~x", 1), 0)
		assert.Equal(t, forged.problem.Reason, "stream_not_found")
	})
}

// Guards against an incomplete answer that ends as if it were complete. No engine can
// complete it, because all engines have the same fault.
func TestAnswersThatNoEngineCompletesFailVisibly(t *testing.T) {
	t.Parallel()
	const tokens = 30
	f := newFleet(t, fleetOptions{
		site:    standin.SiteConfig{Zones: threeZones, Engines: 3, Workspaces: 1, MaxInflight: 16},
		routers: 2,
	})
	for name, faults := range map[string]standin.EngineFaults{
		"event missing": {MissingAt: 10},
		"event twice":   {DuplicateAt: 10},
		"no end":        {OmitEndMarker: true},
		"crossed":       {WrongResponse: true},
		"no answer":     {Close: true},
	} {
		t.Run(name, func(t *testing.T) {
			for _, e := range f.site.Engines {
				e.SetFaults(faults)
			}
			for i := range 8 {
				result := f.chat(f.currentRouters()[i%2], chatCall{chat: fmt.Sprintf("%s-%d", name, i), tokens: tokens})
				// In the case "event twice" an answer may also be complete: a stream that is
				// resumed at another engine after event 10 never reaches the duplicate.
				assert.Assert(t, result.failedVisibly() || name == "event twice" && result.complete(), "%s", result)
			}
		})
	}
}
