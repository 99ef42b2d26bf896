package records

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// kindPhrase holds the words for the records of one kind: the noun for their subject,
// such as "endpoint", and what happened to the subject, such as "down".
type kindPhrase struct {
	noun  string
	event string
}

var kindPhrases = map[api.RecordKind]kindPhrase{
	api.RecordKindEndpointDown:        {"endpoint", "down"},
	api.RecordKindEndpointCold:        {"endpoint", "cold"},
	api.RecordKindEndpointRecovered:   {"endpoint", "recovered"},
	api.RecordKindZoneLost:            {"availability zone", "lost"},
	api.RecordKindRouterLost:          {"router", "lost"},
	api.RecordKindPlatformUnavailable: {"platform", "unavailable"},
	api.RecordKindPlatformRecovered:   {"platform", "available again"},
	api.RecordKindNoteAccepted:        {"release note", "accepted"},
	api.RecordKindNoteRejected:        {"release note", "rejected"},
	api.RecordKindOrderFailed:         {"order", "failed"},
	api.RecordKindAnswerBroken:        {"answer", "broken"},
	api.RecordKindPromptQuarantined:   {"prompt part", "quarantined"},
	api.RecordKindRolloutEnded:        {"roll-out", "ended"},
	api.RecordKindOutcomeUnknown:      {"outcome", "unknown"},
	api.RecordKindRecordsLost:         {"router", "could not keep records"},
	api.RecordKindIsolated:            {"router", "isolated"},
}

func phraseOf(kind api.RecordKind) kindPhrase {
	if phrase, ok := kindPhrases[kind]; ok {
		return phrase
	}
	return kindPhrase{noun: "subject", event: strings.ReplaceAll(string(kind), "_", " ")}
}

// headline returns the title of an entry: what failed and where.
func headline(group []*incident, e Entry) string {
	phrase := phraseOf(e.Kind)
	if len(group) == 1 {
		text := upperFirst(phrase.noun) + " " + group[0].subject + " " + phrase.event
		if e.Zone != "" && e.Kind != api.RecordKindZoneLost {
			text += " in availability zone " + e.Zone
		}
		return text
	}
	parts := countSubjects(group)
	switch {
	case e.Kind == api.RecordKindZoneLost:
		return fmt.Sprintf("Availability zone %s lost: %s", e.Zone, strings.Join(parts, ", "))
	case e.Zone != "":
		return fmt.Sprintf("Availability zone %s: %s", e.Zone, strings.Join(withEvents(group, parts), ", "))
	default:
		return upperFirst(strings.Join(withEvents(group, parts), ", "))
	}
}

// kindsOf returns the kinds of a group that its headline counts, in a fixed order:
// the failures of endpoints and routers, which may accompany the loss of an
// availability zone, or else the only kind of the group.
func kindsOf(group []*incident) []api.RecordKind {
	order := []api.RecordKind{api.RecordKindEndpointDown, api.RecordKindRouterLost}
	count := map[api.RecordKind]int{}
	for _, in := range group {
		count[in.kind]++
	}
	var kinds []api.RecordKind
	for _, kind := range order {
		if count[kind] > 0 {
			kinds = append(kinds, kind)
		}
	}
	if len(kinds) == 0 {
		kinds = append(kinds, group[0].kind)
	}
	return kinds
}

// countSubjects counts the subjects of each kind, such as "12 endpoints".
func countSubjects(group []*incident) []string {
	var parts []string
	for _, kind := range kindsOf(group) {
		subjects := map[string]bool{}
		for _, in := range group {
			if in.kind == kind {
				subjects[in.subject] = true
			}
		}
		parts = append(parts, plural(len(subjects), phraseOf(kind).noun))
	}
	return parts
}

// withEvents returns the parts that countSubjects returned, each followed by what
// happened to its subjects, such as "12 endpoints down".
func withEvents(group []*incident, parts []string) []string {
	list := make([]string, len(parts))
	for i, kind := range kindsOf(group) {
		list[i] = parts[i] + " " + phraseOf(kind).event
	}
	return list
}

// sentences returns the text of an entry: what failed, where, since when and for
// how long, the effect on callers, what the system did, and what is left for a
// person.
func sentences(group []*incident, e Entry, now time.Time) []string {
	list := []string{
		e.Headline + ": " + joinTexts(e.Texts) + ".",
		whereSentence(e),
		whenSentence(group, e, now),
	}
	if e.MaxOccurrences > 1 {
		list = append(list, fmt.Sprintf("It happened %d times, the last time at %s.", e.MaxOccurrences, formatTime(lastStart(group))))
	}
	if len(group) > 1 && e.Open {
		open := 0
		for _, in := range group {
			if in.open {
				open++
			}
		}
		list = append(list, fmt.Sprintf("%d of %d are still in this state.", open, len(group)))
	}
	return append(list,
		"Effect on callers: "+orElse(joinTexts(e.Effect), "none recorded")+".",
		"The system: "+orElse(joinTexts(e.Action), "nothing recorded")+".",
		"Left for a person: "+orElse(joinTexts(e.Remaining), "nothing")+".",
	)
}

