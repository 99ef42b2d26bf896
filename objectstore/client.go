// Package objectstore is the product's view of the platform's store: the Store
// interface, an in-memory store, and a Client that repeats what had no effect and
// notices outages. The Store interface is all that the rest of the product knows
// of the platform's store.
package objectstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
	"github.com/hornbeamproxy/hornbeamproxy/timing"
)

// instancesPrefix is where the platform lists its instances.
const instancesPrefix = "instances/"

// ClientConfig holds the settings of a Client.
type ClientConfig struct {
	// Timeout bounds each call, without the wait of a watch.
	Timeout time.Duration
	// MaxAttempts bounds the tries of one call that had no effect.
	MaxAttempts int
	BaseDelay   time.Duration
	MaxDelay    time.Duration
	// RetryRatio and RetryFloor give the retry budget: retries per first attempt,
	// and retries per second that are always allowed.
	RetryRatio float64
	RetryFloor float64
	// MaxInFlight bounds concurrent calls, without watches. More calls fail at once.
	MaxInFlight int
	// FailAfter is the number of consecutive failures that start an outage.
	FailAfter int
	// ProbeInterval is the first delay between two probes in an outage; it
	// doubles up to MaxProbeInterval.
	ProbeInterval    time.Duration
	MaxProbeInterval time.Duration
}

// DefaultClientConfig returns the usual settings.
func DefaultClientConfig() ClientConfig {
	return ClientConfig{
		Timeout:          time.Second,
		MaxAttempts:      3,
		BaseDelay:        20 * time.Millisecond,
		MaxDelay:         time.Second,
		RetryRatio:       0.1,
		RetryFloor:       3,
		MaxInFlight:      256,
		FailAfter:        5,
		ProbeInterval:    100 * time.Millisecond,
		MaxProbeInterval: 2 * time.Second,
	}
}

// Client is a Store that makes its calls at another one. A write is repeated
// only if the earlier try provably had no effect.
type Client struct {
	cfg     ClientConfig
	backend Store
	metrics *telemetry.Metrics
	budget  budget
	outage  outage
	busy    atomic.Int64
}

var _ Store = (*Client)(nil)

// NewClient returns a client that makes its calls at the backend.
func NewClient(cfg ClientConfig, backend Store, metrics *telemetry.Metrics) *Client {
	c := &Client{cfg: cfg, backend: backend, metrics: metrics}
	c.budget.init(cfg.RetryRatio, cfg.RetryFloor)
	c.outage.init(cfg.FailAfter, cfg.ProbeInterval, cfg.MaxProbeInterval, time.Now())
	return c
}

// Healthy reports whether no outage is known.
func (c *Client) Healthy() bool { return c.outage.healthy() }

// SinceSuccess returns the time since the last answered call, or since the
// client was made.
func (c *Client) SinceSuccess() time.Duration { return time.Since(c.outage.lastSuccess()) }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var object Object
	err := c.do(ctx, call{op: "get", run: func(ctx context.Context) (err error) {
		object, err = c.backend.Get(ctx, key)
		return err
	}})
	return object, err
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	var version uint64
	err := c.do(ctx, call{op: "put", run: func(ctx context.Context) (err error) {
		version, err = c.backend.Put(ctx, key, value, ifVersion)
		return err
	}})
	return version, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64) error {
	return c.do(ctx, call{op: "delete", run: func(ctx context.Context) error {
		return c.backend.Delete(ctx, key, ifVersion)
	}})
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	var objects []Object
	err := c.do(ctx, call{op: "list", run: func(ctx context.Context) (err error) {
		objects, err = c.backend.List(ctx, prefix)
		return err
	}})
	return objects, err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]Object, uint64, error) {
	var objects []Object
	version := since
	err := c.do(ctx, call{op: "watch", wait: wait, run: func(ctx context.Context) (err error) {
		objects, version, err = c.backend.Watch(ctx, prefix, since, wait)
		return err
	}})
	if err != nil {
		return nil, since, err
	}
	return objects, version, nil
}

