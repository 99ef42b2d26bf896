// Package lease keeps a lease in one object of the object API. An Elector is the
// state machine of one router that wants the lease; it does no I/O and reads no
// clock. A Manager runs electors against a objectstore.Store.
//
// All times are on the router's own monotonic clock. Two routers never hold a
// valid lease at once as long as their clocks differ in rate by less than the
// margin over one lifetime:
//
//   - the holder measures validity from before its write was sent;
//   - another router measures from after it has read the version that this write
//     gave the object, and its own write is conditional on that version.
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
	// renewalsPerLifetime lets two renewals fail before the lease lapses.
	renewalsPerLifetime = 3
	// retriesPerLifetime paces calls while the object API fails.
	retriesPerLifetime = 12
	// maxAttempts bounds the writes with unknown outcome that are remembered.
	// Forgetting one only delays the lease by a lifetime.
	maxAttempts = 8
)

// Config holds the settings of an Elector. Zero durations get the defaults.
type Config struct {
	// Router is the id of this router.
	Router string
	// Nonce is the number from which renewals count. It differs for each
	// elector, so that a restarted router does not take its predecessor's
	// record for its own.
	Nonce uint64
	// Lifetime of the lease after each renewal.
	Lifetime time.Duration
	// Margin that another router waits beyond the lifetime.
	Margin time.Duration
	// GrantDelay is how long a new holder waits before its first grant: the
	// longest start-by time of permits that others have granted.
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

// Lease is what a router may rely on.
type Lease struct {
	// Held says that this router was the holder at its last contact with the
	// object API. Valid must be asked before each use.
	Held bool
	// Term is the fencing number. It rises with each new holder.
	Term       uint64
	ValidUntil time.Time
	// GrantsFrom is the time before which a new holder grants nothing.
	GrantsFrom time.Time
}

// Valid says whether the lease is held at now. It is false for a holder that was
// paused beyond its lease.
func (l Lease) Valid(now time.Time) bool {
	return l.Held && now.Before(l.ValidUntil)
}

// ActionKind is a call to the object API.
type ActionKind int

const (
	// Wait asks for no call before the action's time.
	Wait ActionKind = iota
	// Read asks for the object.
	Read
	// Write asks for a conditional update.
	Write
	// Stop says that the lease is neither wanted nor held.
	Stop
)

// Action is what an elector needs next.
type Action struct {
	Kind ActionKind
	// At is the time of the next action, for Wait.
	At time.Time
	// Record and IfVersion are the update, for Write.
	Record    api.LeaseRecord
	IfVersion uint64
}

// WriteResult is the outcome of a write.
type WriteResult int

const (
	// Written took effect.
	Written WriteResult = iota
	// Conflict had no effect, because the object has another version.
	Conflict
	// NoEffect had no effect and may be repeated.
	NoEffect
	// Unknown may have taken effect, or may still do so.
	Unknown
)

// Elector is one router's view of a lease. It has at most one call open: after
// an action Read or Write, exactly one of the result methods is called before
// Next is called again. It is not safe for concurrent use.
type Elector struct {
	config  Config
	wanted  bool
	renewal uint64

	// known says that version and record are the newest that were read.
	known   bool
	version uint64
	record  api.LeaseRecord
	seenAt  time.Time
	maxTerm uint64
	// nextRead is when a foreign record is read again, to see its release.
	nextRead time.Time
	retryAt  time.Time

	lease   Lease
	renewAt time.Time
	// attempts are the open write, as the last element, and writes whose
	// outcome is not known.
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

// SetWanted says whether the router wants the lease. A lease that is no longer
// wanted is released; it is not valid from this call on.
func (e *Elector) SetWanted(wanted bool) {
	e.wanted = wanted
	if !wanted {
		e.lease.Held = false
	}
}

// Lease returns the lease as of the last result.
func (e *Elector) Lease() Lease {
	return e.lease
}

// Next returns the call to make. The time now is taken before a write is sent.
func (e *Elector) Next(now time.Time) Action {
	switch {
	case !e.wanted:
		return e.nextRelease(now)
	case now.Before(e.retryAt):
		return Action{Kind: Wait, At: e.retryAt}
	case !e.known:
		return Action{Kind: Read}
	case e.own():
		return e.nextRenewal(now)
	}
	return e.nextTakeover(now)
}

// own says whether the newest record is this elector's.
func (e *Elector) own() bool {
	return e.known && e.lease.Term != 0 && e.record.Holder == e.config.Router && e.record.Term == e.lease.Term
}

func (e *Elector) nextRelease(now time.Time) Action {
	lapsedAt := e.lease.ValidUntil.Add(e.config.Margin)
	switch {
	case !e.own(), !now.Before(lapsedAt):
		return Action{Kind: Stop}
	case now.Before(e.retryAt):
		return Action{Kind: Wait, At: e.retryAt}
	}
	return e.write(now, api.LeaseRecord{Term: e.record.Term})
}

func (e *Elector) nextRenewal(now time.Time) Action {
	if now.Before(e.renewAt) {
		return Action{Kind: Wait, At: e.renewAt}
	}
	return e.write(now, api.LeaseRecord{Holder: e.config.Router, Term: e.record.Term})
}

func (e *Elector) nextTakeover(now time.Time) Action {
	// An object that was deleted may have had a holder until then.
	neverHeld := e.version == 0 && e.maxTerm == 0
	free := neverHeld || e.version != 0 && e.record.Holder == ""
	takeoverAt := e.seenAt.Add(e.config.Lifetime + e.config.Margin)
	switch {
	case free, !now.Before(takeoverAt):
		return e.write(now, api.LeaseRecord{Holder: e.config.Router, Term: e.maxTerm + 1})
	case !now.Before(e.nextRead):
		return Action{Kind: Read}
	case takeoverAt.Before(e.nextRead):
		return Action{Kind: Wait, At: takeoverAt}
	}
	return Action{Kind: Wait, At: e.nextRead}
}

func (e *Elector) write(now time.Time, record api.LeaseRecord) Action {
	e.renewal++
	record.Renewal = e.renewal
	e.attempts = append(e.attempts, attempt{record: record, sentAt: now})
	if len(e.attempts) > maxAttempts {
		e.attempts = e.attempts[1:]
	}
	return Action{Kind: Write, Record: record, IfVersion: e.version}
}

// WriteDone takes the result of a write; version is set when it was Written.
func (e *Elector) WriteDone(now time.Time, result WriteResult, version uint64) {
	last := len(e.attempts) - 1
	open := e.attempts[last]
	switch result {
	case Written:
		e.confirm(now, open, version)
	case Conflict:
		e.attempts = e.attempts[:last]
		e.known = false
	case NoEffect:
		e.attempts = e.attempts[:last]
		e.retryAt = now.Add(e.config.Lifetime / retriesPerLifetime)
	case Unknown:
		e.known = false
		e.retryAt = now.Add(e.config.Lifetime / retriesPerLifetime)
	}
}

// confirm takes a record of this elector that is in the object.
func (e *Elector) confirm(now time.Time, a attempt, version uint64) {
	sameTerm := e.lease.Term == a.record.Term
	e.attempts = nil
	e.known = true
	e.version = version
	e.record = a.record
	e.seenAt = now
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

// ReadDone takes the object that was read. version 0 means that it does not
// exist.
func (e *Elector) ReadDone(now time.Time, record api.LeaseRecord, version uint64) {
	e.nextRead = now.Add(e.config.Lifetime / renewalsPerLifetime)
	for _, a := range e.attempts {
		if version != 0 && a.record == record {
			e.confirm(now, a, version)
			return
		}
	}
	e.known = true
	if version != e.version || e.seenAt.IsZero() {
		e.seenAt = now
	}
	e.version = version
	e.record = record
	e.maxTerm = max(e.maxTerm, record.Term)
	if !e.own() {
		e.lease = Lease{}
	}
}

// ReadFailed says that the object could not be read.
func (e *Elector) ReadFailed(now time.Time) {
	e.retryAt = now.Add(e.config.Lifetime / retriesPerLifetime)
}
