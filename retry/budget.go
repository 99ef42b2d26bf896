// Package retry decides whether a failed request is sent again, and when. It
// does no I/O and reads no clock or random source.
package retry

import (
	"container/list"
	"time"
)

// BudgetConfig holds the settings of a Budget.
type BudgetConfig struct {
	// Fraction is the number of retries that each first attempt adds to the budget.
	Fraction float64
	// FloorPerSecond is the number of retries a second that are allowed regardless of
	// the number of first attempts.
	FloorPerSecond float64
	// Capacity is the largest number of retries that an unused budget accumulates. 0
	// means FloorPerSecond x defaultCapacitySeconds, but at least minCapacity. A
	// workspace starts with Capacity or FloorPerSecond retries, whichever is more.
	Capacity float64
	// MaxWorkspaces is the number of workspaces that are tracked. 0 means
	// DefaultMaxWorkspaces.
	MaxWorkspaces int
}

const (
	// DefaultMaxWorkspaces is above the 3,200 workspaces in steady use.
	DefaultMaxWorkspaces = 4096
	// The default capacity of a budget is the number of retries that its floor allows
	// in defaultCapacitySeconds.
	defaultCapacitySeconds = 10
	// minCapacity is the least default capacity. It keeps a budget with a floor of 0
	// usable.
	minCapacity = 10
)

// Budget limits the retries of each workspace with a token bucket, so that
// retries do not multiply the load when many requests fail. It is not safe for
// concurrent use.
type Budget struct {
	config  BudgetConfig
	buckets map[string]*list.Element
	// order has the most recently used workspace first.
	order *list.List
}

type bucket struct {
	key     string
	tokens  float64
	updated time.Time
}

// NewBudget returns a budget in which each workspace starts with the retries of one second
// of the floor, or with the configured capacity if that is more. Beyond MaxWorkspaces the
// least recently used workspace is evicted; when it is used again, it starts anew.
func NewBudget(config BudgetConfig) *Budget {
	if config.MaxWorkspaces <= 0 {
		config.MaxWorkspaces = DefaultMaxWorkspaces
	}
	return &Budget{config: config, buckets: map[string]*list.Element{}, order: list.New()}
}

// RecordFirstTry records the first attempt of a request.
func (b *Budget) RecordFirstTry(now time.Time, key string) {
	bucket := b.bucket(now, key)
	bucket.tokens = min(bucket.tokens+b.config.Fraction, b.capacity())
}

// Take takes one retry from the budget of key. It returns false if there is none.
func (b *Budget) Take(now time.Time, key string) bool {
	bucket := b.bucket(now, key)
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}

// SetCapacity changes the configured capacity.
func (b *Budget) SetCapacity(capacity float64) { b.config.Capacity = capacity }

func (b *Budget) capacity() float64 {
	if b.config.Capacity > 0 {
		return b.config.Capacity
	}
	return max(minCapacity, b.config.FloorPerSecond*defaultCapacitySeconds)
}

// bucket returns the token bucket of key, refilled up to now.
func (b *Budget) bucket(now time.Time, key string) *bucket {
	element, ok := b.buckets[key]
	if !ok {
		return b.add(now, key)
	}
	b.order.MoveToFront(element)
	found := element.Value.(*bucket)
	if elapsed := now.Sub(found.updated); elapsed > 0 {
		found.tokens = min(found.tokens+b.config.FloorPerSecond*elapsed.Seconds(), b.capacity())
		found.updated = now
	}
	return found
}

func (b *Budget) add(now time.Time, key string) *bucket {
	if b.order.Len() >= b.config.MaxWorkspaces {
		oldest := b.order.Back()
		b.order.Remove(oldest)
		delete(b.buckets, oldest.Value.(*bucket).key)
	}
	added := &bucket{key: key, tokens: max(b.config.FloorPerSecond, b.config.Capacity), updated: now}
	b.buckets[key] = b.order.PushFront(added)
	return added
}
