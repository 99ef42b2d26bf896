package gateway

import (
	"bytes"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/balance"
	"github.com/hornbeamproxy/hornbeamproxy/routing"
	"github.com/hornbeamproxy/hornbeamproxy/work"
)

// PlacementByWork says at which services requests are placed by expected work and speed instead
// of by number.
type PlacementByWork int

// Values of PlacementByWork.
const (
	// ByWorkIfReported means services whose endpoints report how long work takes at present.
	ByWorkIfReported PlacementByWork = iota
	ByWorkAlways
	ByWorkNever
)

// workService is what a gateway knows of the work of one service. It is guarded by Gateway.mu.
type workService struct {
	model *work.Model
	// byWork is set when the service's requests are placed by work.
	byWork      bool
	outstanding metrics.Gauge // ms
}

// workExchange is the part of an exchange that concerns placement by work. It is used only while
// id is not 0: in an attempt at a service that is placed by work.
type workExchange struct {
	id      uint64 // of the attempt
	service *workService
	state   *balance.State
	placed  balance.ByWork
	sent    time.Time // when the request had been sent
	first   time.Time // when the first event arrived
	events  int
	resumed bool // an earlier attempt has delivered a part of the response
}

// workOf returns what is known of the work of a service, or nil if its requests are placed by
// number and no report of its endpoints can change that. Callers hold g.mu.
func (g *Gateway) workOf(name string, service *routing.Service) *workService {
	if g.config.PlacementByWork == ByWorkNever || service == nil {
		return nil
	}
	known, ok := g.work[name]
	if !ok {
		known = &workService{model: work.New(work.Config{}), byWork: g.config.PlacementByWork == ByWorkAlways}
		g.work[name] = known
	}
	if service.Engine != nil {
		known.model.SetConfig(work.Config{Capacity: service.Engine.Capacity})
	}
	return known
}

// applyWork makes criteria place the request by work if the service's requests are. Callers hold
// g.mu.
func (x *exchange) applyWork(criteria *balance.Criteria) {
	x.work.id, x.work.service = 0, x.g.workOf(x.service, x.table.Services[x.service])
	if x.work.service == nil || !x.work.service.byWork {
		return
	}
	x.work.placed = balance.ByWork{Model: x.work.service.model, Request: x.workRequest(), Goal: x.route.LatencyGoal}
	if x.work.service.model.Learned() {
		criteria.Work = &x.work.placed
	}
}

func (x *exchange) workRequest() work.Request {
	request := work.Request{
		Route: x.route.Name, Prompt: x.request.PromptTokens, MaxOutput: x.request.OutputTokens, Hint: x.request.LengthHint,
		Plain: x.route.Kind != routing.Stream,
	}
	if x.promptKey == 0 {
		return request
	}
	for i, part := range x.request.PromptParts {
		if i < len(x.request.PromptParts)-1 || i == 0 {
			request.Cached += max(0, part.Tokens)
		}
	}
	request.Cached = min(request.Cached, max(0, request.Prompt))
	return request
}

// startWork records that the request is sent to the endpoint. byWork tells that it was placed by
// work; the first requests of a service are not, since nothing is known of their cost. Callers
// hold g.mu.
func (x *exchange) startWork(now time.Time, state *balance.State, byWork bool) {
	w := &x.work
	if w.service == nil || !w.service.byWork {
		return
	}
	if !byWork {
		w.placed.ChooseFor(now, state)
	}
	x.g.workID++
	w.id, w.state, w.events, w.first, w.sent = x.g.workID, state, 0, time.Time{}, now
	w.resumed = x.stream.started
	state.Work().Start(now, w.id, w.placed.Estimate, w.placed.Usual)
	w.service.model.RecordPlaced(w.placed.Estimate)
	if !byWork {
		return
	}
	x.g.metrics.Counter("placement.by_work").Inc(1)
	if w.placed.LeftHome {
		x.g.metrics.Counter("placement.left_home_for_time").Inc(1)
		x.log("prompt left its home", "expected_time", zap.String("to", state.Endpoint.ID), zap.Duration("expected", w.placed.Usual))
	}
}

// endWork records that the request is no longer in flight at the endpoint. Callers hold g.mu.
func (x *exchange) endWork() {
	if x.work.id != 0 {
		x.work.state.Work().End(x.work.id)
		x.work.id = 0
	}
}

// observeReport records what an endpoint reports of itself in a response.
func (x *exchange) observeReport(state *balance.State, head ResponseHead) {
	if head.Load == (work.Load{}) || head.ID != x.request.ID || head.Misdirected {
		return
	}
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	service := x.work.service
	if service == nil {
		return
	}
	if !service.byWork && head.Load.Contention > 0 {
		service.byWork = true
		g.logger.Info("placement by work", zap.String("service", x.service), zap.String("reason", "endpoints report how long work takes"))
	}
	if service.byWork && !state.Work().ObserveLoad(time.Now(), head.Load) {
		g.metrics.Counter("placement.ignored_reports").Inc(1)
	}
}

// observeEvents records that complete events have arrived.
func (x *exchange) observeEvents(events []byte) {
	w := &x.work
	if w.id == 0 {
		return
	}
	w.events += bytes.Count(events, eventEnd)
	if w.first.IsZero() {
		w.first = time.Now()
		x.observeFirst(w.first)
	}
}

// observeFirst records the time until the first event or, of a plain request, until the whole
// response.
func (x *exchange) observeFirst(now time.Time) {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	w := &x.work
	endpoint := w.state.Work()
	endpoint.ObserveSpeed(now, w.service.model, w.placed.Usual, now.Sub(w.sent))
	endpoint.Answered(w.id)
}

// observeWhole learns from a response that has arrived as a whole. It is called before release.
func (x *exchange) observeWhole() {
	w := &x.work
	if w.id == 0 || w.resumed {
		return
	}
	now := time.Now()
	plain := w.placed.Request.Plain
	if plain {
		w.first = now
		x.observeFirst(now)
	}
	if w.first.IsZero() {
		return
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	endpoint := w.state.Work()
	if rest := w.placed.Estimate.Output; w.events > 1 && rest > 0 {
		endpoint.ObserveSpeed(now, w.service.model, w.service.model.OutputTime(w.events-1), now.Sub(w.first))
	}
	w.service.model.Observe(w.placed.Request, work.Sample{
		First: w.first.Sub(w.sent), Rest: now.Sub(w.first), Wait: max(0, w.placed.Usual-w.placed.Estimate.Prefill),
		Output: w.events, Contention: endpoint.Contention(now),
	})
}

// exportWork updates the gauges of the services' outstanding work. Callers hold g.mu.
func (g *Gateway) exportWork(now time.Time) {
	for name, service := range g.work {
		if !service.byWork {
			continue
		}
		if service.outstanding == nil {
			service.outstanding = metrics.GetOrRegisterGauge("work.outstanding_ms."+name, g.metrics.Registry)
		}
		var sum time.Duration
		for _, endpoint := range g.roster.Members(name) {
			sum += g.balancer.State(endpoint).Outstanding(now)
		}
		service.outstanding.Update(sum.Milliseconds())
	}
}
