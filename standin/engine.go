// Package standin holds test doubles of the systems that routers talk to, with
// faults that tests switch on and off while they run.
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
	ID       string
	Models   []string
	Adapters []string
	// TTFT is the time to first token of a prompt of which nothing is cached. A
	// cached part of the prompt shortens it in proportion.
	TTFT          time.Duration
	TokenInterval time.Duration
	// MaxRunning is the number of requests run at once; the rest wait. 0 means 8.
	MaxRunning int
	// CacheTokens bounds the prefix cache. 0 means 65536.
	CacheTokens int
	// KeepFor is how long a finished or disconnected stream may be resumed.
	// 0 means 2s.
	KeepFor time.Duration
	// LoadLag is the age of the figures that GET /load reports.
	LoadLag time.Duration
	// Events sets how cache events are published.
	Events        EventConfig
	ChecksFencing bool
	// KVBytesPerToken is the size of exported KV cache. 0 means 16.
	KVBytesPerToken int
}

// EngineFaults are faults of an Engine; the zero value has none.
type EngineFaults struct {
	// Times is the number of completions and resumptions affected; 0 means all.
	Times int
	// CutAfter breaks the connection after so many events of a response.
	CutAfter int
	// Crossed answers with the request id and the text of another request.
	Crossed bool
	// LateBy delays the response header.
	LateBy time.Duration
	// DuplicateAt and MissingAt name an event id to send twice or not at all.
	DuplicateAt, MissingAt int
	// NoEnd leaves out the end marker but ends the response properly.
	NoEnd bool
	// RefuseNotRun refuses completions with X-Not-Run.
	RefuseNotRun bool
	// Hang runs the request but never answers.
	Hang bool
	// Close runs the request and closes the connection without an answer.
	Close bool
	// FlapPeriod makes the engine close every connection in every second period.
	FlapPeriod time.Duration
}

// EngineCounters are totals since the engine was made.
type EngineCounters struct {
	Started, Resumed, Continued, Cancelled, Refused int
	PromptTokens, CachedTokens                      int
	// MaxConcurrent is the largest number of requests present at once.
	MaxConcurrent int
	// StartedOverLimit counts requests that arrived while the limit was reached:
	// bearable when cold or warming, MaxRunning otherwise.
	StartedOverLimit int
	// Overloaded counts requests failed because a cold engine had too many.
	Overloaded int
}

// EngineStart describes one accepted completion.
type EngineStart struct {
	At        time.Time
	RequestID string
	Readiness api.Readiness
	// Concurrent includes the request itself.
	Concurrent, Limit int
}

// Engine is a test double of a model engine. Its answers depend only on the model,
// the messages and the position in the answer.
type Engine struct {
	config EngineConfig
	mux    *http.ServeMux
	made   time.Time
	ctx    context.Context
	stop   context.CancelFunc
	runs   sync.WaitGroup
	slots  chan struct{}

	mu       sync.Mutex
	faults   EngineFaults
	report   api.LoadReport
	history  []timedReport
	streams  map[string]*run
	cache    *prefixCache
	counters EngineCounters
	starts   []EngineStart
	orders   []api.Order
	boots    int
}

type timedReport struct {
	at     time.Time
	report api.LoadReport
}

// run is one completion. Its mutable fields are guarded by Engine.mu.
type run struct {
	id      string
	request completionRequest
	seed    uint64
	prompt  promptCount
	cancel  context.CancelFunc
	// available is the number of events generated so far.
	available int
	ended     bool
	cancelled bool
	changed   chan struct{}
	readers   int
	expiry    *time.Timer
}

