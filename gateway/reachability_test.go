package gateway_test

import (
	"context"
	"net"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against callers' requests being used to probe an unreachable endpoint, and
// against an endpoint that stays excluded after it has become reachable again.
func TestReachedAgain(t *testing.T) {
	lost, healthy := newEndpoint(t, "e1", answer(200, "", "ok")), newEndpoint(t, "e2", answer(200, "", "ok"))
	address := lost.listener.Addr().String()
	lost.listener.Close()
	f := newTestGateway(t, lost, healthy).configure()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = f.Run(ctx) }()
	for range 4 {
		response, _, _ := f.do(t, "/unsafe/1")
		assert.Equal(t, response.StatusCode, 200)
	}
	assert.Assert(t, f.metrics.Counter("upstream.dials").Count() <= 5, "requests tried the unreachable endpoint again")
	eventually(t, func() bool { return slices.Contains(f.reporter.take(), "unreachable e1") })
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	defer listener.Close()
	conn, err := listener.Accept()
	assert.NilError(t, err)
	go lost.serve(conn)
	eventually(t, func() bool {
		response, _, _ := f.do(t, "/safe/1")
		assert.Equal(t, response.StatusCode, 200)
		return len(lost.received()) > 0
	})
	assert.Assert(t, slices.Contains(f.reporter.take(), "recovered e1"))
}
