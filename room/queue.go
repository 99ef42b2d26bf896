package room

import (
	"slices"
	"time"
)

const (
	// classes is the number of classes; higher priorities count as the last one.
	classes = 4
	// maxWaiting bounds the waiters of one service.
	maxWaiting = 512
	// promoteAfter is the wait after which a request rises by one class, once.
	promoteAfter = 150 * time.Millisecond
)

// classWeights are the parts of the room that the classes get while all of them wait.
var classWeights = [classes]float64{8, 4, 2, 1}

// waiter is a request that waits.
type waiter struct {
	id                  uint64
	class               int
	over, below, urgent bool
	late                bool // the goal can no longer be met
	promoted            bool
	since, goal         time.Time
	until               time.Time
}

// queue holds the waiters of a service: those of workspaces within their fair share before the
// others, then the classes by their weights, then the one whose goal is nearest.
type queue struct {
	waiters []*waiter
	// served is the number of requests admitted from each class, divided by its weight.
	served [classes]float64
}

func (q *queue) len() int { return len(q.waiters) }

func (q *queue) add(w *waiter) {
	if !slices.ContainsFunc(q.waiters, func(other *waiter) bool { return other.class == w.class }) {
		// A class that had nothing to send has no claim on the past.
		for _, other := range q.waiters {
			q.served[w.class] = max(q.served[w.class], q.served[other.class])
		}
	}
	q.waiters = append(q.waiters, w)
}

// before reports whether a goes first.
func (q *queue) before(a, b *waiter) bool {
	if a.over != b.over {
		return b.over
	}
	if a.class != b.class {
		return q.turn(a.class) < q.turn(b.class)
	}
	if a.late != b.late {
		return b.late
	}
	return a.goal.Before(b.goal)
}

// turn returns what served would be after one more request of the class.
func (q *queue) turn(class int) float64 { return q.served[class] + 1/classWeights[class] }

// first returns the waiter that goes first among those that may start; nil if there is none.
func (q *queue) first(mayStart func(*waiter) bool) *waiter {
	var first *waiter
	for _, w := range q.waiters {
		if (first == nil || q.before(w, first)) && mayStart(w) {
			first = w
		}
	}
	return first
}

// ahead returns the number of waiters that go before w.
func (q *queue) ahead(w *waiter) int {
	n := 0
	for _, other := range q.waiters {
		if !q.before(w, other) {
			n++
		}
	}
	return n
}

func (q *queue) take(w *waiter) {
	q.served[w.class] += 1 / classWeights[w.class]
	q.cancel(w.id)
	if len(q.waiters) == 0 {
		q.served = [classes]float64{}
	}
}

func (q *queue) cancel(id uint64) bool {
	before := len(q.waiters)
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool { return w.id == id })
	return len(q.waiters) < before
}

func (q *queue) promote(now time.Time) {
	for _, w := range q.waiters {
		if !w.promoted && now.Sub(w.since) >= promoteAfter {
			w.promoted, w.class = true, max(0, w.class-1)
		}
	}
}
