// Package router is the caller-facing side of hornbeamproxy: it authenticates
// callers, places their requests on endpoints, acquires permits and claims, and
// copies responses back. Each response arrives either complete or visibly cut off. The
// decisions are made by packages without I/O (admission, placement, retry and others);
// this package does HTTP, timers and the wiring.
//
// Terms of this package:
//
//   - A pool is the set of endpoints that can serve a request: the engines with its
//     model, or the replicas of its service.
//   - The home of a chat is the endpoint that placement ranks first for it. The chat's
//     KV cache is expected there unless the chat has moved.
//   - A permit allows a router to run one request at an endpoint. It is granted by the
//     endpoint's admission owner: the one router that counts the requests of all routers
//     to that endpoint. An admission gate is that router's state for the endpoint. The
//     request must start before the permit's start-by time. A permit that is not renewed
//     expires when its hold time has passed.
//   - A claim reserves an idempotency key for one call, so that the call runs at most
//     once. Keys are distributed over claim shards, each of which has one owner.
//   - An endpoint reports that it is cold, or warming, while its caches are empty, as
//     after a restart, and it can run fewer requests at once. It then receives work only
//     while its owner holds the endpoint's cold lease, which is stored in the object API.
//   - An endpoint is suspect after several requests in a row have failed there. A model
//     engine is also suspect while its owner has no recent good load report of it.
//   - An instance is leaving if the platform's instance list marks it so. It is gone if
//     it was in the list before and no longer is.
//   - A release note changes the fleet state and gives it a new revision. A fleet view
//     is the state at one revision.
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
	// isolationLimit is the time after which a router that has had contact neither
	// with the object API nor with a peer fails its readiness check.
	isolationLimit = 10 * time.Second
	// refusalRetryAfter is the Retry-After of requests that are refused because
	// the router is starting or the workspace is at its limit.
	refusalRetryAfter = time.Second
	// flushTimeout bounds the time that Flush takes at shutdown to report claim
	// outcomes, write failure records and release leases, all together.
	flushTimeout = 5 * time.Second
)

// Config holds the dependencies and settings of a Router. Settings, Secrets, Store,
// Logger and Metrics are required.
type Config struct {
	Settings *api.Settings
	Secrets  config.Secrets
	Store    objectstore.Store
	// Instances reads the platform's instance list; nil if the platform has none.
	Instances instanceLister
	Logger    *zap.Logger
	Metrics   *telemetry.Metrics
	// Policy ranks the endpoints for a request; nil means rendezvous hashing.
	Policy placement.Policy
	// NoAdmissionLimits switches the admission limits off, to measure placement alone.
	NoAdmissionLimits bool
}

// Router is one router of the fleet.
type Router struct {
	settings        *api.Settings
	logger          *zap.Logger
	metrics         *telemetry.Metrics
	store           objectstore.Store
	engine          *engine.Client
	network         *peerNetwork
	peerServer      *http.Server
	knownRouters    map[string]knownRouter // used by followPeers only
	syncer          *notes.Syncer
	acceptor        *notes.Acceptor
	dispatch        *dispatcher
	permits         *permitClient
	owner           *admissionOwner
	claimOwner      *claims.Owner
	claims          *claimClient
	leases          *lease.Manager
	retries         *retrier
	chatExits       *chatExits
	instances       *instanceReader
	streamHandleKey []byte
	idPrefix        string
	idCount         atomic.Uint64
	ready           atomic.Bool
	leaving         atomic.Bool
	drainDeadlines  drainDeadlines
	history         poolHistory
	workspaceLimits workspaceLimits
	cacheMover      *cacheMover
	records         *records.Recorder
	control         *orders.Controller
	failures        *failureRecorder
	refreshMu       sync.Mutex
	stopLoops       context.CancelFunc
	loopsDone       chan struct{}
	now             func() time.Time
}

