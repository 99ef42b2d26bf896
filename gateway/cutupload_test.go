package gateway_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// Guards against a part of a body that is taken for the whole because the connection was reset while
// the request was still being written, which can hide the reset from the reader.
func TestAnswerCutDuringUploadIsNeverWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n"
	const eventHead = head + "Content-Type: text/event-stream\r\n"
	for name, response := range map[string]string{
		"no length":           head + "\r\npart",
		"no length, no body":  head + "\r\n",
		"length":              head + "Content-Length: 9\r\n\r\npart",
		"chunks":              head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"HTTP/1.0":            strings.Replace(head, "1.1", "1.0", 1) + "\r\npart",
		"events, no length":   eventHead + "\r\nid: 1\ndata: a\n\n",
		"events in chunks":    eventHead + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n",
		"failure, no length":  strings.Replace(head, "200 OK", "500 X", 1) + "\r\npart",
		"over the buffer":     head + "\r\n" + strings.Repeat("part", 80<<10),
		"refusal, cut length": "HTTP/1.1 503 X\r\nRequest-Id: ID\r\nNot-Run: 1\r\nContent-Length: 9\r\n\r\npart",
	} {
		for _, size := range []int{20 << 10, 4<<20 - 1} {
			for _, wait := range []time.Duration{0, 20 * time.Millisecond} {
				for _, path := range []string{"/safe/a", "/unsafe/a", "/chat/a", "/report/a"} {
					t.Run(fmt.Sprintf("%s, %d bytes, reset after %s, %s", name, size, wait, path), func(t *testing.T) {
						e := newRawEndpoint(t, standin.RespondDuringUpload(response, "Request-Id", wait))
						received, err := newRawGateway(t, e).rawUpload(t, path, bytes.Repeat([]byte("u"), size))
						assert.Assert(t, !looksWhole(received, err), "%.200q %v", received, err)
						assert.Equal(t, e.Served(), 1)
					})
				}
			}
		}
	}
}

// looksWhole reports whether the bytes are a whole response that is not the router's own.
func looksWhole(received string, err error) bool {
	head, body, found := strings.Cut(received, "\r\n\r\n")
	switch {
	case !found || err != nil || strings.Contains(body, `{"refused":`):
		return false
	case strings.Contains(head, "\r\nTransfer-Encoding: chunked"):
		return strings.HasSuffix(body, "0\r\n\r\n")
	}
	return true
}
