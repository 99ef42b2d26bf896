package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/engine"
	"github.com/hornbeamproxy/hornbeamproxy/placement"
	"github.com/hornbeamproxy/hornbeamproxy/retry"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	// headerReplayed marks a response that was not produced by this call, but was
	// recorded for an earlier call with the same idempotency key.
	headerReplayed = "Hornbeam-Replayed"
	// maxKeyBytes bounds the length of an idempotency key, which is stored with
	// each claim.
	maxKeyBytes = 255
)

// serviceCall is one call of a plain service (an HTTP service that is not a model
// engine).
type serviceCall struct {
	routedRequest
	id             string
	service        string
	method         string
	target         string // path and query below the endpoint's base URL
	header         http.Header
	body           []byte
	idempotent     bool
	idempotencyKey string // empty if the caller sent none
}

// forwardedHeaders are the headers of the caller that are forwarded to the
// endpoint.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", headerIdempotencyKey}

// serveService handles /services/{service}/*.
func (r *Router) serveService(c echo.Context) error {
	request, writer := c.Request(), c.Response().Writer
	call, err := r.newServiceCall(writer, request, c.Param("service"))
	if err != nil {
		return r.refuse(writer, err)
	}
	release := r.workspaceLimits.acquire(call.workspace)
	if release == nil {
		return r.refuse(writer, workspaceLimitRefusal())
	}
	defer release()
	ctx := request.Context()
	if call.idempotencyKey != "" && !call.idempotent {
		// A call with an idempotency key continues after its caller disconnects,
		// so that its outcome is recorded and a repeat returns it.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, call.deadline)
	defer cancel()
	response, err := r.runService(ctx, writer, call)
	if err != nil {
		return r.refuse(writer, err)
	}
	writeResponse(writer, response, call.id)
	return nil
}

func (r *Router) runService(ctx context.Context, writer http.ResponseWriter, call *serviceCall) (engine.Response, error) {
	r.retries.recordFirstAttempt(call.workspace.ID)
	switch {
	case call.idempotent:
		return r.callIdempotent(ctx, call)
	case call.idempotencyKey == "":
		return r.callOnce(ctx, call)
	default:
		return r.callClaimed(ctx, writer, call)
	}
}

func (r *Router) newServiceCall(writer http.ResponseWriter, request *http.Request, service string) (*serviceCall, error) {
	workspace, err := r.authenticate(request)
	if err != nil {
		return nil, err
	}
	view := r.view()
	definition, ok := view.Service(service)
	if !ok {
		return nil, &refusal{reason: api.RefusalUnknownService, notRun: true, detail: fmt.Sprintf("no service %q", service)}
	}
	key := request.Header.Get(headerIdempotencyKey)
	if len(key) > maxKeyBytes {
		return nil, &refusal{reason: api.RefusalBadRequest, notRun: true, detail: fmt.Sprintf("%s is longer than %d bytes", headerIdempotencyKey, maxKeyBytes)}
	}
	body, err := r.readBody(writer, request)
	if err != nil {
		return nil, err
	}
	deadline, err := requestDeadline(r.now(), request.Header, r.settings.Limits.RequestTimeout.Duration)
	if err != nil {
		return nil, err
	}
	pool, _ := view.ServicePool(service)
	id := r.newRequestID()
	// The path is forwarded with the caller's escaping.
	path := strings.TrimPrefix(request.URL.EscapedPath(), "/services/"+service)
	target := path
	if request.URL.RawQuery != "" {
		target += "?" + request.URL.RawQuery
	}
	return &serviceCall{
		routedRequest: routedRequest{
			pool:         pool,
			placementKey: placement.ChatKey(workspace.ID, id),
			workspace:    workspace,
			deadline:     deadline,
		},
		id:             id,
		service:        service,
		method:         request.Method,
		target:         target,
		header:         serviceHeader(request.Header, id),
		body:           body,
		idempotent:     isIdempotent(definition, request.Method, path),
		idempotencyKey: key,
	}, nil
}

func serviceHeader(from http.Header, id string) http.Header {
	header := http.Header{}
	for _, name := range forwardedHeaders {
		if value := from.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	header.Set(headerRequestID, id)
	return header
}

// isIdempotent reports whether a call of the service may be repeated. A path with a
// dot segment, an empty segment or an escape never matches a prefix, because the
// service may resolve it to another path.
func isIdempotent(service *api.Service, method, path string) bool {
	methods := service.IdempotentMethods
	if len(methods) == 0 {
		methods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}
	}
	if slices.Contains(methods, method) {
		return true
	}
	if strings.Contains(path, "..") || strings.Contains(path, "//") || strings.Contains(path, "%") {
		return false
	}
	for _, prefix := range service.IdempotentPaths {
		if path == prefix || strings.HasPrefix(path, strings.TrimSuffix(prefix, "/")+"/") {
			return true
		}
	}
	return false
}

// digest returns a SHA-256 digest of the call: its method, target, content type
// and body. A later call with the same key must have the same digest.
func (call *serviceCall) digest() string {
	digest := sha256.New()
	for _, part := range []string{call.method, call.target, call.header.Get("Content-Type")} {
		digest.Write([]byte(strconv.Itoa(len(part))))
		digest.Write([]byte{0})
		digest.Write([]byte(part))
	}
	digest.Write(call.body)
	return hex.EncodeToString(digest.Sum(nil))
}

// callAt sends one call to an endpoint and then releases the permit.
func (r *Router) callAt(ctx context.Context, call *serviceCall, assigned *assignment) (engine.Response, error) {
	response, err := r.sendCall(ctx, call, assigned)
	r.permits.release(assigned.permit, api.PermitRelease{Failed: isEndpointFault(ctx, err)})
	if err != nil {
		call.sent = call.sent || wasSent(err)
		call.markFailed(assigned.endpoint.ID)
		r.avoidIfUnreachable(assigned.endpoint, err)
		return engine.Response{}, err
	}
	call.sent = true
	return response, nil
}

func (r *Router) sendCall(ctx context.Context, call *serviceCall, assigned *assignment) (engine.Response, error) {
	if !assigned.permit.startable(r.now()) {
		return engine.Response{}, errPermitExpired
	}
	// A call that may not be repeated has no shorter time-out than its deadline,
	// because giving up earlier would leave its outcome unknown.
	wait := call.deadline.Sub(r.now())
	if call.idempotent {
		wait = min(wait, r.settings.Limits.FirstByteTimeout.Duration)
	}
	return r.engine.Do(ctx, engine.Call{
		Method:           call.method,
		URL:              assigned.endpoint.URL + call.target,
		Header:           call.header,
		Body:             call.body,
		Repeatable:       call.idempotent,
		FirstByteTimeout: wait,
	})
}

// callIdempotent runs a call that may be repeated and retries every failure. A
// response with status 502 to 504 counts as a failure, because other replicas may
// succeed.
func (r *Router) callIdempotent(ctx context.Context, call *serviceCall) (engine.Response, error) {
	for {
		assigned, err := r.dispatch.place(ctx, &call.routedRequest)
		if err != nil {
			return engine.Response{}, call.finalRefusal(err)
		}
		response, err := r.callAt(ctx, call, assigned)
		if err == nil && response.Status >= http.StatusBadGateway && response.Status <= http.StatusGatewayTimeout {
			err = &engine.Error{Kind: engine.ErrStatus, Status: response.Status, Sent: true}
		}
		if err == nil {
			return response, nil
		}
		if err := r.awaitServiceRetry(ctx, call, err); err != nil {
			return engine.Response{}, err
		}
	}
}

// callOnce runs a call that may not be repeated. It is retried at another endpoint
// only after a failure that provably came before the call was run.
func (r *Router) callOnce(ctx context.Context, call *serviceCall) (engine.Response, error) {
	for {
		assigned, err := r.dispatch.place(ctx, &call.routedRequest)
		if err != nil {
			return engine.Response{}, call.finalRefusal(err)
		}
		response, err := r.callAt(ctx, call, assigned)
		if err == nil {
			return response, nil
		}
		if err := r.awaitServiceRetry(ctx, call, err); err != nil {
			return engine.Response{}, err
		}
	}
}

// awaitServiceRetry waits for the backoff before the next attempt of a call. It
// returns the refusal to send if there is no further attempt. Unless the call is
// idempotent, that depends on whether a failed attempt may have run.
func (r *Router) awaitServiceRetry(ctx context.Context, call *serviceCall, cause error) error {
	repeat := retry.IfNotRun
	switch {
	case call.idempotent:
		repeat = retry.Idempotent
	case call.idempotencyKey == "":
		repeat = retry.SendOnce
	}
	call.attempts++
	return r.retries.awaitNextAttempt(ctx, retry.FailedAttempt{
		BudgetKey: call.workspace.ID,
		Failure:   retryReason(cause),
		Repeat:    repeat,
		BytesSent: call.sent,
		Attempts:  call.attempts,
		Deadline:  call.deadline,
	}, cause)
}

// callClaimed runs a call under its idempotency key: the claim is durable before
// the first byte is sent, and its outcome or release is recorded afterwards. If the
// key has a recorded outcome, that is returned and nothing is sent.
func (r *Router) callClaimed(ctx context.Context, writer http.ResponseWriter, call *serviceCall) (engine.Response, error) {
	claim, reply, err := r.claims.acquire(ctx, call)
	if err != nil {
		return engine.Response{}, err
	}
	if reply.Result == api.ClaimResultDone {
		return replayOutcome(writer, reply.Outcome)
	}
	response, err := r.callOnce(ctx, call)
	if err == nil {
		r.claims.complete(claim, outcomeOf(response))
		return response, nil
	}
	return engine.Response{}, r.resolveFailedClaim(ctx, call, claim, err)
}

// resolveFailedClaim releases the key of a call that was not run, or records that
// its outcome is unknown, and returns the refusal to send. The refusal has notRun
// set only if the release is durable; until then the caller's next try with the key
// could be refused because of this call.
func (r *Router) resolveFailedClaim(ctx context.Context, call *serviceCall, claim *claim, cause error) error {
	refused := asRefusal(cause)
	if !refused.mayHaveRun {
		if r.claims.release(ctx, claim) {
			return refused
		}
		refused.notRun = false
		refused.detail = "the call was not run, but its key is not released yet"
		return refused
	}
	r.claims.complete(claim, nil)
	r.failures.outcomeUnknown(call)
	return refused
}

func outcomeOf(response engine.Response) *api.ClaimOutcome {
	return &api.ClaimOutcome{
		Status:      response.Status,
		ContentType: response.Header.Get("Content-Type"),
		Body:        response.Body,
	}
}

// replayOutcome returns the recorded outcome of a key as a response, or a refusal
// if the outcome is unknown or was too large to record. Routers of earlier builds may
// have recorded a status that is none of a final response.
func replayOutcome(writer http.ResponseWriter, outcome *api.ClaimOutcome) (engine.Response, error) {
	if outcome == nil || outcome.Status < http.StatusOK {
		return engine.Response{}, &refusal{reason: api.RefusalClaimOutcomeUnknown, detail: "the call with this key may have run; its outcome is unknown"}
	}
	if outcome.Truncated {
		detail := fmt.Sprintf("the call with this key ran with status %d; its answer was too large to keep", outcome.Status)
		return engine.Response{}, &refusal{reason: api.RefusalClaimOutcomeUnknown, detail: detail}
	}
	writer.Header().Set(headerReplayed, "true")
	header := http.Header{}
	if outcome.ContentType != "" {
		header.Set("Content-Type", outcome.ContentType)
	}
	return engine.Response{Status: outcome.Status, Header: header, Body: outcome.Body}, nil
}

// writeResponse sends a complete response that is not streamed.
func writeResponse(writer http.ResponseWriter, response engine.Response, requestID string) {
	header := writer.Header()
	if contentType := response.Header.Get("Content-Type"); contentType != "" {
		header.Set("Content-Type", contentType)
	}
	header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	header.Set(headerRequestID, requestID)
	writer.WriteHeader(response.Status)
	_, _ = writer.Write(response.Body) // the caller may have gone away
}
