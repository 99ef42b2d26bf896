package objectstore

import (
	"sync"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/retry"
)

// budget bounds the retries of all calls together.
type budget struct {
	mu      sync.Mutex
	retries *retry.Budget
}

func (b *budget) init(ratio, floor float64) {
	b.retries = retry.NewBudget(retry.BudgetConfig{Fraction: ratio, Floor: floor, MaxWorkspaces: 1})
}

// first adds the share of a first attempt.
func (b *budget) first(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries.FirstTry(now, "")
}

// take uses the budget for one retry, if there is any.
func (b *budget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retries.Take(now, "")
}

// outage detects that the platform does not answer, and paces the probes that
// find its recovery.
type outage struct {
	mu         sync.Mutex
	failAfter  int
	failures   int
	success    time.Time
	probing    bool
	nextProbe  time.Time
	delay      time.Duration
	firstDelay time.Duration
	maxDelay   time.Duration
}

func (o *outage) init(failAfter int, first, longest time.Duration, now time.Time) {
	o.failAfter = failAfter
	o.firstDelay = first
	o.maxDelay = longest
	o.delay = first
	o.success = now
}

func (o *outage) healthy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.failures < o.failAfter
}

func (o *outage) lastSuccess() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.success
}

// admit tells whether a call may be made, or has to probe first.
func (o *outage) admit(now time.Time) (pass, probe bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failures < o.failAfter {
		return true, false
	}
	if o.probing || now.Before(o.nextProbe) {
		return false, false
	}
	o.probing = true
	return false, true
}

func (o *outage) observe(answered bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if answered {
		o.failures = 0
		o.delay = o.firstDelay
		o.success = now
		return
	}
	o.failures++
	if o.failures == o.failAfter {
		o.nextProbe = now.Add(o.delay)
	}
}

func (o *outage) probed(answered bool, now time.Time) {
	o.observe(answered, now)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.probing = false
	if !answered {
		o.delay = min(2*o.delay, o.maxDelay)
		o.nextProbe = now.Add(o.delay)
	}
}
