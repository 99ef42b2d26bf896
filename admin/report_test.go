package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/records"
)

type fixedReport struct{ err error }

func (f fixedReport) Report(_ context.Context, since time.Time) (records.Report, error) {
	return records.BuildReport(nil, since, since.Add(time.Hour), since.Add(time.Hour)), f.err
}

// Guards against a report of another period than requested, and against an empty
// report in place of an error.
func TestReport(t *testing.T) {
	now := time.Now().UTC().Truncate(time.Second)
	for _, c := range []struct {
		since  string
		err    error
		status int
	}{
		{now.Add(-time.Hour).Format(time.RFC3339), nil, http.StatusOK},
		{now.Add(-time.Hour).Format(time.RFC3339), errors.New("x"), http.StatusServiceUnavailable},
		{now.Add(time.Hour).Format(time.RFC3339), nil, http.StatusBadRequest},
		{now.Add(-40 * 24 * time.Hour).Format(time.RFC3339), nil, http.StatusBadRequest},
		{"18:00", nil, http.StatusBadRequest},
		{"", nil, http.StatusBadRequest},
	} {
		e := echo.New()
		RegisterReport(e.Group(""), fixedReport{c.err})
		recorder := httptest.NewRecorder()
		e.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/report?since="+url.QueryEscape(c.since), nil))
		assert.Equal(t, recorder.Code, c.status, c.since)
		if c.status != http.StatusOK {
			continue
		}
		var report records.Report
		assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &report))
		assert.Assert(t, report.Since.Equal(now.Add(-time.Hour)))
	}
}
