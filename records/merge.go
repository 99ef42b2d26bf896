package records

import (
	"bytes"
	"sort"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// Merge returns one copy of each record in both lists, in the order of ids. The
// copy with the higher sequence wins. The operation is commutative, associative
// and idempotent.
func Merge(a, b []api.Record) []api.Record {
	set := newRecordSet()
	set.add(a...)
	set.add(b...)
	return set.sorted()
}

type recordSet struct{ byID map[string]api.Record }

func newRecordSet() recordSet { return recordSet{byID: map[string]api.Record{}} }

func (s recordSet) add(records ...api.Record) {
	for _, record := range records {
		if held, ok := s.byID[record.ID]; !ok || newer(record, held) {
			s.byID[record.ID] = record
		}
	}
}

func (s recordSet) sorted() []api.Record {
	list := make([]api.Record, 0, len(s.byID))
	for _, record := range s.byID {
		list = append(list, record)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// newer compares contents at equal sequences. A router gives a sequence once, so
// this only keeps the merge commutative for copies that a fault has changed.
func newer(a, b api.Record) bool {
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	x, errX := encoder.Marshal(a)
	y, errY := encoder.Marshal(b)
	return errX == nil && errY == nil && bytes.Compare(x, y) > 0
}

// dayFormat is the form of a UTC day in object keys.
const dayFormat = "2006-01-02"

// Days lists the UTC days from the day of since to the day of until.
func Days(since, until time.Time) []string {
	var days []string
	last := until.UTC().Format(dayFormat)
	for day := since.UTC(); day.Format(dayFormat) <= last; day = day.AddDate(0, 0, 1) {
		days = append(days, day.Format(dayFormat))
	}
	return days
}

// expiredDays bounds how far back the cleaning looks. A fleet that was down for
// longer leaves older days behind.
const expiredDays = 30

// ExpiredDays lists the newest UTC days that are older than the retention.
func ExpiredDays(now time.Time, retention time.Duration) []string {
	newest := now.Add(-retention).UTC().AddDate(0, 0, -1)
	return Days(newest.AddDate(0, 0, 1-expiredDays), newest)
}
