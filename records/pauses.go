package records

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// The pauses that endpoints ask for are counted by service, like refusals by reason. Each count
// interval has one record for each service of which endpoints asked for pauses.

// Names in the counts of a record of kind pauses.
const (
	pauseCount     = "count"
	pauseLongestMS = "longest_ms"
)

// maxPauseServices bounds the services that are counted in one interval. The pauses of further ones
// are counted under otherServices.
const (
	maxPauseServices = 64
	otherServices    = "other services"
)

// pauses are the pauses that endpoints of a service asked for.
type pauses struct {
	count   int
	longest time.Duration
}

// RecordPause counts a pause of length d.
func (l *LocalRecords) RecordPause(service string, d time.Duration) {
	service = truncate(service, maxNameBytes)
	if _, known := l.pauses[service]; !known && len(l.pauses) >= maxPauseServices {
		service = otherServices
	}
	if l.pauses == nil {
		l.pauses = map[string]pauses{}
	}
	p := l.pauses[service]
	l.pauses[service] = pauses{count: p.count + 1, longest: max(p.longest, d)}
}

// createPauseRecords creates the records of the pauses since the last call.
func (l *LocalRecords) createPauseRecords(since, now time.Time) {
	for _, service := range slices.Sorted(maps.Keys(l.pauses)) {
		p := l.pauses[service]
		l.create(api.Record{
			Kind: api.RecordKindPauses, Subject: service, SinceUnixMs: unixMillis(since),
			UntilUnixMs: max(unixMillis(now), 1), Text: "endpoints asked for pauses",
			Counts: api.ReasonCounts{pauseCount: p.count, pauseLongestMS: int(p.longest.Milliseconds())},
		})
	}
	l.pauses = nil
}

// RecordPause counts a pause; see LocalRecords.RecordPause.
func (r *Recorder) RecordPause(service string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.local.RecordPause(service, d)
}

// PauseTotal is the number of pauses that endpoints of a service asked for, over all routers, and the
// longest of them in milliseconds.
type PauseTotal struct {
	Service   string `json:"service"`
	Count     int    `json:"count"`
	LongestMS int    `json:"longest_ms"`
}

// addPauses adds the counts of a record of kind pauses.
func addPauses(sum map[string]PauseTotal, record api.Record) {
	p := sum[record.Subject]
	sum[record.Subject] = PauseTotal{
		Service: record.Subject, Count: p.Count + record.Counts[pauseCount], LongestMS: max(p.LongestMS, record.Counts[pauseLongestMS]),
	}
}

// pauseTotals returns the totals, the service with the most pauses first.
func pauseTotals(sum map[string]PauseTotal) []PauseTotal {
	list := slices.Collect(maps.Values(sum))
	sort.Slice(list, func(i, j int) bool {
		if list[i].Count != list[j].Count {
			return list[i].Count > list[j].Count
		}
		return list[i].Service < list[j].Service
	})
	return list
}
