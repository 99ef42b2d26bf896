package rollout

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	start = time.UnixMilli(1_700_000_000_000)
	both  = Request{OldServes: true, TargetServes: true}
	// oldAndBarred is both after a roll-back.
	oldAndBarred = Request{OldServes: true, BarredServes: true}
)

func at(d time.Duration) time.Time { return start.Add(d) }

func testRollout() Rollout { return New("tags", "v2", 12*time.Second, start) }

// statusOf returns a status of the roll-out that was decided at its start.
func statusOf(r Rollout, state State, share float64) Status {
	return Status{State: state, Target: r.Target, Order: r.ID, Share: share, Started: r.Created.Add(100 * time.Millisecond)}
}

func running(share float64) *Limiter {
	r := testRollout()
	l := NewLimiter("r1")
	l.SetRollout(r)
	l.SetStatus(start, FromStore, statusOf(r, Running, share))
	return l
}

// countTarget makes n requests and returns how many went to the target.
func countTarget(l *Limiter, now time.Time, n int) int {
	sent := 0
	for range n {
		if l.Allow(now, both) == TargetFirst {
			l.RecordSent(true)
			sent++
		}
	}
	return sent
}

// Guards against a router that exceeds the share, or does not use it.
func TestLimiterKeepsShare(t *testing.T) {
	for _, share := range []float64{0, 0.05, 0.13, 0.25, 0.5, 1} {
		sent := countTarget(running(share), start, 1000)
		assert.Assert(t, float64(sent) >= 1000*share-1 && float64(sent) <= 1000*share+1, "%v: %d", share, sent)
	}
}

// Guards against a fleet whose routers each get a few requests and together exceed or never
// reach the share, because all start with the same credit.
func TestLimiterFleetShare(t *testing.T) {
	r := testRollout()
	sent := 0
	for i := range 350 {
		l := NewLimiter(fmt.Sprint("router-", i))
		l.SetRollout(r)
		l.SetStatus(start, FromRelay, statusOf(r, Running, 0.05))
		sent += countTarget(l, start, 4)
	}
	assert.Assert(t, sent > 40 && sent < 100, "%d of 1400 at share 0.05", sent)
}

// Guards against turns that could not be used and then reach the target as a burst, and against
// retries that are counted as new requests.
func TestLimiterTurns(t *testing.T) {
	l := running(0.5)
	for range 100 {
		if l.Allow(start, both) == TargetFirst {
			l.RecordSent(false)
		}
	}
	assert.Assert(t, countTarget(l, start, 4) <= 3)

	l, sent := running(0.5), 0
	for range 100 {
		request := both
		request.Repeated = true
		if l.Allow(start, request) == TargetFirst {
			l.RecordSent(true)
			sent++
		}
	}
	assert.Assert(t, sent <= 1, "retries add no credit: %d", sent)
}

// Each row guards against a request that is sent to a version that must not get it, or refused
// although a version may serve it.
func TestLimiterChoices(t *testing.T) {
	onlyTarget, onlyOld, nothing := Request{TargetServes: true}, Request{OldServes: true}, Request{}
	onlyBarred := Request{BarredServes: true}
	r := testRollout()
	for _, test := range []struct {
		name    string
		status  *Status
		rollout bool
		after   time.Duration
		request Request
		want    Choice
	}{
		{"no roll-out", nil, false, 0, both, AnyVersion},
		{"order without status", nil, true, 0, both, OldOnly},
		{"order without status, no old endpoint", nil, true, 0, onlyTarget, TargetOnly},
		{"share 1", &Status{State: Running, Share: 1}, true, 0, both, TargetFirst},
		{"share 1 is never stale", &Status{State: Running, Share: 1}, true, time.Minute, both, TargetFirst},
		{"stale share", &Status{State: Running, Share: 0.999}, true, 1501 * time.Millisecond, both, OldOnly},
		{"stale share, no old endpoint", &Status{State: Running, Share: 0.5}, true, time.Minute, onlyTarget, TargetOnly},
		{"done", &Status{State: Done, Share: 1}, true, time.Minute, both, TargetOnly},
		{"done, no target endpoint", &Status{State: Done, Share: 1}, true, 0, onlyOld, OldOnly},
		{"rolled back", &Status{State: RolledBack}, true, time.Minute, oldAndBarred, OldOnly},
		{"rolled back, no old endpoint", &Status{State: RolledBack}, true, time.Minute, onlyBarred, Refuse},
		{"rolled back, no endpoint", &Status{State: RolledBack}, true, 0, nothing, AnyVersion},
	} {
		l := NewLimiter("r1")
		if test.rollout {
			l.SetRollout(r)
		}
		if test.status != nil {
			s := *test.status
			s.Target, s.Order, s.Started = r.Target, r.ID, r.Created
			l.SetStatus(start, FromStore, s)
		}
		assert.Equal(t, l.Allow(at(test.after), test.request), test.want, test.name)
	}
}

