package router

import (
	"context"
	"strconv"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/admission"
	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// HandleRequest decides on a permit, waiting in the queue for as long as the
// request allows.
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
		o.waiting.Store(request.ID, waiter)
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
		o.waiting.Delete(request.ID)
		return refusedReply(api.RefusalNotOwner)
	}
	if !queued {
		o.waiting.Delete(request.ID)
		return replyOf(outcome)
	}
	return o.await(ctx, r.Endpoint, request.ID, waiter)
}

func (o *admissionOwner) await(ctx context.Context, endpoint, id string, waiter chan admission.Outcome) api.PermitReply {
	select {
	case outcome := <-waiter:
		return replyOf(outcome)
	case <-ctx.Done():
	}
	cancelled := false
	o.gates.Do(endpoint, func(g *admission.Gate) { cancelled = g.Cancel(o.now(), id) })
	if cancelled {
		o.waiting.Delete(id)
		return refusedReply(api.RefusalDeadlineExceeded)
	}
	// The request has left the queue, so its outcome is on its way here.
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

// HandleRelease takes returned permits and what was learnt from their work.
func (o *admissionOwner) HandleRelease(r api.PermitRelease) {
	info := admission.ReleaseInfo{
		FirstToken: time.Duration(r.FirstTokenMs) * time.Millisecond,
		Failed:     r.Failed,
		MovedChat:  r.MovedChat,
		MovedTo:    r.MovedTo,
	}
	permits := r.Permits
	if len(permits) == 0 {
		permits = []uint64{0} // only records a moved chat
	}
	now := o.now()
	if len(r.Permits) > 0 {
		o.noteResult(now, r)
	}
	for _, id := range permits {
		o.withGate(r.Endpoint, func(g *admission.Gate) []admission.Outcome { return g.Release(now, id, info) })
	}
}

// noteResult tells the state machine of the endpoint how a request ended.
func (o *admissionOwner) noteResult(now time.Time, r api.PermitRelease) {
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
	// An endpoint that restarts cuts its requests, and is cold before the next
	// poll is due.
	select {
	case owned.poll <- struct{}{}:
	default:
	}
}

// HandleRenew extends permits and returns those that are not known here.
func (o *admissionOwner) HandleRenew(from string, r api.PermitRenew) api.PermitRenew {
	var reply api.PermitRenew
	now := o.now()
	for _, at := range r.Endpoints {
		var unknown []uint64
		o.gates.Do(at.Endpoint, func(g *admission.Gate) { unknown = g.Renew(now, from, at.Permits) })
		if len(unknown) > 0 {
			reply.Endpoints = append(reply.Endpoints, api.EndpointPermits{Endpoint: at.Endpoint, Permits: unknown})
		}
	}
	return reply
}

// HandleAdopt counts permits of a former owner.
func (o *admissionOwner) HandleAdopt(from string, r api.PermitAdopt) {
	now := o.now()
	o.gates.Do(r.Endpoint, func(g *admission.Gate) { g.Adopt(now, from, r.Held) })
}

// deliver passes outcomes to the waiting requests.
func (o *admissionOwner) deliver(outcomes []admission.Outcome) {
	for _, outcome := range outcomes {
		if waiter, ok := o.waiting.LoadAndDelete(outcome.RequestID); ok {
			waiter.(chan admission.Outcome) <- outcome
		}
	}
}
