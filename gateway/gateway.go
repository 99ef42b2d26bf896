// Package gateway forwards callers' requests to endpoints: it matches the route and
// the workspace, chooses an endpoint, sends the request, retries what may be
// repeated, and forwards the response.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/balance"
	"github.com/hornbeamproxy/hornbeamproxy/overload"
	"github.com/hornbeamproxy/hornbeamproxy/poison"
	"github.com/hornbeamproxy/hornbeamproxy/quota"
	"github.com/hornbeamproxy/hornbeamproxy/retry"
	"github.com/hornbeamproxy/hornbeamproxy/roster"
	"github.com/hornbeamproxy/hornbeamproxy/routing"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
	"github.com/hornbeamproxy/hornbeamproxy/timing"
	"github.com/hornbeamproxy/hornbeamproxy/upstream"
)

const (
	// dialTimeout bounds the opening of a connection: round trips are a few
	// milliseconds, and a lost SYN is sent again only after a second.
	dialTimeout = 200 * time.Millisecond
	// pruneInterval is the time between checks for idle connections to close.
	pruneInterval = 500 * time.Millisecond
	// limitFraction is the fraction of a fleet-wide limit that the routers' shares
	// add up to. The rest covers differences in the routers' views of the fleet.
	limitFraction = 0.85
)

// Bounds are the limits that the platform sets for all routers together.
type Bounds struct {
	// RetryRatio is the number of retries allowed per request to a service.
	RetryRatio float64
	// RetrySlack is the number of retries of a service that are allowed beyond
	// those that RetryRatio allows.
	RetrySlack float64
	// ColdRateFactor and ColdRateSlack bound the requests per second to a cold endpoint,
	// one whose caches are not filled yet: ColdRateFactor x the service's
	// ColdRequestsPerSecond + ColdRateSlack.
	ColdRateFactor, ColdRateSlack float64
	// LoadFactor bounds the requests in flight at an endpoint, as a multiple of the
	// mean of the service's endpoints.
	LoadFactor float64
}

// Config configures a Gateway.
type Config struct {
	Router  string // id of this router
	Zone    string // availability zone of this router
	Bounds  Bounds
	Codec   Codec
	Logger  *zap.Logger
	Metrics *telemetry.Metrics
	// Routers returns the routers that share the limits; nil if they are not known.
	Routers func() *quota.Routers
	// RelayRank returns the number of relays that come before this router, at most the number of
	// all; nil means 0.
	RelayRank func() int
	// Reporter receives the failures that are recorded for operators.
	Reporter Reporter
	// EntryGraceUntil returns the time until which endpoints without an entry are kept, since the
	// store was unavailable; not after now if none are kept. Nil means that none ever are.
	EntryGraceUntil func(now time.Time) time.Time
	// Account holds the bytes of bodies and responses; nil means one without a limit.
	Account *overload.Account
	// EndpointSlots counts the connections to endpoints; nil means a count without a limit.
	EndpointSlots *overload.Slots
	// BodyTimeout bounds the time from the arrival of a request to the end of its body; 0 means
	// the default of 10 s.
	BodyTimeout time.Duration
	// SharedRoom says which requests wait at the router when the room of their service is full.
	SharedRoom SharedRoom
	// QueueBytes bounds the bytes of the requests that wait; 0 means no limit.
	QueueBytes int64
	// PlacementByWork says at which services requests are placed by expected work and speed.
	PlacementByWork PlacementByWork
}

// Gateway serves callers' requests. It is an http.Handler.
type Gateway struct {
	config  Config
	logger  *zap.Logger
	metrics *telemetry.Metrics
	guard   telemetry.Guard
	table   atomic.Pointer[routing.Table]
	// draining is set when callers' connections are to be closed after the response.
	draining atomic.Bool
	account  *overload.Account
	slots    *overload.Slots
	// plan is nil unless the router stops. ending ends at its endsAt.
	plan        atomic.Pointer[drainPlan]
	ending      context.Context
	endRequests context.CancelFunc
	// bodyTimeout bounds the time that a caller takes to send a body.
	bodyTimeout time.Duration
	// latency and firstByte start when the head of a request has arrived. latency ends
	// with the last byte of the response, firstByte with the head of the endpoint's
	// response. own is the time that the router itself spends until the first event or
	// the complete response: it excludes connecting, the links and the endpoint.
	latency, firstByte, own metrics.Timer

	mu       sync.Mutex
	roster   *roster.Roster
	balancer *balance.Balancer
	// retries decides what is retried. Budgets are per service, and there is no
	// back-off, since a retry goes to another endpoint.
	retries retry.Policy
	pools   map[*roster.Endpoint]*upstream.Pool
	work    map[string]*workService // by service
	workID  uint64                  // of the newest attempt that was placed by work
	// exitChecks are the checks of endpoints to which connections broke.
	exitChecks map[*roster.Endpoint]*exitCheck
	poison     *poison.Detector
	// leavingStarts are the starts of endpoints that leave and of which the other routers have
	// not been told yet.
	leavingStarts []uint64
	// versions are what is known of the versions of services that have or had a roll-out.
	versions map[string]*serviceVersions
	rooms    rooms
}

