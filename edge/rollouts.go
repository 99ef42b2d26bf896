package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/exchange"
	"github.com/hornbeamproxy/hornbeamproxy/gateway"
	"github.com/hornbeamproxy/hornbeamproxy/mirror"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
	"github.com/hornbeamproxy/hornbeamproxy/platform"
	"github.com/hornbeamproxy/hornbeamproxy/quota"
	"github.com/hornbeamproxy/hornbeamproxy/rollout"
	"github.com/hornbeamproxy/hornbeamproxy/timing"
)

const (
	// rolloutInterval is the time between two decisions on the roll-outs.
	rolloutInterval = 250 * time.Millisecond
	// rolloutMinInterval is the shortest time between two decisions.
	rolloutMinInterval = 50 * time.Millisecond
	// rolloutAloneAfter is how long a router must have known that there is no other one before it
	// decides alone.
	rolloutAloneAfter = 2 * time.Second
	// rolloutWritePause is the time after a write that failed before the next one.
	rolloutWritePause = 300 * time.Millisecond
	// rolloutBackupDelay is how long another relay waits for the first one to write a status.
	rolloutBackupDelay = time.Second
	// rolloutAnnouncedFor is how long a verdict is announced after it was written.
	rolloutAnnouncedFor = 5 * time.Second
	// rolloutListTimeout is how long a router that starts waits for the first list of the roll-outs. A
	// store that answers all calls but this one must not keep the router from serving.
	rolloutListTimeout = 3 * time.Second
	// rolloutStoreFresh is the age up to which the knowledge of the store lets a router decide alone
	// or write in place of the first relay.
	rolloutStoreFresh = 1500 * time.Millisecond
)

// statusStore is the part of the store that the roll-outs use.
type statusStore interface {
	Get(ctx context.Context, kind, name string) (objectstore.Object, error)
	ReplaceStatus(ctx context.Context, kind, name string, status []byte, revision uint64) (objectstore.Object, error)
}

// rolloutPeers is the part of the exchange that the roll-outs use.
type rolloutPeers interface {
	FirstFor(kind string) bool
	RelayRole() (relay, first bool)
	Heard(now time.Time) (heard, known int)
	Routers() *quota.Routers
	AnnounceRollouts()
}

// rolloutRole is what a router does for the roll-outs beside obeying them.
type rolloutRole int

const (
	rolloutFollower rolloutRole = iota
	rolloutBackup               // a relay that writes what the first one can't
	rolloutDecider
)

// rollouts keeps the staged roll-outs of the store. Every router obeys and counts; the first relay
// decides. It is safe for concurrent use.
type rollouts struct {
	store    statusStore
	peers    rolloutPeers
	gateway  *gateway.Gateway
	known    func() time.Time // when all changes of roll-outs were known
	router   string
	start    uint64 // identifies the start of this router
	bounds   rollout.Bounds
	logger   *zap.Logger
	failures *reporter
	wake     chan struct{} // has a value when a decision should not wait for its interval

	listed     chan struct{} // closed after the first list
	listedOnce sync.Once

	mu     sync.Mutex
	orders map[string]*rolloutOrder // by object name
	// versions are the highest versions seen, by object name, so that the answer to a write that
	// arrives late does not restore a deleted order.
	versions   map[string]uint64
	role       rolloutRole
	aloneSince time.Time
}

// rolloutOrder is a roll-out that is in the store.
type rolloutOrder struct {
	name       string
	version    uint64 // of the object
	rollout    rollout.Rollout
	stored     rollout.Status
	controller rollout.Controller
	collector  *rollout.Collector
	failed     map[string]uint32 // failed answers of the target, by router that reports
	// decided is what this router decided last, zero if it has not decided.
	decided rollout.Status
	// heard is the status that a relay announced last, at heardAt, and first at heardSince. A verdict
	// stays.
	heard               rollout.Status
	heardAt, heardSince time.Time
	finalAt             time.Time // when the store was found to hold a verdict
	writing             bool
	retryAt             time.Time // of a write that failed
}

// isFinal reports whether the status is a verdict on this order.
func (o *rolloutOrder) isFinal(s rollout.Status) bool {
	return s.State.Final() && s.Order == o.rollout.ID
}

var (
	_ mirror.Receiver   = (*rollouts)(nil)
	_ exchange.Rollouts = (*rollouts)(nil)
)