// Instances reads the platform's instance list, which lags. An entry that cannot
// be read names no instance.
func (c *Client) Instances(ctx context.Context) (api.InstanceList, error) {
	var objects []Object
	err := c.do(ctx, call{op: "instances", run: func(ctx context.Context) (err error) {
		objects, err = c.backend.List(ctx, instancesPrefix)
		return err
	}})
	list := api.InstanceList{Instances: make([]api.Instance, 0, len(objects))}
	for _, object := range objects {
		instance := api.Instance{ID: strings.TrimPrefix(object.Key, instancesPrefix)}
		if json.Unmarshal(object.Value, &instance) != nil {
			c.metrics.Counter("platform.errors.instance").Inc(1)
			continue
		}
		list.Instances = append(list.Instances, instance)
	}
	return list, err
}

// call is one call to the backend.
type call struct {
	op   string
	run  func(ctx context.Context) error
	wait time.Duration
}

// failure is an unsuccessful try.
type failure struct {
	err   error
	kind  string // of the counter platform.errors.<kind>
	retry bool   // the try had no effect, and another may succeed
	down  bool   // evidence of an outage
}

// do makes a call with retries.
func (c *Client) do(ctx context.Context, request call) error {
	if request.wait == 0 {
		defer c.busy.Add(-1)
		if c.busy.Add(1) > int64(c.cfg.MaxInFlight) {
			return c.rejected("too_many_calls")
		}
	}
	c.budget.first(time.Now())
	for attempt := 1; ; attempt++ {
		if err := c.admit(ctx); err != nil {
			return err
		}
		failed := c.try(ctx, request)
		c.observe(ctx, failed)
		if failed == nil {
			return nil
		}
		c.metrics.Counter("platform.errors." + failed.kind).Inc(1)
		if !failed.retry || attempt >= c.cfg.MaxAttempts || !c.budget.take(time.Now()) || !c.pause(ctx, attempt) {
			return failed.err
		}
		c.metrics.Retried(api.RetryReasonPlatformUnavailable)
	}
}

func (c *Client) rejected(kind string) error {
	c.metrics.Counter("platform.errors." + kind).Inc(1)
	return fmt.Errorf("%w: %s", ErrUnavailable, kind)
}

// admit fails calls at once during an outage. One call at a time first probes
// with a read, so that a write is never used to test for recovery.
func (c *Client) admit(ctx context.Context) error {
	pass, probe := c.outage.admit(time.Now())
	if pass {
		return nil
	}
	if !probe {
		return c.rejected("outage")
	}
	failed := c.try(ctx, call{op: "probe", run: func(ctx context.Context) error {
		_, err := c.backend.List(ctx, instancesPrefix)
		return err
	}})
	c.outage.probed(failed == nil || !failed.down, time.Now())
	if failed != nil && failed.down {
		return c.rejected("outage")
	}
	return nil
}

// observe passes the result of a call to the outage detection. A call that its
// caller cancelled says nothing about the platform.
func (c *Client) observe(ctx context.Context, failed *failure) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	c.outage.observe(failed == nil || !failed.down, time.Now())
}

// pause waits before the next try, with jitter so that routers do not retry
// together.
func (c *Client) pause(ctx context.Context, attempt int) bool {
	longest := min(c.cfg.BaseDelay<<min(attempt, 16), c.cfg.MaxDelay)
	return timing.Pause(ctx, longest/2+rand.N(longest/2+1))
}

// try makes a call once.
func (c *Client) try(ctx context.Context, request call) *failure {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout+request.wait)
	defer cancel()
	c.metrics.Counter("platform.calls." + request.op).Inc(1)
	return classify(request.run(ctx))
}

// classify tells what an error means for the next try.
func classify(err error) *failure {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrNotFound):
		return &failure{err: err, kind: "not_found"}
	case errors.Is(err, ErrConflict):
		return &failure{err: err, kind: "conflict"}
	case errors.Is(err, ErrTooLarge):
		return &failure{err: err, kind: "too_large"}
	case errors.Is(err, ErrAmbiguous):
		return &failure{err: err, kind: "ambiguous", down: true}
	case errors.Is(err, ErrRateLimited):
		return &failure{err: err, kind: "rate_limited", retry: true}
	case errors.Is(err, ErrRefused):
		return &failure{err: err, kind: "refused"}
	}
	return &failure{err: err, kind: "unavailable", retry: true, down: true}
}
