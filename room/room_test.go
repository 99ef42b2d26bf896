package room

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// fullService returns the service of a lone router with the given slots, all of them in use.
func fullService(slots int) *Service {
	s := New(Config{Plain: true})
	s.SetRoom(start, slots, 0, 1, true)
	for range slots {
		s.Start(start)
	}
	s.SetRoom(start, slots, 2*slots, 1, true)
	return s
}

func plainRequest(id uint64, now time.Time) Request {
	return Request{ID: id, Workspace: "w", Goal: now.Add(time.Second), Deadline: now.Add(3 * time.Second), Plain: true}
}

// Guards against a request that waits while the room is not full, or that is sent while it is.
func TestOfferBelowAndAboveRoom(t *testing.T) {
	s := New(Config{Plain: true})
	assert.Assert(t, s.Offer(start, plainRequest(1, start)).Admit, "nothing is known of the room")
	s.SetRoom(start, 10, 3, 1, true)
	assert.Assert(t, s.Offer(start, plainRequest(2, start)).Admit)
	s = fullService(10)
	decision := s.Offer(start, plainRequest(3, start))
	assert.Assert(t, decision.Wait)
	assert.Assert(t, !decision.Until.After(start.Add(maxPlainWait)))
	assert.Equal(t, len(s.Next(start)), 0)
	assert.Equal(t, len(s.Next(start.Add(300*time.Millisecond))), 0, "no request has ended")
	for range 10 {
		s.End(start.Add(300*time.Millisecond), start, true)
	}
	s.SetRoom(start.Add(300*time.Millisecond), 10, 0, 1, true)
	admitted := s.Next(start.Add(301 * time.Millisecond))
	assert.DeepEqual(t, admitted, []uint64{3})
	assert.Equal(t, s.Waiting(), 0)
}

// Guards against a wait that doesn't pay off for the caller.
func TestLongestWait(t *testing.T) {
	s := fullService(10)
	for _, c := range []struct {
		goal, deadline time.Duration
		plain          bool
		want           time.Duration
	}{
		{400 * time.Millisecond, 2 * time.Second, true, 200 * time.Millisecond},
		{4 * time.Second, 9 * time.Second, true, maxPlainWait},
		{4 * time.Second, 9 * time.Second, false, maxEngineWait},
		{-time.Second, 600 * time.Millisecond, true, 100 * time.Millisecond},
		{50 * time.Millisecond, 2 * time.Second, true, 0}, // less than the work takes
		{-time.Second, -time.Second, true, 0},
	} {
		got := s.allowed(start, Request{Goal: start.Add(c.goal), Deadline: start.Add(c.deadline), Plain: c.plain})
		assert.Equal(t, got, c.want, fmt.Sprint(c))
	}
	decision := s.Offer(start, Request{ID: 1, Goal: start.Add(50 * time.Millisecond), Deadline: start.Add(time.Second), Plain: true})
	assert.Assert(t, !decision.Admit && !decision.Wait)
	assert.Assert(t, decision.RetryAfter >= minRetryAfter && decision.RetryAfter <= maxRetryAfter)
	assert.Equal(t, decision.Reason, ReasonNoTime)
}

// Guards against a waiter that is admitted after it has left, and a queue without a bound.
func TestCancelAndBound(t *testing.T) {
	s := fullService(10_000)
	for id := range uint64(maxWaiting) {
		assert.Assert(t, s.Offer(start, plainRequest(id, start)).Wait)
	}
	assert.Equal(t, s.Offer(start, plainRequest(9999, start)).Reason, ReasonQueueFull)
	assert.Assert(t, s.Cancel(7))
	assert.Assert(t, !s.Cancel(7))
	for _, id := range s.Next(start.Add(time.Second)) {
		assert.Assert(t, id != 7)
	}
	full := New(Config{Plain: true, Full: func() bool { return true }})
	full.SetRoom(start, 1, 5, 1, true)
	full.Start(start)
	assert.Equal(t, full.Offer(start, plainRequest(1, start)).Reason, ReasonQueueFull)
}

// Guards against classes that starve, and against an order that ignores the goals within a class.
func TestOrder(t *testing.T) {
	q := queue{}
	id := uint64(0)
	for class := range classes {
		for i := range 30 {
			id++
			q.add(&waiter{id: id, class: class, since: start, goal: start.Add(time.Duration(30-i) * time.Second)})
		}
	}
	q.add(&waiter{id: 1000, over: true, since: start, goal: start})
	var counts [classes]int
	last := map[int]time.Time{}
	for range 30 {
		w := q.first(func(*waiter) bool { return true })
		assert.Assert(t, !w.over)
		assert.Assert(t, !w.goal.Before(last[w.class]))
		last[w.class] = w.goal
		counts[w.class]++
		q.take(w)
	}
	assert.DeepEqual(t, counts, [classes]int{16, 8, 4, 2})
	q.promote(start.Add(promoteAfter))
	q.promote(start.Add(2 * promoteAfter))
	for _, w := range q.waiters {
		assert.Assert(t, w.promoted)
	}
	assert.Assert(t, q.first(func(w *waiter) bool { return w.id == 1000 }).class == 0)
}