// newRollouts creates the roll-outs if the settings ask for them.
func (p *process) newRollouts() {
	bounds := p.options.Settings.Bounds
	if bounds.ExposeShare <= 0 {
		return
	}
	p.rollouts = &rollouts{
		store: p.store, router: p.options.Settings.Router.ID, start: uint64(time.Now().UnixNano()), logger: p.logger,
		orders: map[string]*rolloutOrder{}, versions: map[string]uint64{}, wake: make(chan struct{}, 1),
		listed: make(chan struct{}), bounds: rollout.Bounds{Share: bounds.ExposeShare, Slack: bounds.ExposeSlack},
	}
}

// exchangedRollouts returns what the exchange needs of the roll-outs, nil if they are off.
func (p *process) exchangedRollouts() exchange.Rollouts {
	if p.rollouts == nil {
		return nil
	}
	return p.rollouts
}

// afterRollouts makes the mirror of the configuration wait for the first list of the roll-outs: without
// a configuration no request is served, so that none goes to a version that was rolled back before this
// router started.
func (p *process) afterRollouts(kind string, run func(context.Context) error) func(context.Context) error {
	if p.rollouts == nil || kind != platform.KindConfig {
		return run
	}
	return func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return nil
		case <-p.rollouts.listed:
		case <-time.After(rolloutListTimeout):
			p.logger.Warn("serving before the roll-outs are known")
		}
		return run(ctx)
	}
}

// connectRollouts sets the parts that are created after the exchange.
func (p *process) connectRollouts() {
	if p.rollouts == nil {
		return
	}
	p.rollouts.mu.Lock()
	defer p.rollouts.mu.Unlock()
	p.rollouts.peers, p.rollouts.gateway, p.rollouts.failures = p.peers, p.gateway, p.failures
	p.rollouts.known = p.mirrors[platform.KindRollouts].KnownAt
}

// run decides at each rolloutInterval, and sooner on a new order, whose period counts from the first
// status, and on new failures of a target.
func (r *rollouts) run(ctx context.Context) error {
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		case <-ticker.C:
		}
		r.tick(ctx, time.Now())
		if !timing.Pause(ctx, rolloutMinInterval) {
			return nil
		}
	}
}

// wakeUp makes run decide at once.
func (r *rollouts) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// tick confirms what is known, and decides if that is the task of this router.
func (r *rollouts) tick(ctx context.Context, now time.Time) {
	r.mu.Lock()
	if at := r.known(); !at.IsZero() {
		r.gateway.ConfirmRollouts(at)
	}
	r.role = r.findRole(now)
	announce := false
	for _, o := range r.orders {
		if r.isRunning(o) {
			if report, ok := r.gateway.RolloutReport(now, o.rollout.Service); ok {
				o.collector.Add(now, r.router, r.start, report)
			}
		}
		announce = r.step(ctx, now, o) || announce
	}
	r.mu.Unlock()
	if announce {
		r.peers.AnnounceRollouts()
	}
}

// findRole returns the role of this router. A decider must hear at least half of the fleet, itself
// included: one that is cut off would judge by its own counts. Callers hold r.mu.
func (r *rollouts) findRole(now time.Time) rolloutRole {
	heard, known := r.peers.Heard(now)
	if known > 0 || r.peers.Routers() == nil {
		r.aloneSince = time.Time{}
	} else if r.aloneSince.IsZero() {
		r.aloneSince = now
	}
	alone := !r.aloneSince.IsZero() && now.Sub(r.aloneSince) >= rolloutAloneAfter && r.storeFresh(now)
	if alone || 2*(heard+1) >= known+1 && r.peers.FirstFor(platform.KindRollouts) {
		return rolloutDecider
	}
	if relay, _ := r.peers.RelayRole(); relay {
		return rolloutBackup
	}
	return rolloutFollower
}

func (r *rollouts) storeFresh(now time.Time) bool { return now.Sub(r.known()) < rolloutStoreFresh }

// isRunning reports whether there is no verdict on the order yet. Callers hold r.mu.
func (r *rollouts) isRunning(o *rolloutOrder) bool {
	return !o.isFinal(o.stored) && !o.isFinal(r.gateway.RolloutStatus(o.rollout.Service))
}

// step decides on an order, and writes what was decided. It reports whether the decision is a new
// one. Callers hold r.mu.
func (r *rollouts) step(ctx context.Context, now time.Time, o *rolloutOrder) bool {
	if o.isFinal(o.stored) {
		return false
	}
	switch {
	case r.role == rolloutDecider:
		changed := r.decide(now, o)
		r.startWrite(ctx, now, o, o.decided)
		return changed
	case r.role == rolloutBackup && o.heardUnwritten(now) && r.storeFresh(now):
		r.startWrite(ctx, now, o, o.heard)
	}
	return false
}

