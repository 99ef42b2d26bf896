package gateway

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/roster"
	"github.com/hornbeamproxy/hornbeamproxy/routing"
)

// FailedRequest is a request whose caller got no complete response although an
// endpoint may have run it.
type FailedRequest struct {
	ID, Method, Target        string
	Route, Service, Workspace string
	Reason                    api.Refusal
}

// Reporter receives the failures that are recorded for operators. Its methods do not
// block and are safe for concurrent use.
type Reporter interface {
	// OutcomeUnknown is called for a failed request on an unsafe route: it may or may
	// not have had its effect.
	OutcomeUnknown(r FailedRequest)
	// ResponseBroken is called for a failed request on a safe or stream route, which has
	// no side effects.
	ResponseBroken(r FailedRequest)
	// EndpointUnreachable is called, possibly repeatedly, for an endpoint that cannot be
	// reached, and EndpointRecovered for one that is reachable again or has been removed.
	EndpointUnreachable(entry roster.Entry)
	EndpointRecovered(id string)
	// EndpointPaused is called when an endpoint of the service has asked this router for a pause.
	EndpointPaused(service string, d time.Duration)
	// PromptQuarantined is called when requests with a part of a prompt (its id in hex) are
	// refused from now until the given time, since they crash endpoints.
	PromptQuarantined(part string, until time.Time)
}

// unreachableAfterFailures is the number of consecutive failures after which an endpoint is
// reported as unreachable. The third failure comes about 2 s after the first: the endpoint
// is ejected for 0.5 s and then for 1 s, and each ejection is followed by an attempt to
// connect.
const unreachableAfterFailures = 3

// report reports a request that may have run and got no complete response.
func (x *exchange) report(reason api.Refusal) {
	failed := FailedRequest{
		ID: x.request.ID, Method: x.request.Method, Target: x.request.Target,
		Route: x.route.Name, Service: x.service, Reason: reason,
	}
	if x.workspace != nil {
		failed.Workspace = x.workspace.Name
	}
	if x.route.Kind == routing.Unsafe {
		x.g.config.Reporter.OutcomeUnknown(failed)
		return
	}
	x.g.config.Reporter.ResponseBroken(failed)
}
