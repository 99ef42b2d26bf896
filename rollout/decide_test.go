package rollout

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// evenCounts returns counts with answers of both versions on some routes and endpoints, with the
// same number of answers on each.
func evenCounts(answers, failed, oldAnswers, oldFailed, routes, endpoints int) Counts {
	c := emptyCounts()
	for i := range routes {
		route := fmt.Sprint("r", i)
		c.Target[route] = Tally{Answers: uint32(answers / routes), Failed: uint32(failed / routes)}
		c.Old[route] = Tally{Answers: uint32(oldAnswers / routes), Failed: uint32(oldFailed / routes)}
	}
	for i := range endpoints {
		c.Endpoints[uint32(i)] = Tally{Answers: uint32(answers / endpoints), Failed: uint32(failed / endpoints)}
	}
	c.TargetSent, c.OldSent = uint64(answers), uint64(oldAnswers)
	c.Routers, c.Confirmed = 3, 3
	c.Capacity = Capacity{TargetEndpoints: endpoints, OldEndpoints: 8}
	return c
}

// good returns counts that pass the test with the minimum of answers.
func good() Counts { return evenCounts(400, 0, 4000, 0, 2, 8) }

func with(c Counts, change func(*Counts)) Counts {
	change(&c)
	return c
}

// Each row guards against a decision that ends a roll-out wrongly, too early or too late.
func TestDecide(t *testing.T) {
	failed := evenCounts(100, 40, 2000, 0, 1, 8)
	noEndpoints := with(good(), func(c *Counts) { c.TargetEndpoints = 0 })
	noAnswers := with(evenCounts(0, 0, 2000, 0, 1, 8), func(c *Counts) { c.Endpoints = nil })
	oneNotConfirmed := with(good(), func(c *Counts) { c.Confirmed, c.OldInFlight = 2, 5 })
	few := evenCounts(40, 0, 4000, 0, 2, 8)
	for _, test := range []struct {
		name   string
		at     time.Duration // since the order, of 12 s
		share  float64
		since  time.Duration // of the share
		counts Counts
		state  State
		next   float64
		reason string
	}{
		{"canary", 5 * time.Second, 0.05, 0, good(), Running, 0.05, ""},
		{"bad in the canary stage", 2 * time.Second, 0.05, 0, failed, RolledBack, 0, ReasonFailures},
		{"canary over", 7500 * time.Millisecond, 0.05, 0, good(), Running, 0.25, ""},
		{"canary over, no endpoint", 7500 * time.Millisecond, 0.05, 0, noEndpoints, Running, 0.05, ""},
		{"canary over, most routers silent", 7500 * time.Millisecond, 0.05, 0, with(good(), func(c *Counts) { c.Silent = 4 }), Running, 0.05, ""},
		{"canary over, one router lost", 7500 * time.Millisecond, 0.05, 0, with(good(), func(c *Counts) { c.Silent = 1 }), Running, 0.25, ""},
		{"canary over, no reports", 7500 * time.Millisecond, 0.05, 0, with(good(), func(c *Counts) { c.Routers = 0 }), Running, 0.05, ""},
		{"second stage begun", 8 * time.Second, 0.25, 7500 * time.Millisecond, good(), Running, 0.25, ""},
		{"second stage over", 9500 * time.Millisecond, 0.25, 7500 * time.Millisecond, good(), Running, 1, ""},
		{"second stage over, too few answers", 8900 * time.Millisecond, 0.25, 6900 * time.Millisecond, few, Running, 0.25, ""},
		{"second stage over, too few answers, waived", 9500 * time.Millisecond, 0.25, 7500 * time.Millisecond, few, Running, 1, ""},
		{"second stage is late", 10500 * time.Millisecond, 0.25, 10 * time.Second, good(), Running, 1, ""},
		{"last stage begun", 9700 * time.Millisecond, 1, 9500 * time.Millisecond, good(), Running, 1, ""},
		{"last stage over", 10300 * time.Millisecond, 1, 9500 * time.Millisecond, good(), Done, 1, ""},
		{"last stage over, one router not confirmed", 10300 * time.Millisecond, 1, 9500 * time.Millisecond, oneNotConfirmed, Running, 1, ""},
		{"at 0.92 one router not confirmed", 11100 * time.Millisecond, 1, 9500 * time.Millisecond, oneNotConfirmed, Done, 1, ""},
		{"at 0.92 share 1 just begun", 11100 * time.Millisecond, 1, 11 * time.Second, good(), Running, 1, ""},
		{"bad in the last stage", 10300 * time.Millisecond, 1, 9500 * time.Millisecond, failed, RolledBack, 0, ReasonFailures},
		{"no endpoint", 11 * time.Second, 0.05, 0, noEndpoints, Running, 0.05, ""},
		{"no endpoint at the deadline", 11500 * time.Millisecond, 0.05, 0, noEndpoints, RolledBack, 0, ReasonNoEndpoints},
		{"no endpoint left in the last stage", 10300 * time.Millisecond, 1, 9500 * time.Millisecond, noEndpoints, Running, 1, ""},
		{"no answer at the deadline", 11500 * time.Millisecond, 0.05, 0, noAnswers, RolledBack, 0, ReasonNoAnswers},
		{"good but late: done late rather than false", 13 * time.Second, 0.25, 12800 * time.Millisecond, good(), Running, 0.25, ""},
		{"late, last stage", 14 * time.Second, 1, 13300 * time.Millisecond, good(), Done, 1, ""},
		{"too few slots", 9500 * time.Millisecond, 0.25, 7500 * time.Millisecond, with(good(), func(c *Counts) { c.TargetSlots, c.InFlight = 60, 100 }), Running, 0.5, ""},
		{"too few slots, in force", 10300 * time.Millisecond, 1, 9500 * time.Millisecond, with(oneNotConfirmed, func(c *Counts) { c.TargetSlots, c.InFlight = 110, 100 }), Running, 1, ""},
		{"slots lost", 10300 * time.Millisecond, 1, 9500 * time.Millisecond, with(oneNotConfirmed, func(c *Counts) { c.TargetSlots, c.InFlight = 50, 100 }), Running, 0.492, ""},
	} {
		r := testRollout()
		current := statusOf(r, Running, test.share)
		current.Since = at(test.since)
		next, _ := Decide(at(test.at), r, current, test.counts)
		assert.Equal(t, next.State, test.state, test.name)
		assert.Assert(t, next.Share > test.next-0.001 && next.Share < test.next+0.001, "%s: %v", test.name, next.Share)
		assert.Equal(t, next.Reason, test.reason, test.name)
		assert.Equal(t, next.Started, current.Started, test.name)
	}
}