// heardUnwritten reports whether the first relay has announced a status for some time that it can't
// write.
func (o *rolloutOrder) heardUnwritten(now time.Time) bool {
	announced := o.isFinal(o.heard) || o.heard.State != rollout.None && now.Sub(o.heardAt) < rolloutBackupDelay
	return announced && now.Sub(o.heardSince) >= rolloutBackupDelay
}

// hear records a status that a relay has announced.
func (o *rolloutOrder) hear(now time.Time, status rollout.Status) {
	if status.Order != o.rollout.ID || o.isFinal(o.heard) {
		return
	}
	if !status.SameContent(o.heard) {
		o.heard, o.heardSince = status, now
	}
	o.heardAt = now
}

// decide decides on an order and reports whether the decision is a new one. Callers hold r.mu.
func (r *rollouts) decide(now time.Time, o *rolloutOrder) bool {
	base := r.gateway.RolloutStatus(o.rollout.Service) // of the store, or what a relay announced
	counts := o.collector.Counts(now, r.gateway.RolloutCapacity(now, o.rollout.Service))
	next, why := o.controller.Step(now, o.rollout, base, counts)
	if next.State == rollout.None {
		return false
	}
	r.gateway.SetRolloutStatus(now, rollout.FromRelay, o.rollout.Service, next)
	changed := !next.SameContent(o.decided) && !next.SameContent(base)
	o.decided = next
	if changed {
		r.logger.Info("rollout decided", zap.String("service", o.rollout.Service), zap.String("target", o.rollout.Target),
			zap.Stringer("state", next.State), zap.Float64("share", next.Share), zap.String("reason", next.Reason),
			zap.Uint64("answers", why.Answers), zap.Uint64("failed", why.Failed),
			zap.Uint64("old_answers", why.OldAnswers), zap.Uint64("old_failed", why.OldFailed), zap.String("route", why.Route),
			zap.Bool("suspect", why.Suspect), zap.Uint64("target_sent", why.TargetSent), zap.Uint64("sent", why.Sent),
			zap.Int("old_in_flight", why.OldInFlight), zap.Int("routers", why.Routers), zap.Duration("age", now.Sub(next.Started)))
	}
	return changed
}

// startWrite writes a status in the background unless the store holds it or a write is under way.
// Callers hold r.mu.
func (r *rollouts) startWrite(ctx context.Context, now time.Time, o *rolloutOrder, status rollout.Status) {
	if status.State == rollout.None || status.SameContent(o.stored) || o.writing || now.Before(o.retryAt) {
		return
	}
	value, err := platform.EncodeRolloutStatus(status)
	if err != nil {
		r.logger.Error("rollout status not encoded", zap.Error(err))
		return
	}
	o.writing = true
	name, version := o.name, o.version
	go func() {
		object, err := r.store.ReplaceStatus(ctx, platform.KindRollouts, name, value, version)
		if err != nil && object.Version == 0 && !errors.Is(err, objectstore.ErrNotFound) {
			// Whether the write took effect, or what it lost against, only the object shows.
			if present, readErr := r.store.Get(ctx, platform.KindRollouts, name); readErr == nil {
				object = present
			}
		}
		r.endWrite(o, status, object, err)
	}()
}

// endWrite takes the object as a write has found or left it.
func (r *rollouts) endWrite(o *rolloutOrder, status rollout.Status, object objectstore.Object, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o.writing = false
	if err != nil {
		o.retryAt = time.Now().Add(rolloutWritePause)
		r.logger.Warn("rollout status not written", zap.String("service", o.rollout.Service), zap.Stringer("state", status.State),
			zap.Float64("share", status.Share), zap.Error(err))
	}
	if object.Version != 0 {
		r.take(object)
	}
}

// ObjectsListed implements mirror.Receiver.
func (r *rollouts) ObjectsListed(objects []objectstore.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[string]bool{}
	for _, object := range objects {
		listed[object.Key] = true
		r.take(object)
	}
	for name := range r.orders {
		if !listed[name] {
			r.drop(name)
		}
	}
	r.listedOnce.Do(func() { close(r.listed) })
}

// ObjectChanged implements mirror.Receiver.
func (r *rollouts) ObjectChanged(object objectstore.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.take(object)
}

// StoreUnavailable implements mirror.Receiver.
func (r *rollouts) StoreUnavailable(time.Time, error) {}

// StoreAvailable implements mirror.Receiver.
func (r *rollouts) StoreAvailable() {}

