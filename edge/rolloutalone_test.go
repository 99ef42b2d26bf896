package edge_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/platform"
	"github.com/hornbeamproxy/hornbeamproxy/records"
	"github.com/hornbeamproxy/hornbeamproxy/rollout"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

// statusOf returns the state and the reason in the status of the roll-out of service s.
func (s *site) statusOf(t *testing.T) (state, reason string) {
	t.Helper()
	object, err := s.platform.Store().Get(context.Background(), "rollouts/s")
	assert.NilError(t, err)
	var status struct{ State, Reason string }
	if len(object.Status) > 0 {
		assert.NilError(t, json.Unmarshal(object.Status, &status))
	}
	return status.State, status.Reason
}

// Guards against a roll-out on which nobody decides since there is no relay, a target without
// endpoints that gets no verdict by the deadline, and a verdict that the morning report lacks.
func TestRouterAloneDecides(t *testing.T) {
	const period = 6 * time.Second
	s := newSite(t)
	s.exposeShare = 0.1
	s.configure("key")
	s.register("ready")
	r := s.start(t, "r1")
	eventually(t, 2*time.Second, "ready", r.ready)
	time.Sleep(2500 * time.Millisecond)
	ordered := time.Now()
	s.platform.SetSpec("rollouts", "s", map[string]any{"service": "s", "target": "v2", "period_s": period.Seconds()})
	eventually(t, time.Second, "begun", func() bool { state, _ := s.statusOf(t); return state == "running" })
	eventually(t, period, "verdict", func() bool { state, _ := s.statusOf(t); return state == "rolled_back" })
	assert.Assert(t, time.Since(ordered) <= period)
	_, reason := s.statusOf(t)
	assert.Equal(t, reason, "no_endpoints")
	status, _ := r.call("/call/x", "key")
	assert.Equal(t, status, 200)
	r.stop()
	assert.NilError(t, <-r.done)
	r.done <- nil // for the cleanup
	store := platform.KeyStore{Store: platform.NewStore(s.store.URL, "", telemetry.NewMetrics())}
	found, err := records.Read(context.Background(), store, ordered.Add(-time.Minute))
	assert.NilError(t, err)
	var text strings.Builder
	now := time.Now()
	assert.NilError(t, records.BuildReport(found.Records, ordered.Add(-time.Minute), now, now).WriteText(&text))
	assert.Assert(t, strings.Contains(text.String(), "Version v2 of service s was rolled back: no_endpoints."), "%s", text.String())
}

// Guards against a router that serves a version that was rolled back before it started, since it learns
// of the endpoints before it learns of the roll-outs.
func TestRolledBackVersionAfterStart(t *testing.T) {
	s := newSite(t)
	s.exposeShare = 0.1
	s.configure("key")
	s.platform.SetSpec("servers", "i-1", map[string]any{
		"service": "s", "address": s.endpoint.Listener.Addr().String(), "zone": "z", "version": "v2", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "seq": 1,
	})
	s.platform.SetSpec("rollouts", "s", map[string]any{"service": "s", "target": "v2", "period_s": 12})
	object, err := s.platform.Store().Get(t.Context(), "rollouts/s")
	assert.NilError(t, err)
	object.Key = "s"
	order, _, err := platform.DecodeRollout(object)
	assert.NilError(t, err)
	status, err := platform.EncodeRolloutStatus(rollout.Status{State: rollout.RolledBack, Target: "v2", Order: order.ID, Started: time.Now()})
	assert.NilError(t, err)
	_, err = s.platform.Store().PutStatus(t.Context(), "rollouts/s", status, object.Version)
	assert.NilError(t, err)
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/objects/rollouts") {
			time.Sleep(500 * time.Millisecond)
		}
		s.platform.ServeHTTP(w, r)
	}))
	t.Cleanup(func() { slow.CloseClientConnections(); slow.Close() })
	r := s.startAt(t, "r1", slow.Listener.Addr().String())
	eventually(t, 3*time.Second, "the version is refused", func() bool {
		code, body := r.call("/call/x", "key")
		assert.Assert(t, code != http.StatusOK, "the version served")
		return strings.Contains(body, "version_rolled_back")
	})
	assert.Equal(t, s.calls.Load(), int64(0))
}

// Guards against routers that read the kind of the roll-outs, or obey an order, although their
// settings do not ask for it.
func TestRolloutsAreOffByDefault(t *testing.T) {
	s := newSite(t)
	s.configure("key")
	s.register("ready")
	s.platform.SetSpec("rollouts", "s", map[string]any{"service": "s", "target": "v2", "period_s": 4})
	r := s.start(t, "r1")
	eventually(t, 2*time.Second, "ready", r.ready)
	time.Sleep(3 * time.Second)
	state, _ := s.statusOf(t)
	assert.Equal(t, state, "")
	status, _ := r.call("/call/x", "key")
	assert.Equal(t, status, 200)
}
