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
	// firstListInterval is the time between lists of the routers until another
	// one is found, and listInterval after that.
	firstListInterval = time.Second
	listInterval      = 5 * time.Second
	// deadAfter is the silence after which a router's registration is removed.
	deadAfter = 60 * time.Second
)

// fleet registers the router in the store and finds the others there.
type fleet struct {
	store      *platform.Store
	peers      *exchange.Exchange
	router     string
	own        exchange.Peer // as it is registered
	logger     *zap.Logger
	registered bool
	// routerLost is told of a router whose registration was removed.
	routerLost func(router string)
	// silent is the time since when a registered router has not been heard.
	silent map[string]time.Time
}

func (f *fleet) run(ctx context.Context) error {
	f.silent = map[string]time.Time{}
	pause := time.Duration(0)
	for timing.Pause(ctx, pause) {
		if !f.registered {
			f.registered = f.register(ctx)
		}
		pause = firstListInterval
		if f.list(ctx) && f.registered {
			pause = listInterval
		}
	}
	return nil
}

// register enters this router, in place of an earlier process of the same name.
func (f *fleet) register(ctx context.Context) bool {
	value, err := platform.EncodeRouter(f.own)
	if err != nil {
		f.logger.Error("registration", zap.Error(err))
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
	return true
}

// list finds the other routers. It reports whether there are any.
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
			f.logger.Warn("registration passed over", zap.String("router", object.Key), zap.Error(err))
			continue
		}
		registered[object.Key] = router
	}
	f.peers.SetPeers(registered)
	f.removeDead(ctx, registered)
	return len(registered) > 1
}

// removeDead removes the registrations of routers that have been silent for
// long. The living router with the lowest id does it for all.
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
			delete(f.silent, id)
			continue
		}
		if _, ok := f.silent[id]; !ok {
			f.silent[id] = now
		}
		if now.Sub(f.silent[id]) < deadAfter {
			continue
		}
		if err := f.store.Remove(ctx, platform.KindRouters, id, 0); err != nil {
			f.logger.Warn("registration not removed", zap.String("router", id), zap.Error(err))
			continue
		}
		delete(f.silent, id)
		f.routerLost(id)
		f.logger.Info("registration of a dead router removed", zap.String("router", id))
	}
}
