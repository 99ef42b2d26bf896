package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/admission"
	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/endpointstate"
)

// Guards against these faults: polls are skipped while the endpoint has requests in
// flight, is not ready or fails its polls; polls are skipped although the interval is so
// long that the missing reports would make the endpoint suspect.
func TestOnlyIdleReadyEndpointsArePolledLess(t *testing.T) {
	now := time.Now()
	settings := &api.Settings{Limits: &api.LimitSettings{}}
	settings.Limits.LoadPollInterval.Duration = 500 * time.Millisecond
	o := &admissionOwner{settings: settings, gates: admission.NewSet()}
	owned := &ownedEndpoint{endpoint: &api.Endpoint{ID: "e"}, machine: endpointstate.New(endpointstate.Config{})}
	o.gates.Add(admission.Config{Endpoint: "e"})
	report := func(load api.LoadReport) {
		owned.machine.Report(now, load.Readiness)
		o.gates.Do("e", func(g *admission.Gate) { g.Report(now, load) })
	}
	owned.machine.SetPolling(now, true)
	owned.pollSucceeded = true
	assert.Assert(t, !o.canSkipPoll(owned), "not ready")
	report(api.LoadReport{Readiness: api.ReadinessReady})
	assert.Assert(t, o.canSkipPoll(owned))
	owned.pollSucceeded = false
	assert.Assert(t, !o.canSkipPoll(owned), "last poll failed")
	owned.pollSucceeded = true
	report(api.LoadReport{Readiness: api.ReadinessReady, Running: 1})
	assert.Assert(t, !o.canSkipPoll(owned), "in flight")
	report(api.LoadReport{Readiness: api.ReadinessReady})
	settings.Limits.LoadPollInterval.Duration = time.Second
	assert.Assert(t, !o.canSkipPoll(owned), "long interval")
}