// New creates a router that accepts no requests and opens no listener before Start. It
// fails if the transport between routers can't be created.
func New(c Config) (*Router, error) {
	r := &Router{
		settings:        c.Settings,
		logger:          c.Logger,
		metrics:         c.Metrics,
		store:           c.Store,
		engine:          engine.New(engine.Options{DialTimeout: startReserve}),
		retries:         newRetrier(c.Settings.Retry, c.Metrics, time.Now),
		chatExits:       newChatExits(time.Now),
		streamHandleKey: deriveKey(c.Secrets.PeerSecret, "stream handles"),
		idPrefix:        c.Settings.Router.ID + "-" + rand.Text()[:8] + "-",
		knownRouters:    map[string]knownRouter{},
		now:             time.Now,
	}
	r.syncer = notes.NewSyncer(notes.SyncerOptions{
		Store:           c.Store,
		Peers:           r,
		Metrics:         c.Metrics,
		Logger:          c.Logger,
		LongPollTimeout: c.Settings.Platform.WatchWait.Duration,
	})
	r.acceptor = notes.NewAcceptor(notes.AcceptorOptions{Store: c.Store, Metrics: c.Metrics, Syncer: r.syncer})
	if err := r.buildNetwork(c); err != nil {
		return nil, fmt.Errorf("creating the peer network: %w", err)
	}
	r.cacheMover = newCacheMover(r.engine, c.Settings.Limits.CacheMoveBytesPerSecond, c.Metrics)
	r.buildClaims()
	r.buildRecords(c)
	r.buildAdmission(c)
	r.buildControl()
	r.instances = &instanceReader{
		lister:  c.Instances,
		network: r.network,
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
	// No call runs beyond its deadline, so a claim without an outcome after this
	// time has an unknown outcome.
	ownerConfig.UnknownAfter = r.settings.Limits.RequestTimeout.Duration + settings.Timeout.Duration
	r.claimOwner = claims.NewOwner(ownerConfig, r.store, claims.SystemClock{})
	attempts := claims.DefaultAttemptsConfig(r.settings.Router.ID)
	attempts.MaxOutcomeBytes = settings.MaxOutcomeBytes
	r.claims = &claimClient{
		network:         r.network,
		local:           r.claimOwner,
		logger:          r.logger,
		checkShardCount: func(ctx context.Context) error { return claims.CheckShards(ctx, r.store, settings.Shards) },
		shards:          settings.Shards,
		timeout:         settings.Timeout.Duration,
		now:             r.now,
		attempts:        claims.NewAttempts(attempts),
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
		self:              r.settings.Router.ID,
		network:           r.network,
		loads:             r.engine,
		pools:             r.network,
		settings:          r.settings,
		logger:            r.logger,
		metrics:           r.metrics,
		now:               r.now,
		isolated:          r.isolated,
		failures:          r.failures,
		noAdmissionLimits: c.NoAdmissionLimits,
		gates:             admission.NewSet(),
		owned:             map[string]*ownedEndpoint{},
	}
	r.leases = lease.NewManager(r.store, leaseConfig, r.owner.leaseChanged, r.leaseFailed)
	r.owner.leases = r.leases
	r.permits = &permitClient{
		network: r.network,
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

// Ready reports whether the router accepts requests: it has started, is not shutting
// down, and has had contact with the object API or a peer in the last 10 s
// (isolationLimit).
func (r *Router) Ready() bool {
	return r.ready.Load() && !r.leaving.Load() && r.sinceLastContact() < isolationLimit
}

// sinceLastContact returns the time since the last contact with the object API
// or with any peer.
func (r *Router) sinceLastContact() time.Duration {
	last := r.syncer.LastContact()
	if heard := r.network.LastPeerContact(); heard.After(last) {
		last = heard
	}
	return r.now().Sub(last)
}

// isolated reports whether this router has had no contact for longer than
// limits.withdraw_within. Other routers may then have applied a release note that this
// one has not received. A router that never had peers accepts all notes itself and is
// never isolated.
func (r *Router) isolated() bool {
	return !r.network.NeverHadPeers() && r.sinceLastContact() > r.settings.Limits.WithdrawWithin.Duration
}

// viewChanged applies a new revision of the fleet state.
func (r *Router) viewChanged(after *fleet.View) {
	r.history.update(r.now(), r.view(), after)
	r.dispatch.index.Store(newCandidateIndex(after, &r.history, r.settings.Router.Region))
	r.cacheMover.clearLocations()
	r.network.SetRevision(after.Revision())
	r.drainDeadlines.update(r.now(), after)
	r.refreshOwnership()
	r.logger.Info("revision applied", zap.Uint64("revision", after.Revision()))
	for _, note := range r.syncer.Recent() {
		if note.Revision == after.Revision() {
			r.failures.noteApplied(after, note.Note.Title)
		}
	}
}

// refreshOwnership takes the endpoints and claim shards that this router has become the
// owner of, and releases those that it no longer owns. It is called after a change of
// the owners or of the fleet state.
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
		if r.network.OwnerOf(shardOwnershipKey(shard)) == r.settings.Router.ID {
			owned = append(owned, shard)
		}
	}
	return owned
}

// Handler returns the HTTP handler of the callers' listener.
func (r *Router) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.POST("/v1/chat/completions", r.serveChat)
	e.GET("/v1/streams/:handle", r.serveStream)
	e.Any("/services/:service/*", r.serveService)
	return e
}

