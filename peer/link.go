package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// maxBacklogBytes bounds the one-way messages that are queued for one address while a
// connection to it is being opened.
const maxBacklogBytes = 256 << 10

// maxBackoffShift keeps the doubling of the backoff from overflowing.
const maxBackoffShift = 16

// link is the state of one peer address: its current connection, the attempt in progress
// to open one, the messages that wait for that attempt, and the backoff after failures.
type link struct {
	t       *Transport
	addr    string
	current atomic.Pointer[conn]

	mu           sync.Mutex
	attempt      *attempt // nil unless a connection is being opened
	backlog      []queuedMessage
	backlogBytes int
	failures     int       // failed attempts in a row
	retryAt      time.Time // end of the last backoff; zero after a success
}

// attempt is one attempt to open a connection; conn or err is set before done is
// closed.
type attempt struct {
	done chan struct{}
	conn *conn
	err  error
}

type queuedMessage struct {
	kind kind
	data []byte
}

// connect returns the current connection if it is usable, and opens one otherwise.
func (l *link) connect(ctx context.Context) (*conn, error) {
	if c := l.current.Load(); c != nil && c.usable() {
		return c, nil
	}
	l.mu.Lock()
	a, err := l.startAttempt()
	l.mu.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case <-a.done:
		return a.conn, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// startAttempt returns the running attempt or starts one. It fails during
// backoff. The caller holds l.mu.
func (l *link) startAttempt() (*attempt, error) {
	if l.attempt != nil {
		return l.attempt, nil
	}
	if time.Now().Before(l.retryAt) {
		return nil, errBackoff
	}
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	if l.t.closed {
		return nil, ErrClosed
	}
	a := &attempt{done: make(chan struct{})}
	l.attempt = a
	l.t.wg.Go(func() { l.openConn(a) })
	return a, nil
}

func (l *link) openConn(a *attempt) {
	c, err := l.t.dial(l.addr)
	if err != nil {
		l.failAttempt(a, err)
		return
	}
	defer l.t.wg.Done()
	l.mu.Lock()
	l.failures = 0
	l.retryAt = time.Time{}
	a.conn = l.selectConn(c)
	l.finishAttempt(a)
	l.mu.Unlock()
	close(a.done)
	l.t.opts.PeerUp(c.id.router, l.addr)
	c.run()
}

// failAttempt ends an attempt that opened no connection. If this router has accepted a
// connection from the peer meanwhile, the attempt returns that one and there is no
// backoff.
func (l *link) failAttempt(a *attempt, err error) {
	l.t.dialFailures.Inc(1)
	l.mu.Lock()
	if c := l.current.Load(); c != nil && c.usable() {
		a.conn = c
	} else {
		a.err = err
		l.retryAt = time.Now().Add(l.backoff())
		l.failures++
	}
	l.finishAttempt(a)
	l.mu.Unlock()
	close(a.done)
	if a.err != nil && l.t.ctx.Err() == nil {
		l.t.opts.PeerDown("", l.addr, err)
	}
}

// finishAttempt ends an attempt and sends the backlog on its connection, or drops it
// if there is none. The caller holds l.mu.
func (l *link) finishAttempt(a *attempt) {
	l.attempt = nil
	for _, entry := range l.backlog {
		if a.conn == nil || a.conn.send(entry.kind, entry.data) != nil {
			l.t.dropped.Inc(1)
		}
	}
	l.backlog, l.backlogBytes = nil, 0
}

// backoff returns a random delay between half of the exponential backoff and all of
// it. Without jitter, all routers would dial a restarted peer at the same moment.
func (l *link) backoff() time.Duration {
	delay := l.t.opts.InitialBackoff << min(l.failures, maxBackoffShift)
	delay = min(delay, l.t.opts.MaxBackoff)
	return delay/2 + rand.N(delay/2+1)
}

func (l *link) send(k kind, data []byte) error {
	if c := l.current.Load(); c != nil && c.usable() {
		return c.send(k, data)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.startAttempt(); err != nil {
		return &CallError{Addr: l.addr, Kind: ErrUnreachable, Cause: err}
	}
	if l.backlogBytes+len(data) > maxBacklogBytes {
		return ErrQueueFull
	}
	l.backlog = append(l.backlog, queuedMessage{kind: k, data: append([]byte(nil), data...)})
	l.backlogBytes += len(data)
	return nil
}

// addAccepted makes an accepted connection available for messages to its address and
// ends a backoff.
func (l *link) addAccepted(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = 0
	l.retryAt = time.Time{}
	l.selectConn(c)
}

// selectConn chooses between the current and a new connection for new messages, and
// returns the chosen one. When both routers have dialed each other, both choose the
// connection dialed by the router with the smaller id; the other one completes its
// calls in flight and is then closed as idle. The caller holds l.mu.
func (l *link) selectConn(c *conn) *conn {
	old := l.current.Load()
	keep := old != nil && old.usable() &&
		old.id.router == c.id.router && old.id.session == c.id.session &&
		old.dialedBySmallerID() && !c.dialedBySmallerID()
	if keep {
		return old
	}
	l.current.Store(c)
	return c
}

func (l *link) closeCurrent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.current.Load(); c != nil {
		l.t.mu.Lock()
		defer l.t.mu.Unlock()
		if !l.t.closed {
			l.t.wg.Go(func() { c.close(errIdle) })
		}
	}
}
