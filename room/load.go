package room

import (
	"math"
	"time"
)

const (
	// plainTarget and engineTarget are the requests in flight, per slot, that the routers aim at.
	// Routers choose endpoints by loads that are some 100 ms old, so that the endpoints get uneven
	// numbers: a lower target leaves slots idle, a higher one makes responses late.
	plainTarget  = 1.05
	engineTarget = 0.95
	// maxDepth bounds the target with Config.SendFirst, where the endpoints queue a few requests for
	// each slot, and goalFraction is the part of the goal that a request then may spend at an
	// endpoint on average: the rest covers the spread of the queues and of the work.
	maxDepth     = 3.0
	goalFraction = 0.5
	// pressureFraction is the fraction of the slots in flight above which the room is full.
	pressureFraction = 0.9
	// ownPressureFraction is the fraction above which a router whose account is at overdrawnLevel
	// requests counts the room as full before the loads of the others show it.
	ownPressureFraction = 0.5
	overdrawnLevel      = -2
	// pressureHold is the time for which the room counts as full after the last sign of it.
	pressureHold = time.Second
	// An endpoint at which half as many requests wait as it has slots shows that the room is full.
	// One at which as many wait shows that loads of other routers which say otherwise are old, for
	// queuedHold. For queuedNow there is no free room.
	queuedHold = 500 * time.Millisecond
	queuedNow  = 125 * time.Millisecond
	// observedConstant is the time constant of the mean of what endpoints say of their load, and
	// observedMin the number of samples in it from which it is used, for observedTTL.
	observedConstant = 100 * time.Millisecond
	observedTTL      = 300 * time.Millisecond
	observedMin      = 2.0
	// unknownInterval is the time between two requests that a router may send in any case if it
	// knows nothing of the others.
	unknownInterval = 200 * time.Millisecond
	// A refusal by an endpoint as full lowers the share by fullPenalty for fullRecovery, down to
	// minPenalty.
	fullPenalty, minPenalty = 0.1, 0.5
	fullRecovery            = 2 * time.Second
	// The correction of the share by the requests in flight changes by correctionStep each
	// correctionInterval, longer than loads are old, and stays within its limits. Deviations from
	// the target within correctionBand are not corrected.
	correctionStep               = 0.05
	correctionInterval           = 400 * time.Millisecond
	correctionBand               = 0.05
	minCorrection, maxCorrection = 0.6, 1.6
	// maxUneven limits the router's part of the room, as a multiple of the mean router's and of its
	// inverse. unevenWeight is the weight of a new sample in it.
	maxUneven    = 3.0
	unevenWeight = 0.1
	// minShare is the lowest share, in slots, so that expected waits are finite.
	minShare = 1e-6
)

// SetRoom records the slots of the usable endpoints, the requests that the fleet has in flight
// there, and the number of routers. known is false if the loads of the others are not known; the
// share then holds without regard to fleetInFlight.
func (s *Service) SetRoom(now time.Time, slots, fleetInFlight, routers int, known bool) {
	s.advance(now)
	s.slots, s.fleetInFlight, s.routers = max(0, slots), fleetInFlight, max(1, routers)
	s.known, s.knowsRoom = known, true
	if now.Sub(s.correctedAt) >= correctionInterval {
		s.correctedAt = now
		s.correct(now)
	}
	if now.Sub(s.refilledAt) >= refillInterval {
		s.refilledAt = now
		s.refill(now)
	}
	s.computeFair(now)
}

// notePressure records whether the requests in flight and waiting reach the room.
func (s *Service) notePressure(now time.Time) {
	if s.known && float64(s.fleetInFlight+s.waiting.len()) >= s.pressureLoad() {
		s.pressureAt = now
	}
}

// pressureLoad returns the requests in flight and waiting from which the room is full.
func (s *Service) pressureLoad() float64 {
	if s.config.SendFirst {
		return pressureFraction * s.target() * float64(s.slots)
	}
	return pressureFraction * float64(s.slots)
}

// Pressed reports whether the room is full, so that shares hold.
func (s *Service) Pressed(now time.Time) bool {
	if !s.knowsRoom || s.slots == 0 {
		return false
	}
	if s.waiting.len() > 0 || now.Sub(s.pressureAt) < pressureHold {
		return true
	}
	overdrawn := s.account(now) <= overdrawnLevel*s.work
	return overdrawn && (!s.known || float64(s.fleetInFlight) >= ownPressureFraction*float64(s.slots))
}

