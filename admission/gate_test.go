package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/endpointstate"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func readyReport(running int) api.LoadReport {
	return api.LoadReport{BootID: "b", Readiness: api.ReadinessReady, Running: running}
}

func coldReport(bearable int) api.LoadReport {
	return api.LoadReport{BootID: "b", Readiness: api.ReadinessCold, Bearable: bearable}
}

func warmGate(maxInflight int) *Gate {
	g := NewGate(Config{Endpoint: "e", Nonce: 1})
	g.SetEndpoint(start, Settings{MaxInflight: maxInflight})
	g.Report(start, readyReport(0))
	return g
}

func newRequest(workspace, id string, wait time.Duration, now time.Time) Request {
	r := Request{ID: id, Router: "r", Workspace: workspace}
	if wait > 0 {
		r.Deadline = now.Add(wait)
	}
	return r
}

// Guards against these faults in the endpoint's load: it still counts requests that
// ended after the report was measured; it leaves out the work of other owners; it leaves
// out failed requests, whose work may continue.
func TestReturnedPermitsLeaveTheReportedLoad(t *testing.T) {
	g := warmGate(16)
	var permits []uint64
	for range 4 {
		o, _ := g.Request(at(time.Second), newRequest("w", "q", 0, start))
		permits = append(permits, o.Grant.PermitID)
	}
	// The report is measured at 2 s and arrives at 2.5 s. It includes two requests that
	// another owner granted.
	lagging := readyReport(6)
	lagging.AgeMs = 500
	g.Release(at(2100*time.Millisecond), permits[0], ReleaseInfo{})
	g.Report(at(2500*time.Millisecond), lagging)
	assert.Equal(t, g.Inflight(), 5)
	g.Release(at(2600*time.Millisecond), permits[1], ReleaseInfo{})
	assert.Equal(t, g.Inflight(), 4)
	g.Release(at(2700*time.Millisecond), permits[2], ReleaseInfo{Failed: true})
	assert.Equal(t, g.Inflight(), 4)
	g.Request(at(2800*time.Millisecond), newRequest("w", "q", 0, start))
	assert.Equal(t, g.Inflight(), 5)
	g.Report(at(3*time.Second), readyReport(4))
	assert.Equal(t, g.Inflight(), 4)
}

// Guards against these faults: a limit is off by one; the pool's mean is used although
// it is too old; the load of other owners is not counted.
func TestLimits(t *testing.T) {
	tests := []struct {
		name    string
		pool    PoolLoad
		running int
		after   time.Duration
		granted int
		refusal api.Refusal
	}{
		{"no pool", PoolLoad{}, 0, 0, 8, api.RefusalEndpointFull},
		{"mean below one", PoolLoad{Inflight: 0, Ready: 4}, 0, 0, 1, api.RefusalLoadMultiple},
		{"ceiling of mean", PoolLoad{Inflight: 9, Ready: 4}, 0, 0, 3, api.RefusalLoadMultiple},
		{"floor of multiple", PoolLoad{Inflight: 19, Ready: 4}, 0, 0, 5, api.RefusalLoadMultiple},
		{"part of multiple", PoolLoad{Inflight: 27, Ready: 4}, 0, 0, 8, api.RefusalLoadMultiple},
		{"never above max", PoolLoad{Inflight: 99, Ready: 4}, 0, 0, 8, api.RefusalEndpointFull},
		{"reported load", PoolLoad{Inflight: 19, Ready: 4}, 4, 0, 1, api.RefusalLoadMultiple},
		{"old pool", PoolLoad{Inflight: 0, Ready: 4}, 0, 4 * time.Second, 8, api.RefusalEndpointFull},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := warmGate(8)
			if test.name == "part of multiple" {
				g = warmGate(9)
			}
			g.Report(start, readyReport(test.running))
			g.SetPool(start, test.pool)
			granted := 0
			for {
				o, queued := g.Request(at(test.after), newRequest("w", "q", 0, start))
				assert.Assert(t, !queued)
				if !o.Granted() {
					assert.Equal(t, o.Refusal, test.refusal)
					break
				}
				granted++
			}
			assert.Equal(t, granted, test.granted)
		})
	}
}

