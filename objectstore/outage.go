package objectstore

import (
	"sync"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/retry"
)

// budget is the retry budget that all calls of a client share.
type budget struct {
	mu      sync.Mutex
	retries *retry.Budget
}

func (b *budget) init(ratio, floorPerSecond float64) {
	b.retries = retry.NewBudget(retry.BudgetConfig{Fraction: ratio, FloorPerSecond: floorPerSecond, MaxWorkspaces: 1})
}

// recordFirstAttempt credits the budget with a first attempt.
func (b *budget) recordFirstAttempt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries.RecordFirstTry(now, "")
}

// takeRetry spends the budget of one retry. It returns false if none is left.
func (b *budget) takeRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retries.Take(now, "")
}

// outageDetector detects outages of the store by consecutive failures, and
// schedules the probes that detect its recovery.
type outageDetector struct {
	mu                  sync.Mutex
	failuresToOutage    int // consecutive failures that start an outage
	consecutiveFailures int
	lastSuccessAt       time.Time
	probing             bool // a probe is in flight
	nextProbe           time.Time
	probeDelay          time.Duration // from a failed probe to the next one
	firstProbeDelay     time.Duration
	maxProbeDelay       time.Duration
}

func (o *outageDetector) init(failuresToOutage int, first, longest time.Duration, now time.Time) {
	o.failuresToOutage = failuresToOutage
	o.firstProbeDelay = first
	o.maxProbeDelay = longest
	o.probeDelay = first
	o.lastSuccessAt = now
}

func (o *outageDetector) healthy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.consecutiveFailures < o.failuresToOutage
}

func (o *outageDetector) lastSuccess() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastSuccessAt
}

// admit returns pass if a call may be made, and probe if the caller must first send a
// probe and pass the probe's result to recordProbe. If both are false, the call fails.
func (o *outageDetector) admit(now time.Time) (pass, probe bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.consecutiveFailures < o.failuresToOutage {
		return true, false
	}
	if o.probing || now.Before(o.nextProbe) {
		return false, false
	}
	o.probing = true
	return false, true
}

func (o *outageDetector) recordResult(answered bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if answered {
		o.consecutiveFailures = 0
		o.probeDelay = o.firstProbeDelay
		o.lastSuccessAt = now
		return
	}
	o.consecutiveFailures++
	if o.consecutiveFailures == o.failuresToOutage {
		o.nextProbe = now.Add(o.probeDelay)
	}
}

func (o *outageDetector) recordProbe(answered bool, now time.Time) {
	o.recordResult(answered, now)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.probing = false
	if !answered {
		o.probeDelay = min(2*o.probeDelay, o.maxProbeDelay)
		o.nextProbe = now.Add(o.probeDelay)
	}
}
