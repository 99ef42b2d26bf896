package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/retry"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
	"github.com/hornbeamproxy/hornbeamproxy/timing"
)

// retryShards is the number of shards over which the workspaces' retry budgets are
// distributed, so that requests of different workspaces seldom contend for a lock.
const retryShards = 16

// retrier applies the retry policy and the workspaces' retry budgets to failed
// attempts.
type retrier struct {
	shards  [retryShards]retryShard
	metrics *telemetry.Metrics
	now     func() time.Time
}

type retryShard struct {
	mu     sync.Mutex
	policy retry.Policy
}

func newRetrier(settings *api.RetrySettings, metrics *telemetry.Metrics, now func() time.Time) *retrier {
	r := &retrier{metrics: metrics, now: now}
	for i := range r.shards {
		r.shards[i].policy = retry.Policy{
			Budget: retry.NewBudget(retry.BudgetConfig{
				Fraction:       settings.BudgetFraction,
				FloorPerSecond: settings.BudgetFloor,
				MaxWorkspaces:  retry.DefaultMaxWorkspaces / retryShards,
			}),
			Backoff:     retry.Backoff{Base: settings.BaseDelay.Duration, Max: settings.MaxDelay.Duration},
			MaxAttempts: settings.MaxAttempts,
		}
	}
	return r
}

func (r *retrier) shard(workspace string) *retryShard {
	return &r.shards[xxhash.Sum64String(workspace)%retryShards]
}

// recordFirstAttempt records the first attempt of a request, which adds to the
// workspace's retry budget.
func (r *retrier) recordFirstAttempt(workspace string) {
	shard := r.shard(workspace)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.policy.Budget.RecordFirstTry(r.now(), workspace)
}

// awaitNextAttempt waits for the backoff after a failed attempt. It returns the
// refusal to send if the policy allows no further attempt or the deadline passes
// meanwhile.
func (r *retrier) awaitNextAttempt(ctx context.Context, failed retry.FailedAttempt, cause error) error {
	shard := r.shard(failed.BudgetKey)
	shard.mu.Lock()
	decision := shard.policy.Decide(r.now(), failed, rand.Float64())
	shard.mu.Unlock()
	if !decision.Retry {
		refused := &refusal{
			reason:     decision.Refusal,
			notRun:     decision.NotRun && !failed.BytesSent,
			mayHaveRun: !retry.MayRepeat(failed),
			detail:     "the endpoint failed the request",
			cause:      cause,
		}
		if !refused.mayHaveRun {
			refused.retryAfter = time.Second
		}
		return refused
	}
	r.metrics.CountRetry(decision.Reason)
	if timing.Pause(ctx, decision.After) {
		return nil
	}
	return &refusal{reason: api.RefusalDeadlineExceeded, notRun: !failed.BytesSent, detail: "the deadline has passed", cause: cause}
}
