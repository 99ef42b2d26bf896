package edge_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// Guards against a malformed response, or a part of one, that a caller of a running router gets as an
// answer.
func TestBrokenAnswersGetBadGateway(t *testing.T) {
	const signed = "Request-Id: r\r\nServer-Stamp: stamp\r\n"
	long := strings.Repeat("u", 3<<20)
	for name, c := range map[string]struct{ response, body string }{
		"invalid status":         {"HTTP/1.1 000 X\r\n" + signed + "Content-Length: 5\r\n\r\nhello", "b"},
		"response in the body":   {"HTTP/1.1 000 X\r\n" + signed + "\r\nHTTP/1.1 200 OK\r\n" + signed + "Content-Length: 5\r\n\r\ninner", "b"},
		"blank in a field name":  {"HTTP/1.1 200 OK\r\n" + signed + "X Bad: 1\r\nContent-Length: 5\r\n\r\nhello", "b"},
		"blank before the colon": {"HTTP/1.1 200 OK\r\n" + signed + "Content-Length : 12\r\n\r\nhello", "b"},
		"control byte":           {"HTTP/1.1 200 OK\r\n" + signed + "X\x01Bad: 1\r\nContent-Length: 5\r\n\r\nhello", "b"},
		"folded line":            {"HTTP/1.1 200 OK\r\n" + signed + " Content-Length: 12\r\n\r\nhello", "b"},
		"cut during an upload":   {"HTTP/1.1 200 OK\r\n" + signed + "\r\npart", long},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoint, err := standin.NewRawServer(func(conn *net.TCPConn, r *http.Request) bool {
				if r.ContentLength == int64(len(long)) {
					_, _ = io.WriteString(conn, c.response)
					time.Sleep(20 * time.Millisecond)
					standin.ResetConn(conn)
					return false
				}
				_, _ = io.Copy(io.Discard, r.Body)
				if r.URL.Path == "/call/ready" {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+signed+"Content-Length: 2\r\n\r\nok")
					return true
				}
				_, _ = io.WriteString(conn, c.response)
				return false
			})
			assert.NilError(t, err)
			t.Cleanup(endpoint.Close)
			s := newSite(t)
			s.platform.SetSpec("servers", "i-1", map[string]any{
				"service": "s", "address": endpoint.Addr(), "zone": "z", "slots": 8, "state": "ready", "version": "1", "cold_left_ms": 0, "seq": 1,
			})
			s.configure("k")
			r := s.start(t, "r1")
			eventually(t, 5*time.Second, "ready", func() bool {
				status, _ := r.call("/call/ready", "k")
				return status == http.StatusOK
			})
			conn, err := net.Dial("tcp", r.settings.Listen.Callers)
			assert.NilError(t, err)
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			_, err = fmt.Fprintf(conn, "POST /call/broken HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nApi-Key: k\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(c.body), c.body)
			assert.NilError(t, err)
			var received bytes.Buffer
			_, err = io.Copy(&received, conn)
			assert.NilError(t, err)
			head, body, _ := strings.Cut(received.String(), "\r\n\r\n")
			assert.Assert(t, strings.HasPrefix(head, "HTTP/1.1 502 Bad Gateway\r\n") && !strings.Contains(head, "Server-Stamp"), "%q", received.String())
			assert.Assert(t, strings.HasPrefix(body, `{"refused":"upstream_`) && strings.HasSuffix(body, "\"}\n"), "%q", body)
		})
	}
}
