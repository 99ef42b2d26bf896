package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

// EffectHeader with the value none in a 5xx answer says that the call had no
// effect.
const EffectHeader = "Hornbeam-Effect"

// maxDrainBytes bounds how much of an error body is read to reuse a connection.
const maxDrainBytes = 4 << 10

// ClientConfig holds the settings of a Client.
type ClientConfig struct {
	BaseURL string
	Token   string
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
	// MaxListBytes bounds the body of a list, a watch or the instance list.
	MaxListBytes int64
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
func DefaultClientConfig(baseURL, token string) ClientConfig {
	return ClientConfig{
		BaseURL:          baseURL,
		Token:            token,
		Timeout:          time.Second,
		MaxAttempts:      3,
		BaseDelay:        20 * time.Millisecond,
		MaxDelay:         time.Second,
		RetryRatio:       0.1,
		RetryFloor:       3,
		MaxListBytes:     8 << 20,
		MaxInFlight:      256,
		FailAfter:        5,
		ProbeInterval:    100 * time.Millisecond,
		MaxProbeInterval: 2 * time.Second,
	}
}

// Client is a Store over the platform's HTTP interface. A write is repeated
// only if the earlier try provably had no effect.
type Client struct {
	cfg     ClientConfig
	http    *http.Client
	metrics *telemetry.Metrics
	budget  budget
	outage  outage
	busy    atomic.Int64
}

var _ Store = (*Client)(nil)

// NewClient returns a client that sends its calls through transport.
func NewClient(cfg ClientConfig, transport http.RoundTripper, metrics *telemetry.Metrics) *Client {
	c := &Client{cfg: cfg, metrics: metrics}
	c.cfg.BaseURL = strings.TrimSuffix(cfg.BaseURL, "/")
	c.http = &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	c.budget.init(cfg.RetryRatio, cfg.RetryFloor, time.Now())
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
	reply, err := c.do(ctx, call{op: "get", method: http.MethodGet, path: objectPath(key), limit: MaxValueBytes})
	if err != nil {
		return Object{}, err
	}
	version, err := versionOf(reply.header)
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, Version: version, Value: reply.body}, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	reply, err := c.do(ctx, call{
		op: "put", method: http.MethodPut, path: objectPath(key), body: value,
		write: true, ifVersion: ifVersion, limit: maxDrainBytes,
	})
	if err != nil {
		return 0, err
	}
	version, err := versionOf(reply.header)
	if err != nil {
		return 0, fmt.Errorf("%w: answer without version", ErrAmbiguous)
	}
	return version, nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64) error {
	_, err := c.do(ctx, call{
		op: "delete", method: http.MethodDelete, path: objectPath(key),
		write: true, ifVersion: ifVersion, limit: maxDrainBytes,
	})
	return err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	path := "/v1/objects?" + url.Values{"prefix": {prefix}}.Encode()
	objects, _, err := c.objects(ctx, call{op: "list", method: http.MethodGet, path: path})
	return objects, err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]Object, uint64, error) {
	query := url.Values{
		"prefix":  {prefix},
		"since":   {strconv.FormatUint(since, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	path := "/v1/watch?" + query.Encode()
	objects, version, err := c.objects(ctx, call{op: "watch", method: http.MethodGet, path: path, wait: wait})
	if err != nil {
		return nil, since, err
	}
	return objects, version, nil
}

// Instances reads the platform's instance list, which lags.
func (c *Client) Instances(ctx context.Context) (api.InstanceList, error) {
	var list api.InstanceList
	err := c.json(ctx, call{op: "instances", method: http.MethodGet, path: "/v1/instances"}, &list)
	return list, err
}

func (c *Client) objects(ctx context.Context, request call) ([]Object, uint64, error) {
	var list api.ObjectList
	if err := c.json(ctx, request, &list); err != nil {
		return nil, 0, err
	}
	objects := make([]Object, 0, len(list.Objects))
	for _, o := range list.Objects {
		objects = append(objects, Object{Key: o.Key, Version: o.Version, Value: o.Value, Deleted: o.Deleted})
	}
	return objects, list.Version, nil
}

func (c *Client) json(ctx context.Context, request call, into any) error {
	request.limit = c.cfg.MaxListBytes
	reply, err := c.do(ctx, request)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(reply.body, into); err != nil {
		return fmt.Errorf("%w: answer to %s: %w", ErrUnavailable, request.op, err)
	}
	return nil
}

func objectPath(key string) string { return "/v1/objects/" + url.PathEscape(key) }

func versionOf(header http.Header) (uint64, error) {
	version, err := strconv.ParseUint(strings.Trim(header.Get("ETag"), `"`), 10, 64)
	if err != nil || version == 0 {
		return 0, fmt.Errorf("%w: answer without version", ErrUnavailable)
	}
	return version, nil
}

// call is one request to the platform.
type call struct {
	op        string
	method    string
	path      string
	body      []byte
	write     bool
	ifVersion uint64
	limit     int64 // largest body of the answer in bytes
	wait      time.Duration
}

type answer struct {
	header http.Header
	body   []byte
}

// failure is an unsuccessful try.
type failure struct {
	err   error
	kind  string // of the counter platform.errors.<kind>
	retry bool   // the try had no effect, and another may succeed
	down  bool   // evidence of an outage
}

// do makes a call with retries.
func (c *Client) do(ctx context.Context, request call) (answer, error) {
	if request.wait == 0 {
		defer c.busy.Add(-1)
		if c.busy.Add(1) > int64(c.cfg.MaxInFlight) {
			return answer{}, c.rejected("too_many_calls")
		}
	}
	c.budget.first(time.Now())
	for attempt := 1; ; attempt++ {
		if err := c.admit(ctx); err != nil {
			return answer{}, err
		}
		reply, failed := c.try(ctx, request)
		c.observe(ctx, failed)
		if failed == nil {
			return reply, nil
		}
		c.metrics.Counter("platform.errors." + failed.kind).Inc(1)
		if !failed.retry || attempt >= c.cfg.MaxAttempts || !c.budget.take(time.Now()) || !c.pause(ctx, attempt) {
			return answer{}, failed.err
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
	_, failed := c.try(ctx, call{op: "probe", method: http.MethodGet, path: "/v1/instances", limit: c.cfg.MaxListBytes})
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
	timer := time.NewTimer(longest/2 + rand.N(longest/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// try sends a call once.
func (c *Client) try(ctx context.Context, request call) (answer, *failure) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout+request.wait)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := c.request(ctx, request)
	if err != nil {
		return answer{}, &failure{err: fmt.Errorf("%w: %w", ErrUnavailable, err), kind: "bad_request"}
	}
	c.metrics.Counter("platform.calls." + request.op).Inc(1)
	c.metrics.Counter("platform.bytes.sent").Inc(int64(len(request.body)))
	response, err := c.http.Do(req)
	if err != nil {
		return answer{}, lost(request, err, sent.Load())
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, request.limit+1))
	c.metrics.Counter("platform.bytes.received").Inc(int64(len(body)))
	// The status alone decides a write, even if the rest of its answer is cut.
	if failed := classify(request, response); failed != nil {
		return answer{}, failed
	}
	if err != nil && !request.write {
		return answer{}, lost(request, err, true)
	}
	if int64(len(body)) > request.limit && !request.write {
		return answer{}, &failure{err: ErrTooLarge, kind: "too_large"}
	}
	return answer{header: response.Header, body: body}, nil
}

func (c *Client) request(ctx context.Context, request call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, request.method, c.cfg.BaseURL+request.path, bytes.NewReader(request.body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	if !request.write {
		return req, nil
	}
	if request.ifVersion == 0 {
		req.Header.Set("If-None-Match", "*")
	} else {
		req.Header.Set("If-Match", `"`+strconv.FormatUint(request.ifVersion, 10)+`"`)
	}
	return req, nil
}

// lost returns the failure of a try without an answer. A write that never had a
// connection has not been sent.
func lost(request call, err error, sent bool) *failure {
	kind := "connection"
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		kind = "timeout"
	}
	if request.write && sent {
		return &failure{err: fmt.Errorf("%w: %w", ErrAmbiguous, err), kind: "ambiguous", down: true}
	}
	return &failure{err: fmt.Errorf("%w: %w", ErrUnavailable, err), kind: kind, retry: true, down: true}
}

// classify returns the failure that the status of an answer stands for.
func classify(request call, response *http.Response) *failure {
	status := response.StatusCode
	text := fmt.Sprintf("%s answered %d", request.op, status)
	noEffect := !request.write || response.Header.Get(EffectHeader) == "none"
	switch {
	case status >= 200 && status < 300:
		return nil
	case status == http.StatusNotFound:
		return &failure{err: ErrNotFound, kind: "not_found"}
	case status == http.StatusPreconditionFailed:
		return &failure{err: ErrConflict, kind: "conflict"}
	case status == http.StatusRequestEntityTooLarge:
		return &failure{err: ErrTooLarge, kind: "too_large"}
	case status == http.StatusTooManyRequests:
		return &failure{err: fmt.Errorf("%w: %s", ErrUnavailable, text), kind: "rate_limited", retry: true}
	case status >= 400 && status < 500:
		return &failure{err: fmt.Errorf("%w: %s", ErrUnavailable, text), kind: "refused"}
	case noEffect:
		return &failure{err: fmt.Errorf("%w: %s", ErrUnavailable, text), kind: "server", retry: true, down: true}
	default:
		return &failure{err: fmt.Errorf("%w: %s", ErrAmbiguous, text), kind: "ambiguous", down: true}
	}
}
