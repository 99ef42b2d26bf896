package retry

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// Repeat determines whether a request may be sent again after an attempt that may have
// started it.
type Repeat int

const (
	// SendOnce requests must not run twice and have no idempotency key. They are not
	// sent again once a byte has been sent.
	SendOnce Repeat = iota
	// IfNotRun requests must not run twice, but are sent again when the endpoint
	// reports that it did not run them. They can't run there later either: the
	// request's claim (the record that lets it run once), or the platform's protocol,
	// prevents that.
	IfNotRun
	// Idempotent requests may run more than once.
	Idempotent
)

// FailedAttempt describes a failed attempt.
type FailedAttempt struct {
	// BudgetKey is the key of the budget that a retry is taken from.
	BudgetKey string
	// Failure is the reason for which the attempt failed.
	Failure api.RetryReason
	Repeat  Repeat
	// BytesSent is set when a byte of the request was sent to an endpoint, in this
	// attempt or an earlier one. Attempts that the endpoint reported as not run may be
	// left out.
	BytesSent bool
	// Attempts is the number of attempts made, including this one.
	Attempts int
	// MaxAttempts overrides the policy's MaxAttempts if it is above 0.
	MaxAttempts int
	// Unsent is set when this attempt reached no endpoint. The retry after it then takes
	// nothing from the budget.
	Unsent   bool
	Deadline time.Time // of the request
}

// Decision is what to do after a failed attempt.
type Decision struct {
	Retry bool
	// After is the delay before the retry.
	After time.Duration
	// Reason is the reason of the retry, for the metrics.
	Reason api.RetryReason
	// Refusal is the reason returned to the caller when there is no retry.
	Refusal api.Refusal
	// NotRun is set when the refusal may be marked as "not run".
	NotRun bool
}

// Policy decides on retries. It is not safe for concurrent use.
type Policy struct {
	Budget  *Budget
	Backoff Backoff
	// MaxAttempts is the highest number of attempts of one request.
	MaxAttempts int
}

// Decide returns whether to retry after a failed attempt. It takes from the budget only
// when it allows a retry. random is in [0, 1); it sets the jitter of the delay. Asking for a
// permit to run at the next endpoint of a placement does not count as a retry.
func (p *Policy) Decide(now time.Time, t FailedAttempt, random float64) Decision {
	refusal := refusalByFailure[t.Failure]
	if refusal == "" {
		refusal = api.RefusalUpstreamFailed
	}
	delay, inTime := p.Backoff.Delay(now, t.Deadline, t.Attempts, random)
	maxAttempts := p.MaxAttempts
	if t.MaxAttempts > 0 {
		maxAttempts = t.MaxAttempts
	}
	switch {
	case !MayRepeat(t), t.Attempts >= maxAttempts:
	case !inTime:
		refusal = api.RefusalDeadlineExceeded
	case !t.Unsent && !p.Budget.Take(now, t.BudgetKey):
		refusal = api.RefusalRetryBudget
	default:
		return Decision{Retry: true, After: delay, Reason: t.Failure}
	}
	return Decision{Refusal: refusal, NotRun: !t.BytesSent}
}

// MayRepeat reports whether the request may be sent again: it is idempotent, or it is
// certain that no endpoint has started it.
func MayRepeat(t FailedAttempt) bool {
	switch t.Repeat {
	case Idempotent:
		return isAttemptFailure(t.Failure)
	case IfNotRun:
		return notStarted(t.Failure) && (!t.BytesSent || t.Failure == api.RetryReasonRefusedByEndpoint)
	}
	return notStarted(t.Failure) && !t.BytesSent
}

// isAttemptFailure reports whether the failure is one of an attempt at an endpoint. The
// other values of RetryReason are for retried calls to the platform; callers' requests are
// not repeated for them.
func isAttemptFailure(failure api.RetryReason) bool {
	_, ok := refusalByFailure[failure]
	return ok
}

// notStarted reports whether the failure rules out that the endpoint has started the
// request.
func notStarted(failure api.RetryReason) bool {
	switch failure {
	case api.RetryReasonConnectFailed,
		api.RetryReasonRefusedByEndpoint,
		api.RetryReasonPermitRefused,
		api.RetryReasonPermitExpired,
		api.RetryReasonOwnerUnreachable:
		return true
	}
	return false
}

// refusalByFailure maps the failure of the last attempt to the refusal that the caller
// gets.
var refusalByFailure = map[api.RetryReason]api.Refusal{
	api.RetryReasonConnectFailed:     api.RefusalUpstreamFailed,
	api.RetryReasonRefusedByEndpoint: api.RefusalOverloaded,
	api.RetryReasonPermitRefused:     api.RefusalOverloaded,
	api.RetryReasonPermitExpired:     api.RefusalPermitExpired,
	api.RetryReasonOwnerUnreachable:  api.RefusalOwnerUnreachable,
	api.RetryReasonFirstByteTimeout:  api.RefusalUpstreamFailed,
	api.RetryReasonResponseCut:       api.RefusalUpstreamIncomplete,
	api.RetryReasonResponseMismatch:  api.RefusalUpstreamMismatch,
	api.RetryReasonStreamCut:         api.RefusalUpstreamIncomplete,
	api.RetryReasonStreamGap:         api.RefusalUpstreamIncomplete,
	api.RetryReasonStreamMismatch:    api.RefusalUpstreamMismatch,
	api.RetryReasonEndpointDrained:   api.RefusalUpstreamIncomplete,
	api.RetryReasonEndpointError:     api.RefusalUpstreamFailed,
}

// Backoff is an exponential delay with jitter.
type Backoff struct {
	// Base is the upper bound of the first delay.
	Base time.Duration
	// Max is the upper bound of all delays.
	Max time.Duration
}

// Delay returns the delay before the next attempt after the given number of attempts. The
// upper bound of the delay is Base after the first attempt and doubles with each further
// one, up to Max. The delay is at least half of its upper bound; random, in [0, 1), selects
// it from that range. Delay returns false when the next attempt would not start before the
// deadline.
func (b Backoff) Delay(now, deadline time.Time, attempts int, random float64) (time.Duration, bool) {
	longest := min(b.Base, b.Max)
	for i := 1; i < attempts && longest < b.Max; i++ {
		longest = min(2*longest, b.Max)
	}
	delay := longest/2 + time.Duration(random*float64(longest-longest/2))
	return delay, now.Add(delay).Before(deadline)
}
