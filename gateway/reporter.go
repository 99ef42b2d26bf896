package gateway

import (
	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/roster"
	"github.com/hornbeamproxy/hornbeamproxy/routing"
)

// FailedRequest is a request whose caller has no whole answer although an endpoint
// may have run it.
type FailedRequest struct {
	ID, Method, Target        string
	Route, Service, Workspace string
	Reason                    api.Refusal
}

// Reporter takes the failures that operators read about afterwards. Its methods do
// not block and are safe for concurrent use.
type Reporter interface {
	// OutcomeUnknown is told of a request that may have had an effect.
	OutcomeUnknown(r FailedRequest)
	// AnswerBroken is told of a request without effects.
	AnswerBroken(r FailedRequest)
	// EndpointLost is told, at times repeatedly, of an endpoint that cannot be
	// reached, and EndpointBack of one that is reached again or gone.
	EndpointLost(entry roster.Entry)
	EndpointBack(id string)
}

// lostAfter is the number of failures in a row after which an endpoint counts as
// lost: about 3.5 s after the first.
const lostAfter = 3

// report tells the reporter that the request may have run and has no whole answer.
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
	x.g.config.Reporter.AnswerBroken(failed)
}
