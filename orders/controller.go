package orders

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/engine"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
	"github.com/hornbeamproxy/hornbeamproxy/lease"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

// EndpointClient reads reports from endpoints and sends orders to them. engine.Client
// implements it.
type EndpointClient interface {
	ReadLoad(ctx context.Context, endpointURL string) (api.LoadReport, error)
	Order(ctx context.Context, endpointURL string, order api.Order) (api.OrderResult, error)
}

// Leases acquires and releases leases. lease.Manager implements it.
type Leases interface {
	Acquire(key string)
	Release(key string)
	Lease(key string) lease.Lease
}

// Config holds the settings and the dependencies of a Controller. Zero durations and
// rates take the defaults.
type Config struct {
	Router         string
	Limits         Limits
	Store          objectstore.Store
	Leases         Leases
	EndpointClient EndpointClient
	// View returns the newest applied state.
	View func() *fleet.View
	// ReportedUnable reports whether other sources than the polls show an endpoint to be
	// down, cold (not yet at full speed after a start or load) or leaving; it may be
	// nil. In a large fleet the polls alone detect such an endpoint only after minutes.
	// ReportedUnable must not block.
	ReportedUnable func(endpoint string) bool
	// PlanInterval is the time between comparisons of the reports with the desired state.
	// Default 250ms.
	PlanInterval time.Duration
	// PollInterval is the shortest time between polls of one endpoint. Default 1s.
	PollInterval time.Duration
	// PollTimeout bounds one poll. Default 2s.
	PollTimeout time.Duration
	// PollBytesPerSecond is the budget for polls. Default 2048, half of the control
	// traffic allowed per router: two polls a second. At least a third of the budget
	// goes to the sweep, which polls all endpoints in turn. A sweep over 600 endpoints
	// takes at most 15 minutes.
	PollBytesPerSecond int
	// StatusInterval is the shortest time between writes of the status. Default 3s.
	StatusInterval time.Duration
	// OnError is called with each error of the object API; it may be nil.
	OnError func(error)
}

const (
	// pollBytes is the cost of one poll against the budget: request, headers and report.
	pollBytes = 1024
	// pollBurstBytes lets a new lease holder poll 256 endpoints without waiting for the
	// budget. The burst refills only while the holder polls below its budget.
	pollBurstBytes = 256 * pollBytes
	// maxOpenPolls bounds the polls in flight, and so the connections of a burst.
	maxOpenPolls = 32
)

func (c Config) withDefaults() Config {
	c.Limits = c.Limits.withDefaults()
	setDefault(&c.PlanInterval, 250*time.Millisecond)
	setDefault(&c.PollInterval, time.Second)
	setDefault(&c.PollTimeout, 2*time.Second)
	setDefault(&c.PollBytesPerSecond, 2*pollBytes)
	setDefault(&c.StatusInterval, 3*time.Second)
	if c.ReportedUnable == nil {
		c.ReportedUnable = func(string) bool { return false }
	}
	if c.OnError == nil {
		c.OnError = func(error) {}
	}
	return c
}

// Controller sends orders to endpoints while its router holds the control lease. A new
// holder rebuilds all of the controller's state from the endpoints' reports.
type Controller struct {
	config Config
	budget *rate.Limiter
	wg     sync.WaitGroup
	// events carries results of calls, which the goroutine of Run applies.
	events chan func()

	// The fields below belong to the goroutine of Run.
	progress  *Progress
	reports   map[string]Report
	polls     map[string]*pollState
	openPolls int
	nextClass int // counter for the round-robin of startDuePolls
	status    statusWriter
}

// pollState is the state of polling one endpoint.
type pollState struct {
	inFlight  bool
	lastStart time.Time
}

// NewController returns a Controller, which is idle until Run.
func NewController(config Config) *Controller {
	config = config.withDefaults()
	return &Controller{
		config:  config,
		budget:  rate.NewLimiter(rate.Limit(config.PollBytesPerSecond), pollBurstBytes),
		events:  make(chan func()),
		reports: map[string]Report{},
		polls:   map[string]*pollState{},
	}
}

// Run tries to acquire the control lease and sends orders whenever it holds the lease,
// until ctx is done. It returns ctx's error after all of its calls have ended.
func (c *Controller) Run(ctx context.Context) error {
	c.config.Leases.Acquire(lease.ControlKey)
	defer c.wg.Wait()
	defer c.config.Leases.Release(lease.ControlKey)
	ticker := time.NewTicker(c.config.PlanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-c.events:
			event()
		case <-ticker.C:
			c.tick(ctx)
		}
	}
}

// post passes an event to the goroutine of Run.
func (c *Controller) post(ctx context.Context, event func()) {
	select {
	case c.events <- event:
	case <-ctx.Done():
	}
}