// Guards against a router that goes on with a share that it can't confirm, and against one that
// stops although the store or a relay confirms the share.
func TestLimiterFreshness(t *testing.T) {
	l := running(0.5)
	assert.Equal(t, l.Share(at(1500*time.Millisecond)), 0.5)
	assert.Equal(t, l.Share(at(1600*time.Millisecond)), 0.0)
	assert.Assert(t, l.Stale(at(1600*time.Millisecond)))
	l.Confirm(at(1400 * time.Millisecond))
	l.Confirm(at(200 * time.Millisecond)) // late
	assert.Equal(t, l.Share(at(2900*time.Millisecond)), 0.5)
}

// Guards against a rolled back version that gets requests again: after the order's object is
// deleted, after a restart with the status in the store, by a late or stale status, or by a
// verdict that arrives before the order.
func TestLimiterRemembersVerdict(t *testing.T) {
	r := testRollout()
	l := running(0.5)
	l.SetStatus(at(time.Second), FromRelay, statusOf(r, RolledBack, 0))
	l.SetStatus(at(2*time.Second), FromStore, statusOf(r, Running, 0.5))
	l.SetStatus(at(2*time.Second), FromRelay, statusOf(r, Running, 1))
	l.SetStatus(at(2*time.Second), FromRelay, statusOf(r, Done, 1))
	assert.Equal(t, l.Allow(at(2*time.Second), oldAndBarred), OldOnly)
	l.ClearRollout()
	assert.Equal(t, l.Class("v2"), Barred)
	assert.Equal(t, l.Allow(at(2*time.Second), Request{BarredServes: true}), Refuse)
	l.SetRollout(r)
	assert.Equal(t, l.Allow(at(2*time.Second), oldAndBarred), OldOnly, "the same order again")

	restarted := NewLimiter("r1")
	restarted.SetStatus(start, FromStore, statusOf(r, RolledBack, 0))
	assert.Equal(t, restarted.Class("v2"), Barred)
	restarted.SetRollout(r)
	assert.Equal(t, restarted.Status().State, RolledBack)
	assert.Equal(t, restarted.Allow(start, oldAndBarred), OldOnly)
}

// Guards against a new order for a rolled back version that gets no requests, and against the
// old order's verdict ending the new one.
func TestLimiterNewOrder(t *testing.T) {
	r := testRollout()
	l := running(0.5)
	l.SetStatus(start, FromStore, statusOf(r, RolledBack, 0))
	again := New("tags", "v2", 12*time.Second, at(20*time.Second))
	assert.Assert(t, again.ID != r.ID)
	l.SetRollout(again)
	l.SetStatus(at(21*time.Second), FromRelay, statusOf(r, RolledBack, 0)) // late
	assert.Assert(t, l.Class("v2") != Barred)
	assert.Equal(t, l.Allow(at(21*time.Second), both), OldOnly, "no status yet")
	l.SetStatus(at(21*time.Second), FromStore, statusOf(again, Running, 1))
	assert.Equal(t, l.Allow(at(21*time.Second), both), TargetFirst)

	back := New("tags", "v1", 12*time.Second, at(40*time.Second))
	l.SetRollout(back)
	assert.Equal(t, l.Allow(at(40*time.Second), both), OldOnly, "an order back starts anew")
}

