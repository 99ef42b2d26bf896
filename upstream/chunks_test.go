package upstream

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/httpcheck"
)

const chunkedHead = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"

// receiveChunked returns the connection and what was read of the body of a response with these bytes after
// its head, which arrive in pieces of the given size.
func receiveChunked(t testing.TB, body []byte, size int) (conn *Conn, read []byte, err error) {
	t.Helper()
	conn = newConn(bytesConn{reader: &pieceReader{append([]byte(chunkedHead), body...), size}}, NewPool("127.0.0.1:1", 0))
	response, err := conn.Receive(nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	read, err = io.ReadAll(response.Body)
	return conn, read, err
}

// pieceReader returns at most size bytes a read.
type pieceReader struct {
	rest []byte
	size int
}

func (r *pieceReader) Read(b []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), r.size)], r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// chunkedEvents returns a body in chunks, one event each, and its decoded bytes.
func chunkedEvents() (body []byte, decoded string) {
	var chunks, events strings.Builder
	for i := range 8 {
		event := fmt.Sprintf("id: %d\ndata: r-%d piece %d\n\n", i, i, i)
		fmt.Fprintf(&chunks, "%x\r\n%s\r\n", len(event), event)
		events.WriteString(event)
	}
	return []byte(chunks.String() + "0\r\n\r\n"), events.String()
}

// Guards against an event of a chunk that has lost bytes being taken for whole, because it is followed
// by the rest of a later one.
func TestLostBytesAreNoticedByFraming(t *testing.T) {
	body, decoded := chunkedEvents()
	malformed := 0
	for at := range body {
		for lost := 1; lost <= 60 && at+lost <= len(body); lost++ {
			received := append(append([]byte{}, body[:at]...), body[at+lost:]...)
			conn, read, err := receiveChunked(t, received, 1+(at+lost)%300)
			if !httpcheck.MalformedBody(err) {
				continue
			}
			malformed++
			for end := 0; ; {
				next := bytes.Index(read[end:], []byte("\n\n"))
				if next < 0 {
					break
				}
				end += next + 2
				if conn.Framing().Checked(int64(end)) {
					assert.Assert(t, strings.HasPrefix(decoded, string(read[:end])), "%d bytes lost from %d on: %q", lost, at, read[:end])
				}
			}
		}
	}
	assert.Assert(t, malformed > 1000, "%d bodies were malformed", malformed)
}

// Guards against whole chunks that do not count as checked, so that their events are held back.
func TestWholeChunksAreChecked(t *testing.T) {
	body, decoded := chunkedEvents()
	for _, c := range []struct {
		name, body string
		end        int
	}{
		{"whole", string(body), len(decoded)},
		{"malformed after a chunk", "5\r\nabcde\r\nmalformed\r\n", 5},
		{"malformed after the next size", "5\r\nabcde\r\n6\r\nfgh\r\nijklmnop", 5},
		{"extension and blanks", "5;a=b \r\nabcde\r\n6\t \r\nfghijk\r\n0\r\n\r\n", 11},
		{"cut in the mark", "5\r\nabcde\r\n6\r\nfghijk\r", 5},
		{"nothing", "", 0},
	} {
		for _, size := range []int{1, 2, 7, 1 << 20} {
			conn, _, _ := receiveChunked(t, []byte(c.body), size)
			assert.Assert(t, conn.Framing().Checked(int64(c.end)), "%s in pieces of %d", c.name, size)
			assert.Assert(t, !conn.Framing().Checked(int64(c.end)+1), "%s in pieces of %d", c.name, size)
		}
	}
}

// Guards against a scanner that disagrees with the reader of the body: a whole body must be checked to
// its end, and nothing beyond what was read.
func FuzzFraming(f *testing.F) {
	body, _ := chunkedEvents()
	f.Add(body, 7)
	f.Add([]byte("5;a=b\r\nabcde\r\nA\t\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\n"), 1)
	f.Add([]byte("00000000000000005\r\nabcde\r\n0\r\n\r\n"), 100)
	f.Add([]byte("5\nabcde\r\n0\r\n\r\n"), 3)
	f.Fuzz(func(t *testing.T, body []byte, size int) {
		conn, read, err := receiveChunked(t, body, 1+max(0, size)%1000)
		framing := conn.Framing()
		if framing.Followed > framing.Ended || framing.Ended > int64(len(read)) && err == nil {
			t.Fatalf("%+v of %d bytes", framing, len(read))
		}
		if err == nil && framing.Followed != int64(len(read)) {
			t.Fatalf("%+v of a whole body of %d bytes", framing, len(read))
		}
	})
}
