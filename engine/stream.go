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

	"github.com/hornbeamproxy/hornbeamproxy/httpcheck"
)

// StreamRequest is a request for a chat completion, usually a streamed one.
// Requester.Completion uses it for a completion that is not streamed.
type StreamRequest struct {
	// URL is the endpoint's base URL, without a slash at the end.
	URL string
	// RequestID must be unique. It also names the stream for Resume and Cancel.
	RequestID string
	// Priority is 0 to 9; higher is served first.
	Priority int
	// ChatKey is the hex chat key; it may be empty.
	ChatKey string
	// Body is the caller's JSON object.
	Body []byte
	// FirstByteTimeout bounds the time from the start of the call, connecting included,
	// to the response header; 0 for no bound.
	FirstByteTimeout time.Duration
	// IdleTimeout bounds the wait for each event after the header; 0 for no bound.
	// The time between two calls of Next doesn't count.
	IdleTimeout time.Duration
}

// Streamer runs streamed chat completions. The error of a failed call is an *Error. A
// status other than 200 gives the kind ErrStatus, but a 503 with X-Not-Run: true gives
// ErrNotStarted. Cancel accepts more statuses than 200.
type Streamer interface {
	// Stream starts a completion.
	Stream(ctx context.Context, r StreamRequest) (*Stream, error)
	// Resume reads a stream that was started at the same endpoint, from the event that
	// follows the id after. The endpoint keeps a stream for this purpose for some time.
	Resume(ctx context.Context, r StreamRequest, after int) (*Stream, error)
	// Continue makes another endpoint generate the rest of a completion whose first
	// events have reached the caller: after is the id of the last of them, and delivered
	// is their text.
	Continue(ctx context.Context, r StreamRequest, after int, delivered string) (*Stream, error)
	// Cancel ends a stream at its endpoint. It returns nil for any status below 300
	// and if the endpoint does not know the stream.
	Cancel(ctx context.Context, endpointURL, requestID string) error
}

// Stream reads the events of a completion. It is not safe for concurrent use. The
// caller must close it.
type Stream struct {
	ctx              context.Context
	cancel           context.CancelCauseFunc
	body             io.ReadCloser
	header           http.Header
	decoder          *Decoder
	idleTimeout      time.Duration
	idleTimer        *time.Timer
	idleTimerRunning bool
}

// Stream implements Streamer.
func (c *Client) Stream(ctx context.Context, r StreamRequest) (*Stream, error) {
	return c.openStream(ctx, http.MethodPost, r.URL+"/v1/chat/completions", r, r.Body, 0, nil)
}

// Resume implements Streamer.
func (c *Client) Resume(ctx context.Context, r StreamRequest, after int) (*Stream, error) {
	target := r.URL + "/v1/streams/" + url.PathEscape(r.RequestID) + "?after=" + strconv.Itoa(after)
	return c.openStream(ctx, http.MethodGet, target, r, nil, after, nil)
}

// Continue implements Streamer.
func (c *Client) Continue(ctx context.Context, r StreamRequest, after int, delivered string) (*Stream, error) {
	body, err := continueBody(r.Body, delivered)
	if err != nil {
		return nil, &Error{Kind: ErrNotStarted, Cause: err}
	}
	extra := http.Header{HeaderResumeAfter: {strconv.Itoa(after)}}
	return c.openStream(ctx, http.MethodPost, r.URL+"/v1/chat/completions", r, body, after, extra)
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
		return statusError(response, ErrStatus, maxErrorBodyBytes)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBodyBytes))
	return response.Body.Close()
}

func (c *Client) openStream(ctx context.Context, method, target string, r StreamRequest, body []byte, after int, extra http.Header) (*Stream, error) {
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
		// The router may pass this response on to the caller.
		err = statusError(response, ErrStatus, c.options.MaxBodyBytes)
	}
	stop()
	if err != nil {
		cancel(nil)
		return nil, err
	}
	return c.newStream(ctx, cancel, response, r.IdleTimeout, after), nil
}

// afterTimeout calls f after the timeout unless stop is called before. With a timeout
// of 0 it never calls f.
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
		ctx:         ctx,
		cancel:      cancel,
		body:        response.Body,
		header:      response.Header,
		idleTimeout: idle,
	}
	s.decoder = NewDecoder(idleReader{s}, after, c.options.MaxEventBytes)
	return s
}

// idleReader starts the idle timer of a stream only when the body is read, so that
// events that are already buffered need no timer. It holds events back that may belong to a
// malformed chunk.
type idleReader struct{ s *Stream }

func (r idleReader) Read(p []byte) (int, error) {
	r.s.startIdleTimer()
	n, err := r.s.body.Read(p)
	if err == nil && endsLikeChunk(p[:n]) {
		var more int
		more, err = r.s.body.Read(p[n:])
		n += more
	}
	if httpcheck.MalformedBody(err) {
		return 0, err // the bytes may be those of another event
	}
	return n, err
}

// endsLikeChunk reports whether an event is followed by the mark that ends a chunk, or the first byte of
// it. A chunk that lacks one or two bytes takes its end mark for data.
func endsLikeChunk(data []byte) bool {
	return bytes.HasSuffix(data, []byte("\n\n\r")) || bytes.HasSuffix(data, []byte("\n\n\r\n"))
}

func (s *Stream) startIdleTimer() {
	if s.idleTimeout <= 0 || s.idleTimerRunning {
		return
	}
	s.idleTimerRunning = true
	if s.idleTimer == nil {
		s.idleTimer = time.AfterFunc(s.idleTimeout, func() { s.cancel(ErrIdleTimeout) })
		return
	}
	s.idleTimer.Reset(s.idleTimeout)
}

func (s *Stream) stopIdleTimer() {
	if s.idleTimerRunning {
		s.idleTimer.Stop()
		s.idleTimerRunning = false
	}
}

// Header returns the response header.
func (s *Stream) Header() http.Header { return s.header }

// LastID returns the id of the last event returned by Next; before the first, the id
// after which the stream starts.
func (s *Stream) LastID() int { return s.decoder.LastID() }

// Next returns the next event, and io.EOF after the end marker. Any other error is
// an *Error of kind ErrIncomplete, ErrEventGap or ErrTooLarge, and the stream must be
// closed.
func (s *Stream) Next() (Event, error) {
	event, err := s.decoder.Next()
	s.stopIdleTimer()
	if err == nil || errors.Is(err, io.EOF) {
		return event, err
	}
	return Event{}, s.streamError(err)
}

func (s *Stream) streamError(err error) error {
	for _, kind := range []error{ErrEventGap, ErrTooLarge} {
		if errors.Is(err, kind) {
			return &Error{Kind: kind, Sent: true}
		}
	}
	if reason := context.Cause(s.ctx); reason != nil {
		err = reason
	}
	if errors.Is(err, ErrIncomplete) {
		return &Error{Kind: ErrIncomplete, Sent: true}
	}
	return &Error{Kind: ErrIncomplete, Cause: err, Sent: true}
}

// Close ends the stream. The connection can be reused if the stream was read to its
// end marker; otherwise it is closed, which signals the endpoint to stop.
func (s *Stream) Close() {
	s.stopIdleTimer()
	if s.decoder.done {
		s.drainBody()
	}
	s.cancel(nil)
	s.body.Close()
}

// drainBody reads the end of the body, without which the transport does not reuse the
// connection. Endpoints send nothing after the end marker. The read is aborted after
// 10 ms, because a longer wait costs more than a new connection.
func (s *Stream) drainBody() {
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
		return nil, fmt.Errorf("encoding continue_from: %w", err)
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
