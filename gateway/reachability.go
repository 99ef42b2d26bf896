package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/balance"
)

const (
	// verifyInterval is the time between checks for endpoints to verify.
	verifyInterval = 100 * time.Millisecond
	// When an endpoint stops answering, the router closes those connections on which a
	// repeatable request has received no byte for silenceThreshold. This time is longer
	// than the pauses within a stream.
	silenceThreshold = 300 * time.Millisecond
)

// unreachable handles an endpoint that could not be reached or stopped answering; silent is set
// if its host did not acknowledge anything. If several endpoints of its zone stopped answering together, it also closes the stalled
// connections to the whole zone. It reports whether the endpoint was ejected. Callers hold
// g.mu.
func (g *Gateway) unreachable(now time.Time, state *balance.State, cause error, silent bool) bool {
	ejected := state.MarkUnreachable(now)
	if !silent {
		return ejected
	}
	if pool, ok := g.pools[state.Endpoint]; ok {
		if pool.HeardSince(now.Add(-dialTimeout)) {
			// One connection timed out, as after a lost packet or at a full queue of new
			// connections, but the endpoint sends on others.
			return ejected
		}
		pool.CloseStalled(now.Add(-silenceThreshold))
	}
	if !g.balancer.RecordSilence(now, state) {
		return ejected
	}
	for endpoint, pool := range g.pools {
		if endpoint.Zone == state.Endpoint.Zone {
			pool.CloseStalled(now.Add(-silenceThreshold))
		}
	}
	g.metrics.Counter("zones.doubted").Inc(1)
	g.logger.Warn("zone suspected unreachable", zap.String("zone", state.Endpoint.Zone), zap.String("endpoint", state.Endpoint.ID), zap.Error(cause))
	return ejected
}

// verify opens connections to the endpoints that could not be reached, so that no
// caller's request is used to probe them.
func (g *Gateway) verify(ctx context.Context, now time.Time) {
	g.mu.Lock()
	toProbe := g.balancer.StartProbes(now)
	g.mu.Unlock()
	for _, state := range toProbe {
		go g.guard.Run("probe of endpoint "+state.Endpoint.ID, func() { g.verifyEndpoint(ctx, state) })
	}
}

func (g *Gateway) verifyEndpoint(ctx context.Context, state *balance.State) {
	pool := g.pool(state)
	conn, err := pool.Probe(ctx)
	now := time.Now()
	if err == nil {
		pool.ReleaseUnused(conn, now)
		g.logger.Info("endpoint reachable again", zap.String("endpoint", state.Endpoint.ID))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil && !classify(err, circumstances{ending: g.ended()}).counts() {
		state.AbandonProbe()
		return
	}
	state.RecordProbe(now, err == nil)
	switch {
	case err == nil:
		g.config.Reporter.EndpointRecovered(state.Endpoint.ID)
	case state.Failures() >= unreachableAfterFailures && !state.Endpoint.Withdrawn:
		g.config.Reporter.EndpointUnreachable(state.Endpoint.Entry)
	}
}