// NewEngine returns a ready engine. The caller closes it after its HTTP server.
func NewEngine(config EngineConfig) *Engine {
	setEngineDefault(&config.MaxRunning, 8)
	setEngineDefault(&config.CacheTokens, 1<<16)
	setEngineDefault(&config.KeepFor, 2*time.Second)
	setEngineDefault(&config.KVBytesPerToken, 16)
	e := &Engine{
		config:  config,
		mux:     http.NewServeMux(),
		made:    time.Now(),
		slots:   make(chan struct{}, config.MaxRunning),
		streams: map[string]*run{},
		cache:   newPrefixCache(config.CacheTokens, config.Events),
	}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.report = api.LoadReport{
		BootID:     config.ID + "-0",
		Readiness:  api.ReadinessReady,
		MaxRunning: config.MaxRunning,
		Models:     slices.Clone(config.Models),
		Adapters:   slices.Clone(config.Adapters),
	}
	e.noteLoad()
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

func setEngineDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Close ends all runs and waits for them.
func (e *Engine) Close() {
	e.stop()
	e.runs.Wait()
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	flap := e.faults.FlapPeriod
	e.mu.Unlock()
	if flap > 0 && time.Since(e.made)/flap%2 == 1 {
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

// SetReadiness changes what the engine reports and, when it is cold or warming, how
// many requests it can bear.
func (e *Engine) SetReadiness(readiness api.Readiness, bearable int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.report.Readiness, e.report.Bearable = readiness, bearable
	e.noteLoad()
}

// Restart makes the engine cold with an empty cache and a new boot id. Requests in
// progress are cut.
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
	e.noteLoad()
}

// Counters returns the totals.
func (e *Engine) Counters() EngineCounters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// Starts returns the accepted completions, oldest first.
func (e *Engine) Starts() []EngineStart {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.starts)
}

// Orders returns the orders carried out, oldest first.
func (e *Engine) Orders() []api.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Running returns the number of requests present.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report.Running + e.report.Waiting
}

// takeFaults returns the faults that apply to one completion.
func (e *Engine) takeFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	faults := e.faults
	if faults.Times == 1 {
		e.faults = EngineFaults{}
	} else if faults.Times > 1 {
		e.faults.Times--
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
	setEngineDefault(&request.MaxTokens, defaultMaxTokens)
	request.after, _ = strconv.Atoi(r.Header.Get("X-Resume-After"))
	seed := request.seed()
	if request.ContinueFrom != answerText(seed, min(request.after, request.MaxTokens)) {
		http.Error(w, "continue_from is not the text up to X-Resume-After", http.StatusBadRequest)
		return
	}
	faults := e.takeFaults()
	if faults.RefuseNotRun {
		e.refuse(w)
		return
	}
	current, status := e.begin(id, r.Header.Get("X-Chat-Key"), request, seed)
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	defer e.leave(current)
	e.delayAnswer(r.Context(), faults)
	if faults.Crossed {
		w.Header().Set("X-Request-Id", "crossed-"+id)
		seed++
	}
	if request.Stream {
		e.writeEvents(w, r, current, seed, request.after, faults)
		return
	}
	e.writeWhole(w, r, current, seed, faults)
}

func (e *Engine) refuse(w http.ResponseWriter) {
	e.mu.Lock()
	e.counters.Refused++
	e.mu.Unlock()
	w.Header().Set("X-Not-Run", "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (e *Engine) delayAnswer(ctx context.Context, faults EngineFaults) {
	if faults.Hang {
		<-ctx.Done()
	}
	if faults.Close || faults.Hang {
		panic(http.ErrAbortHandler)
	}
	sleepFor(ctx, faults.LateBy)
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

// begin registers a completion and starts to generate it.
func (e *Engine) begin(id, chatKey string, request completionRequest, seed uint64) (*run, int) {
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
	e.starts = append(e.starts, EngineStart{time.Now(), id, e.report.Readiness, concurrent, limit})
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
	e.noteLoad()
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
	r.wake()
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
	answer, _ := json.Marshal(answerText(r.seed, r.request.MaxTokens))
	messages := append(slices.Clone(r.request.Messages), chatMessage{"assistant", answer})
	e.mu.Lock()
	e.cache.store(chatKey, messages)
	e.mu.Unlock()
	e.advance(r, r.lastEvent())
}

// advance makes events up to the given one available. It is called only by the
// run's own goroutine.
func (e *Engine) advance(r *run, available int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.available = max(r.available, available)
	r.wake()
	return !r.cancelled
}

func (r *run) wake() {
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
	e.noteLoad()
}

// leave is called when a response ends. A run that nobody reads is cancelled and
// forgotten after the time to resume it has passed.
func (e *Engine) leave(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.readers--
	if r.expiry != nil {
		r.expiry.Stop()
	}
	r.expiry = time.AfterFunc(e.config.KeepFor, func() { e.expire(r) })
}
