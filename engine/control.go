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
	"sync/atomic"

	"golang.org/x/time/rate"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// ReportReader reads what an endpoint reports about itself. The error of a failed call
// is an *Error, of kind ErrStatus for a status other than 200.
type ReportReader interface {
	// ReadLoad returns the endpoint's load report.
	ReadLoad(ctx context.Context, endpointURL string) (api.LoadReport, error)
	// CacheEvents returns the cache events that the endpoint has published after the
	// given sequence number.
	CacheEvents(ctx context.Context, endpointURL string, after uint64) ([]api.CacheEvent, error)
}

// OrderSender sends orders.
type OrderSender interface {
	// Order sends an order. If the endpoint refuses it because it has received an order
	// with a higher fencing number, the error is nil and the result has Accepted false.
	// Any status other than 200 and 409 gives an *Error of kind ErrStatus.
	Order(ctx context.Context, endpointURL string, order api.Order) (api.OrderResult, error)
}

// CacheMover copies KV caches between endpoints. The prefix is the hex chat key. The
// error of a failed call is an *Error.
type CacheMover interface {
	// ExportKV starts reading the KV cache of a chat from an endpoint. The caller must
	// close the export. If the endpoint has no cache of the chat, the error has the kind
	// ErrStatus and the status 404.
	ExportKV(ctx context.Context, endpointURL, prefix string) (*KVExport, error)
	// ImportKV sends an exported KV cache to an endpoint, at no more bytes per second
	// than the limiter allows; a nil limiter means no limit. Several imports may share a
	// limiter. An export can be imported only once. The caller must close it afterwards. It
	// is imported only if the endpoint answers with a whole response after all of it was sent.
	ImportKV(ctx context.Context, endpointURL, prefix string, kv *KVExport, limiter *rate.Limiter) error
}

// ReadLoad implements ReportReader.
func (c *Client) ReadLoad(ctx context.Context, endpointURL string) (api.LoadReport, error) {
	var report api.LoadReport
	err := c.getJSON(ctx, endpointURL+"/load", &report)
	return report, err
}

// CacheEvents implements ReportReader.
func (c *Client) CacheEvents(ctx context.Context, endpointURL string, after uint64) ([]api.CacheEvent, error) {
	var events api.CacheEvents
	err := c.getJSON(ctx, endpointURL+"/cache/events?after="+strconv.FormatUint(after, 10), &events)
	return events.Events, err
}

func (c *Client) getJSON(ctx context.Context, target string, value any) error {
	response, err := c.Do(ctx, Call{
		Method: http.MethodGet, URL: target, Repeatable: true,
		// With an empty User-Agent net/http does not send its default one. Endpoints
		// need none, and polls are a large part of the control traffic.
		Header: http.Header{"User-Agent": {""}},
	})
	if err != nil {
		return err
	}
	return decodeJSON(response, value, http.StatusOK)
}

// decodeJSON parses the body of a response that has one of the accepted statuses. Any
// other status gives an *Error of kind ErrStatus.
func decodeJSON(response Response, value any, acceptedStatuses ...int) error {
	for _, status := range acceptedStatuses {
		if response.Status != status {
			continue
		}
		if err := json.Unmarshal(response.Body, value); err != nil {
			return fmt.Errorf("decoding the endpoint's response: %w", err)
		}
		return nil
	}
	return &Error{Kind: ErrStatus, Status: response.Status, Header: response.Header, Body: response.Body, Sent: true}
}

// Order implements OrderSender.
func (c *Client) Order(ctx context.Context, endpointURL string, order api.Order) (api.OrderResult, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return api.OrderResult{}, fmt.Errorf("encoding order: %w", err)
	}
	response, err := c.Do(ctx, Call{
		Method: http.MethodPost,
		URL:    endpointURL + "/orders",
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   body,
	})
	if err != nil {
		return api.OrderResult{}, err
	}
	var result api.OrderResult
	err = decodeJSON(response, &result, http.StatusOK, http.StatusConflict)
	if err == nil && response.Status == http.StatusConflict {
		result.Accepted = false
	}
	return result, err
}

// KVExport is an open export of one chat's KV cache, which is read from the endpoint that
// holds it.
type KVExport struct {
	// Size is the size of the cache in bytes.
	Size int64
	body io.ReadCloser
}

// Close ends the export. It may be called before the cache has been read completely.
func (k *KVExport) Close() { k.body.Close() }

// ExportKV implements CacheMover.
func (c *Client) ExportKV(ctx context.Context, endpointURL, prefix string) (*KVExport, error) {
	a, err := newAttempt(ctx, http.MethodGet, kvURL(endpointURL, prefix), nil, true)
	if err != nil {
		return nil, &Error{Kind: ErrNotStarted, Cause: err}
	}
	response, err := c.send(a)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, statusError(response, ErrStatus, maxErrorBodyBytes)
	}
	// The importing endpoint needs the length to detect a truncated export.
	if response.ContentLength < 0 {
		response.Body.Close()
		return nil, &Error{Kind: ErrIncomplete, Cause: errNoLength, Sent: true}
	}
	return &KVExport{Size: response.ContentLength, body: response.Body}, nil
}

// ImportKV implements CacheMover.
func (c *Client) ImportKV(ctx context.Context, endpointURL, prefix string, kv *KVExport, limiter *rate.Limiter) error {
	// The transport may still read the body after it has returned an error. The
	// cancellation then ends a read that waits for the limiter.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a, err := newAttempt(ctx, http.MethodPut, kvURL(endpointURL, prefix), nil, false)
	if err != nil {
		return &Error{Kind: ErrNotStarted, Cause: err}
	}
	counted := &countingReader{source: kv.body}
	source := io.Reader(counted)
	if limiter != nil {
		source = &rateLimitedReader{ctx: ctx, source: source, limiter: limiter}
	}
	a.request.Body = io.NopCloser(source)
	a.request.ContentLength = kv.Size
	response, err := c.send(a)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return statusError(response, ErrStatus, maxErrorBodyBytes)
	}
	defer response.Body.Close()
	if _, err := readResponse(ctx, response, a.request.Method, maxErrorBodyBytes); err != nil {
		return err
	}
	if counted.count.Load() < kv.Size {
		return &Error{Kind: ErrIncomplete, Cause: errEarlyResponse, Sent: true}
	}
	return nil
}

// errEarlyResponse is the cause of ErrIncomplete for an import that the endpoint answered before the
// cache had been sent.
var errEarlyResponse = errors.New("response before the end of the request")

// countingReader counts the bytes that are read. The transport reads the body of a request on another
// goroutine, also after the response has arrived.
type countingReader struct {
	source io.Reader
	count  atomic.Int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.count.Add(int64(n))
	return n, err
}

func kvURL(endpointURL, prefix string) string {
	return endpointURL + "/kv/" + url.PathEscape(prefix)
}

// errNoBurst is returned for a limiter with a burst of 0, which never allows a byte.
var errNoBurst = errors.New("rate limiter has no burst")

// rateLimitedReader limits the rate at which bytes are read. Each call of Read reads at
// most as many bytes as the limiter's burst, and then waits until the limiter allows as
// many bytes as were read.
type rateLimitedReader struct {
	ctx     context.Context
	source  io.Reader
	limiter *rate.Limiter
}

func (r *rateLimitedReader) Read(p []byte) (int, error) {
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
