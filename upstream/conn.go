// Package upstream sends requests to endpoints over persistent HTTP/1.1 connections.
// Unlike the client of net/http it reports whether any byte of a request was sent,
// never retries a request by itself, and detects unsolicited bytes from an endpoint.
package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/httpcheck"
)

var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("upstream: request not sent")
	// ErrNoSlot means that the process has as many connections to endpoints as it may have. It
	// comes together with ErrNotSent.
	ErrNoSlot = errors.New("upstream: too many connections to endpoints")
	// ErrBroken means that the connection failed after a byte of the request may have
	// been sent.
	ErrBroken = errors.New("upstream: connection broken")
	// ErrNoResponse means that the endpoint sent bytes that are not the head of a
	// response, or a head that is too large. It comes together with ErrBroken.
	ErrNoResponse = errors.New("upstream: bytes are not a response")

	errHeadTooLarge = fmt.Errorf("%w: head larger than %d bytes", ErrNoResponse, maxHeadBytes)
)

// IsNetworkTimeout reports whether an error of this package means that the endpoint's
// host did not respond at all: dialing timed out, or sent bytes were not acknowledged.
// It is false for a refused or reset connection and for the request's own deadline.
func IsNetworkTimeout(err error) bool {
	var dialErr net.Error
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, ErrNotSent) && errors.As(err, &dialErr) && dialErr.Timeout()
}

const (
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the head of a response together with the informational responses
	// before it. The bound is exceeded by up to readBufferBytes.
	maxHeadBytes = 64 << 10
	// maxInformational is the number of informational responses (status 1xx) that may
	// come before the final one.
	maxInformational = 5
	// idleMargin is subtracted from the idle timeout that an endpoint announces, so
	// that no request is sent while the endpoint is closing the connection.
	idleMargin = 400 * time.Millisecond
	// defaultIdleTimeout is the idle timeout when the endpoint announces none.
	defaultIdleTimeout = 4 * time.Second
)

// Conn is a connection to an endpoint. It carries one request at a time.
type Conn struct {
	net         net.Conn
	pool        *Pool
	raw         syscall.RawConn
	reader      *bufio.Reader
	idleTimeout time.Duration
	idleSince   time.Time
	// Reused is set when the connection has been taken from the idle ones.
	Reused bool
	// headBytesLeft is the number of bytes that may still be read of the head. It is below
	// 0 while no head is read.
	headBytesLeft int
	// folds examines the bytes of the head that is being read.
	folds foldScanner
	// chunks follows the body of the current response.
	chunks chunkScanner
	// requestRetryable is set when the request in flight may be retried or resumed at
	// another endpoint.
	requestRetryable atomic.Bool
	// lastRead is when bytes from the endpoint were last read, in Unix nanoseconds. It
	// is set to the current time when the connection is taken for a request.
	lastRead atomic.Int64
	// heard is set when bytes have arrived since the connection was taken for a request.
	heard atomic.Bool
	// closed is set by Close, so that the pool's slot is returned once.
	closed atomic.Bool
}

func newConn(conn net.Conn, pool *Pool) *Conn {
	c := &Conn{net: conn, pool: pool, idleTimeout: defaultIdleTimeout, headBytesLeft: -1}
	c.reader = bufio.NewReaderSize(activityReader{c}, readBufferBytes)
	if tcp, ok := conn.(*net.TCPConn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			c.raw = raw
		}
	}
	return c
}

// activityReader reads from a connection. It sets lastRead when bytes arrive, passes them to folds and
// chunks, and fails when the head that is being read is larger than maxHeadBytes.
type activityReader struct{ conn *Conn }

func (r activityReader) Read(b []byte) (int, error) {
	if r.conn.headBytesLeft == 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.conn.net.Read(b)
	if r.conn.headBytesLeft > 0 {
		r.conn.headBytesLeft = max(0, r.conn.headBytesLeft-n)
	}
	r.conn.folds.scan(b[:n])
	r.conn.chunks.scan(b[:n])
	if n > 0 {
		r.conn.lastRead.Store(time.Now().UnixNano())
		r.conn.heard.Store(true)
	}
	return n, err
}

