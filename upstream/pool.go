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

// userTimeout ends a connection whose bytes are not acknowledged. Links have round
// trips of a few milliseconds; a lost packet is sent again after 200 ms.
const userTimeout = 500 * time.Millisecond

// KeepAlive finds a connection that went silent while it waits for an answer.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Pool holds the idle connections of one endpoint. Safe for concurrent use.
type Pool struct {
	address string
	dialer  net.Dialer

	mu     sync.Mutex
	idle   []*Conn // newest last
	busy   map[*Conn]struct{}
	closed bool
}

// NewPool returns an empty pool for the address (IP:PORT). A new connection
// takes dialTimeout at most.
func NewPool(address string, dialTimeout time.Duration) *Pool {
	return &Pool{address: address, busy: map[*Conn]struct{}{}, dialer: net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: KeepAlive,
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
			p.enter(conn, now)
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
	c := newConn(conn, p)
	p.enter(c, time.Now())
	return c, nil
}

// enter counts a connection that is taken for a request.
func (p *Pool) enter(conn *Conn, now time.Time) {
	conn.heard.Store(now.UnixNano())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy[conn] = struct{}{}
}

func (p *Pool) leave(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, conn)
}

// Restore takes back a connection on which nothing was sent.
func (p *Pool) Restore(conn *Conn, now time.Time) {
	conn.idleFrom = now
	p.put(conn)
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
	conn.SetMovable(false)
	p.put(conn)
}

func (p *Pool) put(conn *Conn) {
	p.mu.Lock()
	delete(p.busy, conn)
	kept := !p.closed
	if kept {
		p.idle = append(p.idle, conn)
	}
	p.mu.Unlock()
	if !kept {
		conn.Close()
	}
}

// Distrust is called when the endpoint has fallen silent. It closes the idle
// connections, so that no request is lost on one of them, and those on which a
// movable request has waited without a byte since the given time.
func (p *Pool) Distrust(since time.Time) {
	p.mu.Lock()
	closing := p.idle
	p.idle = nil
	for conn := range p.busy {
		if conn.movable.Load() && conn.heard.Load() < since.UnixNano() {
			closing = append(closing, conn)
		}
	}
	p.mu.Unlock()
	for _, conn := range closing {
		conn.Close()
	}
}

// Prune closes connections that have been idle for their time.
func (p *Pool) Prune(now time.Time) {
	var expired []*Conn
	p.mu.Lock()
	kept := p.idle[:0]
	for _, conn := range p.idle {
		if now.Sub(conn.idleFrom) < conn.idleFor {
			kept = append(kept, conn)
		} else {
			expired = append(expired, conn)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	for _, conn := range expired {
		conn.Close()
	}
}

// Close closes the idle connections and those that are given back later.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, conn := range idle {
		conn.Close()
	}
}
