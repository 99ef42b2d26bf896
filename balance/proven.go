package balance

import "time"

// When many endpoints of a service ask for pauses, a router that learns of each pause only by being
// refused wastes a send for each of them, again after each pause, and the fleet uses up its retry
// budget. While this goes on, a router prefers endpoints that have accepted its requests lately. It
// asks the others only if those are over their bound. Excluded are none but paused endpoints.

const (
	// provenTime is how long an accepted or refused request tells of the next one. It spans a few of
	// the usual pauses of 2 s, and a router of a large fleet sends some dozens of requests within it.
	provenTime = 10 * time.Second
	// Endpoints are pressed if at least pressedEndpoints of a service, and pressedShare of those that
	// this router has asked, have refused requests with a pause within provenTime. Single endpoints
	// that pause cost little.
	pressedEndpoints = 2
	pressedShare     = 0.1
	// maxPauseFactor bounds the time for which other endpoints are preferred after repeated pauses, as a
	// multiple of the pause.
	maxPauseFactor = 8
)

// RecordAccepted records that the endpoint has begun to answer a request: it no longer refuses.
func (s *State) RecordAccepted(now time.Time) {
	s.acceptedAt, s.pauses = now, 0
}

// recordPause records a pause of length d for the preference.
func (s *State) recordPause(now time.Time, d time.Duration) {
	if !s.paused(now) {
		s.pauses++
	}
	s.pauseLength, s.pauseAskedAt = d, now
}

// proven reports whether the latest answer within provenTime accepted a request.
func (s *State) proven(now time.Time) bool {
	return s.acceptedAt.After(s.pauseAskedAt) && now.Sub(s.acceptedAt) < provenTime
}

// refusedLately reports whether the endpoint has asked for a pause within provenTime.
func (s *State) refusedLately(now time.Time) bool {
	return !s.pauseAskedAt.IsZero() && now.Sub(s.pauseAskedAt) < provenTime
}

// onTrial reports whether others are preferred after a pause: one request at a time finds out whether
// the endpoint accepts again, and after n pauses in a row it comes 2^(n-1) - 1 pauses later.
func (s *State) onTrial(now time.Time) bool {
	if s.pauses == 0 {
		return false
	}
	factor := min(1<<min(s.pauses-1, 8), maxPauseFactor) - 1
	return s.LocalRequests > 0 || now.Before(s.pausedUntil.Add(time.Duration(factor)*s.pauseLength))
}

// pauseTally counts the endpoints of a service that have answered lately.
type pauseTally struct {
	refused, asked int
	// since is the oldest of the newest pauses of the endpoints that have refused.
	since time.Time
}

func (t *pauseTally) add(now time.Time, s *State) {
	switch {
	case s.refusedLately(now):
		t.refused++
		t.asked++
		if t.since.IsZero() || s.pauseAskedAt.Before(t.since) {
			t.since = s.pauseAskedAt
		}
	case s.proven(now):
		t.asked++
	}
}

// pressed reports whether the endpoints refuse so many requests with pauses that proven ones are
// preferred.
func (t *pauseTally) pressed() bool {
	return t.refused >= pressedEndpoints && float64(t.refused) >= pressedShare*float64(t.asked)
}

// preferProven returns the candidates that are preferred, or all if there are none.
func (b *Balancer) preferProven(now time.Time, candidates []candidate) []candidate {
	preferred := prefer(candidates, func(s *State) bool { return !s.onTrial(now) })
	if b.pauses.pressed() {
		preferred = prefer(preferred, func(s *State) bool { return s.proven(now) })
		// What was accepted before the pauses began says less.
		preferred = prefer(preferred, func(s *State) bool { return s.acceptedAt.After(b.pauses.since) })
	}
	return preferred
}

// prefer moves the candidates for which wanted is true to the front and returns them, or all if there
// are none.
func prefer(candidates []candidate, wanted func(*State) bool) []candidate {
	n := 0
	for i := range candidates {
		if wanted(candidates[i].state) {
			candidates[n], candidates[i] = candidates[i], candidates[n]
			n++
		}
	}
	if n == 0 {
		return candidates
	}
	return candidates[:n]
}
