package gateway

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/balance"
	"github.com/hornbeamproxy/hornbeamproxy/routing"
	"github.com/hornbeamproxy/hornbeamproxy/upstream"
)

// errCallerGone means that an attempt ended because the caller disconnected.
var errCallerGone = errors.New("gateway: caller disconnected")

// errEndpointFailed means that the endpoint answered with a 5xx status, or did not
// answer before the request's deadline.
var errEndpointFailed = errors.New("gateway: endpoint failed the request")

// maxSkippedResponses bounds the number of responses to other requests that are discarded
// on a connection while the router waits for the response to the current request.
const maxSkippedResponses = 2

// maxMisdirected bounds the sends of a request to addresses that belong to another endpoint
// meanwhile and that do not count towards the route's limit.
const maxMisdirected = 2

// The deadline that is sent to the endpoint is responseMargin earlier than the router's own
// deadline for the request, so that the endpoint's final response still arrives in time.
const responseMargin = 5 * time.Millisecond

// attempt sends the request to one endpoint and forwards the response.
func (x *exchange) attempt() result {
	state, refused := x.pick()
	if state == nil {
		return refused
	}
	x.tried = append(x.tried, state.Endpoint)
	x.answerBegan, x.answerRecorded = time.Time{}, false
	pool := x.g.pool(state)
	x.addOwnTime()
	conn, err := x.connect(pool)
	x.ownSince = time.Now()
	if err != nil {
		return x.handleNotSent(state, err)
	}
	return x.exchangeOn(conn, pool, state)
}

// handleNotSent handles a failure before any byte of the request was sent.
func (x *exchange) handleNotSent(state *balance.State, err error) result {
	x.release(state, x.errOrCallerGone(err))
	return result{refusal: api.RefusalEndpointDown, retry: api.RetryReasonConnectFailed, notSent: true, retryAfter: retryAfterShort}
}

// pool returns the connection pool of an endpoint, creating it on first use.
func (g *Gateway) pool(state *balance.State) *upstream.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	pool, ok := g.pools[state.Endpoint]
	if !ok {
		pool = upstream.NewPool(state.Endpoint.Address, dialTimeout)
		g.pools[state.Endpoint] = pool
	}
	return pool
}

// recordCachedPrompt tells the balancer that the endpoint has the prompt with the
// key in its cache.
func (g *Gateway) recordCachedPrompt(key uint64, state *balance.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.RecordHolder(time.Now(), key, state.Endpoint)
}

// connect returns an idle connection or dials a new one.
func (x *exchange) connect(pool *upstream.Pool) (*upstream.Conn, error) {
	if conn := pool.TakeIdle(time.Now()); conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.g.metrics.Counter("upstream.dials").Inc(1)
	return pool.Dial(ctx)
}

// errOrCallerGone returns errCallerGone if the caller has disconnected, and err
// otherwise. The router closes the endpoint's connection when the caller disconnects; the
// error that this causes must not count as a failure of the endpoint.
func (x *exchange) errOrCallerGone(err error) error {
	if x.r.Context().Err() != nil {
		return errCallerGone
	}
	return err
}

