package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// Call is a request whose response is read as a whole.
type Call struct {
	Method string
	// URL is the full target.
	URL string
	// Header is sent as it is. If it holds an X-Request-Id, a response that does not
	// repeat that id is an error of kind ErrWrongRequestID.
	Header http.Header
	Body   []byte
	// Repeatable allows the transport to send the request again when a reused
	// connection fails before the response.
	Repeatable bool
	// FirstByteTimeout bounds the time from the start of the call, connecting included,
	// to the response header; 0 for no bound.
	FirstByteTimeout time.Duration
	// MaxBodyBytes bounds the response body; 0 means Options.MaxBodyBytes.
	MaxBodyBytes int64
}

// Response is a complete response of any status. Its body is empty for a HEAD request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Requester performs calls of plain services and non-streamed completions.
type Requester interface {
	// Do sends the call and returns the complete response, whatever its status. Only a
	// 503 with X-Not-Run: true is an error instead, of kind ErrNotStarted. The error of a
	// failed call is an *Error; MayHaveRun reports whether the endpoint may have run
	// the call.
	Do(ctx context.Context, call Call) (Response, error)
	// Completion runs a non-streamed chat completion. Response and error are as for Do.
	// It ignores r.IdleTimeout.
	Completion(ctx context.Context, r StreamRequest) (Response, error)
}

// errNoLength is the cause for a response whose end is marked only by the close of the
// connection, so that a truncated body could not be detected. A reset of the connection is no
// help: while the request is still being written, the writer may take it from the socket, and
// the reader then finds an orderly end.
var errNoLength = errors.New("response has neither a length nor chunked encoding")

// Do implements Requester.
func (c *Client) Do(ctx context.Context, call Call) (Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a, err := newAttempt(ctx, call.Method, call.URL, call.Body, call.Repeatable)
	if err != nil {
		return Response{}, &Error{Kind: ErrNotStarted, Cause: err}
	}
	if call.Header != nil {
		a.request.Header = call.Header.Clone()
	}
	stop := afterTimeout(call.FirstByteTimeout, func() { cancel(ErrFirstByteTimeout) })
	response, err := c.send(a)
	stop()
	if err != nil {
		return Response{}, err
	}
	defer response.Body.Close()
	limit := call.MaxBodyBytes
	setDefault(&limit, c.options.MaxBodyBytes)
	return readResponse(ctx, response, call.Method, limit)
}

func readResponse(ctx context.Context, response *http.Response, method string, limit int64) (Response, error) {
	result := Response{Status: response.StatusCode, Header: response.Header}
	if method == http.MethodHead {
		return result, nil
	}
	body, err := readBody(response, limit)
	switch {
	case err == nil:
		result.Body = body
		return result, nil
	case errors.Is(err, ErrTooLarge):
		return Response{}, &Error{Kind: ErrTooLarge, Sent: true}
	}
	return Response{}, callError(ctx, true, err)
}

// readBody reads a whole body of up to limit bytes. Errors: errNoLength, ErrTooLarge, or that of the
// connection.
func readBody(response *http.Response, limit int64) ([]byte, error) {
	if !isSelfDelimited(response) {
		return nil, errNoLength
	}
	if response.ContentLength > limit {
		return nil, ErrTooLarge
	}
	// The transport reports io.ErrUnexpectedEOF for a body that is shorter than its
	// length or whose last chunk is missing.
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, ErrTooLarge
	}
	return body, nil
}

// isSelfDelimited reports whether the end of the body is known without the close of
// the connection.
func isSelfDelimited(response *http.Response) bool {
	if response.ContentLength >= 0 {
		return true
	}
	encodings := response.TransferEncoding
	return len(encodings) > 0 && encodings[len(encodings)-1] == "chunked"
}

// Completion implements Requester.
func (c *Client) Completion(ctx context.Context, r StreamRequest) (Response, error) {
	header := http.Header{}
	setStreamHeader(header, r, nil)
	header.Set("Accept", "application/json")
	return c.Do(ctx, Call{
		Method:           http.MethodPost,
		URL:              r.URL + "/v1/chat/completions",
		Header:           header,
		Body:             r.Body,
		FirstByteTimeout: r.FirstByteTimeout,
	})
}
