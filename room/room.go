// Package room decides, in one router, which requests for a service are sent at once, which wait
// in front of it and which are refused, when the service has less room than is asked for. Room is
// the number of requests that the usable endpoints of a service can run concurrently. The package
// does no I/O and reads no clock.
//
// A router of a large fleet has less than one slot of a small service. Its share is therefore not
// a number of requests in flight, but an account of slot time: it grows with the router's share of
// the room, in slot-seconds per second, and each request takes the time for which it occupies a
// slot. A request may be sent when the account is above a level that depends on the workspace and
// the urgency of the request. The requests in flight of the whole fleet then stay at the room on
// average, however small each share is, and without knowing how long requests take.
package room

import (
	"math"
	"time"
)

const (
	// belowShareLevel and urgentLevel are the requests by which workspaces below their fair share
	// and urgent requests may overdraw the account, since waiting for it would take a small router
	// longer than they can wait. belowShareSlots is added to the former, as a fraction of the
	// router's slots.
	belowShareLevel, urgentLevel = -2, -3
	belowShareSlots              = 0.5
	// With Config.SendFirst, requests that can still meet their goal may overdraw the account by
	// inTimeLevel. Those that can't start only when lateLevel is saved, so that they don't make
	// others late as well.
	inTimeLevel, lateLevel = -1, 0.5
	// urgentFraction is the fraction of the mean time left below which a request is urgent.
	urgentFraction = 0.6
	// workMargin is the time in a slot, as a multiple of its mean, that must be left until the goal
	// after a wait.
	workMargin = 1.25
	// Limits of the time that a request may wait.
	maxPlainWait  = 400 * time.Millisecond
	maxEngineWait = 250 * time.Millisecond
	// maxReturnWait is the limit with Config.SendFirst.
	maxReturnWait = time.Second
	// Limits of the time after which a refused caller is to return, and of the factor for the
	// excess of its workspace.
	minRetryAfter   = 50 * time.Millisecond
	maxRetryAfter   = 2 * time.Second
	maxExcessFactor = 4
)

// Reasons of a decision, for logs.
const (
	ReasonRoom      = "room"       // the room is not full
	ReasonShare     = "share"      // within the router's share
	ReasonWait      = "wait"       // room is expected in time
	ReasonNoTime    = "no_time"    // room is not expected in time
	ReasonQueueFull = "queue_full" // the router's queue is full
)

// Request is a request that asks for room.
type Request struct {
	ID        uint64
	Workspace string // empty if it has none
	// Class is the priority, from 0, the most urgent.
	Class int
	// Goal is the time by which the response should begin or, if Plain, be complete; zero if the
	// route has no goal.
	Goal, Deadline time.Time
	Plain          bool
}

// Decision says what happens to a request. If neither Admit nor Wait is set, it is refused.
type Decision struct {
	Admit, Wait bool
	// RetryAfter is when a refused caller should return.
	RetryAfter time.Duration
	Reason     string
	// Expected is the time after which room is expected, and Until the time until which a request
	// may wait.
	Expected time.Duration
	Until    time.Time
}

// Config configures a Service.
type Config struct {
	// Plain is set for services that do not stream.
	Plain bool
	// SendFirst sends the first time at once what comes from workspaces within their fair share, so
	// that the endpoints' own queues absorb short peaks. Requests of the other workspaces, and those
	// that an endpoint has refused as full, wait.
	SendFirst bool
	// Random in [0, 1) is the phase of the account, so that routers that start together don't
	// send together.
	Random float64
	// Full reports whether the router's queue is full; nil for a bound of this service only.
	Full func() bool
}

