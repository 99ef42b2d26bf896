package gateway

import (
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/balance"
	"github.com/hornbeamproxy/hornbeamproxy/httpcheck"
	"github.com/hornbeamproxy/hornbeamproxy/overload"
	"github.com/hornbeamproxy/hornbeamproxy/poison"
	"github.com/hornbeamproxy/hornbeamproxy/upstream"
)

// streamState is the part of a stream that has been forwarded to the caller.
type streamState struct {
	// started is set when the response head has been forwarded.
	started bool
	// resumable is set while all that has been forwarded ends with a complete event
	// whose id is known, so that another endpoint can resume the stream after it.
	resumable bool
	// lastID is the id of the last complete event that has been forwarded. Before the
	// first one it is the request's ResumeAfter, or empty if the response head has not
	// been forwarded yet.
	lastID string
	// contentType is that of the response head that has been forwarded.
	contentType string
}

// continuedBy reports whether a successful response is of the same type as the stream that it
// resumes.
func (s *streamState) continuedBy(response *http.Response) bool {
	return response.Header.Get("Content-Type") == s.contentType
}

// isEventStream reports whether a response is made of events, so that one that ends inside an event
// has been broken off.
func isEventStream(response *http.Response) bool {
	mediaType, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return mediaType == "text/event-stream"
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// forwardStream forwards a stream as it arrives. The response head goes to the caller with the
// first event, and only on the first attempt that has one; later attempts resume the stream.
func (x *exchange) forwardStream(conn *upstream.Conn, pool *upstream.Pool, state *balance.State, response *http.Response) result {
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	err := x.copyEvents(conn, response, framed, x.stream.started)
	switch {
	case err == nil:
		x.returnConn(conn, pool, response)
		x.observeWhole()
		x.release(state, nil)
		x.recordAnswer()
		x.g.metrics.Counter("answers.streams").Inc(1)
		return result{done: true}
	case errors.Is(err, errCallerGone):
		conn.Close()
		x.release(state, errCallerGone)
		panic(http.ErrAbortHandler)
	}
	return x.handleBroken(conn, state, err, result{refusal: api.RefusalUpstreamIncomplete, retry: api.RetryReasonStreamCut})
}

// startStream writes the response head if the caller has none yet.
func (x *exchange) startStream(response *http.Response) {
	if x.stream.started {
		return
	}
	copyHeaders(x.w, response)
	if x.g.draining.Load() {
		x.w.Header().Set("Connection", "close")
	}
	delete(x.w.Header(), "Content-Length")
	x.w.WriteHeader(response.StatusCode)
	x.stream.started, x.stream.resumable = true, true
	x.stream.lastID = x.request.ResumeAfter
	x.stream.contentType = response.Header.Get("Content-Type")
}

// copyEvents forwards complete events. Bytes after the last event are forwarded only
// if the stream ended properly. The end of an event stream, or of a body that is not framed and
// ends with its connection, is proper only after a complete event, and the latter needs one.
//
// An event in a chunk that is malformed or cut off is not forwarded, nor one that ends before its chunk
// does until the chunk's end mark has arrived. If an event of a malformed chunk has
// been forwarded before the rest of the chunk arrived, the stream can't be resumed, since the caller may
// have a wrong event.
//
// Errors: errCallerGone, errEventTooLarge, or the error of reading body.
func (x *exchange) copyEvents(conn *upstream.Conn, response *http.Response, framed, resumed bool) error {
	flusher, _ := x.w.(http.Flusher)
	forwarded := resumed // whether an event has been forwarded
	// Offsets in the body: of the first byte in pending, and of the end of the last event that was
	// forwarded in this attempt.
	var begin, forwardedEnd int64
	b := getBuffer()
	defer putBuffer(b)
	pending := b.b[:0]
	defer func() { b.b = pending }()
	// Events are forwarded whole, so that their memory is charged also if there is no room.
	held := x.g.account.Track(overload.Responses, int64(cap(pending)))
	defer held.Release()
	for {
		if len(pending) >= maxEventBytes {
			return errEventTooLarge
		}
		if len(pending) == cap(pending) {
			before := cap(pending)
			pending = append(pending, 0)[:len(pending)]
			held.Charge(int64(cap(pending) - before))
		}
		n, err := response.Body.Read(pending[len(pending):cap(pending)])
		pending = pending[:len(pending)+n]
		end := lastPlausibleEnd(pending, begin, conn.Framing())
		if err != nil && !errors.Is(err, io.EOF) {
			end = lastCheckedEnd(pending, begin, conn.Framing())
		}
		if end > 0 {
			x.version.recordEvent(time.Now(), x.route.GapGoal)
			if x.answerBegan.IsZero() {
				x.answerBegan = time.Now()
			} else if time.Since(x.answerBegan) >= poison.SettledTime {
				x.recordAnswer()
			}
			out := pending[:end]
			x.observeEvents(out)
			if resumed {
				out = x.stream.unseen(out)
			}
			if len(out) > 0 {
				x.startStream(response)
				x.stream.recordLastID(out)
				forwardedEnd = begin + int64(end)
				began := time.Now()
				if _, werr := x.w.Write(out); werr != nil {
					return errCallerGone
				}
				flusher.Flush()
				x.version.lastEvent = time.Now()
				x.reader.record(began, time.Now())
				if !forwarded {
					x.recordOwnTime()
				}
				forwarded = true
			}
			pending = pending[:copy(pending, pending[end:])]
			begin += int64(end)
		}
		if httpcheck.MalformedBody(err) && !conn.Framing().Checked(forwardedEnd) {
			x.stream.resumable = false
			x.log("stream not resumed", string(api.RefusalUpstreamIncomplete), zap.Error(err))
		}
		if err == io.EOF {
			inEvent := len(pending) > 0 && (!framed || isEventStream(response))
			if inEvent || !framed && !forwarded {
				return io.ErrUnexpectedEOF
			}
			x.startStream(response)
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

// lastEventEnd returns the number of bytes of the complete events at the start of a stream's bytes.
func lastEventEnd(stream []byte) int {
	if end := bytes.LastIndex(stream, eventEnd); end >= 0 {
		return end + len(eventEnd)
	}
	return 0
}

// lastPlausibleEnd is lastEventEnd without the events that may prove wrong when the end mark of their
// chunk arrives. begin is the offset of the bytes in the body.
func lastPlausibleEnd(stream []byte, begin int64, framing upstream.Framing) int {
	end := lastEventEnd(stream)
	if framing.Doubtful(begin + int64(end)) {
		return lastEventEnd(stream[:max(0, framing.Ended-begin)])
	}
	return end
}

// lastCheckedEnd is lastEventEnd for the events that are known to be whole by the framing of the body.
// begin is the offset of the bytes in the body.
func lastCheckedEnd(stream []byte, begin int64, framing upstream.Framing) int {
	if !framing.Chunked {
		return lastEventEnd(stream)
	}
	if end := framing.Ended - begin; end > 0 && end <= int64(len(stream)) && bytes.HasSuffix(stream[:end], eventEnd) {
		return int(end)
	}
	return lastEventEnd(stream[:min(max(0, framing.Followed-begin), int64(len(stream)))])
}

// recordLastID records the id of the last of the complete events that are forwarded. If
// they have no id, the stream can no longer be resumed.
func (s *streamState) recordLastID(events []byte) {
	id := lastID(events)
	if id == "" {
		s.resumable = false
		return
	}
	s.lastID = id
}

// unseen returns the events without the leading ones that the caller has received already.
// An event whose id is not a number can't be compared; it is returned with all that follow.
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

// lastID returns the value of the last id field in events, or "" if there is none.
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
