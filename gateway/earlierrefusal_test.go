package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/roster"
)

// Guards against a copy of an earlier refusal on a kept connection being taken for the answer to
// the next request: its caller is told that it has not run, or it runs at a second endpoint.
func TestCopyOfEarlierRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 %d X\r\n%sNot-Run: 1\r\nContent-Length: 4\r\n\r\nbusy"
	for _, status := range []int{408, 421, 429, 503} {
		for _, c := range []struct {
			name, id string
			copies   int
			want     int
		}{
			{"id of the earlier request", "Request-Id: first\r\n", 1, 200},
			{"two copies", "Request-Id: first\r\n", 2, 200},
			{"many copies", "Request-Id: first\r\n", 5, 502},
			{"no id", "", 1, 502},
			{"no id, two copies", "", 2, 502},
		} {
			t.Run(fmt.Sprint(status, " ", c.name), func(t *testing.T) {
				first := func(_ *http.Request, w io.Writer) bool {
					_, _ = fmt.Fprintf(w, refusal, status, "Request-Id: first\r\n")
					return true
				}
				if status == http.StatusMisdirectedRequest {
					// The connection to another endpoint is not kept.
					first = answer(200, "", "ok")
				}
				copied := func(r *http.Request, w io.Writer) bool {
					_, _ = io.WriteString(w, strings.Repeat(fmt.Sprintf(refusal, status, c.id), c.copies))
					return answer(200, "", "done")(r, w)
				}
				bad, other := newEndpoint(t, "e1", first, copied), newEndpoint(t, "e2", answer(200, "", "second run"))
				f := newTestGateway(t, bad).configure()
				_, _, _ = f.do(t, "/unsafe/1", "Request-Id", "first")
				// The other endpoint is in another availability zone, so that it is the second choice.
				f.SetEndpoint(roster.Entry{ID: other.id, Service: "s", Address: other.listener.Addr().String(), Zone: "y", Slots: 8})
				response, body, err := f.do(t, "/unsafe/1", "Request-Id", "second")
				assert.Equal(t, response.StatusCode, c.want)
				assert.Equal(t, response.Header.Get("Not-Run"), "")
				assert.Equal(t, len(bad.received()), 2)
				assert.Equal(t, len(other.received()), 0, "the request ran twice")
				if c.want == http.StatusOK {
					assert.NilError(t, err)
					assert.Equal(t, body, "done")
				}
			})
		}
	}
}
