package router

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/engine"
	"github.com/hornbeamproxy/hornbeamproxy/retry"
)

// maxDeliveredBytes bounds the answer text that is kept to continue a stream on
// another endpoint. A longer answer can only be resumed where it runs.
const maxDeliveredBytes = 1 << 20

// streamIdleTimeout is the longest pause between two events of a stream before
// it counts as interrupted. The target is 79 ms for 95 in 100 tokens.
const streamIdleTimeout = 15 * time.Second

// chat is one chat completion on its way through the router.
type chat struct {
	work
	id     string
	body   []byte
	stream bool
	// returning says that the chat has had an answer before, so that some
	// endpoint may hold its cache.
	returning bool
}

// serveChat handles POST /v1/chat/completions.
func (r *Router) serveChat(c echo.Context) error {
	request, writer := c.Request(), c.Response().Writer
	ch, err := r.newChat(writer, request)
	if err != nil {
		return r.refuse(writer, err)
	}
	leave := r.workspaces.enter(ch.workspace)
	if leave == nil {
		return r.refuse(writer, workspaceFull())
	}
	defer leave()
	ctx, cancel := context.WithDeadline(request.Context(), ch.deadline)
	defer cancel()
	if ch.stream {
		return r.streamChat(ctx, writer, ch)
	}
	answer, err := r.completeChat(ctx, ch)
	if err != nil {
		return r.refuse(writer, err)
	}
	writeAnswer(writer, answer, ch.id)
	return nil
}

func (r *Router) newChat(writer http.ResponseWriter, request *http.Request) (*chat, error) {
	workspace, err := r.authenticate(request)
	if err != nil {
		return nil, err
	}
	body, err := r.readBody(writer, request)
	if err != nil {
		return nil, err
	}
	parsed, err := parseChatBody(body)
	if err != nil {
		return nil, err
	}
	deadline, err := requestDeadline(r.now(), request.Header, r.settings.Limits.RequestTimeout.Duration)
	if err != nil {
		return nil, err
	}
	pool, ok := r.view().Pool(parsed.Model)
	if !ok {
		return nil, &refusal{reason: api.RefusalUnknownModel, notRun: true, detail: fmt.Sprintf("no model %q", parsed.Model)}
	}
	return &chat{
		work: work{
			pool:      pool,
			key:       chatKey(workspace.ID, request.Header, parsed),
			workspace: workspace,
			deadline:  deadline,
			chat:      true,
		},
		id:     r.newRequestID(),
		body:   body,
		stream: parsed.Stream,

		returning: parsed.returning(),
	}, nil
}

func (ch *chat) streamRequest(r *Router, url string) engine.StreamRequest {
	return engine.StreamRequest{
		URL:              url,
		RequestID:        ch.id,
		Priority:         ch.workspace.Priority,
		ChatKey:          strconv.FormatUint(ch.key, 16),
		Body:             ch.body,
		FirstByteTimeout: r.settings.Limits.FirstByteTimeout.Duration,
		IdleTimeout:      streamIdleTimeout,
	}
}

// completeChat runs a completion that is not streamed. It has no side effect at
// an endpoint, so that every failure may be retried.
func (r *Router) completeChat(ctx context.Context, ch *chat) (engine.Answer, error) {
	r.retries.firstTry(ch.workspace.ID)
	for {
		found, err := r.dispatch.place(ctx, &ch.work)
		if err != nil {
			return engine.Answer{}, ch.finalRefusal(err)
		}
		r.fetchCache(ctx, ch, found)
		started := r.now()
		answer, err := r.completeAt(ctx, ch, found)
		if err == nil && answer.Status >= http.StatusInternalServerError {
			err = &engine.Error{Kind: engine.ErrStatus, Status: answer.Status, Sent: true}
		}
		r.finish(ctx, ch, found, err, r.now().Sub(started))
		if err == nil {
			return answer, nil
		}
		if err := r.mayRetry(ctx, ch, found, err); err != nil {
			return engine.Answer{}, err
		}
	}
}

func (r *Router) completeAt(ctx context.Context, ch *chat, at *placed) (engine.Answer, error) {
	if !at.permit.startable(r.now()) {
		return engine.Answer{}, errPermitExpired
	}
	return r.engine.Completion(ctx, ch.streamRequest(r, at.endpoint.URL))
}