// take takes a version of an object, unless a newer one is known. Callers hold r.mu.
func (r *rollouts) take(object objectstore.Object) {
	known := r.versions[object.Key]
	if object.Version < known || object.Version == known && !object.Deleted {
		return
	}
	r.versions[object.Key] = object.Version
	if object.Deleted {
		r.drop(object.Key)
		return
	}
	decoded, status, err := platform.DecodeRollout(object)
	if err != nil {
		r.logger.Warn("invalid roll-out ignored", zap.String("name", object.Key), zap.Error(err))
		r.drop(object.Key)
		return
	}
	decoded.Bounds = r.bounds
	o := r.orders[object.Key]
	if o == nil || o.rollout.ID != decoded.ID {
		if o != nil && o.rollout.Service != decoded.Service {
			r.drop(object.Key)
		}
		o = r.newOrder(object.Key, decoded, status)
	}
	wasFinal := o.isFinal(o.stored)
	o.version, o.stored = object.Version, status
	if status.Order == decoded.ID {
		r.gateway.SetRolloutStatus(time.Now(), rollout.FromStore, decoded.Service, status)
	}
	if o.isFinal(status) && !wasFinal {
		o.finalAt = time.Now()
		r.recordEnd(o)
	}
}

// newOrder replaces the order of an object by another one. Callers hold r.mu.
func (r *rollouts) newOrder(name string, decoded rollout.Rollout, status rollout.Status) *rolloutOrder {
	o := &rolloutOrder{name: name, rollout: decoded, collector: rollout.NewCollector(decoded.ID), failed: map[string]uint32{}}
	if o.isFinal(status) {
		o.stored, o.finalAt = status, time.Now()
	}
	r.orders[name] = o
	if status.Order != decoded.ID {
		// The verdict on an earlier order comes first, so that this order may lift it.
		r.gateway.SetRolloutStatus(time.Now(), rollout.FromStore, decoded.Service, status)
	}
	r.gateway.SetRollout(decoded)
	r.wakeUp()
	r.logger.Info("rollout ordered", zap.String("service", decoded.Service), zap.String("target", decoded.Target),
		zap.Duration("period", decoded.Period), zap.String("order", decoded.ID), zap.Stringer("state", status.State))
	return o
}

// recordEnd records a verdict that was reached while this router knew the order.
func (r *rollouts) recordEnd(o *rolloutOrder) {
	r.logger.Info("rollout ended", zap.String("service", o.rollout.Service), zap.String("target", o.rollout.Target),
		zap.Stringer("state", o.stored.State), zap.String("reason", o.stored.Reason))
	if r.failures != nil {
		r.failures.recordRolloutEnded(o.rollout, o.stored)
	}
}

// drop ends an order whose object is gone. Callers hold r.mu.
func (r *rollouts) drop(name string) {
	if o := r.orders[name]; o != nil {
		delete(r.orders, name)
		r.gateway.ClearRollout(o.rollout.Service)
	}
}

// Reports implements exchange.Rollouts.
func (r *rollouts) Reports(now time.Time) []exchange.RolloutReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var reports []exchange.RolloutReport
	for _, o := range r.orders {
		if !r.isRunning(o) {
			continue
		}
		if report, ok := r.gateway.RolloutReport(now, o.rollout.Service); ok {
			reports = append(reports, exchange.RolloutReport{Service: o.rollout.Service, Start: r.start, Report: report})
		}
	}
	return reports
}

// Statuses implements exchange.Rollouts. The decider announces the status in force, other relays a
// verdict that is not written yet.
func (r *rollouts) Statuses() []exchange.RolloutStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var statuses []exchange.RolloutStatus
	now := time.Now()
	for _, o := range r.orders {
		status := o.heard
		switch {
		case o.isFinal(o.stored):
			if status = o.stored; r.role != rolloutDecider || now.Sub(o.finalAt) >= rolloutAnnouncedFor {
				continue
			}
		case r.role == rolloutDecider:
			status = o.decided
		case r.role == rolloutFollower || !o.isFinal(status):
			continue
		}
		if status.State != rollout.None && status.Order == o.rollout.ID {
			statuses = append(statuses, exchange.NewRolloutStatus(o.rollout.Service, status))
		}
	}
	return statuses
}

// ReceiveReports implements exchange.Rollouts.
func (r *rollouts) ReceiveReports(now time.Time, router string, reports []exchange.RolloutReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range reports {
		for _, o := range r.orders {
			if o.rollout.Service == report.Service {
				o.collector.Add(now, router, report.Start, report.Report)
				if failed := report.Failed(); failed != o.failed[router] {
					o.failed[router] = failed
					r.wakeUp()
				}
			}
		}
	}
}

// ReceiveStatuses implements exchange.Rollouts.
func (r *rollouts) ReceiveStatuses(now time.Time, statuses []exchange.RolloutStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range statuses {
		status := s.Status()
		r.gateway.SetRolloutStatus(now, rollout.FromRelay, s.Service, status)
		for _, o := range r.orders {
			o.hear(now, status)
		}
	}
}
