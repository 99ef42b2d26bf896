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
	// LostBookFull counts records that were not made because the book was full of
	// open or unwritten ones.
	LostBookFull = "book_full"
	// LostCopies counts copies held for other routers that were dropped. The
	// origin may still have written them.
	LostCopies = "copies"
)

// BookOptions are the settings of a Book.
type BookOptions struct {
	Router      string
	Incarnation uint64
	// MaxRecords bounds the records kept. Default 2048: at up to about 5 KB each
	// they stay near 10 MB of the 64 MB for control.
	MaxRecords int
	// FlapWindow is how long after its end a record continues when the same
	// failure returns. Default 5 min.
	FlapWindow time.Duration
}

// Book holds the open and closed records of one router. It is not safe for
// concurrent use.
type Book struct {
	opts     BookOptions
	counter  uint64
	sequence uint64
	entries  map[string]*entry
	// latest is the newest record of each kind and subject.
	latest   map[failure]string
	lostID   string
	counters map[string]int64
	counted  time.Time
}

type failure struct {
	kind    api.RecordKind
	subject string
}

// entry is a record with what is known of its copies.
type entry struct {
	record api.Record
	saved  uint64 // sequence that is in the object API
	handed map[string]handed
}

// handed is the copy last sent to a peer.
type handed struct {
	sequence uint64
	at       time.Time
}

// NewBook returns an empty book.
func NewBook(opts BookOptions) *Book {
	if opts.MaxRecords <= 0 {
		opts.MaxRecords = 2048
	}
	if opts.FlapWindow <= 0 {
		opts.FlapWindow = 5 * time.Minute
	}
	return &Book{opts: opts, entries: map[string]*entry{}, latest: map[failure]string{}, counters: map[string]int64{}}
}

// Open records that a failure began and returns the record's id, or "" if the
// book is full. A failure that is already open is updated; one that ended within
// the flap window is continued and counted.
func (b *Book) Open(kind api.RecordKind, subject, zone string, now time.Time, text, effect, action, remaining string) string {
	subject = cut(subject, maxNameBytes)
	if e := b.entries[b.latest[failure{kind, subject}]]; e != nil {
		if e.record.UntilUnixMs == 0 {
			b.update(e, text, effect, action, remaining)
			return e.record.ID
		}
		if millis(now)-e.record.UntilUnixMs <= int(b.opts.FlapWindow.Milliseconds()) {
			b.reopen(e, now)
			b.update(e, text, effect, action, remaining)
			return e.record.ID
		}
	}
	e := b.create(api.Record{
		Kind: kind, Subject: subject, Zone: cut(zone, maxNameBytes), SinceUnixMs: millis(now),
		Text: cut(text, maxTextBytes), Effect: cut(effect, maxTextBytes),
		Action: cut(action, maxTextBytes), Remaining: cut(remaining, maxTextBytes),
	})
	if e == nil {
		return ""
	}
	b.latest[failure{kind, subject}] = e.record.ID
	return e.record.ID
}

// Event records something without duration. Events of one kind and subject
// within the flap window become one record with a count.
func (b *Book) Event(kind api.RecordKind, subject, zone string, now time.Time, text, effect, action, remaining string) string {
	id := b.Open(kind, subject, zone, now, text, effect, action, remaining)
	b.Close(id, now, remaining)
	return id
}

// Update replaces the texts of an open record; an empty text keeps the former
// one. It reports whether the record is open.
func (b *Book) Update(id string, text, effect, action, remaining string) bool {
	e := b.entries[id]
	if e == nil || e.record.UntilUnixMs != 0 {
		return false
	}
	b.update(e, text, effect, action, remaining)
	return true
}

// Close ends an open record. The remaining text replaces the former one, because
// the end often leaves nothing to do. It reports whether the record was open.
func (b *Book) Close(id string, now time.Time, remaining string) bool {
	e := b.entries[id]
	if e == nil || e.record.UntilUnixMs != 0 {
		return false
	}
	e.record.UntilUnixMs = max(millis(now), e.record.SinceUnixMs, e.record.LastUnixMs, 1)
	e.record.Remaining = cut(remaining, maxTextBytes)
	b.changed(e)
	return true
}

// Lookup returns the id of the open record of a failure, or "".
func (b *Book) Lookup(kind api.RecordKind, subject string) string {
	id := b.latest[failure{kind, cut(subject, maxNameBytes)}]
	if e := b.entries[id]; e != nil && e.record.UntilUnixMs == 0 {
		return id
	}
	return ""
}

