package mirror

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// failuresToOutage is the number of failed calls in a row from which a mirror takes the store
	// for unavailable. One failed call is no sign of it: a watch may be cut off while the store
	// answers everything else.
	failuresToOutage = 2
	// minProbeInterval and maxProbeInterval bound the time between two probes, which are calls of
	// this router's mirrors to a store that answers neither them nor the relays. The relays may
	// be cut off from a store that is up, so that a change must be found by the next probe within
	// the 2 s that the platform allows.
	minProbeInterval = time.Second
	maxProbeInterval = 1500 * time.Millisecond
	// probeCheckInterval is the time between checks of whether a probe is due.
	probeCheckInterval = 100 * time.Millisecond
)

// Access is what the mirrors of one router know together of whether the store answers. In an
// outage they take turns in calling it. It is safe for concurrent use.
type Access struct {
	mu         sync.Mutex
	answeredAt time.Time // when the store last answered one of the mirrors
	probeAt    time.Time // when the next probe is due
}

// recordAnswer records that the store has answered a call.
func (a *Access) recordAnswer(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answeredAt = now
}

// mayCall reports whether a mirror whose calls have failed since the given time may call the store:
// it has answered another mirror since, or a probe is due, which the caller then makes.
func (a *Access) mayCall(now, since time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.answeredAt.After(since) {
		return true
	}
	if now.Before(a.probeAt) {
		return false
	}
	a.probeAt = now.Add(minProbeInterval + rand.N(maxProbeInterval-minProbeInterval))
	return true
}
