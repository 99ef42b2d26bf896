package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/balance"
	"github.com/hornbeamproxy/hornbeamproxy/routing"
	"github.com/hornbeamproxy/hornbeamproxy/upstream"
)

// errCallerGone says that a try ended because the caller left.
var errCallerGone = errors.New("gateway: caller has left")

// errErred says that the endpoint answered with a failure of its own, or let the time
// of a request pass without an answer.
var errErred = errors.New("gateway: endpoint failed the request")

// maxSkipped bounds the answers to other requests that are read past on a
// connection.
const maxSkipped = 2

// answerMargin is how long before the caller's deadline an endpoint's work ends,
// so that its last word comes in time.
const answerMargin = 5 * time.Millisecond

// attempt sends the request to one endpoint and passes the answer on.
func (x *exchange) attempt() result {
	state, refused := x.pick()
	if state == nil {
		return refused
	}
	x.tried = append(x.tried, state.Endpoint)
	pool := x.g.pool(state)
	x.hand()
	conn, err := x.connect(pool)
	x.ownSince = time.Now()
	if err != nil {
		return x.unsent(state, err)
	}
	return x.exchangeOn(conn, pool, state)
}

// unsent handles a failure before any byte of the request left.
func (x *exchange) unsent(state *balance.State, err error) result {
	x.release(state, x.blame(err))
	return result{refusal: api.RefusalEndpointDown, retry: api.RetryReasonConnectFailed, notSent: true, retryAfter: soon}
}

// pool returns the connections of an endpoint.
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

// noteRead remembers that the endpoint holds the prompt with the key.
func (g *Gateway) noteRead(key uint64, state *balance.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.Read(time.Now(), key, state.Endpoint)
}

func (x *exchange) connect(pool *upstream.Pool) (*upstream.Conn, error) {
	if conn := pool.Idle(time.Now()); conn != nil {
		return conn, nil
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.g.metrics.Counter("upstream.dials").Inc(1)
	return pool.Dial(ctx)
}

// blame returns the error unless the caller is its cause.
func (x *exchange) blame(err error) error {
	if x.r.Context().Err() != nil {
		return errCallerGone
	}
	return err
}

// exchangeOn sends the request on a connection and handles the answer.
func (x *exchange) exchangeOn(conn *upstream.Conn, pool *upstream.Pool, state *balance.State) result {
	stop := context.AfterFunc(x.r.Context(), func() { conn.Close() })
	defer stop()
	conn.SetDeadline(x.deadline)
	conn.SetMovable(x.route.Repeatable())
	left := time.Until(x.deadline) - answerMargin
	send := Send{
		EndpointID: state.Endpoint.ID, Left: left, ResumeAfter: x.stream.lastID,
		Priority: priority(x.route, x.workspace), CopyFrom: x.copyFrom,
	}
	if x.workspace != nil {
		send.Workspace = x.workspace.Name
	}
	buffer := getBuffer()
	defer putBuffer(buffer)
	buffer.b = x.g.config.Codec.AppendRequest(buffer.b[:0], x.request, send)
	if err := conn.Send(buffer.b); err != nil {
		if errors.Is(err, upstream.ErrNotSent) {
			conn.Close()
			return x.unsent(state, err)
		}
		x.sends++
		return x.unanswered(conn, state, err)
	}
	x.sends++
	x.hand()
	// The connection owns the body: it is kept or closed with the answer.
	response, answer, err := x.receive(conn) //nolint:bodyclose // see above
	x.ownSince = time.Now()
	if err != nil {
		return x.unanswered(conn, state, err)
	}
	return x.handle(conn, pool, state, response, answer)
}

// receive reads the head of the answer to this request, past answers to others.
func (x *exchange) receive(conn *upstream.Conn) (*http.Response, Answer, error) {
	for skipped := 0; ; skipped++ {
		response, err := conn.Receive(x.r)
		if err != nil {
			return nil, Answer{}, err
		}
		answer := x.g.config.Codec.Answer(response)
		if answer.ID == x.request.ID || answer.ID == "" || skipped == maxSkipped {
			return response, answer, nil
		}
		x.g.metrics.Counter("upstream.skipped_answers").Inc(1)
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBuffered)); err != nil {
			return nil, Answer{}, err
		}
	}
}

// unanswered handles a connection that failed after the request may have left and
// before the head of its answer.
func (x *exchange) unanswered(conn *upstream.Conn, state *balance.State, err error) result {
	x.mayHaveRun = true
	return x.broken(conn, state, err, errErred, result{refusal: api.RefusalUpstreamFailed, retry: api.RetryReasonResponseCut})
}

// broken handles a connection that failed while the endpoint worked on the request.
// late is what the endpoint is told to have done when the time was over; otherwise the
// outcome is cut.
func (x *exchange) broken(conn *upstream.Conn, state *balance.State, err, late error, cut result) result {
	conn.Close()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		x.release(state, late)
		return result{refusal: api.RefusalDeadlineExceeded}
	}
	x.release(state, x.blame(err))
	return cut
}

// handle passes an answer on, or says why it is none.
func (x *exchange) handle(conn *upstream.Conn, pool *upstream.Pool, state *balance.State, response *http.Response, answer Answer) result {
	if answer.ID != "" && answer.ID != x.request.ID {
		conn.Close()
		x.mayHaveRun = true
		x.release(state, nil)
		return result{refusal: api.RefusalUpstreamMismatch, retry: api.RetryReasonResponseMismatch}
	}
	if answer.NotRun || answer.Misdirected {
		return x.notRun(conn, pool, state, response, answer)
	}
	x.mayHaveRun = true
	x.g.firstByte.UpdateSince(x.arrived)
	success := response.StatusCode >= 200 && response.StatusCode < 300
	if !answer.Signed || success && answer.Encoded {
		conn.Close()
		x.release(state, nil)
		return result{refusal: api.RefusalUpstreamMismatch, retry: api.RetryReasonResponseMismatch}
	}
	if success && x.route.Kind == routing.Stream {
		x.g.noteRead(x.key, state)
		return x.pass(conn, pool, state, response)
	}
	return x.passWhole(conn, pool, state, response)
}

// misdirected keeps work from an address that another endpoint has now.
func (g *Gateway) misdirected(state *balance.State, request string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state.Misdirected(time.Now())
	g.logger.Warn("endpoint is not at its address", zap.String("endpoint", state.Endpoint.ID),
		zap.String("address", state.Endpoint.Address), zap.String("request", request))
}

// notRun handles an endpoint's word that it did not run the request.
func (x *exchange) notRun(conn *upstream.Conn, pool *upstream.Pool, state *balance.State, response *http.Response, answer Answer) result {
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBuffered))
	if err == nil {
		pool.Keep(conn, response, time.Now())
	} else {
		conn.Close()
	}
	x.release(state, nil)
	if answer.Misdirected {
		x.g.misdirected(state, x.request.ID)
		return result{refusal: api.RefusalEndpointWithdrawn, retry: api.RetryReasonRefusedByEndpoint, retryAfter: afterMove}
	}
	return result{refusal: api.RefusalEndpointFull, retry: api.RetryReasonRefusedByEndpoint, retryAfter: afterFull}
}
