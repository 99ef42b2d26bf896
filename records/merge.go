package records

import (
	"bytes"
	"sort"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// Merge returns one copy of each record in either list, in the order of ids. The
// copy with the highest sequence wins. The operation is commutative, associative
// and idempotent.
func Merge(a, b []api.Record) []api.Record {
	set := newRecordSet()
	set.add(a...)
	set.add(b...)
	return set.sorted()
}

// recordSet holds the newest copy of each record.
type recordSet struct{ byID map[string]api.Record }

func newRecordSet() recordSet { return recordSet{byID: map[string]api.Record{}} }

func (s recordSet) add(records ...api.Record) {
	for _, record := range records {
		if existing, ok := s.byID[record.ID]; !ok || supersedes(record, existing) {
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

// supersedes reports whether copy a replaces copy b of a record. At equal
// sequences it compares the encoded contents. A router uses each sequence once, so
// this comparison matters only for corrupted copies: it keeps Merge commutative for
// them.
func supersedes(a, b api.Record) bool {
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	x, errX := encoder.Marshal(a)
	y, errY := encoder.Marshal(b)
	return errX == nil && errY == nil && bytes.Compare(x, y) > 0
}

// dayFormat is the layout of a UTC day in object keys.
const dayFormat = "2006-01-02"

// Days returns the UTC days from the day of since to the day of until, in
// dayFormat.
func Days(since, until time.Time) []string {
	var days []string
	last := until.UTC().Format(dayFormat)
	for day := since.UTC(); day.Format(dayFormat) <= last; day = day.AddDate(0, 0, 1) {
		days = append(days, day.Format(dayFormat))
	}
	return days
}

// maxExpiredDays is the number of expired days that a cleanup lists. The objects of
// older days are never deleted; there are some if the fleet was down for more than 30
// days.
const maxExpiredDays = 30

// ExpiredDays returns the newest maxExpiredDays UTC days that are older than the
// retention.
func ExpiredDays(now time.Time, retention time.Duration) []string {
	newest := now.Add(-retention).UTC().AddDate(0, 0, -1)
	return Days(newest.AddDate(0, 0, 1-maxExpiredDays), newest)
}
