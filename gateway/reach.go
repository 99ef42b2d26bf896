package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/balance"
	"github.com/hornbeamproxy/hornbeamproxy/upstream"
)

const (
	// verifyInterval is the time between looks for endpoints to verify.
	verifyInterval = 100 * time.Millisecond
	// quietFor is how long a request that may move has waited without a byte when
	// its endpoint is found silent: longer than the pauses of a stream.
	quietFor = 300 * time.Millisecond
)

// unreachable handles an endpoint that could not be reached or fell silent, and
// its zone when several did together. Callers hold g.mu.
func (g *Gateway) unreachable(now time.Time, state *balance.State, cause error) bool {
	ejected := state.Unreachable(now)
	if !upstream.Silent(cause) {
		return ejected
	}
	if pool, ok := g.pools[state.Endpoint]; ok {
		pool.Distrust(now.Add(-quietFor))
	}
	if !g.balancer.Silent(now, state) {
		return ejected
	}
	for endpoint, pool := range g.pools {
		if endpoint.Zone == state.Endpoint.Zone {
			pool.Distrust(now.Add(-quietFor))
		}
	}
	g.metrics.Counter("zones.doubted").Inc(1)
	g.logger.Warn("zone doubted", zap.String("zone", state.Endpoint.Zone), zap.String("endpoint", state.Endpoint.ID), zap.Error(cause))
	return ejected
}

// verify opens connections to the endpoints that could not be reached, so that no
// request has to find out whether they are back.
func (g *Gateway) verify(ctx context.Context, now time.Time) {
	g.mu.Lock()
	due := g.balancer.Unverified(now)
	g.mu.Unlock()
	for _, state := range due {
		go g.verifyEndpoint(ctx, state)
	}
}

func (g *Gateway) verifyEndpoint(ctx context.Context, state *balance.State) {
	pool := g.pool(state)
	conn, err := pool.Dial(ctx)
	now := time.Now()
	if err == nil {
		pool.Restore(conn, now)
		g.logger.Info("endpoint reached again", zap.String("endpoint", state.Endpoint.ID))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	state.Verified(now, err == nil)
	switch {
	case err == nil:
		g.config.Reporter.EndpointBack(state.Endpoint.ID)
	case state.Failures() >= lostAfter && !state.Endpoint.Withdrawn:
		g.config.Reporter.EndpointLost(state.Endpoint.Entry)
	}
}
