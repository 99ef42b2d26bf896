package routerlog

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// maxRows is the number of rows of a table in the text; JSON has all.
const maxRows = 20

// WriteText writes the summary for people.
func (s Summary) WriteText(w io.Writer) error {
	out := &strings.Builder{}
	fmt.Fprintf(out, "%s to %s, %d routers, %d lines, %d bad lines\n",
		s.From.UTC().Format(time.RFC3339), s.To.UTC().Format(time.RFC3339), s.Routers, s.Lines, s.BadLines)
	fmt.Fprintln(out, "Times are those of the routers' clocks, which may differ.")
	for _, table := range []struct {
		title  string
		counts []Count
	}{
		{"Requests that routers ended themselves", s.Requests},
		{"By reason", s.ByReason},
		{"By time", s.ByTime},
		{"By zone of the router", s.ByZone},
		{"By service", s.ByService},
		{"By workspace", s.ByWorkspace},
		{"By kind", s.ByKind},
		{"Events", s.Events},
		{"Ejections by endpoint", s.Endpoints},
		{"Routers that ended without a stop", s.Restarts},
	} {
		writeTable(out, table.title, table.counts)
	}
	if len(s.Ages) > 0 {
		fmt.Fprintf(out, "\nSeconds after the arrival, 50th, 95th and 99th percentile\n")
	}
	for _, ages := range s.Ages {
		fmt.Fprintf(out, "  %.3f\t%.3f\t%.3f\t%s\n", ages.P50, ages.P95, ages.P99, ages.Outcome)
	}
	if len(s.Unknown) > 0 {
		fmt.Fprintf(out, "\nRequests that may have run, to look up at the service\n")
	}
	for i, r := range s.Unknown {
		if i == maxRows {
			break
		}
		fmt.Fprintf(out, "  %s\t%s\t%s\t%s\t%s\n", r.At.UTC().Format(time.RFC3339), r.Request, r.Service, r.Workspace, r.Endpoint)
	}
	if more := len(s.Unknown) - maxRows + s.UnknownLeftOut; more > 0 && len(s.Unknown) > maxRows {
		fmt.Fprintf(out, "  and %d more\n", more)
	}
	aligned := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	if _, err := io.WriteString(aligned, out.String()); err != nil {
		return fmt.Errorf("writing: %w", err)
	}
	return aligned.Flush()
}

func writeTable(out *strings.Builder, title string, counts []Count) {
	if len(counts) == 0 {
		return
	}
	fmt.Fprintf(out, "\n%s\n", title)
	for i, count := range counts {
		if i == maxRows {
			fmt.Fprintf(out, "  and %d more rows\n", len(counts)-maxRows)
			return
		}
		fmt.Fprintf(out, "  %d\t%s\n", count.Lines, count.Name)
	}
}
