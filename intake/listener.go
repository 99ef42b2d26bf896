// Package intake bounds what callers' connections use before a request reaches its handler and after
// its response has left it: their number, the fields of a request's head, and the time that a caller
// takes to read. net/http's server bounds the bytes of a head but not the number of its fields, and
// its write time-out bounds a whole response, which would cut a stream in hand.
package intake

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/overload"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

// connectionBytes is what a connection costs without what it sends: the buffers of net/http's server
// (8 KiB) and the stack of its goroutine.
const connectionBytes = 16 << 10

// requestBytes is what a request in flight costs beyond that: the buffer of its head and the stacks and
// buffers of its connection to the endpoint.
const requestBytes = 32 << 10

// Config configures a Listener.
type Config struct {
	Limits  overload.Limits
	Account *overload.Account
	Metrics *telemetry.Metrics
	Logger  *zap.Logger
	// MaxHeaderFields bounds the fields of a request's head; 0 means no limit.
	MaxHeaderFields int
	// WriteTimeout ends a connection of which the caller reads nothing for that long while the
	// router writes. 0 leaves write deadlines to the server.
	WriteTimeout time.Duration
}

// Listener accepts connections within limits. Its ConnState must be that of the server that uses it.
type Listener struct {
	net.Listener
	config Config
	table  *overload.ConnectionTable

	mu    sync.Mutex
	conns map[uint64]*Conn
}

// Listen opens a TCP listener.
func Listen(address string, config Config) (*Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("intake: %w", err)
	}
	return &Listener{
		Listener: listener, config: config, table: overload.NewConnectionTable(config.Limits), conns: map[uint64]*Conn{},
	}, nil
}

// Accept returns the next connection that is within the limits. It closes those that are not, and
// idle ones to make room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.admit(accepted); conn != nil {
			return conn, nil
		}
		l.record("connections_refused", accepted)
		_ = accepted.Close()
	}
}

// admit returns nil if the connection is to be refused.
func (l *Listener) admit(accepted net.Conn) *Conn {
	address, _, _ := net.SplitHostPort(accepted.RemoteAddr().String())
	id, evicted, ok := l.table.Accept(time.Now(), address)
	for _, other := range evicted {
		l.evict(other)
	}
	if !ok {
		return nil
	}
	lease, ok := l.reserve(id)
	if !ok {
		l.table.Remove(id)
		return nil
	}
	conn := &Conn{Conn: accepted, listener: l, id: id, cost: lease}
	conn.expectHead()
	l.mu.Lock()
	l.conns[id] = conn
	l.mu.Unlock()
	return conn
}

// reserve takes the cost of a connection from the account, closing another one for it if need be.
func (l *Listener) reserve(id uint64) (*overload.Lease, bool) {
	for {
		lease, ok := l.config.Account.Reserve(overload.Connections, connectionBytes, true)
		if ok {
			return lease, true
		}
		// The new connection has the newest state, so that it comes last.
		other, ok := l.table.Evict(time.Now())
		if !ok || other == id {
			return nil, false
		}
		l.evict(other)
	}
}

func (l *Listener) evict(id uint64) {
	l.mu.Lock()
	conn := l.conns[id]
	l.mu.Unlock()
	if conn != nil {
		l.record("connections_closed", conn)
		_ = conn.Close()
	}
}

// record counts and logs a connection that is closed for the reason.
func (l *Listener) record(reason string, conn net.Conn) {
	l.config.Metrics.Counter("overload." + reason).Inc(1)
	l.config.Logger.Info("connection closed by limit", zap.String("reason", reason), zap.Stringer("caller", conn.RemoteAddr()),
		zap.Int("connections", l.table.Count()), zap.Int64("used", l.config.Account.Used()))
}

// Count returns the number of open connections.
func (l *Listener) Count() int { return l.table.Count() }

// ConnState follows the state of the listener's connections. It is for http.Server.ConnState.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		conn.beginRequest()
		l.table.SetState(time.Now(), conn.id, overload.Busy)
	case http.StateIdle:
		conn.expectHead()
		l.table.SetState(time.Now(), conn.id, overload.Idle)
	default:
	}
}
