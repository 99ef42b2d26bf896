package records

import (
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// Open records the start of a failure; see Book.Open.
func (k *Keeper) Open(kind api.RecordKind, subject, zone, text, effect, action, remaining string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	id := k.local.Open(kind, subject, zone, k.opts.Now(), text, effect, action, remaining)
	k.reportIfLost(id, kind, subject, text)
	return id
}

// Event records a failure without duration; see Book.Event.
func (k *Keeper) Event(kind api.RecordKind, subject, zone, text, effect, action, remaining string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	id := k.local.Event(kind, subject, zone, k.opts.Now(), text, effect, action, remaining)
	k.reportIfLost(id, kind, subject, text)
	return id
}

// Update changes the texts of an open record; see Book.Update.
func (k *Keeper) Update(id, text, effect, action, remaining string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.local.Update(id, text, effect, action, remaining)
}

// Close ends an open record; see Book.Close.
func (k *Keeper) Close(id, remaining string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.local.Close(id, k.opts.Now(), remaining)
}

// Lookup returns the id of the open record of a failure, or "".
func (k *Keeper) Lookup(kind api.RecordKind, subject string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.local.Lookup(kind, subject)
}

// OpenOnce records the start of a failure unless its record is already open.
func (k *Keeper) OpenOnce(kind api.RecordKind, subject, zone, text, effect, action, remaining string) {
	if k.Lookup(kind, subject) == "" {
		k.Open(kind, subject, zone, text, effect, action, remaining)
	}
}

// End closes the open record of a failure, if there is one, and clears what is
// left for a person.
func (k *Keeper) End(kind api.RecordKind, subject string) {
	if id := k.Lookup(kind, subject); id != "" {
		k.Close(id, "")
	}
}

// reportIfLost counts and logs a record that was not created, which an empty id
// shows. The log is then the only place that holds its text.
func (k *Keeper) reportIfLost(id string, kind api.RecordKind, subject, text string) {
	if id != "" {
		return
	}
	k.opts.Metrics.Counter("records.lost").Inc(1)
	k.opts.Logger.Warn("record dropped, no space left", zap.String("kind", string(kind)), zap.String("subject", subject), zap.String("text", text))
}
