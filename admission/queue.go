package admission

import (
	"math"
	"time"
)

// queuedRequest is a request in the queue.
type queuedRequest struct {
	request  Request
	received time.Time
	sequence uint64
}

// workspaceLoad holds the number of requests that one workspace has in flight at the
// endpoint, and its queued requests.
type workspaceLoad struct {
	inflight int
	// queue is in the order of service: by priority, then by arrival.
	queue []queuedRequest
}

// queue holds the queued requests and the numbers of requests in flight, by workspace.
// A workspace that has no request queued or in flight is removed.
type queue struct {
	capacity   int    // requests that may be queued
	total      int    // queued requests of all workspaces
	sequence   uint64 // requests queued so far
	workspaces map[string]*workspaceLoad
	// free holds workspaceLoad values for reuse, which saves an allocation for
	// each request of a workspace with little traffic.
	free []*workspaceLoad
}

const maxFreeWorkspaces = 64

func newQueue(capacity int) queue {
	return queue{capacity: capacity, workspaces: map[string]*workspaceLoad{}}
}

func (q *queue) workspace(name string) *workspaceLoad {
	if w, ok := q.workspaces[name]; ok {
		return w
	}
	w := q.newWorkspaceLoad()
	q.workspaces[name] = w
	return w
}

func (q *queue) newWorkspaceLoad() *workspaceLoad {
	last := len(q.free) - 1
	if last < 0 {
		return &workspaceLoad{}
	}
	w := q.free[last]
	q.free = q.free[:last]
	return w
}

func (q *queue) removeIfIdle(name string, w *workspaceLoad) {
	if w.inflight > 0 || len(w.queue) > 0 {
		return
	}
	delete(q.workspaces, name)
	if len(q.free) < maxFreeWorkspaces {
		q.free = append(q.free, w)
	}
}

func (q *queue) addInflight(name string) {
	q.workspace(name).inflight++
}

func (q *queue) removeInflight(name string) {
	w := q.workspace(name)
	w.inflight--
	q.removeIfIdle(name, w)
}

func (q *queue) queuedCount(name string) int {
	if w, ok := q.workspaces[name]; ok {
		return len(w.queue)
	}
	return 0
}

func (q *queue) full() bool {
	return q.total >= q.capacity
}

// shareExhausted reports whether the workspace occupies at least as many places
// of the queue as are free. The rule leaves room for workspaces that have nothing
// queued yet: one workspace gets half of the queue, two get a third each.
func (q *queue) shareExhausted(name string) bool {
	return q.queuedCount(name) >= q.capacity-q.total
}

func (q *queue) push(now time.Time, r Request) {
	w := q.workspace(r.Workspace)
	at := len(w.queue)
	for at > 0 && w.queue[at-1].request.Priority < r.Priority {
		at--
	}
	q.sequence++
	w.queue = append(w.queue, queuedRequest{})
	copy(w.queue[at+1:], w.queue[at:])
	w.queue[at] = queuedRequest{request: r, received: now, sequence: q.sequence}
	q.total++
}

func (q *queue) removeAt(name string, w *workspaceLoad, at int) queuedRequest {
	item := w.queue[at]
	copy(w.queue[at:], w.queue[at+1:])
	w.queue[len(w.queue)-1] = queuedRequest{}
	w.queue = w.queue[:len(w.queue)-1]
	q.total--
	q.removeIfIdle(name, w)
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

// next removes and returns the request to serve next, or false if none is queued. share
// is the number of requests in flight from which a workspace has used up its share.
// Such a workspace is skipped while a workspace below its share has requests queued.
func (q *queue) next(share int) (queuedRequest, bool) {
	var bestName string
	var best *workspaceLoad
	for name, w := range q.workspaces {
		if len(w.queue) > 0 && (best == nil || servedBefore(w, best, share)) {
			bestName, best = name, w
		}
	}
	if best == nil {
		return queuedRequest{}, false
	}
	return q.removeAt(bestName, best, 0), true
}

func servedBefore(a, b *workspaceLoad, share int) bool {
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

// requestsAhead estimates how many queued requests are served before the new request r.
// It is the sum of three counts:
//
//   - the requests in the workspace of r with the same or a higher priority;
//   - the requests in the other workspaces with a higher priority;
//   - the requests in the other workspaces with the same priority. Each workspace
//     adds at most the first count plus one; the one stands for r.
func (q *queue) requestsAhead(r Request) int {
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

func (w *workspaceLoad) countAtLeast(priority int) int {
	count := 0
	for count < len(w.queue) && w.queue[count].request.Priority >= priority {
		count++
	}
	return count
}

// removeIf removes and returns the queued requests for which match returns true.
func (q *queue) removeIf(match func(*queuedRequest) bool) []queuedRequest {
	var removed []queuedRequest
	for name, w := range q.workspaces {
		for i := 0; i < len(w.queue); {
			if match(&w.queue[i]) {
				removed = append(removed, q.removeAt(name, w, i))
			} else {
				i++
			}
		}
	}
	return removed
}

// serviceTime is a moving average of the time for which a permit is in use.
type serviceTime struct {
	mean    time.Duration
	samples int
}

const (
	// serviceTimeWeight gives the last twenty or so permits most of the weight.
	serviceTimeWeight = 0.1
	// minServiceSamples is the number of samples below which no wait is estimated, so
	// that one unusual permit does not cause refusals.
	minServiceSamples = 5
)

func (s *serviceTime) add(d time.Duration) {
	s.samples++
	weight := max(serviceTimeWeight, 1/float64(s.samples))
	s.mean += time.Duration(weight * float64(d-s.mean))
}

// estimateWait estimates the time until a request with the given number of others
// ahead of it is served. It returns 0 while there are too few samples.
func (s *serviceTime) estimateWait(ahead, limit int) time.Duration {
	if s.samples < minServiceSamples || limit <= 0 {
		return 0
	}
	return time.Duration(math.Round(float64(s.mean) * float64(ahead+1) / float64(limit)))
}
