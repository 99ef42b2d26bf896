package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// StreamRequest is a streamed chat completion.
type StreamRequest struct {
	// URL is the endpoint's base URL, without a slash at the end.
	URL string
	// RequestID must be unique. It also names the stream for Resume and Cancel.
	RequestID string
	Priority  int
	// ChatKey is the hex chat key; it may be empty.
	ChatKey string
	// Body is the caller's JSON object.
	Body []byte
	// FirstByteTimeout bounds the wait for the response header; 0 for no bound.
	FirstByteTimeout time.Duration
	// IdleTimeout bounds the wait for each event after the header; 0 for no bound.
	// Time in which the caller of Next is busy doesn't count.
	IdleTimeout time.Duration
}

// Streamer runs streamed chat completions.
type Streamer interface {
	// Stream starts a completion.
	Stream(ctx context.Context, r StreamRequest) (*Stream, error)
	// Resume reads the events after the given id of a stream that the same
	// endpoint keeps.
	Resume(ctx context.Context, r StreamRequest, after int) (*Stream, error)
	// Continue starts the rest of a completion on another endpoint. The events up
	// to the given id, with the given text, were delivered.
	Continue(ctx context.Context, r StreamRequest, after int, delivered string) (*Stream, error)
	// Cancel ends a stream at its endpoint. A stream that is unknown there is no error.
	Cancel(ctx context.Context, endpointURL, requestID string) error
}

// Stream reads the events of a completion. It is not safe for concurrent use. The
// caller closes it.
type Stream struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	body    io.ReadCloser
	header  http.Header
	decoder *Decoder
	idle    time.Duration
	timer   *time.Timer
	armed   bool
}

// Stream implements Streamer.
func (c *Client) Stream(ctx context.Context, r StreamRequest) (*Stream, error) {
	return c.open(ctx, http.MethodPost, r.URL+"/v1/chat/completions", r, r.Body, 0, nil)
}

// Resume implements Streamer.
func (c *Client) Resume(ctx context.Context, r StreamRequest, after int) (*Stream, error) {
	target := r.URL + "/v1/streams/" + url.PathEscape(r.RequestID) + "?after=" + strconv.Itoa(after)
	return c.open(ctx, http.MethodGet, target, r, nil, after, nil)
}

// Continue implements Streamer.
func (c *Client) Continue(ctx context.Context, r StreamRequest, after int, delivered string) (*Stream, error) {
	body, err := continueBody(r.Body, delivered)
	if err != nil {
		return nil, &Error{Kind: ErrNotStarted, Cause: err}
	}
	extra := http.Header{HeaderResumeAfter: {strconv.Itoa(after)}}
	return c.open(ctx, http.MethodPost, r.URL+"/v1/chat/completions", r, body, after, extra)
}

// Cancel implements Streamer.
func (c *Client) Cancel(ctx context.Context, endpointURL, requestID string) error {
	target := endpointURL + "/v1/streams/" + url.PathEscape(requestID)
	a, err := newAttempt(ctx, http.MethodDelete, target, nil, true)
	if err != nil {
		return &Error{Kind: ErrNotStarted, Cause: err}
	}
	response, err := c.send(a)
	if err != nil {
		return err
	}
	if response.StatusCode >= 300 && response.StatusCode != http.StatusNotFound {
		return statusError(response, ErrStatus)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBody))
	return response.Body.Close()
}

func (c *Client) open(ctx context.Context, method, target string, r StreamRequest, body []byte, after int, extra http.Header) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	a, err := newAttempt(ctx, method, target, body, method == http.MethodGet)
	if err != nil {
		cancel(nil)
		return nil, &Error{Kind: ErrNotStarted, Cause: err}
	}
	setStreamHeader(a.request.Header, r, extra)
	stop := afterTimeout(r.FirstByteTimeout, func() { cancel(ErrFirstByteTimeout) })
	response, err := c.send(a)
	if err == nil && response.StatusCode != http.StatusOK {
		err = statusError(response, ErrStatus)
	}
	stop()
	if err != nil {
		cancel(nil)
		return nil, err
	}
	return c.newStream(ctx, cancel, response, r.IdleTimeout, after), nil
}