// Guards against work granted to an endpoint that must not get any, and against
// queued requests that are left without an outcome.
func TestStatesStopGrantsAndFlush(t *testing.T) {
	for state, reason := range map[endpointstate.State]api.Refusal{
		endpointstate.Withdrawn: api.RefusalEndpointWithdrawn,
		endpointstate.Leaving:   api.RefusalEndpointWithdrawn,
		endpointstate.Down:      api.RefusalEndpointDown,
		endpointstate.Cold:      api.RefusalNoLease,
	} {
		g := warmGate(1)
		first, _ := g.Request(start, newRequest("w", "1", time.Second, start))
		assert.Assert(t, first.Granted())
		_, queued := g.Request(start, newRequest("w", "2", time.Second, start))
		assert.Assert(t, queued)
		out := g.SetEndpoint(start, Settings{MaxInflight: 1, State: state})
		assert.DeepEqual(t, out, []Outcome{{RequestID: "2", Router: "r", Refusal: reason}})
		assert.Equal(t, len(g.Release(start, first.Grant.PermitID, ReleaseInfo{})), 0)
		o, _ := g.Request(start, newRequest("w", "3", time.Second, start))
		assert.Equal(t, o.Refusal, reason)
	}
	g := warmGate(1)
	g.SetEndpoint(start, Settings{MaxInflight: 1, State: endpointstate.Suspect, NeedsLease: true})
	o, _ := g.Request(start, newRequest("w", "1", 0, start))
	assert.Equal(t, o.Refusal, api.RefusalNoLease)
	o, _ = NewGate(Config{}).Request(start, newRequest("w", "1", 0, start))
	assert.Equal(t, o.Refusal, api.RefusalNotReady)
}

// Guards against these faults: a request that cannot be served by its deadline is
// queued; a request is granted after its deadline or its cancellation; the start-by time
// leaves out the time in the queue.
func TestQueueDeadlines(t *testing.T) {
	g := warmGate(1)
	for i := range minServiceSamples {
		o, _ := g.Request(at(time.Duration(i)*time.Second), newRequest("w", "s", 0, start))
		g.Release(at(time.Duration(i+1)*time.Second), o.Grant.PermitID, ReleaseInfo{})
	}
	now := at(minServiceSamples * time.Second)
	running, _ := g.Request(now, newRequest("w", "1", 0, now))
	o, _ := g.Request(now, newRequest("w", "2", 900*time.Millisecond, now))
	assert.Equal(t, o.Refusal, api.RefusalDeadlineUnreachable)
	for _, id := range []string{"3", "4", "5"} {
		_, queued := g.Request(now, newRequest(id, id, 5*time.Second, now))
		assert.Assert(t, queued)
	}
	assert.Assert(t, g.Cancel(now, "3"))
	assert.Assert(t, !g.Cancel(now, "3"))
	out := g.Release(now.Add(2*time.Second), running.Grant.PermitID, ReleaseInfo{})
	assert.Equal(t, len(out), 1)
	assert.Equal(t, out[0].RequestID, "4")
	assert.Equal(t, out[0].Grant.StartBy, 2*time.Second+DefaultStartBy)
	out = g.Tick(now.Add(5 * time.Second))
	assert.DeepEqual(t, out, []Outcome{{RequestID: "5", Router: "r", Refusal: api.RefusalDeadlineExceeded}})
}

