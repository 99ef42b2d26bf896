package peer

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// startMangler starts a proxy in front of a peer that changes the head of the peer's response to the
// upgrade with mangle and passes on all that follows if the head still is that of an upgrade.
func startMangler(t *testing.T, target string, mangle func(head string) string) string {
	t.Helper()
	server, err := standin.NewRawServer(func(conn *net.TCPConn, request *http.Request) bool {
		upstream, err := net.Dial("tcp", target)
		if err != nil {
			return false
		}
		defer upstream.Close()
		_ = request.Write(upstream)
		var head strings.Builder
		for one := make([]byte, 1); !strings.HasSuffix(head.String(), "\r\n\r\n"); head.Write(one) {
			if _, err := upstream.Read(one); err != nil {
				return false
			}
		}
		mangled := mangle(head.String())
		_, _ = io.WriteString(conn, mangled)
		if !strings.HasPrefix(mangled, "HTTP/1.1 101 ") {
			return false
		}
		go func() { _, _ = io.Copy(upstream, conn); _ = upstream.Close() }()
		_, _ = io.Copy(conn, upstream)
		return false
	})
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server.Addr()
}

// Guards against a connection to a peer whose response to the upgrade has an invalid status.
func TestInvalidStatusOfPeer(t *testing.T) {
	a, b := startNode(t, "a", nil), startNode(t, "b", nil)
	_, err := a.Call(within(t, time.Second), startMangler(t, b.addr, func(head string) string { return head }), request("e"))
	assert.NilError(t, err)
	for _, status := range []string{"000", "099", "+20", "200"} {
		address := startMangler(t, b.addr, func(head string) string { return strings.Replace(head, " 101 ", " "+status+" ", 1) })
		_, err := a.Call(within(t, time.Second), address, request("e"))
		assert.ErrorIs(t, err, ErrUnreachable, "status %s", status)
	}
	assert.Equal(t, b.handler.handled.Load(), int64(1))
}

// Guards against a connection to a peer in whose response to the upgrade the name of a field has a
// blank or a control byte.
func TestInvalidFieldNameOfPeer(t *testing.T) {
	a, b := startNode(t, "a", nil), startNode(t, "b", nil)
	for _, name := range []string{"X Bad", "X-Bad ", "X\tBad", "X\x01Bad", "X-Bad\x7f"} {
		address := startMangler(t, b.addr, func(head string) string { return strings.Replace(head, "\r\n", "\r\n"+name+": 1\r\n", 1) })
		_, err := a.Call(within(t, time.Second), address, request("e"))
		assert.Check(t, errors.Is(err, ErrUnreachable), "field %q: %v", name, err)
	}
	assert.Equal(t, b.handler.handled.Load(), int64(0))
}
