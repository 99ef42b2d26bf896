package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout ends a connection whose bytes are not acknowledged: links have
	// round trips of a few milliseconds.
	userTimeout = 1500 * time.Millisecond
	// keepAliveInterval and keepAliveCount find a connection that went silent
	// while it waits for an answer.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Pool holds the idle connections of one endpoint. Safe for concurrent use.
type Pool struct {
	address string
	dialer  net.Dialer

	mu     sync.Mutex
	idle   []*Conn // newest last
	closed bool
}

// NewPool returns an empty pool for the address (IP:PORT). A new connection
// takes dialTimeout at most.
func NewPool(address string, dialTimeout time.Duration) *Pool {
	return &Pool{address: address, dialer: net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failure
		},
	}}
}

// Idle returns an idle connection that is open, or nil.
func (p *Pool) Idle(now time.Time) *Conn {
	for {
		conn := p.pop()
		if conn == nil {
			return nil
		}
		if now.Sub(conn.idleFrom) < conn.idleFor && conn.quiet() {
			conn.Reused = true
			return conn
		}
		conn.Close()
	}
}

func (p *Pool) pop() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	conn := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return conn
}

// Dial opens a connection. Errors: ErrNotSent.
func (p *Pool) Dial(ctx context.Context) (*Conn, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return newConn(conn), nil
}

// Keep takes back a connection after a complete answer, or closes it if the
// endpoint wants that or has sent more than the answer.
func (p *Pool) Keep(conn *Conn, answer *http.Response, now time.Time) {
	conn.keepFor(answer.Header)
	if answer.Close || conn.Buffered() || conn.idleFor <= 0 {
		conn.Close()
		return
	}
	conn.idleFrom = now
	conn.SetDeadline(time.Time{})
	p.mu.Lock()
	if !p.closed {
		p.idle = append(p.idle, conn)
		conn = nil
	}
	p.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
}

// Prune closes connections that have been idle for their time.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, conn := range p.idle {
		if now.Sub(conn.idleFrom) < conn.idleFor {
			kept = append(kept, conn)
		} else {
			conn.Close()
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// Close closes the idle connections and those that are given back later.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conn := range p.idle {
		conn.Close()
	}
	p.idle = nil
}