// Guards against two faults: one workspace takes the whole queue; queued requests are
// not served in the right order. Requests with a higher priority come first. Among
// requests of the same priority, those of the workspace with the least work in flight
// come first.
func TestQueueOrderAndShare(t *testing.T) {
	g := NewGate(Config{Nonce: 1, QueueLength: 8})
	g.SetEndpoint(start, Settings{MaxInflight: 4})
	g.Report(start, readyReport(0))
	var held []uint64
	for range 4 {
		o, _ := g.Request(start, newRequest("big", "x", 0, start))
		held = append(held, o.Grant.PermitID)
	}
	refused := 0
	for i := range 6 {
		o, _ := g.Request(start, newRequest("big", fmt.Sprint("big", i), time.Minute, start))
		if o.Refusal == api.RefusalWorkspaceShare {
			refused++
		}
	}
	assert.Equal(t, refused, 2)
	_, queued := g.Request(start, newRequest("small", "small", time.Minute, start))
	assert.Assert(t, queued)
	urgent := newRequest("urgent", "urgent", time.Minute, start)
	urgent.Priority = 5
	_, queued = g.Request(start, urgent)
	assert.Assert(t, queued)
	var order []string
	for _, id := range held {
		for _, o := range g.Release(start, id, ReleaseInfo{}) {
			order = append(order, o.RequestID)
		}
	}
	assert.DeepEqual(t, order, []string{"urgent", "small", "big0", "big1"})
}

// Guards against these faults:
//
//   - the workspace with more work in flight is served first;
//   - a workspace with requests of a higher priority takes the whole endpoint;
//   - the pool's load becomes stale, so that the limit rises, and a new request then
//     overtakes the queue.
func TestLeastWorkAndEndpointShare(t *testing.T) {
	g := warmGate(8)
	var held []uint64
	for _, workspace := range []string{"a", "a", "a", "a", "a", "b", "b", "c"} {
		o, _ := g.Request(start, newRequest(workspace, "x", 0, start))
		held = append(held, o.Grant.PermitID)
	}
	for _, workspace := range []string{"a", "b", "c"} {
		r := newRequest(workspace, workspace, time.Minute, start)
		if workspace == "a" {
			r.Priority = 9
		}
		_, queued := g.Request(start, r)
		assert.Assert(t, queued)
	}
	var order []string
	for _, id := range held[:3] {
		for _, o := range g.Release(start, id, ReleaseInfo{}) {
			order = append(order, o.RequestID)
		}
	}
	assert.DeepEqual(t, order, []string{"c", "a", "b"})

	g = warmGate(8)
	g.SetPool(start, PoolLoad{Ready: 4})
	g.Request(start, newRequest("w", "1", 0, start))
	g.Request(start, newRequest("w", "2", time.Minute, start))
	later := at(DefaultPoolLoadMaxAge + 1)
	_, queued := g.Request(later, newRequest("w", "3", time.Minute, later))
	assert.Assert(t, queued)
	out := g.Tick(later)
	assert.Equal(t, out[0].RequestID, "2")
	assert.Equal(t, out[1].RequestID, "3")
}

// Guards against a permit that is counted twice or never freed. The causes are a change
// of owner, a router that dies, and a message that is repeated.
func TestPermitLifetime(t *testing.T) {
	g := warmGate(8)
	o, _ := g.Request(start, newRequest("w", "1", 0, start))
	own := o.Grant.PermitID
	foreign := api.HeldPermit{Permit: 7<<32 | 1, Workspace: "w"}
	for range 2 {
		g.Adopt(start, "r2", []api.HeldPermit{foreign, {Permit: own, Workspace: "w"}})
		assert.Equal(t, g.Inflight(), 2)
	}
	assert.DeepEqual(t, g.Renew(at(10*time.Second), "r2", []uint64{own, 99}), []uint64{99})
	g.Release(start, 99, ReleaseInfo{})
	g.Tick(at(DefaultHoldTime))
	assert.DeepEqual(t, g.HeldPermits(), []HeldPermit{{PermitID: own, Workspace: "w", Router: "r2"}})
	g.RouterLost(at(DefaultHoldTime), "r2")
	g.Report(at(DefaultHoldTime+DefaultStartBy), readyReport(0))
	assert.Equal(t, len(g.HeldPermits()), 1)
	g.Report(at(DefaultHoldTime+DefaultStartBy+1), readyReport(1))
	assert.Equal(t, len(g.HeldPermits()), 1)
	g.Report(at(DefaultHoldTime+DefaultStartBy+2), readyReport(0))
	assert.Equal(t, len(g.HeldPermits()), 0)
	assert.Equal(t, g.Inflight(), 0)
}

