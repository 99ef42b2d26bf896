package balance

import "time"

const (
	// silenceWindow is the time within which two endpoints of a zone must fall
	// silent for the whole zone to be doubted: connections that are cut together
	// run out within one time-out of each other.
	silenceWindow = time.Second
	// silentZone is the number of endpoints that must fall silent.
	silentZone = 2
)

// Unreachable says that the endpoint could not be reached or fell silent. It gets
// no work until Verified. The result is whether it was ejected just now.
func (s *State) Unreachable(now time.Time) bool {
	s.unverified = true
	return s.Failed(now)
}

// Doubt keeps work from the endpoint until a new connection has been opened.
func (s *State) Doubt() { s.unverified = true }

// Verified says how the attempt to open a connection ended.
func (s *State) Verified(now time.Time, reached bool) {
	s.verifying = false
	if reached {
		s.unverified = false
		return
	}
	s.Failed(now)
}

// Unverified returns the endpoints to which a connection is to be opened now. Each
// is returned once until Verified is called.
func (b *Balancer) Unverified(now time.Time) []*State {
	var due []*State
	for _, state := range b.states {
		if state.unverified && !state.verifying && !now.Before(state.ejectedUntil) {
			state.verifying = true
			due = append(due, state)
		}
	}
	return due
}

// Silent notes that an endpoint fell silent. It reports whether so many of its
// zone have that the whole zone is to be doubted.
func (b *Balancer) Silent(now time.Time, state *State) bool {
	zone := b.silent[state.Endpoint.Zone]
	if zone == nil {
		zone = map[*State]time.Time{}
		b.silent[state.Endpoint.Zone] = zone
	}
	zone[state] = now
	for other, at := range zone {
		if now.Sub(at) > silenceWindow {
			delete(zone, other)
		}
	}
	return len(zone) >= silentZone
}

// Zone calls yield with the endpoints of a zone that are known.
func (b *Balancer) Zone(zone string, yield func(*State)) {
	for _, state := range b.states {
		if state.Endpoint.Zone == zone {
			yield(state)
		}
	}
}
