package records

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

var testStart = time.Date(2026, 12, 3, 21, 0, 0, 0, time.UTC)

func drawRecords(t *rapid.T, label string) []api.Record {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) api.Record {
		return api.Record{
			ID:       rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"),
			Sequence: rapid.Uint64Range(0, 3).Draw(t, "sequence"),
			Text:     rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "text"),
			Counts:   api.ReasonCounts{"r": rapid.IntRange(0, 2).Draw(t, "count"), "s": 1},
		}
	}), 0, 6).Draw(t, label)
}

// Guards against reports that depend on the order in which copies arrive, and
// against duplicate records.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecords(t, "a"), drawRecords(t, "b"), drawRecords(t, "c")
		ab := Merge(a, b)
		assert.DeepEqual(t, ab, Merge(b, a))
		assert.DeepEqual(t, Merge(ab, c), Merge(a, Merge(b, c)))
		assert.DeepEqual(t, Merge(ab, ab), ab)
		for i := 1; i < len(ab); i++ {
			assert.Assert(t, ab[i-1].ID < ab[i].ID)
		}
	})
}

func newTestRecords(maxRecords int) *LocalRecords {
	return NewLocalRecords(LocalRecordsOptions{Router: "r1", Incarnation: 7, MaxRecords: maxRecords})
}

// Guards against hundreds of records for one flapping endpoint, and against a
// later failure that is added to an old record instead of a new one.
func TestFlappingContinuesRecord(t *testing.T) {
	l := newTestRecords(0)
	now := testStart
	var ids []string
	for range 100 {
		id := l.Open(api.RecordKindEndpointDown, "e1", "z", now, "down", "", "", "replace it")
		ids = append(ids, id)
		assert.Equal(t, l.Lookup(api.RecordKindEndpointDown, "e1"), id)
		assert.Assert(t, l.Close(id, now.Add(time.Second), ""))
		assert.Assert(t, !l.Close(id, now.Add(time.Second), ""))
		now = now.Add(10 * time.Second)
	}
	assert.Equal(t, len(slices.Compact(ids)), 1)
	record := l.Records()[0]
	assert.Equal(t, record.Times, 100)
	assert.Equal(t, record.SinceUnixMs, unixMillis(testStart))
	assert.Equal(t, record.Remaining, "")
	later := l.Open(api.RecordKindEndpointDown, "e1", "z", now.Add(time.Hour), "down", "", "", "")
	assert.Assert(t, later != ids[0])
}

// Guards against these faults: a router keeps more records than MaxRecords; a loss is
// not counted; an unwritten record is evicted for a new one.
func TestLocalRecordsAreBoundedAndCountLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTestRecords(8)
		made := map[string]bool{}
		stored := newRecordSet()
		refused := 0
		now := testStart
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				id := l.Open(api.RecordKindOrderFailed, fmt.Sprint(i), "", now, strings.Repeat("é", 400), "", "", "")
				if id == "" {
					refused++
					continue
				}
				assert.Assert(t, !made[id])
				made[id] = true
			case 2:
				for _, r := range l.Records() {
					l.Close(r.ID, now, "")
				}
			case 3:
				batch := l.Batch(4 << 10)
				data, err := EncodeBatch(batch)
				assert.NilError(t, err)
				assert.Assert(t, len(data) <= 4<<10)
				_, err = DecodeBatch(data)
				assert.NilError(t, err)
				stored.add(batch.Records...)
				l.MarkWritten(batch)
			}
			assert.Assert(t, len(l.Records()) <= 8+1)
		}
		stored.add(l.Records()...)
		lost := 0
		for _, r := range stored.sorted() {
			if r.Kind == api.RecordKindRecordsLost {
				lost += r.Counts[LostNoSpace]
				continue
			}
			assert.Assert(t, made[r.ID])
			delete(made, r.ID)
		}
		assert.Equal(t, lost, refused)
		assert.Equal(t, len(made), 0)
	})
}

