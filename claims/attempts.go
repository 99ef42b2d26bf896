package claims

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

const (
	firstReportDelay = 100 * time.Millisecond
	maxReportDelay   = 5 * time.Second
	reportInterval   = 50 * time.Millisecond
	maxReportsAtOnce = 64
)

// AttemptsConfig bounds the table of a router's attempts.
type AttemptsConfig struct {
	Router string
	// MaxAttempts bounds the attempts that run, wait or are not yet reported.
	MaxAttempts int
	// MaxOutcomeBytes bounds one outcome body, MaxHeldBytes all that wait to be
	// reported. A body beyond either is reported as truncated.
	MaxOutcomeBytes int
	MaxHeldBytes    int
}

// DefaultAttemptsConfig returns the usual settings.
func DefaultAttemptsConfig(router string) AttemptsConfig {
	return AttemptsConfig{Router: router, MaxAttempts: 4096, MaxOutcomeBytes: 16 << 10, MaxHeldBytes: 4 << 20}
}

type attemptState int

const (
	attemptPending attemptState = iota
	attemptRunning
	attemptReporting // completed or abandoned, not yet acknowledged
)

type attemptEntry struct {
	request api.ClaimRequest
	state   attemptState
	update  api.ClaimUpdate
	due     time.Time
	delay   time.Duration
	sending bool
}

// Attempts is the table of the claims that this router has asked for. It lets
// each attempt run at most once, and never after it was abandoned. It reads no
// clock and is safe for concurrent use.
type Attempts struct {
	cfg AttemptsConfig

	mu      sync.Mutex
	entries map[string]*attemptEntry
	held    int // bytes of outcome bodies
	dropped int
}

// NewAttempts returns an empty table.
func NewAttempts(cfg AttemptsConfig) *Attempts {
	return &Attempts{cfg: cfg, entries: map[string]*attemptEntry{}}
}

// Begin adds a pending attempt of a caller's request. It returns false when the
// table is full; the call is then refused as not run.
func (t *Attempts) Begin(shard int, key, bodyDigest string) (api.ClaimRequest, bool) {
	request := api.ClaimRequest{
		Shard:      shard,
		Key:        key,
		Attempt:    t.cfg.Router + "-" + rand.Text(),
		Router:     t.cfg.Router,
		BodyDigest: bodyDigest,
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) >= t.cfg.MaxAttempts {
		return api.ClaimRequest{}, false
	}
	t.entries[request.Attempt] = &attemptEntry{request: request}
	return request, true
}

// Granted returns true if the attempt may run now; it does so once. A grant of
// an attempt that is no longer known is released again, because the key would
// otherwise stay claimed.
func (t *Attempts) Granted(now time.Time, request api.ClaimRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[request.Attempt]
	if entry == nil {
		if len(t.entries) >= t.cfg.MaxAttempts {
			t.dropped++
			return false
		}
		entry = &attemptEntry{request: request}
		t.entries[request.Attempt] = entry
		t.report(now, entry, api.ClaimStateReleased, nil)
		return false
	}
	if entry.state != attemptPending {
		return false
	}
	entry.state = attemptRunning
	return true
}

// Refused removes a pending attempt whose only request was answered with
// anything but granted. An answer that does not exclude a claim is released.
func (t *Attempts) Refused(now time.Time, attempt string, reply api.ClaimReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[attempt]
	if entry == nil || entry.state != attemptPending {
		return
	}
	if reply.Result == api.ClaimResultUnavailable && !reply.NotClaimed {
		t.report(now, entry, api.ClaimStateReleased, nil)
		return
	}
	delete(t.entries, attempt)
}

// Abandon gives up a pending attempt. It returns true if the caller may be told
// that the call was not run, and false if the attempt is running or has run.
func (t *Attempts) Abandon(now time.Time, attempt string) bool {
	return t.release(now, attempt, attemptPending)
}

