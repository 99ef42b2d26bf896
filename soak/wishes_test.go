package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// drainTime is the time after which an endpoint that has said that it leaves may get no
	// more requests from the router that passed on its answer.
	drainTime = 2 * time.Second
	// askedPause is the pause for which an endpoint asks. Within it, later than pauseGrace after
	// the refusal, at most maxPressing requests may come from the router that was refused.
	askedPause  = 2 * time.Second
	pauseGrace  = 500 * time.Millisecond
	maxPressing = 2
	// startHeader names the start of an endpoint that leaves.
	startHeader = "Endpoint-Start"
)

// routerAndStart is a router and one start of an endpoint.
type routerAndStart struct {
	router int
	start  string
}

// wishes checks that routers obey endpoints that leave or ask for a pause.
type wishes struct {
	mu      sync.Mutex
	sent    map[string]time.Time         // when callers sent their requests, by id
	leaving map[routerAndStart]time.Time // when the router passed on that the endpoint leaves
	refused map[routerAndStart]time.Time // when the endpoint asked the router for a pause
	presses map[routerAndStart]int       // requests within that pause
	// routerDisturbed and endpointDisturbed are the times of the last faults: a router that was
	// restarted or frozen, or could not be reached, may not know what the endpoint wants.
	routerDisturbed   map[int]time.Time
	ignored           map[int]bool // routers of a build that does not know these wishes
	endpointDisturbed map[string]time.Time
	told, asked       int
}

func newWishes() *wishes {
	return &wishes{
		sent: map[string]time.Time{}, leaving: map[routerAndStart]time.Time{}, refused: map[routerAndStart]time.Time{},
		presses: map[routerAndStart]int{}, ignored: map[int]bool{}, routerDisturbed: map[int]time.Time{}, endpointDisturbed: map[string]time.Time{},
	}
}

// routerOf returns the router to which a caller sent the request; see runCaller.
func routerOf(request string) (int, bool) {
	var caller, n int
	_, err := fmt.Sscanf(request, "c%d-%d", &caller, &n)
	return (caller + n) % routerCount, err == nil
}

func (w *wishes) send(request string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[request] = time.Now()
}

func (w *wishes) setIgnored(router int, ignored bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ignored[router] = ignored
}

func (w *wishes) disturbRouter(router int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.routerDisturbed[router] = time.Now()
}

func (w *wishes) disturbEndpoint(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endpointDisturbed[id] = time.Now()
}

// answered records that a caller got the answer of an endpoint that leaves.
func (w *wishes) answered(request string, response *http.Response) {
	router, ok := routerOf(request)
	if !ok || response.Header.Get("Server-Leaving") == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	key := routerAndStart{router, response.Header.Get(startHeader)}
	if _, known := w.leaving[key]; !known {
		w.leaving[key] = time.Now()
		w.told++
	}
}

// askForPause records that an endpoint refuses a request and asks for a pause.
func (w *wishes) askForPause(request, start string) {
	if router, ok := routerOf(request); ok {
		w.mu.Lock()
		defer w.mu.Unlock()
		key := routerAndStart{router, start}
		if now := time.Now(); now.Sub(w.refused[key]) >= askedPause {
			w.refused[key], w.presses[key] = now, 0
			w.asked++
		}
	}
}

// arrived checks a request that reaches an endpoint.
func (w *wishes) arrived(h *harness, request, start string) {
	router, ok := routerOf(request)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ignored[router] {
		return
	}
	now, key := time.Now(), routerAndStart{router, start}
	told, known := w.leaving[key]
	if known && w.sent[request].Sub(told) > drainTime && told.After(w.routerDisturbed[router]) {
		go h.addProblem("%s reached endpoint %s that had told router %d %s before that it leaves", request, start, router, now.Sub(told))
	}
	refused, known := w.refused[key]
	age := now.Sub(refused)
	if !known || age < pauseGrace || age > askedPause || refused.Before(w.routerDisturbed[router]) {
		return
	}
	for id, at := range w.endpointDisturbed {
		if len(start) > len(id) && start[:len(id)] == id && now.Sub(at) < 2*askedPause {
			return
		}
	}
	if w.presses[key]++; w.presses[key] == maxPressing+1 {
		go h.addProblem("endpoint %s got %d requests from router %d within its pause", start, maxPressing+1, router)
	}
}
