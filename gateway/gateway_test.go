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

	"github.com/hornbeamproxy/hornbeamproxy/routing"
)

// Guards against requests that are served before a configuration is known, without a
// matching route, or with an unknown API key.
func TestAdmission(t *testing.T) {
	e := newEndpoint(t, "e1", answer(200, "", "ok"))
	f := newTestGateway(t, e)
	response, _, _ := f.do(t, "/safe/1")
	assert.Equal(t, response.StatusCode, 503)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Assert(t, !f.Ready())
	f.configure()
	assert.Assert(t, f.Ready())
	for path, want := range map[string]int{"/none/": 404, "/safe": 404, "/safe/1": 200} {
		response, _, _ = f.do(t, path)
		assert.Equal(t, response.StatusCode, want, path)
	}
	response, _, _ = f.do(t, "/safe/1", "Api-Key", "other")
	assert.Equal(t, response.StatusCode, 401)
	response, _, _ = f.do(t, "/safe/1", "Request-Id", "")
	assert.Equal(t, response.StatusCode, 400)
	assert.Equal(t, len(e.received()), 1)
}

// Guards against these faults: headers that callers may not set are forwarded; the API key
// is forwarded to an endpoint; the rest of the request is changed.
func TestForwarded(t *testing.T) {
	e := newEndpoint(t, "e1", answer(200, "Keep-Alive: timeout=5\r\n", "ok"))
	f := newTestGateway(t, e).configure()
	response, body, err := f.do(t, "/safe/a%2Fb?q=1", "Tenant", "other", "Kv-Hold", "1", "Pin-Ms", "9", "Kv-From", "x",
		"Kv-Backup", "y", "Expect-Instance", "e9", "Request-Priority", "0", "X-Own", "kept")
	assert.NilError(t, err)
	assert.Equal(t, body, "ok")
	assert.Equal(t, response.Header.Get("Server-Stamp"), "s")
	assert.Equal(t, response.Header.Get("Keep-Alive"), "")
	got := e.received()[0]
	assert.Equal(t, got.RequestURI, "/safe/a%2Fb?q=1")
	assert.Equal(t, got.Header.Get("Tenant"), "w")
	assert.Equal(t, got.Header.Get("Expect-Instance"), "e1")
	assert.Equal(t, got.Header.Get("X-Own"), "kept")
	for _, name := range []string{"Api-Key", "Kv-Hold", "Pin-Ms", "Kv-From", "Kv-Backup"} {
		assert.Equal(t, got.Header.Get(name), "", name)
	}
	sent, _ := io.ReadAll(got.Body)
	assert.Equal(t, string(sent), "body")
}

// Guards against two faults with an unsafe request that may have run: it is retried and
// runs twice; it is refused as "not run".
func TestUnsafeOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		script script
		status int
	}{
		{"cut before the response", closeWithoutResponse, 502},
		{"cut within the response", truncated, 502},
		{"bytes that are not a response", func(_ *http.Request, w io.Writer) bool {
			_, _ = io.WriteString(w, "garbage\r\n\r\n")
			return false
		}, 502},
		{"only a response to another request", func(_ *http.Request, w io.Writer) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 200 X\r\nRequest-Id: r0\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok")
			return false
		}, 502},
		{"an unsigned success", func(r *http.Request, w io.Writer) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 200 X\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok")
			return true
		}, 502},
		{"an encoded body", answer(200, "Content-Encoding: gzip\r\n", "ok"), 502},
		{"the endpoint's own failure", answer(500, "", "no"), 500},
		{"the endpoint did not run it", refuseNotRun, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			one, two := newEndpoint(t, "e1", c.script), newEndpoint(t, "e2", c.script)
			f := newTestGateway(t, one, two).configure()
			response, _, _ := f.do(t, "/unsafe/1")
			assert.Equal(t, response.StatusCode, c.status)
			if c.status != 503 {
				assert.Equal(t, len(one.received())+len(two.received()), 1)
			} else {
				assert.Assert(t, response.Header.Get("Retry-After") != "")
			}
		})
	}
}

