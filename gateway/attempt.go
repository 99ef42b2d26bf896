package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/balance"
	"github.com/hornbeamproxy/hornbeamproxy/routing"
	"github.com/hornbeamproxy/hornbeamproxy/upstream"
)

// errCallerGone means that an attempt ended because the caller disconnected.
var errCallerGone = errors.New("gateway: caller disconnected")

// errEndpointFailed means that the endpoint answered with a 5xx status.
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
	if x.expired() {
		return result{refusal: api.RefusalDeadlineExceeded, notSent: true}
	}
	state, refused := x.pick()
	if state == nil {
		return refused
	}
	x.tried = append(x.tried, state.Endpoint)
	x.answerBegan, x.answerRecorded = time.Time{}, false
	x.sentAt, x.answered, x.reader = time.Now(), false, readerPace{}
	pool := x.g.pool(state)
	x.addOwnTime()
	conn, err := x.connect(pool)
	x.ownSince = time.Now()
	if errors.Is(err, upstream.ErrNoSlot) {
		return x.handleNoSlot(state)
	}
	if err != nil {
		return x.handleNotSent(state, err)
	}
	return x.exchangeOn(conn, pool, state)
}

// handleNotSent handles a failure before any byte of the request was sent.
func (x *exchange) handleNotSent(state *balance.State, err error) result {
	x.version.class = answerShowsNothing
	x.leaveRoom(false)
	switch x.release(state, err) {
	case causeDeadline:
		return result{refusal: api.RefusalDeadlineExceeded, notSent: true}
	case causeShutdown:
		return result{refusal: api.RefusalShuttingDown, notSent: true, retryAfter: retryAfterElsewhere}
	}
	return result{refusal: api.RefusalEndpointDown, retry: api.RetryReasonConnectFailed, notSent: true, retryAfter: retryAfterShort}
}

// pool returns the connection pool of an endpoint, creating it on first use.
func (g *Gateway) pool(state *balance.State) *upstream.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	pool, ok := g.pools[state.Endpoint]
	if !ok {
		pool = upstream.NewPool(state.Endpoint.Address, dialTimeout)
		pool.Slots = g.slots
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
	conn, err := pool.Dial(ctx)
	if errors.Is(err, upstream.ErrNoSlot) && x.g.closeIdle() {
		return pool.Dial(ctx)
	}
	return conn, err
}

// exchangeOn sends the request on a connection and handles the response.
func (x *exchange) exchangeOn(conn *upstream.Conn, pool *upstream.Pool, state *balance.State) result {
	x.unwatch = context.AfterFunc(x.r.Context(), func() { conn.Close() })
	defer x.unwatch()
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
	if err := x.sendRequest(conn, buffer, options); err != nil {
		if errors.Is(err, upstream.ErrNotSent) {
			conn.Close()
			return x.handleNotSent(state, err)
		}
		x.sends++
		return x.handleNoResponse(conn, state, err)
	}
	x.sends++
	x.releaseSentBody()
	x.sentAt = time.Now()
	x.work.sent = x.sentAt
	x.addOwnTime()
	// The connection owns the body, and is itself released or closed after the response.
	response, head, err := x.receive(conn) //nolint:bodyclose // see above
	x.ownSince = time.Now()
	if err != nil {
		return x.handleNoResponse(conn, state, err)
	}
	return x.handleResponse(conn, pool, state, response, head)
}

// returnConn makes a connection idle after a complete response. If the caller has disconnected, its
// connection is being closed and must not be used for another request.
func (x *exchange) returnConn(conn *upstream.Conn, pool *upstream.Pool, response *http.Response) {
	if !x.unwatch() {
		conn.Close()
		return
	}
	pool.Release(conn, response, time.Now())
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
	return x.handleBroken(conn, state, err, failure)
}

// handleBroken handles a connection that failed while the endpoint worked on the request. It closes
// the connection and returns failure, unless the router stops or the request's deadline has passed.
func (x *exchange) handleBroken(conn *upstream.Conn, state *balance.State, err error, failure result) result {
	conn.Close()
	why := x.release(state, err)
	switch why {
	case causeShutdown:
		return result{refusal: api.RefusalShuttingDown}
	case causeDeadline, causeNoAnswer:
		return result{refusal: api.RefusalDeadlineExceeded}
	}
	if why.counts() {
		x.recordBroken(state)
	}
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
		x.version.class = answerWrong
		x.release(state, nil)
		return result{refusal: api.RefusalUpstreamMismatch, retry: api.RetryReasonResponseMismatch}
	}
	x.noteLeaving(state.Endpoint, head)
	x.observeReport(state, head)
	x.observeRoom(head)
	if head.NotRun || head.Misdirected {
		return x.handleNotRun(conn, pool, state, response, head)
	}
	x.mayHaveRun = true
	x.releaseSentBody()
	x.answered = true
	x.g.firstByte.UpdateSince(x.arrived)
	success := response.StatusCode >= 200 && response.StatusCode < 300
	if !head.Signed || success && head.Encoded {
		conn.Close()
		x.version.class = answerWrong
		x.release(state, nil)
		return result{refusal: api.RefusalUpstreamMismatch, retry: api.RetryReasonResponseMismatch}
	}
	x.recordAccepted(state)
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
		x.returnConn(conn, pool, response)
	} else {
		conn.Close()
	}
	var outcome error
	if response.StatusCode >= http.StatusInternalServerError {
		outcome = errEndpointFailed
	}
	x.version.class = answerWrong
	x.release(state, outcome)
	x.log("stream not resumed", string(api.RefusalUpstreamIncomplete), zap.Int("status", response.StatusCode))
	return result{refusal: api.RefusalUpstreamIncomplete, retry: api.RetryReasonEndpointError}
}

// recordAccepted records that an endpoint has not refused the request.
func (x *exchange) recordAccepted(state *balance.State) {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	state.RecordAccepted(time.Now())
}

// pause keeps the requests of this router away from an endpoint that has asked for it.
func (x *exchange) pause(state *balance.State, d time.Duration) {
	x.g.mu.Lock()
	d = state.Pause(time.Now(), d)
	x.g.mu.Unlock()
	x.g.metrics.Counter("endpoints.paused").Inc(1)
	x.g.config.Reporter.EndpointPaused(x.service, d)
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
		x.returnConn(conn, pool, response)
	} else {
		x.log("connection closed", string(api.RefusalUpstreamMismatch), zap.Error(err))
		conn.Close()
	}
	if head.Pause > 0 && head.ID == x.request.ID {
		x.pause(state, head.Pause)
	}
	x.version.class = answerShowsNothing
	x.leaveRoom(false)
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
	x.recordFull()
	return result{refusal: api.RefusalEndpointFull, retry: api.RetryReasonRefusedByEndpoint, retryAfter: retryAfterFull}
}
