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
	// cleanKey is the key of the object by which one router at a time is elected to
	// delete expired days. The key lies outside keyPrefix, under which only records are
	// stored.
	cleanKey = "records-retention"
	// cleanInterval is the time between two cleanups by any router of the fleet.
	cleanInterval = time.Hour
	// deletesPerSecond allows 18,000 deletions an hour. An ordinary day of 350
	// routers has at most about 70,000 objects.
	deletesPerSecond = 5
	// maxExpiredObjects bounds the memory for the list of objects to delete; the
	// next cleanup finds the rest.
	maxExpiredObjects = 15_000
)

// cleaner deletes the objects of days older than the retention.
type cleaner struct {
	next    time.Time       // time of the next attempt to claim a cleanup
	days    []string        // days still to be listed
	expired []expiredObject // objects still to be deleted
	deletes *rate.Limiter
}

// expiredObject is an object to delete if it still has the listed version.
type expiredObject struct {
	key     string
	version uint64
}

func (c *cleaner) init(next time.Time) {
	c.next = next
	c.deletes = rate.NewLimiter(deletesPerSecond, 1)
}

// clean deletes one object, lists one day or claims the next cleanup, but only
// one of these per call, so that a slow object API does not delay writes for long.
func (r *Recorder) clean(ctx context.Context, now time.Time) {
	c := &r.cleaner
	if len(c.expired) > 0 {
		if c.deletes.AllowN(now, 1) {
			r.deleteNext(ctx)
		}
		return
	}
	if len(c.days) > 0 {
		r.listExpired(ctx)
		return
	}
	if now.Before(c.next) {
		return
	}
	c.next = now.Add(cleanInterval + r.randomBelow(cleanInterval/4))
	claimed, err := r.claimCleaning(ctx, now)
	if err != nil {
		r.opts.Logger.Debug("claim of the records cleanup failed", zap.Error(err))
	}
	if claimed {
		c.days = ExpiredDays(now, r.opts.Retention)
	}
}

// claimCleaning reports whether this router has claimed the cleanup of the current
// interval. Two routers that clean up at once do no harm, because deletions are
// conditional on the version.
func (r *Recorder) claimCleaning(ctx context.Context, now time.Time) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := r.opts.Store.Get(ctx, cleanKey)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return false, err
	}
	var last api.LeaseRecord
	if err == nil {
		// An object that cannot be decoded is replaced like an outdated one.
		_ = cbor.Unmarshal(object.Value, &last)
	}
	if age := now.UnixMilli() - int64(last.Renewal); age >= 0 && age < cleanInterval.Milliseconds() {
		return false, nil
	}
	value, err := cbor.Marshal(api.LeaseRecord{Holder: r.opts.Router, Term: last.Term + 1, Renewal: uint64(now.UnixMilli())})
	if err != nil {
		return false, err
	}
	_, err = r.opts.Store.Put(ctx, cleanKey, value, object.Version)
	if errors.Is(err, objectstore.ErrConflict) {
		return false, nil
	}
	return err == nil, err
}

func (r *Recorder) listExpired(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := &r.cleaner
	day := c.days[0]
	c.days = c.days[1:]
	err := listAll(ctx, r.opts.Store, dayPrefix(day), map[string]bool{}, func(object objectstore.Object) {
		if len(c.expired) < maxExpiredObjects {
			c.expired = append(c.expired, expiredObject{key: object.Key, version: object.Version})
		}
	})
	if err != nil {
		c.days = nil // the next cleanup lists all days again
	}
}

func (r *Recorder) deleteNext(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c := &r.cleaner
	next := c.expired[0]
	c.expired = c.expired[1:]
	err := r.opts.Store.Delete(ctx, next.key, next.version)
	if errors.Is(err, objectstore.ErrUnavailable) {
		c.expired = nil // the next cleanup lists them again
		return
	}
	if err == nil {
		r.opts.Metrics.Counter("records.deleted").Inc(1)
	}
}
