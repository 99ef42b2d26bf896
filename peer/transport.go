// Package peer is the transport between routers: CBOR messages over WebSocket
// connections, either requests with replies or one-way messages. Both directions
// share one connection per pair of routers.
package peer

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/httpcheck"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

// Path is the URL path at which the peers' listener serves the transport.
const Path = "/peer"

// Handler handles incoming messages. It is called concurrently and in no
// particular order; from is the id of the sending router. For a request it returns
// the reply, and nil makes the sender's call fail with ErrRemote; for a one-way
// message (ID 0) the result is ignored.
type Handler interface {
	HandlePeer(ctx context.Context, from string, msg api.PeerMessage) *api.PeerMessage
}

// HandlerFunc adapts a function to Handler.
type HandlerFunc func(ctx context.Context, from string, msg api.PeerMessage) *api.PeerMessage

// HandlePeer implements Handler.
func (f HandlerFunc) HandlePeer(ctx context.Context, from string, msg api.PeerMessage) *api.PeerMessage {
	return f(ctx, from, msg)
}

// Options configure a Transport. Zero values of the limits mean the defaults.
type Options struct {
	RouterID string // id of this router
	Address  string // at which this router accepts peers; empty when it accepts none
	Secret   []byte // shared by all routers, never sent
	Handler  Handler
	Metrics  *telemetry.Metrics
	Logger   *zap.Logger

	// PeerDown is called when a connection fails or cannot be opened, but not when an
	// idle connection is closed. routerID is empty if the peer's id is not known.
	// PeerDown must not block.
	PeerDown func(routerID, addr string, err error)
	// PeerUp is called when a connection is ready. addr is empty if the peer accepts
	// no peers. PeerUp must not block.
	PeerUp func(routerID, addr string)

	MaxMessageBytes int           // of one encoded message; default 2 MiB
	MaxQueueBytes   int           // unsent bytes per connection; default 4 MiB
	MaxHandlers     int           // concurrent handlers per connection; default 512
	DialTimeout     time.Duration // for connection and handshake together; default 2 s
	WriteTimeout    time.Duration // for one WebSocket message; default 3 s
	PingInterval    time.Duration // silence after which a ping is sent; default 10 s
	PingTimeout     time.Duration // for the reply to a ping; default 2 s
	IdleTimeout     time.Duration // time without messages after which a connection is closed; default 2 min
	InitialBackoff  time.Duration // longest delay after the first failed dial; default 100 ms
	MaxBackoff      time.Duration // longest delay after many failed dials; default 5 s
}

func (o *Options) setDefaults() {
	setDefault(&o.MaxMessageBytes, 2<<20)
	setDefault(&o.MaxQueueBytes, 4<<20)
	setDefault(&o.MaxHandlers, 512)
	setDefault(&o.DialTimeout, 2*time.Second)
	setDefault(&o.WriteTimeout, 3*time.Second)
	setDefault(&o.PingInterval, 10*time.Second)
	setDefault(&o.PingTimeout, 2*time.Second)
	setDefault(&o.IdleTimeout, 2*time.Minute)
	setDefault(&o.InitialBackoff, 100*time.Millisecond)
	setDefault(&o.MaxBackoff, 5*time.Second)
	if o.Metrics == nil {
		o.Metrics = telemetry.NewMetrics()
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.PeerDown == nil {
		o.PeerDown = func(string, string, error) {}
	}
	if o.PeerUp == nil {
		o.PeerUp = func(string, string) {}
	}
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}

// maxPendingHandshakes bounds the accepted connections that have not authenticated
// yet.
const maxPendingHandshakes = 256

// Transport sends messages to peers and accepts their connections. It is an
// http.Handler for Path on the peers' listener. It is safe for concurrent use.
type Transport struct {
	opts    Options
	session uint64 // random; differs for each transport
	client  *http.Client

	links          sync.Map // address to *link
	handshakeSlots chan struct{}

	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	sent, received                           *traffic
	dropped, refused, authFailed             metrics.Counter
	dials, dialFailures, pings, connFailures metrics.Counter
}

// NewTransport starts a transport. It returns an error if the router id, the secret or
// the handler is missing.
func NewTransport(opts Options) (*Transport, error) {
	if opts.RouterID == "" || len(opts.Secret) == 0 || opts.Handler == nil {
		return nil, errors.New("peer: router id, secret and handler are required")
	}
	opts.setDefaults()
	var session [8]byte
	_, _ = rand.Read(session[:]) // crypto/rand.Read never returns an error
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		opts:           opts,
		session:        binary.BigEndian.Uint64(session[:]),
		handshakeSlots: make(chan struct{}, maxPendingHandshakes),
		conns:          map[*conn]struct{}{},
		ctx:            ctx,
		cancel:         cancel,
	}
	dialer := &net.Dialer{Timeout: opts.DialTimeout}
	t.client = &http.Client{Transport: httpcheck.Transport{Base: &http.Transport{
		DialContext:       dialer.DialContext,
		DisableKeepAlives: true,
	}}}
	t.registerMetrics(opts.Metrics)
	t.wg.Go(t.checkLoop)
	return t, nil
}

