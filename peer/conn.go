package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

const (
	// chunkBytes is the size up to which messages are batched into one write.
	chunkBytes = 32 << 10
	// maxKeptReadBytes is the size of the largest read buffer that a connection keeps
	// from one WebSocket message to the next.
	maxKeptReadBytes = 64 << 10
)

// result is the outcome of one call.
type result struct {
	msg api.PeerMessage
	err error
}

// call is a request in flight. done is buffered for one result, which is sent only by
// the goroutine that removes the call from conn.calls.
type call struct {
	done  chan result
	chunk uint64 // number of the chunk that holds the request; the first chunk is 1
}

var calls = sync.Pool{New: func() any { return &call{done: make(chan result, 1)} }}

// chunk is a sequence of encoded messages that is written as one WebSocket message.
type chunk struct {
	data []byte
}

var chunks = sync.Pool{New: func() any { return &chunk{} }}

// conn is one authenticated connection.
type conn struct {
	t      *Transport
	ws     *websocket.Conn
	id     identity // of the peer
	addr   string   // of the peer's listener; empty if it accepts no peers
	dialed bool     // this router dialed the peer
	nextID atomic.Uint64
	ctx    context.Context
	cancel context.CancelFunc

	mu            sync.Mutex
	queue         []*chunk // chunks whose write has not begun
	queueBytes    int
	writing       bool             // a chunk is being written
	chunksStarted uint64           // number of chunks whose write has begun
	calls         map[uint64]*call // by message id
	err           error            // reason of the close; nil while open
	writeReady    chan struct{}
	closed        chan struct{}

	handlers   atomic.Int64   // running handlers
	goroutines sync.WaitGroup // handlers and background tasks
	probing    atomic.Bool    // a ping is in progress

	// Times in Unix nanoseconds. lastReceived is when the last WebSocket message or reply
	// to a ping arrived. lastUsed is when the last message was queued or received.
	// writeSince is when the write in progress began; 0 if there is none.
	lastReceived, lastUsed, writeSince atomic.Int64
}

func newConn(t *Transport, ws *websocket.Conn, id identity, addr string, dialed bool) *conn {
	c := &conn{
		t: t, ws: ws, id: id, addr: addr, dialed: dialed,
		calls:      map[uint64]*call{},
		writeReady: make(chan struct{}, 1),
		closed:     make(chan struct{}),
	}
	c.ctx, c.cancel = context.WithCancel(t.ctx)
	now := time.Now().UnixNano()
	c.lastReceived.Store(now)
	c.lastUsed.Store(now)
	return c
}

// dialedBySmallerID reports whether the router with the smaller id of the two dialed the
// connection.
func (c *conn) dialedBySmallerID() bool {
	return c.dialed == (c.t.opts.RouterID < c.id.router)
}

// usable reports whether new messages may be sent on the connection. Only the
// dialing side closes idle connections. The accepting side stops sending on an idle
// connection earlier, so that its messages do not race with the close.
func (c *conn) usable() bool {
	select {
	case <-c.closed:
		return false
	default:
	}
	if c.dialed {
		return true
	}
	idle := time.Duration(time.Now().UnixNano() - c.lastUsed.Load())
	return idle < c.t.opts.IdleTimeout*3/4
}

// run serves the connection until it ends.
func (c *conn) run() {
	var writer sync.WaitGroup
	writer.Go(c.writeLoop)
	err := c.readLoop()
	c.close(err)
	writer.Wait()
	c.goroutines.Wait()
	c.t.unregister(c)
	c.reportFailure()
}

func (c *conn) reportFailure() {
	err := c.closeReason()
	if errors.Is(err, errIdle) || errors.Is(err, ErrClosed) {
		return
	}
	status := websocket.CloseStatus(err)
	if status == websocket.StatusNormalClosure || status == websocket.StatusGoingAway {
		return
	}
	c.t.connFailures.Inc(1)
	c.t.opts.Logger.Info("peer connection failed",
		zap.String("peer", c.id.router), zap.String("address", c.addr), zap.Error(err))
	if c.t.ctx.Err() == nil {
		c.t.opts.PeerDown(c.id.router, c.addr, err)
	}
}

func (c *conn) closeReason() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// call sends an encoded request and waits for its reply.
func (c *conn) call(ctx context.Context, addr string, k kind, id uint64, data []byte) (api.PeerMessage, error) {
	waiting := calls.Get().(*call)
	sentAt := time.Now()
	if err := c.enqueue(k, data, id, waiting); err != nil {
		calls.Put(waiting)
		return api.PeerMessage{}, &CallError{Addr: addr, Kind: ErrUnreachable, Cause: err}
	}
	select {
	case res := <-waiting.done:
		calls.Put(waiting)
		return res.msg, res.err
	case <-ctx.Done():
	}
	if c.removeCall(id) == nil {
		res := <-waiting.done
		calls.Put(waiting)
		return res.msg, res.err
	}
	calls.Put(waiting)
	if c.lastReceived.Load() < sentAt.UnixNano() {
		c.probe()
	}
	return api.PeerMessage{}, &CallError{Addr: addr, Kind: ErrNoReply, Cause: ctx.Err()}
}

