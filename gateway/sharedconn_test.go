package gateway_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a connection that is given to two requests at a time after it served a response: each
// of the requests below is answered only when both are at the endpoint.
func TestConnectionServesOneRequestAtATime(t *testing.T) {
	for name, first := range map[string]script{
		"after a stream":       events(1, 3, true),
		"after a whole answer": answer(200, "", "ok"),
	} {
		t.Run(name, func(t *testing.T) {
			var arrived sync.WaitGroup
			arrived.Add(2)
			both := make(chan struct{})
			go func() { arrived.Wait(); close(both) }()
			wait := func(r *http.Request, w io.Writer) bool {
				arrived.Done()
				select {
				case <-both:
					return answer(200, "", "ok")(r, w)
				case <-time.After(3 * time.Second):
					return false
				}
			}
			e := newEndpoint(t, "i-1", first, wait)
			f := newTestGateway(t, e).configure()
			response, _, err := f.do(t, "/report/1")
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
			var calls sync.WaitGroup
			statuses := make([]int, 2)
			for i := range statuses {
				calls.Go(func() {
					response, _, _ := f.do(t, "/once/1", "Request-Id", []string{"r2", "r3"}[i])
					statuses[i] = response.StatusCode
				})
			}
			calls.Wait()
			assert.DeepEqual(t, statuses, []int{http.StatusOK, http.StatusOK})
		})
	}
}
