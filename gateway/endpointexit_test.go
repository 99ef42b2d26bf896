package gateway_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// exit closes the endpoint's listener and all its connections, as the end of its process does.
func (e *endpoint) exit() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		conn.Close()
	}
}

// Guards against two faults: an endpoint that exited is not told from one that broke off one
// answer, and the other way round.
func TestEndpointExitIsFound(t *testing.T) {
	for _, exits := range []bool{false, true} {
		var e *endpoint
		e = newEndpoint(t, "e1", func(*http.Request, io.Writer) bool {
			if exits {
				e.exit()
			}
			return false
		}, answer(200, "", "ok"))
		f := newTestGateway(t, e).configure()
		response, _, _ := f.do(t, "/prompt/1", "Prompt-Prefix", "a:1,b:1,c:1")
		assert.Equal(t, response.StatusCode, 502)
		want := int64(0)
		if exits {
			want = 1
		}
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, f.metrics.Counter("endpoints.exited").Count(), want)
	}
}
