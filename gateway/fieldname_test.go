package gateway_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// invalidNames are field names with a blank or a control byte.
var invalidNames = []string{"X Bad", "X-Bad ", " X-Bad", "\tX-Bad", "X-Bad\t", "X\tBad", "X\x01Bad", "\x00X", "X-Bad\x7f", "X\x0bBad", "X\rBad", " "}

// Guards against a success for a response in whose head the name of a field has a blank or a control
// byte, wherever the line stands.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	for _, name := range invalidNames {
		for _, end := range []string{"\r\n", "\n"} {
			lines := []string{"HTTP/1.1 200 OK", "Request-Id: ID", "Server-Stamp: s", "Content-Length: 5"}
			for at := 1; at <= len(lines); at++ {
				changed := append(append(append([]string(nil), lines[:at]...), name+": 1"), lines[at:]...)
				response := strings.Join(changed, end) + end + end + "hello"
				for _, path := range []string{"/safe/a", "/unsafe/a", "/chat/a"} {
					t.Run(fmt.Sprintf("%q after line %d of %q %s", name, at, end, path), func(t *testing.T) {
						t.Parallel()
						e := newRawEndpoint(t, answerRaw(response, true))
						received := newRawGateway(t, e).rawCall(t, path, []byte("body"))
						assert.Assert(t, badGateway(received), "%q", received)
					})
				}
			}
		}
	}
}

// Guards against a body that is not the endpoint's, because the field that frames it has an invalid
// name and is passed over: a part of the body taken for the whole, or chunks with their sizes.
func TestInvalidFieldNameDoesNotFrameBody(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n"
	const chunks = "\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	const events = "Content-Type: text/event-stream\r\n"
	for name, response := range map[string]string{
		"cut body":                   head + "Content-Length : 12\r\n\r\nhello",
		"cut body, name folded":      head + " Content-Length: 12\r\n\r\nhello",
		"cut body, tab":              head + "Content-Length\t: 12\r\n\r\nhello",
		"chunks":                     head + "Transfer-Encoding : chunked" + chunks,
		"chunks, name folded":        head + "\tTransfer-Encoding: chunked" + chunks,
		"chunks, blank in the name":  head + "Transfer Encoding: chunked" + chunks,
		"events in chunks":           head + events + "Transfer-Encoding : chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
		"cut events":                 head + events + "Content-Length : 99\r\n\r\nid: 1\ndata: a\n\n",
		"encoded body":               head + "Content-Encoding : gzip\r\nContent-Length: 5\r\n\r\nhello",
		"id of another request":      "HTTP/1.1 200 OK\r\nRequest-Id : other\r\nServer-Stamp: s\r\nContent-Length: 5\r\n\r\nhello",
		"refusal as not run":         "HTTP/1.1 503 X\r\nRequest-Id: ID\r\nNot-Run: 1\r\nX Bad: 1\r\nContent-Length: 0\r\n\r\n",
		"failure":                    "HTTP/1.1 500 X\r\nRequest-Id: ID\r\nServer-Stamp: s\r\nContent-Length : 12\r\n\r\nhello",
		"informational response":     "HTTP/1.1 103 X\r\nX Bad: 1\r\n\r\n" + head + "Content-Length: 5\r\n\r\nhello",
		"response to another before": "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nX Bad: 1\r\nContent-Length: 0\r\n\r\n" + head + "Content-Length: 5\r\n\r\nhello",
	} {
		for _, path := range []string{"/safe/a", "/unsafe/a", "/chat/a", "/report/a"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				e := newRawEndpoint(t, answerRaw(response, false))
				received := newRawGateway(t, e).rawCall(t, path, []byte("body"))
				assert.Assert(t, badGateway(received), "%q", received)
			})
		}
	}
}
