package retry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

var start = time.Unix(1000, 0)

func policy(floorPerSecond float64) *Policy {
	return &Policy{
		Budget:      NewBudget(BudgetConfig{Fraction: 0.1, FloorPerSecond: floorPerSecond}),
		Backoff:     Backoff{Base: 20 * time.Millisecond, Max: time.Second},
		MaxAttempts: 5,
	}
}

// Guards against two faults: a request that must not run twice is sent again; a refusal is
// marked "not run" although a byte of the request was sent.
func TestMayRepeat(t *testing.T) {
	type row struct{ sendOnce, ifNotRun, ifNotRunSent, idempotent bool }
	none, unsent := row{idempotent: true}, row{true, true, false, true}
	want := map[api.RetryReason]row{
		api.RetryReasonConnectFailed:       unsent,
		api.RetryReasonPermitRefused:       unsent,
		api.RetryReasonPermitExpired:       unsent,
		api.RetryReasonOwnerUnreachable:    unsent,
		api.RetryReasonRefusedByEndpoint:   {true, true, true, true},
		api.RetryReasonFirstByteTimeout:    none,
		api.RetryReasonResponseCut:         none,
		api.RetryReasonResponseMismatch:    none,
		api.RetryReasonStreamCut:           none,
		api.RetryReasonStreamGap:           none,
		api.RetryReasonStreamMismatch:      none,
		api.RetryReasonEndpointDrained:     none,
		api.RetryReasonEndpointError:       none,
		api.RetryReasonPlatformConflict:    {},
		api.RetryReasonPlatformUnavailable: {},
		api.RetryReasonPlatformAmbiguous:   {},
	}
	for failure, w := range want {
		try := func(repeat Repeat, sent bool) bool {
			failed := FailedAttempt{Failure: failure, Repeat: repeat, BytesSent: sent, Attempts: 1, Deadline: start.Add(time.Minute)}
			d := policy(3).Decide(start, failed, 0)
			assert.Equal(t, d.Retry, MayRepeat(failed))
			assert.Assert(t, d.Retry != (d.Refusal != ""))
			assert.Assert(t, !d.NotRun || !sent)
			return d.Retry
		}
		got := row{try(SendOnce, false), try(IfNotRun, false), try(IfNotRun, true), try(Idempotent, true)}
		assert.Equal(t, got, w, "%s", failure)
		assert.Assert(t, !try(SendOnce, true), "%s", failure)
	}
}

// Guards against a retry beyond the deadline, the attempts or the budget, and
// against taking budget for retries that do not happen.
func TestDecideLimits(t *testing.T) {
	p := policy(1)
	failed := FailedAttempt{
		BudgetKey: "w", Failure: api.RetryReasonConnectFailed, Repeat: Idempotent,
		Attempts: 1, Deadline: start.Add(10 * time.Millisecond),
	}
	assert.Equal(t, p.Decide(start, failed, 0).Refusal, api.RefusalDeadlineExceeded)
	failed.Deadline = start.Add(time.Minute)
	failed.Attempts = 5
	assert.Equal(t, p.Decide(start, failed, 0).Refusal, api.RefusalUpstreamFailed)
	failed.Attempts = 1
	assert.DeepEqual(t, p.Decide(start, failed, 0), Decision{
		Retry: true, After: 10 * time.Millisecond, Reason: api.RetryReasonConnectFailed,
	})
	assert.DeepEqual(t, p.Decide(start, failed, 0), Decision{Refusal: api.RefusalRetryBudget, NotRun: true})
	assert.Assert(t, p.Decide(start.Add(time.Second), failed, 0).Retry)
}

// Guards against a delay outside its bounds, overflow of the exponent, and a
// retry at or after the deadline.
func TestBackoffBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := time.Duration(rapid.IntRange(1, 1000).Draw(t, "base")) * time.Millisecond
		b := Backoff{Base: base, Max: base * time.Duration(rapid.IntRange(1, 100).Draw(t, "max"))}
		attempts := rapid.IntRange(1, 1000).Draw(t, "attempts")
		deadline := start.Add(time.Duration(rapid.IntRange(0, 100_000).Draw(t, "deadline")) * time.Millisecond)
		delay, ok := b.Delay(start, deadline, attempts, rapid.Float64Range(0, 0.999).Draw(t, "random"))
		longest := b.Max
		if attempts < 20 {
			longest = min(b.Max, base<<(attempts-1))
		}
		assert.Assert(t, delay >= longest/2 && delay <= longest)
		assert.Equal(t, ok, start.Add(delay).Before(deadline))
	})
}

// Guards against more retries than the fraction of first attempts and the floor allow,
// and against a workspace that uses another's budget.
func TestBudgetBound(t *testing.T) {
	b := NewBudget(BudgetConfig{Fraction: 0.1, FloorPerSecond: 3})
	const seconds, perSecond = 100, 200
	retries := 0
	for i := range seconds * perSecond {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		b.RecordFirstTry(now, "failing")
		for b.Take(now, "failing") {
			retries++
		}
	}
	most := 3*(seconds+1) + seconds*perSecond/10
	assert.Assert(t, retries <= most && retries >= most-10, "%d retries, bound %d", retries, most)
	assert.Assert(t, b.Take(start, "other"))
}

// Guards against memory use that grows with the number of workspaces seen.
func TestBudgetKeepsFewWorkspaces(t *testing.T) {
	b := NewBudget(BudgetConfig{FloorPerSecond: 1, MaxWorkspaces: 2})
	assert.Assert(t, b.Take(start, "kept"))
	for i := range 10 {
		b.RecordFirstTry(start, fmt.Sprint(i))
		assert.Assert(t, !b.Take(start, "kept"))
	}
	assert.Equal(t, len(b.buckets), 2)
	assert.Equal(t, b.order.Len(), 2)
}
