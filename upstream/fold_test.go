package upstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// receiveInPieces returns what Receive makes of bytes that arrive size at a time.
func receiveInPieces(t *testing.T, text string, size int) (*http.Response, error) {
	t.Helper()
	pool := newTestPool(t, func(conn net.Conn) {
		defer conn.Close()
		for len(text) > 0 {
			n := min(size, len(text))
			if _, err := io.WriteString(conn, text[:n]); err != nil {
				return
			}
			text = text[n:]
			if size < 100 {
				time.Sleep(time.Millisecond) // so that each piece is read by itself
			}
		}
	})
	conn := dial(t, pool)
	t.Cleanup(conn.Close)
	return conn.Receive(nil)
}

// Guards against a line of a head that begins with a blank and that is joined to the field before,
// whether the head arrives at once, in pieces, or together with an informational response.
func TestReceiveRejectsFoldedLine(t *testing.T) {
	long := "X-Long: " + strings.Repeat("x", 2*readBufferBytes) + "\r\n"
	for name, head := range map[string]string{
		"space":               "HTTP/1.1 200 X\r\nA: b\r\n Content-Length: 2\r\n\r\n",
		"tab":                 "HTTP/1.1 200 X\r\nA: b\r\n\tContent-Length: 2\r\n\r\n",
		"bare newlines":       "HTTP/1.1 200 X\nA: b\n Content-Length: 2\n\n",
		"first field":         "HTTP/1.1 200 X\r\n Content-Length: 2\r\n\r\n",
		"blanks only":         "HTTP/1.1 200 X\r\nContent-Length: 2\r\n  \r\n\r\n",
		"carriage return":     "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r A: b\r\n\r\n",
		"after a long field":  "HTTP/1.1 200 X\r\n" + long + " Content-Length: 2\r\n\r\n",
		"after informational": "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 X\r\nA: b\r\n Content-Length: 2\r\n\r\n",
		"in informational":    "HTTP/1.1 103 X\r\nA: b\r\n c: d\r\n\r\n" + completeResponse,
	} {
		sizes := []int{1, 7, 1 << 20}
		if strings.Contains(head, long) {
			sizes = sizes[2:]
		}
		for _, size := range sizes {
			_, err := receiveInPieces(t, head+"ok", size) //nolint:bodyclose // there is no response
			assert.ErrorIs(t, err, ErrNoResponse, "%s in pieces of %d bytes", name, size)
		}
	}
}

// Guards against a sound response that is rejected because a line of its body begins with a blank.
func TestReceiveAcceptsBlanksInBody(t *testing.T) {
	const body = " a\r\n b\n\tc\r\n\r\n d"
	long := "X-Long: " + strings.Repeat("x", 2*readBufferBytes) + "\r\n"
	for _, head := range []string{
		"HTTP/1.1 200 X\r\nContent-Length: 15\r\n\r\n", "HTTP/1.1 200 X\nA:  b \nContent-Length: 15\n\n",
		"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 15\r\n\r\n", "HTTP/1.1 200 X\r\n" + long + "Content-Length: 15\r\n\r\n",
	} {
		response, err := receiveInPieces(t, head+body, 1<<20)
		assert.NilError(t, err, "%.60q", head)
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(text), body)
	}
}