// correct raises the share while requests wait although fewer than the target are in flight, and
// lowers it while there are more.
func (s *Service) correct(now time.Time) {
	target := s.target() * float64(s.slots)
	constrained := now.Sub(s.constrainedAt) < correctionInterval
	switch {
	case s.known && s.load(now) > target*(1+correctionBand):
		s.correction *= 1 - correctionStep
	case s.known && constrained && s.load(now) < target*(1-correctionBand):
		s.correction *= 1 + correctionStep
	case s.correction > 1:
		s.correction = max(1, s.correction*(1-correctionStep))
	default:
		s.correction = min(1, s.correction*(1+correctionStep))
	}
	s.correction = min(max(s.correction, minCorrection), maxCorrection)
}

// Share returns the router's share of the room, in slots.
func (s *Service) Share(now time.Time) float64 {
	share := s.target() * float64(s.slots) * s.part(now) * s.correction * s.penaltyFactor(now)
	if !s.known {
		share = max(share, s.work/unknownInterval.Seconds())
	}
	return max(share, minShare)
}

// part returns the router's part of the room. It follows the router's part of the demand slowly,
// since the two figures are not of the same time, and within limits.
func (s *Service) part(now time.Time) float64 {
	equal := 1 / float64(max(1, s.routers))
	if !s.fleetKnown(now) || s.uneven == 0 {
		return equal
	}
	return equal * s.uneven
}

// updatePart takes the router's part of the demand into account.
func (s *Service) updatePart() {
	ratio := float64(s.told) * float64(s.routers) / float64(max(1, s.fleet.Total))
	ratio = min(max(ratio, 1/maxUneven), maxUneven)
	if s.uneven == 0 {
		s.uneven = 1
	}
	s.uneven += unevenWeight * (ratio - s.uneven)
}

// target returns the requests in flight, per slot, that the routers aim at.
func (s *Service) target() float64 {
	if !s.config.Plain {
		return engineTarget
	}
	if !s.config.SendFirst || s.meanLeft <= 0 || s.calmWork <= 0 {
		return plainTarget
	}
	return min(max(plainTarget, goalFraction*s.meanLeft/s.calmWork), maxDepth)
}

// RecordFull records that an endpoint refused a request as full.
func (s *Service) RecordFull(now time.Time) {
	s.penalty = max(minPenalty, s.penaltyFactor(now)-fullPenalty)
	s.penaltyAt, s.pressureAt = now, now
}

func (s *Service) penaltyFactor(now time.Time) float64 {
	part := min(1, now.Sub(s.penaltyAt).Seconds()/fullRecovery.Seconds())
	return s.penalty + (1-s.penalty)*part
}

// load returns the requests that the fleet has in flight: by what the endpoints have told lately,
// or else by the loads of the routers.
func (s *Service) load(now time.Time) float64 {
	if s.seen.fresh(now) {
		return s.seen.ratio * float64(s.slots)
	}
	return float64(s.fleetInFlight)
}

// ObserveLoad records what an endpoint says of itself with a response.
func (s *Service) ObserveLoad(now time.Time, running, waiting, slots int) {
	if slots <= 0 {
		return
	}
	s.seen.add(now, float64(running+waiting)/float64(slots))
	if waiting >= slots {
		s.queuedAt = now
	}
	if s.seen.fresh(now) && s.seen.ratio >= 1 || 2*waiting >= slots {
		s.pressureAt = now
	}
}

// observed is the moving average of the requests per slot that endpoints have told.
type observed struct {
	ratio   float64
	samples float64
	at      time.Time
}

func (o *observed) add(now time.Time, ratio float64) {
	keep := math.Exp(-now.Sub(o.at).Seconds() / observedConstant.Seconds())
	if o.at.IsZero() {
		keep = 0
	}
	o.samples = o.samples*keep + 1
	o.ratio += (ratio - o.ratio) / o.samples
	o.at = now
}

func (o *observed) fresh(now time.Time) bool {
	return o.samples >= observedMin && now.Sub(o.at) < observedTTL
}