// tick compares the reports with the desired state once, if this router holds the lease.
// It resets progress and reports at the start of a term of the lease.
func (c *Controller) tick(ctx context.Context) {
	now := time.Now()
	held := c.config.Leases.Lease(lease.ControlKey)
	if !held.Valid(now) {
		return
	}
	if c.progress == nil || c.progress.Term() != held.Term {
		c.progress = NewProgress(now, held.Term, c.config.Limits)
		c.reports = map[string]Report{}
		c.status.version = 0
	}
	view := c.config.View()
	for id, report := range c.reports {
		report.ReportedUnable = c.config.ReportedUnable(id)
		c.reports[id] = report
	}
	c.progress.Observe(now, c.config.Limits, view, c.reports)
	decision := Plan(now, c.config.Limits, view, c.reports, c.progress, held)
	for _, s := range decision.OutgoingOrders {
		c.send(ctx, s)
	}
	// Reports read before the end of the handover from the previous holder are ignored,
	// so polling starts only when the handover is over.
	if now.After(c.progress.handoverEnd) {
		c.startDuePolls(ctx, view, decision)
	}
	c.writeStatus(ctx, now, view.Revision(), decision.Steps)
}

// send sends an order in a goroutine and records the result.
func (c *Controller) send(ctx context.Context, s OutgoingOrder) {
	progress, limits := c.progress, c.config.Limits
	progress.SendStarted(time.Now(), limits, s)
	c.wg.Go(func() {
		result, reason := c.order(ctx, s)
		c.post(ctx, func() { progress.SendFinished(time.Now(), limits, s.Endpoint, result, reason) })
	})
}

// order sends an order after checking the lease again, because the lease may have ended
// since the call of Plan. It gives up after OrderTimeout or when the lease ends,
// whichever is earlier. It returns the result and, except for Accepted and NotSent, the reason.
func (c *Controller) order(ctx context.Context, s OutgoingOrder) (SendResult, string) {
	now := time.Now()
	held := c.config.Leases.Lease(lease.ControlKey)
	if held.Term != s.Order.FencingNumber || !c.config.Limits.MaySend(now, held) {
		return NotSent, ""
	}
	end := now.Add(c.config.Limits.OrderTimeout)
	if held.ValidUntil.Before(end) {
		end = held.ValidUntil
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	answer, err := c.config.EndpointClient.Order(ctx, s.URL, s.Order)
	switch {
	case err != nil:
		return orderFailure(err), err.Error()
	case !answer.Accepted:
		return Refused, fmt.Sprintf("refused; the endpoint has seen fencing number %d", answer.FencingNumber)
	}
	return Accepted, ""
}

// orderFailure returns Refused for errors after which the order can't take effect, and
// OutcomeUnknown for all others.
func orderFailure(err error) SendResult {
	var failure *engine.Error
	if errors.As(err, &failure) && (!failure.Sent || failure.Status >= 400 && failure.Status < 500) {
		return Refused
	}
	return OutcomeUnknown
}

// startDuePolls spends the poll budget round-robin on three classes, so that none
// starves the others: endpoints with an order in progress, endpoints that differ from
// the desired state, and a sweep over all.
func (c *Controller) startDuePolls(ctx context.Context, view *fleet.View, d Decision) {
	all := make([]string, 0, len(d.Steps))
	for _, step := range d.Steps {
		all = append(all, step.Name)
	}
	classes := [][]string{d.BusyEndpoints, d.UnreconciledEndpoints, all}
	now := time.Now()
	for idle := 0; idle < len(classes) && c.openPolls < maxOpenPolls; c.nextClass++ {
		id, ok := c.leastRecentlyPolled(now, classes[c.nextClass%len(classes)])
		if !ok {
			idle++
			continue
		}
		if !c.budget.AllowN(now, pollBytes) {
			return
		}
		idle = 0
		if e, ok := view.Endpoint(id); ok {
			c.startPoll(ctx, e.ID, e.URL)
		}
	}
}

// leastRecentlyPolled returns the endpoint that was polled least recently, and false if
// no poll is due.
func (c *Controller) leastRecentlyPolled(now time.Time, ids []string) (string, bool) {
	found, at := "", now.Add(-c.config.PollInterval)
	for _, id := range ids {
		p := c.polls[id]
		if p == nil {
			return id, true
		}
		if !p.inFlight && p.lastStart.Before(at) {
			found, at = id, p.lastStart
		}
	}
	return found, found != ""
}

func (c *Controller) startPoll(ctx context.Context, id, url string) {
	start := time.Now()
	state := &pollState{inFlight: true, lastStart: start}
	c.polls[id] = state
	c.openPolls++
	c.wg.Go(func() {
		pollCtx, cancel := context.WithTimeout(ctx, c.config.PollTimeout)
		defer cancel()
		load, err := c.config.EndpointClient.ReadLoad(pollCtx, url)
		c.post(ctx, func() {
			state.inFlight = false
			c.openPolls--
			c.recordReport(id, start, load, err)
		})
	})
}

// recordReport stores the result of a poll. If the poll failed, the last report is kept
// and marked as down.
func (c *Controller) recordReport(id string, start time.Time, load api.LoadReport, err error) {
	if err != nil {
		report := c.reports[id]
		report.Down = true
		c.reports[id] = report
		return
	}
	c.reports[id] = Report{LoadReport: load, DataTime: start.Add(-time.Duration(load.AgeMs) * time.Millisecond)}
}
