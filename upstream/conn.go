// Package upstream sends requests to endpoints over kept HTTP/1.1 connections.
// Unlike the client of net/http it tells whether any byte of a request left,
// never repeats a request by itself, and sees what an endpoint sends unasked.
package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

var (
	// ErrNotSent says that no byte of the request left this process.
	ErrNotSent = errors.New("upstream: request not sent")
	// ErrBroken says that the connection failed after a byte of the request may
	// have left.
	ErrBroken = errors.New("upstream: connection broken")
)

// Silent reports whether an error of this package says that nothing came back from
// the endpoint in time. A refused or reset connection is not silent.
func Silent(err error) bool {
	var dial net.Error
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, ErrNotSent) && errors.As(err, &dial) && dial.Timeout()
}

const (
	readBufferBytes = 4 << 10
	// idleMargin is taken off the time for which an endpoint keeps an idle
	// connection, since a request may cross its close.
	idleMargin = 400 * time.Millisecond
	// defaultIdle is how long a connection is kept idle when the endpoint does
	// not say.
	defaultIdle = 4 * time.Second
)

// Conn is a connection to an endpoint. It carries one request at a time.
type Conn struct {
	net      net.Conn
	pool     *Pool
	raw      syscall.RawConn
	reader   *bufio.Reader
	idleFor  time.Duration
	idleFrom time.Time
	// Reused says that the connection has carried a request before.
	Reused bool
	// movable says that the request in progress may go on at another endpoint.
	movable atomic.Bool
	// heard is when the endpoint last sent anything, in Unix nanoseconds; before
	// that, when the connection was taken for a request.
	heard atomic.Int64
}

func newConn(conn net.Conn, pool *Pool) *Conn {
	c := &Conn{net: conn, pool: pool, idleFor: defaultIdle}
	c.reader = bufio.NewReaderSize(reading{c}, readBufferBytes)
	if tcp, ok := conn.(*net.TCPConn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			c.raw = raw
		}
	}
	return c
}

// reading notes when the endpoint is heard.
type reading struct{ conn *Conn }

func (r reading) Read(b []byte) (int, error) {
	n, err := r.conn.net.Read(b)
	if n > 0 {
		r.conn.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

// SetMovable says whether the request that follows may go on at another endpoint
// when this one falls silent.
func (c *Conn) SetMovable(movable bool) { c.movable.Store(movable) }

// SetDeadline bounds all reads and writes that follow.
func (c *Conn) SetDeadline(t time.Time) { _ = c.net.SetDeadline(t) }

// Close ends the connection.
func (c *Conn) Close() {
	c.pool.leave(c)
	_ = c.net.Close()
}

// Send writes a whole request. Errors: ErrNotSent, ErrBroken.
func (c *Conn) Send(request []byte) error {
	n, err := c.net.Write(request)
	switch {
	case err == nil:
		return nil
	case n == 0:
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	default:
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
}

// Receive reads the head of the next answer. Errors: ErrBroken.
func (c *Conn) Receive(request *http.Request) (*http.Response, error) {
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return response, nil
}

// Buffered reports whether the endpoint sent bytes that belong to no answer.
func (c *Conn) Buffered() bool { return c.reader.Buffered() > 0 }

// quiet reports whether the idle connection is open and has nothing to read.
func (c *Conn) quiet() bool {
	if c.raw == nil {
		return true
	}
	quiet := false
	var one [1]byte
	err := c.raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), one[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// keepFor reads how long the endpoint keeps the connection after an answer.
func (c *Conn) keepFor(header http.Header) {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.idleFor = time.Duration(seconds)*time.Second - idleMargin
		}
	}
}