// New returns a gateway without a configuration and without endpoints. It refuses all
// requests until SetConfig is called.
func New(config Config) *Gateway {
	g := &Gateway{
		config: config, logger: config.Logger, metrics: config.Metrics,
		guard:       telemetry.Guard{Logger: config.Logger, Metrics: config.Metrics},
		balancer:    balance.New(config.Zone),
		bodyTimeout: bodyTimeout,
		pools:       map[*roster.Endpoint]*upstream.Pool{},
		work:        map[string]*workService{},
		exitChecks:  map[*roster.Endpoint]*exitCheck{},
		rooms:       rooms{services: map[string]*serviceRoom{}},
		poison:      poison.New(),
		versions:    map[string]*serviceVersions{},
		latency:     metrics.GetOrRegisterTimer("requests.seconds", config.Metrics.Registry),
		firstByte:   metrics.GetOrRegisterTimer("requests.first_byte_seconds", config.Metrics.Registry),
		own:         metrics.GetOrRegisterTimer("requests.own_seconds", config.Metrics.Registry),
	}
	if config.BodyTimeout > 0 {
		g.bodyTimeout = config.BodyTimeout
	}
	if g.account = config.Account; g.account == nil {
		g.account = overload.New(0)
	}
	if g.slots = config.EndpointSlots; g.slots == nil {
		g.slots = overload.NewSlots(0)
	}
	g.ending, g.endRequests = context.WithCancel(context.Background())
	g.roster = roster.New(roster.Config{ColdFor: g.coldFor, GraceUntil: config.EntryGraceUntil})
	g.retries.Budget = retry.NewBudget(retry.BudgetConfig{
		Fraction: config.Bounds.RetryRatio * limitFraction,
		Capacity: g.retryCapacity(),
	})
	return g
}

// retryCapacity returns the number of retries that this router's budget for a service
// may accumulate.
func (g *Gateway) retryCapacity() float64 {
	return g.config.Bounds.RetrySlack * limitFraction / float64(g.config.Routers().Count())
}

func (g *Gateway) coldFor(service string) time.Duration {
	if table := g.table.Load(); table != nil {
		if s := table.Services[service]; s != nil {
			return s.ColdFor
		}
	}
	return 0
}

// Run verifies unreachable endpoints, closes idle connections and removes endpoints
// that did not register again after an outage of the store, until ctx ends. It returns
// nil.
func (g *Gateway) Run(ctx context.Context) error {
	var lastPrune time.Time
	return timing.Every(ctx, verifyInterval, func(now time.Time) {
		g.verify(ctx, now)
		g.expireEndpoints(now)
		if now.Sub(lastPrune) >= pruneInterval {
			lastPrune = now
			g.prune(now)
		}
	})
}

func (g *Gateway) prune(now time.Time) {
	g.mu.Lock()
	g.retries.Budget.SetCapacity(g.retryCapacity())
	g.exportWork(now)
	pools := make([]*upstream.Pool, 0, len(g.pools))
	for _, pool := range g.pools {
		pools = append(pools, pool)
	}
	g.mu.Unlock()
	for _, pool := range pools {
		pool.Prune(now)
	}
}

// dropEndpoint deletes the state and the connections of an endpoint that is no longer
// in the roster. Callers hold g.mu.
func (g *Gateway) dropEndpoint(endpoint *roster.Endpoint) {
	g.config.Reporter.EndpointRecovered(endpoint.ID)
	g.balancer.Forget(endpoint)
	if pool, ok := g.pools[endpoint]; ok {
		pool.Close()
		delete(g.pools, endpoint)
	}
}

// SetBounds replaces the limits that all routers share, except RetryRatio: the retry
// budget keeps the one that was passed to New.
func (g *Gateway) SetBounds(bounds Bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.config.Bounds = bounds
}

// Ready reports whether the gateway has a configuration and a complete list of
// endpoints.
func (g *Gateway) Ready() bool {
	if g.table.Load() == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.Complete()
}

// homeLoadFraction sets the load above which a request no longer goes to its prompt's home:
// 0 stands for the mean load, 1 for LoadFactor times the mean load. It is well below 1
// because the reported loads of other routers are a few datagrams old.
const homeLoadFraction = 0.5

// pickCriteria returns the criteria for choosing an endpoint of the service. A nil service
// has no endpoints. Callers hold g.mu.
func (g *Gateway) pickCriteria(service *routing.Service) balance.Criteria {
	bounds := g.config.Bounds
	criteria := balance.Criteria{
		Usable: g.roster.Usable, LoadFactor: bounds.LoadFactor,
		HomeLoadFactor: 1 + homeLoadFraction*(bounds.LoadFactor-1),
	}
	if service == nil {
		return criteria
	}
	criteria.Members = g.roster.Members(service.Name)
	routers := g.config.Routers()
	if service.ColdRequestsPerSecond > 0 {
		limit := (service.ColdRequestsPerSecond*bounds.ColdRateFactor + bounds.ColdRateSlack) * limitFraction
		criteria.ColdRateLimit = func(e *roster.Endpoint) int { return routers.Share(limit, e.ID) }
	}
	if service.MaxConnections > 0 {
		criteria.MaxLocal = routers.EvenShare(float64(service.MaxConnections) * limitFraction)
	}
	return criteria
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	defer g.latency.UpdateSince(arrived)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{g: g, w: w, r: r, arrived: arrived, ownSince: arrived}
	if g.refusesFirst(r.Context(), arrived) {
		x.refuse(http.StatusServiceUnavailable, api.RefusalShuttingDown, retryAfterElsewhere)
		return
	}
	x.serve()
}
