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

// serve answers each connection with handle.
func serve(t *testing.T, handle func(net.Conn)) *Pool {
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

const whole = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok"

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

// use makes one exchange and gives the connection back.
func use(t *testing.T, pool *Pool, conn *Conn, now time.Time) {
	t.Helper()
	assert.NilError(t, conn.Send(request))
	response, err := conn.Receive(nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	pool.Keep(conn, response, now)
}

func dial(t *testing.T, pool *Pool) *Conn {
	t.Helper()
	conn, err := pool.Dial(context.Background())
	assert.NilError(t, err)
	return conn
}

// Guards against a connection that is opened anew for each request, or used
// longer than the endpoint keeps it.
func TestKept(t *testing.T) {
	pool := serve(t, answerWith("HTTP/1.1 200 X\r\nKeep-Alive: timeout=2\r\nContent-Length: 2\r\n\r\nok"))
	now := time.Now()
	conn := dial(t, pool)
	use(t, pool, conn, now)
	assert.Equal(t, pool.Idle(now), conn)
	use(t, pool, conn, now)
	assert.Assert(t, pool.Idle(now.Add(1700*time.Millisecond)) == nil, "used though the endpoint may close it")
}

// Guards against a request on a connection that the endpoint closed, that holds
// bytes of no answer, or that the endpoint wants closed.
func TestNotKept(t *testing.T) {
	for name, text := range map[string]string{
		"extra answer": whole + whole,
		"close":        "HTTP/1.1 200 X\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"no time":      "HTTP/1.1 200 X\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
	} {
		pool := serve(t, answerWith(text))
		now := time.Now()
		use(t, pool, dial(t, pool), now)
		time.Sleep(20 * time.Millisecond)
		assert.Assert(t, pool.Idle(now) == nil, name)
	}
	pool := serve(t, func(conn net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, whole)
		conn.Close()
	})
	now := time.Now()
	use(t, pool, dial(t, pool), now)
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, pool.Idle(now) == nil, "closed by the endpoint")
}

// Guards against a request that is taken for unsent although a byte may have
// left, and the other way round.
func TestSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	listener.Close()
	_, err = NewPool(address, time.Second).Dial(context.Background())
	assert.ErrorIs(t, err, ErrNotSent)

	pool := serve(t, func(conn net.Conn) { conn.Close() })
	conn := dial(t, pool)
	if err := conn.Send(request); err == nil {
		_, err = conn.Receive(nil)
		assert.ErrorIs(t, err, ErrBroken)
	}
	conn.Close()
	assert.ErrorIs(t, conn.Send(request), ErrNotSent)
}

// Guards against connections that stay open after the endpoint is forgotten.
func TestClose(t *testing.T) {
	closed := make(chan struct{}, 2)
	pool := serve(t, func(conn net.Conn) {
		answerWith(whole)(conn)
		closed <- struct{}{}
	})
	now := time.Now()
	idle, busy := dial(t, pool), dial(t, pool)
	use(t, pool, idle, now)
	pool.Close()
	use(t, pool, busy, now)
	for range 2 {
		select {
		case <-closed:
		case <-time.After(3 * time.Second):
			t.Fatal("connection left open")
		}
	}
	pool = serve(t, answerWith(whole))
	use(t, pool, dial(t, pool), now)
	pool.Prune(now.Add(defaultIdle))
	assert.Assert(t, pool.pop() == nil)
	assert.Assert(t, !errors.Is(ErrBroken, ErrNotSent))
}

// Guards against requests on connections to an endpoint that has fallen silent, and
// against requests that may not move being cut.
func TestDistrust(t *testing.T) {
	pool := serve(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if r.URL.Path == "/" {
				_, _ = io.WriteString(conn, whole)
			}
		}
	})
	now := time.Now()
	idle, waiting, staying := dial(t, pool), dial(t, pool), dial(t, pool)
	use(t, pool, idle, now)
	waiting.SetMovable(true)
	failed := make(chan error, 2)
	for _, conn := range []*Conn{waiting, staying} {
		assert.NilError(t, conn.Send([]byte("GET /mute HTTP/1.1\r\nHost: h\r\n\r\n")))
		go func() {
			_, err := conn.Receive(nil) //nolint:bodyclose // there is no answer
			failed <- err
		}()
	}
	pool.Distrust(now.Add(-time.Minute))
	assert.Assert(t, pool.Idle(now) == nil, "kept a connection to a silent endpoint")
	select {
	case err := <-failed:
		t.Fatalf("cut a request that has not waited long: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	pool.Distrust(time.Now())
	assert.ErrorIs(t, <-failed, ErrBroken)
	select {
	case err := <-failed:
		t.Fatalf("cut a request that may not move: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	staying.Close()
	assert.Equal(t, len(pool.busy), 0)
}

// Guards against an endpoint that is taken for silent when it refuses or resets,
// and the other way round.
func TestSilent(t *testing.T) {
	refused := fmt.Errorf("%w: %w", ErrNotSent, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED})
	timedOut := fmt.Errorf("%w: %w", ErrNotSent, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded})
	unacknowledged := fmt.Errorf("%w: %w", ErrBroken, &net.OpError{Op: "read", Err: syscall.ETIMEDOUT})
	ownDeadline := fmt.Errorf("%w: %w", ErrBroken, &net.OpError{Op: "read", Err: os.ErrDeadlineExceeded})
	for err, want := range map[error]bool{refused: false, timedOut: true, unacknowledged: true, ownDeadline: false} {
		assert.Equal(t, Silent(err), want, "%v", err)
	}
}
