// Package outage decides whether the store was unavailable to the whole fleet. A router whose own
// calls fail can't tell an outage of the store from a partition between itself and the store; the
// routers that the store has answered meanwhile can. The package does no I/O and reads no clock.
package outage

import (
	"sync"
	"time"
)

// Answers is an interval in which the store answered the fleet: at Since, at Until, and between
// them never less often than once in Config.EntryLifetime.
type Answers struct {
	Since, Until time.Time
	// AfterOutage is set if calls failed before Since. Otherwise nothing is known of that time, as
	// after the start of a router.
	AfterOutage bool
}

// Config holds the settings of a Tracker.
type Config struct {
	// EntryLifetime is the shortest time without an answer of the store after which entries may
	// have expired because their endpoints could not renew them.
	EntryLifetime time.Duration
	// Grace is the time after an outage within which endpoints register again.
	Grace time.Duration
}

// Tracker keeps the newest interval of answers. It is safe for concurrent use.
//
// Invariants: answers.Until never decreases, and answers.Since only increases if no router is known
// to have had an answer for EntryLifetime or longer.
type Tracker struct {
	config Config

	mu       sync.Mutex
	answers  Answers   // of all routers; zero before the first answer
	own      time.Time // newest answer to a call of this router
	reported time.Time // newest answer to a router that reports only its own
	failedAt time.Time // when a call of this router last failed
}

// New returns a Tracker that knows of no answer.
func New(config Config) *Tracker { return &Tracker{config: config} }

// RecordAnswer records that the store answered a call of this router. It is to be called before
// the answer is applied, since what follows from the answer may depend on the outage that it ends.
func (t *Tracker) RecordAnswer(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.own) {
		t.own = at
	}
	t.add(Answers{Since: at, Until: at})
}

// RecordFailure records that a call of this router to the store failed.
func (t *Tracker) RecordFailure(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failedAt = at
}

// Receive records the answers that another router has reported. ownOnly is set if they are answers
// to that router's own calls, as from one that is no relay.
func (t *Tracker) Receive(report Answers, ownOnly bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ownOnly && report.Until.After(t.reported) {
		t.reported = report.Until
	}
	t.add(report)
}

// add merges an interval with the known one, or replaces it by a later one. Callers hold t.mu.
func (t *Tracker) add(next Answers) {
	known := t.answers
	switch {
	case next.Until.Before(next.Since):
	case known.Until.IsZero(), next.Since.Sub(known.Until) >= t.config.EntryLifetime:
		next.AfterOutage = next.AfterOutage || t.failedAt.After(known.Until)
		t.answers = next
	case known.Since.Sub(next.Until) < t.config.EntryLifetime:
		t.answers = t.union(known, next)
	}
}

// union returns the interval that two overlapping or adjacent ones make up. An outage before the
// later of them is refuted if the earlier one shows an answer within it.
func (t *Tracker) union(a, b Answers) Answers {
	if b.Since.Before(a.Since) {
		a, b = b, a
	}
	if b.AfterOutage && b.Since.Sub(a.Since) < t.config.EntryLifetime {
		a.AfterOutage = true
	}
	if b.Until.After(a.Until) {
		a.Until = b.Until
	}
	return a
}

// Report returns what this router tells the others: the known answers up to the newest one to this
// router itself or, from a relay, to a router that has reported only its own. No other answer is
// passed on, since it would come back with the delay of its way added. Report returns false if
// there was no such answer within EntryLifetime.
func (t *Tracker) Report(now time.Time, relay bool) (Answers, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := t.answers
	report.Until = t.own
	if relay && t.reported.After(t.own) {
		report.Until = t.reported
	}
	recent := !report.Until.IsZero() && now.Sub(report.Until) < t.config.EntryLifetime
	return report, recent && !report.Until.Before(report.Since)
}

// GraceUntil returns the time until which an endpoint without an entry is kept, since the entry may
// have expired only because it could not be renewed. It is not after now if no endpoint is kept.
// While no router is known to have had an answer, GraceUntil moves on with now.
func (t *Tracker) GraceUntil(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.answers.Until.IsZero():
		return time.Time{}
	case now.Sub(t.answers.Until) >= t.config.EntryLifetime:
		return now.Add(t.config.Grace)
	case t.answers.AfterOutage:
		return t.answers.Since.Add(t.config.Grace)
	}
	return time.Time{}
}

// LastAnswer returns when the store last answered any router, zero if it never did.
func (t *Tracker) LastAnswer() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answers.Until
}