func (b *Book) reopen(e *entry, now time.Time) {
	e.record.Times = max(e.record.Times, 1) + 1
	e.record.LastUnixMs = millis(now)
	e.record.UntilUnixMs = 0
	b.changed(e)
}

func (b *Book) update(e *entry, text, effect, action, remaining string) {
	before := e.record
	replace(&e.record.Text, text)
	replace(&e.record.Effect, effect)
	replace(&e.record.Action, action)
	replace(&e.record.Remaining, remaining)
	r := e.record
	if r.Text != before.Text || r.Effect != before.Effect || r.Action != before.Action || r.Remaining != before.Remaining {
		b.changed(e)
	}
}

func replace(field *string, text string) {
	if text != "" {
		*field = cut(text, maxTextBytes)
	}
}

// create adds a record, or counts it as lost when nothing can be dropped for it.
func (b *Book) create(record api.Record) *entry {
	if len(b.entries) >= b.opts.MaxRecords && !b.makeRoom() {
		b.Lose(LostBookFull, 1, time.UnixMilli(int64(record.SinceUnixMs)))
		return nil
	}
	return b.insert(record)
}

func (b *Book) insert(record api.Record) *entry {
	b.counter++
	record.ID = fmt.Sprintf("%s/%d/%d", b.opts.Router, b.opts.Incarnation, b.counter)
	record.Router = b.opts.Router
	e := &entry{record: record}
	b.entries[record.ID] = e
	b.changed(e)
	return e
}

func (b *Book) changed(e *entry) {
	b.sequence++
	e.record.Sequence = b.sequence
}

