package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/balance"
	"github.com/hornbeamproxy/hornbeamproxy/retry"
	"github.com/hornbeamproxy/hornbeamproxy/roster"
	"github.com/hornbeamproxy/hornbeamproxy/routing"
	"github.com/hornbeamproxy/hornbeamproxy/upstream"
)

// defaultMaxBody bounds a body when the configuration does not say.
const defaultMaxBody = 4 << 20

// returnMargin is the time that a final answer needs to reach the caller before
// its deadline: links to callers take 3 ms each way.
const returnMargin = 12 * time.Millisecond

const (
	// bodyTimeout bounds the time that a caller takes for a body: the largest
	// takes a few seconds on a link of 10 Mbit/s.
	bodyTimeout = 10 * time.Second
	// defaultTimeout bounds a request when neither its route nor its caller does.
	defaultTimeout = 30 * time.Second
)

// When a request that has not run may come back. Callers wait for a third of the time
// that they have left at most.
const (
	// afterMove is for a new address of an endpoint, which its next entry brings.
	afterMove = 100 * time.Millisecond
	// afterFull is for a slot of an endpoint: some answers of a plain service.
	afterFull = 200 * time.Millisecond
	// soon is for another endpoint, or for the same one after a short pause.
	soon = 300 * time.Millisecond
	// afterChange is for a configuration or an endpoint that is not there yet.
	afterChange = time.Second
)

// exchange is one caller's request on its way.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time

	table     *routing.Table
	request   *Request
	route     *routing.Route
	workspace *routing.Workspace
	service   string
	deadline  time.Time

	// own is the time that this router has spent on the request itself, and ownSince
	// when it began to work on it again.
	own      time.Duration
	ownSince time.Time

	// tried are the endpoints that the request was sent to or could not reach.
	tried []*roster.Endpoint
	// sends is the number of endpoints that the request was sent to.
	sends int
	// mayHaveRun says that an endpoint may have begun to work on the request.
	mayHaveRun bool
	// key is the hash of the prompt's shared parts; 0 if it has none.
	key uint64
	// copyFrom is the address of the endpoint that the prompt is copied from.
	copyFrom string
	// stream is what the caller has of a stream so far.
	stream streamState
	// failure is the newest failure that an endpoint answered with.
	failure *bufferedAnswer
}

// hand counts the router's own time until it waits for another party.
func (x *exchange) hand() { x.own += time.Since(x.ownSince) }

// begun is called when the caller has the first event or the whole answer.
func (x *exchange) begun() {
	x.hand()
	x.g.own.Update(x.own)
}

// serve answers the request. Each path ends with exactly one final answer, or
// with a connection that is cut in the middle of an answer.
func (x *exchange) serve() {
	if !x.admit() {
		return
	}
	x.g.mu.Lock()
	x.g.retries.Budget.FirstTry(x.arrived, x.service)
	x.g.mu.Unlock()
	for {
		result := x.attempt()
		if result.done {
			return
		}
		if x.r.Context().Err() != nil {
			x.abandon()
			return
		}
		if !x.again(result) {
			x.end(result)
			return
		}
	}
}

// admit finds out what the request is and whether the configuration allows it.
func (x *exchange) admit() bool {
	x.table = x.g.table.Load()
	if x.table == nil {
		x.refuse(http.StatusServiceUnavailable, api.RefusalNotReady, afterChange)
		return false
	}
	request, err := x.g.config.Codec.Parse(x.r)
	if err != nil {
		x.refuse(http.StatusBadRequest, api.RefusalBadRequest, 0)
		return false
	}
	x.request = request
	if x.route, err = x.table.Match(request.Host, request.Path); err != nil {
		x.refuse(http.StatusNotFound, api.RefusalUnknownService, 0)
		return false
	}
	if x.workspace, err = x.table.Workspace(x.route, request.Key); err != nil {
		x.refuse(http.StatusUnauthorized, api.RefusalUnauthorized, 0)
		return false
	}
	x.hand()
	if !x.readBody() {
		return false
	}
	x.ownSince = time.Now()
	x.service = x.route.Service(xxhash.Sum64String(request.ID))
	if x.route.CachesPrompts {
		x.key = request.SharedKey()
	}
	wait := x.route.Timeout
	if request.Deadline > 0 && (wait <= 0 || request.Deadline < wait) {
		wait = request.Deadline
	}
	if wait <= 0 {
		wait = defaultTimeout
	}
	x.deadline = x.arrived.Add(wait - min(returnMargin, wait/10))
	return true
}

