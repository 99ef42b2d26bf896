package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// unacceptingEndpoint is an endpoint whose host drops new connections: its queue of connections is full.
func unacceptingEndpoint(t *testing.T, id string) *endpoint {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	assert.NilError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, syscall.Listen(fd, 0))
	bound, err := syscall.Getsockname(fd)
	assert.NilError(t, err)
	address := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: bound.(*syscall.SockaddrInet4).Port}
	for range 2 {
		conn, err := net.DialTimeout("tcp", address.String(), 100*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { conn.Close() })
	}
	return &endpoint{id: id, listener: fixedAddress{address: address}}
}

// fixedAddress is a net.Listener that only has an address.
type fixedAddress struct {
	net.Listener
	address net.Addr
}

func (f fixedAddress) Addr() net.Addr { return f.address }

// Guards against a zone that is taken for unreachable because callers' deadlines are shorter than the
// time for a dial.
func TestShortDeadlineDoubtsNoZone(t *testing.T) {
	f := newTestGateway(t, unacceptingEndpoint(t, "e1"), unacceptingEndpoint(t, "e2")).configure()
	for i := range 6 {
		response, body, _ := f.do(t, "/safe/1", "Request-Id", fmt.Sprint("r", i), "Deadline-Ms", "100")
		assert.Equal(t, response.StatusCode, http.StatusRequestTimeout, body)
		assert.Assert(t, strings.Contains(body, "deadline_exceeded"), body)
	}
	assert.Equal(t, f.metrics.Counter("zones.doubted").Count(), int64(0))
	response, _, _ := f.do(t, "/safe/1")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, f.metrics.Counter("zones.doubted").Count(), int64(1), "a dial that had its time counts")
}

// Guards against an endpoint that is ejected for all callers because one caller did not read its response
// and the endpoint cut it.
func TestUnreadResponseEjectsNoEndpoint(t *testing.T) {
	const patience, unread = 800 * time.Millisecond, 2500 * time.Millisecond
	chunk := strings.Repeat("x", 16<<10)
	cut := make(chan struct{}, 1)
	flood := func(r *http.Request, w io.Writer) bool {
		if !strings.HasSuffix(r.URL.Path, "/flood") {
			return answer(200, "", "ok")(r, w)
		}
		conn := w.(net.Conn)
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Request-Id"))
		for id := 1; ; id++ {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", id, chunk)
			_ = conn.SetWriteDeadline(time.Now().Add(patience))
			if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event); err != nil {
				cut <- struct{}{}
				return false
			}
		}
	}
	for _, path := range []string{"/report/flood", "/safe/flood"} {
		e1, e2 := newEndpoint(t, "e1", flood), newEndpoint(t, "e2", flood)
		f := newTestGateway(t, e1, e2).configureTimeout(20 * time.Second)
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		assert.NilError(t, err)
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nApi-Key: key\r\nDeadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n", path)
		<-cut
		time.Sleep(unread - patience)
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, _ = io.Copy(io.Discard, conn)
		eventually(t, func() bool { return len(f.Loads()) == 0 })
		for i := range 20 {
			response, _, _ := f.do(t, "/safe/1", "Request-Id", fmt.Sprint("r", i))
			assert.Equal(t, response.StatusCode, http.StatusOK)
		}
		first, second := len(e1.received()), len(e2.received())
		assert.Assert(t, min(first, second) >= 3, "%s: %d and %d", path, first, second)
	}
}
