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

// errDrained says that the drain time of a withdrawn endpoint has passed, so
// that the stream continues at another one.
var errDrained = errors.New("router: drain time has passed")

// errCallerGone says that writing to the caller failed.
var errCallerGone = errors.New("router: caller has gone")

// delivery is the caller's side of one streamed answer.
type delivery struct {
	writer  http.ResponseWriter
	flusher *http.ResponseController
	text    *engine.Delivered
	// last is the id of the last event that was written.
	last    int
	started bool
	buffer  []byte
}

// begin sends the response header.
func (d *delivery) begin(requestID, handle string) {
	header := d.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(headerRequestID, requestID)
	header.Set(headerStream, handle)
	d.writer.WriteHeader(http.StatusOK)
	d.started = true
}

// write sends one event and flushes it, so that each token reaches the caller
// when it is generated.
func (d *delivery) write(event engine.Event) error {
	d.buffer = append(d.buffer[:0], "id: "...)
	d.buffer = strconv.AppendInt(d.buffer, int64(event.ID), 10)
	d.buffer = append(d.buffer, "\ndata: "...)
	d.buffer = append(d.buffer, event.Data...)
	d.buffer = append(d.buffer, "\n\n"...)
	if _, err := d.writer.Write(d.buffer); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	if err := d.flusher.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	d.last = event.ID
	return nil
}

// fail ends a started answer visibly: an error event, and a connection that is
// aborted without the end of the body.
func (d *delivery) fail(refused *refusal) {
	_, _ = fmt.Fprintf(d.writer, "event: error\ndata: {\"reason\":%q}\n\n", refused.reason)
	_ = d.flusher.Flush()
	panic(http.ErrAbortHandler)
}

// streamChat runs a streamed completion. An interrupted stream is resumed after
// the last event that was written, at the same endpoint or at another one.
func (r *Router) streamChat(ctx context.Context, writer http.ResponseWriter, ch *chat) error {
	out := &delivery{
		writer:  writer,
		flusher: http.NewResponseController(writer),
		text:    engine.NewDelivered(maxDeliveredBytes),
	}
	r.retries.firstTry(ch.workspace.ID)
	err := r.runStream(ctx, ch, out)
	switch {
	case err == nil, errors.Is(err, errCallerGone):
		return nil
	case !out.started:
		if answer, ok := callersFault(err); ok {
			writeAnswer(writer, answer, ch.id)
			return nil
		}
		return r.refuse(writer, err)
	}
	r.logger.Warn("answer broken off", requestFields(ch, err)...)
	r.countRefusal(err)
	r.failures.answerBroken(ch, asRefusal(err).reason)
	out.fail(asRefusal(err))
	return nil
}

func (r *Router) runStream(ctx context.Context, ch *chat, out *delivery) error {
	for {
		found, err := r.dispatch.place(ctx, &ch.work)
		if err != nil {
			return ch.finalRefusal(err)
		}
		err = r.streamAt(ctx, ch, out, found)
		if err == nil || errors.Is(err, errCallerGone) {
			return err
		}
		if _, ok := callersFault(err); ok {
			return err
		}
		if err := r.mayRetry(ctx, ch, found, err); err != nil {
			return err
		}
	}
}

// streamAt runs the rest of the stream at one endpoint. An interruption is
// resumed there once with the same permit, because the endpoint keeps the
// stream and its cache.
func (r *Router) streamAt(ctx context.Context, ch *chat, out *delivery, at *placed) (err error) {
	started := r.now()
	var firstToken time.Duration
	defer func() {
		if err != nil {
			go r.cancelStream(at.endpoint.URL, ch.id)
		}
		r.finish(ctx, ch, at, err, firstToken)
	}()
	r.fetchCache(ctx, ch, at)
	stream, err := r.openStream(ctx, ch, out, at)
	if err != nil {
		return err
	}
	ch.sent = true
	firstToken = r.now().Sub(started)
	err = r.pump(ch, out, at, stream)
	if err == nil || errors.Is(err, errCallerGone) || errors.Is(err, errDrained) || ctx.Err() != nil {
		return err
	}
	resumed, resumeErr := r.engine.Resume(ctx, ch.streamRequest(r, at.endpoint.URL), out.last)
	if resumeErr != nil {
		return err
	}
	r.metrics.Retried(retryReason(err))
	return r.pump(ch, out, at, resumed)
}

func (r *Router) openStream(ctx context.Context, ch *chat, out *delivery, at *placed) (*engine.Stream, error) {
	if !at.permit.startable(r.now()) {
		return nil, errPermitExpired
	}
	request := ch.streamRequest(r, at.endpoint.URL)
	if out.last == 0 {
		return r.engine.Stream(ctx, request)
	}
	text, ok := out.text.Text()
	if !ok {
		return nil, &engine.Error{Kind: engine.ErrCut, Cause: errNotContinuable, Sent: true}
	}
	return r.engine.Continue(ctx, request, out.last, text)
}

var errNotContinuable = errors.New("router: the delivered text can't be continued elsewhere")

// pump copies events to the caller until the end marker.
func (r *Router) pump(ch *chat, out *delivery, at *placed, stream *engine.Stream) error {
	defer stream.Close()
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, engine.ErrCut) {
			return nil
		}
		if err != nil {
			return err
		}
		if r.drains.passed(r.now(), at.endpoint.ID) {
			return errDrained
		}
		if !out.started {
			out.begin(ch.id, r.streamHandle(ch, at))
		}
		if err := out.write(event); err != nil {
			return err
		}
		if !event.Done {
			out.text.Add(event.Data)
		}
	}
}

// cancelStream ends work that nobody waits for any more.
func (r *Router) cancelStream(url, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := r.engine.Cancel(ctx, url, id); err != nil {
		r.logger.Debug("stream not cancelled", zap.String("request", id), zap.Error(err))
	}
}

// cancelTimeout bounds the call that cancels a stream.
const cancelTimeout = time.Second
