package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/roster"
)

func pausing(retryAfter string) script {
	return func(r *http.Request, w io.Writer) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Run: 1\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"), retryAfter)
		return true
	}
}

// Guards against requests that press an endpoint that has asked for a pause: new ones, retries and
// resumed streams, with the configuration changed meanwhile; and against a pause without end.
func TestPausedEndpointGetsNothing(t *testing.T) {
	busy, other := newEndpoint(t, "e1", pausing("0.6")), newEndpoint(t, "e2", answer(200, "", "ok"))
	f := newTestGateway(t, busy, other).configure()
	for i := 0; len(busy.received()) == 0; i++ {
		_, _, _ = f.do(t, "/safe/1", "Request-Id", fmt.Sprint("first", i))
	}
	assert.DeepEqual(t, f.reporter.take(), []string{"paused s 600ms"})
	f.configureRevision(2)
	f.register(busy)
	for i := range 30 {
		for _, path := range []string{"/safe/1", "/unsafe/1", "/chat/1", "/prompt/1"} {
			_, _, _ = f.do(t, path, "Request-Id", fmt.Sprint("r", i), "Prompt-Prefix", fmt.Sprintf("a:1,%x:1,c:1", i))
		}
	}
	assert.Equal(t, len(busy.received()), 1)
	time.Sleep(600 * time.Millisecond)
	for i := range 30 {
		_, _, _ = f.do(t, "/safe/1", "Request-Id", fmt.Sprint("later", i))
	}
	assert.Equal(t, len(busy.received()), 2)
}

// Guards against a request that waits or is lost when all endpoints pause, against callers that
// return before the first pause ends, and against a pause that outlives the endpoint's start.
func TestAllEndpointsPaused(t *testing.T) {
	e := newEndpoint(t, "e1", pausing("2"), answer(200, "", "ok"))
	f := newTestGateway(t, e).configure()
	_, _, _ = f.do(t, "/unsafe/1")
	began := time.Now()
	response, body, _ := f.do(t, "/unsafe/1", "Request-Id", "r2")
	assert.Assert(t, time.Since(began) < time.Second)
	assert.Equal(t, response.StatusCode, 503)
	assert.Equal(t, body, "{\"refused\":\"endpoint_paused\"}\n")
	wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, wait > 1.5 && wait <= 3.01, "%f s", wait)
	assert.Equal(t, len(e.received()), 1)
	f.SetEndpoint(roster.Entry{ID: "e1", Service: "s", Address: e.listener.Addr().String(), Zone: "z", Slots: 8, Started: 5})
	response, _, _ = f.do(t, "/unsafe/1", "Request-Id", "r3")
	assert.Equal(t, response.StatusCode, 200)
}
