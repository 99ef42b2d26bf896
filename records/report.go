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
	// sameFailureWindow is counted from the end of a failure. A record of the same kind
	// and subject, by any router, that begins within it counts as the same failure.
	sameFailureWindow = time.Minute
	// sameCauseGap is the longest time between the starts of two successive
	// failures that count as having one cause.
	sameCauseGap = 10 * time.Second
	// minGroupSize is the smallest number of failures of one cause that are joined
	// into one entry.
	minGroupSize = 3
	// maxListed bounds the number of names or texts in each list within the sentences
	// of an entry.
	maxListed = 5
)

// Report describes the failures between Since and Until, as known at Now.
type Report struct {
	Since time.Time `json:"since"`
	Until time.Time `json:"until"`
	Now   time.Time `json:"now"`
	// NeedsPerson is true if something is left for a person or the report is
	// incomplete.
	NeedsPerson bool `json:"needs_person"`
	// Entries lists open entries before ended ones, and within these the most
	// recently changed first.
	Entries  []Entry       `json:"entries"`
	Refusals []ReasonTotal `json:"refusals"`
	Retries  []ReasonTotal `json:"retries"`
	// Pauses are those that endpoints asked for, the service with the most first. It is left out
	// of the JSON form if there are none.
	Pauses []PauseTotal `json:"pauses,omitempty"`
	// Lost counts records that could not be kept.
	Lost int `json:"lost"`
	// CopiesDropped counts copies that peers dropped for lack of space.
	CopiesDropped int `json:"copies_dropped"`
	// Unread names the routers or key prefixes whose records could not be read.
	Unread []string `json:"unread"`
}

