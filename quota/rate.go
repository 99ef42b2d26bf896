// Package quota holds limits that sum over all routers, as shares that each
// router keeps without agreement. It reads no clock.
package quota

import "time"

// Share returns a router's part of a limit that all routers keep together. The
// remainder stays unused, since no router knows who would have it.
func Share(limit float64, routers int) int {
	return max(1, int(limit/float64(max(1, routers))))
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