// Start starts the peer listener and the background loops. It returns when the
// newest revision is applied and the router accepts requests. After an error the
// router must still be closed.
func (r *Router) Start(ctx context.Context) error {
	if err := r.listenPeers(); err != nil {
		return err
	}
	r.startLoops()
	if err := r.syncer.Start(ctx, r.settings.Peers.Seeds); err != nil {
		return fmt.Errorf("reading the release notes: %w", err)
	}
	r.viewChanged(r.syncer.View())
	r.ready.Store(true)
	return nil
}

// startLoops starts the router's background loops, which run until Close. If one
// of them ends, all end.
func (r *Router) startLoops() {
	ctx, stop := context.WithCancel(context.Background())
	r.stopLoops = stop
	r.loopsDone = make(chan struct{})
	var group run.Group
	loops := []func(context.Context) error{
		r.network.Run, r.followPeers, r.syncer.Run, r.owner.run, r.permits.run, r.claims.run,
		r.records.Run, r.watchConditions, r.runControl,
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
			r.logger.Error("background loop failed", zap.Error(err))
		}
	}()
}

// Done returns a channel that is closed when the background loops have ended. It is nil
// before Start.
func (r *Router) Done() <-chan struct{} { return r.loopsDone }

// StartLeaving makes the router unready and hands its endpoints and claim shards
// to other routers. Requests that still arrive are served.
func (r *Router) StartLeaving() {
	r.leaving.Store(true)
	r.network.SetLeaving()
	r.refreshOwnership()
}

// Flush waits until the outcomes of this router's calls are durable, its failure
// records are written and its leases are released, but at most 5 s (flushTimeout).
// Errors are logged, not returned.
func (r *Router) Flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	for {
		unreported, _ := r.claims.attempts.Unreported()
		if unreported == 0 || !timing.Pause(ctx, claimRetryDelay) {
			break
		}
	}
	if err := r.records.Flush(ctx); err != nil {
		r.logger.Warn("writing the failure records at shutdown failed", zap.Error(err))
	}
	if err := r.leases.Close(ctx); err != nil {
		r.logger.Warn("releasing the leases at shutdown failed", zap.Error(err))
	}
}

// Close stops the background loops, which deregisters the router from the fleet, and
// closes all connections.
func (r *Router) Close() {
	if r.stopLoops != nil {
		r.stopLoops()
		<-r.loopsDone
	}
	r.claimOwner.Close()
	r.network.Transport().Close()
	if r.peerServer != nil {
		_ = r.peerServer.Close()
	}
	r.engine.Close()
}