func (c *conn) removeCall(id uint64) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.calls[id]
	delete(c.calls, id)
	return found
}

func (c *conn) send(k kind, data []byte) error {
	return c.enqueue(k, data, 0, nil)
}

// enqueue appends an encoded message to the queue. For a request it also registers the
// call, under the same lock, so that a failing connection ends every call exactly once.
func (c *conn) enqueue(k kind, data []byte, id uint64, waiting *call) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return c.err
	}
	if c.queueBytes+len(data) > c.t.opts.MaxQueueBytes {
		return ErrQueueFull
	}
	c.append(data)
	if waiting != nil {
		waiting.chunk = c.chunksStarted + uint64(len(c.queue))
		c.calls[id] = waiting
	}
	c.t.sent.add(k, len(data))
	c.lastUsed.Store(time.Now().UnixNano())
	select {
	case c.writeReady <- struct{}{}:
	default:
	}
	return nil
}

func (c *conn) append(data []byte) {
	c.queueBytes += len(data)
	if n := len(c.queue); n > 0 && len(c.queue[n-1].data)+len(data) <= min(chunkBytes, c.t.opts.MaxMessageBytes) {
		last := c.queue[n-1]
		last.data = append(last.data, data...)
		return
	}
	next := chunks.Get().(*chunk)
	next.data = append(next.data[:0], data...)
	c.queue = append(c.queue, next)
}

// nextChunk removes the first chunk from the queue. It returns nil if the queue is empty
// or the connection is closed.
func (c *conn) nextChunk() *chunk {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = len(c.queue) > 0 && c.err == nil
	if !c.writing {
		return nil
	}
	next := c.queue[0]
	copy(c.queue, c.queue[1:])
	c.queue = c.queue[:len(c.queue)-1]
	c.queueBytes -= len(next.data)
	c.chunksStarted++
	return next
}

// flushed reports whether nothing is left to write, or the connection is closed.
func (c *conn) flushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err != nil || (len(c.queue) == 0 && !c.writing)
}

func (c *conn) writeLoop() {
	for {
		select {
		case <-c.writeReady:
		case <-c.closed:
			return
		}
		for next := c.nextChunk(); next != nil; next = c.nextChunk() {
			if err := c.write(next); err != nil {
				c.close(err)
				return
			}
		}
	}
}

// write writes one chunk. It uses context.Background, because with a context of its own
// for each write the WebSocket library would allocate a timer each time. Instead,
// Transport.checkLoop closes a connection whose write takes too long.
func (c *conn) write(next *chunk) error {
	c.writeSince.Store(time.Now().UnixNano())
	err := c.ws.Write(context.Background(), websocket.MessageBinary, next.data)
	c.writeSince.Store(0)
	c.t.sent.add(kindFraming, frameOverhead(len(next.data), c.dialed))
	if cap(next.data) <= 2*chunkBytes {
		chunks.Put(next)
	}
	if err != nil {
		return fmt.Errorf("writing to the connection: %w", err)
	}
	return nil
}

func (c *conn) readLoop() error {
	var buf []byte
	for {
		_, reader, err := c.ws.Reader(context.Background())
		if err != nil {
			return fmt.Errorf("reading from the connection: %w", err)
		}
		buf, err = readAll(reader, buf[:0])
		if err != nil {
			return fmt.Errorf("reading from the connection: %w", err)
		}
		c.lastReceived.Store(time.Now().UnixNano())
		c.t.received.add(kindFraming, frameOverhead(len(buf), !c.dialed))
		if err := c.dispatchAll(buf); err != nil {
			return err
		}
		if cap(buf) > maxKeptReadBytes {
			buf = nil
		}
	}
}

// readAll reads until EOF and appends to buf, which it grows as needed.
func readAll(reader io.Reader, buf []byte) ([]byte, error) {
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := reader.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
	}
}

func (c *conn) dispatchAll(data []byte) error {
	for len(data) > 0 {
		var msg api.PeerMessage
		rest, err := decodeNext(data, &msg)
		if err != nil {
			return err
		}
		k := kindOf(&msg)
		c.t.received.add(k, len(data)-len(rest))
		data = rest
		c.dispatch(k, msg)
	}
	return nil
}

