package rollout

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// fullCounter returns a counter that has reached all bounds.
func fullCounter() *Counter {
	c := NewCounter(testRollout().ID)
	for i := range 500 {
		target := i%2 == 0
		c.RecordSent(target)
		if i%10 > 0 {
			c.RecordEnd(target)
		}
		c.RecordAnswer(Answer{
			Target: target, Route: fmt.Sprint("a-route-with-a-long-name-", i/4), Endpoint: fmt.Sprint("e", i),
			Failed: i%7 == 0, Elapsed: time.Duration(i+1) * time.Millisecond, Goal: 60 * time.Millisecond,
		})
	}
	return c
}

// Guards against reports that grow with the number of routes or endpoints, that lose counts on
// the wire, or that CBOR encodes at a larger size.
func TestReportCodec(t *testing.T) {
	report := fullCounter().Report(0.25)
	assert.Equal(t, len(report.Endpoints), MaxEndpoints)
	assert.Equal(t, len(routeNames(report.Target, report.Old)), MaxRoutes)
	assert.Equal(t, report.OldInFlight, uint32(0))
	data, err := cbor.Marshal(map[int]Report{1: report})
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 3<<10, "%d bytes", len(data))
	var decoded map[int]Report
	assert.NilError(t, cbor.Unmarshal(data, &decoded))
	assert.DeepEqual(t, decoded[1], report)

	usual := NewCounter("0123456789abcdef")
	for i := range 200 {
		usual.RecordAnswer(Answer{Target: i%4 == 0, Route: fmt.Sprint("route-", i%3), Endpoint: fmt.Sprint("e", i%16), Elapsed: time.Second, Goal: time.Second})
	}
	data, err = cbor.Marshal(usual.Report(1))
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 300, "%d bytes", len(data))
}

// Guards against a datagram of another sender that ends the process or is taken as a report.
func TestReportCodecRejects(t *testing.T) {
	data, err := fullCounter().Report(1).MarshalBinary()
	assert.NilError(t, err)
	var r Report
	for n := range data {
		assert.ErrorIs(t, r.UnmarshalBinary(data[:n]), ErrReport)
	}
	assert.ErrorIs(t, r.UnmarshalBinary(append(data, 0)), ErrReport)
	assert.ErrorIs(t, r.UnmarshalBinary([]byte{reportFormat, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01}), ErrReport)
}

// Guards against times in the wrong bucket, against slow answers of cold endpoints or fast
// failures that count as times, and against the loss of routes beyond the bound.
func TestCounterTallies(t *testing.T) {
	c := NewCounter("o")
	for ratio, bucket := range map[float64]int{0.01: 0, 0.0625: 0, 0.07: 1, 0.5: 3, 1: 4, 1.01: 5, 4: 6, 4.1: 7, 1000: 7} {
		var tally Tally
		tally.add(Answer{Elapsed: time.Duration(ratio * float64(time.Second)), Goal: time.Second})
		assert.Equal(t, tally.Slow[bucket], uint32(1), "ratio %v: %v", ratio, tally.Slow)
		want := min(math.Log2(ratio)+logOffset, 2*logOffset) * logUnits
		assert.Assert(t, math.Abs(float64(tally.LogTime)-want) <= 0.5, "ratio %v: %v", ratio, tally.LogTime)
	}
	c.RecordAnswer(Answer{Target: true, Route: "r", Failed: true, Elapsed: time.Millisecond, Goal: time.Second})
	c.RecordAnswer(Answer{Target: true, Route: "r", Cold: true, Elapsed: 9 * time.Second, Goal: time.Second})
	assert.DeepEqual(t, c.Report(0).Target["r"], Tally{Answers: 2, Failed: 1})
	for i := range 30 {
		c.RecordAnswer(Answer{Route: fmt.Sprint(i)})
	}
	assert.Equal(t, c.Report(0).Old[""].Answers, uint32(15))
}

func reportOf(seq, answers uint32, share float64, oldInFlight uint32) Report {
	return Report{
		Order: "o", Seq: seq, Share: share, OldInFlight: oldInFlight, TargetSent: answers,
		Target: map[string]Tally{"r": {Answers: answers}}, Endpoints: map[uint32]Tally{7: {Answers: answers}},
	}
}

// Guards against counts that a lost, repeated or reordered report, or the restart of a router,
// loses or counts twice.
func TestCollectorMerges(t *testing.T) {
	c := NewCollector("o")
	c.Add(start, "a", 1, reportOf(1, 10, 0, 0))
	c.Add(start, "a", 1, reportOf(3, 30, 0, 0)) // the second was lost
	c.Add(start, "a", 1, reportOf(2, 20, 0, 0)) // late
	c.Add(start, "a", 1, reportOf(3, 30, 0, 0)) // twice
	c.Add(start, "b", 1, reportOf(1, 5, 0, 0))
	c.Add(at(time.Second), "a", 2, reportOf(1, 4, 0, 0)) // restarted
	other := reportOf(9, 100, 0, 0)
	other.Order = "another"
	c.Add(start, "a", 2, other)
	counts := c.Counts(at(time.Second), Capacity{})
	assert.Equal(t, counts.Target["r"].Answers, uint32(39))
	assert.Equal(t, counts.Endpoints[7].Answers, uint32(39))
	assert.Equal(t, counts.TargetSent, uint64(39))
	assert.Equal(t, counts.Routers, 2)
}

// Guards against a roll-out that is done while a router still sends to old endpoints, and against
// one that waits forever for a router that is lost.
func TestCollectorConfirmations(t *testing.T) {
	c := NewCollector("o")
	c.Add(start, "a", 1, reportOf(1, 1, 1, 0))
	c.Add(start, "b", 1, reportOf(1, 1, 1, 2))
	c.Add(start, "c", 1, reportOf(1, 1, 0.5, 0))
	counts := c.Counts(start, Capacity{})
	assert.DeepEqual(t, []int{counts.Routers, counts.Confirmed, counts.OldInFlight, counts.Silent}, []int{3, 1, 2, 0})
	c.Add(at(3*time.Second), "a", 1, reportOf(2, 1, 1, 0))
	counts = c.Counts(at(3*time.Second), Capacity{})
	assert.DeepEqual(t, []int{counts.Routers, counts.Confirmed, counts.OldInFlight, counts.Silent}, []int{1, 1, 0, 2})
	assert.Equal(t, c.Counts(at(11*time.Second), Capacity{}).Silent, 1)
}

// Guards against late failures that the answers before them hide.
func TestCollectorRecent(t *testing.T) {
	c := NewCollector("o")
	for i := range 20 {
		c.Add(at(time.Duration(i)*500*time.Millisecond), "a", 1, reportOf(uint32(i+1), uint32(i+1)*10, 1, 0))
	}
	recent := c.Counts(at(9500*time.Millisecond), Capacity{}).Recent
	assert.Assert(t, recent.TargetSent >= 40 && recent.TargetSent <= 60, "%d", recent.TargetSent)
}
