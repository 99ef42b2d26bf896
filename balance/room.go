package balance

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/roster"
)

// Room is the capacity of the endpoints of a service that can take new work, in concurrent
// requests, and the requests that all routers have in flight there.
type Room struct {
	Slots, InFlight int
	// Known is set if another router's loads were received within remoteLoadTTL.
	Known bool
}

// Room returns the room of a service. Endpoints that are cold, ejected, unverified, paused or in
// a doubted zone are left out.
func (b *Balancer) Room(now time.Time, members []*roster.Endpoint, usable func(*roster.Endpoint) bool) Room {
	room := Room{}
	for _, remote := range b.remotePrompts {
		room.Known = room.Known || now.Sub(remote.at) < remoteLoadTTL
	}
	for _, endpoint := range members {
		state := b.State(endpoint)
		switch {
		case !usable(endpoint), endpoint.Cold(now), now.Before(state.ejectedUntil):
		case state.unverified, state.zone.doubted, state.paused(now):
		default:
			room.Slots += endpoint.Slots
			room.InFlight += int(state.load(now))
		}
	}
	return room
}