// Service is the room of one service from the view of one router. It is not safe for concurrent
// use.
type Service struct {
	config Config
	// balance is the account, in slot-seconds at updated. spare is the account of requests that
	// are not urgent.
	balance, spare float64
	updated        time.Time
	// work is the mean time in a slot, in seconds; samples counts up to 1 / workWeight.
	work    float64
	samples float64
	// calmWork is the mean time in a slot while the endpoints queue nothing, in seconds; 0 if it
	// has not been measured.
	calmWork float64
	// inFlight is the number of own requests in flight, startSum the sum of their starts in
	// seconds after epoch, and charged what has been taken from the account for them.
	inFlight          int
	startSum, charged float64
	epoch             time.Time

	slots, fleetInFlight, routers int
	known                         bool
	knowsRoom                     bool
	correction, penalty           float64
	correctedAt, penaltyAt        time.Time
	refilledAt                    time.Time
	phase                         float64 // of the account, 0 to 1
	pressureAt                    time.Time
	queuedAt                      time.Time
	wasPressed                    bool      // at the newest request
	constrainedAt                 time.Time // when a request last waited or was refused
	meanLeft, meanClass           float64   // of the requests seen, in seconds
	seen                          observed
	own, sends                    demandWindow
	refusals                      window
	fleet                         Demand
	fleetAt                       time.Time
	told                          int     // own total at the last call of OwnDemand
	uneven                        float64 // own demand as a multiple of the mean router's
	// fair is the requests per second of a workspace; limited is set if some ask for more.
	fair     float64
	limited  bool
	rates    []float64 // to reuse the memory
	fullness float64   // demand of the fleet divided by the capacity
	waiting  queue
}

// New returns a service whose room is not known yet: it admits everything.
func New(config Config) *Service {
	s := &Service{config: config, correction: 1, penalty: 1, work: defaultEngineWork.Seconds(), fair: math.Inf(1)}
	if config.Plain {
		s.work = defaultPlainWork.Seconds()
	}
	s.phase = config.Random
	s.balance = -s.phase * s.work
	return s
}

// Offer decides on a request. One that is admitted must be followed by Start.
func (s *Service) Offer(now time.Time, r Request) Decision {
	hash := WorkspaceHash(r.Workspace)
	s.sends.add(now, hash, 1)
	decision := s.offer(now, r, false)
	if decision.Admit || decision.Wait {
		s.own.add(now, hash, demandUnit)
	} else {
		s.own.add(now, hash, refusedUnits)
	}
	return decision
}

// OfferAgain decides on a request that an endpoint has refused as full.
func (s *Service) OfferAgain(now time.Time, r Request) Decision { return s.offer(now, r, true) }

// offer decides on a request; again is set if an endpoint has refused it as full.
func (s *Service) offer(now time.Time, r Request, again bool) Decision {
	s.advance(now)
	w := s.newWaiter(now, r)
	s.notePressure(now)
	pressed := s.Pressed(now)
	if pressed && !s.wasPressed {
		s.begin(now)
	}
	s.wasPressed = pressed
	if !pressed {
		return Decision{Admit: true, Reason: ReasonRoom}
	}
	if s.config.SendFirst && !again && !w.over && !w.late {
		return Decision{Admit: true, Reason: ReasonShare}
	}
	if s.waiting.ahead(w) == 0 && s.mayStart(now, w) {
		return Decision{Admit: true, Reason: ReasonShare}
	}
	s.constrainedAt = now
	expected := s.expected(now, w)
	if s.waiting.len() >= maxWaiting || s.config.Full != nil && s.config.Full() {
		return s.refuse(now, r, w, expected, ReasonQueueFull)
	}
	allowed := s.allowed(now, r)
	if expected > allowed {
		return s.refuse(now, r, w, expected, ReasonNoTime)
	}
	w.until = now.Add(allowed)
	s.waiting.add(w)
	return Decision{Wait: true, Reason: ReasonWait, Expected: expected, Until: w.until}
}

// newWaiter classifies a request and records its time left and class in the means.
func (s *Service) newWaiter(now time.Time, r Request) *waiter {
	w := &waiter{id: r.ID, class: min(max(r.Class, 0), classes-1), since: now, goal: r.Goal, over: s.overShare(now, r)}
	w.below = !w.over && s.limited
	w.late = s.isLate(now, w)
	if r.Goal.IsZero() {
		w.goal = r.Deadline
	}
	left, class := w.goal.Sub(now).Seconds(), float64(w.class)
	switch {
	case s.meanLeft == 0:
		s.meanLeft, s.meanClass = left, class
	case class < s.meanClass-0.5 || class < s.meanClass+0.5 && left < urgentFraction*s.meanLeft:
		w.urgent = true
	}
	s.meanLeft += workWeight * (max(0, left) - s.meanLeft)
	s.meanClass += workWeight * (class - s.meanClass)
	return w
}

// isLate reports whether a request can no longer meet its goal.
func (s *Service) isLate(now time.Time, w *waiter) bool {
	return w.goal.Sub(now) < seconds(s.work*workMargin)
}

