package router

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/engine"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

const (
	// cacheMoveTimeout bounds what a move may add to the time to first token.
	cacheMoveTimeout = 250 * time.Millisecond
	// cacheMoveBurst is the limiter's burst in bytes.
	cacheMoveBurst = 1 << 20
	// maxCacheMoves bounds the moves of one router at a time; further chats
	// start without their cache.
	maxCacheMoves = 8
	// maxMovesRemembered bounds the table of chats known to be in place.
	maxMovesRemembered = 8192
)

// cacheMover copies the KV cache of a returning chat to the endpoint that the
// chat now goes to, when another endpoint is expected to hold it. Moving a cache
// when its chat returns needs no state per chat and moves nothing in vain.
type cacheMover struct {
	engine  engine.Cacher
	limiter *rate.Limiter
	metrics *telemetry.Metrics
	slots   chan struct{}

	mu sync.Mutex
	// places holds where each chat was last known to be in place.
	places map[uint64]string
}

func newCacheMover(client engine.Cacher, bytesPerSecond int, metrics *telemetry.Metrics) *cacheMover {
	return &cacheMover{
		engine:  client,
		limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), cacheMoveBurst),
		metrics: metrics,
		slots:   make(chan struct{}, maxCacheMoves),
		places:  map[uint64]string{},
	}
}

// move copies the chat's cache unless the target holds as much of it. A failure
// costs reuse only, so there is nothing to return.
func (m *cacheMover) move(ctx context.Context, key uint64, from, to *api.Endpoint) {
	if m.isInPlace(key, to.ID) {
		return
	}
	select {
	case m.slots <- struct{}{}:
		defer func() { <-m.slots }()
	default:
		m.count("busy")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cacheMoveTimeout)
	defer cancel()
	result := m.copy(ctx, strconv.FormatUint(key, 16), from.URL, to.URL)
	m.count(result)
	if result != moveFailed {
		m.remember(key, to.ID)
	}
}

// Results of a move, as counted under cache.moves.
const (
	moveFailed    = "failed"
	moveDone      = "done"
	moveNotNeeded = "not_needed"
	moveMissing   = "missing"
)

func (m *cacheMover) copy(ctx context.Context, prefix, from, to string) string {
	source, err := m.engine.ExportKV(ctx, from, prefix)
	if err != nil {
		if isNotFound(err) {
			return moveMissing
		}
		return moveFailed
	}
	defer source.Close()
	held, err := m.engine.ExportKV(ctx, to, prefix)
	if err == nil {
		held.Close()
		// The older and shorter cache must not replace the newer one.
		if held.Size >= source.Size {
			return moveNotNeeded
		}
	}
	if err := m.engine.ImportKV(ctx, to, prefix, source, m.limiter); err != nil {
		return moveFailed
	}
	m.metrics.Counter("cache.moves.bytes").Inc(source.Size)
	return moveDone
}

func (m *cacheMover) count(result string) {
	m.metrics.Counter("cache.moves." + result).Inc(1)
}

func (m *cacheMover) isInPlace(key uint64, endpoint string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.places[key] == endpoint
}

func (m *cacheMover) remember(key uint64, endpoint string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.places) >= maxMovesRemembered {
		clear(m.places)
	}
	m.places[key] = endpoint
}

func isNotFound(err error) bool {
	var failure *engine.Error
	return errors.As(err, &failure) && failure.Status == http.StatusNotFound
}

// forget is called when pools change, since a chat may then be elsewhere.
func (m *cacheMover) forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.places)
}
