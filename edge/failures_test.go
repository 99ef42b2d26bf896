package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/platform"
	"github.com/hornbeamproxy/hornbeamproxy/records"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
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

// Guards against pauses that endpoints asked for and that are missing from the morning report.
func TestPausesAreReported(t *testing.T) {
	s := newSite(t)
	s.configure("key")
	s.register("ready")
	r := s.start(t, "r1")
	eventually(t, 2*time.Second, "ready", r.ready)
	started := time.Now()
	for range 2 {
		status, _ := r.call("/call/pause", "key")
		assert.Equal(t, status, 503)
		time.Sleep(600 * time.Millisecond)
	}
	r.stop()
	http.DefaultClient.CloseIdleConnections()
	assert.NilError(t, <-r.done)
	r.done <- nil // for the cleanup
	store := platform.KeyStore{Store: platform.NewStore(s.store.URL, "", telemetry.NewMetrics())}
	found, err := records.Read(context.Background(), store, started.Add(-time.Minute))
	assert.NilError(t, err)
	now := time.Now()
	report := records.BuildReport(found.Records, started.Add(-time.Minute), now, now)
	assert.DeepEqual(t, report.Pauses, []records.PauseTotal{{Service: "s", Count: 2, LongestMS: 500}})
}

// Guards against a morning report that lists an outage of the store for each watch that was cut
// off, or that misses a real outage.
func TestCutWatchIsNotReported(t *testing.T) {
	s := newSite(t)
	s.configure("key")
	s.register("ready")
	r := s.start(t, "r1")
	eventually(t, 2*time.Second, "ready", r.ready)
	outages := func() (kinds []api.RecordKind) {
		store := platform.KeyStore{Store: platform.NewStore(s.store.URL, "", telemetry.NewMetrics())}
		found, err := records.Read(context.Background(), store, time.Now().Add(-time.Minute))
		assert.NilError(t, err)
		for _, record := range found.Records {
			if record.Kind == api.RecordKindPlatformUnavailable {
				kinds = append(kinds, record.Kind)
			}
		}
		return kinds
	}
	for range 3 {
		time.Sleep(1100 * time.Millisecond)
		s.platform.CutWatches("config")
	}
	time.Sleep(2 * time.Second)
	assert.Equal(t, len(outages()), 0)
	s.platform.SetFaults(standin.PlatformFaults{Outage: true})
	time.Sleep(outageLength)
	s.platform.SetFaults(standin.PlatformFaults{})
	eventually(t, 10*time.Second, "the outage is recorded", func() bool { return len(outages()) > 0 })
}

// outageLength is long enough for an outage to be recorded.
const outageLength = 4 * time.Second

// Guards against a morning report without the partition of a single router from the store, or with an
// outage of the store in its place.
func TestPartitionIsReported(t *testing.T) {
	f := newPartitionableFleet(t, 5)
	cut := f.ids[0]
	f.partition(t, standin.ProxyFaults{Freeze: true}, []string{cut})
	time.Sleep(outageLength)
	f.heal(t)
	reported := func() []string {
		store := platform.KeyStore{Store: platform.NewStore(f.store.URL, "", telemetry.NewMetrics())}
		found, err := records.Read(context.Background(), store, time.Now().Add(-time.Minute))
		assert.NilError(t, err)
		var texts []string
		for _, record := range found.Records {
			if record.Kind == api.RecordKindPlatformUnavailable {
				texts = append(texts, record.Text)
			}
		}
		return texts
	}
	eventually(t, 10*time.Second, "the partition is recorded", func() bool { return len(reported()) > 0 })
	assert.DeepEqual(t, reported(), []string{fmt.Sprintf("The platform's store answers other routers, but not router %s.", cut)})
}
