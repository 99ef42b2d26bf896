package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

const (
	// The endpoints of a service exit exitGap apart, and are back exitTime later.
	exitGap  = 120 * time.Millisecond
	exitTime = 2 * time.Second
	// promptDelay is the time until an endpoint begins to answer a prompt: none is answered between the
	// exits.
	promptDelay = 600 * time.Millisecond
	// recoverTime is the time after a disruption within which all routers serve all sound prompts again.
	recoverTime = 15 * time.Second
	// Of the requests with a part that makes endpoints exit, at most maxLate reach endpoints later than
	// stableTime after the fifth of these exits.
	stableTime = 3 * time.Second
	maxLate    = 3

	sharedPrompts = 3
	exitRounds    = 2
	deadlyTime    = 8 * time.Second
	deadlyPart    = "dead"
	// loseOneIn is how many streams an endpoint sends for each one that loses bytes.
	loseOneIn = 10
)

// exitLog has the times at which a part of a prompt made endpoints exit.
type exitLog struct {
	mu    sync.Mutex
	exits []time.Time
}

func (l *exitLog) add() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exits = append(l.exits, time.Now())
}

// late returns the number of exits, and of those that came later than stableTime after the fifth.
func (l *exitLog) late() (exits, late int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, at := range l.exits {
		if len(l.exits) >= 5 && at.Sub(l.exits[4]) > stableTime {
			late++
		}
	}
	return len(l.exits), late
}

// losses draws which of the streams of an endpoint lose bytes, and which bytes.
type losses struct {
	mu      sync.Mutex
	random  *rand.Rand
	streams int
	lost    atomic.Int64 // streams that lost bytes
}