// Guards against routers that differ for good after two relays announced different verdicts, and
// against a share of the store that replaces a newer one of the relay.
func TestLimiterTwoDeciders(t *testing.T) {
	r := testRollout()
	l := running(0.05)
	l.SetStatus(at(time.Second), FromRelay, statusOf(r, Running, 0.25))
	l.SetStatus(at(1100*time.Millisecond), FromStore, statusOf(r, Running, 0.05))
	assert.Equal(t, l.Share(at(1200*time.Millisecond)), 0.25)
	l.SetStatus(at(900*time.Millisecond), FromRelay, statusOf(r, Running, 0.05)) // late
	assert.Equal(t, l.Share(at(1200*time.Millisecond)), 0.25)
	l.SetStatus(at(3*time.Second), FromStore, statusOf(r, Running, 0.1))
	assert.Equal(t, l.Share(at(3*time.Second)), 0.1, "the relay is no longer heard")

	l.SetStatus(at(4*time.Second), FromRelay, statusOf(r, RolledBack, 0))
	l.SetStatus(at(4*time.Second), FromStore, statusOf(r, Done, 1))
	assert.Equal(t, l.Allow(at(4*time.Second), both), TargetOnly)
	assert.Assert(t, l.Class("v2") != Barred)
}

// Guards against memory that grows with each rolled back version.
func TestLimiterBarredBound(t *testing.T) {
	l := NewLimiter("r1")
	for i := range 100 {
		l.SetStatus(start, FromStore, Status{State: RolledBack, Order: fmt.Sprint(i), Target: fmt.Sprint("v", i)})
	}
	assert.Equal(t, len(l.barred), maxVersions)
	assert.Equal(t, l.Class("v99"), Barred)
	assert.Equal(t, l.Class("v0"), Old)
}

// Guards against an order back to the version that still serves, or a deleted order, that leaves
// the requests to the version that was being tried.
func TestLimiterReplacedOrder(t *testing.T) {
	l := running(0.05)
	l.SetRollout(New("tags", "v1", 12*time.Second, at(5*time.Second)))
	var request Request
	for _, version := range []string{"v1", "v2"} {
		request.AddServing(l.Class(version))
	}
	choice := l.Allow(at(5*time.Second), request)
	assert.Assert(t, choice.Admits(l.Class("v1")) && !choice.Admits(l.Class("v2")), "%v", choice)

	l = running(0.05)
	l.ClearRollout()
	assert.Equal(t, l.Allow(at(5*time.Second), Request{OldServes: true, UnprovenServes: true}), OldOnly)
	assert.Equal(t, l.Allow(at(5*time.Second), Request{UnprovenServes: true}), AnyVersion)
	l.SetRollout(New("tags", "v2", 12*time.Second, at(6*time.Second)))
	assert.Equal(t, l.Class("v2"), Target)

	l = running(1)
	l.SetStatus(start, FromStore, statusOf(testRollout(), Done, 1))
	l.ClearRollout()
	assert.Equal(t, l.Class("v2"), Old)
}

// Guards against a second stage whose endpoints get more or less than the load of share 1, against
// routers that choose different ones, and against the choice of a few when all requests go to the
// target.
func TestLimiterFocus(t *testing.T) {
	names := make([]string, 16)
	for i := range names {
		names[i] = fmt.Sprint("e", i)
	}
	focused := running(3.0/16).Focus(start, TargetFirst, names)
	assert.Equal(t, len(focused), 3)
	other := NewLimiter("r2")
	other.SetRollout(testRollout())
	other.SetStatus(start, FromRelay, statusOf(testRollout(), Running, 3.0/16))
	assert.DeepEqual(t, other.Focus(at(time.Second), TargetFirst, names), focused)
	assert.Equal(t, len(running(0.05).Focus(start, TargetFirst, names)), 16)
	assert.Equal(t, len(running(1).Focus(start, TargetFirst, names)), 16)
	assert.Equal(t, len(running(3.0/16).Focus(start, TargetOnly, names)), 16)
	assert.Equal(t, len(running(0.25).Focus(at(2*time.Second), TargetFirst, names)), 16, "the share is stale")

	seen, single := map[string]bool{}, running(1.0/3)
	for i := range 20 {
		now := at(time.Duration(i) * time.Second)
		single.Confirm(now)
		one := single.Focus(now, TargetFirst, names[:3])
		assert.Equal(t, len(one), 1)
		seen[one[0]] = true
	}
	assert.Equal(t, len(seen), 3, "a single endpoint changes")

	// Two endpoints get requests in any 1.5 s, the shortest second stage, and three in 2.25 s.
	clear(seen)
	for i := range 3 {
		now := at(6*time.Second + time.Duration(i)*750*time.Millisecond)
		single.Confirm(now)
		seen[single.Focus(now, TargetFirst, names[:3])[0]] = true
	}
	assert.Equal(t, len(seen), 3, "each endpoint has a turn")
}
