package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/rollout"
	"github.com/hornbeamproxy/hornbeamproxy/roster"
)

// versionedGateway is a gateway with one endpoint of the old version v1 and one of the target v2.
type versionedGateway struct {
	testGateway
	t           *testing.T
	old, target *endpoint
	order       rollout.Rollout
}

func newVersionedGateway(t *testing.T, old, target script) *versionedGateway {
	t.Helper()
	v := &versionedGateway{t: t, old: newEndpoint(t, "i-old", old), target: newEndpoint(t, "i-new", target)}
	v.testGateway = newTestGateway(t).configure()
	v.set(v.old, "v1", false)
	v.set(v.target, "v2", false)
	v.RetainEndpoints(map[string]bool{"i-old": true, "i-new": true})
	v.order = rollout.New("s", "v2", 12*time.Second, time.Time{})
	v.SetRollout(v.order)
	return v
}

func (v *versionedGateway) set(e *endpoint, version string, draining bool) {
	v.SetEndpoint(roster.Entry{
		ID: e.id, Service: "s", Address: e.listener.Addr().String(), Zone: "z", Slots: 64, Started: 1, Version: version, Draining: draining,
	})
}

func (v *versionedGateway) status(state rollout.State, share float64) {
	v.SetRolloutStatus(time.Now(), rollout.FromRelay, "s",
		rollout.Status{State: state, Target: "v2", Order: v.order.ID, Share: share, Started: time.Now()})
}

// send sends requests and returns how many of them reached each endpoint.
func (v *versionedGateway) send(n int, path string) (old, target int) {
	oldBefore, targetBefore := len(v.old.received()), len(v.target.received())
	for i := range n {
		response, _, _ := v.do(v.t, path, "Request-Id", fmt.Sprint("r", oldBefore, "-", targetBefore, "-", i))
		assert.Equal(v.t, response.StatusCode, http.StatusOK)
	}
	return len(v.old.received()) - oldBefore, len(v.target.received()) - targetBefore
}

// Guards against these faults: a target without a share in force gets requests; it gets more or
// less than its share; a share that is too old is still used; requests go back to the old version
// after the roll-out is done.
func TestShareOfTarget(t *testing.T) {
	v := newVersionedGateway(t, answer(200, "", "old"), answer(200, "", "new"))
	old, target := v.send(10, "/safe/x")
	assert.Equal(t, target, 0, "without a status")
	assert.Equal(t, old, 10)

	v.status(rollout.Running, 0.25)
	_, target = v.send(40, "/unsafe/x")
	assert.Assert(t, target >= 9 && target <= 11, "%d of 40 at a share of 0.25", target)

	v.SetRollout(v.order) // changes nothing
	time.Sleep(rollout.StaleAfter + 50*time.Millisecond)
	_, target = v.send(10, "/safe/x")
	assert.Equal(t, target, 0, "stale share")
	assert.Assert(t, v.metrics.Counter("rollouts.stale_share").Count() > 0)
	v.ConfirmRollouts(time.Now())
	_, target = v.send(8, "/safe/x")
	assert.Assert(t, target >= 1, "share confirmed again")

	v.status(rollout.Done, 1)
	old, _ = v.send(10, "/safe/x")
	assert.Equal(t, old, 0, "after the roll-out was done")
}

// Guards against a version that was rolled back and gets a request by a retry, a prompt that was
// there before, or since no other version is left, also after the order was deleted; and against a
// refusal that does not say that the request has not run.
func TestRolledBackVersionGetsNothing(t *testing.T) {
	v := newVersionedGateway(t, events(1, 2, true), events(1, 2, true))
	v.status(rollout.Running, 1)
	prompt := []string{"Prompt-Prefix", "abc:800,def:400", "Token-Count", "1200,80"}
	response, _, _ := v.do(t, "/prompt/x", prompt...)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, len(v.target.received()), 1)

	v.status(rollout.RolledBack, 0)
	for range 5 {
		_, _, _ = v.do(t, "/prompt/x", prompt...)
	}
	assert.Equal(t, len(v.target.received()), 1, "a prompt that returns")
	v.ClearRollout("s")
	v.send(5, "/chat/x")
	assert.Equal(t, len(v.target.received()), 1, "after the order was deleted")

	v.set(v.old, "v1", true)
	response, body, _ := v.do(t, "/unsafe/x")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, body, "{\"refused\":\"version_rolled_back\"}\n")
	assert.Equal(t, len(v.target.received()), 1)

	again := rollout.New("s", "v2", 13*time.Second, time.Time{})
	v.SetRollout(again)
	v.send(1, "/chat/x")
	assert.Equal(t, len(v.target.received()), 2, "a new order names the version")
}

