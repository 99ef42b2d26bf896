// Package router is the caller-facing side of hornbeamproxy: it authenticates
// callers, places their requests, takes permits and claims, and copies complete
// answers. The decisions are made by the pure packages; this package does HTTP,
// timers and the wiring.
package router

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/admission"
	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/claims"
	"github.com/hornbeamproxy/hornbeamproxy/config"
	"github.com/hornbeamproxy/hornbeamproxy/engine"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
	"github.com/hornbeamproxy/hornbeamproxy/lease"
	"github.com/hornbeamproxy/hornbeamproxy/notes"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
	"github.com/hornbeamproxy/hornbeamproxy/orders"
	"github.com/hornbeamproxy/hornbeamproxy/placement"
	"github.com/hornbeamproxy/hornbeamproxy/records"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
	"github.com/hornbeamproxy/hornbeamproxy/timing"
)

const (
	// isolationLimit is the time without contact to the object API and to any
	// peer after which a router fails its readiness check.
	isolationLimit = 10 * time.Second
	// readinessInterval is what refused callers are told to wait at start.
	readinessInterval = time.Second
	// flushTimeout bounds the reporting of outcomes and the release of leases at
	// shutdown.
	flushTimeout = 5 * time.Second
)

// Config is what a Router needs from its process.
type Config struct {
	Settings *api.Settings
	Secrets  config.Secrets
	Store    objectstore.Store
	// Instances reads the platform's instance list; nil when there is none.
	Instances instanceLister
	Logger    *zap.Logger
	Metrics   *telemetry.Metrics
	// Policy ranks the endpoints for a request; nil means rendezvous hashing.
	Policy placement.Policy
	// Unbounded switches the admission limits off, to measure placement alone.
	Unbounded bool
}

// Router is one router of the fleet.
type Router struct {
	settings   *api.Settings
	logger     *zap.Logger
	metrics    *telemetry.Metrics
	store      objectstore.Store
	engine     *engine.Client
	cluster    *peerNetwork
	peerServer *http.Server
	everSeen   map[string]seenRouter // used by followPeers only
	syncer     *notes.Syncer
	acceptor   *notes.Acceptor
	dispatch   *dispatcher
	permits    *permitClient
	owner      *admissionOwner
	claimOwner *claims.Owner
	claims     *claimClient
	leases     *lease.Manager
	retries    *retries
	instances  *instanceReader
	handleKey  []byte
	idPrefix   string
	idCount    atomic.Uint64
	ready      atomic.Bool
	leaving    atomic.Bool
	drains     drains
	history    poolHistory
	workspaces workspaceLimits
	moves      *cacheMover
	keeper     *records.Keeper
	control    *orders.Controller
	failures   *failures
	refreshMu  sync.Mutex
	stopLoops  context.CancelFunc
	loopsDone  chan struct{}
	now        func() time.Time
}

// New wires a router. Run starts it.
func New(c Config) (*Router, error) {
	r := &Router{
		settings:  c.Settings,
		logger:    c.Logger,
		metrics:   c.Metrics,
		store:     c.Store,
		engine:    engine.New(engine.Options{DialTimeout: startReserve}),
		retries:   newRetries(c.Settings.Retry, c.Metrics, time.Now),
		handleKey: deriveKey(c.Secrets.PeerSecret, "stream handles"),
		idPrefix:  c.Settings.Router.ID + "-" + rand.Text()[:8] + "-",
		everSeen:  map[string]seenRouter{},
		now:       time.Now,
	}
	r.syncer = notes.NewSyncer(notes.SyncerOptions{
		Store:   c.Store,
		Peers:   r,
		Metrics: c.Metrics,
		Logger:  c.Logger,
		Wait:    c.Settings.Platform.WatchWait.Duration,
	})
	r.acceptor = notes.NewAcceptor(notes.AcceptorOptions{Store: c.Store, Metrics: c.Metrics, Syncer: r.syncer})
	if err := r.joinCluster(c); err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	r.moves = newCacheMover(r.engine, c.Settings.Limits.CacheMoveBytesPerSecond, c.Metrics)
	r.buildClaims()
	r.buildRecords(c)
	r.buildAdmission(c)
	r.buildControl()
	r.instances = &instanceReader{
		lister:  c.Instances,
		network: r.cluster,
		local:   r.owner.HandleInstances,
		view:    r.view,
		logger:  r.logger,
		now:     r.now,
	}
	r.syncer.OnChange(func(_, after *fleet.View) { r.viewChanged(after) })
	return r, nil
}

