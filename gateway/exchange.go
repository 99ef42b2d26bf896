package gateway

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/balance"
	"github.com/hornbeamproxy/hornbeamproxy/overload"
	"github.com/hornbeamproxy/hornbeamproxy/retry"
	"github.com/hornbeamproxy/hornbeamproxy/roster"
	"github.com/hornbeamproxy/hornbeamproxy/routing"
)

// defaultMaxBodyBytes bounds a request body when the configuration sets no limit.
const defaultMaxBodyBytes = 4 << 20

// deadlineMargin is how long before the caller's deadline, counted from the arrival of the
// request, the router ends a request, so that the final response reaches the caller in time. The
// caller's clock starts before the arrival: opening a connection and sending the request take
// three times the delay of the link, and the response takes it once more. Links to callers have
// a delay of a few milliseconds.
const deadlineMargin = 25 * time.Millisecond

const (
	// bodyTimeout bounds the time from the arrival of a request to the end of its
	// body. A body of defaultMaxBodyBytes takes a few seconds on a link of 10 Mbit/s.
	bodyTimeout = 10 * time.Second
	// defaultTimeout bounds a request when neither its route nor its caller sets a
	// deadline.
	defaultTimeout = 30 * time.Second
)

// Values of the Retry-After header for requests that have not run. A caller waits for at
// most a third of the time that it has left, even if the header says more.
const (
	// retryAfterMove covers the time until the store's entry of an endpoint that has
	// moved shows the new address.
	retryAfterMove = 100 * time.Millisecond
	// retryAfterFull covers the time until an endpoint has a free slot. Services that do
	// not stream complete a few responses within it.
	retryAfterFull = 200 * time.Millisecond
	// retryAfterShort is for requests that another endpoint, or the same one a little
	// later, can serve.
	retryAfterShort = 300 * time.Millisecond
	// retryAfterElsewhere is for requests that another router serves at once.
	retryAfterElsewhere = 50 * time.Millisecond
	// retryAfterChange covers the time until the router receives its configuration or
	// a usable endpoint registers.
	retryAfterChange = time.Second
	// retryAfterMemory covers the time until transfers that make no progress are ended.
	retryAfterMemory = time.Second
)

// exchange is one caller's request and the state of its attempts.
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
	// body is the request's body in the account of bytes; nil if there is none.
	body *overload.Lease
	// bodyRead is set when the body has been read, and bodyGone when it has been dropped although
	// the request is not answered yet, so that it can't be sent again.
	bodyRead, bodyGone bool

	// ownTime is the time that this router itself has spent on the request: it excludes
	// waiting for the caller or an endpoint. ownSince is when the router last stopped
	// waiting.
	ownTime  time.Duration
	ownSince time.Time

	// unwatch ends the closing of the endpoint's connection when the caller disconnects. It returns
	// false if the connection is being closed.
	unwatch func() bool

	// tried are the endpoints that the request was sent to or that could not be
	// reached for it.
	tried []*roster.Endpoint
	// sends is the number of times that the request was sent to an endpoint. misdirected
	// is the number of sends that are left out, since another endpoint had the address.
	sends, misdirected int
	// mayHaveRun is set when an endpoint may have begun to work on the request.
	mayHaveRun bool
	// promptKey is the request's SharedKey, or 0 if the route does not cache prompts.
	promptKey uint64
	// copyFrom is the address (IP:PORT) of the endpoint from which the chosen one may
	// copy the prompt's shared parts; empty if there is none.
	copyFrom string
	// stream is the part of a stream that the caller has received so far.
	stream streamState
	// answerBegan is when the first event of the answer arrived in the current attempt; zero
	// before that.
	answerBegan time.Time
	// sentAt is when the request was sent in the current attempt, and answered is set when the
	// head of its response has arrived. reader is the pace of the caller in this attempt.
	sentAt   time.Time
	answered bool
	reader   readerPace
	// answerRecorded is set when the current attempt has shown that its endpoint bears the
	// request.
	answerRecorded bool
	// probe is set if the request was admitted although a part of its prompt is quarantined.
	probe bool
	// version is the current attempt as the roll-out of its service sees it.
	version versionAttempt
	// work is the part that concerns placement by work.
	work workExchange
	// failure is the latest 5xx response of an endpoint to a repeatable request. It
	// is forwarded if no later attempt succeeds.
	failure *bufferedResponse
	// room is the request's use of the room of its service.
	room roomUse
}

// addOwnTime adds the time since ownSince to ownTime. It is called before the router
// waits for the caller or an endpoint.
func (x *exchange) addOwnTime() { x.ownTime += time.Since(x.ownSince) }

