// Package objectstore defines Store and KindReader, the interfaces through which other
// packages use the platform's object store. It also provides an in-memory Store,
// and a Client that retries calls that had no effect and fails fast during
// outages.
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

// instancesPrefix is the key prefix of the platform's instance list.
const instancesPrefix = "instances/"

// ClientConfig holds the settings of a Client.
type ClientConfig struct {
	// Timeout bounds each attempt. An attempt of a watch may take longer, by the wait
	// that its caller passes.
	Timeout time.Duration
	// MaxAttempts bounds the attempts of one call, the first one included. Only
	// attempts that had no effect are retried.
	MaxAttempts int
	// BaseDelay and MaxDelay bound the exponential backoff between attempts.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// RetryRatio and RetryFloorPerSecond set the retry budget: retries per first attempt,
	// and retries per second that are always allowed.
	RetryRatio          float64
	RetryFloorPerSecond float64
	// MaxInFlight bounds concurrent calls, not counting watches. Calls beyond it
	// fail at once with ErrUnavailable.
	MaxInFlight int
	// FailuresToOutage is the number of consecutive failures that start an outage.
	FailuresToOutage int
	// ProbeInterval is the delay before the first probe of an outage. It doubles
	// after each failed probe, up to MaxProbeInterval.
	ProbeInterval    time.Duration
	MaxProbeInterval time.Duration
}

// DefaultClientConfig returns the settings that routers use.
func DefaultClientConfig() ClientConfig {
	return ClientConfig{
		Timeout:             time.Second,
		MaxAttempts:         3,
		BaseDelay:           20 * time.Millisecond,
		MaxDelay:            time.Second,
		RetryRatio:          0.1,
		RetryFloorPerSecond: 3,
		MaxInFlight:         256,
		FailuresToOutage:    5,
		ProbeInterval:       100 * time.Millisecond,
		MaxProbeInterval:    2 * time.Second,
	}
}

// Client is a Store that adds timeouts, retries and outage detection to another
// Store. A write is retried only if the earlier attempt provably had no effect.
type Client struct {
	cfg      ClientConfig
	backend  Store
	metrics  *telemetry.Metrics
	budget   budget
	outage   outageDetector
	inFlight atomic.Int64
}

var _ Store = (*Client)(nil)

// NewClient returns a client for the backend.
func NewClient(cfg ClientConfig, backend Store, metrics *telemetry.Metrics) *Client {
	c := &Client{cfg: cfg, backend: backend, metrics: metrics}
	c.budget.init(cfg.RetryRatio, cfg.RetryFloorPerSecond)
	c.outage.init(cfg.FailuresToOutage, cfg.ProbeInterval, cfg.MaxProbeInterval, time.Now())
	return c
}

// Healthy returns false from the detection of an outage until the store has recovered.
func (c *Client) Healthy() bool { return c.outage.healthy() }

// SinceSuccess returns the time since the last call that the store answered, or
// since the client was created if there was none.
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

// Instances reads the platform's instance list, which lags behind the actual
// state. Entries that cannot be decoded are counted in
// platform.errors.instance and left out. Errors: ErrUnavailable, ErrTooLarge.
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
	op   string // name of the operation, as in the counter platform.calls.<op>
	run  func(ctx context.Context) error
	wait time.Duration // how long a watch waits for a change; 0 for all other calls
}

// callFailure is the result of a failed attempt.
type callFailure struct {
	err            error
	kind           string // kind of the error, as in the counter platform.errors.<kind>
	retryable      bool   // the attempt had no effect, and another may succeed
	suggestsOutage bool   // the failure counts towards an outage
}

// do runs a call with retries.
func (c *Client) do(ctx context.Context, request call) error {
	if request.wait == 0 {
		defer c.inFlight.Add(-1)
		if c.inFlight.Add(1) > int64(c.cfg.MaxInFlight) {
			return c.reject("too_many_calls")
		}
	}
	c.budget.recordFirstAttempt(time.Now())
	for attempt := 1; ; attempt++ {
		if err := c.admit(ctx); err != nil {
			return err
		}
		failed := c.try(ctx, request)
		c.recordResult(ctx, failed)
		if failed == nil {
			return nil
		}
		c.metrics.Counter("platform.errors." + failed.kind).Inc(1)
		if !failed.retryable || attempt >= c.cfg.MaxAttempts || !c.budget.takeRetry(time.Now()) || !c.pauseBeforeRetry(ctx, attempt) {
			return failed.err
		}
		c.metrics.CountRetry(api.RetryReasonPlatformUnavailable)
	}
}

func (c *Client) reject(kind string) error {
	c.metrics.Counter("platform.errors." + kind).Inc(1)
	return fmt.Errorf("%w: %s", ErrUnavailable, kind)
}

// admit fails calls at once during an outage. When a probe is due, one call at a
// time sends a read as the probe, and continues if the store answers the read. A write
// is thus never used to test for recovery.
func (c *Client) admit(ctx context.Context) error {
	pass, probe := c.outage.admit(time.Now())
	if pass {
		return nil
	}
	if !probe {
		return c.reject("outage")
	}
	failed := c.try(ctx, call{op: "probe", run: func(ctx context.Context) error {
		_, err := c.backend.List(ctx, instancesPrefix)
		return err
	}})
	c.outage.recordProbe(failed == nil || !failed.suggestsOutage, time.Now())
	if failed != nil && failed.suggestsOutage {
		return c.reject("outage")
	}
	return nil
}

// recordResult passes the result of an attempt to the outage detector. Calls that
// their caller cancelled are left out, because they show nothing about the store.
func (c *Client) recordResult(ctx context.Context, failed *callFailure) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	c.outage.recordResult(failed == nil || !failed.suggestsOutage, time.Now())
}

// pauseBeforeRetry waits before the next attempt, with jitter so that routers do
// not retry in step. It returns false if ctx ended first.
func (c *Client) pauseBeforeRetry(ctx context.Context, attempt int) bool {
	maxPause := min(c.cfg.BaseDelay<<min(attempt, 16), c.cfg.MaxDelay)
	return timing.Pause(ctx, maxPause/2+rand.N(maxPause/2+1))
}

// try makes one attempt of a call. It returns nil on success.
func (c *Client) try(ctx context.Context, request call) *callFailure {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout+request.wait)
	defer cancel()
	c.metrics.Counter("platform.calls." + request.op).Inc(1)
	return classify(request.run(ctx))
}

// classify decides whether an error may be retried and whether it counts towards
// an outage.
func classify(err error) *callFailure {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrNotFound):
		return &callFailure{err: err, kind: "not_found"}
	case errors.Is(err, ErrConflict):
		return &callFailure{err: err, kind: "conflict"}
	case errors.Is(err, ErrTooLarge):
		return &callFailure{err: err, kind: "too_large"}
	case errors.Is(err, ErrAmbiguous):
		return &callFailure{err: err, kind: "ambiguous", suggestsOutage: true}
	case errors.Is(err, ErrRateLimited):
		return &callFailure{err: err, kind: "rate_limited", retryable: true}
	case errors.Is(err, ErrRefused):
		return &callFailure{err: err, kind: "refused"}
	}
	return &callFailure{err: err, kind: "unavailable", retryable: true, suggestsOutage: true}
}
