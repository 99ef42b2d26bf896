// Package measure runs the four measures of the design, and a fifth one of the latency
// that a router adds. It runs real routers and stand-ins for the other systems in one
// process on loopback. A row of the results names the measured variant: "this build" is
// the routers as they are; most baselines are the same routers with another placement
// policy and without admission limits.
//
// A site is the installation of one user of the software: zhetisu or tamarind. The
// measures run with the size that the design gives for the site.
package measure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"go.uber.org/zap"
)

// ErrMissed means that at least one figure of the variant "this build" missed its target.
var ErrMissed = errors.New("measure: target missed")

// Names of the measures, for Options.Only and the flag --only.
const (
	MeasureCache   = "cache"
	MeasureSkew    = "skew"
	MeasureControl = "control"
	MeasureZone    = "zone"
	MeasureLatency = "latency"
)

// Names lists the measures in the order in which they run.
var Names = []string{MeasureCache, MeasureSkew, MeasureControl, MeasureZone, MeasureLatency}

// Options of one run.
type Options struct {
	// Sites are the names of the sites to measure, "zhetisu" and "tamarind"; at least one
	// is needed.
	Sites []string
	// Only is the name of the only measure to run, one of Names; empty means all.
	Only string
	// Seed seeds the workloads.
	Seed   uint64
	Logger *zap.Logger
	// Progress receives a line after each measure; it may be nil.
	Progress io.Writer
}

// Verdicts of a row.
const (
	verdictMet    = "met"
	verdictMissed = "missed"
)

// Row is one figure of the table of results.
type Row struct {
	Measure string  `json:"measure"`
	Site    string  `json:"site"`
	Variant string  `json:"variant"`
	Figure  string  `json:"figure"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	// Target and Verdict are empty for figures without a target.
	Target  string `json:"target,omitempty"`
	Verdict string `json:"verdict,omitempty"`
	// ZhetisuWeight and TamarindWeight say how much the measure matters to the two users
	// of the software: "more", "less", or "-" for a measure without weights.
	ZhetisuWeight  string `json:"zhetisu"`
	TamarindWeight string `json:"tamarind"`
}

// weights returns how much a measure matters to zhetisu and tamarind, the two users of the
// software, according to section 1.2 of the design: "more" or "less", or "-" for both if
// the design gives the measure no weights.
func weights(measure string) (zhetisu, tamarind string) {
	switch measure {
	case MeasureSkew, MeasureControl:
		return "more", "less"
	case MeasureCache, MeasureZone:
		return "less", "more"
	}
	return "-", "-"
}

// target is the lower or upper bound of a figure and its text in the table.
type target struct {
	bound   float64
	atLeast bool
	text    string
}

func atLeast(bound float64, text string) target { return target{bound, true, text} }

func atMost(bound float64, text string) target { return target{bound, false, text} }

func (t target) verdict(value float64) string {
	if t.atLeast && value >= t.bound || !t.atLeast && value <= t.bound {
		return verdictMet
	}
	return verdictMissed
}

// table collects rows. It is safe for concurrent use.
type table struct {
	mu   sync.Mutex
	rows []Row
}

func (t *table) add(measure, site, variant, figure string, value float64, unit string) {
	row := Row{Measure: measure, Site: site, Variant: variant, Figure: figure, Value: value, Unit: unit}
	row.ZhetisuWeight, row.TamarindWeight = weights(measure)
	t.append(row)
}

// addWithTarget adds a figure of the variant "this build" that has a target.
func (t *table) addWithTarget(measure, site, figure string, value float64, unit string, bound target) {
	row := Row{Measure: measure, Site: site, Variant: variantBuild, Figure: figure, Value: value, Unit: unit}
	row.ZhetisuWeight, row.TamarindWeight = weights(measure)
	row.Target = bound.text
	row.Verdict = bound.verdict(value)
	t.append(row)
}

func (t *table) append(row Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows = append(t.rows, row)
}

// sorted returns the rows by measure, in the order of Names, and then by site, zhetisu
// first. It sorts because the sites run concurrently, which adds their rows in no fixed
// order.
func (t *table) sorted() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := slices.Clone(t.rows)
	slices.SortStableFunc(rows, func(a, b Row) int {
		if byMeasure := slices.Index(Names, a.Measure) - slices.Index(Names, b.Measure); byMeasure != 0 {
			return byMeasure
		}
		return -strings.Compare(a.Site, b.Site)
	})
	return rows
}

// runner is the shared state of the measures of one run.
type runner struct {
	options Options
	table   table
	// closingFleets counts the fleets that are shutting down. They do so in the background,
	// because a graceful shutdown takes withdraw_within. Such a fleet has no load, so it
	// affects only two figures of the next fleet: processor time and latency. The measures
	// of these two first wait until closingFleets is zero.
	closingFleets sync.WaitGroup
}

// Run runs the measures and returns their rows. If a figure of the variant "this build"
// missed its target, Run returns the rows together with ErrMissed.
func Run(ctx context.Context, o Options) ([]Row, error) {
	r := &runner{options: o}
	defer r.closingFleets.Wait()
	sites, err := sitesNamed(o.Sites)
	if err != nil {
		return nil, err
	}
	parts := []struct {
		name string
		run  func(context.Context, []siteSize) error
	}{
		{MeasureCache, r.cacheReuse},
		{MeasureSkew, r.loadSkew},
		{MeasureControl, r.controlTraffic},
		{MeasureZone, r.zoneService},
		{MeasureLatency, r.latency},
	}
	for _, part := range parts {
		if o.Only != "" && o.Only != part.name {
			continue
		}
		started := time.Now()
		if err := part.run(ctx, sites); err != nil {
			return nil, fmt.Errorf("measuring %s: %w", part.name, err)
		}
		r.progress("%s measured in %s", part.name, time.Since(started).Round(time.Second))
	}
	rows := r.table.sorted()
	if slices.ContainsFunc(rows, func(row Row) bool { return row.Verdict == verdictMissed }) {
		return rows, ErrMissed
	}
	return rows, nil
}

func (r *runner) progress(format string, args ...any) {
	if r.options.Progress != nil {
		_, _ = fmt.Fprintf(r.options.Progress, format+"\n", args...)
	}
}

// WriteText writes the rows as a text table.
func WriteText(w io.Writer, rows []Row) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, "measure\tsite\tvariant\tfigure\tvalue\tunit\ttarget\tverdict\tzhetisu\ttamarind")
	for _, row := range rows {
		_, _ = fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%.3f\t%s\t%s\t%s\t%s\t%s\n", row.Measure, row.Site, row.Variant,
			row.Figure, row.Value, row.Unit, orDash(row.Target), orDash(row.Verdict), row.ZhetisuWeight, row.TamarindWeight)
	}
	if err := out.Flush(); err != nil {
		return fmt.Errorf("writing table: %w", err)
	}
	return nil
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// WriteJSON writes the rows as a JSON array.
func WriteJSON(w io.Writer, rows []Row) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(rows); err != nil {
		return fmt.Errorf("writing rows: %w", err)
	}
	return nil
}
