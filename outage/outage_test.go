package outage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	lifetime = 1800 * time.Millisecond
	grace    = 2 * time.Second
)

var start = time.Unix(1000, 0)

// at returns a time in seconds after start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func answersFrom(since, until float64, afterOutage bool) Answers {
	return Answers{Since: at(since), Until: at(until), AfterOutage: afterOutage}
}

// newTracker returns the tracker of a router that the store has answered from 0 to 1 s.
func newTracker() *Tracker {
	t := New(Config{EntryLifetime: lifetime, Grace: grace})
	t.RecordAnswer(at(0))
	t.RecordAnswer(at(1))
	return t
}

// Guards against these faults: a partition between one router and the store is taken for an outage
// of the store, so that the router keeps endpoints that are gone; a real outage is missed, so that
// it drops all endpoints; the grace begins later than the store's return.
func TestGrace(t *testing.T) {
	for name, c := range map[string]struct {
		then  func(*Tracker)
		now   float64
		until float64 // 0 for no grace
	}{
		"no outage": {func(tr *Tracker) {
			tr.RecordAnswer(at(2))
		}, 2.1, 0},
		"short interruption": {func(tr *Tracker) {
			tr.RecordFailure(at(1.2))
			tr.RecordAnswer(at(2.7))
		}, 2.8, 0},
		"outage that lasts": {func(tr *Tracker) { tr.RecordFailure(at(2)) }, 6, 8},
		"end of an outage": {func(tr *Tracker) {
			tr.RecordFailure(at(2))
			tr.RecordAnswer(at(6))
			tr.RecordAnswer(at(7))
		}, 7, 8},
		"two outages": {func(tr *Tracker) {
			tr.RecordFailure(at(2))
			tr.RecordAnswer(at(6))
			tr.RecordFailure(at(7))
			tr.RecordAnswer(at(9))
		}, 9, 11},
		"others were answered meanwhile": {func(tr *Tracker) {
			for s := 1.5; s < 6; s += 0.5 {
				tr.RecordFailure(at(s))
				tr.Receive(answersFrom(s, s, false), false)
			}
		}, 6, 0},
		"another router saw no outage, heard after the own call": {func(tr *Tracker) {
			tr.RecordFailure(at(5))
			tr.RecordAnswer(at(6))
			tr.Receive(answersFrom(-100, 5.8, false), false)
		}, 6.2, 0},
		"another router saw no outage since an earlier one": {func(tr *Tracker) {
			tr.RecordFailure(at(5))
			tr.Receive(answersFrom(-100, 5.8, true), false)
			tr.RecordAnswer(at(6))
		}, 6.2, 0},
		"another router has just started": {func(tr *Tracker) {
			tr.RecordFailure(at(5))
			tr.RecordAnswer(at(6))
			tr.Receive(answersFrom(5.9, 6.1, false), false)
		}, 6.2, 7.9},
		"another router saw the outage, own calls none": {func(tr *Tracker) {
			tr.Receive(answersFrom(3, 3.2, true), false)
		}, 3.3, 5},
		"another router saw the end first": {func(tr *Tracker) {
			tr.RecordFailure(at(2))
			tr.RecordAnswer(at(6.9))
			tr.Receive(answersFrom(6, 6.8, true), false)
		}, 7, 8},
		"late report from before the outage": {func(tr *Tracker) {
			tr.RecordFailure(at(2))
			tr.RecordAnswer(at(6))
			tr.Receive(answersFrom(-100, 1.2, false), false)
		}, 6.2, 8},
		"invalid report": {func(tr *Tracker) {
			tr.RecordFailure(at(2))
			tr.Receive(answersFrom(5, -100, false), false)
		}, 6, 8},
		"router that did not run": {func(tr *Tracker) {
			tr.RecordAnswer(at(6)) // no call failed
		}, 6.1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			tr := newTracker()
			c.then(tr)
			until := tr.GraceUntil(at(c.now))
			if c.until == 0 {
				assert.Assert(t, !until.After(at(c.now)), "grace until %v", until)
				return
			}
			assert.Assert(t, until.Equal(at(c.until)), "grace until %v", until)
		})
	}
}

// Guards against a router that starts in an outage and drops the endpoints whose entries lapse just
// after it, and against one that has just started and takes one failed call for an outage although
// others were answered.
func TestGraceAfterStart(t *testing.T) {
	tr := New(Config{EntryLifetime: lifetime, Grace: grace})
	assert.Assert(t, tr.GraceUntil(at(0)).IsZero())
	tr.RecordFailure(at(0))
	tr.RecordAnswer(at(1))
	assert.Assert(t, tr.GraceUntil(at(1)).Equal(at(3)))
	tr.Receive(answersFrom(-100, 0.9, false), false)
	assert.Assert(t, tr.GraceUntil(at(1)).IsZero())
}

// Guards against answers that are passed on in a circle, so that routers go on to believe in them
// when the store has ceased to answer, and against relays that do not tell what a router that
// watches the store itself has reported.
func TestReport(t *testing.T) {
	tr := newTracker()
	tr.Receive(answersFrom(-100, 1.5, true), false)
	report, ok := tr.Report(at(2), true)
	assert.Assert(t, ok)
	assert.DeepEqual(t, report, answersFrom(-100, 1, true))
	_, ok = tr.Report(at(2.8), true)
	assert.Assert(t, !ok, "the last own answer is too old")

	tr.Receive(answersFrom(1, 2.5, false), true)
	report, ok = tr.Report(at(2.8), true)
	assert.Assert(t, ok)
	assert.DeepEqual(t, report, answersFrom(-100, 2.5, true))
	_, ok = tr.Report(at(2.8), false)
	assert.Assert(t, !ok, "only relays pass on answers")

	_, ok = New(Config{EntryLifetime: lifetime}).Report(at(0), true)
	assert.Assert(t, !ok, "no answer yet")
}
