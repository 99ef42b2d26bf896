package gateway_test

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// invalidStatuses are status codes below 100 that net/http accepts in a response.
var invalidStatuses = []string{"000", "099", "+20"}

// Guards against a response with a status below 100 that is taken for an informational one, so that
// its body is read as the next response, or the caller waits for one until its deadline.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\nContent-Length: 5\r\n\r\ninner"
	for name, c := range map[string]struct {
		rest string
		keep bool
	}{
		"body":                  {"Content-Length: 5\r\n\r\nhello", false},
		"body, kept open":       {"Content-Length: 5\r\n\r\nhello", true},
		"empty, kept open":      {"Content-Length: 0\r\n\r\n", true},
		"no length":             {"\r\nhello", false},
		"no body":               {"\r\n", false},
		"response in the body":  {"Content-Length: 79\r\n\r\n" + inner, true},
		"response that follows": {"\r\n" + inner, true},
		"chunks":                {"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true},
		"events":                {"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n", false},
	} {
		for _, status := range invalidStatuses {
			for _, path := range []string{"/safe/a", "/unsafe/a", "/chat/a", "/report/a"} {
				t.Run(name+" "+status+path, func(t *testing.T) {
					t.Parallel()
					e := newRawEndpoint(t, answerRaw("HTTP/1.1 "+status+" X\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n"+c.rest, c.keep))
					received := newRawGateway(t, e).rawCall(t, path, []byte("body"))
					assert.Assert(t, badGateway(received), "%q", received)
					assert.Equal(t, e.Served(), 1, "sent again to the same endpoint")
				})
			}
		}
	}
}

// Guards against a safe request that is not sent to another endpoint after a response with an invalid
// status, and against one that may run only once and is.
func TestInvalidStatusIsRetriedIfSafe(t *testing.T) {
	for path, want := range map[string]struct {
		status string
		sends  int64
	}{"/safe/a": {"200 OK", 2}, "/unsafe/a": {"502 Bad Gateway", 1}} {
		var sends atomic.Int64
		handler := func(conn *net.TCPConn, request *http.Request) bool {
			status := "200"
			if sends.Add(1) == 1 {
				status = "000"
			}
			return answerRaw("HTTP/1.1 "+status+" X\r\nRequest-Id: ID\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok", true)(conn, request)
		}
		f := newRawGateway(t, newRawEndpoint(t, handler), newRawEndpoint(t, handler))
		received := f.rawCall(t, path, []byte("body"))
		assert.Assert(t, strings.HasPrefix(received, "HTTP/1.1 "+want.status+"\r\n"), "%s: %q", path, received)
		assert.Equal(t, sends.Load(), want.sends, path)
	}
}
