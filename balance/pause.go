package balance

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/roster"
)

// maxPause bounds a pause, so that an absurd value does not take an endpoint out for good. After
// it the endpoint is asked again.
const maxPause = 5 * time.Minute

// Pause keeps all requests of this router away from the endpoint, which has asked for that, for
// the given time. It returns the time for which it does: at most maxPause. A pause ends with the
// endpoint, and it concerns this router only.
func (s *State) Pause(now time.Time, d time.Duration) time.Duration {
	d = min(d, maxPause)
	s.recordPause(now, d)
	if until := now.Add(d); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
	return d
}

func (s *State) paused(now time.Time) bool { return now.Before(s.pausedUntil) }

// PauseEnd returns how long the pause lasts that ends first among those of the members that are
// usable; 0 if one of these is not paused.
func (b *Balancer) PauseEnd(now time.Time, members []*roster.Endpoint, usable func(*roster.Endpoint) bool) time.Duration {
	var first time.Time
	for _, endpoint := range members {
		if !usable(endpoint) {
			continue
		}
		if until := b.State(endpoint).pausedUntil; first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return max(0, first.Sub(now))
}
