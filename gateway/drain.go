package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// drainPlan says what a router that stops does with requests.
type drainPlan struct {
	// lateAt is when the load balancer sends this router nothing more.
	lateAt time.Time
	// endsAt is when requests in flight are ended, shortly before the process ends.
	endsAt time.Time
}

// admits reports whether a request that has been read by now may be sent to an endpoint. A late
// one may only if its deadline shows that its final response comes before endsAt. Another router
// serves it at once.
func (p *drainPlan) admits(now, deadline time.Time) bool {
	return p == nil || now.Before(p.lateAt) || deadline.Before(p.endsAt)
}

// Drain makes the gateway close each caller's connection after its next response. From lateAt it
// refuses requests whose deadline is later than endsAt, and at endsAt it ends those in flight: what
// has not run is refused as such, and what may have run gets a response that does not promise
// anything, in place of a closed connection. A response that has begun is aborted.
func (g *Gateway) Drain(lateAt, endsAt time.Time) {
	g.plan.Store(&drainPlan{lateAt: lateAt, endsAt: endsAt})
	g.draining.Store(true)
	time.AfterFunc(time.Until(endsAt), g.endRequests)
}

// onEnd calls f at endsAt. The caller must call stop when f is no longer needed.
func (g *Gateway) onEnd(f func()) (stop func() bool) { return context.AfterFunc(g.ending, f) }

// ended reports whether the requests in flight are being ended.
func (g *Gateway) ended() bool { return g.ending.Err() != nil }

// callerConn is what the gateway knows of a caller's connection.
type callerConn struct {
	spoken atomic.Bool // set by the first request
}

type callerConnKey struct{}

// ConnContext is for the field of this name of the http.Server that serves the gateway. Without it, a
// first request is treated as any other.
func (g *Gateway) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, &callerConn{})
}

// refusesFirst reports whether the request is the first one on its connection and comes when the load
// balancer sends this router nothing more. Its caller opened the connection in advance; it gets its
// answer before the body is read, so that it has the most time for another router.
func (g *Gateway) refusesFirst(ctx context.Context, now time.Time) bool {
	conn, known := ctx.Value(callerConnKey{}).(*callerConn)
	if !known || conn.spoken.Swap(true) {
		return false
	}
	plan := g.plan.Load()
	return plan != nil && !now.Before(plan.lateAt)
}
