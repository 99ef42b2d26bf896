// Package edge runs a router as a process on the platform: its listeners, the mirrors
// of the platform's store, the exchange of loads and changes with other routers, the
// reload of settings and the graceful shutdown. A few routers of the fleet, the relays,
// watch the store and pass its changes on to the others.
package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/config"
	"github.com/hornbeamproxy/hornbeamproxy/exchange"
	"github.com/hornbeamproxy/hornbeamproxy/gateway"
	"github.com/hornbeamproxy/hornbeamproxy/mirror"
	"github.com/hornbeamproxy/hornbeamproxy/outage"
	"github.com/hornbeamproxy/hornbeamproxy/platform"
	"github.com/hornbeamproxy/hornbeamproxy/poison"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

const (
	// readHeaderTimeout bounds the time to read the header of a caller's request; the
	// platform's own limit is 3 s.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is longer than the time for which callers keep an idle connection, so
	// that the router does not close a connection while a caller sends a request on it.
	idleTimeout = 3 * time.Minute
	// rotationDelay is how long the load balancer may send new connections after the
	// readiness check fails: it checks once a second and needs two failures.
	rotationDelay = 2500 * time.Millisecond
	// watchWait is the longest time that one watch of the store waits. If the store does
	// not deliver the events of a watch, only the next watch returns them. It also bounds how
	// old the relays' knowledge gets while the store answers them, and is well below the age up
	// to which the other routers follow them.
	watchWait = 800 * time.Millisecond
	// heartbeatsToLapse is the shortest outage of the store, in heartbeats of the endpoints, in
	// which an entry may expire: after three without a renewal, of which the first may lie before
	// the outage and is not exact.
	heartbeatsToLapse = 1.5
	// lapsedEntryGrace is how long an endpoint whose entry expired in an outage of the store may
	// take to register again.
	lapsedEntryGrace = 2 * time.Second
	// exitMargin is the part at the end of the grace period that is reserved for the
	// exit of the process.
	exitMargin = 400 * time.Millisecond
	// endingMargin is the part before that in which the requests still in flight are answered as
	// ended.
	endingMargin = 200 * time.Millisecond
)

// Options configure one process.
type Options struct {
	Settings *config.EdgeSettings // required
	Logger   *zap.Logger          // required
	// Metrics is the router's registry; nil means a new one.
	Metrics *telemetry.Metrics
	// Reload delivers new settings. Only their bounds for the gateway and their address
	// of the store are applied. A nil channel delivers none.
	Reload <-chan *config.EdgeSettings
}

// process is a router that runs on the platform.
type process struct {
	options  Options
	logger   *zap.Logger
	metrics  *telemetry.Metrics
	store    *platform.Store
	gateway  *gateway.Gateway
	outages  *outage.Tracker
	peers    *exchange.Exchange
	mirrors  map[string]*mirror.Mirror // by kind
	fleet    *fleet
	poison   *quarantines
	failures *reporter
	rollouts *rollouts // nil if they are off
	intakes  *intakes
	stopping atomic.Bool
	// explaining is held during an explanation and for explainInterval after it.
	explaining sync.Mutex
}

// Run runs a router until ctx ends or one of its parts fails. When ctx ends, it shuts
// down gracefully and returns nil; otherwise it returns the error of the part that
// failed.
func Run(ctx context.Context, options Options) error {
	p := &process{options: options, logger: options.Logger, metrics: options.Metrics}
	if p.metrics == nil {
		p.metrics = telemetry.NewMetrics()
	}
	if err := p.assemble(); err != nil {
		return err
	}
	return p.run(ctx)
}

