package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/roster"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// newRawEndpoint starts an endpoint whose handler writes its responses byte by byte.
func newRawEndpoint(t *testing.T, handler standin.RawHandler) *standin.RawServer {
	t.Helper()
	server, err := standin.NewRawServer(handler)
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server
}

// newRawGateway returns a gateway in front of the endpoints.
func newRawGateway(t *testing.T, endpoints ...*standin.RawServer) testGateway {
	t.Helper()
	f := newTestGateway(t)
	ids := map[string]bool{}
	for _, e := range endpoints {
		f.SetEndpoint(roster.Entry{ID: e.Addr(), Service: "s", Address: e.Addr(), Zone: "z", Slots: 8, Started: 1})
		ids[e.Addr()] = true
	}
	f.RetainEndpoints(ids)
	return f.configure()
}

// answerRaw returns a handler that sends the bytes, in which ID stands for the id of the request, and
// keeps the connection open if keep is set.
func answerRaw(response string, keep bool) standin.RawHandler {
	return standin.RespondRaw(response, "Request-Id", keep)
}

// rawCall sends a request with the body on a connection of its own and returns all bytes that arrive
// until the connection ends.
func (f testGateway) rawCall(t *testing.T, path string, body []byte) string {
	t.Helper()
	received, err := f.rawUpload(t, path, body)
	assert.NilError(t, err)
	return received
}

// rawUpload is rawCall for a connection that may end with an error, which it returns.
func (f testGateway) rawUpload(t *testing.T, path string, body []byte) (string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nApi-Key: key\r\nDeadline-Ms: 1500\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", path, len(body))
	assert.NilError(t, err)
	_, err = conn.Write(body)
	assert.NilError(t, err)
	var received bytes.Buffer
	_, err = io.Copy(&received, conn)
	return received.String(), err
}

// badGateway reports whether the bytes are the router's own response for an endpoint whose response
// can't be used, and nothing else.
func badGateway(received string) bool {
	head, body, found := strings.Cut(received, "\r\n\r\n")
	return found && strings.HasPrefix(head, "HTTP/1.1 502 Bad Gateway\r\n") && !strings.Contains(head, "Server-Stamp") &&
		strings.Contains(head, fmt.Sprintf("\r\nContent-Length: %d", len(body))) && strings.HasPrefix(body, `{"refused":"upstream_`)
}