func (t *Transport) registerMetrics(m *telemetry.Metrics) {
	t.sent = newTraffic(m, "sent")
	t.received = newTraffic(m, "received")
	t.dropped = m.Counter("peer.messages.dropped")
	t.refused = m.Counter("peer.messages.refused")
	t.authFailed = m.Counter("peer.auth.failed")
	t.dials = m.Counter("peer.dials")
	t.dialFailures = m.Counter("peer.dials.failed")
	t.pings = m.Counter("peer.pings.sent")
	t.connFailures = m.Counter("peer.connections.failed")
}

// Call sends a request to the peer at addr and waits for its reply until ctx ends. The
// error is a *CallError that matches ErrUnreachable, ErrNoReply, ErrRemote or
// ErrInvalidMessage. Call opens a connection if there is none. It fails at once while the
// address is in backoff after a failed attempt to open one.
func (t *Transport) Call(ctx context.Context, addr string, msg api.PeerMessage) (api.PeerMessage, error) {
	reply, err := t.call(ctx, addr, &msg)
	if err != nil {
		return api.PeerMessage{}, err
	}
	if reply.Error == nil {
		return reply, nil
	}
	cause := errors.New(reply.Error.Text)
	if reply.Error.NotRun {
		return api.PeerMessage{}, &CallError{Addr: addr, Kind: ErrUnreachable, Cause: cause}
	}
	return api.PeerMessage{}, &CallError{Addr: addr, Kind: ErrRemote, Cause: cause}
}

func (t *Transport) call(ctx context.Context, addr string, msg *api.PeerMessage) (api.PeerMessage, error) {
	k := kindOf(msg)
	if k == kindNone {
		return api.PeerMessage{}, &CallError{Addr: addr, Kind: ErrInvalidMessage, Cause: errors.New("not exactly one body")}
	}
	c, err := t.link(addr).connect(ctx)
	if err != nil {
		return api.PeerMessage{}, &CallError{Addr: addr, Kind: ErrUnreachable, Cause: err}
	}
	msg.ID = c.nextID.Add(1)
	msg.Reply = false
	buf := encode(msg)
	defer releaseBuffer(buf)
	if err := t.checkSize(buf.Len()); err != nil {
		return api.PeerMessage{}, &CallError{Addr: addr, Kind: ErrInvalidMessage, Cause: err}
	}
	return c.call(ctx, addr, k, msg.ID, buf.Bytes())
}

// Send queues a one-way message to the peer at addr and opens a connection if
// there is none. A message that cannot be queued, or whose connection cannot be
// opened, is dropped and counted in peer.messages.dropped. Send does not wait for the
// connection, so it does not report that one cannot be opened. Its error matches
// ErrInvalidMessage, ErrQueueFull or, during backoff or after Close, ErrUnreachable. If
// the connection has just been closed, the error is the reason for the close.
func (t *Transport) Send(addr string, msg api.PeerMessage) error {
	k := kindOf(&msg)
	if k == kindNone {
		return ErrInvalidMessage
	}
	msg.ID = 0
	msg.Reply = false
	buf := encode(&msg)
	defer releaseBuffer(buf)
	if err := t.checkSize(buf.Len()); err != nil {
		return err
	}
	if err := t.link(addr).send(k, buf.Bytes()); err != nil {
		t.dropped.Inc(1)
		return err
	}
	return nil
}

func (t *Transport) checkSize(size int) error {
	if size == 0 {
		return fmt.Errorf("%w: cannot be encoded", ErrInvalidMessage)
	}
	if size > t.opts.MaxMessageBytes {
		return fmt.Errorf("%w: %d bytes exceed the limit of %d", ErrInvalidMessage, size, t.opts.MaxMessageBytes)
	}
	return nil
}

