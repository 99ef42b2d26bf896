// Package rollout decides staged roll-outs: canary releases in which a growing share of a
// service's requests goes to the target version until the version is taken over (done) or
// rolled back. It does no I/O and reads no clock.
//
// Each router has a Limiter for each service, which decides for a request whether the target
// version may serve it, and a Counter of the answers of both versions. Reports of the counters
// go to the relays, whose Collector adds them up. The first relay calls Controller.Step, which
// decides the next Status. The status is kept in the store and sent to all routers.
package rollout

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rollout is an operator's order to replace the versions of a service by the target version.
type Rollout struct {
	Service string
	Target  string // version
	// ID identifies the order. Two orders have different ids even if they name the same target.
	ID     string
	Period time.Duration // from Created to the deadline
	// Created is the time at which the store created the object, zero if not known. A roll-out
	// whose first status is much later counts its period from there, see Status.Started.
	Created time.Time
	// Bounds are those of the settings; the zero value stands for DefaultBounds. They are no part
	// of the order.
	Bounds Bounds
}

// Bounds limit the exposure: until the deadline, a bad version may get Share of the requests to
// the service plus Slack requests. A Share of 0 stands for DefaultBounds.
type Bounds struct {
	Share float64 // above 0 to 1
	Slack float64 // requests, at least 0
}

// DefaultBounds are the bounds for which the simulation's figures were measured.
var DefaultBounds = Bounds{Share: 0.1, Slack: 50}

func (b Bounds) orDefault() Bounds {
	if b.Share <= 0 {
		return DefaultBounds
	}
	return b
}

// New returns the roll-out of an object in the store that was created at the given time.
func New(service, target string, period time.Duration, created time.Time) Rollout {
	hash := xxhash.New()
	_, _ = fmt.Fprintf(hash, "%q %q %d %d", service, target, period.Milliseconds(), created.UnixMilli())
	return Rollout{
		Service: service, Target: target, Period: period, Created: created,
		ID: strconv.FormatUint(hash.Sum64(), 16),
	}
}

// State is the progress of a roll-out.
type State int

// The states. Done and RolledBack are final.
const (
	None State = iota // the order has no status yet
	Running
	Done
	RolledBack
)

var stateNames = map[State]string{Running: "running", Done: "done", RolledBack: "rolled_back"}

// String returns the name of the state in the store, "" for None.
func (s State) String() string { return stateNames[s] }

// Final reports whether the state never changes again for its order.
func (s State) Final() bool { return s == Done || s == RolledBack }

// ParseState returns the state with a name in the store; None if there is no such name.
func ParseState(name string) State {
	for state, known := range stateNames {
		if known == name {
			return state
		}
	}
	return None
}

// Reasons of a roll-back, see Status.Reason.
const (
	ReasonFailures    = "failures"     // answers failed
	ReasonSlow        = "slow"         // answers were several times slower
	ReasonNoEndpoints = "no_endpoints" // no target endpoint could serve until the deadline
	ReasonNoAnswers   = "no_answers"   // no target endpoint answered until the deadline
)

// ReasonRefused is the reason of the refusal of a request that only a rolled back version
// could serve.
const ReasonRefused = "version_rolled_back"

// Status is what the store holds for a roll-out.
type Status struct {
	State  State
	Target string // version
	Order  string // Rollout.ID
	Reason string // of a roll-back
	// Share is the fraction of the service's requests that may go to the target, 0 to 1.
	Share float64
	// Started is when the first status of the order was decided, in whole milliseconds.
	Started time.Time
	// Since is when Share last rose, as far as the decider knows; it is not stored. See
	// Controller.
	Since time.Time
}

// SameContent reports whether the stored fields of two statuses are the same, so that no write
// is needed.
func (s Status) SameContent(other Status) bool {
	s.Since, other.Since = time.Time{}, time.Time{}
	s.Started, other.Started = time.UnixMilli(s.Started.UnixMilli()), time.UnixMilli(other.Started.UnixMilli())
	return s == other
}