// recordOwnTime reports ownTime to the metrics. It is called when the first event or
// the complete response has been written to the caller.
func (x *exchange) recordOwnTime() {
	x.addOwnTime()
	x.g.own.Update(x.ownTime)
}

// serve answers the request. Each path ends with exactly one final response, or
// closes the caller's connection before a response is complete.
func (x *exchange) serve() {
	defer x.releaseBody()
	defer x.cancelUnsentProbe()
	if !x.admit() {
		return
	}
	if x.expired() {
		x.refuse(http.StatusRequestTimeout, api.RefusalDeadlineExceeded, 0)
		return
	}
	if !x.g.plan.Load().admits(time.Now(), x.deadline) {
		x.refuse(http.StatusServiceUnavailable, api.RefusalShuttingDown, retryAfterElsewhere)
		return
	}
	defer x.leaveRoom(false)
	if !x.enterRoom() {
		return
	}
	x.g.mu.Lock()
	x.g.retries.Budget.RecordFirstTry(x.arrived, x.service)
	x.g.mu.Unlock()
	for {
		result := x.attempt()
		if result.done {
			return
		}
		x.leaveRoom(false)
		if x.r.Context().Err() != nil {
			x.abandon()
			return
		}
		if x.refusedAgain(&result) || !x.shouldRetry(result) || !x.reenterRoom(&result) {
			x.respondFailure(result)
			return
		}
	}
}

