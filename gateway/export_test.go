package gateway

import "time"

// SetBodyTimeout replaces the time-out for callers' bodies.
func (g *Gateway) SetBodyTimeout(d time.Duration) { g.bodyTimeout = d }

// OutstandingWork returns the gauge work.outstanding_ms of a service after an update.
func (g *Gateway) OutstandingWork(service string) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.exportWork(time.Now())
	if known := g.work[service]; known != nil && known.outstanding != nil {
		return known.outstanding.Value()
	}
	return 0
}

// QueuedRequests returns the number of requests that wait for room.
func (g *Gateway) QueuedRequests() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rooms.queued
}

// RoomSlots returns the room of a service, computed anew.
func (g *Gateway) RoomSlots(service string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.roomOf(time.Now(), service, true)
	r.refreshedAt = time.Time{}
	g.refreshRoom(time.Now(), r)
	slots, _ := r.InFlight()
	return slots
}