// Guards against a status of another order that is taken for the one of this order, against a
// verdict that changes, and against a period that has passed before any router decided.
func TestDecideOrders(t *testing.T) {
	r := testRollout()
	old := statusOf(New("tags", "v2", 12*time.Second, at(-time.Hour)), RolledBack, 0)
	next, _ := Decide(at(time.Second), r, old, good())
	assert.Equal(t, next.State, Running)
	assert.Equal(t, next.Order, r.ID)
	assert.Equal(t, next.Share, 0.05)
	assert.Equal(t, next.Reason, "")

	for _, final := range []State{Done, RolledBack} {
		next, _ = Decide(at(time.Second), r, statusOf(r, final, 0), evenCounts(100, 40, 2000, 0, 1, 8))
		assert.Equal(t, next.State, final)
	}

	// The store was down for an hour after the order.
	next, _ = Decide(at(time.Hour), r, Status{}, Counts{})
	assert.Equal(t, next.State, Running)
	assert.Equal(t, Deadline(r, next), at(time.Hour+r.Period))
	next, _ = Decide(at(time.Hour+time.Second), r, next, Counts{})
	assert.Equal(t, next.State, Running)
}

// Guards against a canary stage of a service with few requests that has no answers to test, and
// against one that spends the exposure that the last stage needs.
func TestDecideCanaryShare(t *testing.T) {
	for sent, want := range map[int]float64{30: 0.14, 300: 0.1, 900: 0.08, 3000: 0.05, 30000: 0.05} {
		r := testRollout()
		next, _ := Decide(at(3*time.Second), r, statusOf(r, Running, 0.05), evenCounts(0, 0, sent, 0, 1, 8))
		assert.Equal(t, next.Share, want, "%d requests in 3 s", sent)
	}
	for endpoints, want := range map[int]float64{1: 0.5, 2: 0.5, 3: 1.0 / 3, 4: 0.25, 6: 2.0 / 6, 8: 0.25, 16: 3.0 / 16, 100: 0.15} {
		assert.Equal(t, focusShare(endpoints), want, "%d endpoints", endpoints)
	}
}

// Guards against settings of the exposure that only switch roll-outs on: with a bound of 0.02 a
// canary stage of 0.05 is over the bound before any test.
func TestDecideBounds(t *testing.T) {
	for _, test := range []struct {
		bounds           Bounds
		first, few, many float64 // shares: of the first status, with 30 and with 900 requests in 3 s
	}{
		{Bounds{}, 0.05, 0.14, 0.08},
		{Bounds{Share: 0.1, Slack: 50}, 0.05, 0.14, 0.08},
		{Bounds{Share: 0.1}, 0.05, 0.07, 0.07},
		{Bounds{Share: 0.02, Slack: 50}, 0.01, 0.028, 0.02},
		{Bounds{Share: 0.02}, 0.01, 0.01, 0.01},
		{Bounds{Share: 0.2, Slack: 50}, 0.1, 0.14, 0.11},
		{Bounds{Share: 1, Slack: 50}, 0.14, 0.14, 0.14},
	} {
		r := testRollout()
		r.Bounds = test.bounds
		next, _ := Decide(at(0), r, Status{}, evenCounts(0, 0, 0, 0, 1, 8))
		assert.Equal(t, next.Share, test.first, "%+v", test.bounds)
		for sent, want := range map[int]float64{30: test.few, 900: test.many} {
			later, _ := Decide(at(3*time.Second), r, next, evenCounts(0, 0, sent, 0, 1, 8))
			assert.Equal(t, later.Share, want, "%+v, %d requests in 3 s", test.bounds, sent)
		}
	}
}

