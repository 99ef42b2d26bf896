package rollout

import "time"

// Choice says which versions may serve a request.
type Choice int

// The choices. Versions that Limiter.Barred reports are excluded from all of them.
const (
	// AnyVersion: no roll-out restricts the request.
	AnyVersion Choice = iota
	// OldOnly: the target must not serve the request.
	OldOnly
	// TargetFirst: the target serves the request if one of its endpoints can take it,
	// otherwise the old versions.
	TargetFirst
	// TargetOnly: only the target may serve the request.
	TargetOnly
	// Refuse: no version may serve the request; it is refused as not run with ReasonRefused.
	Refuse
)

// Request is what the limiter has to know of an attempt to serve a request.
type Request struct {
	// Repeated is set for a retry or the resumption of a stream, which is not one more request
	// of the service.
	Repeated bool
	// OldServes is set if an endpoint of a version other than the target, which is not barred,
	// is registered and not withdrawn. Endpoints that are full or ejected count as serving.
	OldServes bool
	// TargetServes is the same for the target.
	TargetServes bool
}

// Source is where a status was learned.
type Source int

// The sources.
const (
	FromRelay Source = iota
	FromStore
)

// Limiter enforces the share of one service's requests that may go to the target at one router,
// and remembers which versions were rolled back. It is not safe for concurrent use.
type Limiter struct {
	router string
}

// NewLimiter returns the limiter of a service without a roll-out. router is the id of the router.
func NewLimiter(router string) *Limiter { return &Limiter{router: router} }

// SetRollout sets the roll-out that the store holds for the service. It may be called again with
// the same roll-out.
func (l *Limiter) SetRollout(r Rollout) {}

// ClearRollout removes the roll-out, because its object was deleted. Versions that were rolled
// back stay barred.
func (l *Limiter) ClearRollout() {}

// SetStatus takes a status that the source confirmed at the given time. Statuses may come in any
// order and belong to any roll-out.
func (l *Limiter) SetStatus(confirmed time.Time, source Source, s Status) {}

// Confirm records that the store or a relay confirmed at the given time that the newest status
// known is in force. Without it or SetStatus the share is stale after 1.5 s.
func (l *Limiter) Confirm(at time.Time) {}

// Status returns the status in force; its State is None if there is none.
func (l *Limiter) Status() Status { return Status{} }

// Stale reports whether a roll-out is running with a share that is too old to be used.
func (l *Limiter) Stale(now time.Time) bool { return false }

// Barred reports whether the version was rolled back and must get no request.
func (l *Limiter) Barred(version string) bool { return false }

// Allow decides which versions may serve an attempt. With TargetFirst, the caller must call
// RecordSent if the attempt is not sent to the target.
func (l *Limiter) Allow(now time.Time, r Request) Choice { return AnyVersion }

// RecordSent records where an attempt went for which Allow returned TargetFirst. An attempt that
// did not go to the target leaves its turn to the next one.
func (l *Limiter) RecordSent(target bool) {}