func (p *process) assemble() error {
	s := p.options.Settings
	p.store = platform.NewStore("http://"+s.Store.Address, "", p.metrics)
	self := exchange.Peer{Address: s.Listen.Peers, LinkMbps: s.Router.LinkMbps}
	guard := telemetry.Guard{Logger: p.logger, Metrics: p.metrics}
	heartbeat := time.Duration(s.Store.HeartbeatMS * float64(time.Millisecond))
	p.outages = outage.New(outage.Config{
		EntryLifetime: time.Duration(heartbeatsToLapse * float64(heartbeat)), Grace: lapsedEntryGrace,
	})
	p.newRollouts()
	demands, receiveDemands := p.roomDemands()
	peers, err := exchange.Listen(exchange.Config{
		Router: s.Router.ID, Peer: self, Logger: p.logger, Metrics: p.metrics, Guard: guard,
		Loads: func() exchange.Loads {
			return exchange.Loads{Endpoints: p.gateway.Loads(), Prompts: p.gateway.PromptLoads()}
		},
		ReceiveLoad:    func(router, endpoint string, requests int) { p.gateway.SetRemoteLoad(router, endpoint, requests) },
		ReceivePrompts: func(router string, requests map[uint32]int) { p.gateway.SetRemotePrompts(router, requests) },
		ReceiveFleetLoads: func(atEndpoint func(string) int, prompts map[uint32]int) {
			p.gateway.SetFleetLoads(atEndpoint, prompts)
		},
		PoisonReport:       func() *poison.Report { return p.gateway.PoisonReport() },
		PoisonAnnouncement: func() *poison.Report { return p.gateway.PoisonAnnouncement() },
		ReceivePoison: func(report *poison.Report, announcement bool) {
			p.gateway.ReceivePoison(report, announcement)
		},
		TakeLeaving:    func() []uint64 { return p.gateway.TakeLeaving() },
		ReceiveLeaving: func(starts []uint64) { p.gateway.ReceiveLeaving(starts) },
		Demands:        demands,
		ReceiveDemands: receiveDemands,
		Outages:        p.outages,
		ReceiveBatch:   p.receiveBatch,
		Rollouts:       p.exchangedRollouts(),
	})
	if err != nil {
		return err
	}
	p.peers = peers
	p.failures = newReporter(s.Router.ID, platform.KeyStore{Store: p.store}, peers.Alive, p.metrics, p.logger)
	p.intakes = newIntakes(s)
	p.gateway = gateway.New(gateway.Config{
		Router: s.Router.ID, Zone: s.Router.Zone, Bounds: boundsOf(s), Codec: platform.Codec{}, Logger: p.logger, Metrics: p.metrics,
		Routers: peers.Routers, RelayRank: peers.RelayRank, Reporter: p.failures,
		EntryGraceUntil: p.outages.GraceUntil,
		Account:         p.intakes.account, EndpointSlots: p.intakes.slots,
		BodyTimeout: milliseconds(s.Limits.BodyMS),
		SharedRoom:  sharedRoomOf(s), QueueBytes: s.QueueBytes(), PlacementByWork: placementOf(s),
	})
	access := &mirror.Access{}
	p.mirrors = map[string]*mirror.Mirror{}
	receivers := map[string]mirror.Receiver{
		platform.KindConfig:      outageReceiver{platform.ConfigReceiver{Gateway: p.gateway, Logger: p.logger}, p.failures, p.outages},
		platform.KindEndpoints:   platform.EndpointReceiver{Gateway: p.gateway, Logger: p.logger},
		platform.KindEvacuations: platform.EvacuationReceiver{Gateway: p.gateway, Logger: p.logger},
	}
	if p.rollouts != nil {
		receivers[platform.KindRollouts] = p.rollouts
	}
	for kind, receiver := range receivers {
		p.mirrors[kind] = mirror.New(mirror.Config{
			// A watch that is cut off must not look like an outage of EntryLifetime.
			Source: p.store, Kind: kind, WatchWait: min(watchWait, heartbeat), ListToCatchUp: kind == platform.KindConfig,
			Receiver: receiver, Peers: peers, Access: access, Outages: p.outages, Logger: p.logger, Guard: guard,
		})
	}
	p.connectRollouts()
	p.poison = &quarantines{
		store: p.store, gateway: p.gateway, logger: p.logger,
		firstRelay: func() bool {
			_, first := peers.RelayRole()
			return first
		},
	}
	p.fleet = &fleet{
		store: p.store, peers: peers, router: s.Router.ID, self: self, logger: p.logger,
		onRouterLost: p.failures.recordRouterLost,
	}
	return nil
}

func boundsOf(s *config.EdgeSettings) gateway.Bounds {
	return gateway.Bounds{
		RetryRatio: s.Bounds.RetryRatio, RetrySlack: s.Bounds.RetrySlack,
		ColdRateFactor: s.Bounds.ColdRateFactor, ColdRateSlack: s.Bounds.ColdRateSlack, LoadFactor: s.Bounds.LoadFactor,
	}
}

// placementOf returns at which services requests are placed by work.
func placementOf(s *config.EdgeSettings) gateway.PlacementByWork {
	switch {
	case s.Demand.PlacementByWork == config.Never:
		return gateway.ByWorkNever
	case s.Demand.PlacementByWork == config.Always || s.HasFeature(config.FeaturePressure):
		return gateway.ByWorkAlways
	}
	return gateway.ByWorkIfReported
}

