package gateway_test

import (
	"context"
	"net"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request that finds out whether an endpoint that could not be
// reached is back, and against an endpoint that stays out for good.
func TestReachedAgain(t *testing.T) {
	lost, sound := newEndpoint(t, "e1", answer(200, "", "ok")), newEndpoint(t, "e2", answer(200, "", "ok"))
	address := lost.listener.Addr().String()
	lost.listener.Close()
	f := newFront(t, lost, sound).configure()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = f.Run(ctx) }()
	for range 4 {
		response, _, _ := f.do(t, "/unsafe/1")
		assert.Equal(t, response.StatusCode, 200)
	}
	assert.Assert(t, f.metrics.Counter("upstream.dials").Count() <= 5, "requests tried the lost endpoint again")
	eventually(t, func() bool { return slices.Contains(f.reporter.take(), "lost e1") })
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	defer listener.Close()
	conn, err := listener.Accept()
	assert.NilError(t, err)
	go lost.serve(conn)
	eventually(t, func() bool {
		response, _, _ := f.do(t, "/safe/1")
		assert.Equal(t, response.StatusCode, 200)
		return len(lost.got()) > 0
	})
	assert.Assert(t, slices.Contains(f.reporter.take(), "back e1"))
}
