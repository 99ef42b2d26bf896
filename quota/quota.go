// Package quota divides limits that apply to all routers together into shares, which
// each router enforces without coordination. It reads no clock.
package quota

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/placement"
)

// Routers is the set of routers that share limits, from the view of one of them. It is
// immutable. A nil *Routers means that the other routers are not known yet.
type Routers struct {
	self    string
	routers []string // including self
}

// NewRouters returns the set of self and routers, which are ids in any order; self may
// be among them.
func NewRouters(self string, routers []string) *Routers {
	r := &Routers{self: self, routers: []string{self}}
	for _, router := range routers {
		if router != self {
			r.routers = append(r.routers, router)
		}
	}
	return r
}

// Count returns the number of routers, at least 1.
func (r *Routers) Count() int {
	if r == nil {
		return 1
	}
	return len(r.routers)
}

// Share returns this router's share of a limit on the number of events for the named
// object. limit is rounded down, and raised to 1 if it is lower. The shares of all routers
// add up to it. Each router gets limit divided by the number of routers, rounded down. The
// remainder r goes to the first r routers in the order of placement.Rank for name, one
// event each. In a fleet with more routers than allowed events, some routers therefore have
// a share of 0. A router that does not know the others yet has a share of 0: after a loss of all
// routers, each of hundreds would otherwise send one.
func (r *Routers) Share(limit float64, name string) int {
	whole := int(max(1, limit))
	if r == nil {
		return 0
	}
	even, rest := whole/len(r.routers), whole%len(r.routers)
	if rest > 0 && placement.Rank(name, r.self, r.routers) < rest {
		even++
	}
	return even
}

// EvenShare returns this router's share of a limit that is much larger than the number of
// routers. The shares are equal, and the remainder of the division stays unused. The share
// is at least 1. A router that does not know the others yet has the whole limit.
func (r *Routers) EvenShare(limit float64) int {
	return max(1, int(limit/float64(r.Count())))
}

// Window counts events in a sliding window of windowLength, slightly more than a second.
// It is not safe for concurrent use.
type Window struct {
	times []time.Time // of the events in the window, oldest first
}

// windowLength is one second, the period to which the limits apply, plus a margin for the
// varying delay between the sending of a request and its arrival. Without the margin,
// requests that are sent more than a second apart could arrive within one second.
const windowLength = time.Second + 100*time.Millisecond

// Count returns the number of events in the window that ends now.
func (w *Window) Count(now time.Time) int {
	first := 0
	for first < len(w.times) && now.Sub(w.times[first]) > windowLength {
		first++
	}
	w.times = w.times[:copy(w.times, w.times[first:])]
	return len(w.times)
}

// Add records an event at the given time.
func (w *Window) Add(now time.Time) {
	w.Count(now)
	w.times = append(w.times, now)
}
