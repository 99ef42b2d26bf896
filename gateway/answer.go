package gateway

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/balance"
	"github.com/hornbeamproxy/hornbeamproxy/upstream"
)

const (
	// maxBuffered is the size up to which an answer is held until it is whole, so
	// that one that breaks off can be repeated or told plainly.
	maxBuffered = 1 << 20
	// bufferBytes is the size of a pooled buffer: most requests fit.
	bufferBytes = 16 << 10
	// maxPooledBytes is the size above which a buffer is not kept.
	maxPooledBytes = 128 << 10
)

type buffer struct{ b []byte }

var buffers = sync.Pool{New: func() any { return &buffer{b: make([]byte, 0, bufferBytes)} }}

func getBuffer() *buffer { return buffers.Get().(*buffer) }

func putBuffer(b *buffer) {
	if cap(b.b) <= maxPooledBytes {
		buffers.Put(b)
	}
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyHead passes on the headers of an endpoint's answer.
func copyHead(w http.ResponseWriter, response *http.Response) {
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
	// Nil values keep the server from adding its own.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			header[name] = nil
		}
	}
}

// bufferedAnswer is a whole answer of an endpoint.
type bufferedAnswer struct {
	response *http.Response
	body     []byte
	closing  bool // the caller's connection is closed after it
}

func (a *bufferedAnswer) write(w http.ResponseWriter) {
	copyHead(w, a.response)
	if a.closing {
		w.Header().Set("Connection", "close")
	}
	if a.response.Request == nil || a.response.Request.Method != http.MethodHead {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.response.StatusCode)
	_, _ = w.Write(a.body)
}

// passWhole reads an answer to its end before it passes it on.
func (x *exchange) passWhole(conn *upstream.Conn, pool *upstream.Pool, state *balance.State, response *http.Response) result {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBuffered+1))
	x.ownSince = time.Now()
	if err == nil && len(body) > maxBuffered {
		return x.passLong(conn, pool, state, response, body)
	}
	if err != nil {
		return x.broken(conn, state, err, nil, result{refusal: api.RefusalUpstreamIncomplete, retry: api.RetryReasonResponseCut})
	}
	pool.Keep(conn, response, time.Now())
	var outcome error
	if response.StatusCode >= http.StatusInternalServerError {
		outcome = errErred
	}
	x.release(state, outcome)
	answer := &bufferedAnswer{response: response, body: body, closing: x.g.draining.Load()}
	if outcome != nil && x.route.Repeatable() {
		x.failure = answer
		return result{refusal: api.RefusalUpstreamFailed, retry: api.RetryReasonEndpointError}
	}
	answer.write(x.w)
	x.begun()
	x.g.metrics.Counter("answers.whole").Inc(1)
	return result{done: true}
}

// passLong passes on an answer that is too large to hold.
func (x *exchange) passLong(conn *upstream.Conn, pool *upstream.Pool, state *balance.State, response *http.Response, head []byte) result {
	copyHead(x.w, response)
	if response.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	x.w.WriteHeader(response.StatusCode)
	_, err := x.w.Write(head)
	if err == nil {
		_, err = io.Copy(x.w, response.Body)
	}
	if err != nil {
		conn.Close()
		x.release(state, x.blame(err))
		x.cut(zap.Error(err))
	}
	pool.Keep(conn, response, time.Now())
	x.release(state, nil)
	return result{done: true}
}

// refuse gives an answer of the router's own.
func (x *exchange) refuse(status int, reason api.Refusal, retryAfter time.Duration) {
	x.g.metrics.Refused(reason)
	x.log("refused", string(reason), zap.Int("status", status))
	header := x.w.Header()
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	body := "{\"refused\":\"" + string(reason) + "\"}\n"
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	_, _ = io.WriteString(x.w, body)
}

// log writes a line about a decision on the request.
func (x *exchange) log(message, reason string, fields ...zap.Field) {
	if x.request != nil {
		fields = append(fields, zap.String("request", x.request.ID))
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name), zap.String("service", x.service))
	}
	if len(x.tried) > 0 {
		fields = append(fields, zap.String("endpoint", x.tried[len(x.tried)-1].ID))
	}
	fields = append(fields, zap.String("reason", reason), zap.Int("sends", x.sends),
		zap.Bool("may_have_run", x.mayHaveRun), zap.Duration("age", time.Since(x.arrived)))
	if x.table != nil {
		fields = append(fields, zap.Uint64("revision", x.table.Revision))
	}
	x.g.logger.Info(message, fields...)
}