// Guards against granting a permit id that a former owner has granted already.
func TestAdoptedIDIsNotReused(t *testing.T) {
	g := warmGate(8)
	g.Adopt(start, "r", []api.HeldPermit{{Permit: 1<<32 | 1, Workspace: "w"}})
	o, _ := g.Request(start, newRequest("w", "1", 0, start))
	assert.Equal(t, o.Grant.PermitID, uint64(1<<32|2))
}

// Guards against grants at a cold endpoint in these cases: the router does not hold the
// lease; the former holder's permits have not expired; the router was paused beyond the
// end of its lease; there is no fresh report; the bearable load is reached.
func TestColdNeedsLeaseAndFreshReport(t *testing.T) {
	lease := Lease{Held: true, Term: 3, GrantsFrom: at(time.Second), ValidUntil: at(6 * time.Second)}
	tests := []struct {
		name     string
		lease    Lease
		reported time.Duration
		now      time.Duration
		failed   bool
		granted  int
		refusal  api.Refusal
	}{
		{"no lease", Lease{}, 2 * time.Second, 2 * time.Second, false, 0, api.RefusalNoLease},
		{"before GrantsFrom", lease, 0, 999 * time.Millisecond, false, 0, api.RefusalLeaseTakeover},
		{"report before GrantsFrom", lease, 999 * time.Millisecond, 2 * time.Second, false, 0, api.RefusalLeaseTakeover},
		{"fresh", lease, 2 * time.Second, 2 * time.Second, false, 2, api.RefusalEndpointCold},
		{"old report", lease, 2 * time.Second, 4 * time.Second, false, 0, api.RefusalEndpointCold},
		{"failed report", lease, 2 * time.Second, 2 * time.Second, true, 0, api.RefusalEndpointCold},
		{"paused", lease, 5 * time.Second, 6 * time.Second, false, 0, api.RefusalNoLease},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewGate(Config{Nonce: 1})
			g.SetLease(start, test.lease)
			g.Report(at(test.reported), coldReport(2))
			if test.failed {
				g.ReportFailed(at(test.now))
			}
			for range test.granted {
				o, _ := g.Request(at(test.now), newRequest("w", "1", 0, start))
				assert.Equal(t, o.Grant.Term, uint64(3))
			}
			o, _ := g.Request(at(test.now), newRequest("w", "1", 0, start))
			assert.Equal(t, o.Refusal, test.refusal)
		})
	}
}

func requestUntilRefused(t *testing.T, g *Gate, now time.Time) []uint64 {
	t.Helper()
	var permits []uint64
	for {
		o, _ := g.Request(now, newRequest("w", "f", 0, now))
		if !o.Granted() {
			return permits
		}
		permits = append(permits, o.Grant.PermitID)
	}
}

// Guards against two faults: an endpoint that has just become ready gets its full load
// at once; the ramp goes on while answers become slower.
func TestRamp(t *testing.T) {
	g := NewGate(Config{Nonce: 1})
	g.SetEndpoint(start, Settings{MaxInflight: 10})
	g.Report(start, coldReport(2))
	var limits []int
	for i, firstTokenMs := range []int{100, 110, 200, 100, 100, 100} {
		now := at(time.Duration(i+1) * time.Second)
		g.Report(now, readyReport(0))
		permits := requestUntilRefused(t, g, now)
		limits = append(limits, len(permits))
		load := readyReport(len(permits))
		g.Release(now, permits[0], ReleaseInfo{FirstTokenTime: time.Duration(firstTokenMs) * time.Millisecond})
		g.Report(now.Add(100*time.Millisecond), load)
		for _, id := range permits[1:] {
			g.Release(now.Add(200*time.Millisecond), id, ReleaseInfo{})
		}
	}
	assert.DeepEqual(t, limits, []int{2, 3, 4, 4, 6, 9})
}

