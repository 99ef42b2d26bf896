package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/overload"
)

// openBody sends the head of a request and a part of its body, and returns the connection.
func openBody(t *testing.T, f testGateway, path, framing, part string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nApi-Key: key\r\nDeadline-Ms: 1500\r\n%s\r\n\r\n%s", path, framing, part)
	assert.NilError(t, err)
	return conn
}

func checkRefusedForMemory(t *testing.T, f testGateway, conn net.Conn) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get("Retry-After"), "1.00")
	assert.Assert(t, response.Close)
	assert.Equal(t, string(body), "{\"refused\":\"memory\"}\n")
	assert.Equal(t, f.metrics.Counter("refusals.memory").Count(), int64(1))
}

// Guards against a body that is read although the account has no room for its declared length, or a
// chunked one that outgrows it, and against room that is not given back.
func TestBodiesBeyondTheAccount(t *testing.T) {
	for framing, part := range map[string]string{
		"Content-Length: 900000":     "",
		"Transfer-Encoding: chunked": "dbba0\r\n" + strings.Repeat("b", 900_000),
	} {
		t.Run(framing, func(t *testing.T) {
			account := overload.New(1 << 20)
			e := newEndpoint(t, "i", answer(200, "", "ok"))
			f := newLimitedGateway(t, account, nil, e).configure()
			checkRefusedForMemory(t, f, openBody(t, f, "/unsafe/x", framing, part))
			assert.Equal(t, len(e.received()), 0)
			eventually(t, func() bool { return account.Used() == 0 })
			response, _, err := f.do(t, "/unsafe/x")
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
		})
	}
}

// Guards against a body that stops short of its end and can't be ended, or that is not refused as not
// run.
func TestStalledBodyIsEnded(t *testing.T) {
	account := overload.New(1 << 20)
	e := newEndpoint(t, "i", answer(200, "", "ok"))
	f := newLimitedGateway(t, account, nil, e).configure()
	conn := openBody(t, f, "/unsafe/x", "Content-Length: 600000", "part")
	eventually(t, func() bool {
		for _, victim := range account.Victims(time.Now()) {
			victim.End()
			return true
		}
		return false
	})
	checkRefusedForMemory(t, f, conn)
	assert.Equal(t, len(e.received()), 0)
	assert.Equal(t, account.Used(), int64(0))
}

// Guards against large bodies that reach the endpoint incomplete or in a wrong order, declared and in
// segments, also when they are sent again.
func TestLargeBodiesArriveWhole(t *testing.T) {
	sent := make([]byte, 1<<20)
	for i := range sent {
		sent[i] = byte(i * 7 >> 3)
	}
	account := overload.New(8 << 20)
	e := newEndpoint(t, "i", refuseNotRun, answer(200, "", "ok"))
	f := newLimitedGateway(t, account, nil, e, newEndpoint(t, "j", refuseNotRun)).configure()
	seen := 0
	for _, declared := range []bool{true, false} {
		r := f.request(t, "/safe/x")
		r.ContentLength = -1
		if declared {
			r.ContentLength = int64(len(sent))
		}
		r.Body = io.NopCloser(bytes.NewReader(sent))
		response, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		response.Body.Close()
		arrived := e.received()[seen:]
		seen += len(arrived)
		for _, received := range arrived {
			body, err := io.ReadAll(received.Body)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(body, sent))
		}
	}
	assert.Assert(t, seen >= 2)
	eventually(t, func() bool { return account.Used() == 0 })
}

// Guards against a request that is sent again without its body, which was dropped for room: a refusal
// by the endpoint must reach the caller as not run.
func TestDroppedBodyIsNotSentAgain(t *testing.T) {
	account := overload.New(1 << 20)
	account.Track(overload.Responses, 600_000)
	misdirected := func(r *http.Request, w io.Writer) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 421 X\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
		return true
	}
	first, second := newEndpoint(t, "i", misdirected), newEndpoint(t, "j", misdirected)
	f := newLimitedGateway(t, account, nil, first, second).configure()
	response, _, err := f.do(t, "/once/x")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, len(first.received())+len(second.received()), 1)
}

// Guards against more connections to endpoints than the limit, and against one that counts as the
// endpoint's failure.
func TestEndpointConnectionLimit(t *testing.T) {
	release := make(chan bool)
	e := newEndpoint(t, "i", func(r *http.Request, w io.Writer) bool {
		<-release
		return answer(200, "", "ok")(r, w)
	})
	f := newLimitedGateway(t, nil, overload.NewSlots(1), e).configure()
	first := make(chan int)
	go func() {
		response, _, _ := f.do(t, "/unsafe/x")
		first <- response.StatusCode
	}()
	eventually(t, func() bool { return len(e.received()) == 1 })
	response, body, err := f.do(t, "/unsafe/x")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, body, "{\"refused\":\"overloaded\"}\n")
	assert.Equal(t, len(f.reporter.take()), 0)
	close(release)
	assert.Equal(t, <-first, http.StatusOK)
	response, _, err = f.do(t, "/unsafe/x")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

// Guards against a caller that leaves while it reads its response and closes the endpoint's connection,
// which by then serves another request.
func TestReaderThatLeavesBreaksNoOtherRequest(t *testing.T) {
	const sentAhead, size = 40, 250 << 10
	release := make(chan bool)
	e := newEndpoint(t, "i", func(r *http.Request, w io.Writer) bool {
		if r.Header.Get("Request-Id") == "other" {
			<-release
			return answer(200, "", "ok")(r, w)
		}
		return answer(200, "", strings.Repeat("b", size))(r, w)
	})
	f := newTestGateway(t, e).configure()
	head := "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nApi-Key: key\r\nContent-Length: 0\r\n\r\n"
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err = io.WriteString(conn, strings.Repeat(head, sentAhead))
	assert.NilError(t, err)
	// The caller blocks the router when no further request reaches the endpoint.
	for seen := -1; seen != len(e.received()); time.Sleep(200 * time.Millisecond) {
		seen = len(e.received())
	}
	blocked := len(e.received())
	assert.Assert(t, blocked < sentAhead)
	status := make(chan int)
	go func() {
		response, _, _ := f.do(t, "/unsafe/x", "Request-Id", "other")
		status <- response.StatusCode
	}()
	eventually(t, func() bool { return len(e.received()) == blocked+1 })
	assert.NilError(t, conn.Close())
	time.Sleep(100 * time.Millisecond)
	close(release)
	assert.Equal(t, <-status, http.StatusOK)
}

// Guards against a caller that leaves in the middle of a large response and counts as a failure of the
// endpoint or as a broken response of the service.
func TestReaderThatLeavesIsNoFailure(t *testing.T) {
	e := newEndpoint(t, "i", func(r *http.Request, w io.Writer) bool {
		return answer(200, "", strings.Repeat("b", 32<<20))(r, w)
	})
	f := newTestGateway(t, e).configure()
	conn := openBody(t, f, "/unsafe/x", "Content-Length: 4", "body")
	_, err := io.CopyN(io.Discard, conn, 1<<20)
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	eventually(t, func() bool { return f.metrics.Counter("requests.abandoned").Count() == 1 })
	assert.Equal(t, f.metrics.Counter("refusals.upstream_incomplete").Count(), int64(0))
	assert.Equal(t, len(f.reporter.take()), 0)
}
