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

// Endpoints is what the controller needs of engine.Client.
type Endpoints interface {
	Load(ctx context.Context, endpointURL string) (api.LoadReport, error)
	Order(ctx context.Context, endpointURL string, order api.Order) (api.OrderResult, error)
}

// Leases is what the controller needs of lease.Manager.
type Leases interface {
	Acquire(key string)
	Release(key string)
	Lease(key string) lease.Lease
}

// Config holds the settings and the collaborators of a Controller. Zero durations
// and rates get the defaults.
type Config struct {
	Router    string
	Limits    Limits
	Store     objectstore.Store
	Leases    Leases
	Endpoints Endpoints
	// View returns the newest applied state.
	View func() *fleet.View
	// Missing says whether an endpoint is known from elsewhere to be down, cold or
	// leaving; may be nil. The sweep alone notices that only after minutes in a
	// large fleet. It must not block.
	Missing func(endpoint string) bool
	// Interval between comparisons. Default 250ms.
	Interval time.Duration
	// PollInterval is the shortest time between polls of one endpoint. Default 1s.
	PollInterval time.Duration
	// PollTimeout of one poll. Default 2s.
	PollTimeout time.Duration
	// PollBytesPerSecond is the budget for polls. Default 2048, half of the
	// control traffic that a daemon may cause: two polls a second. The sweep over
	// all endpoints gets a third of it or more, and takes at most 15 minutes at 600.
	PollBytesPerSecond int
	// StatusInterval is the shortest time between writes of the status. Default 3s.
	StatusInterval time.Duration
	// OnError is told of failed calls to the object API; may be nil.
	OnError func(error)
}

const (
	// pollBytes is what one poll counts for: request, header and report.
	pollBytes = 1024
	// pollBurstBytes lets a new holder read 256 endpoints at once. It regains the
	// burst only while it polls less than its budget.
	pollBurstBytes = 256 * pollBytes
	// maxOpenPolls bounds the connections of a burst.
	maxOpenPolls = 32
)

func (c Config) withDefaults() Config {
	c.Limits = c.Limits.withDefaults()
	setDefault(&c.Interval, 250*time.Millisecond)
	setDefault(&c.PollInterval, time.Second)
	setDefault(&c.PollTimeout, 2*time.Second)
	setDefault(&c.PollBytesPerSecond, 2*pollBytes)
	setDefault(&c.StatusInterval, 3*time.Second)
	if c.Missing == nil {
		c.Missing = func(string) bool { return false }
	}
	if c.OnError == nil {
		c.OnError = func(error) {}
	}
	return c
}

// Controller sends the orders while its router holds the control lease. All that
// it keeps is rebuilt by a new holder from the endpoints' reports.
type Controller struct {
	config Config
	budget *rate.Limiter
	wg     sync.WaitGroup
	// events are results of calls, applied by the goroutine of Run.
	events chan func()

	// The fields below belong to the goroutine of Run.
	progress *Progress
	reports  map[string]Report
	polls    map[string]*poll
	open     int
	turn     int
	status   statusWriter
}

// poll is the polling of one endpoint.
type poll struct {
	open bool
	last time.Time
}

// NewController returns a controller that does nothing before Run.
func NewController(config Config) *Controller {
	config = config.withDefaults()
	return &Controller{
		config:  config,
		budget:  rate.NewLimiter(rate.Limit(config.PollBytesPerSecond), pollBurstBytes),
		events:  make(chan func()),
		reports: map[string]Report{},
		polls:   map[string]*poll{},
	}
}

// Run wants the control lease and acts as its holder until ctx is done. It returns
// after all of its calls have ended.
func (c *Controller) Run(ctx context.Context) error {
	c.config.Leases.Acquire(lease.ControlKey)
	defer c.wg.Wait()
	defer c.config.Leases.Release(lease.ControlKey)
	ticker := time.NewTicker(c.config.Interval)
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

// post hands a result to the goroutine of Run.
func (c *Controller) post(ctx context.Context, event func()) {
	select {
	case c.events <- event:
	case <-ctx.Done():
	}
}

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
		report.Missing = c.config.Missing(id)
		c.reports[id] = report
	}
	c.progress.Observe(now, c.config.Limits, view, c.reports)
	decision := Plan(now, c.config.Limits, view, c.reports, c.progress, held)
	for _, s := range decision.Sends {
		c.send(ctx, s)
	}
	// Reports from before the end of the handover are of no use.
	if now.After(c.progress.handoverAt) {
		c.poll(ctx, view, decision)
	}
	c.writeStatus(ctx, now, view.Revision(), decision.Steps)
}

func (c *Controller) send(ctx context.Context, s Send) {
	progress, limits := c.progress, c.config.Limits
	progress.Sending(time.Now(), limits, s)
	c.wg.Go(func() {
		result, reason := c.order(ctx, s)
		c.post(ctx, func() { progress.Sent(time.Now(), limits, s.Endpoint, result, reason) })
	})
}

// order checks the lease at the moment of sending and ends the sending with the
// lease at the latest.
func (c *Controller) order(ctx context.Context, s Send) (Result, string) {
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
	answer, err := c.config.Endpoints.Order(ctx, s.URL, s.Order)
	switch {
	case err != nil:
		return orderFailure(err), err.Error()
	case !answer.Accepted:
		return Refused, fmt.Sprintf("refused; the endpoint has seen fencing number %d", answer.FencingNumber)
	}
	return Accepted, ""
}

// orderFailure returns Refused for errors after which the order can't take effect.
func orderFailure(err error) Result {
	var failure *engine.Error
	if errors.As(err, &failure) && (!failure.Sent || failure.Status >= 400 && failure.Status < 500) {
		return Refused
	}
	return Unknown
}

// poll spends the budget in turns on endpoints with an order, on those that wait
// for one, and on a sweep over all, so that none of them starves the others.
func (c *Controller) poll(ctx context.Context, view *fleet.View, d Decision) {
	all := make([]string, 0, len(d.Steps))
	for _, step := range d.Steps {
		all = append(all, step.Name)
	}
	classes := [][]string{d.Busy, d.Differ, all}
	now := time.Now()
	for idle := 0; idle < len(classes) && c.open < maxOpenPolls; c.turn++ {
		id, ok := c.oldest(now, classes[c.turn%len(classes)])
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

// oldest returns the endpoint whose last poll is the longest ago, if it is due.
func (c *Controller) oldest(now time.Time, ids []string) (string, bool) {
	found, at := "", now.Add(-c.config.PollInterval)
	for _, id := range ids {
		p := c.polls[id]
		if p == nil {
			return id, true
		}
		if !p.open && p.last.Before(at) {
			found, at = id, p.last
		}
	}
	return found, found != ""
}

func (c *Controller) startPoll(ctx context.Context, id, url string) {
	start := time.Now()
	state := &poll{open: true, last: start}
	c.polls[id] = state
	c.open++
	c.wg.Go(func() {
		pollCtx, cancel := context.WithTimeout(ctx, c.config.PollTimeout)
		defer cancel()
		load, err := c.config.Endpoints.Load(pollCtx, url)
		c.post(ctx, func() {
			state.open = false
			c.open--
			c.take(id, start, load, err)
		})
	})
}

// take keeps the last report of an endpoint that does not answer.
func (c *Controller) take(id string, start time.Time, load api.LoadReport, err error) {
	if err != nil {
		report := c.reports[id]
		report.Down = true
		c.reports[id] = report
		return
	}
	c.reports[id] = Report{LoadReport: load, At: start.Add(-time.Duration(load.AgeMs) * time.Millisecond)}
}
