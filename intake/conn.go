package intake

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/overload"
)

const (
	// fieldBytes is about what net/http keeps for a short field of a head: an entry of a map, its
	// values and their strings.
	fieldBytes = 256
	// writeSlice is the time after which a write that has not ended is looked at.
	writeSlice = overload.ProgressWindow
	// refusalTimeout bounds the writing of tooManyFields.
	refusalTimeout = 100 * time.Millisecond
)

const tooManyFields = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

var (
	errHead   = errors.New("intake: head of the request is beyond the limits")
	errUnread = errors.New("intake: the caller does not read")
)

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	listener *Listener
	id       uint64
	cost     *overload.Lease

	// inHead is set while the head of a request is expected or read.
	inHead atomic.Bool
	// The following are used by the goroutine that reads.
	lines     int  // lines of the head so far
	lineBegun bool // whether the current line has bytes
	bodyBytes int  // bytes of the body since the last recorded progress
	receiving bool // whether the connection waits for a body

	mu        sync.Mutex
	closed    bool
	inRequest bool            // whether a request is served
	head      *overload.Lease // of the current head; nil if there is none
}

// expectHead begins the count of the next head. Up to 4 KiB of a request that was sent ahead may be in
// the buffer of net/http's server already; they are not counted.
func (c *Conn) expectHead() {
	c.mu.Lock()
	c.head.Release()
	c.head = nil
	if c.inRequest && !c.closed {
		c.cost.Shrink(requestBytes)
	}
	c.inRequest = false
	c.mu.Unlock()
	c.lines, c.lineBegun, c.bodyBytes, c.receiving = 0, false, 0, false
	c.inHead.Store(true)
}

// beginRequest is called when a head has been read. Its bytes stay in the account until the response
// has been sent.
func (c *Conn) beginRequest() {
	c.inHead.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inRequest && !c.closed {
		c.inRequest = true
		c.cost.Charge(requestBytes)
	}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if c.inHead.Load() {
		return c.readHead(b)
	}
	// While a handler runs, net/http's server reads a single byte to notice that the caller has
	// disconnected. Other reads are for the body.
	if forBody := len(b) > 1; forBody != c.receiving {
		c.receiving = forBody
		state := overload.Busy
		if forBody {
			state = overload.Waiting
		}
		c.listener.table.SetState(time.Now(), c.id, state)
	}
	n, err := c.Conn.Read(b)
	if c.receiving {
		if c.bodyBytes += n; c.bodyBytes >= overload.ProgressBytes {
			c.bodyBytes = 0
			c.listener.table.RecordProgress(time.Now(), c.id)
		}
	}
	return n, err
}

func (c *Conn) readHead(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.countHead(b[:n]) {
		_ = c.Close()
		// An error of this type makes net/http's server close without an answer of its own.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHead}
	}
	return n, err
}

// countHead counts the bytes and fields of a head. It returns false if they are beyond the limits,
// after the caller has been told if it is for the number of fields.
func (c *Conn) countHead(b []byte) bool {
	config := &c.listener.config
	before := c.lines
	read := c.countLines(b)
	if config.MaxHeaderFields > 0 && c.lines > config.MaxHeaderFields+1 {
		c.listener.record("header_fields", c)
		_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = c.Conn.Write([]byte(tooManyFields))
		return false
	}
	ok := c.charge(int64(read + (c.lines-before)*fieldBytes))
	if !ok {
		c.listener.record("header_memory", c)
	}
	return ok
}

// charge adds to the account of the current head.
func (c *Conn) charge(n int64) (ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	if c.head != nil {
		return c.head.Grow(n)
	}
	c.listener.table.SetState(time.Now(), c.id, overload.Reading)
	c.head, ok = c.listener.config.Account.Reserve(overload.Heads, n, true)
	return ok
}

// countLines counts the lines of b up to the end of the head, and returns the bytes that belong to it.
func (c *Conn) countLines(b []byte) int {
	rest := b
	for {
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			c.lineBegun = c.lineBegun || len(bytes.TrimRight(rest, "\r")) > 0
			return len(b)
		}
		empty := !c.lineBegun && len(bytes.TrimRight(rest[:end], "\r")) == 0
		rest = rest[end+1:]
		if empty && c.lines > 0 {
			c.inHead.Store(false)
			return len(b) - len(rest)
		}
		c.lines++
		c.lineBegun = false
	}
}

// Write implements net.Conn. It ends the connection when the caller reads nothing for WriteTimeout, or
// for writeSlice while the account is pressed, and when the account chooses it as a victim.
func (c *Conn) Write(b []byte) (int, error) {
	config := &c.listener.config
	if config.WriteTimeout <= 0 {
		return c.Conn.Write(b)
	}
	var lease *overload.Lease
	defer func() { lease.Release() }()
	written, stalled := 0, time.Duration(0)
	for {
		now := time.Now()
		if err := c.SetWriteDeadline(now.Add(writeSlice)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			if lease != nil {
				c.listener.table.SetState(time.Now(), c.id, overload.Busy)
			}
			return written, err
		}
		if stalled += writeSlice; n > 0 {
			stalled = 0
		}
		if stalled >= config.WriteTimeout || stalled > 0 && config.Account.Pressed() {
			c.listener.record("unread", c)
			_ = c.Close()
			return written, errUnread
		}
		if lease == nil {
			c.listener.table.SetState(now, c.id, overload.Waiting)
			lease = config.Account.Track(overload.Unread, int64(len(b)-written))
			lease.Watch(now, int64(len(b)), func() { _ = c.Close() })
		}
		lease.Progress(time.Now(), n)
		if n >= overload.ProgressBytes {
			c.listener.table.RecordProgress(time.Now(), c.id)
		}
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.head.Release()
	c.head = nil
	c.mu.Unlock()
	if first {
		c.cost.Release()
		c.listener.table.Remove(c.id)
		c.listener.mu.Lock()
		delete(c.listener.conns, c.id)
		c.listener.mu.Unlock()
	}
	return err
}

// CloseWrite closes the side of the connection to the caller. net/http's server needs it to end a
// connection whose request it has not read to the end without a reset that would drop the response.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
