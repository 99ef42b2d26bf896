// Package endpointstate is the state machine of an endpoint as one router sees
// it. It does no I/O and reads no clock.
package endpointstate

import "fmt"

// State is the state of an endpoint. States are ordered: of two that apply at
// once, the greater one takes precedence.
type State int

const (
	// Ready means that the endpoint takes all requests.
	Ready State = iota
	// Joining means that the endpoint is listed but has not reported yet. It takes no
	// work.
	Joining
	// Warming means that the endpoint is filling its caches. It takes work only through
	// the router that holds the endpoint's cold lease.
	Warming
	// Cold means that the endpoint has empty caches. It takes work only through the
	// router that holds the endpoint's cold lease.
	Cold
	// Suspect means that reports are late or that requests failed. The endpoint takes
	// no new chats but keeps the chats that were moved to it.
	Suspect
	// Down means that the endpoint is taken to have failed, or that the platform does
	// not list its instance. It takes no work.
	Down
	// Leaving means that the platform or a load report says that the endpoint is
	// leaving. It takes no new work; running work finishes.
	Leaving
	// Withdrawn means that a release note has taken the endpoint out of service. It
	// takes no new work; running work may continue until the drain deadline.
	Withdrawn
)

var stateNames = [...]string{"ready", "joining", "warming", "cold", "suspect", "down", "leaving", "withdrawn"}

// String returns the name used in logs and on the operators' listener.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", int(s))
	}
	return stateNames[s]
}

// Worst returns whichever of a and b takes precedence.
func Worst(a, b State) State {
	return max(a, b)
}

// NeedsLease reports whether only the holder of the cold lease may grant work.
func (s State) NeedsLease() bool {
	return s == Cold || s == Warming
}

// TakesNoNewWork reports whether the endpoint takes no new work at all.
func (s State) TakesNoNewWork() bool {
	return s == Joining || s >= Down
}

// TakesNewChats reports whether chats that the endpoint did not serve before may
// be placed there.
func (s State) TakesNewChats() bool {
	return !s.TakesNoNewWork() && s != Suspect
}
