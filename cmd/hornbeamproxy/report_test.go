package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/admin"
	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/platform"
	"github.com/hornbeamproxy/hornbeamproxy/records"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

type localReport struct{ local *records.LocalRecords }

func (r localReport) Report(_ context.Context, since time.Time) (records.Report, error) {
	now := time.Now()
	return records.BuildReport(r.local.Records(), since, now, now), nil
}

// checkReport runs the report command and checks its exit code and that its output
// contains the text.
func checkReport(t *testing.T, args []string, code int, text string) {
	t.Helper()
	out := &bytes.Buffer{}
	app := kingpin.New("hornbeamproxy", "").Terminate(nil)
	addReportCommandTo(app, out, time.Now)
	_, err := app.Parse(append([]string{"report"}, args...))
	got := 0
	if err != nil {
		out.WriteString(err.Error())
		got = exitCode(err)
	}
	assert.Equal(t, got, code, "%v: %s", args, out)
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte(text)), "%v: %s", args, out)
}

// Guards against an exit code from which a script would conclude that nothing is left for
// a person although something is left, or although the router did not answer.
func TestReportCommand(t *testing.T) {
	local := records.NewLocalRecords(records.LocalRecordsOptions{Router: "r1", Incarnation: 1})
	now := time.Now()
	local.RecordEvent(api.RecordKindOrderFailed, "load chat", "", now.Add(-3*time.Hour), "engine-1 refuses it", "", "", "look at engine-1")
	local.RecordEvent(api.RecordKindIsolated, "r1", "", now.Add(-time.Hour), "no peer answers", "", "stopped new work", "")
	e := echo.New()
	admin.RegisterReport(e.Group(""), localReport{local})
	server := httptest.NewServer(e)
	defer server.Close()
	for _, c := range []struct {
		args []string
		code int
		text string
	}{
		{[]string{"--since", "12h"}, 1, "Left for a person: look at engine-1."},
		{[]string{"--since", "2h"}, 0, "Router r1 isolated"},
		{[]string{"--since", "12h", "--output", "json"}, 1, `"needs_person": true`},
		{[]string{"--since", "soon"}, 2, "not a time"},
		{[]string{"--since=-2h"}, 2, "above 0"},
		{[]string{"--since", "2000h"}, 2, "31 days"},
		{[]string{}, 2, "required flag"},
		{[]string{"--since", "2h", "--output", "xml"}, 2, "enum"},
		{[]string{"--since", "2h", "--admin", "http://127.0.0.1:1"}, 2, "refused"},
		{[]string{"--since", "2h", "--token-env", "HORNBEAMPROXY_TEST_UNSET"}, 2, "is empty"},
	} {
		args := c.args
		if len(args) < 3 || args[2] != "--admin" {
			args = append(args, "--admin", server.URL)
		}
		checkReport(t, args, c.code, c.text)
	}
}

// Guards against these faults: the report lacks records that are in the platform's store;
// if the store does not answer, the command prints a report without failures.
func TestReportFromStore(t *testing.T) {
	standIn := httptest.NewServer(standin.NewPlatform(""))
	defer standIn.Close()
	address := standIn.Listener.Addr().String()
	now := time.Now()
	local := records.NewLocalRecords(records.LocalRecordsOptions{Router: "r1", Incarnation: 1})
	local.RecordEvent(api.RecordKindOutcomeUnknown, "s/1", "", now.Add(-time.Hour), "call 1 may have run", "", "", "look up call 1")
	batch, err := records.EncodeBatch(local.Batch(records.MaxBatchBytes))
	assert.NilError(t, err)
	store := platform.KeyStore{Store: platform.NewStore(standIn.URL, "", telemetry.NewMetrics())}
	key := "records/" + now.Add(-time.Hour).UTC().Format("2006-01-02") + "/r1/1-000001"
	_, err = store.Put(context.Background(), key, batch, 0)
	assert.NilError(t, err)
	for _, c := range []struct {
		args []string
		code int
		text string
	}{
		{[]string{"--store", address}, 1, "Left for a person: look up call 1."},
		{[]string{"--store", "127.0.0.1:1"}, 2, "read the records"},
		{[]string{"--store", address, "--admin", "http://127.0.0.1:1"}, 2, "one of --admin and --store"},
		{nil, 2, "one of --admin and --store"},
	} {
		checkReport(t, append([]string{"--since", "12h"}, c.args...), c.code, c.text)
	}
}

// Guards against a report that starts on the wrong day because a time of day, or a time
// with an offset from UTC, was converted wrongly.
func TestParseSince(t *testing.T) {
	now := time.Date(2026, 12, 4, 7, 30, 0, 0, time.FixedZone("", 6*3600)) // 01:30 UTC
	for text, want := range map[string]string{
		"18:00":                     "2026-12-03T18:00:00Z",
		"01:30":                     "2026-12-04T01:30:00Z",
		"01:31":                     "2026-12-03T01:31:00Z",
		"12h":                       "2026-12-03T13:30:00Z",
		"2026-12-03T20:00:00+02:00": "2026-12-03T18:00:00Z",
	} {
		at, err := parseSince(text, now)
		assert.NilError(t, err)
		assert.Equal(t, at.Format(time.RFC3339), want, text)
	}
	for _, text := range []string{"", "24:00", "0s", "2026-12-05T00:00:00Z", "yesterday"} {
		_, err := parseSince(text, now)
		assert.Assert(t, err != nil, text)
	}
}
