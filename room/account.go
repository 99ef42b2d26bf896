package room

import (
	"math"
	"time"
)

const (
	// defaultPlainWork and defaultEngineWork are the time in a slot until it has been measured.
	defaultPlainWork  = 60 * time.Millisecond
	defaultEngineWork = time.Second
	// workWeight is the weight of a new sample in the mean time in a slot. A sample counts as at
	// most maxWorkFactor times the mean.
	workWeight    = 0.05
	maxWorkFactor = 4
	// calmFraction is the fraction of the slots in flight up to which no request waits at an
	// endpoint.
	calmFraction = 0.8
	// The account is between -minBalance and maxBalance, in requests of the mean size. What is
	// above 0 is saved for arrivals that are not spaced evenly. While the room is not full it is at
	// most calmBalance.
	minBalance, maxBalance, calmBalance = 8, 2, 0.25
	// spareFraction is the part of the share that requests which are not urgent get in any case,
	// saved up to maxSpare requests.
	spareFraction = 1.0 / 8
	maxSpare      = 2
	// refillInterval is the time between two looks for free room, about the age of the loads.
	// phaseStep spreads the phases of an account evenly: the golden ratio.
	refillInterval = 250 * time.Millisecond
	phaseStep      = 0.6180339887
	// maxSlack is the highest slack in requests, at demand and load lower than the room by
	// slackRange.
	maxSlack   = 2.0
	slackRange = 0.2
)

// advance brings the accounts up to date.
func (s *Service) advance(now time.Time) {
	if s.updated.IsZero() {
		s.updated, s.epoch = now, now
	}
	if elapsed := now.Sub(s.updated).Seconds(); elapsed > 0 {
		earned := elapsed * s.Share(now)
		s.balance = min(s.balance+earned, s.savings(now)*s.work)
		s.spare = min(s.spare+earned*spareFraction, maxSpare*s.work)
		s.updated = now
	}
	s.balance = max(s.balance, -minBalance*s.work)
}

// savings returns the limit of the account. Shares do not hold while the room is not full, so that
// what all routers have saved then would be sent at once when it becomes full.
func (s *Service) savings(now time.Time) float64 {
	if s.waiting.len() > 0 || now.Sub(s.pressureAt) < pressureHold {
		return maxBalance
	}
	return calmBalance
}

// account returns the balance less the time of requests in flight that exceeds what was taken
// for them.
func (s *Service) account(now time.Time) float64 {
	elapsed := float64(s.inFlight)*now.Sub(s.epoch).Seconds() - s.startSum
	return s.balance - max(0, elapsed-s.charged)
}

// refill forgives what an account is overdrawn by when there is free room, so that the time that
// requests have spent in queues at the endpoints is not taken from the time after that.
func (s *Service) refill(now time.Time) {
	if free := s.free(now); s.known && free > 0 {
		s.balance = max(s.balance, min(0, free*s.part(now)-s.nextPhase())*s.work)
	}
}

// begin bounds the account when the room becomes full. Otherwise each of hundreds of routers could
// send one more request at once, with shares far below one request.
func (s *Service) begin(now time.Time) {
	if s.known {
		s.balance = min(s.balance, (s.free(now)*s.part(now)-s.nextPhase())*s.work)
	}
}

// free returns the requests that may be started now; below 0 if there are too many.
func (s *Service) free(now time.Time) float64 {
	free := s.target()*float64(s.slots) - s.load(now)
	if now.Sub(s.queuedAt) < queuedNow {
		free = min(free, 0)
	}
	return free
}

// nextPhase returns a number of requests, 0 to 1, which differs between routers, so that together
// they start as many requests as there is room for.
func (s *Service) nextPhase() float64 {
	_, s.phase = math.Modf(s.phase + phaseStep)
	return s.phase
}

// slack returns the requests by which every request may overdraw the account, since the demand and
// the requests in flight are below the room. A router with a share far below one request would
// otherwise refuse requests that come closer together than its share allows, although there is
// room.
func (s *Service) slack(now time.Time) float64 {
	if !s.known || now.Sub(s.queuedAt) < queuedHold {
		return 0
	}
	byLoad := (1 - s.load(now)/(s.target()*float64(s.slots))) / slackRange
	byDemand := (1 - s.fullness) / slackRange
	return maxSlack * max(0, min(1, byLoad, byDemand))
}

// Start records that a request is sent. Next has done it for the waiters that it returns.
func (s *Service) Start(now time.Time) {
	s.advance(now)
	if s.balance < 0 {
		s.spare = max(0, s.spare-s.work)
	}
	s.balance -= s.work
	s.charged += s.work
	s.inFlight++
	s.fleetInFlight++
	s.startSum += now.Sub(s.epoch).Seconds()
}

// End records that a request that was started at the given time has ended. ran is false if no
// endpoint has run it; its duration is then not a sample.
func (s *Service) End(now, started time.Time, ran bool) {
	s.advance(now)
	took := max(0, now.Sub(started).Seconds())
	mean := s.charged / float64(max(1, s.inFlight))
	s.inFlight--
	s.fleetInFlight = max(0, s.fleetInFlight-1)
	s.charged -= mean
	s.startSum -= started.Sub(s.epoch).Seconds()
	if s.inFlight <= 0 {
		s.inFlight, s.charged, s.startSum = 0, 0, 0
	}
	s.balance += mean - took
	if !ran {
		return
	}
	s.samples = min(s.samples+1, 1/workWeight)
	s.work += (min(took, maxWorkFactor*s.work) - s.work) / s.samples
	s.work = max(s.work, time.Millisecond.Seconds())
	switch {
	case s.load(now) > calmFraction*float64(s.slots):
	case s.calmWork == 0:
		s.calmWork = s.work
	default:
		s.calmWork += workWeight * (min(took, maxWorkFactor*s.calmWork) - s.calmWork)
	}
}
