package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hornbeamproxy/hornbeamproxy/platform"
	"github.com/hornbeamproxy/hornbeamproxy/records"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

// errNeedsPerson is the error of the report command if the report's NeedsPerson is set.
// The exit code is exitProblems.
var errNeedsPerson = errors.New("something is left for a person, or the report is incomplete")

// reportCommand holds the flags of the report command. It embeds noteCommands, because
// both have the flags for a router in common and send requests to it in the same way.
type reportCommand struct {
	noteCommands
	since string // start of the report, as parsed by parseSince
	store string // address of the platform's store, as IP:PORT
	now   func() time.Time
}

// reportTimeout bounds reading the records from the platform's store. The report names
// the records that could not be read in this time.
const reportTimeout = 20 * time.Second

// addReportCommand adds the command that prints the morning report. Its error carries
// the exit code exitProblems if something is left for a person or the report is
// incomplete.
func addReportCommand(app *kingpin.Application) {
	addReportCommandTo(app, os.Stdout, time.Now)
}

func addReportCommandTo(app *kingpin.Application, out io.Writer, now func() time.Time) {
	r := &reportCommand{noteCommands: noteCommands{out: out}, now: now}
	c := app.Command("report", "Report what failed, what was done and what is left for a person.")
	c.Flag("since", "Start: 18:00 (the last such time, UTC), 12h, or 2026-12-03T18:00:00Z.").Required().StringVar(&r.since)
	c.Flag("admin", "Admin listener of a router, such as http://192.0.2.1:9090.").StringVar(&r.admin)
	c.Flag("store", "Address of the platform's store (IP:PORT), to read the records of its routers there.").StringVar(&r.store)
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
	report, err := r.loadReport(since)
	if err != nil {
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
		return &exitError{code: exitProblems, err: errNeedsPerson}
	}
	return nil
}

// loadReport gets the report from the router at --admin if that is given. If --store is
// given instead, it builds the report from the records in the platform's store.
func (r *reportCommand) loadReport(since time.Time) (records.Report, error) {
	var report records.Report
	switch {
	case (r.admin == "") == (r.store == ""):
		return report, errors.New("one of --admin and --store is required")
	case r.admin != "":
		path := "/report?" + url.Values{"since": {since.UTC().Format(time.RFC3339)}}.Encode()
		return report, r.call(http.MethodGet, path, nil, &report)
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	store := platform.NewStore("http://"+r.store, "", telemetry.NewMetrics())
	defer store.Close()
	found, err := records.Read(ctx, platform.KeyStore{Store: store}, since)
	if err != nil {
		return report, fmt.Errorf("read the records: %w", err)
	}
	now := r.now()
	report = records.BuildReport(found.Records, since, now, now)
	report.SetUnread(found.Unread)
	return report, nil
}

// parseSince parses one of three forms: an RFC 3339 time in the past; a duration, which is
// subtracted from now; or a time of day in UTC, which means its latest occurrence before
// now.
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
