package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/balance"
	"github.com/hornbeamproxy/hornbeamproxy/upstream"
)

// streamState is what the caller has of a stream.
type streamState struct {
	// started says that the head was passed on.
	started bool
	// whole says that everything passed on so far ends with a whole event whose
	// id is known, so that another endpoint can go on.
	whole bool
	// lastID is the id of the last whole event; empty before the first.
	lastID string
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// pass passes a stream on as it arrives.
func (x *exchange) pass(conn *upstream.Conn, pool *upstream.Pool, state *balance.State, response *http.Response) result {
	resumed := x.stream.started
	if !resumed {
		copyHead(x.w, response)
		if x.g.draining.Load() {
			x.w.Header().Set("Connection", "close")
		}
		delete(x.w.Header(), "Content-Length")
		x.w.WriteHeader(response.StatusCode)
		x.stream.started, x.stream.whole = true, true
		x.stream.lastID = x.request.ResumeAfter
	}
	err := x.copyEvents(response.Body, resumed)
	switch {
	case err == nil:
		pool.Keep(conn, response, time.Now())
		x.release(state, nil)
		x.g.metrics.Counter("answers.streams").Inc(1)
		return result{done: true}
	case errors.Is(err, errCallerGone):
		conn.Close()
		x.release(state, errCallerGone)
		panic(http.ErrAbortHandler)
	}
	return x.broken(conn, state, err, nil, result{refusal: api.RefusalUpstreamIncomplete, retry: api.RetryReasonStreamCut})
}

// copyEvents passes whole events on. What is left at the end of a stream that
// ended properly is passed on as well.
func (x *exchange) copyEvents(body io.Reader, resumed bool) error {
	flusher, _ := x.w.(http.Flusher)
	passed := resumed // an event was passed on
	b := getBuffer()
	defer putBuffer(b)
	pending := b.b[:0]
	defer func() { b.b = pending }()
	for {
		if len(pending) == cap(pending) {
			pending = append(pending, 0)[:len(pending)]
		}
		n, err := body.Read(pending[len(pending):cap(pending)])
		pending = pending[:len(pending)+n]
		end := bytes.LastIndex(pending, eventEnd)
		if end >= 0 {
			end += len(eventEnd)
			out := pending[:end]
			if resumed {
				out = x.stream.unseen(out)
			}
			if len(out) > 0 {
				x.stream.note(out)
				if _, werr := x.w.Write(out); werr != nil {
					return errCallerGone
				}
				flusher.Flush()
				if !passed {
					x.begun()
				}
				passed = true
			}
			pending = pending[:copy(pending, pending[end:])]
		}
		if err == io.EOF {
			if len(pending) > 0 {
				if _, werr := x.w.Write(pending); werr != nil {
					return errCallerGone
				}
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// note remembers the id of the last event of whole events that are passed on.
func (s *streamState) note(events []byte) {
	id := lastID(events)
	if id == "" {
		s.whole = false
		return
	}
	s.lastID = id
}

// unseen returns the events from the first that the caller does not have. Ids
// that are not numbers are passed on.
func (s *streamState) unseen(events []byte) []byte {
	seen, err := strconv.ParseUint(s.lastID, 10, 64)
	if err != nil {
		return events
	}
	for len(events) > 0 {
		end := bytes.Index(events, eventEnd) + len(eventEnd)
		id, err := strconv.ParseUint(lastID(events[:end]), 10, 64)
		if err != nil || id > seen {
			return events
		}
		events = events[end:]
	}
	return nil
}

// lastID returns the value of the last id field, or "".
func lastID(events []byte) string {
	at := bytes.LastIndex(events, idField)
	for at > 0 && events[at-1] != '\n' {
		at = bytes.LastIndex(events[:at], idField)
	}
	if at < 0 {
		return ""
	}
	value := events[at+len(idField):]
	if end := bytes.IndexByte(value, '\n'); end >= 0 {
		value = value[:end]
	}
	return string(bytes.TrimSpace(value))
}
