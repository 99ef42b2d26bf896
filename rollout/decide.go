package rollout

import "time"

// Evidence is what a decision is based on, for logs.
type Evidence struct {
	Route                           string // route with the failures or slow answers; "" for all
	Answers, Failed, Slow           uint64 // of the target on that route
	OldAnswers, OldFailed, OldSlow  uint64
	TargetSent, Sent                uint64 // attempts of the target and of all versions
	OldInFlight, Routers, Confirmed int
}

// Decide returns the status that should be in force. It is pure. A status of another order counts
// as none. The result is current itself if nothing changes.
func Decide(now time.Time, r Rollout, current Status, counts Counts) (Status, Evidence) {
	return current, Evidence{}
}

// Controller calls Decide at a relay, and remembers what the store does not hold: how long a share
// has been in force, and a verdict that has not been written yet. It is not safe for concurrent use.
type Controller struct{}

// Step returns the status that should be in force and written if it differs from stored (see
// Status.SameContent). stored is the newest status that the store is known to hold; a final one
// overrides what the controller decided before.
func (c *Controller) Step(now time.Time, r Rollout, stored Status, counts Counts) (Status, Evidence) {
	return Decide(now, r, stored, counts)
}