// NotSent gives up a running attempt of which no byte was sent to an endpoint.
// It returns false if the attempt is not running.
func (t *Attempts) NotSent(now time.Time, attempt string) bool {
	return t.release(now, attempt, attemptRunning)
}

func (t *Attempts) release(now time.Time, attempt string, from attemptState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[attempt]
	if entry == nil || entry.state != from {
		return false
	}
	t.report(now, entry, api.ClaimStateReleased, nil)
	return true
}

// Complete records the outcome of a running attempt. A nil outcome means that
// it is unknown.
func (t *Attempts) Complete(now time.Time, attempt string, outcome *api.ClaimOutcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[attempt]
	if entry == nil || entry.state != attemptRunning {
		return
	}
	kept := api.ClaimOutcome{}
	if outcome != nil {
		kept = *outcome
	}
	if len(kept.Body) > t.cfg.MaxOutcomeBytes || t.held+len(kept.Body) > t.cfg.MaxHeldBytes {
		kept.Body = nil
		kept.Truncated = true
	}
	t.held += len(kept.Body)
	t.report(now, entry, api.ClaimStateDone, &kept)
}

func (t *Attempts) report(now time.Time, entry *attemptEntry, state api.ClaimState, outcome *api.ClaimOutcome) {
	entry.state = attemptReporting
	entry.due = now
	entry.delay = firstReportDelay
	entry.update = api.ClaimUpdate{
		Shard:      entry.request.Shard,
		Key:        entry.request.Key,
		Attempt:    entry.request.Attempt,
		State:      state,
		Outcome:    outcome,
		Router:     entry.request.Router,
		BodyDigest: entry.request.BodyDigest,
	}
}

// Due returns at most limit updates to send now. Each is returned again only
// after Acknowledge was called for it.
func (t *Attempts) Due(now time.Time, limit int) []api.ClaimUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []api.ClaimUpdate
	for _, entry := range t.entries {
		if len(due) == limit {
			break
		}
		if entry.state != attemptReporting || entry.sending || now.Before(entry.due) {
			continue
		}
		entry.sending = true
		due = append(due, entry.update)
	}
	return due
}

// Acknowledge takes the answer to an update. Unavailable, or any answer that an
// owner does not give to an update, means that it is sent again.
func (t *Attempts) Acknowledge(now time.Time, update api.ClaimUpdate, reply api.ClaimReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[update.Attempt]
	if entry == nil || entry.state != attemptReporting {
		return
	}
	entry.sending = false
	if reply.Result != api.ClaimResultDone && reply.Result != api.ClaimResultInProgress {
		entry.due = now.Add(entry.delay/2 + mathrand.N(entry.delay/2+1))
		entry.delay = min(2*entry.delay, maxReportDelay)
		return
	}
	if entry.update.Outcome != nil {
		t.held -= len(entry.update.Outcome.Body)
	}
	delete(t.entries, update.Attempt)
}

// Reported returns whether nothing of the attempt is left to be acknowledged.
func (t *Attempts) Reported(attempt string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[attempt] == nil
}

// Unreported returns the number of attempts that are known to this router and
// not yet acknowledged, and the number of late grants that could not be released.
func (t *Attempts) Unreported() (held, dropped int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries), t.dropped
}

// SendUpdate passes an update to the owner of its shard.
type SendUpdate func(context.Context, api.ClaimUpdate) api.ClaimReply

// Report sends the updates of t until ctx ends. It returns after all calls of
// send have returned.
func Report(ctx context.Context, t *Attempts, clock Clock, send SendUpdate) {
	var sending sync.WaitGroup
	defer sending.Wait()
	slots := make(chan struct{}, maxReportsAtOnce)
	for {
		for _, update := range t.Due(clock.Now(), maxReportsAtOnce-len(slots)) {
			slots <- struct{}{}
			sending.Go(func() {
				defer func() { <-slots }()
				t.Acknowledge(clock.Now(), update, send(ctx, update))
			})
		}
		select {
		case <-clock.After(reportInterval):
		case <-ctx.Done():
			return
		}
	}
}