// admit parses the request, matches its route and workspace, reads its body and sets
// its deadline. It returns false if the request has been refused.
func (x *exchange) admit() bool {
	x.table = x.g.table.Load()
	if x.table == nil {
		x.refuse(http.StatusServiceUnavailable, api.RefusalNotReady, retryAfterChange)
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
	if x.workspace, err = x.table.Workspace(x.route, request.APIKey); err != nil {
		x.refuse(http.StatusUnauthorized, api.RefusalUnauthorized, 0)
		return false
	}
	if !x.admitPrompt() {
		return false
	}
	x.addOwnTime()
	if !x.readBody() {
		return false
	}
	x.ownSince = time.Now()
	x.classify()
	return true
}

// classify sets the service, the prompt's key and the deadline from the request and its route.
func (x *exchange) classify() {
	x.service = x.route.PickService(xxhash.Sum64String(x.request.ID))
	if x.route.CachesPrompts {
		x.promptKey = x.request.SharedKey()
	}
	wait := x.route.Timeout
	if x.request.Timeout > 0 && (wait <= 0 || x.request.Timeout < wait) {
		wait = x.request.Timeout
	}
	if wait <= 0 {
		wait = defaultTimeout
	}
	x.deadline = x.arrived.Add(wait - min(deadlineMargin, wait/10))
}

// result is the outcome of one attempt.
type result struct {
	// done is set when the caller has received a final response.
	done bool
	// refusal is the reason given to the caller if the request is not retried. retry is
	// the reason for a retry; empty if the request may not be retried. Both reasons are
	// also names of counters.
	refusal api.Refusal
	retry   api.RetryReason
	// notSent is set when no endpoint received any byte of the request.
	notSent bool
	// retryAfter is how long the caller should wait before it sends the request again;
	// it is used only if the request has not run.
	retryAfter time.Duration
}

// shouldRetry decides whether to attempt the request once more. A stream of which the
// caller has a part is retried only if it can be resumed, and a prompt only if none of its parts
// is suspected of crashing endpoints. A request without its body is not.
func (x *exchange) shouldRetry(r result) bool {
	if r.retry == "" || x.stream.started && !x.stream.resumable || x.bodyGone || x.suspected() {
		return false
	}
	failed := retry.FailedAttempt{
		BudgetKey: x.service, Failure: r.retry, Repeat: retry.IfNotRun, BytesSent: x.mayHaveRun,
		Attempts: x.sends, MaxAttempts: x.route.MaxEndpoints, Unsent: r.notSent, Deadline: x.deadline,
	}
	if x.route.Repeatable() {
		failed.Repeat = retry.Idempotent
	}
	x.g.mu.Lock()
	decision := x.g.retries.Decide(time.Now(), failed, 0)
	x.g.mu.Unlock()
	if !decision.Retry {
		if decision.Refusal == api.RefusalRetryBudget {
			x.g.metrics.CountRefusal(decision.Refusal)
		}
		return false
	}
	x.g.metrics.CountRetry(decision.Reason)
	x.log("retry", string(r.retry))
	return true
}

// respondFailure ends a request that got no complete response: it aborts a stream of
// which the caller has a part, forwards the endpoint's own failure if there is one,
// and refuses the request otherwise.
func (x *exchange) respondFailure(r result) {
	if x.stream.started {
		x.abortResponse()
	}
	if x.failure != nil {
		x.failure.write(x.w)
		return
	}
	if !x.mayHaveRun {
		x.refuse(x.notRunStatus(r.refusal == api.RefusalDeadlineExceeded), r.refusal, r.retryAfter)
		return
	}
	x.report(r.refusal)
	if r.refusal == api.RefusalDeadlineExceeded {
		x.refuse(http.StatusGatewayTimeout, r.refusal, 0)
		return
	}
	x.refuse(http.StatusBadGateway, r.refusal, 0)
}

// abortResponse closes the caller's connection in the middle of a response, so that
// the response does not look complete.
func (x *exchange) abortResponse(fields ...zap.Field) {
	x.g.metrics.CountRefusal(api.RefusalUpstreamIncomplete)
	x.log("response aborted", string(api.RefusalUpstreamIncomplete), fields...)
	x.report(api.RefusalUpstreamIncomplete)
	panic(http.ErrAbortHandler)
}

// abandon ends a request whose caller has disconnected.
func (x *exchange) abandon() {
	x.g.metrics.Counter("requests.abandoned").Inc(1)
	panic(http.ErrAbortHandler)
}

// pick chooses an endpoint and counts the request as in flight there. If no endpoint may be
// used, it returns a nil state and the result with which to refuse the request.
func (x *exchange) pick() (*balance.State, result) {
	now := time.Now()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	criteria := x.g.pickCriteria(x.table.Services[x.service])
	criteria.Key, criteria.Tried, criteria.Repeatable = x.promptKey, x.tried, x.route.Repeatable()
	criteria.Draw = x.draw()
	x.applyWork(&criteria)
	state, refusal, barred := x.pickVersion(now, &criteria)
	if barred {
		return nil, result{refusal: api.RefusalVersionRolledBack, retryAfter: retryAfterChange, notSent: true}
	}
	if state != nil {
		x.startWork(now, state, criteria.Work != nil)
		state.RecordStart(now)
		x.g.balancer.RecordPromptStart(x.promptKey)
		x.copyFrom = ""
		if source := x.g.balancer.CopySource(now, x.promptKey, state, criteria.Members); source != nil {
			x.copyFrom = source.Address
		}
		return state, result{}
	}
	refused := result{refusal: refusalOf(refusal), retryAfter: retryAfterShort, notSent: true}
	switch refusal {
	case balance.AllPaused:
		pause := x.g.balancer.PauseEnd(now, criteria.Members, criteria.Usable)
		refused.retryAfter = retry.Spread(pause, criteria.Draw)
	case balance.NoEndpoint:
		refused.retryAfter = retryAfterChange
	}
	return nil, refused
}

// refusalOf returns the reason given to the caller if no endpoint was chosen.
func refusalOf(refusal balance.Refusal) api.Refusal {
	switch refusal {
	case balance.AllPaused:
		return api.RefusalEndpointPaused
	case balance.AllCold:
		return api.RefusalEndpointCold
	case balance.AllTried:
		return api.RefusalUpstreamFailed
	case balance.AllFull:
		return api.RefusalEndpointFull
	}
	return api.RefusalNoEndpoint
}

// draw returns a hash that differs between requests and between the attempts of a request.
func (x *exchange) draw() uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(uint64(len(x.tried)) + 1)
	_, _ = digest.WriteString(x.request.ID)
	return digest.Sum64()
}

// release ends the request's use of the endpoint and records the outcome; a nil failure is a
// success. It returns the cause of the failure. An endpoint that is ejected because of it is marked
// cold.
func (x *exchange) release(state *balance.State, failure error) cause {
	why := x.cause(failure)
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.endWork()
	state.RecordEnd()
	x.recordVersionEnd(time.Now(), state, why)
	x.g.balancer.RecordPromptEnd(x.promptKey)
	x.endRoom(why != causeNotReached && why != causeCallerGone)
	now := time.Now()
	ejected := false
	switch effects[why] {
	case effectNothing:
	case effectSuccess:
		state.RecordSuccess()
	case effectRate:
		state.RecordError()
	case effectEject:
		ejected = state.RecordFailure(now)
	case effectUnreachable, effectSilence:
		ejected = x.g.unreachable(now, state, failure, effects[why] == effectSilence)
	}
	if ejected {
		x.g.roster.MarkCold(now, state.Endpoint)
		x.g.logger.Warn("endpoint ejected", zap.String("endpoint", state.Endpoint.ID), zap.String("request", x.request.ID), zap.Error(failure))
	}
	return why
}
