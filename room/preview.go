package room

import (
	"maps"
	"slices"
	"time"
)

// Preview returns the decision that Offer would make now with the given room, without any effect on
// the service. The parameters are those of SetRoom.
func (s *Service) Preview(now time.Time, r Request, slots, fleetInFlight, routers int, known bool) Decision {
	c := s.clone()
	c.SetRoom(now, slots, fleetInFlight, routers, known)
	return c.Offer(now, r)
}

// clone returns a copy on which Offer has no effect on the original.
func (s *Service) clone() *Service {
	c := *s
	c.waiting.waiters = slices.Clone(s.waiting.waiters)
	c.refusals.times = slices.Clone(s.refusals.times)
	c.rates = nil
	for _, window := range []*demandWindow{&c.own, &c.sends} {
		for i := range window.counts {
			window.counts[i] = maps.Clone(window.counts[i])
		}
	}
	return &c
}
