package upstream

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"

	"golang.org/x/net/http/httpguts"
)

// bytesConn is a connection from which the bytes can be read.
type bytesConn struct {
	net.Conn
	reader io.Reader
}

func (c bytesConn) Read(b []byte) (int, error) { return c.reader.Read(b) }

// Guards against bytes of an endpoint that end the process, against an error that does not
// tell that the request may have run, and against a status or a field name that no response has.
func FuzzReceive(f *testing.F) {
	for _, seed := range []string{
		completeResponse, "HTTP/1.1 100 Continue\r\n\r\n" + completeResponse, "HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.0 200 X\r\n\r\nuntil close", "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nhalf", "HTTP/1.1 000 X\r\n\r\n" + completeResponse, "HTTP/1.1 200 X\r\nA: b\r\n c: d\r\nE f: g\r\n\r\n", "garbage", "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, received []byte) {
		conn := newConn(bytesConn{reader: bytes.NewReader(received)}, NewPool("127.0.0.1:1", 0))
		response, err := conn.Receive(nil)
		if err != nil {
			if !errors.Is(err, ErrBroken) {
				t.Fatal(err)
			}
			return
		}
		defer response.Body.Close()
		if response.StatusCode < 200 {
			t.Fatalf("status %d", response.StatusCode)
		}
		for name := range response.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Fatalf("field name %q", name)
			}
		}
		if n, _ := io.Copy(io.Discard, response.Body); n > int64(len(received)) {
			t.Fatalf("a body of %d bytes from %d bytes", n, len(received))
		}
	})
}
