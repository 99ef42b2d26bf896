package engine

import (
	"context"
	"errors"
	"fmt"
	"net/http"
)

// Kinds of failure, and two causes: ErrIdleTimeout and ErrInvalidBody. The error of a
// failed call is an *Error that wraps one kind and perhaps a cause. A body that can't be
// encoded or decoded as JSON gives an error of another type.
var (
	// ErrNotStarted means that the endpoint certainly did not run the request: the
	// request could not be sent, or the endpoint answered 503 with X-Not-Run: true.
	ErrNotStarted = errors.New("request not started")
	// ErrWrongRequestID means that the response belongs to another request.
	ErrWrongRequestID = errors.New("response of another request")
	// ErrEventGap means that an event id is missing, malformed or not the next one.
	ErrEventGap = errors.New("event id is not the next one")
	// ErrIncomplete means that the response ended before its end marker or length.
	ErrIncomplete = errors.New("response incomplete")
	// ErrStatus means that the endpoint answered with an unexpected status.
	ErrStatus = errors.New("unexpected status")
	// ErrTooLarge means that the response exceeds the bound on its body or on one event.
	ErrTooLarge = errors.New("response too large")
	// ErrFirstByteTimeout means that no response header arrived in time.
	ErrFirstByteTimeout = errors.New("no response header in time")
	// ErrIdleTimeout means that no event arrived within StreamRequest.IdleTimeout. An
	// *Error with this cause has the kind ErrIncomplete.
	ErrIdleTimeout = errors.New("no event in time")
	// ErrInvalidBody means that the caller's body is not a JSON object. An *Error with
	// this cause has the kind ErrNotStarted.
	ErrInvalidBody = errors.New("body is not a JSON object")
)

// maxErrorBodyBytes bounds the body that an Error keeps of a response that does not reach callers.
const maxErrorBodyBytes = 16 << 10

// Error describes a failed call.
type Error struct {
	// Kind is one of the kinds of failure of this package.
	Kind error
	// Cause is the underlying error; nil if there is none besides Kind. With a Status it is why
	// Body does not hold the response's body.
	Cause error
	// Status is the HTTP status of the response in Header and Body; 0 if they hold none.
	Status int
	// Header and Body hold a response with an unexpected status, or one by which the
	// endpoint reported that it did not run the request. Body is whole, or nil if it was cut
	// off, has no length or is too large.
	Header http.Header
	Body   []byte
	// Sent reports whether a byte of the request may have reached the endpoint. It is
	// also true if the endpoint received the request and reported that it did not run it.
	Sent bool
}

// Error implements error.
func (e *Error) Error() string {
	text := "endpoint: " + e.Kind.Error()
	if e.Status != 0 {
		text = fmt.Sprintf("%s (status %d)", text, e.Status)
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the kind and the cause.
func (e *Error) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Cause}
}

// MayHaveRun reports whether the endpoint may have run the failed request: true for
// all errors that don't wrap ErrNotStarted. It is also true for errors that are not an
// *Error, since nothing is known about them.
func MayHaveRun(err error) bool {
	return err != nil && !errors.Is(err, ErrNotStarted)
}

// callError returns the error of a call that ended without a usable response. The
// cancellation cause of ctx, if any, takes precedence over cause.
func callError(ctx context.Context, sent bool, cause error) *Error {
	if reason := context.Cause(ctx); reason != nil {
		cause = reason
	}
	if !sent {
		return &Error{Kind: ErrNotStarted, Cause: cause}
	}
	if errors.Is(cause, ErrFirstByteTimeout) {
		return &Error{Kind: ErrFirstByteTimeout, Sent: true}
	}
	return &Error{Kind: ErrIncomplete, Cause: cause, Sent: true}
}