// SetRequestRetryable sets whether the next request may be retried or resumed at
// another endpoint, so that CloseStalled may close the connection.
func (c *Conn) SetRequestRetryable(retryable bool) { c.requestRetryable.Store(retryable) }

// SetDeadline bounds all reads and writes that follow.
func (c *Conn) SetDeadline(t time.Time) { _ = c.net.SetDeadline(t) }

// Close closes the connection and removes it from its pool.
func (c *Conn) Close() {
	c.pool.unmarkBusy(c)
	_ = c.net.Close()
	if c.closed.CompareAndSwap(false, true) && c.pool.Slots != nil {
		c.pool.Slots.Release()
	}
}

// Send writes a complete request. Errors: ErrNotSent, ErrBroken.
func (c *Conn) Send(request []byte) error {
	n, err := c.net.Write(request)
	return sendError(int64(n), err)
}

// SendParts writes a complete request that is held in several parts, without a copy of them. It
// consumes parts. Errors: ErrNotSent, ErrBroken.
func (c *Conn) SendParts(parts net.Buffers) error {
	n, err := parts.WriteTo(c.net)
	return sendError(n, err)
}

// sendError classifies the error of a write of which n bytes have left.
func sendError(n int64, err error) error {
	switch {
	case err == nil:
		return nil
	case n == 0:
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	default:
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
}

// Receive reads the head of the next final response. Errors: ErrBroken, and also
// ErrNoResponse if the bytes that arrived are not a response.
func (c *Conn) Receive(request *http.Request) (*http.Response, error) {
	c.headBytesLeft = maxHeadBytes
	c.chunks = chunkScanner{}
	defer func() { c.headBytesLeft = -1 }()
	for range maxInformational + 1 {
		response, err := c.readHead(request)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		if response.StatusCode >= 200 {
			if slices.Equal(response.TransferEncoding, []string{"chunked"}) {
				c.chunks = newChunkScanner()
				buffered, _ := c.reader.Peek(c.reader.Buffered()) // never fails
				c.chunks.scan(buffered)
			}
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("%w: %w: status 101", ErrBroken, ErrNoResponse)
		}
	}
	return nil, fmt.Errorf("%w: %w: over %d informational responses", ErrBroken, ErrNoResponse, maxInformational)
}

// readHead reads and checks the head of the next response, which may be an informational one.
// Errors: ErrNoResponse, or that of the connection.
func (c *Conn) readHead(request *http.Request) (*http.Response, error) {
	c.folds = foldScanner{}
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // never fails
	c.folds.scan(buffered)
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return nil, classifyHeadError(err)
	}
	if err := httpcheck.Response(response); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	if c.folds.found {
		return nil, fmt.Errorf("%w: a line of the head begins with a blank", ErrNoResponse)
	}
	return response, nil
}

// classifyHeadError adds ErrNoResponse to an error of http.ReadResponse unless it comes from
// the connection.
func classifyHeadError(err error) error {
	var netErr net.Error
	if errors.Is(err, ErrNoResponse) || errors.As(err, &netErr) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrNoResponse, err)
}

// Framing returns what has been read of the chunks of the current response's body.
func (c *Conn) Framing() Framing { return c.chunks.framing }

// Buffered reports whether bytes have been read that no response has consumed. After a
// complete response they are unsolicited.
func (c *Conn) Buffered() bool { return c.reader.Buffered() > 0 }

// openAndDrained reports whether the idle connection is open and has nothing to read.
// A pending byte would be unsolicited, and end of file would mean that the endpoint has
// closed the connection.
func (c *Conn) openAndDrained() bool {
	if c.raw == nil {
		return true
	}
	nothingToRead := false
	var one [1]byte
	err := c.raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), one[:])
		nothingToRead = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && nothingToRead
}

// setIdleTimeout sets the idle timeout to that in the Keep-Alive header of a response, less
// idleMargin. Without one, the idle timeout stays as it is.
func (c *Conn) setIdleTimeout(header http.Header) {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.idleTimeout = time.Duration(seconds)*time.Second - idleMargin
		}
	}
}
