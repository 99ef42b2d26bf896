package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/overload"
	"github.com/hornbeamproxy/hornbeamproxy/upstream"
)

const (
	// bodySegmentBytes is the size of the segments of a body whose length is not declared.
	bodySegmentBytes = 64 << 10
	// firstSegmentBytes is the size of the first one: most such bodies fit.
	firstSegmentBytes = 4 << 10
	// copiedBodyBytes is the size up to which a body is copied behind its head, so that the request
	// leaves with one plain write. A larger one is written from where it is held.
	copiedBodyBytes = 8 << 10
	// unreadBodyTimeout bounds the reading of a body that is not used.
	unreadBodyTimeout = time.Second
)

// Body is the body of a request in segments, which are sent in order.
type Body [][]byte

// Len returns the size of the body in bytes.
func (b Body) Len() int {
	size := 0
	for _, segment := range b {
		size += len(segment)
	}
	return size
}

var (
	errOverBudget   = errors.New("gateway: no memory for the body")
	errBodyOverSize = errors.New("gateway: body is larger than the limit")
)

// readBody reads the caller's body within the limits of size, time and memory. It returns
// false if the request has been refused.
func (x *exchange) readBody() bool {
	limit := x.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if x.r.ContentLength > limit {
		x.refuse(http.StatusRequestEntityTooLarge, api.RefusalBodyTooLarge, 0)
		return false
	}
	if x.r.ContentLength == 0 {
		return true
	}
	declared := max(x.r.ContentLength, 0)
	lease, ok := x.g.account.Reserve(overload.Bodies, declared, declared <= overload.SmallBytes)
	if !ok {
		x.refuseForMemory("overload.memory")
		return false
	}
	x.body = lease
	control := http.NewResponseController(x.w)
	err := control.SetReadDeadline(x.arrived.Add(x.g.bodyTimeout))
	expire := func() { _ = control.SetReadDeadline(time.Now()) }
	defer x.g.onEnd(expire)()
	lease.Watch(x.arrived, declared, expire)
	if err == nil {
		x.request.Body, err = x.receiveBody(limit)
	}
	lease.Unwatch()
	if err == nil {
		err = control.SetReadDeadline(time.Time{})
	}
	if err != nil {
		x.releaseBody()
		x.refuseBody(err)
	}
	x.bodyRead = err == nil
	return x.bodyRead
}

// boundUnreadBody bounds the time for which net/http's server waits for the rest of a body that is not
// read, before it sends the response.
func (x *exchange) boundUnreadBody() {
	if x.r.ContentLength != 0 && !x.bodyRead {
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

// refuseBody refuses a request whose body could not be read.
func (x *exchange) refuseBody(err error) {
	switch {
	case x.g.ended():
		x.refuse(http.StatusServiceUnavailable, api.RefusalShuttingDown, retryAfterElsewhere)
	case errors.Is(err, errBodyOverSize):
		x.refuse(http.StatusRequestEntityTooLarge, api.RefusalBodyTooLarge, 0)
	case errors.Is(err, errOverBudget):
		x.refuseForMemory("overload.memory")
	case x.body.Ended():
		x.refuseForMemory("overload.body_ended")
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.refuse(http.StatusRequestTimeout, api.RefusalBadRequest, 0)
	default:
		x.refuse(http.StatusBadRequest, api.RefusalBadRequest, 0)
	}
}

// refuseForMemory refuses a request whose body does not fit into the account. The connection is
// closed, since the rest of the body would have to be read before the next request on it.
func (x *exchange) refuseForMemory(counter string) {
	x.g.metrics.Counter(counter).Inc(1)
	x.w.Header().Set("Connection", "close")
	x.refuse(http.StatusServiceUnavailable, api.RefusalMemory, retryAfterMemory)
}

// receiveBody reads the body. One whose length is declared takes a single segment, which is in the
// account already.
func (x *exchange) receiveBody(limit int64) (Body, error) {
	if x.r.ContentLength > 0 {
		segment := make([]byte, x.r.ContentLength)
		n, err := x.fill(segment)
		if n < len(segment) {
			return nil, errors.Join(io.ErrUnexpectedEOF, err)
		}
		return Body{segment}, nil
	}
	var body Body
	for size := int64(0); ; {
		next := int64(bodySegmentBytes)
		switch size {
		case 0:
			next = firstSegmentBytes
		case firstSegmentBytes:
			// Both together are still a small body.
			next = overload.SmallBytes - firstSegmentBytes
		}
		if !x.body.Grow(next) {
			return nil, errOverBudget
		}
		segment := make([]byte, next)
		n, err := x.fill(segment)
		if size += int64(n); size > limit {
			return nil, errBodyOverSize
		}
		if n > 0 {
			body = append(body, segment[:n])
		}
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// fill reads until b is full, and returns the error of the body, io.EOF at its end, if it is not
// filled.
func (x *exchange) fill(b []byte) (int, error) {
	n := 0
	for n < len(b) {
		read, err := x.r.Body.Read(b[n:])
		n += read
		if read > 0 {
			x.body.Progress(time.Now(), read)
		}
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// releaseBody drops the request's body.
func (x *exchange) releaseBody() {
	if x.request != nil {
		x.request.Body = nil
	}
	x.body.Release()
}

// releaseSentBody drops the body of a request that has been sent and that can't be sent again: it may
// have run, or it has been sent to as many endpoints as its route allows. In the second case a refusal
// by the endpoint could still lead to one more send, so that the body is kept while there is room.
func (x *exchange) releaseSentBody() {
	if x.route.Repeatable() || x.body == nil {
		return
	}
	if x.mayHaveRun || x.sends >= x.route.MaxEndpoints && x.g.account.Pressed() {
		x.bodyGone = true
		x.releaseBody()
	}
}

// sendRequest writes the request to the endpoint. buffer is for its head. A body is not copied unless
// it is small.
func (x *exchange) sendRequest(conn *upstream.Conn, buffer *buffer, options SendOptions) error {
	buffer.b = x.g.config.Codec.AppendHead(buffer.b[:0], x.request, options)
	if x.request.Body.Len() > copiedBodyBytes {
		return conn.SendParts(append(net.Buffers{buffer.b}, x.request.Body...))
	}
	for _, segment := range x.request.Body {
		buffer.b = append(buffer.b, segment...)
	}
	return conn.Send(buffer.b)
}
