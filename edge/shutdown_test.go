package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowCall sends a request with a body of 2 bytes to a router, the second of them after bodyDelay,
// and returns the response, whose body has been read.
func (r *router) slowCall(t *testing.T, path, deadlineMS string, bodyDelay time.Duration) (*http.Response, error) {
	t.Helper()
	conn, err := net.Dial("tcp", r.settings.Listen.Callers)
	assert.NilError(t, err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nApi-Key: k\r\nDeadline-Ms: %s\r\nContent-Length: 2\r\n\r\nx", path, deadlineMS)
	time.Sleep(bodyDelay)
	_, _ = io.WriteString(conn, "y")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// Guards against requests that a router which stops passes on late in the grace period, or still
// has in flight at its end, and then cuts without a response.
func TestRequestsAtTheEndOfGrace(t *testing.T) {
	const inTime = 3500 * time.Millisecond // after the load balancer has been given time to notice
	for name, c := range map[string]struct {
		path, deadlineMS string
		bodyDelay        time.Duration
		status           int
		passedOn         int64
	}{
		"late body, deadline after the end":  {"/long/silent", "8000", inTime, http.StatusServiceUnavailable, 0},
		"late body, deadline before the end": {"/long/1", "4500", inTime, http.StatusOK, 1},
		"body not complete at the end":       {"/long/1", "8000", 9 * time.Second, http.StatusServiceUnavailable, 0},
		"in flight at the end":               {"/long/silent", "8000", 0, http.StatusBadGateway, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.register("ready")
			s.configure("k")
			r := s.start(t, "r1")
			eventually(t, 2*time.Second, "ready", r.ready)
			var got *http.Response
			var failed error
			answered := make(chan struct{})
			go func() {
				defer close(answered)
				got, failed = r.slowCall(t, c.path, c.deadlineMS, c.bodyDelay) //nolint:bodyclose // closed there
			}()
			time.Sleep(100 * time.Millisecond)
			r.stop()
			<-answered
			assert.NilError(t, failed)
			assert.Equal(t, got.StatusCode, c.status)
			assert.Equal(t, s.calls.Load(), c.passedOn)
			assert.Assert(t, got.Close, "the connection is kept")
			assert.Equal(t, got.Header.Get("Retry-After") != "", c.passedOn == 0)
		})
	}
}