func deriveKey(secret, purpose string) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte(purpose))
	return mac.Sum(nil)
}

func (r *Router) buildClaims() {
	settings := r.settings.Claims
	ownerConfig := claims.DefaultOwnerConfig(r.settings.Router.ID)
	ownerConfig.CommitInterval = settings.CommitInterval.Duration
	ownerConfig.Retention = settings.Retention.Duration
	ownerConfig.MaxOutcomeBytes = settings.MaxOutcomeBytes
	// No call runs beyond its deadline.
	ownerConfig.UnknownAfter = r.settings.Limits.RequestTimeout.Duration + settings.Timeout.Duration
	r.claimOwner = claims.NewOwner(ownerConfig, r.store, claims.SystemClock{})
	attempts := claims.DefaultAttemptsConfig(r.settings.Router.ID)
	attempts.MaxOutcomeBytes = settings.MaxOutcomeBytes
	r.claims = &claimClient{
		network:  r.cluster,
		local:    r.claimOwner,
		logger:   r.logger,
		check:    func(ctx context.Context) error { return claims.CheckShards(ctx, r.store, settings.Shards) },
		shards:   settings.Shards,
		timeout:  settings.Timeout.Duration,
		now:      r.now,
		attempts: claims.NewAttempts(attempts),
	}
}

func (r *Router) buildAdmission(c Config) {
	policy := c.Policy
	if policy == nil {
		policy = placement.Rendezvous{}
	}
	leaseConfig := lease.Config{
		Router:   r.settings.Router.ID,
		Nonce:    randomNonce(),
		Lifetime: r.settings.Limits.ColdLease.Duration,
	}
	r.owner = &admissionOwner{
		self:      r.settings.Router.ID,
		network:   r.cluster,
		loads:     r.engine,
		pools:     r.cluster,
		settings:  r.settings,
		logger:    r.logger,
		metrics:   r.metrics,
		now:       r.now,
		isolated:  r.isolated,
		failures:  r.failures,
		unbounded: c.Unbounded,
		gates:     admission.NewSet(),
		owned:     map[string]*ownedEndpoint{},
	}
	r.leases = lease.NewManager(r.store, leaseConfig, r.owner.leaseChanged, r.leaseFailed)
	r.owner.leases = r.leases
	r.permits = &permitClient{
		network: r.cluster,
		local:   r.owner,
		timeout: r.settings.Limits.PermitTimeout.Duration,
		now:     r.now,
	}
	r.dispatch = &dispatcher{
		policy:    policy,
		permits:   r.permits,
		metrics:   r.metrics,
		queueWait: r.settings.Limits.QueueWait.Duration,
		now:       r.now,
	}
	r.dispatch.index.Store(newCandidateIndex(r.syncer.View(), &r.history, r.settings.Router.Region))
}

func randomNonce() uint64 {
	var bytes [8]byte
	_, _ = rand.Read(bytes[:]) // never fails
	var nonce uint64
	for _, b := range bytes {
		nonce = nonce<<8 | uint64(b)
	}
	return nonce
}

func (r *Router) leaseFailed(key string, err error) {
	r.metrics.Counter("leases.failed").Inc(1)
	r.logger.Debug("lease call failed", zap.String("lease", key), zap.Error(err))
}

func (r *Router) view() *fleet.View { return r.dispatch.index.Load().view }

func (r *Router) newRequestID() string {
	return r.idPrefix + strconv.FormatUint(r.idCount.Add(1), 36)
}

// Ready says whether the router takes requests.
func (r *Router) Ready() bool {
	return r.ready.Load() && !r.leaving.Load() && r.silence() < isolationLimit
}

// silence returns the time since the object API or a peer was heard.
func (r *Router) silence() time.Duration {
	last := r.syncer.LastContact()
	if heard := r.cluster.LastPeerContact(); heard.After(last) {
		last = heard
	}
	return r.now().Sub(last)
}