// Guards against an endpoint that turns cold, does not report it, and keeps its full
// load. The gate has to detect the change by slow answers or by a new boot id.
func TestUnreportedCold(t *testing.T) {
	slow := ReleaseInfo{FirstTokenTime: 301 * time.Millisecond}
	fine := ReleaseInfo{FirstTokenTime: 300 * time.Millisecond}
	run := func(answers ...ReleaseInfo) *Gate {
		g := warmGate(10)
		g.SetPool(start, PoolLoad{Inflight: 90, Ready: 9, FirstTokenTime: 100 * time.Millisecond})
		for _, info := range answers {
			o, _ := g.Request(start, newRequest("w", "1", 0, start))
			g.Release(start, o.Grant.PermitID, info)
		}
		return g
	}
	assert.Assert(t, !run(slow, slow, slow, slow, fine, slow).Cold())
	g := run(slow, slow, slow, slow, slow)
	assert.Assert(t, g.Cold())
	for i := range readyReportsAfterUnreported {
		assert.Assert(t, g.Cold())
		g.Report(at(time.Duration(i+1)*time.Second), readyReport(0))
	}
	assert.Assert(t, !g.Cold())
	assert.Equal(t, len(requestUntilRefused(t, g, at(3*time.Second))), 1)

	g = warmGate(10)
	restarted := readyReport(0)
	restarted.BootID = "c"
	g.Report(at(time.Second), restarted)
	assert.Assert(t, g.Cold())
}

// Guards against a table of moved chats that grows without bound or redirects
// chats to an endpoint that is no longer usable.
func TestMovedChats(t *testing.T) {
	g := NewGate(Config{Endpoint: "e", Nonce: 1, MaxMovedChats: 2})
	lookup := func(key uint64) string {
		o, _ := g.Request(start, Request{ChatKey: key})
		return o.Redirect
	}
	g.Release(start, 0, ReleaseInfo{MovedChat: 1, MovedTo: "a"})
	g.Release(start, 0, ReleaseInfo{MovedChat: 2, MovedTo: "b"})
	assert.Equal(t, lookup(1), "a")
	g.Release(start, 0, ReleaseInfo{MovedChat: 3, MovedTo: "a"})
	assert.Equal(t, lookup(2), "")
	g.Release(start, 0, ReleaseInfo{MovedChat: 3, MovedTo: "e"})
	assert.Equal(t, lookup(3), "")
	g.DropMoved("a")
	assert.Equal(t, lookup(1), "")
}

// Guards against a workspace with a surge of requests that takes capacity from another
// workspace, although the other one demands less than its share of the endpoint.
func TestSurgeKeepsOtherShares(t *testing.T) {
	served := func(surge int) int {
		g := warmGate(8)
		done := map[int][]uint64{}
		steady := 0
		take := func(outcomes []Outcome, tick int) {
			for _, o := range outcomes {
				if o.Granted() {
					done[tick+10] = append(done[tick+10], o.Grant.PermitID)
				}
				if o.Granted() && o.RequestID == "steady" {
					steady++
				}
			}
		}
		for tick := range 2000 {
			now := at(time.Duration(tick) * 100 * time.Millisecond)
			for _, id := range done[tick] {
				take(g.Release(now, id, ReleaseInfo{}), tick)
			}
			for range surge {
				o, _ := g.Request(now, newRequest("surging", "surging", 2*time.Second, now))
				take([]Outcome{o}, tick)
			}
			if tick%3 == 0 {
				o, _ := g.Request(now, newRequest("steady", "steady", 2*time.Second, now))
				take([]Outcome{o}, tick)
			}
			take(g.Tick(now), tick)
		}
		return steady
	}
	calm, surged := served(1), served(10)
	t.Logf("steady workspace served: %d calm, %d during a tenfold surge", calm, surged)
	assert.Assert(t, float64(surged) >= 0.98*float64(calm), "%d requests served during the surge, %d without it", surged, calm)
}

// Guards against allocations on the path of each request.
func BenchmarkRequestRelease(b *testing.B) {
	g := warmGate(64)
	g.SetPool(start, PoolLoad{Inflight: 320, Ready: 10})
	workspaces := []string{"a", "b", "c", "d"}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		o, _ := g.Request(start, Request{ID: "id", Router: "r", Workspace: workspaces[i%4]})
		g.Release(start, o.Grant.PermitID, ReleaseInfo{FirstTokenTime: time.Millisecond})
	}
}
