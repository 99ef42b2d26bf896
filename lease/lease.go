// Package lease implements leases that are each stored in one object of the
// object API. An Elector is the state machine of one router that wants a lease; it
// does no I/O and reads no clock. A Manager runs electors against an
// objectstore.Store.
//
// All times are on the router's own monotonic clock. Two routers never hold a
// valid lease at once as long as their clocks drift apart by less than the margin
// over one lifetime, for two reasons:
//
//   - the holder counts the lifetime from before it sent its write;
//   - another router counts the lifetime plus the margin from after it has read the
//     version that the holder's write gave the object. The other router's own write
//     requires that the object still has this version.
package lease

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// Defaults of Config.
const (
	DefaultLifetime   = 6 * time.Second
	DefaultMargin     = time.Second
	DefaultGrantDelay = time.Second
)

const (
	// renewalsPerLifetime lets two renewals fail before the lease expires.
	renewalsPerLifetime = 3
	// retriesPerLifetime limits the rate of calls while the object API fails.
	retriesPerLifetime = 12
	// maxAttempts bounds the writes with unknown outcome that are remembered. If a
	// write is forgotten although it took effect, the only harm is that this router
	// acquires the lease a lifetime later.
	maxAttempts = 8
)

// Config holds the settings of an Elector. Zero durations get the defaults.
type Config struct {
	// Router is the id of this router.
	Router string
	// Nonce is the number from which LeaseRecord.Renewal counts up. It differs for
	// each elector, so that a restarted router does not take the record that its
	// former process wrote as its own.
	Nonce uint64
	// Lifetime is the validity of the lease after each renewal.
	Lifetime time.Duration
	// Margin is the time that another router waits beyond the lifetime before it takes
	// the lease over.
	Margin time.Duration
	// GrantDelay is the time that a new holder waits before its first grant. Work on a
	// permit must start within a limited time after the grant. GrantDelay is the longest
	// such limit of the permits that former holders granted, so their unstarted permits
	// have expired by then.
	GrantDelay time.Duration
}

func (c Config) withDefaults() Config {
	if c.Lifetime <= 0 {
		c.Lifetime = DefaultLifetime
	}
	if c.Margin <= 0 {
		c.Margin = DefaultMargin
	}
	if c.GrantDelay <= 0 {
		c.GrantDelay = DefaultGrantDelay
	}
	return c
}

// Lease is the state of a lease as one router knows it.
type Lease struct {
	// Held is set if this router was the holder at its last contact with the
	// object API. Valid must be checked before each use of the lease.
	Held bool
	// Term is the fencing number. It increases with each new holder.
	Term uint64
	// ValidUntil is the time from which the lease must not be used any more. Each
	// renewal moves it forward.
	ValidUntil time.Time
	// GrantsFrom is the time before which a new holder grants nothing.
	GrantsFrom time.Time
}

// Valid reports whether the lease is held at the time now. It is false for a
// holder that was paused beyond the end of its lease.
func (l Lease) Valid(now time.Time) bool {
	return l.Held && now.Before(l.ValidUntil)
}

// ActionKind is the kind of an Action.
type ActionKind int

const (
	// ActionWait makes no call before the action's time.
	ActionWait ActionKind = iota
	// ActionRead reads the object.
	ActionRead
	// ActionWrite updates the object if it has the expected version.
	ActionWrite
	// ActionStop ends the elector's work: the lease is neither wanted nor held.
	ActionStop
)

// Action is the next step that an elector requires.
type Action struct {
	Kind ActionKind
	// At is the time of the next action, for ActionWait.
	At time.Time
	// Record is the value to write, and IfVersion the version that the object must
	// have (0 if it must not exist), for ActionWrite.
	Record    api.LeaseRecord
	IfVersion uint64
}

// WriteResult is the outcome of a write.
type WriteResult int

const (
	// WriteSucceeded means that the write took effect.
	WriteSucceeded WriteResult = iota
	// WriteConflict means that the write had no effect, because the object has another
	// version.
	WriteConflict
	// WriteNoEffect means that the write had no effect and may be repeated.
	WriteNoEffect
	// WriteUnknown means that the write may have taken effect, or may still do so.
	WriteUnknown
)

// Elector is the state machine of one router for one lease. It has at most one call in
// flight. Before Next is called again, the caller must call ReadDone or ReadFailed
// after ActionRead, and WriteDone after ActionWrite. An Elector is not safe for
// concurrent use.
type Elector struct {
	config  Config
	wanted  bool
	renewal uint64

	// known is set if version and record are those of the last read or write. A write
	// that ends in a conflict or with an unknown outcome clears it.
	known         bool
	version       uint64
	record        api.LeaseRecord
	versionSeenAt time.Time // when version was first read or written
	maxTerm       uint64    // highest term read or written
	// nextRead is the time at which the object is read again while another router
	// holds the lease, to detect that this router has released it.
	nextRead time.Time
	retryAt  time.Time // time before which no call is made, after a failed one

	lease   Lease
	renewAt time.Time // when the lease is renewed
	// attempts holds the writes whose outcome is unknown, followed by the write
	// in flight.
	attempts []attempt
}

type attempt struct {
	record api.LeaseRecord
	sentAt time.Time
}

// NewElector returns an elector that does not want the lease yet.
func NewElector(config Config) *Elector {
	config = config.withDefaults()
	return &Elector{config: config, renewal: config.Nonce}
}

