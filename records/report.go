package records

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

const (
	// sameFailure is how far apart the observations of one failure by several
	// routers may begin or follow each other.
	sameFailure = time.Minute
	// sameCause is the longest gap between failures that count as one cause.
	sameCause = 10 * time.Second
	// minGroup is the number of failures that become one entry.
	minGroup = 3
	// maxListed bounds the names and texts listed in an entry.
	maxListed = 5
)

// Report is what happened between Since and Until, as seen at Now.
type Report struct {
	Since time.Time `json:"since"`
	Until time.Time `json:"until"`
	Now   time.Time `json:"now"`
	// NeedsPerson says that something is left for a person, or that the report is
	// incomplete.
	NeedsPerson bool `json:"needs_person"`
	// Entries lists open entries first, then those that changed last.
	Entries  []Entry       `json:"entries"`
	Refusals []ReasonTotal `json:"refusals"`
	Retries  []ReasonTotal `json:"retries"`
	// Lost counts records that could not be kept.
	Lost int `json:"lost"`
	// CopiesDropped counts copies that peers could not hold.
	CopiesDropped int `json:"copies_dropped"`
	// Unread names routers or objects whose records could not be read.
	Unread []string `json:"unread"`
}

// ReasonTotal is the number of refusals or retries with a reason.
type ReasonTotal struct {
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// Entry is one failure, or several with one cause.
type Entry struct {
	Kind     api.RecordKind `json:"kind"`
	Zone     string         `json:"zone,omitempty"`
	Headline string         `json:"headline"`
	// Subjects lists what failed, Routers who saw it.
	Subjects []string  `json:"subjects"`
	Routers  []string  `json:"routers"`
	Records  []string  `json:"records"` // ids
	Open     bool      `json:"open"`
	Since    time.Time `json:"since"`
	// Until is missing while the entry is open.
	Until     *time.Time `json:"until,omitempty"`
	Times     int        `json:"times"`
	What      []string   `json:"what"`
	Effect    []string   `json:"effect"`
	Action    []string   `json:"action"`
	Remaining []string   `json:"remaining"`
	// Sentences is the entry in plain words.
	Sentences []string `json:"sentences"`
}

// SetUnread notes whose records could not be read.
func (r *Report) SetUnread(unread []string) {
	r.Unread = append([]string{}, unread...)
	r.NeedsPerson = r.NeedsPerson || len(unread) > 0
}

// Build merges copies and returns the report of the records that lasted at some
// time between since and until. Interval counts that began before since are
// included whole.
func Build(records []api.Record, since, until, now time.Time) Report {
	report := Report{Since: since.UTC(), Until: until.UTC(), Now: now.UTC(), Unread: []string{}}
	refusals := api.ReasonCounts{}
	retries := api.ReasonCounts{}
	merged := Merge(records, nil)
	deaths := deathsOf(merged)
	var list []observation
	for _, record := range merged {
		o := observe(record, deaths)
		if o.since.After(until) || (!o.open && o.until.Before(since)) {
			continue
		}
		switch record.Kind {
		case api.RecordKindRefusals:
			addCounts(refusals, record.Counts)
			continue
		case api.RecordKindRetries:
			addCounts(retries, record.Counts)
			continue
		case api.RecordKindRecordsLost:
			report.Lost += lostRecords(record.Counts)
			report.CopiesDropped += record.Counts[LostCopies]
		}
		list = append(list, o)
	}
	report.Refusals = totals(refusals)
	report.Retries = totals(retries)
	report.Entries = []Entry{}
	for _, group := range groupCauses(groupFailures(list)) {
		entry := describe(group, now)
		report.NeedsPerson = report.NeedsPerson || len(entry.Remaining) > 0
		report.Entries = append(report.Entries, entry)
	}
	sortEntries(report.Entries)
	return report
}

func addCounts(sum, counts api.ReasonCounts) {
	for reason, n := range counts {
		sum[reason] += n
	}
}

func totals(counts api.ReasonCounts) []ReasonTotal {
	list := []ReasonTotal{}
	for reason, n := range counts {
		list = append(list, ReasonTotal{Reason: reason, Count: n})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Count != list[j].Count {
			return list[i].Count > list[j].Count
		}
		return list[i].Reason < list[j].Reason
	})
	return list
}

