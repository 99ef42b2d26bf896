package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Class is what a version is to a router while a roll-out is in force or after it.
type Class int

// The classes.
const (
	Old    Class = iota // every version that is none of the others
	Target              // the target of the roll-out in force
	// Unproven versions were the target of an order that was replaced or deleted before it was
	// done. They serve only what no old version and no target can serve.
	Unproven
	Barred // versions that were rolled back
)

// Choice says which classes of versions may serve a request, see Admits.
type Choice int

// The choices. No choice admits barred versions.
const (
	AnyVersion  Choice = iota // all others
	OldOnly                   // the target must not serve the request
	TargetFirst               // the target if one of its endpoints can take it, otherwise the old versions
	TargetOnly                // no old version may serve the request
	Refuse                    // the request is refused as not run with ReasonRefused
)

// Admits reports whether a version of the class may serve a request with this choice.
func (c Choice) Admits(class Class) bool {
	switch c {
	case AnyVersion:
		return class != Barred
	case OldOnly:
		return class == Old
	case TargetFirst:
		return class == Old || class == Target
	case TargetOnly:
		return class == Target
	}
	return false
}

// Request is what the limiter has to know of an attempt to serve a request. A class serves if
// one of its endpoints is registered and not withdrawn; endpoints that are full or ejected for a
// moment count as serving.
type Request struct {
	// Repeated is set for a retry or the resumption of a stream, which is not one more request
	// of the service.
	Repeated                                              bool
	OldServes, TargetServes, UnprovenServes, BarredServes bool
}

// AddServing records that an endpoint of the class serves.
func (r *Request) AddServing(class Class) {
	switch class {
	case Old:
		r.OldServes = true
	case Target:
		r.TargetServes = true
	case Unproven:
		r.UnprovenServes = true
	case Barred:
		r.BarredServes = true
	}
}

// Source is where a status was learned.
type Source int

// The sources.
const (
	FromRelay Source = iota
	FromStore
)

const (
	// StaleAfter is the time after the last confirmation from which a share below 1 is not used.
	StaleAfter = 1500 * time.Millisecond
	// maxVersions bounds the barred and the unproven versions that are remembered; the oldest are
	// forgotten.
	maxVersions = 64
	// focusTurn is how long Limiter.Focus names the same single endpoint.
	// Two of them get requests in the shortest second stage, so that it shows a bad version. A
	// turn of 500 ms is too short for the load of share 1 to build up, and one of 1 s delays the
	// verdict on a version that turns bad in this stage.
	focusTurn = 750 * time.Millisecond
	// creditTolerance makes up for rounding when shares are added: 20 times 0.05 is a turn.
	creditTolerance = 1e-9
)

// barredVersion is a version that was rolled back.
type barredVersion struct {
	version string
	order   string    // Rollout.ID
	started time.Time // Status.Started
}

// Limiter enforces the share of one service's requests that may go to the target at one router,
// and remembers which versions were rolled back. It is not safe for concurrent use.
type Limiter struct {
	router  string
	rollout Rollout // ID is "" if there is none
	status  Status  // of rollout
	source  Source  // of status
	// confirmed is when status was last confirmed; relayed the same for statuses from a relay.
	confirmed, relayed time.Time
	// early is the newest status of an order that is not known yet.
	early          Status
	earlySource    Source
	earlyConfirmed time.Time
	// credit is the part of a turn at the target that the requests so far have added up to.
	credit float64
	barred []barredVersion // oldest first
	// unproven are the targets of orders that ended without a verdict, oldest first.
	unproven []string
}

// NewLimiter returns the limiter of a service without a roll-out. router is the id of the router.
func NewLimiter(router string) *Limiter { return &Limiter{router: router} }

// SetRollout sets the roll-out that the store holds for the service. It may be called again with
// the same roll-out. A new order for a version that was rolled back lifts the bar.
func (l *Limiter) SetRollout(r Rollout) {
	if r.ID == l.rollout.ID {
		return
	}
	l.leaveRollout()
	l.rollout, l.source = r, FromRelay
	l.confirmed, l.relayed = time.Time{}, time.Time{}
	l.credit = phase(l.router, r.ID)
	l.unproven = slices.DeleteFunc(l.unproven, func(v string) bool { return v == r.Target })
	if i := l.findBarred(r.Target); i >= 0 && l.barred[i].order != r.ID &&
		(r.Created.IsZero() || r.Created.After(l.barred[i].started)) {
		l.barred = slices.Delete(l.barred, i, i+1)
	}
	if l.early.Order == r.ID {
		l.SetStatus(l.earlyConfirmed, l.earlySource, l.early)
	}
}