// afterTimeout calls f after the timeout unless the returned function is called
// before. A timeout of 0 never passes.
func afterTimeout(timeout time.Duration, f func()) (stop func()) {
	if timeout <= 0 {
		return func() {}
	}
	timer := time.AfterFunc(timeout, f)
	return func() { timer.Stop() }
}

func setStreamHeader(header http.Header, r StreamRequest, extra http.Header) {
	header.Set("Content-Type", "application/json")
	header.Set("Accept", "text/event-stream")
	header.Set(HeaderRequestID, r.RequestID)
	setPriority(header, r.Priority)
	if r.ChatKey != "" {
		header.Set(HeaderChatKey, r.ChatKey)
	}
	for name, values := range extra {
		header[name] = values
	}
}

func (c *Client) newStream(ctx context.Context, cancel context.CancelCauseFunc, response *http.Response, idle time.Duration, after int) *Stream {
	s := &Stream{
		ctx:    ctx,
		cancel: cancel,
		body:   response.Body,
		header: response.Header,
		idle:   idle,
	}
	s.decoder = NewDecoder(idleReader{s}, after, c.options.MaxEventBytes)
	return s
}

// idleReader starts the idle timer of a stream before the first read of an event,
// so that events that are already buffered cost no timer.
type idleReader struct{ s *Stream }

func (r idleReader) Read(p []byte) (int, error) {
	r.s.arm()
	return r.s.body.Read(p)
}

func (s *Stream) arm() {
	if s.idle <= 0 || s.armed {
		return
	}
	s.armed = true
	if s.timer == nil {
		s.timer = time.AfterFunc(s.idle, func() { s.cancel(ErrIdleTimeout) })
		return
	}
	s.timer.Reset(s.idle)
}

func (s *Stream) disarm() {
	if s.armed {
		s.timer.Stop()
		s.armed = false
	}
}

// Header returns the response header.
func (s *Stream) Header() http.Header { return s.header }

// Last returns the id of the last event returned by Next.
func (s *Stream) Last() int { return s.decoder.Last() }

// Next returns the next event, and io.EOF after the end marker. Any other error is
// an *Error of kind ErrCut, ErrGap or ErrTooLarge, and the stream must be closed.
func (s *Stream) Next() (Event, error) {
	event, err := s.decoder.Next()
	s.disarm()
	if err == nil || errors.Is(err, io.EOF) {
		return event, err
	}
	return Event{}, s.fail(err)
}

func (s *Stream) fail(err error) error {
	for _, kind := range []error{ErrGap, ErrTooLarge} {
		if errors.Is(err, kind) {
			return &Error{Kind: kind, Sent: true}
		}
	}
	if reason := context.Cause(s.ctx); reason != nil {
		err = reason
	}
	if errors.Is(err, ErrCut) {
		return &Error{Kind: ErrCut, Sent: true}
	}
	return &Error{Kind: ErrCut, Cause: err, Sent: true}
}

// Close ends the stream. The connection is reused if the stream was read to its
// end and is closed otherwise, which tells the endpoint to stop.
func (s *Stream) Close() {
	s.disarm()
	if s.decoder.done {
		s.finishBody()
	}
	s.cancel(nil)
	s.body.Close()
}

// finishBody reads the end of the body, which the transport needs for reuse.
// Endpoints send nothing after the end marker; a wait of more than 10 ms costs more
// than a new connection.
func (s *Stream) finishBody() {
	stop := afterTimeout(10*time.Millisecond, func() { s.cancel(nil) })
	defer stop()
	var rest [64]byte
	_, _ = s.body.Read(rest[:])
}

// continueBody adds the field continue_from to a JSON object.
func continueBody(body []byte, delivered string) ([]byte, error) {
	trimmed := bytes.TrimSpace(body)
	if !json.Valid(trimmed) || trimmed[0] != '{' {
		return nil, ErrInvalidBody
	}
	text, err := json.Marshal(delivered)
	if err != nil {
		return nil, fmt.Errorf("continue_from: %w", err)
	}
	fields := bytes.TrimSpace(trimmed[:len(trimmed)-1])
	out := make([]byte, 0, len(fields)+len(text)+20)
	out = append(out, fields...)
	if len(fields) > 1 {
		out = append(out, ',')
	}
	out = append(out, `"continue_from":`...)
	out = append(out, text...)
	return append(out, '}'), nil
}
