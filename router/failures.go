package router

import (
	"context"
	"fmt"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/endpointstate"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
	"github.com/hornbeamproxy/hornbeamproxy/membership"
	"github.com/hornbeamproxy/hornbeamproxy/records"
	"github.com/hornbeamproxy/hornbeamproxy/timing"
)

// conditionCheckInterval is the time between two checks of the conditions that last
// for some time: outages of the object API, isolation and failed orders.
const conditionCheckInterval = time.Second

// orderCheckEvery makes one condition check in 15 include the orders. The orders are
// checked less often, because their status has to be read from the object API.
const orderCheckEvery = 15

// failureRecorder writes records of the failures that the router detects, for the
// morning report.
type failureRecorder struct {
	records *records.Recorder
	// responsible reports whether this router is the one that records an event
	// that all routers detect.
	responsible func(name string) bool
}

func (r *Router) buildRecords(c Config) {
	r.records = records.NewRecorder(records.RecorderOptions{
		Store:       c.Store,
		Sender:      r.network,
		Peers:       r.recordPeers,
		RouterCount: func() int { return len(r.network.Members()) },
		Router:      r.settings.Router.ID,
		Incarnation: uint64(time.Now().UnixMilli()),
		Metrics:     c.Metrics,
		Logger:      c.Logger,
	})
	r.failures = &failureRecorder{
		records:     r.records,
		responsible: func(name string) bool { return r.network.OwnerOf(name) == r.settings.Router.ID },
	}
}

// recordPeers returns the ids of the peers that keep copies of this router's records
// until they are written.
func (r *Router) recordPeers() []string {
	self := records.Peer{Router: r.settings.Router.ID, Zone: r.settings.Router.Zone}
	var live []records.Peer
	for _, member := range r.network.Members() {
		if member.ID != self.Router && !member.Suspect && !member.Leaving {
			live = append(live, records.Peer{Router: member.ID, Zone: member.Zone})
		}
	}
	return records.PickPeers(self, live)
}

// endpointChanged opens and closes the records of an endpoint that this router owns
// when the endpoint's state changes.
func (f *failureRecorder) endpointChanged(e *api.Endpoint, from, to endpointstate.State) {
	if to == endpointstate.Down {
		f.records.Open(api.RecordKindEndpointDown, e.ID, e.Zone,
			fmt.Sprintf("Endpoint %s on instance %s does not answer.", e.ID, e.Instance),
			"Its chats continue at other endpoints and compute their prompts again where the cache was lost.",
			"No new work is sent to it. Answers that it was streaming continue at other endpoints; one that could not has an entry of its own.",
			fmt.Sprintf("Check instance %s, or withdraw it by a release note.", e.Instance))
		return
	}
	if from == endpointstate.Down {
		f.records.CloseIfOpen(api.RecordKindEndpointDown, e.ID)
	}
	switch {
	case to == endpointstate.Cold && from != endpointstate.Joining:
		f.records.Open(api.RecordKindEndpointCold, e.ID, e.Zone,
			fmt.Sprintf("Endpoint %s turned cold.", e.ID),
			"Some of its chats are served elsewhere until it is warm.",
			"It receives no more work than it states that it can bear.", "")
	case to != endpointstate.Cold && to != endpointstate.Warming:
		f.records.CloseIfOpen(api.RecordKindEndpointCold, e.ID)
	}
}

// endpointReleased closes the records of an endpoint that this router no longer owns.
func (f *failureRecorder) endpointReleased(endpoint string) {
	f.records.CloseIfOpen(api.RecordKindEndpointDown, endpoint)
	f.records.CloseIfOpen(api.RecordKindEndpointCold, endpoint)
}

// routerLost records that a router disappeared without deregistering.
func (f *failureRecorder) routerLost(member membership.Member) {
	if !f.responsible("router/" + member.ID) {
		return
	}
	f.records.RecordEvent(api.RecordKindRouterLost, member.ID, member.Zone,
		fmt.Sprintf("Router %s is gone without leaving.", member.ID),
		"Callers connected to it had to connect again; keyed calls that it was running may have an unknown outcome.",
		"Its endpoints and claim shards are owned by other routers.", "")
}

// answerAborted records a stream that ended before the answer was complete.
func (f *failureRecorder) answerAborted(ch *chat, reason api.Refusal) {
	f.records.RecordEvent(api.RecordKindAnswerBroken, ch.pool.Name, "",
		fmt.Sprintf("An answer of pool %s was broken off: %s.", ch.pool.Name, reason),
		"The caller saw that its answer was not complete.",
		fmt.Sprintf("It was tried %d times.", ch.attempts), "")
}

// outcomeUnknown records a call with an idempotency key that may or may not have run.
func (f *failureRecorder) outcomeUnknown(call *serviceCall) {
	f.records.RecordEvent(api.RecordKindOutcomeUnknown, call.service+"/"+call.idempotencyKey, "",
		fmt.Sprintf("The call %s %s of service %s with key %q has an unknown outcome.", call.method, call.target, call.service, call.idempotencyKey),
		fmt.Sprintf("Workspace %s was told so.", call.workspace.ID),
		"The call is not repeated, and neither are later calls with this key.",
		"Look up at the service whether the call took effect, and tell the workspace.")
}

// noteApplied records that a release note is in force.
func (f *failureRecorder) noteApplied(view *fleet.View, title string) {
	if !f.responsible(fmt.Sprintf("note/%d", view.Revision())) {
		return
	}
	subject := fmt.Sprintf("revision %d", view.Revision())
	f.records.RecordEvent(api.RecordKindNoteAccepted, subject, "",
		fmt.Sprintf("Release note %q is in force as revision %d.", title, view.Revision()), "", "", "")
}

// watchConditions records outages of the object API, isolation of this router and
// failed orders until ctx ends.
func (r *Router) watchConditions(ctx context.Context) error {
	checks := 0
	return timing.Every(ctx, conditionCheckInterval, func(time.Time) {
		r.failures.recordPlatformHealth(r.storeHealthy())
		r.failures.recordIsolation(r.isolated())
		checks++
		if checks%orderCheckEvery == 0 {
			r.recordFailedOrders(r.view().Revision())
		}
	})
}

// storeHealthy reports whether the object API is available. A store that does not
// monitor its health counts as healthy.
func (r *Router) storeHealthy() bool {
	monitored, ok := r.store.(interface{ Healthy() bool })
	return !ok || monitored.Healthy()
}

func (f *failureRecorder) recordPlatformHealth(healthy bool) {
	const subject = "object API"
	if healthy {
		f.records.CloseIfOpen(api.RecordKindPlatformUnavailable, subject)
		return
	}
	f.records.OpenOnce(api.RecordKindPlatformUnavailable, subject, "",
		"The platform's object API does not answer.",
		"Chats and idempotent calls go on. Keyed calls that must not be repeated are refused as not run, and cold endpoints receive no work.",
		"Release notes spread between routers; records are kept at two peers.",
		"Restore the object API.")
}

func (f *failureRecorder) recordIsolation(isolated bool) {
	const subject = "router"
	if !isolated {
		f.records.CloseIfOpen(api.RecordKindIsolated, subject)
		return
	}
	f.records.OpenOnce(api.RecordKindIsolated, subject, "",
		"A router hears neither the object API nor any peer.",
		"Its callers are refused as not run until the balancer sends them elsewhere.",
		"It starts no work, because a release note may be in force that it has not heard of.",
		"Check the network of its instance.")
}