func whereSentence(e Entry) string {
	text := "Where: "
	if e.Zone != "" {
		text += "availability zone " + e.Zone + ", "
	}
	return text + joinNames(e.Subjects) + "; seen by " + plural(len(e.Routers), "router") + " (" + joinNames(e.Routers) + ")."
}

func whenSentence(group []*incident, e Entry, now time.Time) string {
	since := fmt.Sprintf("%s (%s ago)", formatTime(e.Since), formatDuration(now.Sub(e.Since)))
	switch {
	case e.Open:
		return "Since " + since + ", still open after " + formatDuration(now.Sub(e.Since)) + "."
	case e.Until.Equal(e.Since):
		return "At " + since + "."
	default:
		end := "ended"
		if orphaned(group) {
			end = "last seen"
		}
		return fmt.Sprintf("Since %s, %s at %s after %s.", since, end, formatTime(*e.Until), formatDuration(e.Until.Sub(e.Since)))
	}
}

// orphaned reports whether no router recorded the end of the failure.
func orphaned(group []*incident) bool {
	for _, in := range group {
		for _, o := range in.observations {
			if !o.orphan {
				return false
			}
		}
	}
	return true
}

// lastStart returns when the failure last began, recurrences included.
func lastStart(group []*incident) time.Time {
	var last time.Time
	for _, in := range group {
		for _, o := range in.observations {
			if at := timeOfMillis(max(o.record.SinceUnixMs, o.record.LastUnixMs)); at.After(last) {
				last = at
			}
		}
	}
	return last
}

func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") }

// formatDuration formats a duration in its two largest units, such as
// "8 h 10 min". Negative durations are shown as "0 s".
func formatDuration(d time.Duration) string {
	d = max(d, 0).Truncate(time.Second)
	days, hours := int(d.Hours())/24, int(d.Hours())%24
	minutes, seconds := int(d.Minutes())%60, int(d.Seconds())%60
	switch {
	case days > 0:
		return fmt.Sprintf("%d d %d h", days, hours)
	case hours > 0:
		return fmt.Sprintf("%d h %d min", hours, minutes)
	case minutes > 0:
		return fmt.Sprintf("%d min %d s", minutes, seconds)
	default:
		return fmt.Sprintf("%d s", seconds)
	}
}

func joinNames(names []string) string {
	if len(names) <= maxListed {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListed], ", "), len(names)-maxListed)
}

func joinTexts(texts []string) string {
	if len(texts) <= maxListed {
		return strings.Join(texts, "; ")
	}
	return fmt.Sprintf("%s; and %d more", strings.Join(texts[:maxListed], "; "), len(texts)-maxListed)
}

func orElse(text, otherwise string) string {
	if text == "" {
		return otherwise
	}
	return text
}

func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

func upperFirst(text string) string {
	if text == "" {
		return text
	}
	return strings.ToUpper(text[:1]) + text[1:]
}

// WriteText writes the report as plain text.
func (r Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "Report from %s (%s ago) to %s\n", formatTime(r.Since), formatDuration(r.Now.Sub(r.Since)), formatTime(r.Until))
	b.WriteString(r.summary() + "\n")
	for i, e := range r.Entries {
		state := "ended"
		if e.Open {
			state = "open"
		}
		fmt.Fprintf(&b, "\n%d. [%s] %s\n", i+1, state, e.Sentences[0])
		for _, sentence := range e.Sentences[1:] {
			b.WriteString("   " + sentence + "\n")
		}
	}
	writeTotals(&b, "Refusals", r.Refusals)
	writeTotals(&b, "Retries", r.Retries)
	writePauses(&b, r.Pauses)
	fmt.Fprintf(&b, "\nRecords that could not be kept: %d. Copies that peers could not hold: %d.\n", r.Lost, r.CopiesDropped)
	if len(r.Unread) > 0 {
		b.WriteString("Records that could not be read: " + strings.Join(r.Unread, ", ") + ".\n")
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (r Report) summary() string {
	open, remaining := 0, 0
	for _, e := range r.Entries {
		if e.Open {
			open++
		}
		if len(e.Remaining) > 0 {
			remaining++
		}
	}
	text := fmt.Sprintf("%d entries, %d open, %d with something left for a person.", len(r.Entries), open, remaining)
	if len(r.Unread) > 0 {
		text += " The report is incomplete."
	}
	return text
}

func writeTotals(b *strings.Builder, title string, list []ReasonTotal) {
	if len(list) == 0 {
		fmt.Fprintf(b, "\n%s: none.\n", title)
		return
	}
	fmt.Fprintf(b, "\n%s:\n", title)
	for _, total := range list {
		fmt.Fprintf(b, "   %s: %d\n", total.Reason, total.Count)
	}
}

// writePauses writes one line a service, and nothing if no endpoint asked for a pause.
func writePauses(b *strings.Builder, list []PauseTotal) {
	if len(list) == 0 {
		return
	}
	b.WriteString("\nPauses that endpoints asked for:\n")
	for _, p := range list {
		fmt.Fprintf(b, "   service %s: %d, the longest %.1f s\n", p.Service, p.Count, float64(p.LongestMS)/1000)
	}
}

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}