// SetWanted sets whether the router wants the lease. A lease that is no longer
// wanted is released; it is not valid from this call on.
func (e *Elector) SetWanted(wanted bool) {
	e.wanted = wanted
	if !wanted {
		e.lease.Held = false
	}
}

// Lease returns the state of the lease after the last result or SetWanted. The
// caller must check it with Lease.Valid, because it may have expired since.
func (e *Elector) Lease() Lease {
	return e.lease
}

// Next returns the next action. If this is ActionWrite, the validity of the lease counts
// from now, so now must not be later than the time at which the write is sent.
func (e *Elector) Next(now time.Time) Action {
	switch {
	case !e.wanted:
		return e.nextRelease(now)
	case now.Before(e.retryAt):
		return Action{Kind: ActionWait, At: e.retryAt}
	case !e.known:
		return Action{Kind: ActionRead}
	case e.ownsRecord():
		return e.nextRenewal(now)
	}
	return e.nextTakeover(now)
}

// ownsRecord reports whether the newest record has this elector as the holder.
func (e *Elector) ownsRecord() bool {
	return e.known && e.lease.Term != 0 && e.record.Holder == e.config.Router && e.record.Term == e.lease.Term
}

func (e *Elector) nextRelease(now time.Time) Action {
	lapsedAt := e.lease.ValidUntil.Add(e.config.Margin)
	switch {
	case !e.ownsRecord(), !now.Before(lapsedAt):
		return Action{Kind: ActionStop}
	case now.Before(e.retryAt):
		return Action{Kind: ActionWait, At: e.retryAt}
	}
	return e.write(now, api.LeaseRecord{Term: e.record.Term})
}

func (e *Elector) nextRenewal(now time.Time) Action {
	if now.Before(e.renewAt) {
		return Action{Kind: ActionWait, At: e.renewAt}
	}
	return e.write(now, api.LeaseRecord{Holder: e.config.Router, Term: e.record.Term})
}

func (e *Elector) nextTakeover(now time.Time) Action {
	// If the object was read before and has been deleted since, the lease may have had
	// a holder until the deletion, so it is not taken as free.
	neverHeld := e.version == 0 && e.maxTerm == 0
	free := neverHeld || e.version != 0 && e.record.Holder == ""
	takeoverAt := e.versionSeenAt.Add(e.config.Lifetime + e.config.Margin)
	switch {
	case free, !now.Before(takeoverAt):
		return e.write(now, api.LeaseRecord{Holder: e.config.Router, Term: e.maxTerm + 1})
	case !now.Before(e.nextRead):
		return Action{Kind: ActionRead}
	case takeoverAt.Before(e.nextRead):
		return Action{Kind: ActionWait, At: takeoverAt}
	}
	return Action{Kind: ActionWait, At: e.nextRead}
}

func (e *Elector) write(now time.Time, record api.LeaseRecord) Action {
	e.renewal++
	record.Renewal = e.renewal
	e.attempts = append(e.attempts, attempt{record: record, sentAt: now})
	if len(e.attempts) > maxAttempts {
		e.attempts = e.attempts[1:]
	}
	return Action{Kind: ActionWrite, Record: record, IfVersion: e.version}
}

// WriteDone applies the result of a write. For WriteSucceeded, version is the object's new
// version; for other results it is ignored.
func (e *Elector) WriteDone(now time.Time, result WriteResult, version uint64) {
	last := len(e.attempts) - 1
	current := e.attempts[last]
	switch result {
	case WriteSucceeded:
		e.confirm(now, current, version)
	case WriteConflict:
		e.attempts = e.attempts[:last]
		e.known = false
	case WriteNoEffect:
		e.attempts = e.attempts[:last]
		e.retryAt = now.Add(e.config.Lifetime / retriesPerLifetime)
	case WriteUnknown:
		e.known = false
		e.retryAt = now.Add(e.config.Lifetime / retriesPerLifetime)
	}
}

// confirm records that the write a of this elector took effect and gave the object the
// given version.
func (e *Elector) confirm(now time.Time, a attempt, version uint64) {
	sameTerm := e.lease.Term == a.record.Term
	e.attempts = nil
	e.known = true
	e.version = version
	e.record = a.record
	e.versionSeenAt = now
	e.maxTerm = max(e.maxTerm, a.record.Term)
	if a.record.Holder == "" {
		e.lease = Lease{}
		return
	}
	e.lease.Held = e.wanted
	e.lease.Term = a.record.Term
	e.lease.ValidUntil = a.sentAt.Add(e.config.Lifetime)
	e.renewAt = a.sentAt.Add(e.config.Lifetime / renewalsPerLifetime)
	if !sameTerm {
		e.lease.GrantsFrom = a.sentAt.Add(e.config.GrantDelay)
	}
}

// ReadDone applies the record and the version of the object that was read. Version 0
// means that the object does not exist.
func (e *Elector) ReadDone(now time.Time, record api.LeaseRecord, version uint64) {
	e.nextRead = now.Add(e.config.Lifetime / renewalsPerLifetime)
	for _, a := range e.attempts {
		if version != 0 && a.record == record {
			e.confirm(now, a, version)
			return
		}
	}
	e.known = true
	if version != e.version || e.versionSeenAt.IsZero() {
		e.versionSeenAt = now
	}
	e.version = version
	e.record = record
	e.maxTerm = max(e.maxTerm, record.Term)
	if !e.ownsRecord() {
		e.lease = Lease{}
	}
}

// ReadFailed records that the object could not be read.
func (e *Elector) ReadFailed(now time.Time) {
	e.retryAt = now.Add(e.config.Lifetime / retriesPerLifetime)
}
