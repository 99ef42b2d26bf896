package gateway

import (
	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/balance"
	"github.com/hornbeamproxy/hornbeamproxy/upstream"
)

// closeIdle closes an idle connection of each endpoint, so that another one can be opened. It returns
// false if there is none.
func (g *Gateway) closeIdle() bool {
	g.mu.Lock()
	pools := make([]*upstream.Pool, 0, len(g.pools))
	for _, pool := range g.pools {
		pools = append(pools, pool)
	}
	g.mu.Unlock()
	closed := false
	for _, pool := range pools {
		closed = pool.CloseOldestIdle() || closed
	}
	return closed
}

// handleNoSlot ends an attempt for which this router may open no connection, which does not count
// against the endpoint.
func (x *exchange) handleNoSlot(state *balance.State) result {
	x.release(state, errCallerGone)
	x.g.metrics.Counter("overload.endpoint_connections").Inc(1)
	return result{refusal: api.RefusalOverloaded, notSent: true, retryAfter: retryAfterShort}
}
