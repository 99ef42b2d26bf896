package edge_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/platform"
	"github.com/hornbeamproxy/hornbeamproxy/records"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

// Guards against a request of unknown outcome that is missing from the morning report,
// even if the router is stopped right after the request.
func TestFailuresAreRecorded(t *testing.T) {
	s := newSite(t)
	s.configure("key")
	s.register("ready")
	r := s.start(t, "r1")
	eventually(t, 2*time.Second, "ready", r.ready)
	started := time.Now()
	status, _ := r.call("/call/cut", "key")
	assert.Equal(t, status, 502)
	r.stop()
	assert.NilError(t, <-r.done)
	r.done <- nil // for the cleanup
	store := platform.KeyStore{Store: platform.NewStore(s.store.URL, "", telemetry.NewMetrics())}
	found, err := records.Read(context.Background(), store, started.Add(-time.Minute))
	assert.NilError(t, err)
	var kinds []api.RecordKind
	for _, record := range found.Records {
		kinds = append(kinds, record.Kind)
	}
	assert.Assert(t, slices.Contains(kinds, api.RecordKindOutcomeUnknown), "%v", kinds)
	assert.Assert(t, slices.Contains(kinds, api.RecordKindRefusals), "%v: the counts of the day", kinds)
	now := time.Now()
	report := records.BuildReport(found.Records, started.Add(-time.Minute), now, now)
	assert.Assert(t, report.NeedsPerson)
	var text strings.Builder
	assert.NilError(t, report.WriteText(&text))
	for _, want := range []string{"POST /call/cut", "Workspace w", "Look up at the service"} {
		assert.Assert(t, strings.Contains(text.String(), want), "%s: %s", want, text.String())
	}
}
