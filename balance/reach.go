package balance

import "time"

const (
	// silenceWindow is the time within which two endpoints of a zone must fall
	// silent for the whole zone to be doubted: connections that are cut together
	// run out within one time-out of each other.
	silenceWindow = time.Second
	// silentZone is the number of endpoints that must fall silent.
	silentZone = 2
	// zoneProbes is the number of endpoints of a doubted zone that are tried at a
	// time: a zone may have hundreds.
	zoneProbes = 2
)

// Unreachable says that the endpoint could not be reached or fell silent. It gets
// no work until Verified. The result is whether it was ejected just now.
func (s *State) Unreachable(now time.Time) bool {
	s.unverified = true
	return s.Failed(now)
}

// zoneState is an availability zone as a router sees it.
type zoneState struct {
	// silent are the endpoints that fell silent lately.
	silent map[*State]time.Time
	// doubted zones get no work until a new connection to one of their endpoints
	// has been opened.
	doubted bool
	// probes is the number of connections that are being tried while it is doubted.
	probes int
}

func (b *Balancer) zoneOf(name string) *zoneState {
	z := b.zones[name]
	if z == nil {
		z = &zoneState{silent: map[*State]time.Time{}}
		b.zones[name] = z
	}
	return z
}

// Verified says how the attempt to open a connection ended.
func (s *State) Verified(now time.Time, reached bool) {
	s.verifying = false
	if s.zone.doubted {
		s.zone.probes = max(0, s.zone.probes-1)
	}
	if reached {
		s.unverified, s.zone.doubted = false, false
		return
	}
	s.Failed(now)
}

// Unverified returns the endpoints to which a connection is to be opened now: those
// that could not be reached, and a few of each doubted zone. Each is returned once
// until Verified is called.
func (b *Balancer) Unverified(now time.Time) []*State {
	var due []*State
	for _, state := range b.states {
		probe := state.zone.doubted && state.zone.probes < zoneProbes
		if !state.unverified && !probe || state.verifying || now.Before(state.ejectedUntil) {
			continue
		}
		if state.zone.doubted {
			state.zone.probes++
		}
		state.verifying = true
		due = append(due, state)
	}
	return due
}

// Silent notes that an endpoint fell silent. It reports whether its zone is doubted
// from now on, because several of its endpoints did.
func (b *Balancer) Silent(now time.Time, state *State) bool {
	z := state.zone
	z.silent[state] = now
	for other, at := range z.silent {
		if now.Sub(at) > silenceWindow {
			delete(z.silent, other)
		}
	}
	if z.doubted || len(z.silent) < silentZone {
		return false
	}
	z.doubted, z.probes = true, 0
	return true
}
