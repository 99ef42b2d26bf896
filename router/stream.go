package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/engine"
)

// errDrained is returned for a stream whose endpoint is withdrawn and past its drain
// deadline. The stream continues at another endpoint.
var errDrained = errors.New("router: drain time of the withdrawn endpoint has passed")

// errCallerGone is returned if writing to the caller failed.
var errCallerGone = errors.New("router: caller disconnected")

// streamResponse writes one streamed response to the caller.
type streamResponse struct {
	writer  http.ResponseWriter
	flusher *http.ResponseController
	text    *engine.DeliveredText // the text written so far
	// lastEventID is the id of the last event that was written; 0 before the first.
	// For a stream that the caller resumes it starts as the caller's last event id.
	lastEventID int
	started     bool
	buffer      []byte
}

// writeHeader sends the response header.
func (s *streamResponse) writeHeader(requestID, handle string) {
	header := s.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(headerRequestID, requestID)
	header.Set(headerStream, handle)
	s.writer.WriteHeader(http.StatusOK)
	s.started = true
}

// writeEvent sends one event and flushes it, so that each token reaches the caller as
// soon as it is generated.
func (s *streamResponse) writeEvent(event engine.Event) error {
	s.buffer = append(s.buffer[:0], "id: "...)
	s.buffer = strconv.AppendInt(s.buffer, int64(event.ID), 10)
	s.buffer = append(s.buffer, "\ndata: "...)
	s.buffer = append(s.buffer, event.Data...)
	s.buffer = append(s.buffer, "\n\n"...)
	if _, err := s.writer.Write(s.buffer); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	if err := s.flusher.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	s.lastEventID = event.ID
	return nil
}

// abort ends a started response so that the caller can tell that it is incomplete: it
// sends an error event and aborts the connection without ending the body. It panics with
// http.ErrAbortHandler, which the HTTP server handles, and so does not return.
func (s *streamResponse) abort(refused *refusal) {
	_, _ = fmt.Fprintf(s.writer, "event: error\ndata: {\"reason\":%q}\n\n", refused.reason)
	_ = s.flusher.Flush()
	panic(http.ErrAbortHandler)
}

// streamChat runs a streamed completion. An interrupted stream continues after the
// last event that was written, at the same endpoint or at another one.
func (r *Router) streamChat(ctx context.Context, writer http.ResponseWriter, ch *chat) error {
	out := &streamResponse{
		writer:  writer,
		flusher: http.NewResponseController(writer),
		text:    engine.NewDeliveredText(maxDeliveredBytes),
	}
	r.retries.recordFirstAttempt(ch.workspace.ID)
	err := r.runStream(ctx, ch, out)
	switch {
	case err == nil, errors.Is(err, errCallerGone):
		return nil
	case !out.started:
		if response, ok := clientErrorResponse(err); ok {
			writeResponse(writer, response, ch.id)
			return nil
		}
		return r.refuse(writer, err)
	}
	r.logger.Warn("stream aborted before the answer was complete", requestFields(ch, err)...)
	r.countRefusal(err)
	r.failures.answerAborted(ch, asRefusal(err).reason)
	out.abort(asRefusal(err))
	return nil
}

func (r *Router) runStream(ctx context.Context, ch *chat, out *streamResponse) error {
	for {
		assigned, err := r.dispatch.place(ctx, &ch.routedRequest)
		if err != nil {
			return ch.finalRefusal(err)
		}
		err = r.streamAt(ctx, ch, out, assigned)
		if err == nil || errors.Is(err, errCallerGone) {
			return err
		}
		if _, ok := clientErrorResponse(err); ok {
			return err
		}
		if err := r.awaitChatRetry(ctx, ch, assigned, err); err != nil {
			return err
		}
	}
}

// streamAt runs the rest of the stream at one endpoint. After an interruption it
// resumes the stream there once under the same permit, because the endpoint keeps
// the stream and its KV cache.
func (r *Router) streamAt(ctx context.Context, ch *chat, out *streamResponse, assigned *assignment) (err error) {
	started := r.now()
	var firstToken time.Duration
	defer func() {
		if err != nil {
			go r.cancelStream(assigned.endpoint.URL, ch.id)
		}
		r.finishAttempt(ctx, ch, assigned, err, firstToken)
	}()
	r.fetchCache(ctx, ch, assigned)
	stream, err := r.openStream(ctx, ch, out, assigned)
	if err != nil {
		return err
	}
	ch.sent = true
	firstToken = r.now().Sub(started)
	err = r.copyEvents(ch, out, assigned, stream)
	if err == nil || errors.Is(err, errCallerGone) || errors.Is(err, errDrained) || ctx.Err() != nil {
		return err
	}
	resumed, resumeErr := r.engine.Resume(ctx, ch.streamRequest(r, assigned.endpoint.URL), out.lastEventID)
	if resumeErr != nil {
		return err
	}
	r.metrics.CountRetry(retryReason(err))
	return r.copyEvents(ch, out, assigned, resumed)
}

// openStream starts the stream at an endpoint, or continues it after the text that
// was already sent to the caller.
func (r *Router) openStream(ctx context.Context, ch *chat, out *streamResponse, assigned *assignment) (*engine.Stream, error) {
	if !assigned.permit.startable(r.now()) {
		return nil, errPermitExpired
	}
	request := ch.streamRequest(r, assigned.endpoint.URL)
	if out.lastEventID == 0 {
		return r.engine.Stream(ctx, request)
	}
	text, ok := out.text.Text()
	if !ok {
		return nil, &engine.Error{Kind: engine.ErrIncomplete, Cause: errNotContinuable, Sent: true}
	}
	return r.engine.Continue(ctx, request, out.lastEventID, text)
}

var errNotContinuable = errors.New("router: the delivered text can't be continued at another endpoint")

// copyEvents copies events to the caller until the end marker. It returns errDrained
// once the endpoint's drain deadline has passed.
func (r *Router) copyEvents(ch *chat, out *streamResponse, assigned *assignment, stream *engine.Stream) error {
	defer stream.Close()
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, engine.ErrIncomplete) {
			r.chatExits.recordAnswer(ch.placementKey)
			return nil
		}
		if err != nil {
			return err
		}
		if r.drainDeadlines.passed(r.now(), assigned.endpoint.ID) {
			return errDrained
		}
		ch.answered = true
		if !out.started {
			out.writeHeader(ch.id, r.streamHandle(ch, assigned))
		}
		if err := out.writeEvent(event); err != nil {
			return err
		}
		if !event.Done {
			out.text.Add(event.Data)
		}
	}
}

// cancelStream cancels a stream at its endpoint after this router has stopped reading it.
func (r *Router) cancelStream(url, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := r.engine.Cancel(ctx, url, id); err != nil {
		r.logger.Debug("cancelling the stream failed", zap.String("request", id), zap.Error(err))
	}
}

// cancelTimeout bounds the call that cancels a stream.
const cancelTimeout = time.Second
