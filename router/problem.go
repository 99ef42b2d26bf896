package router

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// refusal is an error that is sent to the caller as problem+json (RFC 9457).
type refusal struct {
	reason api.Refusal
	// notRun is true only if no byte of the request can have reached an
	// endpoint.
	notRun bool
	// mayHaveRun is set if a call that may not be repeated has an unknown
	// outcome.
	mayHaveRun bool
	detail     string
	retryAfter time.Duration
	cause      error
}

func (r *refusal) Error() string {
	if r.cause != nil {
		return fmt.Sprintf("%s: %s: %v", r.reason, r.detail, r.cause)
	}
	return fmt.Sprintf("%s: %s", r.reason, r.detail)
}

func (r *refusal) Unwrap() error { return r.cause }

// asRefusal returns the refusal that err wraps. For any other error it returns a refusal
// because of an internal failure, with mayHaveRun set.
func asRefusal(err error) *refusal {
	var refused *refusal
	if errors.As(err, &refused) {
		return refused
	}
	return &refusal{reason: api.RefusalUpstreamFailed, detail: "internal error", cause: err, mayHaveRun: true}
}

// problem is the JSON body of a refusal.
type problem struct {
	Type   string      `json:"type"`
	Title  string      `json:"title"`
	Status int         `json:"status"`
	Detail string      `json:"detail,omitempty"`
	Reason api.Refusal `json:"reason"`
	NotRun bool        `json:"not_run"`
}

var refusalStatus = map[api.Refusal]int{
	api.RefusalBadRequest:          http.StatusBadRequest,
	api.RefusalUnauthorized:        http.StatusUnauthorized,
	api.RefusalUnknownWorkspace:    http.StatusUnauthorized,
	api.RefusalUnknownModel:        http.StatusNotFound,
	api.RefusalUnknownService:      http.StatusNotFound,
	api.RefusalStreamNotFound:      http.StatusNotFound,
	api.RefusalBodyTooLarge:        http.StatusRequestEntityTooLarge,
	api.RefusalDeadlineExceeded:    http.StatusGatewayTimeout,
	api.RefusalClaimInProgress:     http.StatusConflict,
	api.RefusalClaimOutcomeUnknown: http.StatusConflict,
	api.RefusalClaimBodyMismatch:   http.StatusUnprocessableEntity,
	api.RefusalUpstreamFailed:      http.StatusBadGateway,
	api.RefusalUpstreamIncomplete:  http.StatusBadGateway,
	api.RefusalUpstreamMismatch:    http.StatusBadGateway,
	api.RefusalWorkspaceShare:      http.StatusTooManyRequests,
}

// status returns the HTTP status of a reason. Reasons that refusalStatus does not list
// mean a temporary lack of capacity and get 503.
func status(reason api.Refusal) int {
	if code, ok := refusalStatus[reason]; ok {
		return code
	}
	return http.StatusServiceUnavailable
}

// writeProblem sends the refusal. It must be called before the response header
// has been written.
func writeProblem(w http.ResponseWriter, r *refusal) {
	code := status(r.reason)
	body, err := json.Marshal(problem{
		Type:   "about:blank",
		Title:  http.StatusText(code),
		Status: code,
		Detail: r.detail,
		Reason: r.reason,
		NotRun: r.notRun,
	})
	if err != nil {
		http.Error(w, http.StatusText(code), code)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if r.retryAfter > 0 {
		seconds := int((r.retryAfter + time.Second - 1) / time.Second)
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(code)
	_, _ = w.Write(body) // the caller may have gone away
}
