package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"golang.org/x/time/rate"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// Reporter reads what an endpoint reports about itself.
type Reporter interface {
	// Load returns the endpoint's load report.
	Load(ctx context.Context, endpointURL string) (api.LoadReport, error)
	// CacheEvents returns the published events after a sequence number.
	CacheEvents(ctx context.Context, endpointURL string, after uint64) ([]api.CacheEvent, error)
}

// Orderer sends orders.
type Orderer interface {
	// Order sends an order. A refusal for an old fencing number is a result that is
	// not accepted, with a nil error.
	Order(ctx context.Context, endpointURL string, order api.Order) (api.OrderResult, error)
}

// Cacher moves KV cache between endpoints.
type Cacher interface {
	// ExportKV opens the KV cache of a chat. The caller closes it.
	ExportKV(ctx context.Context, endpointURL, prefix string) (*KV, error)
	// ImportKV sends a KV cache to an endpoint, at the limiter's bytes per
	// second; a nil limiter sets no limit. A limiter may be shared by many imports.
	ImportKV(ctx context.Context, endpointURL, prefix string, kv *KV, limiter *rate.Limiter) error
}

// Load implements Reporter.
func (c *Client) Load(ctx context.Context, endpointURL string) (api.LoadReport, error) {
	var report api.LoadReport
	err := c.getJSON(ctx, endpointURL+"/load", &report)
	return report, err
}

// CacheEvents implements Reporter.
func (c *Client) CacheEvents(ctx context.Context, endpointURL string, after uint64) ([]api.CacheEvent, error) {
	var events api.CacheEvents
	err := c.getJSON(ctx, endpointURL+"/cache/events?after="+strconv.FormatUint(after, 10), &events)
	return events.Events, err
}

func (c *Client) getJSON(ctx context.Context, target string, value any) error {
	answer, err := c.Do(ctx, Call{
		Method: http.MethodGet, URL: target, Repeatable: true,
		// An empty value keeps net/http from sending its own. Endpoints need none,
		// and polls are a large part of the control traffic.
		Header: http.Header{"User-Agent": {""}},
	})
	if err != nil {
		return err
	}
	return decode(answer, value, http.StatusOK)
}

func decode(answer Answer, value any, accepted ...int) error {
	for _, status := range accepted {
		if answer.Status != status {
			continue
		}
		if err := json.Unmarshal(answer.Body, value); err != nil {
			return fmt.Errorf("endpoint: response body: %w", err)
		}
		return nil
	}
	body := answer.Body[:min(len(answer.Body), maxErrorBody)]
	return &Error{Kind: ErrStatus, Status: answer.Status, Header: answer.Header, Body: body, Sent: true}
}

// Order implements Orderer.
func (c *Client) Order(ctx context.Context, endpointURL string, order api.Order) (api.OrderResult, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return api.OrderResult{}, fmt.Errorf("order: %w", err)
	}
	answer, err := c.Do(ctx, Call{
		Method: http.MethodPost,
		URL:    endpointURL + "/orders",
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   body,
	})
	if err != nil {
		return api.OrderResult{}, err
	}
	var result api.OrderResult
	err = decode(answer, &result, http.StatusOK, http.StatusConflict)
	if err == nil && answer.Status == http.StatusConflict {
		result.Accepted = false
	}
	return result, err
}

// KV is an open export of KV cache.
type KV struct {
	// Size is the length in bytes.
	Size int64
	body io.ReadCloser
}

// Close ends the export.
func (k *KV) Close() { k.body.Close() }

// ExportKV implements Cacher.
func (c *Client) ExportKV(ctx context.Context, endpointURL, prefix string) (*KV, error) {
	a, err := newAttempt(ctx, http.MethodGet, kvURL(endpointURL, prefix), nil, true)
	if err != nil {
		return nil, &Error{Kind: ErrNotStarted, Cause: err}
	}
	response, err := c.send(a)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, statusError(response, ErrStatus)
	}
	// The importing endpoint needs the length to notice a cut export.
	if response.ContentLength < 0 {
		response.Body.Close()
		return nil, &Error{Kind: ErrCut, Cause: errNoLength, Sent: true}
	}
	return &KV{Size: response.ContentLength, body: response.Body}, nil
}

// ImportKV implements Cacher.
func (c *Client) ImportKV(ctx context.Context, endpointURL, prefix string, kv *KV, limiter *rate.Limiter) error {
	// The transport may still read the body after it has returned an error; the
	// cancellation ends a wait for the limiter.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a, err := newAttempt(ctx, http.MethodPut, kvURL(endpointURL, prefix), nil, false)
	if err != nil {
		return &Error{Kind: ErrNotStarted, Cause: err}
	}
	source := io.Reader(kv.body)
	if limiter != nil {
		source = &limitedReader{ctx: ctx, source: source, limiter: limiter}
	}
	a.request.Body = io.NopCloser(source)
	a.request.ContentLength = kv.Size
	response, err := c.send(a)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return statusError(response, ErrStatus)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBody))
	response.Body.Close()
	return nil
}

func kvURL(endpointURL, prefix string) string {
	return endpointURL + "/kv/" + url.PathEscape(prefix)
}

// errNoBurst is the error of a limiter that can never pass a byte.
var errNoBurst = errors.New("rate limiter has no burst")

// limitedReader waits for the limiter after each read, in reads of at most its
// burst.
type limitedReader struct {
	ctx     context.Context
	source  io.Reader
	limiter *rate.Limiter
}

func (r *limitedReader) Read(p []byte) (int, error) {
	burst := r.limiter.Burst()
	if burst <= 0 {
		return 0, errNoBurst
	}
	n, err := r.source.Read(p[:min(len(p), burst)])
	if waitErr := r.limiter.WaitN(r.ctx, n); waitErr != nil {
		return n, waitErr
	}
	return n, err
}