// ReasonTotal is the number of refusals or retries with a reason.
type ReasonTotal struct {
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// Entry describes one failure, or several that are taken to have one cause.
type Entry struct {
	Kind     api.RecordKind `json:"kind"`
	Zone     string         `json:"zone,omitempty"`
	Headline string         `json:"headline"`
	// Subjects lists what failed, Routers which routers recorded it.
	Subjects []string  `json:"subjects"`
	Routers  []string  `json:"routers"`
	Records  []string  `json:"records"` // ids
	Open     bool      `json:"open"`
	Since    time.Time `json:"since"`
	// Until is nil while the entry is open.
	Until *time.Time `json:"until,omitempty"`
	// MaxOccurrences is the highest number of occurrences in any one record.
	MaxOccurrences int `json:"times"`
	// Texts, Effect, Action and Remaining hold the distinct texts of the records.
	Texts     []string `json:"what"`
	Effect    []string `json:"effect"`
	Action    []string `json:"action"`
	Remaining []string `json:"remaining"`
	// Sentences is the text of the entry, for people to read.
	Sentences []string `json:"sentences"`
}

// SetUnread sets Unread. A report with unread records needs a person.
func (r *Report) SetUnread(unread []string) {
	r.Unread = append([]string{}, unread...)
	r.NeedsPerson = r.NeedsPerson || len(unread) > 0
}

// BuildReport merges copies of records and returns the report of all failures that were
// open at some time between since and until. Counts of refusals and retries whose
// interval began before since are included in full.
func BuildReport(records []api.Record, since, until, now time.Time) Report {
	report := Report{Since: since.UTC(), Until: until.UTC(), Now: now.UTC(), Unread: []string{}}
	refusals := api.ReasonCounts{}
	retries := api.ReasonCounts{}
	pauses := map[string]PauseTotal{}
	merged := Merge(records, nil)
	losses := routerLossesOf(merged)
	var list []observation
	for _, record := range merged {
		o := newObservation(record, losses)
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
		case api.RecordKindPauses:
			addPauses(pauses, record)
			continue
		case api.RecordKindRecordsLost:
			report.Lost += sumLost(record.Counts)
			report.CopiesDropped += record.Counts[LostCopies]
		}
		list = append(list, o)
	}
	report.Refusals = totals(refusals)
	report.Retries = totals(retries)
	report.Pauses = pauseTotals(pauses)
	report.Entries = []Entry{}
	for _, group := range groupCauses(groupFailures(list)) {
		entry := newEntry(group, now)
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

// sortEntries sorts open entries before ended ones, and within these the most
// recently changed first. Ties are broken by headline and id, so that the order
// does not depend on that of the records.
func sortEntries(entries []Entry) {
	sort.SliceStable(entries, func(i, j int) bool {
		a, b := entries[i], entries[j]
		if a.Open != b.Open {
			return a.Open
		}
		if x, y := a.lastChange(), b.lastChange(); !x.Equal(y) {
			return x.After(y)
		}
		if a.Headline != b.Headline {
			return a.Headline < b.Headline
		}
		return a.Records[0] < b.Records[0]
	})
}

func (e Entry) lastChange() time.Time {
	if e.Until != nil {
		return *e.Until
	}
	return e.Since
}

// observation is one router's record of a failure, as the report interprets it.
type observation struct {
	record api.Record
	since  time.Time
	// until is the end of a closed record. For an orphan, it is the last start of the
	// failure or the loss of the router, whichever is later.
	until  time.Time
	open   bool
	orphan bool // the router stopped before it recorded the end
}

// routerLosses holds, by router, when it was last lost and when it last returned,
// both in Unix milliseconds, and its newest incarnation.
type routerLosses struct {
	lost        map[string]int
	returned    map[string]int
	incarnation map[string]uint64
}

func routerLossesOf(records []api.Record) routerLosses {
	l := routerLosses{lost: map[string]int{}, returned: map[string]int{}, incarnation: map[string]uint64{}}
	for _, r := range records {
		l.incarnation[r.Router] = max(l.incarnation[r.Router], incarnationOf(r))
		if r.Kind != api.RecordKindRouterLost {
			continue
		}
		began := max(r.SinceUnixMs, r.LastUnixMs)
		l.lost[r.Subject] = max(l.lost[r.Subject], began)
		if r.UntilUnixMs > began {
			l.returned[r.Subject] = max(l.returned[r.Subject], r.UntilUnixMs)
		}
	}
	return l
}

// lostAt returns when a router was lost, in Unix milliseconds, or 0 if it was not
// lost or if another router received heartbeats from it again later, as after a
// network partition.
func (l routerLosses) lostAt(router string) int {
	if l.returned[router] > l.lost[router] {
		return 0
	}
	return l.lost[router]
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

// newObservation decides whether a record is still open. Records that a router
// left open when it crashed or restarted count as ended, because nothing would
// ever close them.
func newObservation(r api.Record, losses routerLosses) observation {
	began := max(r.SinceUnixMs, r.LastUnixMs)
	o := observation{record: r, since: timeOfMillis(r.SinceUnixMs), until: timeOfMillis(r.UntilUnixMs)}
	if r.UntilUnixMs != 0 {
		return o
	}
	lost := losses.lostAt(r.Router)
	o.orphan = lost > began || losses.incarnation[r.Router] > incarnationOf(r)
	o.open = !o.orphan
	o.until = timeOfMillis(max(began, lost))
	return o
}

func timeOfMillis(ms int) time.Time { return time.UnixMilli(int64(ms)).UTC() }

// incident is one failure as recorded by one or more routers.
type incident struct {
	kind         api.RecordKind
	subject      string
	zone         string
	since        time.Time
	until        time.Time
	open         bool
	observations []observation
}

// groupFailures joins the observations of the same failure into one incident, and
// returns the incidents in the order of their start.
func groupFailures(list []observation) []*incident {
	sort.SliceStable(list, func(i, j int) bool { return list[i].since.Before(list[j].since) })
	latest := map[failureKey]*incident{}
	var incidents []*incident
	for _, o := range list {
		key := failureKey{o.record.Kind, o.record.Subject}
		in := latest[key]
		if in == nil || (!in.open && o.since.After(in.until.Add(sameFailureWindow))) {
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

// cause is the key of failures that may be joined into one entry.
type cause struct {
	kind api.RecordKind
	zone string
	text string
}

// causeOf returns the cause of an incident, and false for incidents that always have
// entries of their own. Failures of endpoints and routers have the same cause as the
// loss of their availability zone.
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

// groupCauses joins incidents of one cause that began within sameCauseGap of each
// other. Groups that are too small are split into single incidents.
func groupCauses(incidents []*incident) [][]*incident {
	var groups [][]*incident
	runs := map[cause][]*incident{}
	finish := func(run []*incident) {
		if formsOneEntry(run) {
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
		if len(run) > 0 && in.since.Sub(run[len(run)-1].since) > sameCauseGap {
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

// formsOneEntry reports whether a group is large enough for a joint entry. A group that
// contains the loss of an availability zone may have any size.
func formsOneEntry(run []*incident) bool {
	return len(run) >= minGroupSize || slices.ContainsFunc(run, func(in *incident) bool { return in.kind == api.RecordKindZoneLost })
}

// newEntry returns the report entry of one group.
func newEntry(group []*incident, now time.Time) Entry {
	e := Entry{Kind: group[0].kind, Zone: group[0].zone, Since: group[0].since, MaxOccurrences: 1}
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
	e.MaxOccurrences = max(e.MaxOccurrences, r.Times)
	e.Texts = addText(e.Texts, r.Text)
	e.Effect = addText(e.Effect, r.Effect)
	e.Action = addText(e.Action, r.Action)
	e.Remaining = addText(e.Remaining, r.Remaining)
	if r.Kind == api.RecordKindRecordsLost {
		for _, total := range totals(r.Counts) {
			e.Texts = addText(e.Texts, fmt.Sprintf("%d (%s)", total.Count, total.Reason))
		}
	}
	if o.orphan {
		e.Texts = addText(e.Texts, "router "+r.Router+" stopped before it saw the end")
	}
}

func addText(list []string, text string) []string {
	text = strings.TrimSuffix(text, ".") // sentences adds its own
	if text == "" || slices.Contains(list, text) {
		return list
	}
	return append(list, text)
}