// Guards against two faults with a safe request: it fails although another endpoint would
// have answered it; all endpoints answer with a failure, and the caller gets a response of
// the router instead of theirs.
func TestSafeRepeated(t *testing.T) {
	for name, bad := range map[string]script{
		"cut": closeWithoutResponse, "truncated": truncated, "failure": answer(500, "", "no"), "not run": refuseNotRun,
	} {
		t.Run(name, func(t *testing.T) {
			one := newEndpoint(t, "e1", bad)
			two := newEndpoint(t, "e2", bad)
			mu := &sync.Mutex{}
			first := true
			shared := func(r *http.Request, w io.Writer) bool {
				mu.Lock()
				isFirst := first
				first = false
				mu.Unlock()
				if isFirst {
					return bad(r, w)
				}
				return answer(200, "", "ok")(r, w)
			}
			one.scripts, two.scripts = []script{shared}, []script{shared}
			f := newTestGateway(t, one, two).configure()
			response, body, err := f.do(t, "/safe/1")
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, 200)
			assert.Equal(t, body, "ok")
			assert.Equal(t, len(one.received())+len(two.received()), 2)
		})
	}
	f := newTestGateway(t, newEndpoint(t, "e1", answer(500, "", "no")), newEndpoint(t, "e2", answer(500, "", "no"))).configure()
	response, body, _ := f.do(t, "/safe/1")
	assert.Equal(t, response.StatusCode, 500)
	assert.Equal(t, body, "no")
	assert.Equal(t, response.Header.Get("Server-Stamp"), "s")
}

// Guards against two faults on a reused connection: a late response to an earlier request
// is forwarded as the response to the current one; bytes after a response are forwarded to
// the next caller.
func TestResponsesToOtherRequests(t *testing.T) {
	late := func(r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 X\r\nRequest-Id: r0\r\nServer-Stamp: s\r\nContent-Length: 3\r\n\r\nold")
		return answer(200, "", "mine")(r, w)
	}
	twice := func(r *http.Request, w io.Writer) bool {
		return answer(200, "", "mine")(r, w) && answer(200, "", "again")(r, w)
	}
	e := newEndpoint(t, "e1", late, twice, answer(200, "", "next"))
	f := newTestGateway(t, e).configure()
	for _, want := range []string{"mine", "mine", "next"} {
		response, body, err := f.do(t, "/unsafe/1")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, 200)
		assert.Equal(t, body, want)
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a late second copy of a response that carries no request id: on a
// connection that was used before it may be that of an earlier request, and a copy that says
// "not run" is no promise for the current one.
func TestCopyWithoutRequestID(t *testing.T) {
	for _, head := range []string{"200 X\r\nServer-Stamp: s", "503 X\r\nNot-Run: 1"} {
		copied := func(_ *http.Request, w io.Writer) bool {
			_, _ = io.WriteString(w, "HTTP/1.1 "+head+"\r\nContent-Length: 3\r\n\r\nold")
			return true
		}
		e := newEndpoint(t, "e1", answer(200, "", "first"), copied)
		f := newTestGateway(t, e).configure()
		_, body, err := f.do(t, "/unsafe/1")
		assert.NilError(t, err)
		assert.Equal(t, body, "first")
		response, _, _ := f.do(t, "/unsafe/1")
		assert.Equal(t, response.StatusCode, http.StatusBadGateway, head)
		assert.Equal(t, len(e.received()), 2, "an unsafe request was sent again")
	}
}

// slowly writes a stream with an event after each pause, up to the last id.
func slowly(last int, pause time.Duration) script {
	return func(r *http.Request, w io.Writer) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Request-Id"))
		for id := 1; id <= last; id++ {
			time.Sleep(pause)
			event := fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
			if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}
}

// Guards against cutting a slow but sound stream, and against one that sends a byte now and
// then, but no event, beyond its deadline.
func TestSlowAndStalledStreams(t *testing.T) {
	f := newTestGateway(t, newEndpoint(t, "e1", slowly(3, 400*time.Millisecond))).configure()
	for _, path := range []string{"/chat/1", "/report/1"} {
		_, body, err := f.do(t, path)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasSuffix(body, "id: 3\ndata: 3\n\n"))
	}
	dripping := func(r *http.Request, w io.Writer) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n\r\ndata: ", r.Header.Get("Request-Id"))
		for {
			time.Sleep(50 * time.Millisecond)
			if _, err := io.WriteString(w, "x"); err != nil {
				return false
			}
		}
	}
	f = newTestGateway(t, newEndpoint(t, "e2", dripping)).configure()
	for _, path := range []string{"/chat/1", "/report/1"} {
		began := time.Now()
		status, err := f.discard(t, path)
		assert.Assert(t, err != nil || status != http.StatusOK, "the stream looks complete")
		assert.Assert(t, time.Since(began) < timeout, "the stream lasted beyond its deadline")
	}
}

