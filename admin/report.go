package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/hornbeamproxy/hornbeamproxy/records"
)

// reportTimeout bounds a call of GET /report, including its wait for an earlier call to
// end. A report names the records that could not be read within this time.
const reportTimeout = 20 * time.Second

// maxReportAge bounds the period of a report, because every day of it is read in
// full.
const maxReportAge = 31 * 24 * time.Hour

// ReportReader builds the report of the period from since to now.
// Implementations are safe for concurrent use.
type ReportReader interface {
	Report(ctx context.Context, since time.Time) (records.Report, error)
}

// RegisterReport adds GET /report?since=<RFC 3339> to a group. The group's
// middleware authenticates operators.
func RegisterReport(g *echo.Group, reader ReportReader) {
	// Only one report is built at a time, which bounds the memory and the reads
	// from the object API.
	reportSlot := make(chan struct{}, 1)
	g.GET("/report", func(c echo.Context) error {
		since, err := time.Parse(time.RFC3339, c.QueryParam("since"))
		if err != nil {
			return rejectReport(c, "since must be a time of the form 2026-12-03T18:00:00Z")
		}
		if age := time.Since(since); age < 0 || age > maxReportAge {
			return rejectReport(c, "since must lie in the past, at most 31 days ago")
		}
		ctx, cancel := context.WithTimeout(c.Request().Context(), reportTimeout)
		defer cancel()
		select {
		case reportSlot <- struct{}{}:
			defer func() { <-reportSlot }()
		case <-ctx.Done():
			return reportUnavailable(c, "another report is being read")
		}
		report, err := reader.Report(ctx, since)
		if err != nil {
			return reportUnavailable(c, err.Error())
		}
		return c.JSON(http.StatusOK, report)
	})
}

func rejectReport(c echo.Context, detail string) error {
	return writeProblem(c, Problem{Status: http.StatusBadRequest, Reason: ReasonBadRequest, Detail: detail})
}

func reportUnavailable(c echo.Context, detail string) error {
	return writeProblem(c, Problem{Status: http.StatusServiceUnavailable, Reason: ReasonUnavailable, Detail: detail})
}
