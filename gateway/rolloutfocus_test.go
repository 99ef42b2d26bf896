package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/rollout"
)

// Guards against requests that still go to the one target endpoint that is named at a small share when
// it has failed and was ejected, although other target endpoints serve.
func TestEjectedEndpointIsNotFocused(t *testing.T) {
	var mu sync.Mutex
	failed, failedAt, again := "", time.Time{}, time.Time{}
	// The first request to a target endpoint fails.
	target := func(id string) script {
		return func(r *http.Request, w io.Writer) bool {
			mu.Lock()
			defer mu.Unlock()
			if failed == "" {
				failed, failedAt = id, time.Now()
				return false
			}
			if failed == id && again.IsZero() {
				again = time.Now()
			}
			return answer(200, "", "new")(r, w)
		}
	}
	v := newVersionedGateway(t, answer(200, "", "old"), target("i-new"))
	targets, ids := []*endpoint{v.target}, map[string]bool{"i-old": true, "i-new": true}
	for i := range 3 {
		id := fmt.Sprint("i-new", i)
		e := newEndpoint(t, id, target(id))
		targets, ids[id] = append(targets, e), true
		v.set(e, "v2", false)
	}
	v.RetainEndpoints(ids)
	v.status(rollout.Running, 0.25)
	v.send(16, "/safe/x")
	received := 0
	for _, e := range targets {
		received += len(e.received())
	}
	assert.Assert(t, received >= 3, "%d requests at the target", received)
	mu.Lock()
	defer mu.Unlock()
	const ejected = 400 * time.Millisecond // 500 ms from when the gateway has noticed
	assert.Assert(t, again.IsZero() || again.Sub(failedAt) >= ejected, "a request %s after the failure", again.Sub(failedAt))
}