// Guards against a verdict that is lost or changes while the store is down, after which the old
// version would be tried again or the bad one go on.
func TestControllerStoreDown(t *testing.T) {
	var c Controller
	r := testRollout()
	stored, _ := c.Step(start, r, Status{}, Counts{})
	bad, _ := c.Step(at(2*time.Second), r, stored, evenCounts(100, 40, 2000, 0, 1, 8))
	assert.Equal(t, bad.State, RolledBack)
	for i := range 100 { // the store answers with the status from before, and the counts are gone
		next, _ := c.Step(at(time.Duration(i)*time.Second), r, stored, Counts{})
		assert.Equal(t, next, bad)
	}
	next, _ := c.Step(at(time.Minute), r, bad, Counts{})
	assert.Assert(t, next.SameContent(bad), "nothing is left to write")
}

// Guards against two relays that overwrite each other for ever, or a loser of the conditional
// write that does not take over what the store holds.
func TestControllerTwoWriters(t *testing.T) {
	r := testRollout()
	var a, b Controller
	first, _ := a.Step(start, r, Status{}, Counts{})
	second, _ := b.Step(at(10*time.Millisecond), r, Status{}, Counts{})
	assert.Assert(t, !first.SameContent(second))
	next, _ := b.Step(at(time.Second), r, first, good())
	assert.Assert(t, next.SameContent(first), "the loser takes over the first write: %v", next)

	// a was cut off while b went on.
	onward := first
	onward.Share = 0.25
	next, _ = a.Step(at(8*time.Second), r, onward, good())
	assert.Equal(t, next.Share, 0.25)
	next, _ = a.Step(at(10*time.Second), r, onward, good())
	assert.Equal(t, next.Share, 1.0)
	next, _ = a.Step(at(10250*time.Millisecond), r, onward, good())
	assert.Equal(t, next.Share, 1.0, "the store is behind")

	// b decided the other verdict, and won the write.
	bad, _ := a.Step(at(10500*time.Millisecond), r, onward, evenCounts(100, 40, 2000, 0, 1, 8))
	assert.Equal(t, bad.State, RolledBack)
	done := onward
	done.State, done.Share = Done, 1
	next, _ = a.Step(at(11*time.Second), r, done, good())
	assert.Equal(t, next.State, Done)
}

// Guards against a relay that takes over and starts from the canary stage, or skips the stage's
// time; and against own shares that come back late from the store and undo a newer one.
func TestControllerTakeover(t *testing.T) {
	r := testRollout()
	known := statusOf(r, Running, 0.25)
	var c Controller
	next, _ := c.Step(at(8*time.Second), r, known, good())
	assert.Equal(t, next.Share, 0.25)
	next, _ = c.Step(at(8500*time.Millisecond), r, known, good())
	assert.Equal(t, next.Share, 0.25, "the stage is not over")
	next, _ = c.Step(at(10*time.Second), r, known, good())
	assert.Equal(t, next.Share, 1.0)

	full := next
	small := with(good(), func(c *Counts) { c.Confirmed, c.TargetSlots, c.InFlight = 0, 50, 100 })
	lowered, _ := c.Step(at(10250*time.Millisecond), r, known, small)
	assert.Assert(t, lowered.Share < 0.5)
	next, _ = c.Step(at(10500*time.Millisecond), r, full, small)
	assert.Equal(t, next.Share, lowered.Share, "own share of before")
}

// Guards against a second order, or one back to the old version, that goes on with the state of
// the one before it.
func TestControllerSecondOrder(t *testing.T) {
	var c Controller
	r := testRollout()
	_, _ = c.Step(start, r, Status{}, Counts{})
	bad, _ := c.Step(at(2*time.Second), r, Status{}, evenCounts(100, 40, 2000, 0, 1, 8))
	assert.Equal(t, bad.State, RolledBack)
	for i, target := range []string{"v2", "v1"} {
		created := at(time.Duration(i+1) * time.Minute)
		again := New("tags", target, 12*time.Second, created)
		next, _ := c.Step(created.Add(time.Second), again, bad, Counts{})
		assert.Equal(t, next.State, Running)
		assert.Equal(t, next.Target, target)
		assert.Equal(t, next.Order, again.ID)
	}
}