func (x *exchange) readBody() bool {
	limit := x.table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if x.r.ContentLength > limit {
		x.refuse(http.StatusRequestEntityTooLarge, api.RefusalBodyTooLarge, 0)
		return false
	}
	if x.r.ContentLength == 0 {
		return true
	}
	var body []byte
	control := http.NewResponseController(x.w)
	err := control.SetReadDeadline(x.arrived.Add(x.g.bodyTimeout))
	switch {
	case err != nil:
	case x.r.ContentLength > 0:
		body = make([]byte, x.r.ContentLength)
		_, err = io.ReadFull(x.r.Body, body)
	default:
		body, err = io.ReadAll(io.LimitReader(x.r.Body, limit+1))
	}
	if err == nil {
		err = control.SetReadDeadline(time.Time{})
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.refuse(http.StatusRequestTimeout, api.RefusalBadRequest, 0)
		return false
	case err != nil:
		x.refuse(http.StatusBadRequest, api.RefusalBadRequest, 0)
		return false
	case int64(len(body)) > limit:
		x.refuse(http.StatusRequestEntityTooLarge, api.RefusalBodyTooLarge, 0)
		return false
	}
	x.request.Body = body
	return true
}

// result is the outcome of one try.
type result struct {
	// done says that the caller has a final answer.
	done bool
	// refusal and retry name the reason in the counters.
	refusal api.Refusal
	retry   api.RetryReason
	// notSent says that the try cost no endpoint anything.
	notSent bool
	// retryAfter is when a request that has not run may come back.
	retryAfter time.Duration
}

// again decides whether the request is sent once more.
func (x *exchange) again(r result) bool {
	if r.retry == "" || x.stream.started && !x.stream.whole {
		return false
	}
	try := retry.Try{
		Workspace: x.service, Failure: r.retry, Repeat: retry.UnlessRun, BytesSent: x.mayHaveRun,
		Attempts: x.sends, MaxAttempts: x.route.MaxEndpoints, Unsent: r.notSent, Deadline: x.deadline,
	}
	if x.route.Repeatable() {
		try.Repeat = retry.Idempotent
	}
	x.g.mu.Lock()
	decision := x.g.retries.Decide(time.Now(), try, 0)
	x.g.mu.Unlock()
	if !decision.Retry {
		if decision.Refusal == api.RefusalRetryBudget {
			x.g.metrics.Refused(decision.Refusal)
		}
		return false
	}
	x.g.metrics.Retried(decision.Reason)
	x.log("retry", string(r.retry))
	return true
}

// end gives the final answer of a request that has no complete one.
func (x *exchange) end(r result) {
	if x.stream.started {
		x.cut()
	}
	if x.failure != nil {
		x.failure.write(x.w)
		return
	}
	if !x.mayHaveRun {
		x.refuse(http.StatusServiceUnavailable, r.refusal, r.retryAfter)
		return
	}
	x.report(r.refusal)
	if r.refusal == api.RefusalDeadlineExceeded {
		x.refuse(http.StatusGatewayTimeout, r.refusal, 0)
		return
	}
	x.refuse(http.StatusBadGateway, r.refusal, 0)
}

// cut ends an answer of which the caller has a part, so that it does not look complete.
func (x *exchange) cut(fields ...zap.Field) {
	x.g.metrics.Refused(api.RefusalUpstreamIncomplete)
	x.log("cut", string(api.RefusalUpstreamIncomplete), fields...)
	x.report(api.RefusalUpstreamIncomplete)
	panic(http.ErrAbortHandler)
}

// abandon ends a request whose caller has left.
func (x *exchange) abandon() {
	x.g.metrics.Counter("requests.abandoned").Inc(1)
	panic(http.ErrAbortHandler)
}

// pick chooses an endpoint and counts the request there.
func (x *exchange) pick() (*balance.State, result) {
	now := time.Now()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	ask := x.g.ask(x.table.Services[x.service])
	ask.Key, ask.Tried, ask.Repeatable = x.key, x.tried, x.route.Repeatable()
	state, refusal := x.g.balancer.Pick(now, ask)
	if state != nil {
		state.Started(now)
		x.copyFrom = ""
		if source := x.g.balancer.CopyFrom(now, x.key, state, ask.Members); source != nil {
			x.copyFrom = source.Address
		}
		return state, result{}
	}
	switch refusal {
	case balance.AllCold:
		return nil, result{refusal: api.RefusalEndpointCold, retryAfter: soon, notSent: true}
	case balance.AllTried:
		return nil, result{refusal: api.RefusalUpstreamFailed, retryAfter: soon, notSent: true}
	case balance.AllFull:
		return nil, result{refusal: api.RefusalEndpointFull, retryAfter: soon, notSent: true}
	}
	return nil, result{refusal: api.RefusalNoEndpoint, retryAfter: afterChange, notSent: true}
}

// release takes the request off the endpoint's count.
func (x *exchange) release(state *balance.State, broken error) {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	state.Ended()
	switch {
	case broken == nil:
		state.Succeeded()
		return
	case errors.Is(broken, errCallerGone):
		return
	case errors.Is(broken, errErred):
		state.Erred()
		return
	}
	now := time.Now()
	ejected := false
	if errors.Is(broken, upstream.ErrNotSent) || upstream.Silent(broken) {
		ejected = x.g.unreachable(now, state, broken)
	} else {
		ejected = state.Failed(now)
	}
	if ejected {
		x.g.roster.MarkCold(now, state.Endpoint)
		x.g.logger.Warn("endpoint ejected", zap.String("endpoint", state.Endpoint.ID), zap.String("request", x.request.ID), zap.Error(broken))
	}
}
