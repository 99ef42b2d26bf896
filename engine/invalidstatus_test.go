package engine

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a response whose status is none of a final response and that is returned as one, or
// taken for a success because the status is below 300.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for name, call := range everyCall {
		for _, status := range []string{"000", "099", "+20", "-00", "101"} {
			for body, rest := range map[string]string{
				"length": "Content-Length: 2\r\n\r\n{}", "empty": "Content-Length: 0\r\n\r\n", "no length": "\r\n{}",
				"events": "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n14\r\nid: 1\ndata: [DONE]\n\n\r\n0\r\n\r\n",
			} {
				url := newRawServer(t, respondRaw("HTTP/1.1 "+status+" X\r\nX-Request-Id: ID\r\n"+rest))
				err := call(context.Background(), newClient(t), url)
				assert.Check(t, err != nil, "%s accepted status %s, %s", name, status, body)
				assert.Check(t, MayHaveRun(err), "%s: %v", name, err)
			}
		}
	}
}
