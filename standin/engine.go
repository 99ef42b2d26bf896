// Package standin holds test doubles of the systems that routers talk to: the
// platform's object store, model engines and plain services. Their faults can be
// changed while they run. A TCP proxy injects faults of the network.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// EngineConfig sets the behaviour of an Engine. Zero durations mean no delay.
type EngineConfig struct {
	// ID is the prefix of the engine's boot ids.
	ID string
	// Models and Adapters are loaded at the start. A completion for a model that is not
	// loaded gets status 404.
	Models   []string
	Adapters []string
	// TTFT is the time to first token of an uncached prompt. If a share of the prompt's
	// tokens is cached, the time is shorter by that share.
	TTFT time.Duration
	// TokenInterval is the time between two tokens. 0 generates all tokens at once.
	TokenInterval time.Duration
	// MaxRunning is the number of requests that run concurrently; the rest are queued.
	// 0 means 8.
	MaxRunning int
	// CacheTokens is the capacity of the prefix cache in tokens. 0 means 65536.
	CacheTokens int
	// ResumeWindow is how long a stream can be resumed. It begins when the last response
	// that sends the stream's events ends. 0 means 2s.
	ResumeWindow time.Duration
	// LoadLag is the age of the load report that GET /load returns.
	LoadLag time.Duration
	// Events sets how cache events are published.
	Events EventConfig
	// ChecksFencing makes the engine reject orders with a fencing number below the
	// highest one that it has seen.
	ChecksFencing bool
	// KVBytesPerToken is the size of the exported KV cache of one token in bytes.
	// 0 means 16.
	KVBytesPerToken int
}

// EngineFaults are the faults of an Engine; the zero value injects none.
type EngineFaults struct {
	// AffectedCalls is the number of completions and resumptions after which all faults
	// are cleared; 0 means that they stay.
	AffectedCalls int
	// CutAfter above 0 closes the connection of each response before the response is
	// complete: after this number of events if it is streamed, and otherwise in the middle
	// of its body.
	CutAfter int
	// WrongResponse sends a response with the request id and the text of another request.
	WrongResponse bool
	// HeaderDelay is how long the response header is delayed.
	HeaderDelay time.Duration
	// DuplicateAt is the id of an event that is sent twice, and MissingAt the id of an
	// event that is not sent. 0 means none.
	DuplicateAt, MissingAt int
	// OmitEndMarker omits the end marker but ends the response properly.
	OmitEndMarker bool
	// RefuseNotRun refuses completions with 503 and X-Not-Run.
	RefuseNotRun bool
	// Hang runs the request but never responds.
	Hang bool
	// Close runs the request and closes the connection without a response.
	Close bool
	// FlapPeriod above 0 divides the time since the engine was created into periods of this
	// length. In every second period the engine closes the connection of each request.
	FlapPeriod time.Duration
}

// EngineCounters are totals since the engine was created.
type EngineCounters struct {
	// Started counts the completions that arrived for a loaded model, including those
	// that Overloaded counts. Resumed counts the requests that resumed a stream. Continued
	// counts the runs that generated only the rest of an answer, namely the part after the
	// event in X-Resume-After. Cancelled counts the runs that ended before their last event.
	// Refused counts the completions refused with X-Not-Run.
	Started, Resumed, Continued, Cancelled, Refused int
	// PromptTokens counts the prompt tokens of all runs, and CachedTokens the cached ones
	// among them.
	PromptTokens, CachedTokens int
	// MaxConcurrent is the largest number of requests that ran or waited when a request
	// arrived, including that request, even if it failed as overloaded.
	MaxConcurrent int
	// StartedOverLimit counts the requests that arrived while as many requests as the
	// limit allows ran or waited. The limit is the reported api.LoadReport.Bearable while
	// the engine is cold or warming, and EngineConfig.MaxRunning otherwise.
	StartedOverLimit int
	// Overloaded counts the requests in StartedOverLimit that failed with status 500
	// because the engine was cold or warming.
	Overloaded int
}

// CompletionStart describes one completion at its arrival.
type CompletionStart struct {
	At        time.Time
	RequestID string
	Readiness api.Readiness
	// Concurrent is the number of requests that run or wait, including this one. Limit is
	// the limit for that number; see EngineCounters.StartedOverLimit.
	Concurrent, Limit int
}

// Engine is a test double of a model engine. It is an http.Handler. Each token that it
// generates depends only on the model, the messages and the token's position.
type Engine struct {
	config    EngineConfig
	mux       *http.ServeMux
	createdAt time.Time
	ctx       context.Context
	stop      context.CancelFunc
	runs      sync.WaitGroup
	slots     chan struct{}

	mu       sync.Mutex
	faults   EngineFaults
	report   api.LoadReport
	history  []timedReport
	streams  map[string]*run
	cache    *prefixCache
	counters EngineCounters
	starts   []CompletionStart
	orders   []api.Order
	boots    int
}

type timedReport struct {
	at     time.Time
	report api.LoadReport
}

