package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// cutAnswers are whole answers that are cut off at each of their bytes.
var cutAnswers = map[string]struct{ path, head, body string }{
	"length":        {"/unsafe/a", "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\nContent-Length: 12\r\n\r\n", "hello, world"},
	"chunks":        {"/unsafe/a", "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n"},
	"length at end": {"/safe/a", "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: ID\r\nContent-Length: 12\r\n\r\n", "hello, world"},
	"bare newlines": {"/unsafe/a", "HTTP/1.1 200 OK\nRequest-Id: ID\nServer-Stamp: s\nContent-Length: 12\n\n", "hello, world"},
	"stream": {
		"/chat/a", "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
	},
	"stream without length": {"/report/a", "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n", "id: 1\ndata: a\n\n"},
}

// Guards against a success with an empty or short body, framed as whole, for an answer of which the
// endpoint sent a part before it closed: in the middle of the head, of a header line, or of the body.
func TestCutAnswerIsNeverWhole(t *testing.T) {
	for name, c := range cutAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			whole := c.head + c.body
			for cut := range len(whole) {
				status, body, err := cutCall(t, c.path, whole[:cut])
				looksWhole := err == nil && status >= 200 && status < 300
				assert.Assert(t, !looksWhole, "cut after %d bytes (%q): %d with %q", cut, whole[:cut], status, body)
			}
			status, _, err := cutCall(t, c.path, whole)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
		})
	}
}

// cutCall returns what a caller gets when the only endpoint sends the answer and closes. ID in the
// answer stands for the id of the request.
func cutCall(t *testing.T, path, answer string) (status int, body string, err error) {
	t.Helper()
	e := newEndpoint(t, "e", func(r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, strings.ReplaceAll(answer, "ID", r.Header.Get("Request-Id")))
		return false
	})
	defer e.listener.Close()
	f := newTestGateway(t, e).configure()
	defer func() { assert.Assert(t, len(e.received()) > 0, "the request did not reach the endpoint") }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(f.request(t, path))
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}
