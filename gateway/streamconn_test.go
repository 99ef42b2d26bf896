package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a connection that is idle twice after a stream, so that two requests use it at the
// same time.
func TestStreamReturnsConnectionOnce(t *testing.T) {
	e := newEndpoint(t, "e1", events(1, 2, true), func(r *http.Request, w io.Writer) bool {
		time.Sleep(100 * time.Millisecond)
		return answer(200, "", "ok")(r, w)
	})
	f := newTestGateway(t, e).configure()
	response, _, err := f.do(t, "/chat/1")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)

	var served atomic.Int64
	for i := range 2 {
		request := f.request(t, "/unsafe/1", "Request-Id", fmt.Sprint("r", 2+i))
		go func() {
			if response, err := http.DefaultClient.Do(request); err == nil {
				if response.StatusCode == http.StatusOK {
					served.Add(1)
				}
				response.Body.Close()
			}
		}()
	}
	eventually(t, func() bool { return served.Load() == 2 })
	accepted, _ := e.connections()
	assert.Equal(t, accepted, 2, "each request in flight has a connection of its own")
}