// run is the generation of one completion. Its mutable fields are guarded by Engine.mu.
type run struct {
	id      string
	request completionRequest
	seed    uint64
	prompt  promptCount
	cancel  context.CancelFunc
	// available is the id of the newest event generated so far.
	available int
	ended     bool
	cancelled bool
	// changed is closed and replaced when available or ended changes.
	changed chan struct{}
	// readers is the number of responses that are sending the run's events.
	readers int
	// expiry calls Engine.expire. It is restarted when a response ends.
	expiry *time.Timer
}

// NewEngine returns an engine that reports itself ready. The caller must first close the
// HTTP server that serves the engine, and then the engine.
func NewEngine(config EngineConfig) *Engine {
	setDefault(&config.MaxRunning, 8)
	setDefault(&config.CacheTokens, 1<<16)
	setDefault(&config.ResumeWindow, 2*time.Second)
	setDefault(&config.KVBytesPerToken, 16)
	e := &Engine{
		config:    config,
		mux:       http.NewServeMux(),
		createdAt: time.Now(),
		slots:     make(chan struct{}, config.MaxRunning),
		streams:   map[string]*run{},
		cache:     newPrefixCache(config.CacheTokens, config.Events),
	}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.report = api.LoadReport{
		BootID:     config.ID + "-0",
		Readiness:  api.ReadinessReady,
		MaxRunning: config.MaxRunning,
		Models:     slices.Clone(config.Models),
		Adapters:   slices.Clone(config.Adapters),
	}
	e.recordLoad()
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	e.mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	e.mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	e.mux.HandleFunc("GET /load", e.serveLoad)
	e.mux.HandleFunc("GET /cache/events", e.serveCacheEvents)
	e.mux.HandleFunc("POST /orders", e.serveOrder)
	e.mux.HandleFunc("GET /kv/{prefix}", e.serveExport)
	e.mux.HandleFunc("PUT /kv/{prefix}", e.serveImport)
	return e
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Close cancels all runs and waits until they have ended.
func (e *Engine) Close() {
	e.stop()
	e.runs.Wait()
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	flap := e.faults.FlapPeriod
	e.mu.Unlock()
	if flap > 0 && time.Since(e.createdAt)/flap%2 == 1 {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// SetReadiness changes the reported readiness. While the engine is cold or warming, a
// request fails with status 500 if bearable requests already run or wait.
func (e *Engine) SetReadiness(readiness api.Readiness, bearable int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.Readiness, e.report.Bearable = readiness, bearable
	e.recordLoad()
}

// Restart simulates a restart: the engine gets an empty cache and a new boot id, and runs
// in progress are cancelled. Afterwards the engine is cold; bearable has the same meaning
// as in SetReadiness.
func (e *Engine) Restart(bearable int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boots++
	e.report.BootID = fmt.Sprintf("%s-%d", e.config.ID, e.boots)
	e.report.Readiness, e.report.Bearable = api.ReadinessCold, bearable
	e.cache.clear()
	for id, r := range e.streams {
		r.cancelled = true
		r.cancel()
		delete(e.streams, id)
	}
	e.recordLoad()
}

// Counters returns the totals.
func (e *Engine) Counters() EngineCounters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// CompletionStarts returns the completions that arrived, oldest first. It leaves out
// those that were refused, were invalid or asked for a model that is not loaded.
func (e *Engine) CompletionStarts() []CompletionStart {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.starts)
}

// Orders returns the applied orders, oldest first. An order that arrived repeatedly is
// listed once.
func (e *Engine) Orders() []api.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Running returns the number of requests that run or wait.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report.Running + e.report.Waiting
}

// takeFaults returns the faults for one completion or resumption and counts that call
// against AffectedCalls.
func (e *Engine) takeFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	faults := e.faults
	if faults.AffectedCalls == 1 {
		e.faults = EngineFaults{}
	} else if faults.AffectedCalls > 1 {
		e.faults.AffectedCalls--
	}
	return faults
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	// The server notices a disconnect only after the whole body was read.
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &request)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	setDefault(&request.MaxTokens, defaultMaxTokens)
	request.after, _ = strconv.Atoi(r.Header.Get("X-Resume-After"))
	seed := request.seed()
	if request.ContinueFrom != generateText(seed, min(request.after, request.MaxTokens)) {
		http.Error(w, "continue_from is not the text up to X-Resume-After", http.StatusBadRequest)
		return
	}
	faults := e.takeFaults()
	if faults.RefuseNotRun {
		e.refuseNotRun(w)
		return
	}
	current, status := e.startRun(id, r.Header.Get("X-Chat-Key"), request, seed)
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	defer e.releaseReader(current)
	e.delayResponse(r.Context(), faults)
	if faults.WrongResponse {
		w.Header().Set("X-Request-Id", "crossed-"+id)
		seed++
	}
	if request.Stream {
		e.writeEvents(w, r, current, seed, request.after, faults)
		return
	}
	e.writeFullResponse(w, r, current, seed, faults)
}