// exchangeOn sends the request on a connection and handles the response.
func (x *exchange) exchangeOn(conn *upstream.Conn, pool *upstream.Pool, state *balance.State) result {
	stop := context.AfterFunc(x.r.Context(), func() { conn.Close() })
	defer stop()
	conn.SetDeadline(x.deadline)
	defer x.g.onEnd(func() { conn.SetDeadline(time.Now()) })()
	conn.SetRequestRetryable(x.route.Repeatable())
	remaining := time.Until(x.deadline) - responseMargin
	options := SendOptions{
		EndpointID: state.Endpoint.ID, Remaining: remaining, ResumeAfter: x.stream.lastID,
		Priority: priority(x.route, x.workspace), CopyFrom: x.copyFrom,
	}
	if x.workspace != nil {
		options.Workspace = x.workspace.Name
	}
	buffer := getBuffer()
	defer putBuffer(buffer)
	buffer.b = x.g.config.Codec.AppendRequest(buffer.b[:0], x.request, options)
	if err := conn.Send(buffer.b); err != nil {
		if errors.Is(err, upstream.ErrNotSent) {
			conn.Close()
			return x.handleNotSent(state, err)
		}
		x.sends++
		return x.handleNoResponse(conn, state, err)
	}
	x.sends++
	x.work.sent = time.Now()
	x.addOwnTime()
	// The connection owns the body, and is itself released or closed after the response.
	response, head, err := x.receive(conn) //nolint:bodyclose // see above
	x.ownSince = time.Now()
	if err != nil {
		return x.handleNoResponse(conn, state, err)
	}
	return x.handleResponse(conn, pool, state, response, head)
}

// receive reads the head of the response to this request. It discards up to
// maxSkippedResponses responses that carry the id of another request.
func (x *exchange) receive(conn *upstream.Conn) (*http.Response, ResponseHead, error) {
	for skipped := 0; ; skipped++ {
		response, err := conn.Receive(x.r)
		if err != nil {
			return nil, ResponseHead{}, err
		}
		head := x.g.config.Codec.ParseResponse(response)
		// Without an id the response may be a copy of that to an earlier request on the
		// connection.
		head.Unidentified = head.ID == "" && conn.Reused
		if head.ID == x.request.ID || head.ID == "" || skipped == maxSkippedResponses {
			return response, head, nil
		}
		x.g.metrics.Counter("upstream.skipped_answers").Inc(1)
		if err := discardBody(response); err != nil {
			return nil, ResponseHead{}, err
		}
	}
}

// handleNoResponse handles a connection that failed after the request may have been
// sent and before the head of its response arrived.
func (x *exchange) handleNoResponse(conn *upstream.Conn, state *balance.State, err error) result {
	x.mayHaveRun = true
	failure := result{refusal: api.RefusalUpstreamFailed, retry: api.RetryReasonResponseCut}
	if errors.Is(err, upstream.ErrNoResponse) || errors.Is(err, errBodyTooLarge) {
		x.g.metrics.Counter("upstream.no_response").Inc(1)
		failure = result{refusal: api.RefusalUpstreamMismatch, retry: api.RetryReasonResponseMismatch}
	}
	return x.handleBroken(conn, state, err, errEndpointFailed, failure)
}

// handleBroken handles a connection that failed while the endpoint worked on the request.
// It closes the connection and passes an error to release. If err shows that the request's
// deadline has passed, this error is timeoutErr, and handleBroken returns a result that
// refuses the request as RefusalDeadlineExceeded. Otherwise the error is err, or
// errCallerGone if the caller has disconnected, and handleBroken returns failure.
func (x *exchange) handleBroken(conn *upstream.Conn, state *balance.State, err, timeoutErr error, failure result) result {
	conn.Close()
	if x.g.ended() {
		x.release(state, errCallerGone)
		return result{refusal: api.RefusalShuttingDown}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		x.release(state, timeoutErr)
		return result{refusal: api.RefusalDeadlineExceeded}
	}
	err = x.errOrCallerGone(err)
	if !errors.Is(err, errCallerGone) {
		x.recordBroken(state)
	}
	x.release(state, err)
	return failure
}

