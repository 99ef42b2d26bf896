package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// maxBacklogBytes bounds the one-way messages kept while a connection is opened.
const maxBacklogBytes = 256 << 10

// maxBackoffShift keeps the doubling of the backoff from overflowing.
const maxBackoffShift = 16

// link is the state kept for one peer address.
type link struct {
	t       *Transport
	addr    string
	current atomic.Pointer[conn]

	mu           sync.Mutex
	attempt      *attempt // not nil while a connection is opened
	backlog      []queued
	backlogBytes int
	failures     int
	retryAt      time.Time
}

// attempt is one opening of a connection; conn and err are set before done is
// closed.
type attempt struct {
	done chan struct{}
	conn *conn
	err  error
}

type queued struct {
	kind kind
	data []byte
}

// connect returns the open connection, or opens one.
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
	l.t.wg.Go(func() { l.open(a) })
	return a, nil
}

func (l *link) open(a *attempt) {
	c, err := l.t.dial(l.addr)
	if err != nil {
		l.fail(a, err)
		return
	}
	defer l.t.wg.Done()
	l.mu.Lock()
	l.failures = 0
	l.retryAt = time.Time{}
	a.conn = l.choose(c)
	l.finish(a)
	l.mu.Unlock()
	close(a.done)
	l.t.opts.PeerUp(c.id.router, l.addr)
	c.run()
}

// fail ends an attempt without a connection. An accepted connection that came
// meanwhile is used instead.
func (l *link) fail(a *attempt, err error) {
	l.t.dialFailures.Inc(1)
	l.mu.Lock()
	if c := l.current.Load(); c != nil && c.usable() {
		a.conn = c
	} else {
		a.err = err
		l.retryAt = time.Now().Add(l.backoff())
		l.failures++
	}
	l.finish(a)
	l.mu.Unlock()
	close(a.done)
	if a.err != nil && l.t.ctx.Err() == nil {
		l.t.opts.PeerDown("", l.addr, err)
	}
}

// finish hands the backlog to the connection, or drops it.
func (l *link) finish(a *attempt) {
	l.attempt = nil
	for _, entry := range l.backlog {
		if a.conn == nil || a.conn.send(entry.kind, entry.data) != nil {
			l.t.dropped.Inc(1)
		}
	}
	l.backlog, l.backlogBytes = nil, 0
}

// backoff returns between half of and the whole doubled delay. Without jitter,
// all routers would dial a restarted peer at the same moment.
func (l *link) backoff() time.Duration {
	delay := l.t.opts.MinBackoff << min(l.failures, maxBackoffShift)
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
	l.backlog = append(l.backlog, queued{kind: k, data: append([]byte(nil), data...)})
	l.backlogBytes += len(data)
	return nil
}

// adopt makes an accepted connection available for calls to its address.
func (l *link) adopt(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = 0
	l.retryAt = time.Time{}
	l.choose(c)
}

// choose returns the connection that new messages use, from the current and a
// new one. When both routers have dialled each other, both choose the one that
// the smaller router id dialled; the other carries its calls in progress and
// is then closed as idle. The caller holds l.mu.
func (l *link) choose(c *conn) *conn {
	old := l.current.Load()
	keep := old != nil && old.usable() &&
		old.id.router == c.id.router && old.id.session == c.id.session &&
		old.dialedBySmaller() && !c.dialedBySmaller()
	if keep {
		return old
	}
	l.current.Store(c)
	return c
}

func (l *link) forget() {
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
