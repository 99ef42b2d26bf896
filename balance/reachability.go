package balance

import "time"

const (
	// An availability zone is doubted, that is, suspected to be unreachable as a whole,
	// when at least zoneSilentThreshold of its endpoints stop answering within
	// zoneSilenceWindow. Connections that are cut at the same time fail within one
	// time-out of each other.
	zoneSilenceWindow   = time.Second
	zoneSilentThreshold = 2
	// maxZoneProbes bounds the number of endpoints of a doubted zone that are probed
	// at a time, since a zone may have hundreds.
	maxZoneProbes = 2
)

// MarkUnreachable records that the endpoint could not be reached or stopped answering. It
// gets no work until RecordProbe reports a new connection. Like RecordFailure,
// MarkUnreachable returns whether this call ejected the endpoint.
func (s *State) MarkUnreachable(now time.Time) bool {
	if !s.unverified {
		s.unverified, s.unreachableSince = true, now
	}
	return s.RecordFailure(now)
}

// UnreachableSince returns when the endpoint could not be reached for the first time since a connection
// to it was last opened, and false if there was no such time.
func (s *State) UnreachableSince() (time.Time, bool) { return s.unreachableSince, s.unverified }

// zoneState is an availability zone as a router sees it.
type zoneState struct {
	// silentAt has the endpoints of the zone that stopped answering within the last
	// zoneSilenceWindow, each with the time at which it did.
	silentAt map[*State]time.Time
	// doubted is set when the zone is suspected to be unreachable. Its endpoints get
	// no work until a new connection to one of them has been opened.
	doubted bool
	// activeProbes is the number of connections that are being opened while the zone
	// is doubted.
	activeProbes int
}

func (b *Balancer) zoneOf(name string) *zoneState {
	z := b.zones[name]
	if z == nil {
		z = &zoneState{silentAt: map[*State]time.Time{}}
		b.zones[name] = z
	}
	return z
}

// RecordProbe records whether a new connection to an endpoint returned by StartProbes
// could be opened.
func (s *State) RecordProbe(now time.Time, reached bool) {
	s.AbandonProbe()
	if reached {
		s.unverified, s.zone.doubted = false, false
		return
	}
	s.RecordFailure(now)
}

// AbandonProbe ends a probe that says nothing of the endpoint, since this router could not open
// a connection to any. The endpoint is probed again.
func (s *State) AbandonProbe() {
	s.probing = false
	if s.zone.doubted {
		s.zone.activeProbes = max(0, s.zone.activeProbes-1)
	}
}

// StartProbes returns the endpoints to which the caller must open a connection now: the
// unverified ones, and up to maxZoneProbes at a time of each doubted zone. Ejected
// and paused endpoints are left out. The caller reports the result with RecordProbe; until then the
// endpoint is not returned again.
func (b *Balancer) StartProbes(now time.Time) []*State {
	var due []*State
	for _, state := range b.states {
		probe := state.zone.doubted && state.zone.activeProbes < maxZoneProbes
		if !state.unverified && !probe || state.probing || now.Before(state.ejectedUntil) || state.paused(now) {
			continue
		}
		if state.zone.doubted {
			state.zone.activeProbes++
		}
		state.probing = true
		due = append(due, state)
	}
	return due
}

// RecordSilence records that an endpoint stopped answering. It returns true if the
// endpoint's zone becomes doubted by this call.
func (b *Balancer) RecordSilence(now time.Time, state *State) bool {
	z := state.zone
	z.silentAt[state] = now
	for other, at := range z.silentAt {
		if now.Sub(at) > zoneSilenceWindow {
			delete(z.silentAt, other)
		}
	}
	if z.doubted || len(z.silentAt) < zoneSilentThreshold {
		return false
	}
	z.doubted, z.activeProbes = true, 0
	return true
}
