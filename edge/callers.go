package edge

import (
	"net"
	"sync"
	"time"
)

// During a planned stop, connections that are open stay so until shortly before the end of the grace
// period, because the next request on them must get an answer. Shutdown of net/http closes connections
// that are idle or have not sent anything, and ReadHeaderTimeout closes the latter after a few seconds.

// callersClosedInterval is the time between two checks whether all callers' connections are closed.
const callersClosedInterval = 20 * time.Millisecond

// callerListener accepts callers' connections and knows which of them are open.
type callerListener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*callerConn]struct{}
	// heldUntil is how long connections may stay silent during a stop; zero before it.
	heldUntil time.Time
}

func newCallerListener(inner net.Listener) *callerListener {
	return &callerListener{Listener: inner, conns: map[*callerConn]struct{}{}}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &callerConn{Conn: accepted, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = struct{}{}
	return conn, nil
}

// holdSilent keeps connections on which nothing has arrived yet open until the given time.
func (l *callerListener) holdSilent(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heldUntil = until
	for conn := range l.conns {
		if !conn.spoken {
			_ = conn.Conn.SetReadDeadline(until)
		}
	}
}

// awaitClosed returns when all connections are closed, at the latest at the given time.
func (l *callerListener) awaitClosed(until time.Time) {
	for time.Now().Before(until) && l.open() > 0 {
		time.Sleep(callersClosedInterval)
	}
}

func (l *callerListener) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// closeSilent closes the connections on which nothing has arrived.
func (l *callerListener) closeSilent() {
	var silent []*callerConn
	l.mu.Lock()
	for conn := range l.conns {
		if !conn.spoken {
			silent = append(silent, conn)
		}
	}
	l.mu.Unlock()
	for _, conn := range silent {
		_ = conn.Close()
	}
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	listener *callerListener
	// spoken is set when a byte has arrived. The listener's mu guards it.
	spoken bool
}

// Read implements net.Conn. From the first byte of a connection that was held on, its header has the
// usual time.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.spoken && !c.listener.heldUntil.IsZero() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(readHeaderTimeout))
	}
	c.spoken = true
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.spoken && !t.IsZero() && t.Before(c.listener.heldUntil) {
		t = c.listener.heldUntil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the side of the connection to the caller. net/http's server needs it to end a
// connection whose request it has not read to the end without a reset that would drop the response.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
