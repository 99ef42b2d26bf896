package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endless writes the start of a response and then repeats a block until the connection is
// closed. ID in the start stands for the id of the request.
func endless(start, block string) script {
	return func(r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, strings.ReplaceAll(start, "ID", r.Header.Get("Request-Id")))
		chunk := bytes.Repeat([]byte(block), 1+(4<<10)/len(block))
		for {
			if _, err := w.Write(chunk); err != nil {
				return false
			}
		}
	}
}

const signedHead = "HTTP/1.1 200 X\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n"

// endlessCases are the places of a response at which bytes may come without end. ends tells
// whether the gateway must end the request well before its deadline, because a bound is
// passed; the other cases are bodies, which may be forwarded until then.
var endlessCases = map[string]struct {
	path, start, block string
	ends               bool
}{
	"before the status line":         {"/unsafe/a", "", "garbage", true},
	"status line":                    {"/unsafe/a", "HTTP/1.1 200 ", "x", true},
	"one header line":                {"/unsafe/a", "HTTP/1.1 200 X\r\nA: ", "x", true},
	"header lines":                   {"/unsafe/a", "HTTP/1.1 200 X\r\n", "A: x\r\n", true},
	"informational responses":        {"/unsafe/a", "", "HTTP/1.1 100 Continue\r\n\r\n", true},
	"body without a signature":       {"/unsafe/a", "HTTP/1.1 200 X\r\nRequest-Id: ID\r\n\r\n", "x", true},
	"body that did not run":          {"/unsafe/a", "HTTP/1.1 503 X\r\nRequest-Id: ID\r\nNot-Run: 1\r\n\r\n", "x", true},
	"body of another request":        {"/unsafe/a", "HTTP/1.1 200 X\r\nRequest-Id: other\r\nServer-Stamp: s\r\n\r\n", "x", true},
	"responses to other requests":    {"/unsafe/a", "", "HTTP/1.1 200 X\r\nRequest-Id: other\r\nServer-Stamp: s\r\nContent-Length: 1\r\n\r\nx", true},
	"event":                          {"/report/a", signedHead + "\r\ndata: ", "x", true},
	"chunk size line":                {"/report/a", signedHead + "Transfer-Encoding: chunked\r\n\r\n", "1", true},
	"chunk extension":                {"/report/a", signedHead + "Transfer-Encoding: chunked\r\n\r\n1;", "a", true},
	"trailers":                       {"/report/a", signedHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: x\r\n", true},
	"body of a buffered response":    {"/unsafe/a", signedHead + "\r\n", "x", false},
	"body of a response to a repeat": {"/safe/a", signedHead + "\r\n", "x", false},
}

// Guards against an endpoint that ends the process, or holds a request until its deadline,
// with bytes that come without end. No such response may look complete to the caller, and
// its connection must be closed.
func TestBytesWithoutEnd(t *testing.T) {
	for name, c := range endlessCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad := newEndpoint(t, "bad", endless(c.start, c.block))
			f := newTestGateway(t, bad).configure()
			began := time.Now()
			status, err := f.discard(t, c.path)
			assert.Assert(t, err != nil || status != http.StatusOK, "the response looks complete")
			took := time.Since(began)
			assert.Assert(t, !c.ends || took < timeout/2, "the request took %s", took)
			assert.Assert(t, took < timeout+time.Second)
			eventually(t, func() bool {
				_, open := bad.connections()
				return open == 0
			})
		})
	}
}

// Guards against memory that grows with the bytes of faulty endpoints: 64 of them send
// without end at the same time, and the requests to a sound endpoint are answered beside
// them.
func TestEndlessResponsesBoundMemory(t *testing.T) {
	const faulty = 64
	const limit = 64 << 20
	var endpoints []*endpoint
	var paths []string
	for _, c := range endlessCases {
		endpoints = append(endpoints, newEndpoint(t, fmt.Sprintf("bad%d", len(endpoints)), endless(c.start, c.block)))
		paths = append(paths, c.path)
	}
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(limit))
	gateways := make([]testGateway, len(endpoints))
	for i, e := range endpoints {
		gateways[i] = newTestGateway(t, e).configure()
	}
	sound := newTestGateway(t, newEndpoint(t, "sound", answer(http.StatusOK, "", "fine"))).configure()
	stop := make(chan struct{})
	highest := make(chan uint64)
	go func() { highest <- highestHeap(stop) }()
	var group sync.WaitGroup
	for i := range faulty {
		group.Go(func() {
			f := gateways[i%len(gateways)]
			_, _ = f.discard(t, paths[i%len(gateways)])
		})
	}
	for range 20 {
		response, body, err := sound.do(t, "/unsafe/a")
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, body, "fine")
	}
	group.Wait()
	close(stop)
	assert.Assert(t, <-highest < limit)
}

// highestHeap returns the largest heap that it sees until stop is closed.
func highestHeap(stop chan struct{}) uint64 {
	highest := uint64(0)
	for {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		highest = max(highest, stats.HeapAlloc)
		select {
		case <-stop:
			return highest
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// discard makes a request and reads the response without keeping it. It returns the status
// and the error of the call or of reading the body.
func (f testGateway) discard(t *testing.T, path string) (int, error) {
	response, err := http.DefaultClient.Do(f.request(t, path))
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// Guards against reusing a connection on which the rest of a long response is still to
// come: it may look like the response to the next request.
func TestRestOfLongBodyIsNoResponse(t *testing.T) {
	const size, sent = 3 << 20, 1 << 20
	for name, head := range map[string]string{
		"did not run":     "HTTP/1.1 503 X\r\nRequest-Id: ID\r\nNot-Run: 1\r\n",
		"another request": "HTTP/1.1 200 X\r\nRequest-Id: other\r\nServer-Stamp: s\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			longBody := func(r *http.Request, w io.Writer) bool {
				_, _ = io.WriteString(w, strings.ReplaceAll(head, "ID", r.Header.Get("Request-Id")))
				_, _ = fmt.Fprintf(w, "Content-Length: %d\r\n\r\n", size)
				_, _ = w.Write(make([]byte, sent))
				return true
			}
			e := newEndpoint(t, "e", longBody, answer(http.StatusOK, "", "second"))
			f := newTestGateway(t, e).configure()
			_, _ = f.discard(t, "/unsafe/a")
			_, _, _ = f.do(t, "/unsafe/a")
			accepted, _ := e.connections()
			assert.Equal(t, accepted, len(e.received()), "a connection was used again")
		})
	}
}