// phase returns the credit, from 0 to 1, with which a router starts. Without it all routers of
// a large fleet would send their first request to the target at the same time or never.
func phase(router, order string) float64 {
	return float64(xxhash.Sum64String(router+"/"+order)>>11) / (1 << 53)
}

// ClearRollout removes the roll-out, because its object was deleted. Versions that were rolled
// back stay barred.
func (l *Limiter) ClearRollout() { l.leaveRollout() }

// leaveRollout forgets the roll-out in force. Its target is unproven if there was no verdict:
// without that, an order back to the version that still serves would leave most requests to the
// one that was being tried.
func (l *Limiter) leaveRollout() {
	target := l.rollout.Target
	if l.rollout.ID != "" && !l.status.State.Final() && !slices.Contains(l.unproven, target) {
		l.unproven = append(l.unproven, target)
		l.unproven = l.unproven[max(0, len(l.unproven)-maxVersions):]
	}
	l.rollout, l.status = Rollout{}, Status{}
}

// SetStatus takes a status that the source confirmed at the given time. Statuses may come in any
// order and belong to any roll-out.
func (l *Limiter) SetStatus(confirmed time.Time, source Source, s Status) {
	if s.Order != l.rollout.ID || l.rollout.ID == "" {
		l.setForeign(confirmed, source, s)
		return
	}
	l.confirmed = later(l.confirmed, confirmed)
	if !l.supersedes(confirmed, source, s) {
		return
	}
	if source == FromRelay {
		l.relayed = later(l.relayed, confirmed)
	}
	l.status, l.source = s, source
	if s.State == RolledBack {
		l.bar(s)
	} else if i := l.findBarred(l.rollout.Target); i >= 0 && l.barred[i].order != s.Order ||
		i >= 0 && source == FromStore && s.State == Done {
		l.barred = slices.Delete(l.barred, i, i+1)
	}
}

// supersedes reports whether a status replaces the one of the same order that is in force. The
// store settles it if two relays announced different verdicts. A share from the store does not
// replace a newer one that a relay announced and has not written yet.
func (l *Limiter) supersedes(confirmed time.Time, source Source, s Status) bool {
	switch {
	case l.status.State.Final():
		return s.State.Final() && source == FromStore && l.source == FromRelay
	case s.State.Final():
		return true
	case source == FromStore:
		return l.relayed.IsZero() || confirmed.Sub(l.relayed) > StaleAfter
	}
	return !confirmed.Before(l.relayed)
}

// setForeign takes a status of an order that is not the one in force: an older order, or one
// whose object this router has not seen yet. It bars a version that was rolled back, unless the
// order in force is newer and tries the same version again.
func (l *Limiter) setForeign(confirmed time.Time, source Source, s Status) {
	if s.Order == "" {
		return
	}
	if !s.Started.Before(l.early.Started) && (s.Order != l.early.Order || s.State.Final() || !l.early.State.Final()) {
		l.early, l.earlySource, l.earlyConfirmed = s, source, confirmed
	}
	retried := l.rollout.Target == s.Target && l.rollout.Created.After(s.Started)
	if s.State == RolledBack && !retried {
		l.bar(s)
	}
}

// bar remembers that the target of a status was rolled back.
func (l *Limiter) bar(s Status) {
	if i := l.findBarred(s.Target); i >= 0 {
		l.barred = slices.Delete(l.barred, i, i+1)
	}
	l.barred = append(l.barred, barredVersion{version: s.Target, order: s.Order, started: s.Started})
	l.barred = l.barred[max(0, len(l.barred)-maxVersions):]
}

