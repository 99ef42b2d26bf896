package edge

import (
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/gateway"
	"github.com/hornbeamproxy/hornbeamproxy/platform"
	"github.com/hornbeamproxy/hornbeamproxy/poison"
	"github.com/hornbeamproxy/hornbeamproxy/quota"
	"github.com/hornbeamproxy/hornbeamproxy/roster"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

// noReporter is a gateway.Reporter that drops everything.
type noReporter struct{}

func (noReporter) OutcomeUnknown(gateway.FailedRequest) {}
func (noReporter) ResponseBroken(gateway.FailedRequest) {}
func (noReporter) EndpointUnreachable(roster.Entry)     {}
func (noReporter) EndpointPaused(string, time.Duration) {}
func (noReporter) EndpointRecovered(string)             {}
func (noReporter) PromptQuarantined(string, time.Time)  {}

// newQuarantines returns the quarantines of a router that has just started.
func newQuarantines(t *testing.T, base string, first bool) *quarantines {
	t.Helper()
	metrics := telemetry.NewMetrics()
	store := platform.NewStore(base, "", metrics)
	t.Cleanup(store.Close)
	g := gateway.New(gateway.Config{
		Codec: platform.Codec{}, Logger: zap.NewNop(), Metrics: metrics, Reporter: noReporter{},
		Routers: func() *quota.Routers { return quota.NewRouters("r", nil) },
	})
	return &quarantines{store: store, gateway: g, logger: zap.NewNop(), firstRelay: func() bool { return first }}
}

// Guards against these faults: quarantines are forgotten when all routers end; one that was lifted
// comes back with the next start, also if another router had written it; each router writes them.
func TestQuarantinesOutliveAllRouters(t *testing.T) {
	server := httptest.NewServer(standin.NewPlatform(""))
	defer server.Close()
	const part = 0xabc
	known := &poison.Report{Quarantines: []poison.Quarantine{{Part: part, AgeMS: 10_000, FirstExitMS: 20_000, Returns: 1}}}

	other := newQuarantines(t, server.URL, false)
	other.gateway.ReceivePoison(known, true)
	other.save(t.Context())
	started := newQuarantines(t, server.URL, true)
	assert.Assert(t, started.load(t.Context(), true))
	assert.Equal(t, len(started.gateway.Quarantines()), 0, "a router that is not the first relay wrote")

	first := newQuarantines(t, server.URL, true)
	first.gateway.ReceivePoison(known, true)
	first.save(t.Context())
	assert.Assert(t, started.load(t.Context(), true))
	found := started.gateway.Quarantines()
	assert.Equal(t, len(found), 1)
	assert.Equal(t, found[0].Part, uint64(part))
	assert.Equal(t, found[0].Returns, 1)
	assert.Assert(t, found[0].AgeMS >= 9_990 && found[0].AgeMS < 12_000)

	successor := newQuarantines(t, server.URL, true)
	successor.gateway.ReceivePoison(known, true)
	successor.gateway.ReceivePoison(&poison.Report{Answers: []poison.Answer{{Part: part}}}, true)
	assert.Assert(t, successor.load(t.Context(), true))
	successor.save(t.Context())
	last := newQuarantines(t, server.URL, false)
	assert.Assert(t, last.load(t.Context(), false))
	assert.Equal(t, len(last.gateway.Quarantines()), 0)
}

// Guards against a quarantine that may still be lifted by a probe being kept for the next start, where
// no router knows the exits.
func TestProvisionalQuarantineIsNotWritten(t *testing.T) {
	server := httptest.NewServer(standin.NewPlatform(""))
	defer server.Close()
	first := newQuarantines(t, server.URL, true)
	first.gateway.ReceivePoison(&poison.Report{Quarantines: []poison.Quarantine{{Part: 1, AgeMS: 10_000, FirstExitMS: 20_000, Provisional: true}}}, true)
	first.save(t.Context())
	started := newQuarantines(t, server.URL, false)
	assert.Assert(t, started.load(t.Context(), false))
	assert.Equal(t, len(started.gateway.Quarantines()), 0)
	first.gateway.ReceivePoison(&poison.Report{Quarantines: []poison.Quarantine{{Part: 1, AgeMS: 10_000, FirstExitMS: 20_000}}}, true)
	first.save(t.Context())
	assert.Assert(t, started.load(t.Context(), false))
	assert.Equal(t, len(started.gateway.Quarantines()), 1)
}
