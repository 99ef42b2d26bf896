package edge_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/gateway"
	"github.com/hornbeamproxy/hornbeamproxy/platform"
)

// Guards against an explanation that sends the request to an endpoint, or that the metrics listener
// does not serve.
func TestExplain(t *testing.T) {
	s := newSite(t)
	s.configure("k")
	s.register("ready")
	r := s.start(t, "r1")
	eventually(t, 5*time.Second, "not ready", r.ready)
	ask := func(path, key string) (e gateway.Explanation) {
		request, err := platform.NewExplainRequest(context.Background(), r.settings.Listen.Metrics,
			platform.ExplainQuery{Host: "h", Path: path, Key: key})
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		defer response.Body.Close()
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&e))
		return e
	}
	e := ask("/call/x", "k")
	assert.Equal(t, e.Route+" "+e.Workspace+" "+e.Service+" "+e.Chosen, "c w s i-1")
	assert.Equal(t, string(ask("/call/x", "other").Refused), "unauthorized")
	assert.Equal(t, s.calls.Load(), int64(0))
	response, err := http.Get("http://" + r.settings.Listen.Metrics + "/explain?host=h&path=/call/x&key=k")
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
}
