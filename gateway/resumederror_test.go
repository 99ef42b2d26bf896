package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against the answer of the endpoint at which a broken stream is to be resumed being
// written into the stream, or ending it as if it were complete.
func TestErrorWhileResumingStream(t *testing.T) {
	plain := func(status int, contentType, body string) script {
		return answer(status, "Content-Type: "+contentType+"\r\n", body)
	}
	unframed := func(r *http.Request, w io.Writer) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 404 X\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n\r\nno such run\n\n", r.Header.Get("Request-Id"))
		return false
	}
	large := strings.Repeat("error text ", 40_000)
	for name, second := range map[string]script{
		"client error":              plain(400, "text/plain", "error text\n\n"),
		"error as an event":         plain(404, "text/event-stream", "id: 3\ndata: error text\n\n"),
		"redirect":                  plain(302, "text/plain", "error text\n\n"),
		"server error":              plain(500, "text/plain", "error text\n\n"),
		"large client error":        plain(400, "text/plain", large),
		"large server error":        plain(500, "text/plain", large),
		"error without a length":    unframed,
		"success that is no stream": plain(200, "application/json", `{"error":"error text"}`),
		"ends inside an event":      plain(200, "text/event-stream", "id: 3\ndata: error text"),
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int32
			either := func(r *http.Request, w io.Writer) bool {
				if requests.Add(1) == 1 {
					return events(1, 2, false)(r, w)
				}
				return second(r, w)
			}
			f := newTestGateway(t, newEndpoint(t, "e1", either), newEndpoint(t, "e2", either)).configure()
			response, body, err := f.do(t, "/chat/1")
			assert.Equal(t, response.StatusCode, 200)
			assert.Assert(t, err != nil, "the stream looks complete")
			assert.Equal(t, body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
			assert.Equal(t, requests.Load(), int32(2))
			assert.Assert(t, len(f.reporter.take()) > 0, "the broken answer is not recorded")
		})
	}
}
