package balance

import "time"

const (
	// zoneSilenceWindow is the time within which zoneSilentThreshold endpoints of an
	// availability zone must stop answering for the whole zone to be doubted, that is,
	// suspected to be unreachable. Connections that are cut together time out within
	// one time-out of each other.
	zoneSilenceWindow = time.Second
	// zoneSilentThreshold is the number of unresponsive endpoints from which a zone is
	// doubted.
	zoneSilentThreshold = 2
	// maxZoneProbes bounds the number of endpoints of a doubted zone that are probed
	// at a time, since a zone may have hundreds.
	maxZoneProbes = 2
)

// MarkUnreachable records that the endpoint could not be reached or stopped answering. It
// gets no work until RecordProbe reports a new connection. The result is that of Failed:
// whether the endpoint was ejected by this call.
func (s *State) MarkUnreachable(now time.Time) bool {
	s.unverified = true
	return s.Failed(now)
}

// zoneState is an availability zone as a router sees it.
type zoneState struct {
	// silentAt has the times at which endpoints of the zone stopped answering, as far
	// as they lie within zoneSilenceWindow.
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
	s.probing = false
	if s.zone.doubted {
		s.zone.activeProbes = max(0, s.zone.activeProbes-1)
	}
	if reached {
		s.unverified, s.zone.doubted = false, false
		return
	}
	s.Failed(now)
}

// StartProbes returns the endpoints to which the caller opens a connection now: those
// that could not be reached, and a few of each doubted zone, unless they are ejected.
// The caller reports the result with RecordProbe; until then the endpoint is not returned
// again.
func (b *Balancer) StartProbes(now time.Time) []*State {
	var due []*State
	for _, state := range b.states {
		probe := state.zone.doubted && state.zone.activeProbes < maxZoneProbes
		if !state.unverified && !probe || state.probing || now.Before(state.ejectedUntil) {
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

// RecordSilence records that an endpoint stopped answering. It returns true if this
// puts its zone in doubt because zoneSilentThreshold endpoints did so within
// zoneSilenceWindow.
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