// isolated says that a note may be in force elsewhere that this router cannot
// have heard of. A router that has no peers accepts all notes itself.
func (r *Router) isolated() bool {
	return !r.cluster.NeverHadPeers() && r.silence() > r.settings.Limits.WithdrawWithin.Duration
}

// viewChanged brings a new fleet state into force.
func (r *Router) viewChanged(after *fleet.View) {
	r.history.update(r.now(), r.view(), after)
	r.dispatch.index.Store(newCandidateIndex(after, &r.history, r.settings.Router.Region))
	r.moves.forget()
	r.cluster.SetRevision(after.Revision())
	r.drains.update(r.now(), after)
	r.refreshOwnership()
	r.logger.Info("revision applied", zap.Uint64("revision", after.Revision()))
	for _, note := range r.syncer.Recent() {
		if note.Revision == after.Revision() {
			r.failures.noteApplied(after, note.Note.Title)
		}
	}
}

// refreshOwnership takes and drops gates and claim shards after a change of the
// owners or of the fleet's state.
func (r *Router) refreshOwnership() {
	r.refreshMu.Lock()
	defer r.refreshMu.Unlock()
	r.owner.update(context.Background(), r.view())
	r.permits.ownersChanged()
	r.claimOwner.SetOwned(r.ownedShards())
}

func (r *Router) ownedShards() []int {
	var owned []int
	for shard := range r.settings.Claims.Shards {
		if r.cluster.OwnerOf(shardOwnerName(shard)) == r.settings.Router.ID {
			owned = append(owned, shard)
		}
	}
	return owned
}

// Handler returns the callers' HTTP handler.
func (r *Router) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.POST("/v1/chat/completions", r.serveChat)
	e.GET("/v1/streams/:handle", r.serveStream)
	e.Any("/services/:service/*", r.serveService)
	return e
}

// Start joins the fleet: it returns when the newest revision is applied and the
// router takes requests.
func (r *Router) Start(ctx context.Context) error {
	if err := r.listenPeers(); err != nil {
		return err
	}
	r.startLoops()
	if err := r.syncer.Start(ctx, r.settings.Peers.Seeds); err != nil {
		return fmt.Errorf("read the release notes: %w", err)
	}
	r.viewChanged(r.syncer.View())
	r.ready.Store(true)
	return nil
}

// startLoops runs the router's loops until Close.
func (r *Router) startLoops() {
	ctx, stop := context.WithCancel(context.Background())
	r.stopLoops = stop
	r.loopsDone = make(chan struct{})
	var group run.Group
	loops := []func(context.Context) error{
		r.cluster.Run, r.followPeers, r.syncer.Run, r.owner.run, r.permits.run, r.claims.run,
		r.keeper.Run, r.watchConditions, r.runControl,
	}
	if r.instances.lister != nil {
		loops = append(loops, r.instances.run)
	}
	for _, loop := range loops {
		group.Add(func() error { return loop(ctx) }, func(error) { stop() })
	}
	go func() {
		defer close(r.loopsDone)
		if err := group.Run(); err != nil {
			r.logger.Error("a loop of the router failed", zap.Error(err))
		}
	}()
}

// Done is closed when the router's loops have ended.
func (r *Router) Done() <-chan struct{} { return r.loopsDone }

// StopAccepting makes the router unready and hands its ownership to others. It
// goes on serving the requests that still arrive.
func (r *Router) StopAccepting() {
	r.leaving.Store(true)
	r.cluster.SetLeaving()
	r.refreshOwnership()
}

// Flush waits until the outcomes of this router's calls are recorded and its
// leases are released.
func (r *Router) Flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	for {
		held, _ := r.claims.attempts.Unreported()
		if held == 0 || !timing.Pause(ctx, claimRetryDelay) {
			break
		}
	}
	if err := r.keeper.Flush(ctx); err != nil {
		r.logger.Warn("records not written", zap.Error(err))
	}
	if err := r.leases.Close(ctx); err != nil {
		r.logger.Warn("leases not released", zap.Error(err))
	}
}

// Close ends all work and leaves the fleet.
func (r *Router) Close() {
	if r.stopLoops != nil {
		r.stopLoops()
		<-r.loopsDone
	}
	r.claimOwner.Close()
	r.cluster.Transport().Close()
	if r.peerServer != nil {
		_ = r.peerServer.Close()
	}
	r.engine.Close()
}