// sortEntries puts open entries first and then the newest state first.
func sortEntries(entries []Entry) {
	sort.SliceStable(entries, func(i, j int) bool {
		a, b := entries[i], entries[j]
		if a.Open != b.Open {
			return a.Open
		}
		if x, y := a.changed(), b.changed(); !x.Equal(y) {
			return x.After(y)
		}
		if a.Headline != b.Headline {
			return a.Headline < b.Headline
		}
		return a.Records[0] < b.Records[0]
	})
}

func (e Entry) changed() time.Time {
	if e.Until != nil {
		return *e.Until
	}
	return e.Since
}

// observation is one router's record of a failure.
type observation struct {
	record api.Record
	since  time.Time
	until  time.Time // of a record that is not open
	open   bool
	orphan bool // its router stopped before it saw the end
}

// deaths holds when routers were lost, in ms, and their newest incarnation.
type deaths struct {
	lost        map[string]int
	returned    map[string]int
	incarnation map[string]uint64
}

func deathsOf(records []api.Record) deaths {
	d := deaths{lost: map[string]int{}, returned: map[string]int{}, incarnation: map[string]uint64{}}
	for _, r := range records {
		d.incarnation[r.Router] = max(d.incarnation[r.Router], incarnationOf(r))
		if r.Kind != api.RecordKindRouterLost {
			continue
		}
		began := max(r.SinceUnixMs, r.LastUnixMs)
		d.lost[r.Subject] = max(d.lost[r.Subject], began)
		if r.UntilUnixMs > began {
			d.returned[r.Subject] = max(d.returned[r.Subject], r.UntilUnixMs)
		}
	}
	return d
}

// lostAt returns when a router was lost, or 0 if another router heard it again
// later, as after a partition.
func (d deaths) lostAt(router string) int {
	if d.returned[router] > d.lost[router] {
		return 0
	}
	return d.lost[router]
}

// incarnationOf reads the incarnation from an id of the form
// <router>/<incarnation>/<counter>. It returns 0 for other ids.
func incarnationOf(r api.Record) uint64 {
	var incarnation, counter uint64
	rest, ok := strings.CutPrefix(r.ID, r.Router+"/")
	if !ok {
		return 0
	}
	if _, err := fmt.Sscanf(rest, "%d/%d", &incarnation, &counter); err != nil {
		return 0
	}
	return incarnation
}

// observe decides whether a record is still open. The open records of a router
// that died or was started again would otherwise stay open for ever.
func observe(r api.Record, d deaths) observation {
	began := max(r.SinceUnixMs, r.LastUnixMs)
	o := observation{record: r, since: instant(r.SinceUnixMs), until: instant(r.UntilUnixMs)}
	if r.UntilUnixMs != 0 {
		return o
	}
	lost := d.lostAt(r.Router)
	o.orphan = lost > began || d.incarnation[r.Router] > incarnationOf(r)
	o.open = !o.orphan
	o.until = instant(max(began, lost))
	return o
}

func instant(ms int) time.Time { return time.UnixMilli(int64(ms)).UTC() }

// incident is one failure as seen by one or more routers.
type incident struct {
	kind         api.RecordKind
	subject      string
	zone         string
	since        time.Time
	until        time.Time
	open         bool
	observations []observation
}

// groupFailures joins the observations of the same failure by several routers.
func groupFailures(list []observation) []*incident {
	sort.SliceStable(list, func(i, j int) bool { return list[i].since.Before(list[j].since) })
	latest := map[failure]*incident{}
	var incidents []*incident
	for _, o := range list {
		key := failure{o.record.Kind, o.record.Subject}
		in := latest[key]
		if in == nil || (!in.open && o.since.After(in.until.Add(sameFailure))) {
			in = &incident{kind: o.record.Kind, subject: o.record.Subject, zone: zoneOf(o.record), since: o.since}
			latest[key] = in
			incidents = append(incidents, in)
		}
		in.add(o)
	}
	return incidents
}

