package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/gateway"
	"github.com/hornbeamproxy/hornbeamproxy/poison"
	"github.com/hornbeamproxy/hornbeamproxy/rollout"
	"github.com/hornbeamproxy/hornbeamproxy/roster"
)

func explained(path, key, id string) *gateway.Request {
	return &gateway.Request{ID: id, Host: "h", Path: path, Target: path, APIKey: key}
}

func (f testGateway) explain(path, key string) gateway.Explanation {
	return f.Explain(time.Now(), explained(path, key, "r1"))
}

// Guards against explanations that use up the credit of a roll-out or count requests, and against
// an explained endpoint other than the one that gets the request.
func TestExplainDuringRollout(t *testing.T) {
	v := newVersionedGateway(t, answer(200, "", "old"), answer(200, "", "new"))
	v.status(rollout.Running, 0.25)
	targets := 0
	for i := range 40 {
		id := fmt.Sprint("e", i)
		var e gateway.Explanation
		for range 5 {
			e = v.Explain(time.Now(), explained("/unsafe/x", "key", id))
		}
		old := len(v.old.received())
		response, _, _ := v.do(t, "/unsafe/x", "Request-Id", id)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		want := "i-new"
		if len(v.old.received()) > old {
			want = "i-old"
		} else {
			targets++
		}
		assert.Equal(t, e.Chosen, want)
		assert.Equal(t, e.Rollout.Share, 0.25)
	}
	assert.Assert(t, targets >= 9 && targets <= 11, "%d of 40 at a share of 0.25", targets)
	assert.Equal(t, v.count("rollouts.target_requests"), int64(targets))
	assert.Equal(t, v.count("rollouts.old_requests"), int64(40-targets))

	v.status(rollout.RolledBack, 0)
	e := v.explain("/safe/x", "key")
	assert.Equal(t, e.Chosen, "i-old")
	assert.Equal(t, e.Listed[1].Excluded, "version_rolled_back")
	v.set(v.old, "v1", true)
	e = v.explain("/safe/x", "key")
	assert.Equal(t, e.Refused, api.RefusalVersionRolledBack)
	assert.Equal(t, e.Members, 2)
	assert.Equal(t, e.Listed[0].Excluded, "withdrawn")
	assert.Equal(t, e.Chosen, "")
}

// Guards against a reason other than that of the refusal that the request would get.
func TestExplainRefusals(t *testing.T) {
	assert.Equal(t, newTestGateway(t).explain("/safe/x", "key").Refused, api.RefusalNotReady)
	f := newTestGateway(t).configure()
	for _, c := range []struct {
		path, key string
		want      api.Refusal
	}{
		{"/none/", "key", api.RefusalUnknownService},
		{"/safe/x", "other", api.RefusalUnauthorized},
		{"/safe/x", "key", api.RefusalNoEndpoint},
	} {
		e := f.explain(c.path, c.key)
		assert.Equal(t, e.Refused, c.want)
		assert.Equal(t, e.Chosen, "")
	}
	paused := newTestGateway(t, newEndpoint(t, "i-1", answer(503, "Not-Run: 1\r\nRetry-After: 5\r\n", ""))).configure()
	_, _, _ = paused.do(t, "/safe/x")
	e := paused.explain("/safe/x", "key")
	assert.Equal(t, e.Refused, api.RefusalEndpointPaused)
	assert.Equal(t, e.Listed[0].Excluded, "paused")
}

// Guards against an output that grows with the service or lacks the chosen endpoint.
func TestExplainIsBounded(t *testing.T) {
	f := newTestGateway(t).configure()
	for i := range 500 {
		f.SetEndpoint(roster.Entry{ID: fmt.Sprint("i-", i), Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 8, Started: 1})
	}
	for i := range 20 {
		e := f.Explain(time.Now(), explained("/safe/x", "key", fmt.Sprint(i)))
		assert.Equal(t, e.Members, 500)
		assert.Equal(t, len(e.Listed), 200)
		assert.Equal(t, e.Workspace, "w")
		assert.Equal(t, e.Listed[0].ID, e.Chosen)
	}
}

// Guards against a missing room where it is shared.
func TestExplainRoom(t *testing.T) {
	f := newTestGatewayWith(t, sharedRoom, newEndpoint(t, "i-1", answer(200, "", "ok"))).configure()
	for range 2 {
		e := f.explain("/safe/x", "key")
		assert.Equal(t, e.Room.Slots, 8)
		assert.Equal(t, e.Room.Decision, "admit")
		assert.Equal(t, e.Chosen, "i-1")
		_, _, _ = f.do(t, "/safe/x")
	}
}

// Guards against a quarantined prompt that is explained as served.
func TestExplainQuarantine(t *testing.T) {
	f := newTestGateway(t, newEndpoint(t, "i-1", events(1, 2, true))).configure()
	f.ReceivePoison(&poison.Report{Quarantines: []poison.Quarantine{{Part: 0xdead}}}, true)
	request := explained("/prompt/x", "key", "r1")
	request.PromptParts = []gateway.PromptPart{{ID: 0xa, Tokens: 800}, {ID: 0xdead, Tokens: 30}, {ID: 0xc, Tokens: 20}}
	e := f.Explain(time.Now(), request)
	assert.Equal(t, e.Refused, api.RefusalPromptQuarantined)
	assert.Equal(t, e.Chosen, "")
	assert.Equal(t, e.Members, 1)
}

// Guards against an explanation by the number of requests at a service that is placed by work, and
// against one that is counted as a placement.
func TestExplainByWork(t *testing.T) {
	e := newEndpoint(t, "i-1", answer(200, "Replica-Load: 1,0,8,200\r\n", "ok"))
	f := newTestGatewayWith(t, func(c *gateway.Config) { c.PlacementByWork = gateway.ByWorkAlways }, e).configure()
	assert.Assert(t, !f.explain("/safe/x", "key").ByWork, "nothing is learned yet")
	_, _, err := f.do(t, "/safe/x")
	assert.NilError(t, err)
	eventually(t, func() bool { return f.explain("/safe/x", "key").ByWork })
	found := f.explain("/safe/x", "key")
	assert.Assert(t, found.Listed[0].ExpectedMS > 0 && found.Listed[0].Speed > 0)
	assert.Equal(t, f.count("placement.by_work"), int64(0))
	eventually(t, func() bool { return len(f.Loads()) == 0 })
}
