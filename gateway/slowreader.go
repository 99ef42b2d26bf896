package gateway

import "time"

// slowReaderTime is the shortest time of blocked writes after which an endpoint may have cut a response
// because it stayed unread. Endpoints wait for seconds; ordinary callers read within milliseconds.
const slowReaderTime = time.Second

// readerPace tells for how long writes to a caller have been blocked. The zero value is ready for use.
type readerPace struct {
	// since is the start of the latest period in which writes were blocked for at least half of the
	// time, and blocked is the time for which they were.
	since   time.Time
	blocked time.Duration
}

// record records a write from began to ended.
func (p *readerPace) record(began, ended time.Time) {
	if 2*p.blocked < began.Sub(p.since) {
		p.since, p.blocked = began, 0
	}
	p.blocked += ended.Sub(began)
}

// slow reports whether the caller read so slowly until now that the endpoint's bytes stayed unread.
func (p *readerPace) slow(now time.Time) bool {
	return p.blocked >= slowReaderTime && 2*p.blocked >= now.Sub(p.since)
}

// callerWriter writes to the caller and records its pace. Its only error is errCallerGone, so that one
// of the caller is not taken for one of the endpoint.
type callerWriter struct{ x *exchange }

// Write implements io.Writer.
func (w callerWriter) Write(b []byte) (int, error) {
	began := time.Now()
	n, err := w.x.w.Write(b)
	w.x.reader.record(began, time.Now())
	if err != nil {
		return n, errCallerGone
	}
	return n, nil
}