// Guards against retries and resumed streams that spend the share of the target a second time, and
// against requests that fail although the target could serve them when no old endpoint is left.
func TestRetriesObeyTheShare(t *testing.T) {
	v := newVersionedGateway(t, closeWithoutResponse, answer(200, "", "new"))
	v.status(rollout.Running, 0.05)
	for i := range 6 {
		_, _, _ = v.do(t, "/safe/x", "Request-Id", fmt.Sprint("r", i))
	}
	assert.Assert(t, len(v.target.received()) <= 1, "retries went to the target")

	v.set(v.old, "v1", true)
	_, target := v.send(5, "/safe/x")
	assert.Equal(t, target, 5, "the target serves what nothing else can")
}

// Guards against a full or failing target that makes requests fail which the old version could
// serve.
func TestOldVersionServesWhatTheTargetRefuses(t *testing.T) {
	v := newVersionedGateway(t, answer(200, "", "old"), refuseNotRun)
	v.status(rollout.Running, 0.5)
	old, _ := v.send(20, "/unsafe/x")
	assert.Equal(t, old, 20)
	report, ok := v.RolloutReport(time.Now(), "s")
	assert.Assert(t, ok)
	assert.Equal(t, len(report.Target), 0, "a refusal as full is no answer")
}

// Guards against answers that are counted for the wrong version or route, failures that are not
// counted, and counts of what shows nothing of the version.
func TestAnswersAreCounted(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		script script
		failed uint32
	}{
		"good":      {"/safe/x", answer(200, "", "new"), 0},
		"refused":   {"/safe/x", answer(404, "", "no"), 0},
		"error":     {"/unsafe/x", answer(500, "", "error"), 1},
		"broken":    {"/unsafe/x", truncated, 1},
		"closed":    {"/unsafe/x", closeWithoutResponse, 1},
		"unsigned":  {"/unsafe/x", unsigned, 1},
		"cut event": {"/report/x", events(1, 2, false), 1},
		"stream":    {"/report/x", events(1, 2, true), 0},
	} {
		t.Run(name, func(t *testing.T) {
			v := newVersionedGateway(t, answer(200, "", "old"), c.script)
			v.status(rollout.Running, 1)
			_, _, _ = v.do(t, c.path)
			var report rollout.Report
			eventually(t, func() bool {
				report, _ = v.RolloutReport(time.Now(), "s")
				return len(report.Target) > 0
			})
			assert.Equal(t, len(report.Target), 1)
			for _, tally := range report.Target {
				assert.Equal(t, tally.Answers, uint32(1))
				assert.Equal(t, tally.Failed, c.failed)
			}
			assert.Equal(t, v.metrics.Counter("rollouts.bad_answers").Count(), int64(c.failed))
			assert.Equal(t, report.TargetSent, uint32(1))
		})
	}
}

// Guards against requests in flight at the old version that a report leaves out, so that the old
// endpoints are stopped under them.
func TestRequestsInFlightAtOldAreReported(t *testing.T) {
	release := make(chan struct{})
	v := newVersionedGateway(t, func(r *http.Request, w io.Writer) bool {
		<-release
		return answer(200, "", "old")(r, w)
	}, answer(200, "", "new"))
	go func() { _, _, _ = v.do(t, "/unsafe/x") }()
	inFlight := func() uint32 {
		report, _ := v.RolloutReport(time.Now(), "s")
		return report.OldInFlight
	}
	eventually(t, func() bool { return inFlight() == 1 })
	v.status(rollout.Running, 1)
	assert.Equal(t, inFlight(), uint32(1))
	close(release)
	eventually(t, func() bool { return inFlight() == 0 })
}

func unsigned(r *http.Request, w io.Writer) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Request-Id"))
	return true
}
