// Package quota holds limits that sum over all routers, as shares that each
// router keeps without agreement. It reads no clock.
package quota

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/placement"
)

// Fleet is the routers that share limits, as one of them sees it. It is never
// changed. A nil Fleet says that the others are not known yet.
type Fleet struct {
	self    string
	routers []string // with self
}

// NewFleet returns a fleet. routers are ids in any order; self may be among them.
func NewFleet(self string, routers []string) *Fleet {
	f := &Fleet{self: self, routers: []string{self}}
	for _, router := range routers {
		if router != self {
			f.routers = append(f.routers, router)
		}
	}
	return f
}

// Routers returns the number of routers, at least 1.
func (f *Fleet) Routers() int {
	if f == nil {
		return 1
	}
	return len(f.routers)
}

// Share returns this router's part of a limit, a number of events, for the thing
// with the name. The shares of all routers add up to the limit at most: what is
// left of an even division goes to the routers that rank first for the name, so
// that a fleet with more routers than the limit allows events keeps it too. A
// router that does not know the others yet has a share of 1.
func (f *Fleet) Share(limit float64, name string) int {
	whole := int(max(1, limit))
	if f == nil {
		return 1
	}
	even, rest := whole/len(f.routers), whole%len(f.routers)
	if rest > 0 && placement.Rank(name, f.self, f.routers) < rest {
		even++
	}
	return even
}

// Even returns this router's part of a limit that is much larger than the fleet,
// and 1 at least. The remainder stays unused.
func (f *Fleet) Even(limit float64) int {
	return max(1, int(limit/float64(f.Routers())))
}

// Window counts events in a sliding second. It is not safe for concurrent use.
type Window struct {
	times []time.Time // of the newest events, in order
}

// span is the length of the window: the second that the limit names, and the
// time by which a request may arrive later than it is sent.
const span = time.Second + 100*time.Millisecond

// Count returns the number of events in the window that ends now.
func (w *Window) Count(now time.Time) int {
	first := 0
	for first < len(w.times) && now.Sub(w.times[first]) > span {
		first++
	}
	w.times = w.times[:copy(w.times, w.times[first:])]
	return len(w.times)
}

// Add enters one event.
func (w *Window) Add(now time.Time) {
	w.Count(now)
	w.times = append(w.times, now)
}
