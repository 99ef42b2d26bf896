package admission

import (
	"math"
	"time"
)

// waiting is a queued request.
type waiting struct {
	request  Request
	received time.Time
	sequence uint64
}

// workspace is the use that one workspace makes of the endpoint.
type workspace struct {
	inflight int
	// queue is in the order of service: by priority, then by arrival.
	queue []waiting
}

// queue holds the waiting requests and the work in service by workspace. A
// workspace is kept only while it has either.
type queue struct {
	length     int
	total      int
	sequence   uint64
	workspaces map[string]*workspace
	// unused keeps workspace values for reuse, which saves an allocation for
	// each request of a workspace with little traffic.
	unused []*workspace
}

const maxUnusedWorkspaces = 64

func newQueue(length int) queue {
	return queue{length: length, workspaces: map[string]*workspace{}}
}

func (q *queue) workspace(name string) *workspace {
	if w, ok := q.workspaces[name]; ok {
		return w
	}
	w := q.unusedWorkspace()
	q.workspaces[name] = w
	return w
}

func (q *queue) unusedWorkspace() *workspace {
	last := len(q.unused) - 1
	if last < 0 {
		return &workspace{}
	}
	w := q.unused[last]
	q.unused = q.unused[:last]
	return w
}

func (q *queue) drop(name string, w *workspace) {
	if w.inflight > 0 || len(w.queue) > 0 {
		return
	}
	delete(q.workspaces, name)
	if len(q.unused) < maxUnusedWorkspaces {
		q.unused = append(q.unused, w)
	}
}

func (q *queue) started(name string) {
	q.workspace(name).inflight++
}

func (q *queue) finished(name string) {
	w := q.workspace(name)
	w.inflight--
	q.drop(name, w)
}

func (q *queue) queuedOf(name string) int {
	if w, ok := q.workspaces[name]; ok {
		return len(w.queue)
	}
	return 0
}

func (q *queue) full() bool {
	return q.total >= q.length
}

// shareUsed says whether the workspace has as many places as are free. The rule
// leaves room for workspaces that are not waiting yet: one workspace gets half
// of the queue, two get a third each.
func (q *queue) shareUsed(name string) bool {
	return q.queuedOf(name) >= q.length-q.total
}

func (q *queue) push(now time.Time, r Request) {
	w := q.workspace(r.Workspace)
	at := len(w.queue)
	for at > 0 && w.queue[at-1].request.Priority < r.Priority {
		at--
	}
	q.sequence++
	w.queue = append(w.queue, waiting{})
	copy(w.queue[at+1:], w.queue[at:])
	w.queue[at] = waiting{request: r, received: now, sequence: q.sequence}
	q.total++
}

func (q *queue) removeAt(name string, w *workspace, at int) waiting {
	item := w.queue[at]
	copy(w.queue[at:], w.queue[at+1:])
	w.queue[len(w.queue)-1] = waiting{}
	w.queue = w.queue[:len(w.queue)-1]
	q.total--
	q.drop(name, w)
	return item
}

func (q *queue) cancel(id string) bool {
	for name, w := range q.workspaces {
		for i := range w.queue {
			if w.queue[i].request.ID == id {
				q.removeAt(name, w, i)
				return true
			}
		}
	}
	return false
}

// next removes the request to serve. A workspace that already uses share
// requests of the endpoint is passed over while another one waits that does not.
func (q *queue) next(share int) (waiting, bool) {
	var bestName string
	var best *workspace
	for name, w := range q.workspaces {
		if len(w.queue) > 0 && (best == nil || servedBefore(w, best, share)) {
			bestName, best = name, w
		}
	}
	if best == nil {
		return waiting{}, false
	}
	return q.removeAt(bestName, best, 0), true
}

func servedBefore(a, b *workspace, share int) bool {
	aOver, bOver := a.inflight >= share, b.inflight >= share
	if aOver != bOver {
		return bOver
	}
	first, second := &a.queue[0], &b.queue[0]
	if first.request.Priority != second.request.Priority {
		return first.request.Priority > second.request.Priority
	}
	if a.inflight != b.inflight {
		return a.inflight < b.inflight
	}
	return first.sequence < second.sequence
}

// ahead estimates how many requests are served before a new one: all of higher
// priority, and of each workspace with the same priority as many as the new
// request's own workspace has in the queue.
func (q *queue) ahead(r Request) int {
	own, higher := 0, 0
	if w, ok := q.workspaces[r.Workspace]; ok {
		own = w.countAtLeast(r.Priority)
	}
	same := 0
	for name, w := range q.workspaces {
		if name == r.Workspace {
			continue
		}
		above := w.countAtLeast(r.Priority + 1)
		higher += above
		same += min(w.countAtLeast(r.Priority)-above, own+1)
	}
	return own + higher + same
}

func (w *workspace) countAtLeast(priority int) int {
	count := 0
	for count < len(w.queue) && w.queue[count].request.Priority >= priority {
		count++
	}
	return count
}

// take removes every request for which drop returns true.
func (q *queue) take(drop func(*waiting) bool) []waiting {
	var taken []waiting
	for name, w := range q.workspaces {
		for i := 0; i < len(w.queue); {
			if drop(&w.queue[i]) {
				taken = append(taken, q.removeAt(name, w, i))
			} else {
				i++
			}
		}
	}
	return taken
}

// serviceTime is a moving average of the time that a permit is held.
type serviceTime struct {
	mean    time.Duration
	samples int
}

const (
	// serviceTimeWeight gives the last twenty or so permits most of the weight.
	serviceTimeWeight = 0.1
	// minServiceSamples keeps one unusual permit from refusing requests.
	minServiceSamples = 5
)

func (s *serviceTime) add(d time.Duration) {
	s.samples++
	weight := max(serviceTimeWeight, 1/float64(s.samples))
	s.mean += time.Duration(weight * float64(d-s.mean))
}

// wait estimates the time until a request with the given number of others
// before it is served; 0 when too little is known.
func (s *serviceTime) wait(ahead, limit int) time.Duration {
	if s.samples < minServiceSamples || limit <= 0 {
		return 0
	}
	return time.Duration(math.Round(float64(s.mean) * float64(ahead+1) / float64(limit)))
}