// makeRoom drops the written and closed record that changed least recently.
func (b *Book) makeRoom() bool {
	var oldest *entry
	for _, e := range b.entries {
		if b.droppable(e) && (oldest == nil || e.record.Sequence < oldest.record.Sequence) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	b.drop(oldest)
	return true
}

func (b *Book) droppable(e *entry) bool {
	return e.record.UntilUnixMs != 0 && e.saved >= e.record.Sequence && e.record.ID != b.lostID
}

func (b *Book) drop(e *entry) {
	delete(b.entries, e.record.ID)
	key := failure{e.record.Kind, e.record.Subject}
	if b.latest[key] == e.record.ID {
		delete(b.latest, key)
	}
}

// Lose counts records that could not be kept. The count of each UTC day is a
// record of its own, beyond the bound of the book, so that it is written and
// reported like others.
func (b *Book) Lose(reason string, n int, now time.Time) {
	if n <= 0 {
		return
	}
	e := b.lostRecord(now)
	counts := maps.Clone(e.record.Counts)
	if counts == nil {
		counts = api.ReasonCounts{}
	}
	counts[reason] += n
	e.record.Counts = counts
	e.record.UntilUnixMs = max(millis(now), e.record.SinceUnixMs, 1)
	// Dropped copies alone need no person: the origin still has its records.
	if lostRecords(counts) > 0 {
		e.record.Remaining = "look at the log of router " + b.opts.Router + " for what these records would have said"
	}
	b.changed(e)
}

func (b *Book) lostRecord(now time.Time) *entry {
	e := b.entries[b.lostID]
	if e != nil && sameDay(time.UnixMilli(int64(e.record.SinceUnixMs)), now) {
		return e
	}
	e = b.insert(api.Record{
		Kind: api.RecordKindRecordsLost, Subject: b.opts.Router,
		SinceUnixMs: millis(now), Text: "records could not be kept",
	})
	b.lostID = e.record.ID
	return e
}

func sameDay(a, b time.Time) bool {
	return a.UTC().Format(dayFormat) == b.UTC().Format(dayFormat)
}

// lostRecords sums the counts of records that are certainly lost.
func lostRecords(counts api.ReasonCounts) int {
	total := 0
	for reason, n := range counts {
		if reason != LostCopies {
			total += n
		}
	}
	return total
}

// Count makes records of the refusals and retries since the last call, from the
// telemetry counters refusals.<reason> and retries.<reason>. The first call only
// sets the start of the interval.
func (b *Book) Count(now time.Time, counters map[string]int64) {
	first := b.counted.IsZero()
	since := b.counted
	refusals := api.ReasonCounts{}
	retries := api.ReasonCounts{}
	for name, value := range counters {
		grown := value - b.counters[name]
		if grown < 0 {
			grown = value // the counter was reset
		}
		if grown == 0 {
			continue
		}
		if reason, ok := strings.CutPrefix(name, "refusals."); ok {
			refusals[reason] += int(grown)
		}
		if reason, ok := strings.CutPrefix(name, "retries."); ok {
			retries[reason] += int(grown)
		}
	}
	b.counters = maps.Clone(counters)
	b.counted = now
	if first {
		return
	}
	b.countRecord(api.RecordKindRefusals, "requests were refused", since, now, refusals)
	b.countRecord(api.RecordKindRetries, "requests were sent again", since, now, retries)
}

func (b *Book) countRecord(kind api.RecordKind, text string, since, now time.Time, counts api.ReasonCounts) {
	if len(counts) == 0 {
		return
	}
	b.create(api.Record{
		Kind: kind, Subject: b.opts.Router, SinceUnixMs: millis(since),
		UntilUnixMs: max(millis(now), 1), Text: text, Counts: counts,
	})
}

// Rollover marks the open records as unwritten, so that each day's objects hold
// all records that were open on that day.
func (b *Book) Rollover() {
	for _, e := range b.entries {
		if e.record.UntilUnixMs == 0 {
			e.saved = 0
		}
	}
}

// Prune drops written records that ended before the flap window.
func (b *Book) Prune(now time.Time) {
	limit := millis(now.Add(-b.opts.FlapWindow))
	for _, e := range b.entries {
		if b.droppable(e) && e.record.UntilUnixMs < limit {
			b.drop(e)
		}
	}
}

// Dirty reports whether a record is not in the object API in its newest form.
func (b *Book) Dirty() bool {
	for _, e := range b.entries {
		if e.saved < e.record.Sequence {
			return true
		}
	}
	return false
}

// Batch returns unwritten records, those that changed first coming first, within
// maxBytes of encoded size.
func (b *Book) Batch(maxBytes int) api.RecordBatch {
	return b.pack(maxBytes, func(e *entry) bool { return e.saved < e.record.Sequence })
}

// Saved notes that a batch is in the object API.
func (b *Book) Saved(batch api.RecordBatch) {
	for _, record := range batch.Records {
		if e := b.entries[record.ID]; e != nil {
			e.saved = max(e.saved, record.Sequence)
			e.handed = nil
		}
	}
}

// Handover returns unwritten records that the peer was not sent in their newest
// form since again before now, within maxBytes of encoded size. They are sent
// again because a one-way message may be dropped.
func (b *Book) Handover(peer string, now time.Time, again time.Duration, maxBytes int) api.RecordBatch {
	return b.pack(maxBytes, func(e *entry) bool {
		sent := e.handed[peer]
		return e.saved < e.record.Sequence && (sent.sequence < e.record.Sequence || now.Sub(sent.at) >= again)
	})
}

// Handed notes that a batch was sent to a peer.
func (b *Book) Handed(peer string, now time.Time, batch api.RecordBatch) {
	for _, record := range batch.Records {
		e := b.entries[record.ID]
		if e == nil {
			continue
		}
		if e.handed == nil {
			e.handed = map[string]handed{}
		}
		e.handed[peer] = handed{sequence: record.Sequence, at: now}
	}
}

// Records returns all records of the book.
func (b *Book) Records() []api.Record {
	list := make([]api.Record, 0, len(b.entries))
	for _, e := range b.entries {
		list = append(list, e.record)
	}
	return list
}

func (b *Book) pack(maxBytes int, wanted func(*entry) bool) api.RecordBatch {
	var list []api.Record
	for _, e := range b.entries {
		if wanted(e) {
			list = append(list, e.record)
		}
	}
	batch := packBatch(b.opts.Router, list, maxBytes)
	if e := b.entries[b.lostID]; e != nil {
		batch.Lost = lostRecords(e.record.Counts)
	}
	return batch
}

// packBatch takes the records in the order of their sequence until the next one
// does not fit.
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

func millis(t time.Time) int { return int(t.UnixMilli()) }

// cut shortens a text to at most n bytes of whole characters.
func cut(text string, n int) string {
	text = strings.ToValidUTF8(text, "?")
	if len(text) <= n {
		return text
	}
	for n > 0 && !utf8.RuneStart(text[n]) {
		n--
	}
	return text[:n]
}