// draw returns the first byte that is lost and the number of bytes; 0 for none.
func (l *losses) draw() (at, lost int) {
	if l == nil {
		return 0, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streams++; l.streams%loseOneIn != 0 {
		return 0, 0
	}
	l.lost.Add(1)
	return 20 + l.random.IntN(200), 1 + l.random.IntN(60)
}

// wellFormed reports whether the bytes are a body in chunks.
func wellFormed(body string) bool {
	for {
		line, rest, found := strings.Cut(body, "\r\n")
		size, err := strconv.ParseUint(line, 16, 16)
		switch {
		case !found || err != nil:
			return false
		case size == 0:
			return rest == "\r\n"
		case len(rest) < int(size)+2 || rest[size:size+2] != "\r\n":
			return false
		}
		body = rest[size+2:]
	}
}

// writeLosing writes a stream whose body lacks some bytes, so that a chunk is malformed.
func writeLosing(rw http.ResponseWriter, events []string, at, lost int) {
	conn, out, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	var body strings.Builder
	for _, event := range events {
		fmt.Fprintf(&body, "%x\r\n%s\r\n", len(event), event)
	}
	// Whole events may be lost between two places that look alike, which can't be noticed.
	for lost > 0 && wellFormed(body.String()[:at]+body.String()[min(at+lost, body.Len()):]+"0\r\n\r\n") {
		lost--
	}
	_, _ = io.WriteString(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
	_ = rw.Header().Write(out)
	_, _ = io.WriteString(out, "\r\n")
	written := 0
	for _, event := range events {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		from := min(max(at-written, 0), len(chunk))
		to := min(max(at+lost-written, from), len(chunk))
		written += len(chunk)
		if _, err := io.WriteString(out, chunk[:from]+chunk[to:]); err != nil || out.Flush() != nil {
			return
		}
		time.Sleep(eventInterval)
	}
	_, _ = io.WriteString(out, "0\r\n\r\n")
	_ = out.Flush()
}

// servePrompt streams the answer to a prompt, unless a part of it makes the endpoint exit.
func (h *harness) servePrompt(e *endpoint, rw http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(promptDelay):
	case <-r.Context().Done():
		return
	}
	if strings.Contains(r.Header.Get("Prompt-Prefix"), deadlyPart) {
		h.exits.add()
		h.exit(e)
		return
	}
	rw.Header().Set("Server-Stamp", "s-"+r.Header.Get("Request-Id"))
	rw.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(rw, expectedStream(r.Header.Get("Request-Id")))
}

// exit ends an endpoint: its connections break, and new ones are refused. It starts again after exitTime.
func (h *harness) exit(e *endpoint) {
	h.wishes.disturbEndpoint(e.id)
	_ = e.proxy.SetFaults(standin.ProxyFaults{Refuse: true})
	e.proxy.CutAll()
	h.restarts.Add(1)
	time.AfterFunc(exitTime, func() {
		defer h.restarts.Done()
		_ = e.proxy.SetFaults(standin.ProxyFaults{})
		e.born.Add(1)
		h.register(e, "ready")
		h.wishes.disturbEndpoint(e.id)
	})
}

// configurePrompts adds a route for prompts to the configuration.
func (h *harness) configurePrompts() {
	h.promptRoute = map[string]any{
		"name": "prompt", "host": "h", "path_prefix": "/prompt/", "kind": "streaming", "timeout_ms": 4000, "goal_ms": 500,
		"service": "s", "attempts": 1, "sticky": true,
	}
	h.configure("k0", "spare")
}

// sendPrompt sends a prompt with a shared part and one of its own to a router. It reports whether it was
// served.
func (h *harness) sendPrompt(router int, parts, id string) bool {
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, _ := http.NewRequest(http.MethodPost, "http://"+h.routers[router].callers+"/prompt/"+id, strings.NewReader("prompt"))
	r.Host = "h"
	for name, value := range map[string]string{
		"Request-Id": id, "Api-Key": "k0", "Deadline-Ms": "4000", "Model": "m", "Token-Count": "1460,80", "Prompt-Prefix": parts + ":512,f" + strconv.FormatUint(rand.Uint64(), 16)[:4] + ":148",
	} {
		r.Header.Set(name, value)
	}
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK || err != nil {
		return false
	}
	if string(body) != expectedStream(id) {
		h.addProblem("prompt %s: a response that looks complete is not: %q", id, body)
	}
	return true
}

func sharedPart(i int) string { return fmt.Sprintf("a0%d", i%sharedPrompts) }

// exitTogether lets all endpoints exit while prompts wait for their first events, and a router fault
// comes between. It returns when all endpoints are back.
func (f *faultInjector) exitTogether(round int) {
	var prompts sync.WaitGroup
	for i := range 8 * endpointCount {
		prompts.Go(func() {
			f.harness.sendPrompt(i%len(f.harness.routers), sharedPart(i), fmt.Sprintf("crowd-%d-%d", round, i))
		})
	}
	time.Sleep(100 * time.Millisecond)
	f.record("all endpoints exit")
	for _, e := range f.harness.endpoints {
		f.harness.exit(e)
		time.Sleep(exitGap)
	}
	f.routerFault()
	f.harness.restarts.Wait()
	prompts.Wait()
}

// routerFault injects one of the faults of routers.
func (f *faultInjector) routerFault() {
	router := f.random.IntN(len(f.harness.routers))
	kinds := []func(router, endpoint int){f.kill, f.terminate, f.pause, f.sendHangup, f.cutStore}
	kinds[f.random.IntN(len(kinds))](router, 0)
}

// checkPromptsServed checks that each router serves all shared parts within recoverTime.
func (f *faultInjector) checkPromptsServed(after string) {
	begun := time.Now()
	var checks sync.WaitGroup
	for router := range f.harness.routers {
		for part := range sharedPrompts {
			checks.Go(func() {
				for n := 0; !f.harness.sendPrompt(router, sharedPart(part), fmt.Sprintf("check-%s-%d-%d-%d", after, router, part, n)); n++ {
					if time.Since(begun) > recoverTime {
						f.harness.addProblem("router %d refuses part %s %s after %s", router, sharedPart(part), recoverTime, after)
						return
					}
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
	}
	checks.Wait()
	f.record("all prompts are served after %s", after)
}

// sendDeadly sends prompts with a part that makes endpoints exit, while a router fault comes between.
func (f *faultInjector) sendDeadly() {
	f.record("prompts with a deadly part")
	var prompts sync.WaitGroup
	for begun, n := time.Now(), 0; time.Since(begun) < deadlyTime; n++ {
		if n == 20 {
			f.routerFault()
		}
		prompts.Go(func() {
			f.harness.sendPrompt(n%len(f.harness.routers), sharedPart(n)+":512,"+deadlyPart, fmt.Sprint("deadly-", n))
		})
		time.Sleep(100 * time.Millisecond)
	}
	prompts.Wait()
	f.harness.restarts.Wait()
	exits, late := f.harness.exits.late()
	f.record("%d endpoints exited, %d of them late", exits, late)
	if late > maxLate {
		f.harness.addProblem("%d requests with a deadly part reached endpoints later than %s after the fifth exit", late, stableTime)
	}
}

// Guards, while routers are disturbed, against these failures:
//   - Parts that all prompts share stay refused after all endpoints exited together.
//   - A part that makes endpoints exit is no longer stopped, since quarantines can be lifted.
//   - A stream goes on behind an event of a malformed chunk and ends as complete.
func TestExitsAndMalformedStreams(t *testing.T) {
	binary := build(t)
	for n := range *seeds {
		s := *seed + uint64(n)
		t.Run(fmt.Sprint("seed ", s), func(t *testing.T) {
			h := newHarness(t, binary)
			h.configurePrompts()
			for i := range endpointCount / 2 {
				h.endpoints[i].losses = &losses{random: rand.New(rand.NewPCG(s, uint64(i)))}
			}
			f := &faultInjector{harness: h, random: rand.New(rand.NewPCG(s, 2))}
			ctx, cancel := context.WithCancel(context.Background())
			var load sync.WaitGroup
			for id := range callerCount {
				load.Go(func() { h.runCaller(ctx, id) })
			}
			time.Sleep(time.Second)
			for round := range exitRounds {
				f.exitTogether(round)
			}
			f.repairAll()
			f.checkPromptsServed("the exits")
			f.sendDeadly()
			f.repairAll()
			f.checkPromptsServed("the deadly part")
			cancel()
			load.Wait()
			h.checkRuns(callerCount)
			lost := int64(0)
			for _, e := range h.endpoints[:endpointCount/2] {
				lost += e.losses.lost.Load()
			}
			t.Logf("%d streams lost bytes; history:\n  %s", lost, strings.Join(f.history, "\n  "))
			if lost == 0 {
				h.addProblem("no stream lost bytes")
			}
			if len(h.problems) == 0 {
				return
			}
			t.Errorf("reproduce with: go test ./soak -run 'TestExitsAndMalformedStreams$' -soak.seed %d\nproblems:\n  %s", s, strings.Join(h.problems, "\n  "))
			for _, r := range h.routers {
				text, _ := os.ReadFile(r.log)
				t.Logf("log of %s:\n%s", r.settingsFile, text)
			}
		})
	}
}
