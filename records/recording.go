package records

import (
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// Open records the start of a failure; see LocalRecords.Open.
func (r *Recorder) Open(kind api.RecordKind, subject, zone, text, effect, action, remaining string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := r.local.Open(kind, subject, zone, r.opts.Now(), text, effect, action, remaining)
	r.reportIfLost(id, kind, subject, text)
	return id
}

// RecordEvent records a failure without duration; see LocalRecords.RecordEvent.
func (r *Recorder) RecordEvent(kind api.RecordKind, subject, zone, text, effect, action, remaining string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := r.local.RecordEvent(kind, subject, zone, r.opts.Now(), text, effect, action, remaining)
	r.reportIfLost(id, kind, subject, text)
	return id
}

// Update changes the texts of an open record; see LocalRecords.Update.
func (r *Recorder) Update(id, text, effect, action, remaining string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.local.Update(id, text, effect, action, remaining)
}

// Close ends an open record; see LocalRecords.Close.
func (r *Recorder) Close(id, remaining string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.local.Close(id, r.opts.Now(), remaining)
}

// Lookup returns the id of the open record of a failure, or "".
func (r *Recorder) Lookup(kind api.RecordKind, subject string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.local.Lookup(kind, subject)
}

// OpenOnce records the start of a failure unless its record is already open.
func (r *Recorder) OpenOnce(kind api.RecordKind, subject, zone, text, effect, action, remaining string) {
	if r.Lookup(kind, subject) == "" {
		r.Open(kind, subject, zone, text, effect, action, remaining)
	}
}

// CloseIfOpen closes the open record of a failure, if there is one, and clears what is
// left for a person.
func (r *Recorder) CloseIfOpen(kind api.RecordKind, subject string) {
	if id := r.Lookup(kind, subject); id != "" {
		r.Close(id, "")
	}
}

// reportIfLost counts and logs a record that was not created, which an empty id
// shows. The log is then the only place that holds its text.
func (r *Recorder) reportIfLost(id string, kind api.RecordKind, subject, text string) {
	if id != "" {
		return
	}
	r.opts.Metrics.Counter("records.lost").Inc(1)
	r.opts.Logger.Warn("record dropped, no space left", zap.String("kind", string(kind)), zap.String("subject", subject), zap.String("text", text))
}
