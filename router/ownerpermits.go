package router

import (
	"context"
	"strconv"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/admission"
	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// HandleRequest grants or refuses a permit. The request waits in the endpoint's queue
// for at most r.WaitMs; it is never queued if that is 0.
func (o *admissionOwner) HandleRequest(ctx context.Context, from string, r api.PermitRequest) api.PermitReply {
	if o.isolated() {
		return refusedReply(api.RefusalIsolated)
	}
	now := o.now()
	request := admission.Request{
		ID:        strconv.FormatUint(o.requestID.Add(1), 36),
		Router:    from,
		Workspace: r.Workspace,
		Priority:  r.Priority,
		ChatKey:   r.ChatKey,

		PoolInflight: r.PoolInflight,
	}
	var waiter chan admission.Outcome
	if r.WaitMs > 0 {
		request.Deadline = now.Add(time.Duration(r.WaitMs) * time.Millisecond)
		waiter = make(chan admission.Outcome, 1)
		o.waiters.Store(request.ID, waiter)
	}
	var outcome admission.Outcome
	var queued bool
	decide := func(g *admission.Gate) {
		outcome, queued = g.Request(now, request)
		if !outcome.Granted() {
			outcome.Grant.Inflight = g.Inflight()
		}
	}
	if !o.gates.Do(r.Endpoint, decide) {
		o.waiters.Delete(request.ID)
		return refusedReply(api.RefusalNotOwner)
	}
	if !queued {
		o.waiters.Delete(request.ID)
		return replyOf(outcome)
	}
	return o.await(ctx, r.Endpoint, request.ID, waiter)
}

// await waits for the outcome of a queued request. If ctx ends first, the request is
// cancelled, and a permit that is granted nevertheless is released.
func (o *admissionOwner) await(ctx context.Context, endpoint, id string, waiter chan admission.Outcome) api.PermitReply {
	select {
	case outcome := <-waiter:
		return replyOf(outcome)
	case <-ctx.Done():
	}
	cancelled := false
	o.gates.Do(endpoint, func(g *admission.Gate) { cancelled = g.Cancel(o.now(), id) })
	if cancelled {
		o.waiters.Delete(id)
		return refusedReply(api.RefusalDeadlineExceeded)
	}
	// The request has left the queue, so its outcome will arrive.
	if outcome := <-waiter; outcome.Granted() {
		o.HandleRelease(api.PermitRelease{Endpoint: endpoint, Permits: []uint64{outcome.Grant.PermitID}})
	}
	return refusedReply(api.RefusalDeadlineExceeded)
}

func refusedReply(reason api.Refusal) api.PermitReply {
	return api.PermitReply{Refusal: &reason}
}

func replyOf(outcome admission.Outcome) api.PermitReply {
	if !outcome.Granted() {
		reply := api.PermitReply{Redirect: outcome.Redirect}
		if outcome.Redirect == "" {
			reply.Refusal = &outcome.Refusal
		}
		reply.Inflight = outcome.Grant.Inflight
		return reply
	}
	return api.PermitReply{
		Permit:    outcome.Grant.PermitID,
		StartByMs: int(outcome.Grant.StartBy / time.Millisecond),
		Term:      outcome.Grant.Term,
		Inflight:  outcome.Grant.Inflight,
	}
}

// HandleRelease releases permits and passes the result of their requests to the gate
// and the state machine of the endpoint.
func (o *admissionOwner) HandleRelease(r api.PermitRelease) {
	info := admission.ReleaseInfo{
		FirstTokenTime: time.Duration(r.FirstTokenMs) * time.Millisecond,
		Failed:         r.Failed,
		MovedChat:      r.MovedChat,
		MovedTo:        r.MovedTo,
	}
	permits := r.Permits
	if len(permits) == 0 {
		permits = []uint64{0} // no permit: the message only reports a moved chat
	}
	now := o.now()
	if len(r.Permits) > 0 {
		o.recordResult(now, r)
	}
	for _, id := range permits {
		o.withGate(r.Endpoint, func(g *admission.Gate) []admission.Outcome { return g.Release(now, id, info) })
	}
}

// recordResult passes the success or failure of a request to the endpoint's state
// machine.
func (o *admissionOwner) recordResult(now time.Time, r api.PermitRelease) {
	o.mu.Lock()
	owned := o.owned[r.Endpoint]
	o.mu.Unlock()
	if owned == nil {
		return
	}
	owned.mu.Lock()
	defer owned.mu.Unlock()
	if !r.Failed {
		owned.machine.RequestSucceeded()
		return
	}
	from := owned.machine.State()
	owned.machine.RequestFailed(now)
	o.applyState(owned, from)
	// The failure may mean that the endpoint restarts. It may be back with a cold cache
	// before the next poll is due, so it is polled at once.
	select {
	case owned.pollNow <- struct{}{}:
	default:
	}
}

// HandleRenew extends the hold time of permits and returns those that this owner does
// not know.
func (o *admissionOwner) HandleRenew(from string, r api.PermitRenew) api.PermitRenew {
	var reply api.PermitRenew
	now := o.now()
	for _, entry := range r.Endpoints {
		var unknown []uint64
		o.gates.Do(entry.Endpoint, func(g *admission.Gate) { unknown = g.Renew(now, from, entry.Permits) })
		if len(unknown) > 0 {
			reply.Endpoints = append(reply.Endpoints, api.EndpointPermits{Endpoint: entry.Endpoint, Permits: unknown})
		}
	}
	return reply
}

// HandleAdopt counts permits that a router holds and that another owner, or this one
// before a restart, granted.
func (o *admissionOwner) HandleAdopt(from string, r api.PermitAdopt) {
	now := o.now()
	o.gates.Do(r.Endpoint, func(g *admission.Gate) { g.Adopt(now, from, r.Held) })
}

// deliver passes outcomes to the queued requests that wait for them.
func (o *admissionOwner) deliver(outcomes []admission.Outcome) {
	for _, outcome := range outcomes {
		if waiter, ok := o.waiters.LoadAndDelete(outcome.RequestID); ok {
			waiter.(chan admission.Outcome) <- outcome
		}
	}
}
