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

// maxDeliveredBytes bounds the answer text that is kept in order to continue a
// stream at another endpoint. A longer answer can only be resumed at the endpoint
// where it runs.
const maxDeliveredBytes = 1 << 20

// streamIdleTimeout is the longest pause between two events of a stream before
// the stream counts as interrupted. It is far above the target for the time between
// tokens, which is 79 ms at the 95th percentile.
const streamIdleTimeout = 15 * time.Second

// chat is one chat completion request while the router handles it.
type chat struct {
	routedRequest
	id     string
	body   []byte
	stream bool
	// returning is set if the conversation already contains an answer, so that
	// some endpoint may hold its KV cache.
	returning bool
	// answered is set once an event or the whole answer has arrived.
	answered bool
	// exits is the number of engines that exited before they answered the request.
	exits int
}

// serveChat handles POST /v1/chat/completions.
func (r *Router) serveChat(c echo.Context) error {
	request, writer := c.Request(), c.Response().Writer
	ch, err := r.newChat(writer, request)
	if err != nil {
		return r.refuse(writer, err)
	}
	release := r.workspaceLimits.acquire(ch.workspace)
	if release == nil {
		return r.refuse(writer, workspaceLimitRefusal())
	}
	defer release()
	ctx, cancel := context.WithDeadline(request.Context(), ch.deadline)
	defer cancel()
	if ch.stream {
		return r.streamChat(ctx, writer, ch)
	}
	response, err := r.completeChat(ctx, ch)
	if err != nil {
		return r.refuse(writer, err)
	}
	writeResponse(writer, response, ch.id)
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
	key := chatKey(workspace.ID, request.Header, parsed)
	if err := r.refuseQuarantined(key); err != nil {
		return nil, err
	}
	return &chat{
		routedRequest: routedRequest{
			pool:         pool,
			placementKey: key,
			workspace:    workspace,
			deadline:     deadline,
			chat:         true,
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
		ChatKey:          strconv.FormatUint(ch.placementKey, 16),
		Body:             ch.body,
		FirstByteTimeout: r.settings.Limits.FirstByteTimeout.Duration,
		IdleTimeout:      streamIdleTimeout,
	}
}

// completeChat runs a completion that is not streamed. A completion has no side
// effect at an endpoint, so every failure may be retried.
func (r *Router) completeChat(ctx context.Context, ch *chat) (engine.Response, error) {
	r.retries.recordFirstAttempt(ch.workspace.ID)
	for {
		assigned, err := r.dispatch.place(ctx, &ch.routedRequest)
		if err != nil {
			return engine.Response{}, ch.finalRefusal(err)
		}
		r.fetchCache(ctx, ch, assigned)
		started := r.now()
		response, err := r.completeAt(ctx, ch, assigned)
		if err == nil && response.Status >= http.StatusInternalServerError {
			err = &engine.Error{Kind: engine.ErrStatus, Status: response.Status, Sent: true}
		}
		r.finishAttempt(ctx, ch, assigned, err, r.now().Sub(started))
		if err == nil {
			r.chatExits.recordAnswer(ch.placementKey)
			return response, nil
		}
		if err := r.awaitChatRetry(ctx, ch, assigned, err); err != nil {
			return engine.Response{}, err
		}
	}
}

func (r *Router) completeAt(ctx context.Context, ch *chat, assigned *assignment) (engine.Response, error) {
	if !assigned.permit.startable(r.now()) {
		return engine.Response{}, errPermitExpired
	}
	return r.engine.Completion(ctx, ch.streamRequest(r, assigned.endpoint.URL))
}

// errPermitExpired is returned if the permit's start-by time passed before the
// request was sent to the endpoint.
var errPermitExpired = errors.New("router: permit expired before the request was sent")

// fetchCache copies the KV cache of a returning chat to the endpoint that the chat
// is now assigned to. It ends in time for the request to start before the permit's
// start-by time.
func (r *Router) fetchCache(ctx context.Context, ch *chat, assigned *assignment) {
	from := ch.cachedAt
	if !ch.returning || from == nil || from.ID == assigned.endpoint.ID {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, assigned.permit.startBy.Add(-startReserve))
	defer cancel()
	r.cacheMover.move(ctx, ch.placementKey, from, assigned.endpoint)
}

// finishAttempt releases the permit with the result of the attempt. If another endpoint
// than the chat's home has served the chat, it reports that endpoint to the owner of the
// home, so that the owner can redirect the chat's next request there.
func (r *Router) finishAttempt(ctx context.Context, ch *chat, assigned *assignment, err error, firstToken time.Duration) {
	info := api.PermitRelease{Failed: isEndpointFault(ctx, err)}
	if err == nil {
		info.FirstTokenMs = int(firstToken / time.Millisecond)
	}
	r.permits.release(assigned.permit, info)
	if err == nil && ch.home != "" && assigned.endpoint.ID != ch.home {
		r.permits.reportMovedChat(ch.home, ch.placementKey, assigned.endpoint.ID)
	}
}

// awaitChatRetry waits for the backoff before the next attempt. It returns the
// refusal to send if there is no further attempt.
func (r *Router) awaitChatRetry(ctx context.Context, ch *chat, assigned *assignment, cause error) error {
	r.avoidIfUnreachable(assigned.endpoint, cause)
	ch.markFailed(assigned.endpoint.ID)
	ch.sent = ch.sent || wasSent(cause)
	ch.attempts++
	if err := r.exitRefusal(ctx, ch, assigned, cause); err != nil {
		return err
	}
	return r.retries.awaitNextAttempt(ctx, retry.FailedAttempt{
		BudgetKey: ch.workspace.ID,
		Failure:   retryReason(cause),
		Repeat:    retry.Idempotent,
		BytesSent: ch.sent,
		Attempts:  ch.attempts,
		Deadline:  ch.deadline,
	}, cause)
}

// avoidIfUnreachable checks whether the endpoint did not start this request, or sent no
// response header in time. If so, later requests try the endpoint last for 1 s
// (avoidUnreachable).
func (r *Router) avoidIfUnreachable(e *api.Endpoint, cause error) {
	if errors.Is(cause, engine.ErrNotStarted) || errors.Is(cause, engine.ErrFirstByteTimeout) {
		r.dispatch.avoid(e.ID, avoidUnreachable)
	}
}

// isEndpointFault reports whether a failure counts against the endpoint. Callers
// that disconnect and deadlines that pass must not make an endpoint suspect.
func isEndpointFault(ctx context.Context, err error) bool {
	if err == nil || ctx.Err() != nil {
		return false
	}
	for _, other := range []error{errCallerGone, errDrained, errPermitExpired} {
		if errors.Is(err, other) {
			return false
		}
	}
	_, clientError := clientErrorResponse(err)
	return !clientError
}

// clientErrorResponse returns the endpoint's response if the failure is a whole response with a
// 4xx status other than 408 and 429. Such a status is caused by the request itself, so another
// endpoint would return the same one.
func clientErrorResponse(err error) (engine.Response, bool) {
	var failure *engine.Error
	if !errors.As(err, &failure) || !errors.Is(err, engine.ErrStatus) || failure.Cause != nil {
		return engine.Response{}, false
	}
	code := failure.Status
	if code < http.StatusBadRequest || code >= http.StatusInternalServerError ||
		code == http.StatusRequestTimeout || code == http.StatusTooManyRequests {
		return engine.Response{}, false
	}
	return engine.Response{Status: code, Header: failure.Header, Body: failure.Body}, true
}

// wasSent reports whether a byte of the request may have reached the endpoint. It is
// true for errors of unknown kind.
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
	case errors.Is(cause, engine.ErrWrongRequestID):
		return api.RetryReasonResponseMismatch
	case errors.Is(cause, engine.ErrEventGap):
		return api.RetryReasonStreamGap
	}
	return api.RetryReasonStreamCut
}
