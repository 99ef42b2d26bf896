// Package gateway takes callers' requests to endpoints: it finds the route and
// the workspace, chooses an endpoint, sends the request, repeats what may be
// repeated, and passes the answer on.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/balance"
	"github.com/hornbeamproxy/hornbeamproxy/quota"
	"github.com/hornbeamproxy/hornbeamproxy/retry"
	"github.com/hornbeamproxy/hornbeamproxy/roster"
	"github.com/hornbeamproxy/hornbeamproxy/routing"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
	"github.com/hornbeamproxy/hornbeamproxy/timing"
	"github.com/hornbeamproxy/hornbeamproxy/upstream"
)

const (
	// dialTimeout bounds a new connection: round trips are a few milliseconds,
	// and a lost opening packet is sent again only after a second.
	dialTimeout = 200 * time.Millisecond
	// lapseHold is how long an endpoint whose entry lapsed in an outage of the
	// store may take to register again.
	lapseHold = 2 * time.Second
	// pruneInterval is the time between looks for idle connections to close and
	// endpoints to give up.
	pruneInterval = 500 * time.Millisecond
	// limitMargin is the part of a limit over all routers that the routers'
	// shares add up to. The rest covers views of the fleet that differ.
	limitMargin = 0.85
)

// Bounds are the limits that the platform sets for all routers together.
type Bounds struct {
	// RetryRatio is the number of repeats per request to a service.
	RetryRatio float64
	// RetrySlack is the number of repeats that are allowed besides.
	RetrySlack float64
	// ColdFactor and ColdSlack bound the requests a second to a cold endpoint:
	// ColdFactor x what the service names + ColdSlack.
	ColdFactor, ColdSlack float64
	// LoadFactor bounds the requests of an endpoint to a multiple of the mean.
	LoadFactor float64
}

// Config holds what a Gateway needs.
type Config struct {
	Zone    string
	Bounds  Bounds
	Codec   Codec
	Logger  *zap.Logger
	Metrics *telemetry.Metrics
	// Fleet returns the routers that share the limits; nil if they are not known.
	Fleet func() *quota.Fleet
	// Reporter takes what operators read about afterwards.
	Reporter Reporter
}

// Gateway serves callers' requests. It is an http.Handler.
type Gateway struct {
	config  Config
	logger  *zap.Logger
	metrics *telemetry.Metrics
	table   atomic.Pointer[routing.Table]
	// draining says that connections are to be closed after their answer.
	draining atomic.Bool
	// bodyTimeout bounds the time that a caller takes for a body.
	bodyTimeout time.Duration
	// latency is from the head of a request to its last byte, firstByte to the head
	// of the endpoint's answer, and own the router's part of that: without
	// connecting, the links and the endpoint.
	latency, firstByte, own metrics.Timer

	mu       sync.Mutex
	roster   *roster.Roster
	balancer *balance.Balancer
	// retries decides what is sent again. Budgets are by service, and there is no
	// pause, since another endpoint is asked.
	retries retry.Policy
	pools   map[*roster.Endpoint]*upstream.Pool
}

// New returns a gateway that knows no configuration and no endpoint.
func New(config Config) *Gateway {
	g := &Gateway{
		config: config, logger: config.Logger, metrics: config.Metrics,
		balancer:    balance.New(config.Zone),
		bodyTimeout: bodyTimeout,
		pools:       map[*roster.Endpoint]*upstream.Pool{},
		latency:     metrics.GetOrRegisterTimer("requests.seconds", config.Metrics.Registry),
		firstByte:   metrics.GetOrRegisterTimer("requests.first_byte_seconds", config.Metrics.Registry),
		own:         metrics.GetOrRegisterTimer("requests.own_seconds", config.Metrics.Registry),
	}
	g.roster = roster.New(roster.Config{ColdFor: g.coldFor, LapseHold: lapseHold})
	g.retries.Budget = retry.NewBudget(retry.BudgetConfig{
		Fraction: config.Bounds.RetryRatio * limitMargin,
		Capacity: g.retryCapacity(),
	})
	return g
}

// retryCapacity returns the repeats that this router may save up for a service.
func (g *Gateway) retryCapacity() float64 {
	return g.config.Bounds.RetrySlack * limitMargin / float64(g.config.Fleet().Routers())
}

func (g *Gateway) coldFor(service string) time.Duration {
	if table := g.table.Load(); table != nil {
		if s := table.Services[service]; s != nil {
			return s.ColdFor
		}
	}
	return 0
}

// Run closes idle connections and gives up endpoints until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	var pruned time.Time
	return timing.Every(ctx, verifyInterval, func(now time.Time) {
		g.verify(ctx, now)
		if now.Sub(pruned) >= pruneInterval {
			pruned = now
			g.prune(now)
		}
	})
}

func (g *Gateway) prune(now time.Time) {
	g.mu.Lock()
	g.retries.Budget.SetCapacity(g.retryCapacity())
	for _, endpoint := range g.roster.Expire(now) {
		g.logger.Info("endpoint given up after the store's outage", zap.String("endpoint", endpoint.ID))
		g.drop(endpoint)
	}
	pools := make([]*upstream.Pool, 0, len(g.pools))
	for _, pool := range g.pools {
		pools = append(pools, pool)
	}
	g.mu.Unlock()
	for _, pool := range pools {
		pool.Prune(now)
	}
}

// drop forgets an endpoint that gets nothing more. Callers hold g.mu.
func (g *Gateway) drop(endpoint *roster.Endpoint) {
	g.config.Reporter.EndpointBack(endpoint.ID)
	g.balancer.Forget(endpoint)
	if pool, ok := g.pools[endpoint]; ok {
		pool.Close()
		delete(g.pools, endpoint)
	}
}

// SetBounds replaces the limits over all routers.
func (g *Gateway) SetBounds(bounds Bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.config.Bounds = bounds
}

// Ready reports whether the gateway has a configuration and the endpoints.
func (g *Gateway) Ready() bool {
	if g.table.Load() == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.Complete()
}

// Drain makes all further answers close their connections.
func (g *Gateway) Drain() { g.draining.Store(true) }

// homeReserve is the part of the way from the mean to the load factor at which a
// prompt leaves its home: loads that other routers report are some datagrams old.
const homeReserve = 0.25

// ask returns the limits of a request to the service. Callers hold g.mu.
func (g *Gateway) ask(service *routing.Service) balance.Ask {
	bounds := g.config.Bounds
	ask := balance.Ask{Usable: g.roster.Usable, HomeLoad: 1 + homeReserve*(bounds.LoadFactor-1)}
	if service == nil {
		return ask
	}
	ask.Members = g.roster.Members(service.Name)
	fleet := g.config.Fleet()
	if service.ColdRate > 0 {
		limit := (service.ColdRate*bounds.ColdFactor + bounds.ColdSlack) * limitMargin
		ask.ColdShare = func(e *roster.Endpoint) int { return fleet.Share(limit, e.ID) }
	}
	if service.MaxConnections > 0 {
		ask.MaxLocal = fleet.Even(float64(service.MaxConnections) * limitMargin)
	}
	return ask
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	defer g.latency.UpdateSince(arrived)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	(&exchange{g: g, w: w, r: r, arrived: arrived, ownSince: arrived}).serve()
}
