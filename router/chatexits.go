package router

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/engine"
	"github.com/hornbeamproxy/hornbeamproxy/poison"
)

const (
	// exitCheckTimeout bounds the call that finds out whether an engine has exited.
	exitCheckTimeout = 200 * time.Millisecond
	// maxExitsPerRequest is the number of engines that may exit before they answer a request.
	// A second one at once is hardly ever a coincidence.
	maxExitsPerRequest = 2
	// allEngines stands for the service in the detector: one set of engines answers all chats.
	allEngines = 0
)

// chatExits remembers which chats make engines exit, so that they are refused when they return.
// Each router counts what it sees itself.
type chatExits struct {
	now func() time.Time

	mu       sync.Mutex
	detector *poison.Detector
}

func newChatExits(now func() time.Time) *chatExits {
	return &chatExits{now: now, detector: poison.New()}
}

// quarantineEnd returns how long requests of the chat are refused, and false if they are not.
func (x *chatExits) quarantineEnd(chatKey uint64) (time.Duration, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	x.detector.Confirm(now)
	admission := x.detector.Admit(now, []uint64{chatKey}, 0)
	return admission.Until.Sub(now), admission.Refused
}

// recordExit records that an engine exited before it answered a request of the chat. It reports
// whether the request may be sent to another engine.
func (x *chatExits) recordExit(endpoint string, chatKey uint64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	exit := xxhash.Sum64String(endpoint + "/" + strconv.FormatInt(now.UnixMilli(), 10))
	x.detector.RecordExit(now, allEngines, exit, [][]uint64{{chatKey}})
	return !x.detector.Suspected(now, []uint64{chatKey})
}

func (x *chatExits) recordAnswer(chatKey uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.detector.RecordAnswer(x.now(), allEngines, []uint64{chatKey})
}

// refuseQuarantined returns the refusal of a chat that makes engines exit, or nil.
func (r *Router) refuseQuarantined(chatKey uint64) error {
	wait, quarantined := r.chatExits.quarantineEnd(chatKey)
	if !quarantined {
		return nil
	}
	return &refusal{reason: api.RefusalPromptQuarantined, notRun: true, detail: "engines exit when they answer this chat", retryAfter: wait}
}

// exitRefusal finds out whether the engine has exited after a request of the chat broke off there
// without an event. It returns the refusal to send if the chat may be the reason, and nil if the
// request may be retried.
func (r *Router) exitRefusal(ctx context.Context, ch *chat, assigned *assignment, cause error) error {
	if ch.answered || !errors.Is(cause, engine.ErrIncomplete) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, exitCheckTimeout)
	defer cancel()
	if _, err := r.engine.ReadLoad(ctx, assigned.endpoint.URL); err == nil || ctx.Err() != nil {
		return nil
	}
	r.metrics.Counter("endpoints.exited").Inc(1)
	r.logger.Warn("engine exited before it answered", zap.String("endpoint", assigned.endpoint.ID), zap.String("request", ch.id),
		zap.String("chat", strconv.FormatUint(ch.placementKey, 16)))
	ch.exits++
	if r.chatExits.recordExit(assigned.endpoint.ID, ch.placementKey) && ch.exits < maxExitsPerRequest {
		return nil
	}
	return &refusal{reason: api.RefusalUpstreamIncomplete, detail: "the engine exited, as others did before", cause: cause}
}
