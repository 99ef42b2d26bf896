package gateway

import (
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/roster"
)

// An endpoint that leaves says so in its answers, perhaps before its entry in the store does, or
// without an entry that does. It is withdrawn at once, like one whose entry is draining, until it
// starts again. The router tells the others.

// noteLeaving withdraws the endpoint if the head of its answer to this request says that it
// leaves.
func (x *exchange) noteLeaving(endpoint *roster.Endpoint, head ResponseHead) {
	if !head.Leaving || head.ID != x.request.ID || head.Misdirected {
		return
	}
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.roster.MarkLeaving(endpoint.Start()) {
		return
	}
	g.leavingStarts = append(g.leavingStarts, endpoint.Start())
	g.metrics.Counter("endpoints.leaving").Inc(1)
	g.logger.Info("endpoint leaves", zap.String("endpoint", endpoint.ID), zap.String("request", x.request.ID))
}

// TakeLeaving returns the starts of endpoints that have said to this router, since the last call,
// that they leave.
func (g *Gateway) TakeLeaving() []uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	starts := g.leavingStarts
	g.leavingStarts = nil
	return starts
}

// ReceiveLeaving withdraws the endpoints that have said to another router that they leave.
func (g *Gateway) ReceiveLeaving(starts []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, start := range starts {
		if g.roster.MarkLeaving(start) {
			g.logger.Info("endpoint leaves", zap.Uint64("start", start))
		}
	}
}
