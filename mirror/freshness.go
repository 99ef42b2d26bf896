package mirror

import "time"

const (
	// maxKnowledgeAge is how long a router acts on what it knows of a kind after the store last
	// answered it or a relay that it follows. A change must be in force 2 s after its
	// acknowledgement; the rest of that time is for the router's own call.
	maxKnowledgeAge = 1500 * time.Millisecond
	// overdueAfter is the time after the end of its wait at which a watch without an answer has
	// failed. The store answers within a quarter of a second when it is slow.
	overdueAfter = 700 * time.Millisecond
	// catchUpWatchWait is the wait of a watch that must return at once, for changes that are known
	// to exist or when the knowledge of the router is too old.
	catchUpWatchWait = time.Millisecond
)

// Head is what a relay announces for a kind.
type Head struct {
	// Changed is the revision of the relay's newest list or change. The relay knows
	// all changes up to it.
	Changed uint64
	// Fresh is set unless the store has failed to answer the relay several times in a row.
	Fresh bool
	// AnsweredAt is when the store last answered the relay, by the clock of this process. Relays
	// that are cut off, frozen, slow or killed are all found by it.
	AnsweredAt time.Time `cbor:"-"`
	// AgeMS is the time since AnsweredAt in milliseconds, set in messages, since the clocks of
	// routers differ. Earlier versions do not send it.
	AgeMS uint32 `cbor:"Age,omitempty"`
}

// trusted reports whether the head shows all changes that have to be in force.
func (h Head) trusted(now time.Time) bool {
	return h.Fresh && now.Sub(h.AnsweredAt) < maxKnowledgeAge
}

// trustLeft returns the time after which the head is no longer trusted.
func (h Head) trustLeft(now time.Time) time.Duration {
	return maxKnowledgeAge - now.Sub(h.AnsweredAt)
}

// watchWait returns the time for which a watch may wait for changes, such that the store answers
// the router at least once in each interval while it can.
func watchWait(now, answeredAt time.Time, behind bool, interval time.Duration) time.Duration {
	if behind {
		return catchUpWatchWait
	}
	return max(catchUpWatchWait, interval-now.Sub(answeredAt))
}

// answeredBy returns when a watch has shown that its router knows all changes. The answer without
// changes may have been held up on its way; the store sent it at the end of the wait.
func answeredBy(began, ended time.Time, wait time.Duration, changes int) time.Time {
	if sent := began.Add(wait); changes == 0 && sent.Before(ended) {
		return sent
	}
	return ended
}

// setAnswered records when the store answered this router or a relay that it follows.
func (m *Mirror) setAnswered(at time.Time) {
	m.answeredAt = at
	m.known.Store(&at)
}

// KnownAt returns the time at which all changes were known to this router; zero before its first
// list.
func (m *Mirror) KnownAt() time.Time {
	if at := m.known.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
