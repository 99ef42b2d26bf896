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
	// cacheMoveTimeout bounds the time that a move adds to the time to first token.
	cacheMoveTimeout = 250 * time.Millisecond
	// cacheMoveBurst is the burst, in bytes, of the rate limiter that all moves share.
	cacheMoveBurst = 1 << 20
	// maxCacheMoves bounds the concurrent moves of one router. A chat that needs a move
	// beyond this bound starts without its cache.
	maxCacheMoves = 8
	// maxKnownLocations bounds the table of known cache locations.
	maxKnownLocations = 8192
)

// cacheMover copies the KV cache of a returning chat, which is one that already contains
// an answer, to the endpoint that the chat is now assigned to. It does so if another
// endpoint is expected to hold the cache. A cache is copied only when its chat returns:
// this needs no persistent state per chat and copies no cache that is never used again.
// The copy is called a move, although the source keeps its cache.
type cacheMover struct {
	engine  engine.CacheMover
	limiter *rate.Limiter
	metrics *telemetry.Metrics
	slots   chan struct{}

	mu sync.Mutex
	// locations holds, for each chat key, the id of the endpoint that is known to hold
	// the chat's cache.
	locations map[uint64]string
}

func newCacheMover(client engine.CacheMover, bytesPerSecond int, metrics *telemetry.Metrics) *cacheMover {
	return &cacheMover{
		engine:    client,
		limiter:   rate.NewLimiter(rate.Limit(bytesPerSecond), cacheMoveBurst),
		metrics:   metrics,
		slots:     make(chan struct{}, maxCacheMoves),
		locations: map[uint64]string{},
	}
}

// move copies the KV cache of the chat with this key, unless the target holds at least
// as much of it. Errors are only counted: without the cache the target computes the
// prompt again.
func (m *cacheMover) move(ctx context.Context, key uint64, from, to *api.Endpoint) {
	if m.isCachedAt(key, to.ID) {
		return
	}
	select {
	case m.slots <- struct{}{}:
		defer func() { <-m.slots }()
	default:
		m.countResult("busy")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cacheMoveTimeout)
	defer cancel()
	result := m.copy(ctx, strconv.FormatUint(key, 16), from.URL, to.URL)
	m.countResult(result)
	if result != moveFailed {
		m.setLocation(key, to.ID)
	}
}

// Results of a move, which name the counters under cache.moves.
const (
	moveFailed    = "failed"
	moveDone      = "done"
	moveNotNeeded = "not_needed" // the target holds at least as much of the cache
	moveMissing   = "missing"    // the source does not hold the cache
)

// copy copies one chat's KV cache between two endpoints, which are given by URL. The
// prefix is the chat's key in hex. The return value is one of the results above.
func (m *cacheMover) copy(ctx context.Context, prefix, from, to string) string {
	source, err := m.engine.ExportKV(ctx, from, prefix)
	if err != nil {
		if isNotFound(err) {
			return moveMissing
		}
		return moveFailed
	}
	defer source.Close()
	existing, err := m.engine.ExportKV(ctx, to, prefix)
	if err == nil {
		existing.Close()
		// An older, shorter cache must not replace a newer one.
		if existing.Size >= source.Size {
			return moveNotNeeded
		}
	}
	if err := m.engine.ImportKV(ctx, to, prefix, source, m.limiter); err != nil {
		return moveFailed
	}
	m.metrics.Counter("cache.moves.bytes").Inc(source.Size)
	return moveDone
}

func (m *cacheMover) countResult(result string) {
	m.metrics.Counter("cache.moves." + result).Inc(1)
}

func (m *cacheMover) isCachedAt(key uint64, endpoint string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.locations[key] == endpoint
}

func (m *cacheMover) setLocation(key uint64, endpoint string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.locations) >= maxKnownLocations {
		clear(m.locations)
	}
	m.locations[key] = endpoint
}

func isNotFound(err error) bool {
	var failure *engine.Error
	return errors.As(err, &failure) && failure.Status == http.StatusNotFound
}

// clearLocations forgets all cache locations. It is called when pools change, since
// chats may then be assigned to other endpoints.
func (m *cacheMover) clearLocations() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.locations)
}