func (e *Engine) refuseNotRun(w http.ResponseWriter) {
	e.mu.Lock()
	e.counters.Refused++
	e.mu.Unlock()
	w.Header().Set("X-Not-Run", "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// delayResponse applies the faults that delay the response header or close the connection
// without a response.
func (e *Engine) delayResponse(ctx context.Context, faults EngineFaults) {
	if faults.Hang {
		<-ctx.Done()
	}
	if faults.Close || faults.Hang {
		panic(http.ErrAbortHandler)
	}
	sleepFor(ctx, faults.HeaderDelay)
}

// sleepFor returns false if ctx ended first.
func sleepFor(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// startRun registers a completion and generates it in a goroutine. It returns status 200
// if the run has started, and otherwise the error status for the response.
func (e *Engine) startRun(id, chatKey string, request completionRequest, seed uint64) (*run, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.report.Models, request.Model) {
		return nil, http.StatusNotFound
	}
	if e.ctx.Err() != nil {
		return nil, http.StatusInternalServerError
	}
	concurrent := e.report.Running + e.report.Waiting + 1
	limit, cold := e.limit()
	e.counters.Started++
	e.counters.MaxConcurrent = max(e.counters.MaxConcurrent, concurrent)
	e.starts = append(e.starts, CompletionStart{time.Now(), id, e.report.Readiness, concurrent, limit})
	if concurrent > limit {
		e.counters.StartedOverLimit++
		if cold {
			e.counters.Overloaded++
			return nil, http.StatusInternalServerError
		}
	}
	if request.after > 0 {
		e.counters.Continued++
	}
	current := &run{
		id: id, request: request, seed: seed, readers: 1,
		available: request.after,
		prompt:    e.cache.lookup(chatKey, request.Messages),
		changed:   make(chan struct{}),
	}
	e.counters.PromptTokens += current.prompt.total
	e.counters.CachedTokens += current.prompt.cached
	if old := e.streams[id]; old != nil {
		old.cancel()
	}
	e.streams[id] = current
	e.report.Waiting++
	e.recordLoad()
	ctx, cancel := context.WithCancel(e.ctx)
	current.cancel = cancel
	e.runs.Go(func() { e.generate(ctx, current, chatKey) })
	return current, http.StatusOK
}

func (e *Engine) limit() (limit int, cold bool) {
	switch e.report.Readiness {
	case api.ReadinessCold, api.ReadinessWarming:
		return e.report.Bearable, true
	}
	return e.config.MaxRunning, false
}

func (e *Engine) generate(ctx context.Context, r *run, chatKey string) {
	defer r.cancel()
	select {
	case e.slots <- struct{}{}:
		e.addLoad(1, -1)
		e.generateTokens(ctx, r, chatKey)
		e.addLoad(-1, 0)
		<-e.slots
	case <-ctx.Done():
		e.addLoad(0, -1)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r.ended = true
	r.cancelled = r.cancelled || r.available < r.lastEvent()
	if r.cancelled {
		e.counters.Cancelled++
	}
	r.notifyReaders()
}

func (e *Engine) generateTokens(ctx context.Context, r *run, chatKey string) {
	uncached := 1.0
	if r.prompt.total > 0 {
		uncached = 1 - float64(r.prompt.cached)/float64(r.prompt.total)
	}
	if !sleepFor(ctx, time.Duration(uncached*float64(e.config.TTFT))) {
		return
	}
	e.mu.Lock()
	e.cache.store(chatKey, r.request.Messages)
	e.mu.Unlock()
	for r.request.MaxTokens > r.available {
		step := 1
		if e.config.TokenInterval == 0 {
			step = r.request.MaxTokens
		}
		if !e.advance(r, min(r.available+step, r.request.MaxTokens)) || !sleepFor(ctx, e.config.TokenInterval) {
			return
		}
	}
	answer, _ := json.Marshal(generateText(r.seed, r.request.MaxTokens))
	messages := append(slices.Clone(r.request.Messages), chatMessage{"assistant", answer})
	e.mu.Lock()
	e.cache.store(chatKey, messages)
	e.mu.Unlock()
	e.advance(r, r.lastEvent())
}

// advance makes the events up to the given id available and returns false if the run
// was cancelled. Only the goroutine of the run calls it.
func (e *Engine) advance(r *run, available int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.available = max(r.available, available)
	r.notifyReaders()
	return !r.cancelled
}

func (r *run) notifyReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// lastEvent is the id of the end marker, which follows the tokens and the usage.
func (r *run) lastEvent() int { return r.request.MaxTokens + 2 }

func (e *Engine) addLoad(running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.Running += running
	e.report.Waiting += waiting
	e.recordLoad()
}

// releaseReader is called when a response that sent the run's events ends. After a further
// ResumeWindow the run is cancelled and removed, unless another response is then sending
// its events.
func (e *Engine) releaseReader(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.readers--
	if r.expiry != nil {
		r.expiry.Stop()
	}
	r.expiry = time.AfterFunc(e.config.ResumeWindow, func() { e.expire(r) })
}