// handleResponse forwards a response, or returns why it cannot be used. There are four
// reasons: the response belongs, or may belong, to another request; the endpoint did not run the request;
// the response does not come from the endpoint's application; it is a success with an
// encoded body.
func (x *exchange) handleResponse(conn *upstream.Conn, pool *upstream.Pool, state *balance.State, response *http.Response, head ResponseHead) result {
	if head.Unidentified || head.ID != "" && head.ID != x.request.ID {
		conn.Close()
		x.mayHaveRun = true
		x.release(state, nil)
		return result{refusal: api.RefusalUpstreamMismatch, retry: api.RetryReasonResponseMismatch}
	}
	x.noteLeaving(state.Endpoint, head)
	x.observeReport(state, head)
	if head.NotRun || head.Misdirected {
		return x.handleNotRun(conn, pool, state, response, head)
	}
	x.mayHaveRun = true
	x.g.firstByte.UpdateSince(x.arrived)
	success := response.StatusCode >= 200 && response.StatusCode < 300
	if !head.Signed || success && head.Encoded {
		conn.Close()
		x.release(state, nil)
		return result{refusal: api.RefusalUpstreamMismatch, retry: api.RetryReasonResponseMismatch}
	}
	continues := success && x.stream.continuedBy(response)
	if x.stream.started && !continues {
		return x.handleNotResumed(conn, pool, state, response)
	}
	if success && x.route.Kind == routing.Stream {
		x.g.recordCachedPrompt(x.promptKey, state)
		return x.forwardStream(conn, pool, state, response)
	}
	return x.forwardBuffered(conn, pool, state, response)
}

// handleNotResumed handles a response that does not continue the stream of which the caller has a
// part: nothing of it may reach the caller.
func (x *exchange) handleNotResumed(conn *upstream.Conn, pool *upstream.Pool, state *balance.State, response *http.Response) result {
	if err := discardBody(response); err == nil {
		pool.Release(conn, response, time.Now())
	} else {
		conn.Close()
	}
	var outcome error
	if response.StatusCode >= http.StatusInternalServerError {
		outcome = errEndpointFailed
	}
	x.release(state, outcome)
	x.log("stream not resumed", string(api.RefusalUpstreamIncomplete), zap.Int("status", response.StatusCode))
	return result{refusal: api.RefusalUpstreamIncomplete, retry: api.RetryReasonEndpointError}
}

// pause keeps the requests of this router away from an endpoint that has asked for it.
func (x *exchange) pause(state *balance.State, d time.Duration) {
	x.g.mu.Lock()
	d = state.Pause(time.Now(), d)
	x.g.mu.Unlock()
	x.g.metrics.Counter("endpoints.paused").Inc(1)
	x.log("endpoint asks for a pause", string(api.RefusalEndpointPaused), zap.Duration("pause", d))
}

// markMisdirected ejects an endpoint whose address now belongs to another endpoint, so
// that requests for the ejected one are no longer sent to that address.
func (g *Gateway) markMisdirected(state *balance.State, requestID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state.MarkMisdirected(time.Now())
	g.logger.Warn("endpoint is not at its address", zap.String("endpoint", state.Endpoint.ID),
		zap.String("address", state.Endpoint.Address), zap.String("request", requestID))
}

// handleNotRun handles a response that shows that the request did not run: the endpoint
// refused it, or another endpoint answered at the address.
func (x *exchange) handleNotRun(conn *upstream.Conn, pool *upstream.Pool, state *balance.State, response *http.Response, head ResponseHead) result {
	if err := discardBody(response); err == nil {
		pool.Release(conn, response, time.Now())
	} else {
		x.log("connection closed", string(api.RefusalUpstreamMismatch), zap.Error(err))
		conn.Close()
	}
	if head.Pause > 0 && head.ID == x.request.ID {
		x.pause(state, head.Pause)
	}
	x.release(state, nil)
	if head.Misdirected {
		if x.misdirected < maxMisdirected {
			// The endpoint was not reached, so that the request may still go to as many as the
			// route allows.
			x.misdirected++
			x.sends--
		}
		x.g.markMisdirected(state, x.request.ID)
		return result{refusal: api.RefusalEndpointWithdrawn, retry: api.RetryReasonRefusedByEndpoint, retryAfter: retryAfterMove}
	}
	return result{refusal: api.RefusalEndpointFull, retry: api.RetryReasonRefusedByEndpoint, retryAfter: retryAfterFull}
}
