package records

import (
	"fmt"
	"maps"
	"sort"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// Reasons in the counts of a record of kind records_lost.
const (
	// LostNoSpace counts records that were not created because MaxRecords was
	// reached and all records were open or unwritten.
	LostNoSpace = "book_full"
	// LostCopies counts copies of other routers' records that were dropped for
	// lack of space. The router that created the records may have written them
	// itself, or may still do so.
	LostCopies = "copies"
)

// LocalRecordsOptions are the settings of LocalRecords.
type LocalRecordsOptions struct {
	// Router and Incarnation are parts of the ids of the records. The incarnation must
	// rise with each restart of the router.
	Router      string
	Incarnation uint64
	// MaxRecords bounds the number of records. Default 2048: at up to about 5 KB
	// each, they take about 10 MB of the 64 MB that a router has for control data.
	MaxRecords int
	// FlapWindow is the time after the end of a record within which a recurrence
	// of the same failure reopens it instead of creating a new one. Default 5 min.
	FlapWindow time.Duration
}

// LocalRecords holds the open and closed records that one router created. A closed record
// is removed when it is written to the object API and the flap window is over, or
// earlier if its space is needed. It is not safe for concurrent use.
type LocalRecords struct {
	opts LocalRecordsOptions
	// recordCounter is the number of records created so far, and the last part of the
	// newest record's id.
	recordCounter uint64
	// sequence is the sequence number of the newest change to any record.
	sequence uint64
	byID     map[string]*localRecord
	// latest holds the id of the newest record of each kind and subject.
	latest map[failureKey]string
	// pauses are those since the last count, by service.
	pauses map[string]pauses
	// lossRecordID is the id of the newest record of kind records_lost.
	lossRecordID string
	// lastCounters are the telemetry counters that the last RecordCounts got, and
	// countedAt is the time of that call.
	lastCounters map[string]int64
	countedAt    time.Time
}

type failureKey struct {
	kind    api.RecordKind
	subject string
}

// localRecord is a record and the state of its copies.
type localRecord struct {
	record          api.Record
	writtenSequence uint64 // sequence number of the newest form that is in the object API
	sentCopies      map[string]sentCopy
}

// sentCopy identifies the copy last sent to a peer.
type sentCopy struct {
	sequence uint64
	at       time.Time
}

// NewLocalRecords returns an empty LocalRecords.
func NewLocalRecords(opts LocalRecordsOptions) *LocalRecords {
	if opts.MaxRecords <= 0 {
		opts.MaxRecords = 2048
	}
	if opts.FlapWindow <= 0 {
		opts.FlapWindow = 5 * time.Minute
	}
	return &LocalRecords{opts: opts, byID: map[string]*localRecord{}, latest: map[failureKey]string{}, lastCounters: map[string]int64{}}
}

// Open records the start of a failure and returns the record's id, or "" if there
// is no space for it. If the failure is already open, its record is updated; if the
// failure ended within the flap window, its record is reopened and the record's Times
// incremented.
// text says what happened, effect what it means for callers, action what the system
// did, and remaining what is left for a person. Each is truncated to 512 bytes.
func (l *LocalRecords) Open(kind api.RecordKind, subject, zone string, now time.Time, text, effect, action, remaining string) string {
	subject = truncate(subject, maxNameBytes)
	if e := l.byID[l.latest[failureKey{kind, subject}]]; e != nil {
		if e.record.UntilUnixMs == 0 {
			l.update(e, text, effect, action, remaining)
			return e.record.ID
		}
		if unixMillis(now)-e.record.UntilUnixMs <= int(l.opts.FlapWindow.Milliseconds()) {
			l.reopen(e, now)
			l.update(e, text, effect, action, remaining)
			return e.record.ID
		}
	}
	e := l.create(api.Record{
		Kind: kind, Subject: subject, Zone: truncate(zone, maxNameBytes), SinceUnixMs: unixMillis(now),
		Text: truncate(text, maxTextBytes), Effect: truncate(effect, maxTextBytes),
		Action: truncate(action, maxTextBytes), Remaining: truncate(remaining, maxTextBytes),
	})
	if e == nil {
		return ""
	}
	l.latest[failureKey{kind, subject}] = e.record.ID
	return e.record.ID
}

// RecordEvent records a failure without duration and returns the record's id, or "" if
// there is no space for it. Events of the same kind and subject within the flap
// window share a record, whose Times counts them.
func (l *LocalRecords) RecordEvent(kind api.RecordKind, subject, zone string, now time.Time, text, effect, action, remaining string) string {
	id := l.Open(kind, subject, zone, now, text, effect, action, remaining)
	l.Close(id, now, remaining)
	return id
}

// Update replaces the texts of an open record; an empty text leaves the current
// one unchanged. It reports whether the record is open.
func (l *LocalRecords) Update(id string, text, effect, action, remaining string) bool {
	e := l.byID[id]
	if e == nil || e.record.UntilUnixMs != 0 {
		return false
	}
	l.update(e, text, effect, action, remaining)
	return true
}

// Close ends an open record. The remaining text replaces the current one even if
// it is empty, because often nothing is left to do after the end. It reports
// whether the record was open.
func (l *LocalRecords) Close(id string, now time.Time, remaining string) bool {
	e := l.byID[id]
	if e == nil || e.record.UntilUnixMs != 0 {
		return false
	}
	e.record.UntilUnixMs = max(unixMillis(now), e.record.SinceUnixMs, e.record.LastUnixMs, 1)
	e.record.Remaining = truncate(remaining, maxTextBytes)
	l.markChanged(e)
	return true
}

// Lookup returns the id of the open record of a failure, or "".
func (l *LocalRecords) Lookup(kind api.RecordKind, subject string) string {
	id := l.latest[failureKey{kind, truncate(subject, maxNameBytes)}]
	if e := l.byID[id]; e != nil && e.record.UntilUnixMs == 0 {
		return id
	}
	return ""
}

func (l *LocalRecords) reopen(e *localRecord, now time.Time) {
	e.record.Times = max(e.record.Times, 1) + 1
	e.record.LastUnixMs = unixMillis(now)
	e.record.UntilUnixMs = 0
	l.markChanged(e)
}

func (l *LocalRecords) update(e *localRecord, text, effect, action, remaining string) {
	before := e.record
	setIfGiven(&e.record.Text, text)
	setIfGiven(&e.record.Effect, effect)
	setIfGiven(&e.record.Action, action)
	setIfGiven(&e.record.Remaining, remaining)
	r := e.record
	if r.Text != before.Text || r.Effect != before.Effect || r.Action != before.Action || r.Remaining != before.Remaining {
		l.markChanged(e)
	}
}

func setIfGiven(field *string, text string) {
	if text != "" {
		*field = truncate(text, maxTextBytes)
	}
}

// create adds a record. It returns nil and counts the record as lost if MaxRecords
// is reached and no record can be evicted.
func (l *LocalRecords) create(record api.Record) *localRecord {
	if len(l.byID) >= l.opts.MaxRecords && !l.evictOldest() {
		l.RecordLoss(LostNoSpace, 1, time.UnixMilli(int64(record.SinceUnixMs)))
		return nil
	}
	return l.insert(record)
}

func (l *LocalRecords) insert(record api.Record) *localRecord {
	l.recordCounter++
	record.ID = fmt.Sprintf("%s/%d/%d", l.opts.Router, l.opts.Incarnation, l.recordCounter)
	record.Router = l.opts.Router
	e := &localRecord{record: record}
	l.byID[record.ID] = e
	l.markChanged(e)
	return e
}

func (l *LocalRecords) markChanged(e *localRecord) {
	l.sequence++
	e.record.Sequence = l.sequence
}

// evictOldest evicts the closed and written record that changed least recently.
// It returns false if there is none.
func (l *LocalRecords) evictOldest() bool {
	var oldest *localRecord
	for _, e := range l.byID {
		if l.evictable(e) && (oldest == nil || e.record.Sequence < oldest.record.Sequence) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	l.evict(oldest)
	return true
}

func (l *LocalRecords) evictable(e *localRecord) bool {
	return e.record.UntilUnixMs != 0 && e.writtenSequence >= e.record.Sequence && e.record.ID != l.lossRecordID
}

func (l *LocalRecords) evict(e *localRecord) {
	delete(l.byID, e.record.ID)
	key := failureKey{e.record.Kind, e.record.Subject}
	if l.latest[key] == e.record.ID {
		delete(l.latest, key)
	}
}

// RecordLoss counts n records that could not be kept. The counts of each UTC day
// are a record of their own, to which MaxRecords does not apply, so that the counts
// are always written and reported.
func (l *LocalRecords) RecordLoss(reason string, n int, now time.Time) {
	if n <= 0 {
		return
	}
	e := l.lossRecord(now)
	counts := maps.Clone(e.record.Counts)
	if counts == nil {
		counts = api.ReasonCounts{}
	}
	counts[reason] += n
	e.record.Counts = counts
	e.record.UntilUnixMs = max(unixMillis(now), e.record.SinceUnixMs, 1)
	// Dropped copies alone need no action, because the router that created the
	// records still has them.
	if sumLost(counts) > 0 {
		e.record.Remaining = "look at the log of router " + l.opts.Router + " for what these records would have said"
	}
	l.markChanged(e)
}

func (l *LocalRecords) lossRecord(now time.Time) *localRecord {
	e := l.byID[l.lossRecordID]
	if e != nil && sameDay(time.UnixMilli(int64(e.record.SinceUnixMs)), now) {
		return e
	}
	e = l.insert(api.Record{
		Kind: api.RecordKindRecordsLost, Subject: l.opts.Router,
		SinceUnixMs: unixMillis(now), Text: "records could not be kept",
	})
	l.lossRecordID = e.record.ID
	return e
}

func sameDay(a, b time.Time) bool {
	return a.UTC().Format(dayFormat) == b.UTC().Format(dayFormat)
}

// sumLost returns the number of records that are certainly lost. Dropped copies
// do not count, as the router that created the records may still write them.
func sumLost(counts api.ReasonCounts) int {
	total := 0
	for reason, n := range counts {
		if reason != LostCopies {
			total += n
		}
	}
	return total
}

// RecordCounts creates records of the refusals and retries since the last call,
// from the telemetry counters refusals.<reason> and retries.<reason>. The first
// call only starts the interval.
func (l *LocalRecords) RecordCounts(now time.Time, counters map[string]int64) {
	first := l.countedAt.IsZero()
	since := l.countedAt
	refusals := api.ReasonCounts{}
	retries := api.ReasonCounts{}
	for name, value := range counters {
		increase := value - l.lastCounters[name]
		if increase < 0 {
			increase = value // the counter was reset
		}
		if increase == 0 {
			continue
		}
		if reason, ok := strings.CutPrefix(name, "refusals."); ok {
			refusals[reason] += int(increase)
		}
		if reason, ok := strings.CutPrefix(name, "retries."); ok {
			retries[reason] += int(increase)
		}
	}
	l.lastCounters = maps.Clone(counters)
	l.countedAt = now
	l.createPauseRecords(since, now)
	if first {
		return
	}
	l.createCountRecord(api.RecordKindRefusals, "requests were refused", since, now, refusals)
	l.createCountRecord(api.RecordKindRetries, "requests were sent again", since, now, retries)
}

func (l *LocalRecords) createCountRecord(kind api.RecordKind, text string, since, now time.Time, counts api.ReasonCounts) {
	if len(counts) == 0 {
		return
	}
	l.create(api.Record{
		Kind: kind, Subject: l.opts.Router, SinceUnixMs: unixMillis(since),
		UntilUnixMs: max(unixMillis(now), 1), Text: text, Counts: counts,
	})
}

// MarkOpenUnwritten marks the open records as unwritten. It is called at the
// start of each UTC day, so that the objects stored under a day include all records
// that were open on that day.
func (l *LocalRecords) MarkOpenUnwritten() {
	for _, e := range l.byID {
		if e.record.UntilUnixMs == 0 {
			e.writtenSequence = 0
		}
	}
}

// Prune evicts written records that ended longer than the flap window ago.
func (l *LocalRecords) Prune(now time.Time) {
	limit := unixMillis(now.Add(-l.opts.FlapWindow))
	for _, e := range l.byID {
		if l.evictable(e) && e.record.UntilUnixMs < limit {
			l.evict(e)
		}
	}
}

// Dirty reports whether any record has changes that are not in the object API.
func (l *LocalRecords) Dirty() bool {
	for _, e := range l.byID {
		if e.writtenSequence < e.record.Sequence {
			return true
		}
	}
	return false
}

// Batch returns the records with unwritten changes, least recently changed first,
// as many as fit into maxBytes of encoded size.
func (l *LocalRecords) Batch(maxBytes int) api.RecordBatch {
	return l.pack(maxBytes, func(e *localRecord) bool { return e.writtenSequence < e.record.Sequence })
}

// MarkWritten marks the records of a batch as written to the object API.
func (l *LocalRecords) MarkWritten(batch api.RecordBatch) {
	for _, record := range batch.Records {
		if e := l.byID[record.ID]; e != nil {
			e.writtenSequence = max(e.writtenSequence, record.Sequence)
			e.sentCopies = nil
		}
	}
}

// HandoverBatch returns the unwritten records whose newest form was not sent to
// the peer within the last resendAfter, as many as fit into maxBytes of encoded
// size. A record is sent again after resendAfter, because one-way messages may be
// dropped.
func (l *LocalRecords) HandoverBatch(peer string, now time.Time, resendAfter time.Duration, maxBytes int) api.RecordBatch {
	return l.pack(maxBytes, func(e *localRecord) bool {
		sent := e.sentCopies[peer]
		return e.writtenSequence < e.record.Sequence && (sent.sequence < e.record.Sequence || now.Sub(sent.at) >= resendAfter)
	})
}

// MarkSent marks the records of a batch as sent to a peer.
func (l *LocalRecords) MarkSent(peer string, now time.Time, batch api.RecordBatch) {
	for _, record := range batch.Records {
		e := l.byID[record.ID]
		if e == nil {
			continue
		}
		if e.sentCopies == nil {
			e.sentCopies = map[string]sentCopy{}
		}
		e.sentCopies[peer] = sentCopy{sequence: record.Sequence, at: now}
	}
}

// Records returns all records in no particular order.
func (l *LocalRecords) Records() []api.Record {
	list := make([]api.Record, 0, len(l.byID))
	for _, e := range l.byID {
		list = append(list, e.record)
	}
	return list
}

func (l *LocalRecords) pack(maxBytes int, include func(*localRecord) bool) api.RecordBatch {
	var list []api.Record
	for _, e := range l.byID {
		if include(e) {
			list = append(list, e.record)
		}
	}
	batch := packBatch(l.opts.Router, list, maxBytes)
	if e := l.byID[l.lossRecordID]; e != nil {
		batch.Lost = sumLost(e.record.Counts)
	}
	return batch
}

// packBatch sorts list by sequence and returns a batch of the first records, as
// many as fit into maxBytes of encoded size and maxBatchRecords.
func packBatch(router string, list []api.Record, maxBytes int) api.RecordBatch {
	sort.Slice(list, func(i, j int) bool { return list[i].Sequence < list[j].Sequence })
	batch := api.RecordBatch{Router: router, Records: []api.Record{}}
	size := batchOverheadBytes
	for _, record := range list {
		size += encodedSize(record)
		if size > maxBytes || len(batch.Records) == maxBatchRecords {
			break
		}
		batch.Records = append(batch.Records, record)
	}
	return batch
}

func unixMillis(t time.Time) int { return int(t.UnixMilli()) }

// truncate shortens a text to at most n bytes without splitting a character.
// Invalid UTF-8 is replaced by "?".
func truncate(text string, n int) string {
	text = strings.ToValidUTF8(text, "?")
	if len(text) <= n {
		return text
	}
	for n > 0 && !utf8.RuneStart(text[n]) {
		n--
	}
	return text[:n]
}