func zoneOf(r api.Record) string {
	if r.Zone == "" && r.Kind == api.RecordKindZoneLost {
		return r.Subject
	}
	return r.Zone
}

func (in *incident) add(o observation) {
	in.observations = append(in.observations, o)
	in.open = in.open || o.open
	if o.until.After(in.until) {
		in.until = o.until
	}
	if in.zone == "" {
		in.zone = zoneOf(o.record)
	}
}

// cause is the key of failures that may become one entry.
type cause struct {
	kind api.RecordKind
	zone string
	text string
}

// causeOf returns false for kinds that always have entries of their own. What
// fails together with an availability zone has the cause zone_lost.
func causeOf(in *incident) (cause, bool) {
	switch in.kind {
	case api.RecordKindNoteAccepted, api.RecordKindNoteRejected, api.RecordKindRecordsLost,
		api.RecordKindPlatformUnavailable, api.RecordKindPlatformRecovered:
		return cause{}, false
	case api.RecordKindZoneLost, api.RecordKindEndpointDown, api.RecordKindRouterLost:
		return cause{kind: api.RecordKindZoneLost, zone: in.zone}, in.zone != ""
	default:
		return cause{kind: in.kind, zone: in.zone, text: in.observations[0].record.Text}, true
	}
}

// groupCauses joins incidents of one cause that began within seconds of each
// other. Smaller groups fall apart into single entries.
func groupCauses(incidents []*incident) [][]*incident {
	var groups [][]*incident
	runs := map[cause][]*incident{}
	finish := func(run []*incident) {
		if joined(run) {
			groups = append(groups, run)
			return
		}
		for _, in := range run {
			groups = append(groups, []*incident{in})
		}
	}
	for _, in := range incidents {
		key, ok := causeOf(in)
		if !ok {
			finish([]*incident{in})
			continue
		}
		run := runs[key]
		if len(run) > 0 && in.since.Sub(run[len(run)-1].since) > sameCause {
			finish(run)
			run = nil
		}
		runs[key] = append(run, in)
	}
	for _, run := range runs {
		finish(run)
	}
	return groups
}

func joined(run []*incident) bool {
	return len(run) >= minGroup || slices.ContainsFunc(run, func(in *incident) bool { return in.kind == api.RecordKindZoneLost })
}

// describe returns the entry of one group.
func describe(group []*incident, now time.Time) Entry {
	e := Entry{Kind: group[0].kind, Zone: group[0].zone, Since: group[0].since, Times: 1}
	var until time.Time
	for _, in := range group {
		if in.kind == api.RecordKindZoneLost {
			e.Kind = in.kind
		}
		e.Open = e.Open || in.open
		e.Subjects = addText(e.Subjects, in.subject)
		if in.until.After(until) {
			until = in.until
		}
		for _, o := range in.observations {
			e.addRecord(o)
		}
	}
	if !e.Open {
		e.Until = &until
	}
	sort.Strings(e.Subjects)
	sort.Strings(e.Routers)
	sort.Strings(e.Records)
	e.Headline = headline(group, e)
	e.Sentences = sentences(group, e, now)
	return e
}

func (e *Entry) addRecord(o observation) {
	r := o.record
	e.Routers = addText(e.Routers, r.Router)
	e.Records = append(e.Records, r.ID)
	e.Times = max(e.Times, r.Times)
	e.What = addText(e.What, r.Text)
	e.Effect = addText(e.Effect, r.Effect)
	e.Action = addText(e.Action, r.Action)
	e.Remaining = addText(e.Remaining, r.Remaining)
	if r.Kind == api.RecordKindRecordsLost {
		for _, total := range totals(r.Counts) {
			e.What = addText(e.What, fmt.Sprintf("%d (%s)", total.Count, total.Reason))
		}
	}
	if o.orphan {
		e.What = addText(e.What, "router "+r.Router+" stopped before it saw the end")
	}
}

func addText(list []string, text string) []string {
	text = strings.TrimSuffix(text, ".") // the sentences add their own
	if text == "" || slices.Contains(list, text) {
		return list
	}
	return append(list, text)
}