// level returns the balance, in requests, above which the waiter may start.
func (s *Service) level(now time.Time, w *waiter) float64 {
	level := -s.slack(now)
	if w.below {
		level += belowShareLevel - belowShareSlots*s.part(now)*float64(s.slots)
	}
	if w.urgent {
		level += urgentLevel
	}
	switch {
	case !s.config.SendFirst:
	case w.late:
		level += lateLevel
	case !w.over:
		level += inTimeLevel
	}
	return level
}

func (s *Service) mayStart(now time.Time, w *waiter) bool {
	balance := s.account(now)
	if balance >= s.level(now, w)*s.work {
		return true
	}
	return (!w.late || !s.config.SendFirst) && !w.urgent && s.spare >= s.work && balance > -minBalance*s.work
}

// expected returns the time after which the waiter is expected to start.
func (s *Service) expected(now time.Time, w *waiter) time.Duration {
	missing := (s.level(now, w)+float64(s.waiting.ahead(w)))*s.work - s.account(now)
	return seconds(missing / s.Share(now))
}

// allowed returns how long a request may wait.
func (s *Service) allowed(now time.Time, r Request) time.Duration {
	if s.config.SendFirst {
		// A response after the goal is worth more to the caller than a refusal, after which it has
		// to return, late as well.
		return max(0, min(r.Deadline.Sub(now)/4, maxReturnWait))
	}
	longest := maxEngineWait
	wait := r.Deadline.Sub(now) / 6
	left := r.Goal.Sub(now)
	if left > 0 {
		wait = left / 2
	}
	if r.Plain {
		longest = maxPlainWait
		if left > 0 { // the goal of a stream is its first event, long before its slot is free
			wait = min(wait, left-seconds(s.work*workMargin))
		}
	}
	return max(0, min(wait, longest))
}

// Expire removes a waiter whose wait is over and refuses it. It returns false if the request is no
// longer waiting.
func (s *Service) Expire(now time.Time, r Request) (Decision, bool) {
	if !s.waiting.cancel(r.ID) {
		return Decision{}, false
	}
	return s.Refuse(now, r), true
}

// Refuse returns the refusal of a request that can't be sent.
func (s *Service) Refuse(now time.Time, r Request) Decision {
	s.advance(now)
	w := &waiter{over: s.overShare(now, r)}
	return s.refuse(now, r, w, s.expected(now, w), ReasonNoTime)
}

// refuse returns a refusal. Its time to return covers the requests that wait and those that were
// refused lately, since these return as well.
func (s *Service) refuse(now time.Time, r Request, w *waiter, expected time.Duration, reason string) Decision {
	s.refusals.add(now)
	backlog := float64(s.refusals.count(now)) * s.work / s.Share(now)
	base := max(expected, seconds(backlog), minRetryAfter).Seconds()
	if w.over {
		base *= min(maxExcessFactor, max(1, s.excess(now, r.Workspace)))
	}
	part := hashPart(r.ID, 0)
	after := seconds(min(base, maxRetryAfter.Seconds()) * (0.5 + part/2))
	return Decision{RetryAfter: max(after, minRetryAfter), Reason: reason, Expected: expected}
}

// Next returns the ids of the waiters that may start now, in order, and removes them. Each must be
// followed by Start at once: their time is taken from the account here.
func (s *Service) Next(now time.Time) []uint64 {
	s.advance(now)
	s.waiting.promote(now)
	if s.config.SendFirst {
		for _, w := range s.waiting.waiters {
			w.late = s.isLate(now, w)
		}
	}
	var admitted []uint64
	for {
		w := s.waiting.first(func(w *waiter) bool { return s.mayStart(now, w) })
		if w == nil {
			break
		}
		s.waiting.take(w)
		s.Start(now)
		admitted = append(admitted, w.id)
	}
	return admitted
}

// Cancel removes a waiter that has left, and reports whether it was waiting.
func (s *Service) Cancel(id uint64) bool { return s.waiting.cancel(id) }

// Waiting returns the number of waiters.
func (s *Service) Waiting() int { return s.waiting.len() }

// InFlight returns the room and the fleet's requests in flight, in requests.
func (s *Service) InFlight() (slots, inFlight int) { return s.slots, s.fleetInFlight }

func seconds(s float64) time.Duration {
	return time.Duration(min(max(s, 0), time.Hour.Seconds()) * float64(time.Second))
}