// Guards against sending a caller away because the address of a lost endpoint belongs to
// another one meanwhile, and against a request that tries address after address.
func TestMisdirectedIsNoAttempt(t *testing.T) {
	misdirected := func(r *http.Request, w io.Writer) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 421 X\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
		return true
	}
	moved := newEndpoint(t, "e1", misdirected)
	f := newTestGateway(t, moved, newEndpoint(t, "e2", answer(200, "", "ok"))).configure()
	for range 8 {
		response, _, _ := f.do(t, "/once/1")
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	assert.Assert(t, len(moved.received()) <= 1)
	var all []*endpoint
	for i := range 6 {
		all = append(all, newEndpoint(t, fmt.Sprint("e", i), misdirected))
	}
	response, _, _ := newTestGateway(t, all...).configure().do(t, "/once/1")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	received := 0
	for _, e := range all {
		received += len(e.received())
	}
	assert.Equal(t, received, 1+2)
}

// Guards against a caller whose connection is closed without an answer because its stream
// broke off before the first event: it must get a status with the reason, without the headers
// of the endpoint, or the whole stream of another endpoint if it may run again.
func TestStreamBreaksBeforeFirstEvent(t *testing.T) {
	broken := newEndpoint(t, "e1", events(1, 0, false))
	response, body, err := newTestGateway(t, broken).configure().do(t, "/report/1")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Assert(t, strings.Contains(body, "upstream_incomplete"))
	assert.Equal(t, response.Header.Get("Server-Stamp"), "")
	assert.Equal(t, len(broken.received()), 1)
	once := func(r *http.Request, w io.Writer) bool { return events(1, 0, false)(r, w) }
	f := newTestGateway(t, newEndpoint(t, "e1", once, events(1, 2, true)), newEndpoint(t, "e2", once, events(1, 2, true))).configure()
	for range 4 {
		response, body, err = f.do(t, "/chat/1")
		assert.NilError(t, err)
	}
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n")
}

// Guards against a resumed stream that lacks an event or repeats one, and against a
// stream that looks complete although it was cut off.
func TestStreams(t *testing.T) {
	whole := "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n"
	resume := func(r *http.Request, w io.Writer) bool {
		if r.Header.Get("Last-Event-Id") == "" {
			return events(1, 2, false)(r, w)
		}
		// The endpoint sends one event more than it was asked for.
		return events(2, 4, true)(r, w)
	}
	f := newTestGateway(t, newEndpoint(t, "e1", resume), newEndpoint(t, "e2", resume)).configure()
	response, body, err := f.do(t, "/chat/1")
	assert.NilError(t, err)
	assert.Equal(t, body, whole)
	assert.Equal(t, response.Header.Get("Server-Stamp"), "s1")

	one, two := newEndpoint(t, "e1", events(1, 2, false)), newEndpoint(t, "e2", events(1, 2, false))
	f = newTestGateway(t, one, two).configure()
	_, body, err = f.do(t, "/report/1")
	assert.Assert(t, err != nil, "a stream that was cut off looks complete")
	assert.Assert(t, strings.HasPrefix(whole, body))
	assert.Equal(t, len(one.received())+len(two.received()), 1, "a stream that may not be resumed ran again")
}

// Guards against a stream without a length that ends in the middle of an event, as its
// endpoint closes the connection, and looks complete to the caller.
func TestUnframedStreamCutInEvent(t *testing.T) {
	for body, complete := range map[string]bool{
		"id: 1\ndata: 1\n\n":         true,
		"id: 1\ndata: 1\n\nid: 2\nd": false,
	} {
		unframed := func(r *http.Request, w io.Writer) bool {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: s\r\n\r\n%s", r.Header.Get("Request-Id"), body)
			return false
		}
		f := newTestGateway(t, newEndpoint(t, "e1", unframed)).configure()
		_, received, err := f.do(t, "/report/1")
		assert.Equal(t, err == nil, complete, "%q", body)
		assert.Assert(t, strings.HasPrefix(body, received))
	}
}