// Guards against a router that stops since it knows nothing of the others, and against one that
// then sends without a bound.
func TestNothingKnown(t *testing.T) {
	s := New(Config{Plain: true})
	sent := 0
	var started []time.Time
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		for len(started) > 0 && now.Sub(started[0]) >= 60*time.Millisecond {
			s.End(now, started[0], true)
			started = started[1:]
		}
		s.SetRoom(now, 30, 0, 350, false)
		for range s.Next(now) {
			started = append(started, now)
			sent++
		}
		s.Cancel(uint64(i - 16)) // its wait is over
		if s.Offer(now, Request{ID: uint64(i), Plain: true, Deadline: now.Add(time.Second)}).Admit {
			s.Start(now)
			started = append(started, now)
			sent++
		}
	}
	t.Logf("%d requests in 10 s", sent)
	assert.Assert(t, sent >= 45 && sent <= 80)
}

// Guards against a share that refusals by endpoints lower for ever or below its limit.
func TestRefusedAsFull(t *testing.T) {
	s := fullService(30)
	share := s.Share(start)
	s.RecordFull(start)
	assert.Assert(t, s.Share(start) < 0.95*share)
	for range 20 {
		s.RecordFull(start)
	}
	assert.Assert(t, s.Share(start) > 0.45*share)
	assert.Assert(t, s.Share(start.Add(fullRecovery)) > 0.99*share)
}

// Guards against fair shares that are not max-min fair: workspaces that ask for less leave the
// rest to the others.
func TestFairShares(t *testing.T) {
	s := fullService(30)
	capacity := fairFraction * s.capacity()
	s.SetDemand(start, Demand{Routers: 1, Total: 1230, Workspaces: map[uint16]int{
		WorkspaceHash("a"): 600, WorkspaceHash("b"): 600, WorkspaceHash("c"): 20,
	}})
	assert.Assert(t, s.limited)
	assert.Assert(t, s.fair > (capacity-30)/2-1 && s.fair < (capacity-30)/2+1)
	assert.Assert(t, !s.overShare(start, Request{ID: 1, Workspace: "c"}))
	assert.Assert(t, !s.overShare(start, Request{ID: 1, Workspace: "unknown"}))
	over := 0
	for id := range uint64(1000) {
		if s.overShare(start, Request{ID: id, Workspace: "a"}) {
			over++
		}
	}
	assert.Assert(t, over > 400 && over < 900, "%d", over)
	s.SetRoom(start.Add(demandTTL), 30, 60, 1, true)
	assert.Assert(t, !s.limited, "the demand has expired")
}

// Guards against demand counts of the fleet that leave out a router or exceed their bound.
func TestDemand(t *testing.T) {
	var sum Demand
	for router := range 3 {
		s := New(Config{Plain: true})
		for i := range 20 {
			for range i + 1 {
				s.Offer(start, plainRequest(uint64(i), start))
			}
			s.own.add(start, WorkspaceHash(fmt.Sprint(i)), demandUnit*(i+1))
		}
		demand := s.OwnDemand(start)
		assert.Equal(t, len(demand.Workspaces), maxDemandWorkspaces, router)
		sum.Add(demand)
		assert.Equal(t, s.OwnDemand(start.Add(2*demandWindowLength)).Total, 0)
	}
	assert.Equal(t, sum.Routers, 3)
	assert.Equal(t, sum.Total, 3*(210+210))
	assert.Equal(t, sum.Workspaces[WorkspaceHash("19")], 60)
}

// BenchmarkOffer measures a request before a full service with 50 workspaces: the offer, the end of
// another one, and the room and the waiters that are looked at.
func BenchmarkOffer(b *testing.B) {
	s := New(Config{Plain: true})
	now := start
	var names []string
	for i := range 50 {
		names = append(names, fmt.Sprint("workspace", i))
	}
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(25 * time.Millisecond)
		s.SetRoom(now, 30, 40, 79, true)
		r := plainRequest(uint64(i), now)
		r.Workspace = names[i%len(names)]
		decision := s.Offer(now, r)
		started := len(s.Next(now))
		if decision.Admit {
			s.Start(now)
			started++
		}
		for range started {
			s.End(now.Add(60*time.Millisecond), now, true)
		}
		s.Expire(now, r)
	}
}

// Guards, with SendFirst, against a wait of requests that the endpoints' queues can absorb, against a
// refusal of one that a full endpoint has refused although its caller still has time, and against late
// requests that go before those that can be in time.
func TestSendFirst(t *testing.T) {
	s := New(Config{Plain: true, SendFirst: true})
	s.SetRoom(start, 10, 40, 1, true)
	request := plainRequest(1, start)
	assert.Assert(t, s.Offer(start, request).Admit, "its workspace is within its share")
	for range 30 {
		s.Start(start)
	}
	s.SetRoom(start, 10, 40, 1, true)
	request.Deadline = start.Add(8 * time.Second)
	decision := s.OfferAgain(start, request)
	assert.Assert(t, decision.Wait)
	assert.Equal(t, decision.Until, start.Add(maxReturnWait))
	late := plainRequest(2, start)
	late.Goal = start.Add(time.Millisecond)
	assert.Assert(t, s.Offer(start, late).Wait, "it can't be in time")
	for range 30 {
		s.End(start.Add(60*time.Millisecond), start, true)
	}
	s.SetRoom(start.Add(400*time.Millisecond), 10, 0, 1, true)
	admitted := s.Next(start.Add(400 * time.Millisecond))
	assert.Assert(t, len(admitted) > 0)
	assert.Equal(t, admitted[0], uint64(1))
}
