// Package httpcheck rejects HTTP/1.1 responses that net/http accepts although they are malformed.
package httpcheck

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that bytes which net/http has taken for a response are not one.
var ErrMalformed = errors.New("httpcheck: malformed response")

// Response checks a response that net/http has read, informational ones included. Its error wraps
// ErrMalformed.
func Response(response *http.Response) error {
	// net/http takes any number that has three characters for a status, such as 000, 099 or +20.
	if response.StatusCode < http.StatusContinue {
		return fmt.Errorf("%w: status %q", ErrMalformed, response.Status)
	}
	// net/http takes a name with spaces for that of another field, and so passes over the length of a
	// body if a space follows the name.
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q", ErrMalformed, name)
		}
	}
	return nil
}

// Transport sends requests through Base and returns an error that wraps ErrMalformed for a response
// that is malformed, or that switches protocols though the request did not ask for it.
type Transport struct {
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	err = Response(response)
	if err == nil && response.StatusCode == http.StatusSwitchingProtocols && request.Header.Get("Upgrade") == "" {
		err = fmt.Errorf("%w: status 101 without a request to upgrade", ErrMalformed)
	}
	if err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of Base.
func (t Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// connectionErrors are the errors of reading a body that come from its connection or its request.
var connectionErrors = []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, context.Canceled}

// MalformedBody reports whether an error of reading a body means that its framing is malformed, rather
// than that the connection failed or the read was ended. net/http may return such an error together with
// bytes that belong to another place of the body.
func MalformedBody(err error) bool {
	if err == nil {
		return false
	}
	for _, other := range connectionErrors {
		if errors.Is(err, other) {
			return false
		}
	}
	var netErr net.Error
	return !errors.As(err, &netErr)
}
