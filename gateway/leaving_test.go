package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/roster"
)

const leavingHeader = "Server-Leaving: 1\r\n"

func leavingStream(r *http.Request, w io.Writer) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\n%sContent-Length: 12\r\n\r\nid: 1\ndata:\n", r.Header.Get("Request-Id"), leavingHeader)
	_, _ = io.WriteString(w, "\n")
	return true
}

func leavingRefusal(r *http.Request, w io.Writer) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Run: 1\r\n%sContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"), leavingHeader)
	return true
}

// Guards against new work for an endpoint that has said that it leaves, while the store is silent or
// still calls it ready, and after a change of the configuration; and against one that stays
// withdrawn after it has started again.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		script script
	}{
		"answer":  {"/safe/1", answer(200, leavingHeader, "ok")},
		"error":   {"/unsafe/1", answer(500, leavingHeader, "failed")},
		"stream":  {"/chat/1", leavingStream},
		"refusal": {"/unsafe/1", leavingRefusal},
	} {
		t.Run(name, func(t *testing.T) {
			leaving, other := newEndpoint(t, "e1", c.script), newEndpoint(t, "e2", answer(200, "", "ok"))
			f := newTestGateway(t, leaving).configure()
			_, _, _ = f.do(t, c.path)
			assert.Equal(t, len(leaving.received()), 1)
			response, _, _ := f.do(t, c.path)
			assert.Equal(t, response.StatusCode, 503, "the last endpoint leaves")
			f.register(other)
			f.register(leaving) // the store still says ready
			f.configureRevision(2)
			for range 10 {
				response, _, _ := f.do(t, "/safe/1")
				assert.Equal(t, response.StatusCode, 200)
			}
			assert.Equal(t, len(leaving.received()), 1)
			f.RemoveEndpoint(leaving.id) // the entry lapses and comes back
			f.register(leaving)
			for i := range 10 {
				_, _, _ = f.do(t, "/safe/1", "Request-Id", fmt.Sprint("back", i))
			}
			assert.Equal(t, len(leaving.received()), 1, "an entry that came back")
			f.SetEndpoint(roster.Entry{ID: leaving.id, Service: "s", Address: leaving.listener.Addr().String(), Zone: "z", Slots: 8, Started: 5})
			for i := range 20 {
				_, _, _ = f.do(t, "/safe/1", "Request-Id", fmt.Sprint("again", i))
			}
			assert.Assert(t, len(leaving.received()) > 1, "a new start is not withdrawn")
		})
	}
}

// Guards against an endpoint being withdrawn because of an answer that belongs to another request
// or to another endpoint at its address.
func TestLeavingOfAnother(t *testing.T) {
	for name, first := range map[string]string{
		"other request":  "HTTP/1.1 200 X\r\nRequest-Id: other\r\nServer-Stamp: s\r\n" + leavingHeader + "Content-Length: 0\r\n\r\n",
		"no id":          "HTTP/1.1 200 X\r\nServer-Stamp: s\r\n" + leavingHeader + "Content-Length: 0\r\n\r\n",
		"other endpoint": "HTTP/1.1 421 X\r\nRequest-Id: r1\r\n" + leavingHeader + "Content-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, "e1", func(r *http.Request, w io.Writer) bool {
				_, _ = io.WriteString(w, first)
				return answer(200, "", "ok")(r, w)
			}, answer(200, "", "ok"))
			f := newTestGateway(t, e).configure()
			_, _, _ = f.do(t, "/safe/1")
			assert.Equal(t, f.metrics.Counter("endpoints.leaving").Count(), int64(0))
		})
	}
}

// Guards against an endpoint that another router knows to leave getting new work, and against an
// older message that concerns an earlier start.
func TestLeavingToldByAnotherRouter(t *testing.T) {
	leaving := newEndpoint(t, "e1", answer(200, leavingHeader, "ok"))
	first, second := newTestGateway(t, leaving).configure(), newTestGateway(t, leaving).configure()
	_, _, _ = first.do(t, "/safe/1")
	starts := first.TakeLeaving()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, len(first.TakeLeaving()), 0)
	second.ReceiveLeaving(starts)
	response, _, _ := second.do(t, "/safe/1")
	assert.Equal(t, response.StatusCode, 503)
	second.SetEndpoint(roster.Entry{ID: "e1", Service: "s", Address: leaving.listener.Addr().String(), Zone: "z", Slots: 8, Started: 5})
	second.ReceiveLeaving(starts)
	response, _, _ = second.do(t, "/safe/1")
	assert.Equal(t, response.StatusCode, 200)
}
