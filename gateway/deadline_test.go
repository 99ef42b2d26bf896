package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateBody sends a request whose body is complete after delay, and returns the response with its body.
func (f testGateway) lateBody(path, deadlineMS string, delay time.Duration) (*http.Response, string, error) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		return nil, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nApi-Key: key\r\nDeadline-Ms: %s\r\nContent-Length: 2\r\n\r\nx", path, deadlineMS)
	time.Sleep(delay)
	_, _ = io.WriteString(conn, "y")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// Guards against callers whose bodies arrive after their deadlines and because of which endpoints are
// dialed in no time, ejected, and lost for other callers.
func TestBodyAfterDeadline(t *testing.T) {
	const callers, deadlineMS, delay, ordinary = 24, "500", 700 * time.Millisecond, 40
	e1, e2 := newEndpoint(t, "e1", answer(200, "", "ok")), newEndpoint(t, "e2", answer(200, "", "ok"))
	f := newTestGateway(t, e1, e2).configure()
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			response, body, err := f.lateBody("/safe/1", deadlineMS, delay) //nolint:bodyclose // closed there
			if !assert.Check(t, err) {
				return
			}
			assert.Check(t, response.StatusCode == http.StatusRequestTimeout, response.StatusCode)
			assert.Check(t, strings.Contains(body, "deadline_exceeded"), body)
		})
	}
	group.Wait()
	assert.Equal(t, f.metrics.Counter("upstream.dials").Count(), int64(0))
	for i := range ordinary {
		response, _, _ := f.do(t, "/safe/1", "Request-Id", fmt.Sprint("r", i))
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	first, second := len(e1.received()), len(e2.received())
	assert.Equal(t, first+second, ordinary)
	assert.Assert(t, min(first, second) >= ordinary/8, "%d and %d", first, second)
}

// Guards against status 408, which says that no endpoint has a byte of the request, for one that was
// sent to an endpoint.
func TestNoRequestTimeoutAfterSend(t *testing.T) {
	silent := func(*http.Request, io.Writer) bool { time.Sleep(timeout); return false }
	for _, path := range []string{"/safe/1", "/unsafe/1", "/chat/1"} {
		e := newEndpoint(t, "e1", silent)
		response, body, _ := newTestGateway(t, e).configure().do(t, path, "Deadline-Ms", "300")
		assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout, path)
		assert.Assert(t, strings.Contains(body, "deadline_exceeded"), body)
		assert.Equal(t, len(e.received()), 1)
	}
}
