package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/balance"
	"github.com/hornbeamproxy/hornbeamproxy/overload"
	"github.com/hornbeamproxy/hornbeamproxy/upstream"
)

const (
	// maxBufferedBytes is the size up to which a response is read completely before
	// any of it is forwarded. If it is cut off, the request can be retried or the
	// caller gets a refusal with the reason.
	maxBufferedBytes = 256 << 10
	// firstResponseBytes is the buffer for a response of unknown length; it grows by
	// responseGrowth as needed.
	firstResponseBytes = 4 << 10
	responseGrowth     = 8
	// maxDiscardedBytes is the size up to which the body of a response that is not
	// forwarded is read, so that its connection can be used again. Above it, the
	// connection is closed.
	maxDiscardedBytes = 64 << 10
	// maxEventBytes bounds one event of a stream. A caller can't use a part of an event,
	// and a stream can't be resumed after a part, so that a larger one ends the stream as
	// incomplete.
	maxEventBytes = 256 << 10
	// initialBufferBytes is the initial capacity of a pooled buffer: most requests fit.
	initialBufferBytes = 16 << 10
	// maxPooledBytes is the capacity above which a buffer is not returned to the pool.
	maxPooledBytes = 128 << 10
)

type buffer struct{ b []byte }

var buffers = sync.Pool{New: func() any { return &buffer{b: make([]byte, 0, initialBufferBytes)} }}

func getBuffer() *buffer { return buffers.Get().(*buffer) }

func putBuffer(b *buffer) {
	if cap(b.b) <= maxPooledBytes {
		buffers.Put(b)
	}
}

var (
	errBodyTooLarge  = fmt.Errorf("gateway: body that is not forwarded is larger than %d bytes", maxDiscardedBytes)
	errEventTooLarge = fmt.Errorf("gateway: event larger than %d bytes", maxEventBytes)
)

// discardBody reads the body of a response that is not forwarded to its end. After an error
// the connection can't be used again, since the rest of the body would be taken for the next
// response.
func discardBody(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardedBytes+1))
	switch {
	case err != nil:
		return fmt.Errorf("discarding a body: %w", err)
	case n > maxDiscardedBytes:
		return errBodyTooLarge
	}
	return nil
}

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyHeaders copies the end-to-end headers of an endpoint's response to w. It keeps a
// "Connection: close" that the gateway has set on w.
func copyHeaders(w http.ResponseWriter, response *http.Response) {
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	for _, name := range hopHeaders {
		if name != "Connection" {
			delete(header, name)
		}
	}
	if header.Get("Connection") != "close" || response.Header.Get("Connection") != "" {
		delete(header, "Connection")
	}
	// A nil value keeps net/http's server from adding its own header.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			header[name] = nil
		}
	}
}

// bufferedResponse is a complete response of an endpoint.
type bufferedResponse struct {
	response *http.Response
	body     []byte
	closing  bool // close the caller's connection after the response
}

func (r *bufferedResponse) write(w http.ResponseWriter) {
	copyHeaders(w, r.response)
	if r.closing {
		w.Header().Set("Connection", "close")
	}
	if r.response.Request == nil || r.response.Request.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	w.WriteHeader(r.response.StatusCode)
	_, _ = w.Write(r.body)
}

// forwardBuffered reads a response to its end before forwarding it. Responses
// larger than maxBufferedBytes are forwarded as they arrive.
func (x *exchange) forwardBuffered(conn *upstream.Conn, pool *upstream.Pool, state *balance.State, response *http.Response) result {
	lease := x.g.account.Track(overload.Responses, 0)
	defer lease.Release()
	body, whole, err := readResponse(response, lease)
	x.ownSince = time.Now()
	if err == nil && !whole {
		return x.forwardOversized(conn, pool, state, response, body)
	}
	if err != nil {
		return x.handleBroken(conn, state, err, result{refusal: api.RefusalUpstreamIncomplete, retry: api.RetryReasonResponseCut})
	}
	x.returnConn(conn, pool, response)
	var outcome error
	if response.StatusCode >= http.StatusInternalServerError {
		outcome = errEndpointFailed
	} else {
		x.observeWhole()
	}
	x.release(state, outcome)
	buffered := &bufferedResponse{response: response, body: body, closing: x.g.draining.Load()}
	if outcome != nil && x.route.Repeatable() {
		x.failure = buffered
		return result{refusal: api.RefusalUpstreamFailed, retry: api.RetryReasonEndpointError}
	}
	if response.StatusCode < http.StatusMultipleChoices {
		x.recordAnswer()
	}
	x.releaseBody()
	buffered.write(x.w)
	x.recordOwnTime()
	x.g.metrics.Counter("answers.whole").Inc(1)
	return result{done: true}
}

