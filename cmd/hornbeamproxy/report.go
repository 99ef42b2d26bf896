package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hornbeamproxy/hornbeamproxy/records"
)

// errLeftForPerson is the outcome of a report with exit code exitProblems.
var errLeftForPerson = errors.New("something is left for a person, or the report is incomplete")

// reportCommand holds the flags of the report command. It shares the call of a
// router with the note commands.
type reportCommand struct {
	noteCommands
	since string
	now   func() time.Time
}

// addReportCommand adds the morning report. Its error asks for exit code
// exitProblems when something is left for a person.
func addReportCommand(app *kingpin.Application) {
	addReportCommandTo(app, os.Stdout, time.Now)
}

func addReportCommandTo(app *kingpin.Application, out io.Writer, now func() time.Time) {
	r := &reportCommand{noteCommands: noteCommands{out: out}, now: now}
	c := app.Command("report", "Say what failed, what was done and what is left for a person.")
	c.Flag("since", "Start: 18:00 (the last such time, UTC), 12h, or 2026-12-03T18:00:00Z.").Required().StringVar(&r.since)
	c.Flag("admin", "Admin listener of a router, such as http://192.0.2.1:9090.").Required().StringVar(&r.admin)
	c.Flag("token-file", "File with the operators' bearer token.").StringVar(&r.tokenFile)
	c.Flag("token-env", "Environment variable with the operators' bearer token.").StringVar(&r.tokenEnv)
	c.Flag("output", "Output format.").Default("text").EnumVar(&r.output, "text", "json")
	c.Action(func(*kingpin.ParseContext) error { return r.run() })
}

func (r *reportCommand) run() error {
	since, err := parseSince(r.since, r.now())
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	var report records.Report
	path := "/report?" + url.Values{"since": {since.UTC().Format(time.RFC3339)}}.Encode()
	if err := r.call(http.MethodGet, path, nil, &report); err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	write := report.WriteText
	if r.output == "json" {
		write = report.WriteJSON
	}
	if err := write(r.out); err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	if report.NeedsPerson {
		return &exitError{code: exitProblems, err: errLeftForPerson}
	}
	return nil
}

// parseSince reads a time of day (the latest in the past, UTC), a duration back
// from now, or an RFC 3339 time in the past.
func parseSince(text string, now time.Time) (time.Time, error) {
	now = now.UTC()
	if clock, err := time.Parse("15:04", text); err == nil {
		at := time.Date(now.Year(), now.Month(), now.Day(), clock.Hour(), clock.Minute(), 0, 0, time.UTC)
		if at.After(now) {
			at = at.AddDate(0, 0, -1)
		}
		return at, nil
	}
	if back, err := time.ParseDuration(text); err == nil {
		if back <= 0 {
			return time.Time{}, fmt.Errorf("--since %s: the duration must be above 0", text)
		}
		return now.Add(-back), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, fmt.Errorf("--since %s: not a time such as 18:00, a duration such as 12h, or a time such as 2026-12-03T18:00:00Z", text)
	}
	if at.After(now) {
		return time.Time{}, fmt.Errorf("--since %s lies in the future", text)
	}
	return at.UTC(), nil
}