func (l *Limiter) findBarred(version string) int {
	return slices.IndexFunc(l.barred, func(b barredVersion) bool { return b.version == version })
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Confirm records that the store or a relay confirmed at the given time that the newest status
// known is in force. Without it or SetStatus a share below 1 is stale after StaleAfter.
func (l *Limiter) Confirm(at time.Time) { l.confirmed = later(l.confirmed, at) }

// Rollout returns the roll-out that the store holds; its ID is "" if there is none.
func (l *Limiter) Rollout() Rollout { return l.rollout }

// Status returns the status in force; its State is None if there is none.
func (l *Limiter) Status() Status { return l.status }

// Stale reports whether a roll-out is running with a share that is too old to be used.
func (l *Limiter) Stale(now time.Time) bool {
	return l.status.State == Running && l.status.Share < 1 && now.Sub(l.confirmed) > StaleAfter
}

// Share returns the share in force: 0 without a status or while the share is stale.
func (l *Limiter) Share(now time.Time) float64 {
	switch {
	case l.status.State == Done:
		return 1
	case l.status.State != Running || l.Stale(now):
		return 0
	}
	return l.status.Share
}

// Class returns what a version is now.
func (l *Limiter) Class(version string) Class {
	switch {
	case l.findBarred(version) >= 0:
		return Barred
	case l.rollout.ID != "" && version == l.rollout.Target:
		return Target
	case slices.Contains(l.unproven, version):
		return Unproven
	}
	return Old
}

// Allow decides which versions may serve an attempt. With TargetFirst, the caller must call
// RecordSent after it chose an endpoint, or if it chose none.
func (l *Limiter) Allow(now time.Time, r Request) Choice {
	switch {
	case l.status.State == Done && r.TargetServes:
		return TargetOnly
	case !r.OldServes:
		return allowWithoutOld(r)
	case l.rollout.ID == "" && len(l.barred) == 0 && len(l.unproven) == 0:
		return AnyVersion
	case !r.TargetServes || l.status.State == Done:
		return OldOnly
	}
	return l.allowShare(l.Share(now), r.Repeated)
}

// allowWithoutOld decides if no old version serves: neither the share nor its age counts then.
func allowWithoutOld(r Request) Choice {
	switch {
	case r.TargetServes:
		return TargetOnly
	case r.UnprovenServes:
		return AnyVersion
	case r.BarredServes:
		return Refuse
	}
	return AnyVersion
}

// allowShare spends credit if there is enough for a turn at the target.
func (l *Limiter) allowShare(share float64, repeated bool) Choice {
	if share >= 1 {
		return TargetFirst
	}
	if !repeated {
		l.credit += share
	}
	if share == 0 || l.credit < 1-creditTolerance {
		return OldOnly
	}
	l.credit = max(0, l.credit-1)
	return TargetFirst
}

// RecordSent records where an attempt went for which Allow returned TargetFirst. An attempt that
// did not go to the target leaves its turn to the next one. The credit is limited to one turn, so
// that turns that could not be used don't add up to a burst.
func (l *Limiter) RecordSent(target bool) {
	if !target {
		l.credit = min(1, l.credit+1)
	}
}

// Focus returns those of the target endpoints that attempts should go to now; if none of them can
// take an attempt, any other may. While the share is between that of the canary stage and 1, these
// are as many as get about the load of share 1, so that a version that fails under load is found
// at a small share. If it is a single one, it changes every focusTurn, because one endpoint does
// not show that the version is bad. Routers that see the same endpoints choose the same ones.
// Otherwise, and with another choice than TargetFirst, Focus returns all.
func (l *Limiter) Focus(now time.Time, choice Choice, endpoints []string) []string {
	share := l.Share(now)
	if choice != TargetFirst || share < minFocusShare || share >= 1 || len(endpoints) == 0 {
		return endpoints
	}
	focused := int(math.Ceil(share*float64(len(endpoints)) - creditTolerance))
	first := 0
	if focused == 1 {
		first = max(0, int(now.Sub(l.status.Started)/focusTurn)) % len(endpoints)
	}
	hash := func(id string) uint64 { return xxhash.Sum64String(l.rollout.ID + "/" + id) }
	byHash := slices.SortedFunc(slices.Values(endpoints), func(a, b string) int { return cmp.Compare(hash(a), hash(b)) })
	return byHash[first:min(len(byHash), first+focused)]
}