// readResponse reads a body of up to maxBufferedBytes. It returns false if the body is larger, or if
// the account has no room for it, with the part that has been read.
func readResponse(response *http.Response, lease *overload.Lease) (body []byte, whole bool, err error) {
	size := int64(firstResponseBytes)
	if response.ContentLength >= 0 {
		// One byte more lets the end of the body be read without growing.
		size = min(response.ContentLength, maxBufferedBytes) + 1
	}
	for {
		if !lease.Grow(size) {
			return body, false, nil
		}
		grown := make([]byte, len(body), size)
		copy(grown, body)
		lease.Shrink(int64(cap(body)))
		body = grown
		for len(body) < cap(body) {
			n, err := response.Body.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			if err == io.EOF {
				return body, true, nil
			}
			if err != nil {
				return body, false, err
			}
		}
		if len(body) > maxBufferedBytes {
			return body, false, nil
		}
		size = min(responseGrowth*size, maxBufferedBytes+1)
	}
}

// forwardOversized forwards a response that is too large to buffer; head holds the
// part of the body that has been read already.
func (x *exchange) forwardOversized(conn *upstream.Conn, pool *upstream.Pool, state *balance.State, response *http.Response, head []byte) result {
	x.releaseBody()
	copyHeaders(x.w, response)
	if response.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	x.answerBegan = time.Now()
	x.w.WriteHeader(response.StatusCode)
	_, err := callerWriter{x}.Write(head)
	if err == nil {
		_, err = io.Copy(callerWriter{x}, response.Body)
	}
	// Reading fails as well when the caller has left, since the connection is closed then.
	if errors.Is(err, errCallerGone) || err != nil && x.r.Context().Err() != nil {
		conn.Close()
		x.release(state, errCallerGone)
		x.abandon()
	}
	if err != nil {
		conn.Close()
		x.release(state, err)
		x.abortResponse(zap.Error(err))
	}
	x.returnConn(conn, pool, response)
	x.release(state, nil)
	return result{done: true}
}

// refuse answers the request with an error response of the router itself. A
// retryAfter of 0 omits the Retry-After header.
func (x *exchange) refuse(status int, reason api.Refusal, retryAfter time.Duration) {
	x.g.metrics.CountRefusal(reason)
	x.log("refused", string(reason), zap.Int("status", status))
	header := x.w.Header()
	if x.g.draining.Load() {
		header.Set("Connection", "close")
	}
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	x.boundUnreadBody()
	body := "{\"refused\":\"" + string(reason) + "\"}\n"
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	_, _ = io.WriteString(x.w, body)
}

// log logs a decision on the request, with what is known of the request so far.
func (x *exchange) log(message, reason string, fields ...zap.Field) {
	if x.request != nil {
		fields = append(fields, zap.String("request", x.request.ID))
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name), zap.String("service", x.service),
			zap.Stringer("kind", x.route.Kind))
	}
	if x.workspace != nil {
		fields = append(fields, zap.String("workspace", x.workspace.Name))
	}
	if len(x.tried) > 0 {
		fields = append(fields, zap.String("endpoint", x.tried[len(x.tried)-1].ID))
	}
	fields = append(fields, zap.String("reason", reason), zap.Int("sends", x.sends),
		zap.Bool("may_have_run", x.mayHaveRun), zap.Duration("age", time.Since(x.arrived)))
	fields = append(fields, x.room.fields...)
	if x.table != nil {
		fields = append(fields, zap.Uint64("revision", x.table.Revision))
	}
	x.g.logger.Info(message, fields...)
}
