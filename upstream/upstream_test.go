package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newTestPool returns a pool for a new listener that serves each connection with
// handle.
func newTestPool(t *testing.T, handle func(net.Conn)) *Pool {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	return NewPool(listener.Addr().String(), time.Second)
}

const completeResponse = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok"

// answerWith answers each request with the text.
func answerWith(text string) func(net.Conn) {
	return func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				conn.Close()
				return
			}
			_, _ = io.WriteString(conn, text)
		}
	}
}

var request = []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")

// roundTrip sends a request, reads the response and releases the connection.
func roundTrip(t *testing.T, pool *Pool, conn *Conn, now time.Time) {
	t.Helper()
	assert.NilError(t, conn.Send(request))
	response, err := conn.Receive(nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	pool.Release(conn, response, now)
}

func dial(t *testing.T, pool *Pool) *Conn {
	t.Helper()
	conn, err := pool.Dial(context.Background())
	assert.NilError(t, err)
	return conn
}

// Guards against opening a connection for each request, and against reusing one after
// the idle timeout that the endpoint announced.
func TestKept(t *testing.T) {
	pool := newTestPool(t, answerWith("HTTP/1.1 200 X\r\nKeep-Alive: timeout=2\r\nContent-Length: 2\r\n\r\nok"))
	now := time.Now()
	conn := dial(t, pool)
	roundTrip(t, pool, conn, now)
	assert.Equal(t, pool.TakeIdle(now), conn)
	roundTrip(t, pool, conn, now)
	assert.Assert(t, pool.TakeIdle(now.Add(1700*time.Millisecond)) == nil, "reused although the endpoint may be closing it")
}

// Guards against reusing a connection that the endpoint has closed or asked to close,
// or that holds bytes after the response.
func TestNotKept(t *testing.T) {
	for name, text := range map[string]string{
		"extra response": completeResponse + completeResponse,
		"close":          "HTTP/1.1 200 X\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"no time":        "HTTP/1.1 200 X\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
	} {
		pool := newTestPool(t, answerWith(text))
		now := time.Now()
		roundTrip(t, pool, dial(t, pool), now)
		time.Sleep(20 * time.Millisecond)
		assert.Assert(t, pool.TakeIdle(now) == nil, name)
	}
	pool := newTestPool(t, func(conn net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, completeResponse)
		conn.Close()
	})
	now := time.Now()
	roundTrip(t, pool, dial(t, pool), now)
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, pool.TakeIdle(now) == nil, "closed by the endpoint")
}

// Guards against reporting a request as not sent although a byte of it may have been
// sent, and against reporting it as possibly sent although no byte was.
func TestSentOrNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	listener.Close()
	_, err = NewPool(address, time.Second).Dial(context.Background())
	assert.ErrorIs(t, err, ErrNotSent)

	pool := newTestPool(t, func(conn net.Conn) { conn.Close() })
	conn := dial(t, pool)
	if err := conn.Send(request); err == nil {
		_, err = conn.Receive(nil)
		assert.ErrorIs(t, err, ErrBroken)
	}
	conn.Close()
	assert.ErrorIs(t, conn.Send(request), ErrNotSent)
}

// Guards against a status below 100 that is taken for that of an informational response, so that the
// body is read as the next response.
func TestReceiveRejectsInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "-00", "+20", "0", "0000", "2x0", "1e2"} {
		for _, before := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
			pool := newTestPool(t, answerWith(before+"HTTP/1.1 "+status+" X\r\nContent-Length: 38\r\n\r\n"+completeResponse))
			conn := dial(t, pool)
			assert.NilError(t, conn.Send(request))
			_, err := conn.Receive(nil) //nolint:bodyclose // there is no response
			assert.ErrorIs(t, err, ErrNoResponse, "status %s", status)
			assert.ErrorIs(t, err, ErrBroken, "status %s", status)
			conn.Close()
		}
	}
}

