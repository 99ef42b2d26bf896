package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// ServiceFaults are the faults of a Service; the zero value injects none.
type ServiceFaults struct {
	// AffectedCalls is the number of calls after which all faults are cleared; 0 means
	// that they stay.
	AffectedCalls int
	// LoseResponse runs the call and closes the connection without a response.
	LoseResponse bool
	// CutBody runs the call and closes the connection in the middle of the body.
	CutBody bool
	// CloseDelimited runs the call and sends a response without a length, whose body ends
	// with the connection.
	CloseDelimited bool
	// WrongRequestID runs the call and responds with the request id of another call.
	WrongRequestID bool
	// ResponseDelay is how long the response is delayed after the call has run.
	ResponseDelay time.Duration
	// CloseBeforeReading closes the connection without running the call.
	CloseBeforeReading bool
	// RefuseNotRun refuses the call with 503 and X-Not-Run.
	RefuseNotRun bool
}

// ServiceRun is one call that a Service ran. RequestID, IdempotencyKey and Priority are
// the headers X-Request-Id, Idempotency-Key and X-Priority.
type ServiceRun struct {
	At                        time.Time
	RequestID, IdempotencyKey string
	Method, Path, Priority    string
	Body                      []byte
}

// Service is a test double of a plain service, i.e. one that is not a model engine. It
// keeps a stock of items. GET /stock/{item} returns the quantity of an item, and POST
// /holds reserves some of it; any other call has no effect on the stock. The service
// records every call that it runs. It deliberately runs a call with a repeated
// Idempotency-Key again, so that tests can count the runs.
type Service struct {
	mux *http.ServeMux

	mu     sync.Mutex
	faults ServiceFaults
	stock  map[string]int
	runs   []ServiceRun
}

// NewService returns a service with the given stock: the quantity of each item by its name.
func NewService(stock map[string]int) *Service {
	s := &Service{mux: http.NewServeMux(), stock: map[string]int{}}
	for item, quantity := range stock {
		s.stock[item] = quantity
	}
	s.mux.HandleFunc("GET /stock/{item}", s.serveStock)
	s.mux.HandleFunc("POST /holds", s.serveHold)
	s.mux.HandleFunc("/", s.serveOther)
	return s
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Runs returns all runs, oldest first.
func (s *Service) Runs() []ServiceRun {
	return s.runsMatching(func(ServiceRun) bool { return true })
}

// RunsOfKey returns the runs with the given Idempotency-Key.
func (s *Service) RunsOfKey(key string) []ServiceRun {
	return s.runsMatching(func(r ServiceRun) bool { return r.IdempotencyKey == key })
}

// RunsOfRequest returns the runs with the given X-Request-Id.
func (s *Service) RunsOfRequest(id string) []ServiceRun {
	return s.runsMatching(func(r ServiceRun) bool { return r.RequestID == id })
}

func (s *Service) runsMatching(match func(ServiceRun) bool) []ServiceRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []ServiceRun
	for _, r := range s.runs {
		if match(r) {
			found = append(found, r)
		}
	}
	return slices.Clip(found)
}

// Stock returns the available quantity of an item.
func (s *Service) Stock(item string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stock[item]
}

func (s *Service) takeFaults() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if faults.AffectedCalls == 1 {
		s.faults = ServiceFaults{}
	} else if faults.AffectedCalls > 1 {
		s.faults.AffectedCalls--
	}
	return faults
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	faults := s.takeFaults()
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if faults.CloseBeforeReading {
		panic(http.ErrAbortHandler)
	}
	if faults.RefuseNotRun {
		w.Header().Set("X-Not-Run", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.record(r, body)
	response := &bufferedResponse{header: w.Header(), status: http.StatusOK}
	s.mux.ServeHTTP(response, r)
	if faults.WrongRequestID {
		w.Header().Set("X-Request-Id", "crossed-"+id)
	}
	sleepFor(r.Context(), faults.ResponseDelay)
	response.writeTo(w, faults)
}

func (s *Service) record(r *http.Request, body []byte) {
	run := ServiceRun{
		At:             time.Now(),
		RequestID:      r.Header.Get("X-Request-Id"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Method:         r.Method,
		Path:           r.URL.Path,
		Priority:       r.Header.Get("X-Priority"),
		Body:           body,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run)
	// The body was read to its end; the handlers read this copy.
	r.Body = io.NopCloser(bytes.NewReader(body))
}

// bufferedResponse holds a response until the faults are applied.
type bufferedResponse struct {
	header http.Header
	status int
	body   []byte
}

func (a *bufferedResponse) Header() http.Header { return a.header }

func (a *bufferedResponse) WriteHeader(status int) { a.status = status }

func (a *bufferedResponse) Write(p []byte) (int, error) {
	a.body = append(a.body, p...)
	return len(p), nil
}

func (a *bufferedResponse) writeTo(w http.ResponseWriter, faults ServiceFaults) {
	if faults.LoseResponse {
		panic(http.ErrAbortHandler)
	}
	if faults.CloseDelimited {
		// With this header net/http adds neither a length nor chunking.
		w.Header().Del("Content-Length")
		w.Header().Set("Transfer-Encoding", "identity")
		w.WriteHeader(a.status)
		_, _ = w.Write(a.body)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	if faults.CutBody {
		_, _ = w.Write(a.body[:len(a.body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(a.body)
}

// StockResponse is the body of GET /stock/{item}.
type StockResponse struct {
	Item      string `json:"item"`
	Available int    `json:"available"`
}

// HoldRequest is the body of POST /holds.
type HoldRequest struct {
	Item     string `json:"item"`
	Quantity int    `json:"quantity"`
}

// HoldResponse is the response body of POST /holds. The status is 201, or 409 if the
// stock is too small.
type HoldResponse struct {
	Held bool `json:"held"`
	Left int  `json:"left"`
}

func (s *Service) serveStock(w http.ResponseWriter, r *http.Request) {
	item := r.PathValue("item")
	writeJSONWithLength(w, http.StatusOK, StockResponse{item, s.Stock(item)})
}

func (s *Service) serveHold(w http.ResponseWriter, r *http.Request) {
	var hold HoldRequest
	if err := json.NewDecoder(r.Body).Decode(&hold); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	held := s.stock[hold.Item] >= hold.Quantity
	if held {
		s.stock[hold.Item] -= hold.Quantity
	}
	left := s.stock[hold.Item]
	s.mu.Unlock()
	status := http.StatusCreated
	if !held {
		status = http.StatusConflict
	}
	writeJSONWithLength(w, status, HoldResponse{held, left})
}

func (s *Service) serveOther(w http.ResponseWriter, r *http.Request) {
	writeJSONWithLength(w, http.StatusOK, struct {
		Method string `json:"method"`
		Path   string `json:"path"`
	}{r.Method, r.URL.Path})
}
