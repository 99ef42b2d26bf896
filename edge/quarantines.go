package edge

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/gateway"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
	"github.com/hornbeamproxy/hornbeamproxy/platform"
	"github.com/hornbeamproxy/hornbeamproxy/poison"
	"github.com/hornbeamproxy/hornbeamproxy/timing"
)

const (
	// quarantineInterval is the time between two checks for quarantines to write or remove.
	quarantineInterval = time.Second
	// quarantineLoadInterval is the time after a list at the start that failed.
	quarantineLoadInterval = 5 * time.Second
)

// quarantines keeps the quarantined parts of prompts in the store, so that they outlive the loss of
// all routers. Each router reads them when it starts; the first relay writes them.
type quarantines struct {
	store   *platform.Store
	gateway *gateway.Gateway
	logger  *zap.Logger
	// firstRelay reports whether this router is the first relay.
	firstRelay func() bool
	// stored are the names of the objects in the store, as of the last list and the changes of
	// this router since then.
	stored map[string]bool
	// listed is set when stored is complete: this router has been the first relay since the
	// list.
	listed bool
}

func (q *quarantines) run(ctx context.Context) error {
	for !q.load(ctx, true) {
		if !timing.Pause(ctx, quarantineLoadInterval) {
			return nil
		}
	}
	return timing.Every(ctx, quarantineInterval, func(time.Time) { q.save(ctx) })
}

// load reads the quarantines from the store and passes them to the gateway. It reports whether it
// succeeded.
func (q *quarantines) load(ctx context.Context, stale bool) bool {
	objects, _, err := q.store.List(ctx, platform.KindQuarantines, stale)
	if err != nil {
		q.logger.Warn("quarantines not listed", zap.Error(err))
		return false
	}
	q.stored = map[string]bool{}
	report := &poison.Report{}
	for _, object := range objects {
		q.stored[object.Key] = true
		quarantine, err := platform.DecodeQuarantine(time.Now(), object.Key, object.Value)
		if err != nil {
			q.logger.Warn("invalid quarantine ignored", zap.String("name", object.Key), zap.Error(err))
			continue
		}
		report.Quarantines = append(report.Quarantines, quarantine)
	}
	q.gateway.ReceivePoison(report, false)
	return true
}

// save writes the quarantines that began, and removes those that ended or were lifted, if this
// router is the first relay.
func (q *quarantines) save(ctx context.Context) {
	if !q.firstRelay() {
		q.listed = false
		return
	}
	active := q.gateway.Quarantines()
	if !q.listed {
		if len(active) == 0 && len(q.stored) == 0 {
			return
		}
		if q.listed = q.load(ctx, false); !q.listed {
			return
		}
		active = q.gateway.Quarantines()
	}
	names := map[string]bool{}
	for _, quarantine := range active {
		name := platform.QuarantineName(quarantine.Part)
		names[name] = true
		if !q.stored[name] {
			q.write(ctx, name, quarantine)
		}
	}
	for name := range q.stored {
		if names[name] {
			continue
		}
		if err := q.store.Remove(ctx, platform.KindQuarantines, name, 0); err != nil && !errors.Is(err, objectstore.ErrNotFound) {
			q.logger.Warn("quarantine not removed", zap.String("part", name), zap.Error(err))
			continue
		}
		delete(q.stored, name)
	}
}

func (q *quarantines) write(ctx context.Context, name string, quarantine poison.Quarantine) {
	value, err := platform.EncodeQuarantine(time.Now(), quarantine)
	if err == nil {
		_, err = q.store.Create(ctx, platform.KindQuarantines, name, value)
	}
	if err != nil && !errors.Is(err, objectstore.ErrConflict) {
		q.logger.Warn("quarantine not written", zap.String("part", name), zap.Error(err))
		return
	}
	q.stored[name] = true
}
