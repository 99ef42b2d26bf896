package standin

import (
	"net/http"
	"strconv"
)

// expire cancels and removes a run that has no readers.
func (e *Engine) expire(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.readers > 0 {
		return
	}
	r.cancel()
	if e.streams[r.id] == r {
		delete(e.streams, r.id)
	}
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || after < 0 {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	current := e.streams[id]
	// A run that generates only the rest of an answer has no events up to request.after.
	if current == nil || after < current.request.after {
		e.mu.Unlock()
		http.Error(w, "stream not found", http.StatusNotFound)
		return
	}
	current.readers++
	e.counters.Resumed++
	e.mu.Unlock()
	defer e.releaseReader(current)
	faults := e.takeFaults()
	e.writeEvents(w, r, current, current.seed, after, faults)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	current := e.streams[r.PathValue("id")]
	if current != nil {
		current.cancelled = true
		current.cancel()
		delete(e.streams, current.id)
	}
	e.mu.Unlock()
	if current == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// progress returns the id of the newest available event, whether the run has ended, and
// a channel that is closed at the next change.
func (e *Engine) progress(r *run) (available int, ended bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.available, r.ended, r.changed
}