// Guards against connections that stay open after the pool is closed or their idle
// timeout has passed.
func TestClose(t *testing.T) {
	closed := make(chan struct{}, 2)
	pool := newTestPool(t, func(conn net.Conn) {
		answerWith(completeResponse)(conn)
		closed <- struct{}{}
	})
	now := time.Now()
	idle, busy := dial(t, pool), dial(t, pool)
	roundTrip(t, pool, idle, now)
	pool.Close()
	roundTrip(t, pool, busy, now)
	for range 2 {
		select {
		case <-closed:
		case <-time.After(3 * time.Second):
			t.Fatal("connection left open")
		}
	}
	pool = newTestPool(t, answerWith(completeResponse))
	roundTrip(t, pool, dial(t, pool), now)
	pool.Prune(now.Add(defaultIdleTimeout))
	assert.Assert(t, pool.popIdle() == nil)
	assert.Assert(t, !errors.Is(ErrBroken, ErrNotSent))
}

// Guards against these faults after an endpoint has stopped answering: a connection to it
// is reused; a request that may not be retried elsewhere is aborted; a request that has not
// waited long is aborted.
func TestCloseStalled(t *testing.T) {
	pool := newTestPool(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if r.URL.Path == "/" {
				_, _ = io.WriteString(conn, completeResponse)
			}
		}
	})
	now := time.Now()
	idle, waiting, staying := dial(t, pool), dial(t, pool), dial(t, pool)
	roundTrip(t, pool, idle, now)
	waiting.SetRequestRetryable(true)
	failed := make(chan error, 2)
	for _, conn := range []*Conn{waiting, staying} {
		assert.NilError(t, conn.Send([]byte("GET /mute HTTP/1.1\r\nHost: h\r\n\r\n")))
		go func() {
			_, err := conn.Receive(nil) //nolint:bodyclose // there is no response
			failed <- err
		}()
	}
	pool.CloseStalled(now.Add(-time.Minute))
	assert.Assert(t, pool.TakeIdle(now) == nil, "kept a connection to a silent endpoint")
	select {
	case err := <-failed:
		t.Fatalf("aborted a request that has not waited long: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	pool.CloseStalled(time.Now())
	assert.ErrorIs(t, <-failed, ErrBroken)
	select {
	case err := <-failed:
		t.Fatalf("aborted a request that may not be retried: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	staying.Close()
	assert.Equal(t, len(pool.busy), 0)
}

// Guards against taking an endpoint for silent that sends on one of its connections, and
// against taking one for alive because a request was just sent to it.
func TestHeardSince(t *testing.T) {
	pool := newTestPool(t, answerWith(completeResponse))
	conn := dial(t, pool)
	began := time.Now()
	assert.Assert(t, !pool.HeardSince(began.Add(-time.Second)), "nothing was received")
	assert.NilError(t, conn.Send(request))
	_, err := conn.Receive(nil) //nolint:bodyclose // the connection is closed
	assert.NilError(t, err)
	assert.Assert(t, pool.HeardSince(began))
	assert.Assert(t, !pool.HeardSince(time.Now().Add(time.Minute)))
	conn.Close()
	assert.Assert(t, !pool.HeardSince(began))
}

// Guards against classifying a refused connection or the end of the request's own deadline
// as a network time-out, and against not recognizing a network time-out.
func TestIsNetworkTimeout(t *testing.T) {
	refused := fmt.Errorf("%w: %w", ErrNotSent, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED})
	timedOut := fmt.Errorf("%w: %w", ErrNotSent, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded})
	unacknowledged := fmt.Errorf("%w: %w", ErrBroken, &net.OpError{Op: "read", Err: syscall.ETIMEDOUT})
	ownDeadline := fmt.Errorf("%w: %w", ErrBroken, &net.OpError{Op: "read", Err: os.ErrDeadlineExceeded})
	for err, want := range map[error]bool{refused: false, timedOut: true, unacknowledged: true, ownDeadline: false} {
		assert.Equal(t, IsNetworkTimeout(err), want, "%v", err)
	}
}
