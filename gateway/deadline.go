package gateway

import (
	"net/http"
	"time"
)

// expired reports whether the request's deadline has passed. An endpoint could then not even be
// dialed, and the failure would look like one of the endpoint.
func (x *exchange) expired() bool { return !time.Now().Before(x.deadline) }

// sent reports whether an endpoint may have received a byte of the request.
func (x *exchange) sent() bool { return x.sends+x.misdirected > 0 }

// notRunStatus returns the status of a refusal that says that the request has not run. Status 408 also
// says that it was never sent, so that it is only for requests of which no endpoint has a byte.
func (x *exchange) notRunStatus(expired bool) int {
	if expired && !x.sent() {
		return http.StatusRequestTimeout
	}
	return http.StatusServiceUnavailable
}