// errPermitExpired says that the start-by time passed before the work started.
var errPermitExpired = errors.New("router: the permit expired before the work started")

// fetchCache moves the cache of a returning chat to the endpoint that it goes to.
// The permit's start-by time bounds it.
func (r *Router) fetchCache(ctx context.Context, ch *chat, at *placed) {
	from := ch.cachedAt
	if !ch.returning || from == nil || from.ID == at.endpoint.ID {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, at.permit.startBy.Add(-startReserve))
	defer cancel()
	r.moves.move(ctx, ch.key, from, at.endpoint)
}

// finish returns the permit and tells the home endpoint's owner about a chat
// that was served elsewhere.
func (r *Router) finish(ctx context.Context, ch *chat, at *placed, err error, firstToken time.Duration) {
	info := api.PermitRelease{Failed: isEndpointsFault(ctx, err)}
	if err == nil {
		info.FirstTokenMs = int(firstToken / time.Millisecond)
	}
	r.permits.release(at.permit, info)
	if err == nil && ch.home != "" && at.endpoint.ID != ch.home {
		r.permits.recordMove(ch.home, ch.key, at.endpoint.ID)
	}
}

// mayRetry waits for the backoff of the next attempt. It returns the refusal to
// send when there is none.
func (r *Router) mayRetry(ctx context.Context, ch *chat, at *placed, cause error) error {
	r.noteFailure(at.endpoint, cause)
	ch.markFailed(at.endpoint.ID)
	ch.sent = ch.sent || wasSent(cause)
	ch.attempts++
	return r.retries.await(ctx, retry.Try{
		Workspace: ch.workspace.ID,
		Failure:   retryReason(cause),
		Repeat:    retry.Idempotent,
		BytesSent: ch.sent,
		Attempts:  ch.attempts,
		Deadline:  ch.deadline,
	}, cause)
}

// noteFailure keeps later requests away from an endpoint that can't be reached.
func (r *Router) noteFailure(e *api.Endpoint, cause error) {
	if errors.Is(cause, engine.ErrNotStarted) || errors.Is(cause, engine.ErrFirstByteTimeout) {
		r.dispatch.avoid(e.ID, avoidUnreachable)
	}
}

// isEndpointsFault says whether a failure speaks against the endpoint. Callers
// that go away and deadlines that pass must not make it suspect.
func isEndpointsFault(ctx context.Context, err error) bool {
	if err == nil || ctx.Err() != nil {
		return false
	}
	for _, other := range []error{errCallerGone, errDrained, errPermitExpired} {
		if errors.Is(err, other) {
			return false
		}
	}
	_, callers := callersFault(err)
	return !callers
}

// callersFault returns the endpoint's answer when the failure is a status that
// blames the request. Sending it again elsewhere would give the same.
func callersFault(err error) (engine.Answer, bool) {
	var failure *engine.Error
	if !errors.As(err, &failure) || !errors.Is(err, engine.ErrStatus) {
		return engine.Answer{}, false
	}
	code := failure.Status
	if code < http.StatusBadRequest || code >= http.StatusInternalServerError ||
		code == http.StatusRequestTimeout || code == http.StatusTooManyRequests {
		return engine.Answer{}, false
	}
	return engine.Answer{Status: code, Header: failure.Header, Body: failure.Body}, true
}

func wasSent(err error) bool {
	if errors.Is(err, errPermitExpired) {
		return false
	}
	var failure *engine.Error
	return !errors.As(err, &failure) || failure.Sent
}

func retryReason(cause error) api.RetryReason {
	switch {
	case errors.Is(cause, errPermitExpired):
		return api.RetryReasonPermitExpired
	case errors.Is(cause, errDrained):
		return api.RetryReasonEndpointDrained
	case errors.Is(cause, engine.ErrNotStarted) && !wasSent(cause):
		return api.RetryReasonConnectFailed
	case errors.Is(cause, engine.ErrNotStarted), errors.Is(cause, engine.ErrStatus):
		return api.RetryReasonRefusedByEndpoint
	case errors.Is(cause, engine.ErrFirstByteTimeout):
		return api.RetryReasonFirstByteTimeout
	case errors.Is(cause, engine.ErrMismatch):
		return api.RetryReasonResponseMismatch
	case errors.Is(cause, engine.ErrGap):
		return api.RetryReasonStreamGap
	}
	return api.RetryReasonStreamCut
}