// run runs all parts of the process until the first of them ends.
func (p *process) run(ctx context.Context) error {
	loops, stopLoops := context.WithCancel(context.Background())
	defer stopLoops()
	var group run.Group
	add := func(execute func(context.Context) error) {
		group.Add(func() error { return execute(loops) }, func(error) { stopLoops() })
	}
	for kind, m := range p.mirrors {
		add(p.afterRollouts(kind, m.Run))
	}
	add(p.gateway.Run)
	add(p.fleet.run)
	add(p.poison.run)
	if p.rollouts != nil {
		add(p.rollouts.run)
	}
	add(p.failures.run)
	add(p.peers.Send)
	add(p.reload)
	add(p.relieve)
	group.Add(p.peers.Receive, func(error) { p.peers.Close() })
	if err := p.listen(ctx, &group); err != nil {
		return err
	}
	p.logger.Info("router started", zap.String("zone", p.options.Settings.Router.Zone))
	return group.Run()
}

// receiveBatch passes the changes that a relay has sent to the mirror of their kind.
func (p *process) receiveBatch(batch mirror.Batch) {
	if m, ok := p.mirrors[batch.Kind]; ok {
		m.Offer(batch)
	}
}

func (p *process) reload(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case settings := <-p.options.Reload:
			p.gateway.SetBounds(boundsOf(settings))
			p.store.SetBase("http://" + settings.Store.Address)
			p.logger.Info("settings reloaded")
		}
	}
}

// listen opens the listeners and adds their servers to the group. When ctx ends, the
// callers' server is shut down gracefully.
func (p *process) listen(ctx context.Context, group *run.Group) error {
	s := p.options.Settings
	operators := echo.New()
	operators.GET(platform.ReadinessPath, p.ready)
	operators.GET("/metrics", p.exportMetrics)
	operators.GET(platform.ExplainPath, p.explain)
	for _, address := range []string{s.Listen.Readiness, s.Listen.Metrics} {
		if address == "" {
			continue
		}
		server, listener, err := p.newOperatorServer(operators, address)
		if err != nil {
			return err
		}
		serve(group, server, listener)
	}
	callers := &http.Server{
		Handler: p.gateway, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		ErrorLog: zap.NewStdLog(p.logger), ConnContext: p.gateway.ConnContext,
	}
	listener, err := p.listenForCallers(callers)
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- callers.Serve(listener) }()
	cancel := make(chan struct{})
	group.Add(func() error {
		select {
		case err := <-failed:
			return fmt.Errorf("serving callers: %w", err)
		case <-ctx.Done():
			p.shutDown(callers, listener)
		case <-cancel:
			callers.Close()
		}
		return nil
	}, func(error) { close(cancel) })
	return nil
}

func serve(group *run.Group, server *http.Server, listener net.Listener) {
	group.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serving %s: %w", listener.Addr(), err)
		}
		return nil
	}, func(error) { server.Close() })
}

// ready answers the readiness check of the load balancer.
func (p *process) ready(c echo.Context) error {
	if p.stopping.Load() || !p.gateway.Ready() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// exportMetrics writes the metrics as text, sorted by name.
func (p *process) exportMetrics(c echo.Context) error {
	c.Response().Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.Response().WriteHeader(http.StatusOK)
	metrics.WriteOnce(p.metrics.Registry, c.Response())
	return nil
}

// shutDown fails the readiness check, serves the requests that still arrive until the
// load balancer has taken the router out of rotation, and completes the requests in
// flight. Requests that would run beyond the grace period are ended shortly before its end. Until
// then, new requests on open connections are answered; the router stops earlier if there are none.
func (p *process) shutDown(callers *http.Server, listener *callerListener) {
	p.logger.Info("shutting down")
	started := time.Now()
	p.stopping.Store(true)
	grace := time.Duration(p.options.Settings.Bounds.GraceS*float64(time.Second)) - exitMargin
	endsAt := started.Add(grace - endingMargin)
	lateAt := started.Add(min(rotationDelay, grace-endingMargin))
	p.gateway.Drain(lateAt, endsAt)
	listener.holdSilent(endsAt)
	time.Sleep(time.Until(lateAt))
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(grace))
	defer cancel()
	go p.failures.flush()
	listener.awaitClosed(endsAt)
	listener.closeSilent()
	if err := callers.Shutdown(ctx); err != nil {
		p.logger.Warn("requests aborted at the end of the grace period", zap.Error(err))
		callers.Close()
	}
	median, high := p.gateway.OwnTime()
	p.logger.Info("stopped", zap.Duration("after", time.Since(started)),
		zap.Duration("own_time_p50", median), zap.Duration("own_time_p99", high))
}
