package retry

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// Repeat is what may be done with a request that may have been started.
type Repeat int

const (
	// SendOnce must not be repeated and has no idempotency key. It is never sent
	// again after a byte was sent.
	SendOnce Repeat = iota
	// UnlessRun must not be repeated, but is sent again when the endpoint says that
	// it did not run it: its claim, or the platform's protocol, keeps it from
	// running later.
	UnlessRun
	// Idempotent may be repeated.
	Idempotent
)

// Try is a failed attempt.
type Try struct {
	Workspace string
	// Failure is why the attempt failed.
	Failure api.RetryReason
	Repeat  Repeat
	// BytesSent says that a byte of the request was sent to an endpoint, in this
	// attempt or an earlier one. The caller may leave out attempts of which the
	// endpoint said that it did not run them.
	BytesSent bool
	// Attempts is the number of attempts made, with this one.
	Attempts int
	// MaxAttempts replaces the policy's if it is above 0.
	MaxAttempts int
	// Unsent attempts reached no endpoint; to repeat one takes nothing from the
	// budget.
	Unsent   bool
	Deadline time.Time
}

// Decision says what to do after a failed attempt.
type Decision struct {
	Retry bool
	// After is the delay before the retry.
	After time.Duration
	// Reason is counted for a retry.
	Reason api.RetryReason
	// Refusal is what the caller is told when there is no retry.
	Refusal api.Refusal
	// NotRun says that the refusal may be marked "not run".
	NotRun bool
}

// Policy decides on retries. It is not safe for concurrent use.
type Policy struct {
	Budget  *Budget
	Backoff Backoff
	// MaxAttempts is the number of attempts of one request.
	MaxAttempts int
}

// Decide uses up budget only if it allows the retry. random is from [0, 1).
// Asking the next candidate of a placement for a permit is not a retry.
func (p *Policy) Decide(now time.Time, t Try, random float64) Decision {
	refusal := refusals[t.Failure]
	if refusal == "" {
		refusal = api.RefusalUpstreamFailed
	}
	after, inTime := p.Backoff.Delay(now, t.Deadline, t.Attempts, random)
	most := p.MaxAttempts
	if t.MaxAttempts > 0 {
		most = t.MaxAttempts
	}
	switch {
	case !MayRepeat(t), t.Attempts >= most:
	case !inTime:
		refusal = api.RefusalDeadlineExceeded
	case !t.Unsent && !p.Budget.Take(now, t.Workspace):
		refusal = api.RefusalRetryBudget
	default:
		return Decision{Retry: true, After: after, Reason: t.Failure}
	}
	return Decision{Refusal: refusal, NotRun: !t.BytesSent}
}

// MayRepeat says whether sending the request again cannot run it twice: it is
// idempotent, or it is certain that no endpoint has started it.
func MayRepeat(t Try) bool {
	switch t.Repeat {
	case Idempotent:
		return repeatable(t.Failure)
	case UnlessRun:
		return notStarted(t.Failure) && (!t.BytesSent || t.Failure == api.RetryReasonRefusedByEndpoint)
	}
	return notStarted(t.Failure) && !t.BytesSent
}

// repeatable names the failures of an attempt. Reasons of the platform's calls
// are not decided on here.
func repeatable(failure api.RetryReason) bool {
	_, ok := refusals[failure]
	return ok
}

// notStarted names the failures after which the endpoint cannot have started the
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

// refusals is what a caller is told when the last attempt failed so.
var refusals = map[api.RetryReason]api.Refusal{
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
	// Base is the longest first delay.
	Base time.Duration
	// Max is the longest delay.
	Max time.Duration
}

// Delay returns the delay before the next attempt after the given number of
// attempts, from half of its longest value to the whole. It returns false when
// the attempt would start at the deadline or later.
func (b Backoff) Delay(now, deadline time.Time, attempts int, random float64) (time.Duration, bool) {
	longest := min(b.Base, b.Max)
	for i := 1; i < attempts && longest < b.Max; i++ {
		longest = min(2*longest, b.Max)
	}
	delay := longest/2 + time.Duration(random*float64(longest-longest/2))
	return delay, now.Add(delay).Before(deadline)
}
