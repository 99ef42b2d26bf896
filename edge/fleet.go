package edge

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/exchange"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
	"github.com/hornbeamproxy/hornbeamproxy/platform"
	"github.com/hornbeamproxy/hornbeamproxy/timing"
)

const (
	// firstListInterval is the interval at which this router lists the registered
	// routers until it is registered itself and has found another one. listInterval is
	// the interval after that.
	firstListInterval = time.Second
	listInterval      = 5 * time.Second
	// failedListInterval is the interval after a list that failed before any succeeded. A
	// router that does not know the others sends nothing to cold endpoints.
	failedListInterval = 250 * time.Millisecond
	// listLag is the time after which a list shows this router's registration, since lists may be
	// seconds old.
	listLag = 10 * time.Second
	// deadAfter is the silence after which a router's registration is removed.
	deadAfter = 60 * time.Second
)

// fleet registers this router in the store and discovers the other routers there.
type fleet struct {
	store  *platform.Store
	peers  *exchange.Exchange
	router string
	self   exchange.Peer // this router's registration
	logger *zap.Logger
	// registeredAt is when this router was registered, zero if it is not.
	registeredAt time.Time
	// onRouterLost is called for a router whose registration was removed.
	onRouterLost func(router string)
	// silentSince holds, by id, the time since which a registered router has not been
	// heard from.
	silentSince map[string]time.Time
}

func (f *fleet) run(ctx context.Context) error {
	f.silentSince = map[string]time.Time{}
	pause := time.Duration(0)
	for timing.Pause(ctx, pause) {
		found := f.list(ctx)
		if f.registeredAt.IsZero() && f.register(ctx) {
			f.registeredAt = time.Now()
		}
		pause = firstListInterval
		switch {
		case found && !f.registeredAt.IsZero():
			pause = listInterval
		case f.peers.Routers() == nil:
			pause = failedListInterval
		}
	}
	return nil
}

// register registers this router in the store, and replaces the registration of an
// earlier process of the same id. It reports whether it succeeded.
func (f *fleet) register(ctx context.Context) bool {
	value, err := platform.EncodeRouter(f.self)
	if err != nil {
		f.logger.Error("registration not encoded", zap.Error(err))
		return false
	}
	_, err = f.store.Create(ctx, platform.KindRouters, f.router, value)
	if errors.Is(err, objectstore.ErrConflict) {
		_, err = f.store.Replace(ctx, platform.KindRouters, f.router, value, 0)
	}
	if err != nil {
		f.logger.Warn("router not registered", zap.Error(err))
		return false
	}
	f.logger.Info("router registered")
	return true
}

// list reads the registered routers from the store and sets them as peers. It reports
// whether more than one router is registered.
func (f *fleet) list(ctx context.Context) bool {
	objects, _, err := f.store.List(ctx, platform.KindRouters, true)
	if err != nil {
		f.logger.Warn("routers not listed", zap.Error(err))
		return false
	}
	registered := make(map[string]exchange.Peer, len(objects))
	for _, object := range objects {
		router, err := platform.DecodeRouter(object.Value)
		if err != nil {
			f.logger.Warn("invalid registration ignored", zap.String("router", object.Key), zap.Error(err))
			continue
		}
		registered[object.Key] = router
	}
	if _, ok := registered[f.router]; !ok && time.Since(f.registeredAt) >= listLag {
		// It may have been removed by a router that could not hear this one.
		f.registeredAt = time.Time{}
	}
	f.peers.SetPeers(registered)
	f.removeDead(ctx, registered)
	return len(registered) > 1
}

// removeDead removes the registrations of routers that have been silent for deadAfter.
// Only the live router with the smallest id does so.
func (f *fleet) removeDead(ctx context.Context, registered map[string]exchange.Peer) {
	now := time.Now()
	alive := f.peers.Alive(now)
	for id := range alive {
		if id < f.router {
			return
		}
	}
	for id := range registered {
		if alive[id] {
			delete(f.silentSince, id)
			continue
		}
		if _, ok := f.silentSince[id]; !ok {
			f.silentSince[id] = now
		}
		if now.Sub(f.silentSince[id]) < deadAfter {
			continue
		}
		if err := f.store.Remove(ctx, platform.KindRouters, id, 0); err != nil {
			f.logger.Warn("registration not removed", zap.String("router", id), zap.Error(err))
			continue
		}
		delete(f.silentSince, id)
		f.onRouterLost(id)
		f.logger.Info("registration of a dead router removed", zap.String("router", id))
	}
}