func (c *conn) dispatch(k kind, msg api.PeerMessage) {
	c.lastUsed.Store(time.Now().UnixNano())
	if msg.Reply {
		if waiting := c.removeCall(msg.ID); waiting != nil {
			waiting.done <- result{msg: msg}
		}
		return
	}
	if k == kindNone || k == kindHandshake {
		c.refuse(msg.ID, "unknown message")
		return
	}
	if c.handlers.Add(1) > int64(c.t.opts.MaxHandlers) {
		c.handlers.Add(-1)
		c.refuse(msg.ID, "too many requests in progress")
		return
	}
	c.goroutines.Add(1)
	go c.handle(msg)
}

func (c *conn) handle(msg api.PeerMessage) {
	defer c.goroutines.Done()
	defer c.handlers.Add(-1)
	reply := c.t.opts.Handler.HandlePeer(c.ctx, c.id.router, msg)
	if msg.ID == 0 {
		return
	}
	if reply == nil {
		reply = &api.PeerMessage{Error: &api.PeerError{Text: "no reply"}}
	}
	c.reply(msg.ID, *reply)
}

func (c *conn) refuse(id uint64, text string) {
	c.t.refused.Inc(1)
	if id != 0 {
		c.reply(id, api.PeerMessage{Error: &api.PeerError{Text: text, NotRun: true}})
	}
}

// reply takes the message by value, because it sets fields and the handler may keep a
// pointer to its reply.
func (c *conn) reply(id uint64, msg api.PeerMessage) {
	msg.ID = id
	msg.Reply = true
	k := kindOf(&msg)
	buf := encode(&msg)
	defer releaseBuffer(buf)
	if k == kindNone || c.t.checkSize(buf.Len()) != nil {
		c.reply(id, api.PeerMessage{Error: &api.PeerError{Text: "invalid or too large reply"}})
		return
	}
	if c.send(k, buf.Bytes()) != nil {
		c.t.dropped.Inc(1)
	}
}

// checkTimeouts closes the connection after a write timeout. On the dialing side it
// also closes an idle connection and pings a silent peer.
func (c *conn) checkTimeouts(now time.Time) {
	if since := c.writeSince.Load(); since != 0 && elapsed(now, since) > c.t.opts.WriteTimeout {
		c.close(errWriteTimeout)
		return
	}
	if c.dialed && c.isIdle(now) {
		c.closeIdle()
		return
	}
	if c.dialed && elapsed(now, c.lastReceived.Load()) > c.t.opts.PingInterval {
		c.probe()
	}
}

func elapsed(now time.Time, since int64) time.Duration {
	return time.Duration(now.UnixNano() - since)
}

func (c *conn) isIdle(now time.Time) bool {
	if elapsed(now, c.lastUsed.Load()) < c.t.opts.IdleTimeout || c.handlers.Load() > 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls) == 0 && len(c.queue) == 0
}

// closeIdle closes the connection with a WebSocket close frame, so that the peer does
// not take it for a failure.
func (c *conn) closeIdle() {
	c.background(func() {
		if !c.failCalls(errIdle) {
			return
		}
		_ = c.ws.Close(websocket.StatusNormalClosure, errIdle.Error())
		c.cancel()
	})
}

// background runs f in a goroutine that run waits for. Once the connection is closed
// it does nothing, because run may no longer be waiting.
func (c *conn) background(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.goroutines.Go(f)
	}
}

// probe pings the peer in the background, unless a ping is in progress. The connection
// is closed when the ping is not answered within PingTimeout.
func (c *conn) probe() {
	if !c.probing.CompareAndSwap(false, true) {
		return
	}
	c.background(c.ping)
}

func (c *conn) ping() {
	defer c.probing.Store(false)
	c.t.pings.Inc(1)
	ctx, cancel := context.WithTimeout(c.ctx, c.t.opts.PingTimeout)
	defer cancel()
	if err := c.ws.Ping(ctx); err != nil {
		c.close(fmt.Errorf("%w: %w", errPingTimeout, err))
		return
	}
	c.lastReceived.Store(time.Now().UnixNano())
}

// close closes the connection at once. Only the first reason is kept.
func (c *conn) close(reason error) {
	c.failCalls(reason)
	c.cancel()
	_ = c.ws.CloseNow()
}

// failCalls marks the connection as closed, so that it takes no new messages, and
// fails all calls in flight: with ErrUnreachable if the write of their chunk has not
// begun, else with ErrNoReply. It reports whether the connection was open before.
func (c *conn) failCalls(reason error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return false
	}
	c.err = reason
	close(c.closed)
	for id, waiting := range c.calls {
		failure := &CallError{Addr: c.addr, Kind: ErrNoReply, Cause: reason}
		if waiting.chunk > c.chunksStarted {
			failure.Kind = ErrUnreachable
		}
		waiting.done <- result{err: failure}
		delete(c.calls, id)
	}
	c.queue = nil
	return true
}