// Guards against an endpoint that goes on working for a caller that has disconnected.
func TestCallerLeaves(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	e := newEndpoint(t, "e1", func(*http.Request, io.Writer) bool {
		<-release
		return false
	})
	hang := func(*http.Request, io.Writer) bool { return true }
	e.scripts = []script{hang}
	f := newTestGateway(t, e).configure()
	client := &http.Client{Timeout: 200 * time.Millisecond}
	_, err := client.Do(f.request(t, "/chat/1"))
	assert.Assert(t, err != nil)
	eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.closed == 1
	})
	assert.Equal(t, len(e.received()), 1)
	eventually(t, func() bool { return len(f.Loads()) == 0 })
}

// Guards against a final response after the caller's deadline, and against a "not run"
// refusal of a request that an endpoint is still working on.
func TestDeadline(t *testing.T) {
	e := newEndpoint(t, "e1", func(*http.Request, io.Writer) bool { return true })
	f := newTestGateway(t, e).configure()
	began := time.Now()
	response, _, _ := f.do(t, "/unsafe/1", "Deadline-Ms", "300")
	assert.Equal(t, response.StatusCode, 504)
	const links = 4 * 3 * time.Millisecond // opening a connection, the request, the response
	assert.Assert(t, time.Since(began) < 300*time.Millisecond-links, "the response comes after the caller's deadline")
	assert.Equal(t, len(e.received()), 1)
}

// Guards against a request that fails because the endpoint closed an idle connection,
// and against requests to an endpoint that has been removed.
func TestStaleConnection(t *testing.T) {
	closing := func(r *http.Request, w io.Writer) bool {
		answer(200, "", "ok")(r, w)
		return false
	}
	e := newEndpoint(t, "e1", closing)
	f := newTestGateway(t, e).configure()
	for range 3 {
		response, _, _ := f.do(t, "/unsafe/1")
		assert.Equal(t, response.StatusCode, 200)
		time.Sleep(20 * time.Millisecond)
	}
	f.RemoveEndpoint("e1")
	response, _, _ := f.do(t, "/unsafe/1")
	assert.Equal(t, response.StatusCode, 503)
	assert.Equal(t, len(e.received()), 3)
}

// Guards against an older configuration that replaces a newer one.
func TestConfigNeverReverts(t *testing.T) {
	f := newTestGateway(t).configure()
	assert.Assert(t, !f.SetConfig(routing.Config{Revision: 1}))
	assert.Assert(t, !f.SetConfig(routing.Config{Revision: 0}))
	assert.Assert(t, f.SetConfig(routing.Config{Revision: 2}))
}

// Guards against a caller that keeps a request open by never sending its whole body,
// and against failing all requests of a route without a timeout.
func TestSlowBodyAndNoTimeout(t *testing.T) {
	e := newEndpoint(t, "e1", answer(200, "", "ok"))
	f := newTestGateway(t, e).configure()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	f.SetBodyTimeout(100 * time.Millisecond)
	_, err = io.WriteString(conn, "POST /safe/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nApi-Key: key\r\nContent-Length: 4\r\n\r\nbo")
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, len(e.received()), 0)

	f.SetConfig(routing.Config{
		Revision: 2, Services: map[string]*routing.Service{"s": {Name: "s"}},
		Routes: []*routing.Route{{Host: "h", Prefix: "/", Kind: routing.Safe, Targets: []routing.Target{{Service: "s"}}, MaxEndpoints: 1, Public: true}},
	})
	later, _, err := f.do(t, "/safe/1", "Deadline-Ms", "")
	assert.NilError(t, err)
	assert.Equal(t, later.StatusCode, http.StatusOK)
}

// Guards against a request that is refused because its body arrives shortly after the
// head.
func TestLateBody(t *testing.T) {
	e := newEndpoint(t, "e1", answer(200, "", "ok"))
	f := newTestGateway(t, e).configure()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	for _, part := range []string{"POST /safe/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nApi-Key: key\r\nContent-Length: 4\r\n\r\n", "bo", "dy"} {
		_, err = io.WriteString(conn, part)
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
}
