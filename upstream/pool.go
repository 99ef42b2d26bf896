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

// userTimeout is the TCP user timeout: a connection fails when bytes that were sent on it
// stay unacknowledged for that long. Round trips take a few milliseconds, and a lost packet
// is sent again after 200 ms.
const userTimeout = 500 * time.Millisecond

// KeepAlive is the TCP keep-alive configuration. It detects a lost peer while the
// connection waits for a response.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Pool holds the connections to one endpoint: the idle ones so that they can be reused, and
// the busy ones so that CloseStalled can close them. It is safe for concurrent use.
type Pool struct {
	address string
	dialer  net.Dialer
	// Slots bounds the connections of all pools that share it; nil means no bound. It must be set
	// before the first use of the pool.
	Slots Slots

	mu     sync.Mutex
	idle   []*Conn // newest last
	busy   map[*Conn]struct{}
	closed bool
}

// Slots counts connections up to a limit. Implementations are safe for concurrent use.
type Slots interface {
	// Acquire takes a slot, and returns false if there is none.
	Acquire() bool
	// Take takes a slot also if there is none.
	Take()
	Release()
}

// NewPool returns an empty pool for the address (IP:PORT). dialTimeout bounds the
// opening of a connection.
func NewPool(address string, dialTimeout time.Duration) *Pool {
	return &Pool{address: address, busy: map[*Conn]struct{}{}, dialer: net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: KeepAlive,
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}}
}

// TakeIdle takes the connection that was released last, or returns nil if there is
// none. It closes idle connections that have timed out, are closed by the endpoint or
// have unsolicited bytes.
func (p *Pool) TakeIdle(now time.Time) *Conn {
	for {
		conn := p.popIdle()
		if conn == nil {
			return nil
		}
		if now.Sub(conn.idleSince) < conn.idleTimeout && conn.openAndDrained() {
			conn.Reused = true
			p.markBusy(conn, now)
			return conn
		}
		conn.Close()
	}
}

func (p *Pool) popIdle() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	conn := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return conn
}

// Dial opens a connection and marks it busy. Errors: ErrNotSent, and also ErrNoSlot if no
// connection may be opened.
func (p *Pool) Dial(ctx context.Context) (*Conn, error) {
	if p.Slots != nil && !p.Slots.Acquire() {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrNoSlot)
	}
	return p.dial(ctx)
}

// Probe opens a connection as Dial does, also if there is no slot: the state of an endpoint must not
// depend on how many connections this process has. Errors: ErrNotSent.
func (p *Pool) Probe(ctx context.Context) (*Conn, error) {
	if p.Slots != nil {
		p.Slots.Take()
	}
	return p.dial(ctx)
}

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	conn, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		if p.Slots != nil {
			p.Slots.Release()
		}
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c := newConn(conn, p)
	p.markBusy(c, time.Now())
	return c, nil
}

// markBusy records that a connection has been taken for a request.
func (p *Pool) markBusy(conn *Conn, now time.Time) {
	conn.lastRead.Store(now.UnixNano())
	conn.heard.Store(false)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy[conn] = struct{}{}
}

func (p *Pool) unmarkBusy(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, conn)
}

// ReleaseUnused makes a new connection, on which nothing has been sent, idle.
func (p *Pool) ReleaseUnused(conn *Conn, now time.Time) {
	conn.idleSince = now
	p.putIdle(conn)
}

// Release makes a connection idle after a complete response. It closes the connection
// instead if the endpoint asked for that, announced an idle timeout of idleMargin or less,
// or sent bytes after the response.
func (p *Pool) Release(conn *Conn, response *http.Response, now time.Time) {
	conn.setIdleTimeout(response.Header)
	if response.Close || conn.Buffered() || conn.idleTimeout <= 0 {
		conn.Close()
		return
	}
	conn.idleSince = now
	conn.SetDeadline(time.Time{})
	conn.SetRequestRetryable(false)
	p.putIdle(conn)
}

func (p *Pool) putIdle(conn *Conn) {
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

// CloseOldestIdle closes the connection that has been idle the longest, and returns false if there is
// none.
func (p *Pool) CloseOldestIdle() bool {
	p.mu.Lock()
	if len(p.idle) == 0 {
		p.mu.Unlock()
		return false
	}
	conn := p.idle[0]
	p.idle = append(p.idle[:0], p.idle[1:]...)
	p.mu.Unlock()
	conn.Close()
	return true
}

// CloseStalled is called when the endpoint has stopped answering. It closes the idle
// connections, so that no request is lost on one of them. It also closes the busy
// connections whose request is retryable and has received no byte since the given time.
func (p *Pool) CloseStalled(since time.Time) {
	p.mu.Lock()
	closing := p.idle
	p.idle = nil
	for conn := range p.busy {
		if conn.requestRetryable.Load() && conn.lastRead.Load() < since.UnixNano() {
			closing = append(closing, conn)
		}
	}
	p.mu.Unlock()
	for _, conn := range closing {
		conn.Close()
	}
}

// HeardSince reports whether a byte from the endpoint has arrived since the given time on a
// connection that is in use.
func (p *Pool) HeardSince(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.busy {
		if conn.heard.Load() && conn.lastRead.Load() >= since.UnixNano() {
			return true
		}
	}
	return false
}

// Prune closes connections whose idle timeout has passed.
func (p *Pool) Prune(now time.Time) {
	var expired []*Conn
	p.mu.Lock()
	kept := p.idle[:0]
	for _, conn := range p.idle {
		if now.Sub(conn.idleSince) < conn.idleTimeout {
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

// Close closes the idle connections. Busy ones are closed when they are released.
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