func (t *Transport) link(addr string) *link {
	if found, ok := t.links.Load(addr); ok {
		return found.(*link)
	}
	created, _ := t.links.LoadOrStore(addr, &link{t: t, addr: addr})
	return created.(*link)
}

// Forget removes the state of an address that no router uses any longer and closes its
// connection.
func (t *Transport) Forget(addr string) {
	if found, ok := t.links.LoadAndDelete(addr); ok {
		found.(*link).closeCurrent()
	}
}

// ServeHTTP accepts a peer's connection and serves it until it ends.
func (t *Transport) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case t.handshakeSlots <- struct{}{}:
	default:
		http.Error(w, "too many connections", http.StatusServiceUnavailable)
		return
	}
	c, err := t.accept(w, r)
	<-t.handshakeSlots
	if err != nil {
		t.opts.Logger.Warn("peer connection refused", zap.String("remote", r.RemoteAddr), zap.Error(err))
		return
	}
	defer t.wg.Done()
	if c.id.address != "" {
		t.link(c.id.address).addAccepted(c)
	}
	t.opts.PeerUp(c.id.router, c.id.address)
	c.run()
}

func (t *Transport) accept(w http.ResponseWriter, r *http.Request) (*conn, error) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, fmt.Errorf("accepting peer connection: %w", err)
	}
	ws.SetReadLimit(maxHandshakeBytes)
	ctx, cancel := context.WithTimeout(t.ctx, t.opts.DialTimeout)
	defer cancel()
	id, err := t.acceptHandshake(ctx, ws)
	if err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	return t.register(ws, id, id.address, false)
}

func (t *Transport) dial(addr string) (*conn, error) {
	t.dials.Inc(1)
	ctx, cancel := context.WithTimeout(t.ctx, t.opts.DialTimeout)
	defer cancel()
	ws, response, err := websocket.Dial(ctx, "ws://"+addr+Path, &websocket.DialOptions{HTTPClient: t.client})
	if err != nil {
		return nil, fmt.Errorf("dialing peer: %w", err)
	}
	if response.Body != nil {
		_ = response.Body.Close()
	}
	ws.SetReadLimit(maxHandshakeBytes)
	id, err := t.dialHandshake(ctx, ws)
	if err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	return t.register(ws, id, addr, true)
}

// register adds a connection to the transport and increments t.wg. The caller runs the
// connection and then calls t.wg.Done. If the transport is closed, register returns
// ErrClosed.
func (t *Transport) register(ws *websocket.Conn, id identity, addr string, dialed bool) (*conn, error) {
	ws.SetReadLimit(int64(t.opts.MaxMessageBytes))
	c := newConn(t, ws, id, addr, dialed)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = ws.CloseNow()
		return nil, ErrClosed
	}
	t.conns[c] = struct{}{}
	t.wg.Add(1)
	return c, nil
}

func (t *Transport) unregister(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

func (t *Transport) connections() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		list = append(list, c)
	}
	return list
}

// Connections returns the number of open connections.
func (t *Transport) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// Bounds of the time between two rounds of checkLoop.
const (
	minCheckInterval = 5 * time.Millisecond
	maxCheckInterval = time.Second
)

// checkLoop checks the timeouts of all connections from one goroutine, because a timer
// per connection and message would allocate on the request path.
func (t *Transport) checkLoop() {
	shortest := min(t.opts.PingInterval, t.opts.PingTimeout, t.opts.IdleTimeout, t.opts.WriteTimeout)
	ticker := time.NewTicker(max(minCheckInterval, min(maxCheckInterval, shortest/4)))
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case now := <-ticker.C:
			for _, c := range t.connections() {
				c.checkTimeouts(now)
			}
		}
	}
}

// flushTimeout bounds the time that Close waits for queued messages to be written.
const flushTimeout = 500 * time.Millisecond

// Close writes the queued messages, closes all connections, cancels the contexts of
// the handlers and waits for them to return. Calls in flight fail with an error.
func (t *Transport) Close() {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return
	}
	t.closed = true
	t.mu.Unlock()
	deadline := time.Now().Add(flushTimeout)
	for _, c := range t.connections() {
		for !c.flushed() && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
	}
	t.cancel()
	for _, c := range t.connections() {
		c.close(ErrClosed)
	}
	t.wg.Wait()
	t.client.CloseIdleConnections()
}
