package engine

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/httpcheck"
)

// Names of headers that endpoints and routers exchange.
const (
	// HeaderRequestID holds the id of a request; the response repeats it.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority holds the priority of a request, from 0 to 9; higher is served
	// first.
	HeaderPriority = "X-Priority"
	// HeaderChatKey holds the hex chat key of a completion request.
	HeaderChatKey = "X-Chat-Key"
	// HeaderNotRun is true in a 503 response to a request that the endpoint did not run.
	HeaderNotRun = "X-Not-Run"
	// HeaderResumeAfter holds the id of the last event that the caller has received
	// from another endpoint, after which this endpoint continues the completion.
	HeaderResumeAfter = "X-Resume-After"
)

// Options are the limits of a Client. Zero fields take the defaults.
type Options struct {
	// DialTimeout bounds connecting to an endpoint. Default 1s.
	DialTimeout time.Duration
	// TLS is used for https URLs; nil means the system's roots.
	TLS *tls.Config
	// IdleConnTimeout is the time after which unused connections are closed. It
	// should be shorter than the endpoints' own idle timeout, because a request sent
	// while the endpoint closes the connection has an unknown outcome. Default 30s.
	IdleConnTimeout time.Duration
	// MaxIdlePerEndpoint bounds the idle connections per endpoint. Default 16.
	MaxIdlePerEndpoint int
	// MaxIdle bounds the idle connections to all endpoints. Default 512.
	MaxIdle int
	// MaxEventBytes bounds one event of a stream. Default 1 MiB.
	MaxEventBytes int
	// MaxBodyBytes bounds one whole response body. Default 8 MiB.
	MaxBodyBytes int64
}

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, time.Second)
	setDefault(&o.IdleConnTimeout, 30*time.Second)
	setDefault(&o.MaxIdlePerEndpoint, 16)
	setDefault(&o.MaxIdle, 512)
	setDefault(&o.MaxEventBytes, 1<<20)
	setDefault(&o.MaxBodyBytes, 8<<20)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Client calls endpoints over one shared transport. It is safe for concurrent use
// and implements Streamer, Requester, ReportReader, OrderSender and CacheMover.
type Client struct {
	options   Options
	transport httpcheck.Transport
}

var (
	_ Streamer     = (*Client)(nil)
	_ Requester    = (*Client)(nil)
	_ ReportReader = (*Client)(nil)
	_ OrderSender  = (*Client)(nil)
	_ CacheMover   = (*Client)(nil)
)

// New returns a client. The caller must close it.
func New(options Options) *Client {
	options = options.withDefaults()
	dialer := &net.Dialer{Timeout: options.DialTimeout, KeepAlive: 15 * time.Second}
	return &Client{
		options: options,
		transport: httpcheck.Transport{Base: &http.Transport{
			// Endpoints are configured by address, so the proxies in environment
			// variables such as HTTP_PROXY must not apply.
			Proxy:           nil,
			DialContext:     dialer.DialContext,
			TLSClientConfig: options.TLS,
			// A custom dialer without ForceAttemptHTTP2 keeps the transport at
			// HTTP/1.1. The HTTP/2 transport repeats requests by rules of its own,
			// which newRequest doesn't cover.
			ForceAttemptHTTP2:      false,
			MaxIdleConns:           options.MaxIdle,
			MaxIdleConnsPerHost:    options.MaxIdlePerEndpoint,
			IdleConnTimeout:        options.IdleConnTimeout,
			TLSHandshakeTimeout:    options.DialTimeout,
			MaxResponseHeaderBytes: 32 << 10,
			// Transparent decompression would hide the length of the body.
			DisableCompression: true,
		}},
	}
}

// Close closes the idle connections. Calls in progress are not affected.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// onceBody is a request body that the transport can't send a second time.
//
// http.Transport replays a request on a new connection when a reused connection
// fails before the response. It does so for GET, HEAD, OPTIONS and TRACE and for
// requests with an Idempotency-Key header, if the body is empty or GetBody is set.
// A body of this type is neither nil nor http.NoBody, and newRequest leaves GetBody
// unset, which prevents any replay. As a side effect the empty body of a POST is
// sent as an empty chunked body.
type onceBody struct{ bytes.Reader }

func (*onceBody) Close() error { return nil }

// attempt is one request together with the information whether any byte of it may have
// been sent.
type attempt struct {
	request *http.Request
	// connected is set when the transport has assigned a connection to the request.
	// From then on bytes may have been sent. The trace hook WroteHeaders would be too
	// late: it is called once all headers are in the transport's buffer, and part of
	// that buffer may have been flushed to the connection before.
	connected atomic.Bool
}

func newAttempt(ctx context.Context, method, url string, body []byte, repeatable bool) (*attempt, error) {
	a := &attempt{}
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) },
	}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), method, url, body, repeatable)
	a.request = request
	return a, err
}

func newRequest(ctx context.Context, method, url string, body []byte, repeatable bool) (*http.Request, error) {
	if repeatable {
		return http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	}
	once := &onceBody{}
	once.Reset(body)
	request, err := http.NewRequestWithContext(ctx, method, url, once)
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.ContentLength = int64(len(body))
	return request, nil
}

// send performs the request without following redirects, because a redirect could run the
// request twice. A malformed response is an error of kind ErrIncomplete. If the request has
// a request id, a response that does not repeat that id is an error of kind
// ErrWrongRequestID. A 503 with X-Not-Run: true is an error of kind ErrNotStarted.
func (c *Client) send(a *attempt) (*http.Response, error) {
	ctx := a.request.Context()
	response, err := c.transport.RoundTrip(a.request)
	if err != nil {
		return nil, callError(ctx, a.connected.Load(), err)
	}
	id := a.request.Header.Get(HeaderRequestID)
	if id != "" && response.Header.Get(HeaderRequestID) != id {
		response.Body.Close()
		return nil, &Error{Kind: ErrWrongRequestID, Sent: true}
	}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(HeaderNotRun) == "true" {
		return nil, statusError(response, ErrNotStarted, maxErrorBodyBytes)
	}
	return response, nil
}

// statusError returns an error with the response's status, its header and its body, and closes the
// body. If the body is not whole or larger than limit bytes, the error has none, and says why in its
// cause.
func statusError(response *http.Response, kind error, limit int64) *Error {
	defer response.Body.Close()
	failure := &Error{Kind: kind, Status: response.StatusCode, Header: response.Header, Sent: true}
	failure.Body, failure.Cause = readBody(response, limit)
	return failure
}

func setPriority(header http.Header, priority int) {
	header.Set(HeaderPriority, strconv.Itoa(priority))
}
