package edge

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	metrics "github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/config"
	"github.com/hornbeamproxy/hornbeamproxy/overload"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

// Guards against limits that do not follow from the settings, and against a setting that is replaced
// by its default.
func TestIntakesFollowSettings(t *testing.T) {
	s := &config.EdgeSettings{}
	s.Router.MemoryMB, s.Router.MaxFDs = 148, 500
	s.Limits.HeaderFields = 99
	i := newIntakes(s)
	_, ok := i.account.Reserve(overload.Bodies, 45<<20, false)
	assert.Assert(t, ok)
	_, ok = i.account.Reserve(overload.Bodies, 1, false)
	assert.Assert(t, !ok, "more than three quarters of (148 - 48) MB x 0.6")
	assert.Equal(t, i.limits, config.EdgeLimits{
		Connections: 136, ConnectionsPerAddress: 68, EndpointConnections: 100, OperatorConnections: 64,
		HeaderFields: 99, HeaderKB: 32, UnreadMS: 10_000,
	})
	s.Router.MaxFDs = 0
	assert.Assert(t, newIntakes(s).limits.Connections > 0)
}

// Guards against a readiness or metrics listener that reads bodies, or that keeps the connection of a
// request with one.
func TestOperatorListenerReadsNoBody(t *testing.T) {
	p := &process{metrics: telemetry.NewMetrics(), intakes: newIntakes(&config.EdgeSettings{})}
	handler := p.refuseBodies(http.NotFoundHandler())
	for body, status := range map[string]int{"": http.StatusNotFound, "body": http.StatusRequestEntityTooLarge} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)))
		assert.Equal(t, w.Code, status)
		assert.Equal(t, w.Header().Get("Connection") == "close", body != "")
	}
	assert.Equal(t, p.metrics.Counter("overload.operator_body").Count(), int64(1))
}

// Guards against gauges that are missing or that name another kind.
func TestGauges(t *testing.T) {
	p := &process{metrics: telemetry.NewMetrics(), intakes: newIntakes(&config.EdgeSettings{})}
	p.registerGauges()
	p.intakes.account.Track(overload.Unread, 7)
	for name, want := range map[string]int64{
		"overload.bytes": 7, "overload.bytes.unread": 7, "overload.bytes.bodies": 0, "overload.bytes.heads": 0,
		"overload.bytes.responses": 0, "overload.bytes.connections": 0, "overload.endpoint_slots": 0,
	} {
		gauge, ok := p.metrics.Registry.Get(name).(metrics.Gauge)
		assert.Assert(t, ok, name)
		assert.Equal(t, gauge.Value(), want, name)
	}
}
