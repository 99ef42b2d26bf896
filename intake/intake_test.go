package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/overload"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

const maxFields = 20

// serve starts a server behind a listener with the limits, and returns the listener.
func serve(t *testing.T, config Config, handler http.HandlerFunc) *Listener {
	t.Helper()
	config.Metrics, config.Logger, config.MaxHeaderFields = telemetry.NewMetrics(), zap.NewNop(), maxFields
	if config.Account == nil {
		config.Account = overload.New(1 << 20)
	}
	listener, err := Listen("127.0.0.1:0", config)
	assert.NilError(t, err)
	server := &http.Server{Handler: handler, ConnState: listener.ConnState, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return listener
}

func dial(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return conn
}

func echo(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "condition not met in time")
	}
}

func request(fields int, body string) string {
	return "POST / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A:\r\n", fields-2) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// Guards against a count of fields that takes a body for a head, or that does not begin anew with
// each request of a connection, also of those that are sent ahead.
func TestFieldsAreCountedForEachRequest(t *testing.T) {
	body := strings.Repeat("line\n", 500)
	l := serve(t, Config{}, echo)
	conn := dial(t, l)
	reader := bufio.NewReader(conn)
	_, err := io.WriteString(conn, strings.Repeat(request(maxFields, body), 5))
	assert.NilError(t, err)
	for range 5 {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		got, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(got), body)
	}
	_, err = io.WriteString(conn, request(maxFields+1, ""))
	assert.NilError(t, err)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	eventually(t, func() bool { return l.Count() == 0 && l.config.Account.Used() == 0 })
}

// Guards against connections that keep their part of the account, and heads that are accepted beyond
// it.
func TestHeadsAreInTheAccount(t *testing.T) {
	account := overload.New(connectionBytes + 4*fieldBytes)
	l := serve(t, Config{Account: account}, echo)
	conn := dial(t, l)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n")
	assert.NilError(t, err)
	eventually(t, func() bool { return account.UsedFor(overload.Heads) > 2*fieldBytes })
	_, err = io.WriteString(conn, "A:\r\nB:\r\nC:\r\n")
	assert.NilError(t, err)
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "the connection is closed")
	eventually(t, func() bool { return account.Used() == 0 })
}

// Guards against a caller that does not read and keeps its connection, and against one that reads
// slowly and is cut in calm.
func TestUnreadResponse(t *testing.T) {
	const size = 16 << 20
	ended := make(chan error, 2)
	l := serve(t, Config{WriteTimeout: time.Second}, func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, size))
		ended <- err
	})
	_, err := io.WriteString(dial(t, l), request(2, ""))
	assert.NilError(t, err)
	assert.ErrorContains(t, <-ended, "does not read")
	slow := dial(t, l)
	_, err = io.WriteString(slow, request(2, ""))
	assert.NilError(t, err)
	// Each pause is longer than the time after which a blocked write is looked at.
	for range 2 {
		_, err = io.CopyN(io.Discard, slow, size/4)
		assert.NilError(t, err)
		time.Sleep(700 * time.Millisecond)
	}
	_, err = io.CopyN(io.Discard, slow, size/2)
	assert.NilError(t, err)
	assert.NilError(t, <-ended)
}

// Guards against a full listener that refuses a new connection although one waits for its caller, and
// against one that closes a connection whose request is served.
func TestFullListener(t *testing.T) {
	served, end := make(chan bool, 1), make(chan bool)
	l := serve(t, Config{Limits: overload.Limits{Total: 2}}, func(w http.ResponseWriter, r *http.Request) {
		served <- true
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			<-end
		}
	})
	busy, stalled := dial(t, l), dial(t, l)
	_, err := io.WriteString(busy, request(2, "body"))
	assert.NilError(t, err)
	<-served
	_, err = io.WriteString(stalled, strings.TrimSuffix(request(2, "body"), "y"))
	assert.NilError(t, err)
	<-served
	// The place is free when the connection waits for the rest of the body.
	time.Sleep(50 * time.Millisecond)
	_, err = io.WriteString(dial(t, l), request(2, "body"))
	assert.NilError(t, err)
	<-served
	_, err = stalled.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "the stalled connection is closed")
	close(end)
	response, err := http.ReadResponse(bufio.NewReader(busy), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
}
