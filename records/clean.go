package records

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

const (
	// cleanKey is the object by which one router at a time is chosen to delete
	// old days. It lies outside keyPrefix, which holds records only.
	cleanKey = "records-retention"
	// cleanInterval is the time between two cleanings of the fleet.
	cleanInterval = time.Hour
	// deletesPerSecond deletes up to 18,000 objects an hour. An ordinary day of
	// 350 routers has about 70,000 at most.
	deletesPerSecond = 5
	// maxDoomed bounds the memory for the deletes of one day; the next cleaning
	// finds the rest.
	maxDoomed = 15_000
)

// cleaner deletes days older than the retention.
type cleaner struct {
	next    time.Time
	days    []string // days still to be listed
	doomed  []doomed
	deletes *rate.Limiter
}

// doomed is an object to delete at the version that was listed.
type doomed struct {
	key     string
	version uint64
}

func (c *cleaner) init(next time.Time) {
	c.next = next
	c.deletes = rate.NewLimiter(deletesPerSecond, 1)
}

// clean makes at most one delete, lists one day, or claims the next cleaning, so
// that a slow object API does not hold up the writes for long.
func (k *Keeper) clean(ctx context.Context, now time.Time) {
	c := &k.cleaner
	if len(c.doomed) > 0 {
		if c.deletes.AllowN(now, 1) {
			k.deleteNext(ctx)
		}
		return
	}
	if len(c.days) > 0 {
		k.listDoomed(ctx)
		return
	}
	if now.Before(c.next) {
		return
	}
	c.next = now.Add(cleanInterval + k.upTo(cleanInterval/4))
	claimed, err := k.claimCleaning(ctx, now)
	if err != nil {
		k.opts.Logger.Debug("old records not cleaned", zap.Error(err))
	}
	if claimed {
		c.days = ExpiredDays(now, k.opts.Retention)
	}
}

// claimCleaning reports whether this router cleans until the next interval. Two
// cleaners at once are harmless: deletes are conditional.
func (k *Keeper) claimCleaning(ctx context.Context, now time.Time) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := k.opts.Store.Get(ctx, cleanKey)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return false, err
	}
	var last api.LeaseRecord
	if err == nil {
		// An unreadable object is replaced like an old one.
		_ = cbor.Unmarshal(object.Value, &last)
	}
	if age := now.UnixMilli() - int64(last.Renewal); age >= 0 && age < cleanInterval.Milliseconds() {
		return false, nil
	}
	value, err := cbor.Marshal(api.LeaseRecord{Holder: k.opts.Router, Term: last.Term + 1, Renewal: uint64(now.UnixMilli())})
	if err != nil {
		return false, err
	}
	_, err = k.opts.Store.Put(ctx, cleanKey, value, object.Version)
	if errors.Is(err, objectstore.ErrConflict) {
		return false, nil
	}
	return err == nil, err
}

func (k *Keeper) listDoomed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := &k.cleaner
	day := c.days[0]
	c.days = c.days[1:]
	err := listAll(ctx, k.opts.Store, dayPrefix(day), map[string]bool{}, func(object objectstore.Object) {
		if len(c.doomed) < maxDoomed {
			c.doomed = append(c.doomed, doomed{key: object.Key, version: object.Version})
		}
	})
	if err != nil {
		c.days = nil // the next cleaning starts again
	}
}

func (k *Keeper) deleteNext(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := &k.cleaner
	next := c.doomed[0]
	c.doomed = c.doomed[1:]
	err := k.opts.Store.Delete(ctx, next.key, next.version)
	if errors.Is(err, objectstore.ErrUnavailable) {
		c.doomed = nil // the next cleaning finds them again
		return
	}
	if err == nil {
		k.opts.Metrics.Counter("records.deleted").Inc(1)
	}
}
