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
	// firstReportDelay and maxReportDelay bound the exponential backoff with which an
	// update that was not acknowledged is sent again.
	firstReportDelay = 100 * time.Millisecond
	maxReportDelay   = 5 * time.Second
	// reportInterval is the time between two checks for due updates.
	reportInterval       = 50 * time.Millisecond
	maxConcurrentReports = 64
)

// AttemptsConfig holds the limits of the table of a router's attempts.
type AttemptsConfig struct {
	Router string
	// MaxAttempts bounds the attempts that are pending, running or not yet reported.
	MaxAttempts int
	// MaxOutcomeBytes bounds one outcome body, and MaxUnreportedBytes the total of
	// the bodies that are not yet reported. A body that exceeds either bound is
	// dropped, and its outcome is reported as truncated.
	MaxOutcomeBytes    int
	MaxUnreportedBytes int
}

// DefaultAttemptsConfig returns the default limits for a router.
func DefaultAttemptsConfig(router string) AttemptsConfig {
	return AttemptsConfig{Router: router, MaxAttempts: 4096, MaxOutcomeBytes: 16 << 10, MaxUnreportedBytes: 4 << 20}
}

type attemptState int

const (
	attemptPending attemptState = iota
	attemptRunning
	attemptReporting // completed or abandoned, not yet acknowledged
)

type attemptEntry struct {
	request    api.ClaimRequest
	state      attemptState
	update     api.ClaimUpdate
	nextSend   time.Time
	retryDelay time.Duration
	sending    bool
}

// Attempts is the table of the attempts for which this router requested a claim.
// Each attempt runs at most once, and never after it was abandoned. Attempts reads
// no clock and is safe for concurrent use.
type Attempts struct {
	cfg AttemptsConfig

	mu              sync.Mutex
	entries         map[string]*attemptEntry
	unreportedBytes int // total size of the outcome bodies in entries
	droppedGrants   int
}

// NewAttempts returns an empty table.
func NewAttempts(cfg AttemptsConfig) *Attempts {
	return &Attempts{cfg: cfg, entries: map[string]*attemptEntry{}}
}

// Begin adds a pending attempt for a caller's request and returns the claim to
// send. It returns false when the table is full; the call must then be refused as
// not run.
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

// HandleGrant handles a granted claim. It returns true, once per attempt, if the
// attempt may run now. A grant for an attempt that is no longer in the table is
// released, because the key would otherwise stay claimed.
func (t *Attempts) HandleGrant(now time.Time, request api.ClaimRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[request.Attempt]
	if entry == nil {
		if len(t.entries) >= t.cfg.MaxAttempts {
			t.droppedGrants++
			return false
		}
		entry = &attemptEntry{request: request}
		t.entries[request.Attempt] = entry
		t.queueUpdate(now, entry, api.ClaimStateReleased, nil)
		return false
	}
	if entry.state != attemptPending {
		return false
	}
	entry.state = attemptRunning
	return true
}

// HandleRefusal removes a pending attempt whose claim was not granted; reply is the
// reply to the claim. The attempt's claim request must have been sent exactly once. If
// reply does not rule out that the key was claimed, the attempt is released instead.
func (t *Attempts) HandleRefusal(now time.Time, attempt string, reply api.ClaimReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[attempt]
	if entry == nil || entry.state != attemptPending {
		return
	}
	if reply.Result == api.ClaimResultUnavailable && !reply.NotClaimed {
		t.queueUpdate(now, entry, api.ClaimStateReleased, nil)
		return
	}
	delete(t.entries, attempt)
}

// Abandon releases a pending attempt and returns true: the attempt has not run and will
// not run. It returns false for an attempt in any other state.
func (t *Attempts) Abandon(now time.Time, attempt string) bool {
	return t.release(now, attempt, attemptPending)
}

// ReleaseUnsent releases a running attempt of which no byte was sent to an endpoint.
// It returns false if the attempt is not running.
func (t *Attempts) ReleaseUnsent(now time.Time, attempt string) bool {
	return t.release(now, attempt, attemptRunning)
}

func (t *Attempts) release(now time.Time, attempt string, from attemptState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[attempt]
	if entry == nil || entry.state != from {
		return false
	}
	t.queueUpdate(now, entry, api.ClaimStateReleased, nil)
	return true
}

// Complete records the outcome of a running attempt and does nothing for an attempt in
// any other state. A nil outcome means that the outcome is unknown.
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
	if len(kept.Body) > t.cfg.MaxOutcomeBytes || t.unreportedBytes+len(kept.Body) > t.cfg.MaxUnreportedBytes {
		kept.Body = nil
		kept.Truncated = true
	}
	t.unreportedBytes += len(kept.Body)
	t.queueUpdate(now, entry, api.ClaimStateDone, &kept)
}

func (t *Attempts) queueUpdate(now time.Time, entry *attemptEntry, state api.ClaimState, outcome *api.ClaimOutcome) {
	entry.state = attemptReporting
	entry.nextSend = now
	entry.retryDelay = firstReportDelay
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

// Due returns at most limit updates to send now. An update is returned again only
// after Acknowledge was called for it with a reply that requires a retry.
func (t *Attempts) Due(now time.Time, limit int) []api.ClaimUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []api.ClaimUpdate
	for _, entry := range t.entries {
		if len(due) == limit {
			break
		}
		if entry.state != attemptReporting || entry.sending || now.Before(entry.nextSend) {
			continue
		}
		entry.sending = true
		due = append(due, entry.update)
	}
	return due
}

// Acknowledge handles the reply to an update. The results done and in_progress remove
// the attempt from the table. After any other result the update is sent again with
// exponential backoff and jitter.
func (t *Attempts) Acknowledge(now time.Time, update api.ClaimUpdate, reply api.ClaimReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[update.Attempt]
	if entry == nil || entry.state != attemptReporting {
		return
	}
	entry.sending = false
	if reply.Result != api.ClaimResultDone && reply.Result != api.ClaimResultInProgress {
		entry.nextSend = now.Add(entry.retryDelay/2 + mathrand.N(entry.retryDelay/2+1))
		entry.retryDelay = min(2*entry.retryDelay, maxReportDelay)
		return
	}
	if entry.update.Outcome != nil {
		t.unreportedBytes -= len(entry.update.Outcome.Body)
	}
	delete(t.entries, update.Attempt)
}

// Reported reports whether the attempt is not in the table: it was refused, its update
// has been acknowledged, or it was never begun.
func (t *Attempts) Reported(attempt string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[attempt] == nil
}

// Unreported returns two numbers: held is the number of attempts in the table, none of
// which is acknowledged yet; dropped is the number of late grants that were not
// released because the table was full.
func (t *Attempts) Unreported() (held, dropped int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries), t.droppedGrants
}

// SendUpdate sends an update to the owner of its shard and returns the reply.
type SendUpdate func(context.Context, api.ClaimUpdate) api.ClaimReply

// ReportOutcomes sends the due updates of t until ctx ends, with up to
// maxConcurrentReports calls of send at once. It returns after all of them have returned.
func ReportOutcomes(ctx context.Context, t *Attempts, clock Clock, send SendUpdate) {
	var sending sync.WaitGroup
	defer sending.Wait()
	slots := make(chan struct{}, maxConcurrentReports)
	for {
		for _, update := range t.Due(clock.Now(), maxConcurrentReports-len(slots)) {
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
