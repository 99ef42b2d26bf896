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

// conditionInterval is how often lasting conditions of this router are checked.
const conditionInterval = time.Second

// orderCheckEvery is the number of checks after which the orders' status, which
// is read from the object API, is looked at.
const orderCheckEvery = 15

// failures turns what the router notices into records for the morning report.
type failures struct {
	keeper *records.Keeper
	// responsible says whether this router records what every router sees.
	responsible func(name string) bool
}

func (r *Router) buildRecords(c Config) {
	r.keeper = records.NewKeeper(records.KeeperOptions{
		Store:       c.Store,
		Sender:      r.cluster,
		Peers:       r.recordPeers,
		Routers:     func() int { return len(r.cluster.Members()) },
		Router:      r.settings.Router.ID,
		Incarnation: uint64(time.Now().UnixMilli()),
		Metrics:     c.Metrics,
		Logger:      c.Logger,
	})
	r.failures = &failures{
		keeper:      r.keeper,
		responsible: func(name string) bool { return r.cluster.OwnerOf(name) == r.settings.Router.ID },
	}
}

// recordPeers names the peers that hold this router's unwritten records.
func (r *Router) recordPeers() []string {
	self := records.Peer{Router: r.settings.Router.ID, Zone: r.settings.Router.Zone}
	var live []records.Peer
	for _, member := range r.cluster.Members() {
		if member.ID != self.Router && !member.Suspect && !member.Leaving {
			live = append(live, records.Peer{Router: member.ID, Zone: member.Zone})
		}
	}
	return records.PickPeers(self, live)
}

// endpointChanged records failures of the endpoints that this router owns.
func (f *failures) endpointChanged(e *api.Endpoint, from, to endpointstate.State) {
	if to == endpointstate.Down {
		f.keeper.Open(api.RecordKindEndpointDown, e.ID, e.Zone,
			fmt.Sprintf("Endpoint %s on instance %s does not answer.", e.ID, e.Instance),
			"Its chats continue at other endpoints and compute their prompts again where the cache was lost.",
			"No new work is sent to it. Answers that it was streaming continue at other endpoints; one that could not has an entry of its own.",
			fmt.Sprintf("Check instance %s, or withdraw it by a release note.", e.Instance))
		return
	}
	if from == endpointstate.Down {
		f.keeper.End(api.RecordKindEndpointDown, e.ID)
	}
	switch {
	case to == endpointstate.Cold && from != endpointstate.Joining:
		f.keeper.Open(api.RecordKindEndpointCold, e.ID, e.Zone,
			fmt.Sprintf("Endpoint %s turned cold.", e.ID),
			"Some of its chats are served elsewhere until it is warm.",
			"It receives no more work than it states that it can bear.", "")
	case to != endpointstate.Cold && to != endpointstate.Warming:
		f.keeper.End(api.RecordKindEndpointCold, e.ID)
	}
}

// endpointDropped ends the records of an endpoint that another router watches
// from now on.
func (f *failures) endpointDropped(endpoint string) {
	f.keeper.End(api.RecordKindEndpointDown, endpoint)
	f.keeper.End(api.RecordKindEndpointCold, endpoint)
}

// routerLost records a router that went without leaving.
func (f *failures) routerLost(member membership.Member) {
	if !f.responsible("router/" + member.ID) {
		return
	}
	f.keeper.Event(api.RecordKindRouterLost, member.ID, member.Zone,
		fmt.Sprintf("Router %s is gone without leaving.", member.ID),
		"Callers connected to it had to connect again; keyed calls that it was running may have an unknown outcome.",
		"Its endpoints and claim shards are owned by other routers.", "")
}

func (f *failures) answerBroken(ch *chat, reason api.Refusal) {
	f.keeper.Event(api.RecordKindAnswerBroken, ch.pool.Name, "",
		fmt.Sprintf("An answer of pool %s was broken off: %s.", ch.pool.Name, reason),
		"The caller saw that its answer was not complete.",
		fmt.Sprintf("It was tried %d times.", ch.attempts), "")
}

func (f *failures) outcomeUnknown(call *serviceCall) {
	f.keeper.Event(api.RecordKindOutcomeUnknown, call.service+"/"+call.key, "",
		fmt.Sprintf("The call %s %s of service %s with key %q has an unknown outcome.", call.method, call.target, call.service, call.key),
		fmt.Sprintf("Workspace %s was told so.", call.workspace.ID),
		"The call is not repeated, and neither are later calls with this key.",
		"Look up at the service whether the call took effect, and tell the workspace.")
}

func (f *failures) noteApplied(view *fleet.View, title string) {
	if !f.responsible(fmt.Sprintf("note/%d", view.Revision())) {
		return
	}
	subject := fmt.Sprintf("revision %d", view.Revision())
	f.keeper.Event(api.RecordKindNoteAccepted, subject, "",
		fmt.Sprintf("Release note %q is in force as revision %d.", title, view.Revision()), "", "", "")
}

// watchConditions records outages of the object API and isolation of this
// router until the context ends.
func (r *Router) watchConditions(ctx context.Context) error {
	checks := 0
	return timing.Every(ctx, conditionInterval, func(time.Time) {
		r.failures.platform(r.storeHealthy())
		r.failures.isolation(r.isolated())
		checks++
		if checks%orderCheckEvery == 0 {
			r.recordFailedOrders(r.view().Revision())
		}
	})
}

func (r *Router) storeHealthy() bool {
	monitored, ok := r.store.(interface{ Healthy() bool })
	return !ok || monitored.Healthy()
}

func (f *failures) platform(healthy bool) {
	const subject = "object API"
	if healthy {
		f.keeper.End(api.RecordKindPlatformUnavailable, subject)
		return
	}
	f.keeper.OpenOnce(api.RecordKindPlatformUnavailable, subject, "",
		"The platform's object API does not answer.",
		"Chats and idempotent calls go on. Keyed calls that must not be repeated are refused as not run, and cold endpoints receive no work.",
		"Release notes spread between routers; records are kept at two peers.",
		"Restore the object API.")
}

func (f *failures) isolation(isolated bool) {
	const subject = "router"
	if !isolated {
		f.keeper.End(api.RecordKindIsolated, subject)
		return
	}
	f.keeper.OpenOnce(api.RecordKindIsolated, subject, "",
		"A router hears neither the object API nor any peer.",
		"Its callers are refused as not run until the balancer sends them elsewhere.",
		"It starts no work, because a release note may be in force that it has not heard of.",
		"Check the network of its instance.")
}