// Guards against refusals that are counted twice or not at all across intervals
// and counter resets.
func TestCountsAreDifferences(t *testing.T) {
	l := newTestRecords(0)
	l.RecordCounts(testStart, map[string]int64{"refusals.overloaded": 5})
	l.RecordCounts(testStart.Add(time.Minute), map[string]int64{"refusals.overloaded": 7, "retries.stream_cut": 1, "platform.calls.get": 9})
	l.RecordCounts(testStart.Add(2*time.Minute), map[string]int64{"refusals.overloaded": 7, "retries.stream_cut": 1})
	l.RecordCounts(testStart.Add(3*time.Minute), map[string]int64{"refusals.overloaded": 3, "retries.stream_cut": 1})
	batch := l.Batch(MaxBatchBytes)
	assert.Equal(t, len(batch.Records), 3)
	assert.DeepEqual(t, batch.Records[0].Counts, api.ReasonCounts{"overloaded": 2})
	assert.DeepEqual(t, batch.Records[1].Counts, api.ReasonCounts{"stream_cut": 1})
	assert.DeepEqual(t, batch.Records[2].Counts, api.ReasonCounts{"overloaded": 3})
	assert.Equal(t, batch.Records[0].SinceUnixMs, unixMillis(testStart))
}

// Guards against copies that use unbounded memory, and against copies that are kept as
// those of a router that did not create the records.
func TestPeerCopiesAreBoundedPerOrigin(t *testing.T) {
	h := NewPeerCopies()
	taken, dropped := 0, 0
	for i := range 2 * maxCopiesPerOrigin {
		record := api.Record{ID: fmt.Sprint("r2/", i), Sequence: uint64(i + 1), Kind: api.RecordKindIsolated, Router: "r2"}
		n, err := h.Add(api.RecordBatch{Router: "r2", Records: []api.Record{record}}, testStart)
		assert.NilError(t, err)
		taken++
		dropped += n
	}
	assert.Equal(t, dropped, taken-maxCopiesPerOrigin)
	assert.Equal(t, len(h.Records("r2")), maxCopiesPerOrigin)
	_, err := h.Add(api.RecordBatch{Router: "r3", Records: h.Records("r2")[:1]}, testStart)
	assert.ErrorIs(t, err, ErrInvalidBatch)
	h.RemoveStored("r2", testStart, h.Records("r2"))
	assert.Equal(t, len(h.DueRouters(testStart.Add(time.Hour), 0)), 0)
}

// Guards against stored bytes that make a reader panic, and against decoded
// batches that exceed the bounds or cannot be encoded again.
func FuzzDecodeBatch(f *testing.F) {
	l := newTestRecords(0)
	l.RecordEvent(api.RecordKindNoteAccepted, "12", "", testStart, "note 12 accepted", "", "", "")
	l.RecordCounts(testStart, nil)
	l.RecordCounts(testStart.Add(time.Minute), map[string]int64{"refusals.overloaded": 7})
	seed, err := EncodeBatch(l.Batch(MaxBatchBytes))
	assert.NilError(f, err)
	f.Add(seed)
	f.Add([]byte{0xa1, 0x67})
	f.Fuzz(func(t *testing.T, data []byte) {
		batch, err := DecodeBatch(data)
		if err != nil {
			assert.ErrorIs(t, err, ErrInvalidBatch)
			return
		}
		assert.NilError(t, checkBatch(batch))
		again, err := EncodeBatch(batch)
		assert.NilError(t, err)
		decoded, err := DecodeBatch(again)
		assert.Assert(t, err == nil || len(again) > MaxBatchBytes)
		if err == nil {
			third, err := EncodeBatch(decoded)
			assert.NilError(t, err)
			assert.DeepEqual(t, third, again)
		}
		report := BuildReport(batch.Records, time.Time{}, time.UnixMilli(maxUnixMs), testStart)
		assert.NilError(t, report.WriteText(io.Discard))
		assert.NilError(t, report.WriteJSON(io.Discard))
	})
}

// BenchmarkBatch reports the encoded size of typical records.
func BenchmarkBatch(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			local := newTestRecords(0)
			for i := range n {
				local.Open(api.RecordKindEndpointDown, fmt.Sprintf("chat-large-%04d", i), "bostandyk", testStart,
					"the endpoint answers no load poll", "its running streams are resumed at other endpoints",
					"moved its chats to other endpoints", "replace the instance if it does not return")
			}
			var size int
			for b.Loop() {
				data, err := EncodeBatch(local.Batch(MaxBatchBytes))
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes/batch")
			b.ReportMetric(float64(size)/float64(n), "bytes/record")
		})
	}
}
