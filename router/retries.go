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

// retryShards spreads the workspaces' retry budgets, so that requests of
// different workspaces seldom share a lock.
const retryShards = 16

// retries applies the retry policy to failed attempts.
type retries struct {
	shards  [retryShards]retryShard
	metrics *telemetry.Metrics
	now     func() time.Time
}

type retryShard struct {
	mu     sync.Mutex
	policy retry.Policy
}

func newRetries(settings *api.RetrySettings, metrics *telemetry.Metrics, now func() time.Time) *retries {
	r := &retries{metrics: metrics, now: now}
	for i := range r.shards {
		r.shards[i].policy = retry.Policy{
			Budget: retry.NewBudget(retry.BudgetConfig{
				Fraction:      settings.BudgetFraction,
				Floor:         settings.BudgetFloor,
				MaxWorkspaces: retry.DefaultMaxWorkspaces / retryShards,
			}),
			Backoff:     retry.Backoff{Base: settings.BaseDelay.Duration, Max: settings.MaxDelay.Duration},
			MaxAttempts: settings.MaxAttempts,
		}
	}
	return r
}

func (r *retries) shard(workspace string) *retryShard {
	return &r.shards[xxhash.Sum64String(workspace)%retryShards]
}

func (r *retries) firstTry(workspace string) {
	shard := r.shard(workspace)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.policy.Budget.FirstTry(r.now(), workspace)
}

// await waits for the next attempt after a failed one. It returns the refusal
// to send when there is none.
func (r *retries) await(ctx context.Context, try retry.Try, cause error) error {
	shard := r.shard(try.Workspace)
	shard.mu.Lock()
	decision := shard.policy.Decide(r.now(), try, rand.Float64())
	shard.mu.Unlock()
	if !decision.Retry {
		refused := &refusal{
			reason:     decision.Refusal,
			notRun:     decision.NotRun && !try.BytesSent,
			mayHaveRun: !retry.MayRepeat(try),
			detail:     "the endpoint failed the request",
			cause:      cause,
		}
		if !refused.mayHaveRun {
			refused.retryAfter = time.Second
		}
		return refused
	}
	r.metrics.Retried(decision.Reason)
	if timing.Pause(ctx, decision.After) {
		return nil
	}
	return &refusal{reason: api.RefusalDeadlineExceeded, notRun: !try.BytesSent, detail: "the deadline has passed", cause: cause}
}
