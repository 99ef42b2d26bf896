package router

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/admission"
	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/timing"
)

// Network sends messages to other routers and determines owners.
type Network interface {
	// Self returns this router's id.
	Self() string
	// OwnerOf returns the id of the router that owns the name, or "" if no
	// router is eligible as an owner.
	OwnerOf(name string) string
	// Call sends a request to a router and waits for its reply.
	Call(ctx context.Context, router string, msg api.PeerMessage) (api.PeerMessage, error)
	// Send sends a one-way message. A nil error does not mean that it arrived.
	Send(router string, msg api.PeerMessage) error
}

// endpointOwnershipKey is the name by which an endpoint's admission owner is
// determined.
func endpointOwnershipKey(endpoint string) string { return "endpoint/" + endpoint }

// permitHandler handles permit messages for the endpoints that this router owns.
type permitHandler interface {
	HandleRequest(ctx context.Context, from string, r api.PermitRequest) api.PermitReply
	HandleRelease(r api.PermitRelease)
	HandleRenew(from string, r api.PermitRenew) api.PermitRenew
	HandleAdopt(from string, r api.PermitAdopt)
}

// permit is a permit that this router holds.
type permit struct {
	id        uint64
	endpoint  string
	workspace string
	// startBy is the time after which the permit must not be used to start work.
	startBy time.Time
	// inflight is the owner's estimate of the requests in flight at the endpoint when
	// the permit was granted.
	inflight int

	mu    sync.Mutex
	owner string
	// renewedAt is the time of the last renewal. If it is zero, the permit is renewed in
	// the next round, which is at most firstRenewAfter away.
	renewedAt time.Time
}

// startReserve is the part of the time up to startBy that is reserved for connecting
// to the endpoint. The engine client's dial time-out is no longer than this.
const startReserve = 500 * time.Millisecond

// startable reports whether a request that is sent now reaches the endpoint before
// startBy.
func (p *permit) startable(now time.Time) bool {
	return now.Before(p.startBy.Add(-startReserve))
}

func (p *permit) ownerID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owner
}

// denial holds the reason why no permit was granted.
type denial struct {
	reason api.Refusal
	// redirect is the id of the endpoint that holds the chat's cache; empty unless the
	// owner redirects the chat.
	redirect string
	// inflight is the owner's estimate of the requests in flight at the endpoint at the
	// time of the reply.
	inflight int
}

// permitClient acquires permits from admission owners, renews those in use and
// transfers them to new owners.
type permitClient struct {
	network Network
	local   permitHandler
	timeout time.Duration
	now     func() time.Time
	held    sync.Map // permit id -> *permit
}

// lateReplyWait bounds how long a permit reply is awaited after the request that needed
// the permit has timed out. A permit that arrives within this time is released at once
// instead of occupying the endpoint for its hold time. lateReplyWait also bounds the
// call that renews permits.
const lateReplyWait = 2 * time.Second

const (
	// firstRenewAfter is the time between two rounds of renewals, and so the longest
	// time until a permit's first renewal. An owner keeps a permit that was never renewed
	// for DefaultFirstHoldTime (15 s). A third of that lets a permit survive one lost renewal.
	// Most requests end earlier, so that their permits are never renewed.
	firstRenewAfter = admission.DefaultFirstHoldTime / 3
	// renewAfter is the time from one renewal of a permit to the next. It is a third of
	// the time for which an owner keeps a renewed permit (DefaultHoldTime, 1 min).
	renewAfter = admission.DefaultHoldTime / 3
)

// acquire requests a permit from the endpoint's owner, where the request may be
// queued for up to wait.
func (c *permitClient) acquire(ctx context.Context, r api.PermitRequest, wait time.Duration) (*permit, *denial) {
	sent := c.now()
	r.WaitMs = int(wait / time.Millisecond)
	owner := c.network.OwnerOf(endpointOwnershipKey(r.Endpoint))
	if owner == "" {
		return nil, &denial{reason: api.RefusalOwnerUnreachable}
	}
	var reply api.PermitReply
	if owner == c.network.Self() {
		reply = c.local.HandleRequest(ctx, owner, r)
	} else {
		var ok bool
		reply, ok = c.callOwner(ctx, owner, r, wait)
		if !ok {
			return nil, &denial{reason: api.RefusalOwnerUnreachable}
		}
	}
	return c.handleReply(owner, sent, r, reply)
}

// callOwner sends the request to a remote owner. It returns false if no reply arrived
// within wait plus the permit time-out. A permit in a later reply is released.
func (c *permitClient) callOwner(ctx context.Context, owner string, r api.PermitRequest, wait time.Duration) (api.PermitReply, bool) {
	replies := make(chan api.PermitReply, 1)
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), wait+c.timeout+lateReplyWait)
	go func() {
		defer cancel()
		defer close(replies)
		reply, err := c.network.Call(callCtx, owner, api.PeerMessage{PermitRequest: &r})
		if err == nil && reply.PermitReply != nil {
			replies <- *reply.PermitReply
		}
	}()
	timer := time.NewTimer(wait + c.timeout)
	defer timer.Stop()
	select {
	case reply, ok := <-replies:
		return reply, ok
	case <-timer.C:
	case <-ctx.Done():
	}
	go c.returnLatePermit(owner, r.Endpoint, replies)
	return api.PermitReply{}, false
}

func (c *permitClient) returnLatePermit(owner, endpoint string, replies <-chan api.PermitReply) {
	reply, ok := <-replies
	if ok && reply.Permit != 0 {
		c.sendRelease(owner, api.PermitRelease{Endpoint: endpoint, Permits: []uint64{reply.Permit}})
	}
}

func (c *permitClient) handleReply(owner string, sent time.Time, r api.PermitRequest, reply api.PermitReply) (*permit, *denial) {
	if reply.Permit == 0 {
		d := &denial{reason: api.RefusalOverloaded, redirect: reply.Redirect, inflight: reply.Inflight}
		if reply.Refusal != nil {
			d.reason = *reply.Refusal
		}
		return nil, d
	}
	p := &permit{
		id:        reply.Permit,
		endpoint:  r.Endpoint,
		workspace: r.Workspace,
		startBy:   sent.Add(time.Duration(reply.StartByMs) * time.Millisecond),
		inflight:  reply.Inflight,
		owner:     owner,
	}
	c.held.Store(p.id, p)
	if !p.startable(c.now()) {
		c.release(p, api.PermitRelease{})
		return nil, &denial{reason: api.RefusalPermitExpired, inflight: reply.Inflight}
	}
	return p, nil
}

// release returns a permit to its owner together with the result of the request, which
// the caller gives in info. The fields Endpoint and Permits of info are set here.
func (c *permitClient) release(p *permit, info api.PermitRelease) {
	c.held.Delete(p.id)
	info.Endpoint = p.endpoint
	info.Permits = []uint64{p.id}
	c.sendRelease(p.ownerID(), info)
}

// reportMovedChat reports to the owner of a chat's home endpoint which endpoint serves
// the chat now.
func (c *permitClient) reportMovedChat(home string, chatKey uint64, to string) {
	owner := c.network.OwnerOf(endpointOwnershipKey(home))
	c.sendRelease(owner, api.PermitRelease{Endpoint: home, Permits: []uint64{}, MovedChat: chatKey, MovedTo: to})
}

func (c *permitClient) sendRelease(owner string, info api.PermitRelease) {
	if owner == c.network.Self() {
		c.local.HandleRelease(info)
		return
	}
	// If the release is lost, the owner counts the permit until its hold time has
	// passed, and the endpoint can run one request less.
	_ = c.network.Send(owner, api.PeerMessage{PermitRelease: &info})
}

// ownerEndpoint is an endpoint and the router that owns it.
type ownerEndpoint struct {
	owner, endpoint string
}

// run renews the permits in use until the context ends.
func (c *permitClient) run(ctx context.Context) error {
	return timing.Every(ctx, firstRenewAfter, func(time.Time) { c.renewAll(ctx) })
}

func (c *permitClient) renewAll(ctx context.Context) {
	requests := map[string]*api.PermitRenew{}
	for group, permits := range c.groupByOwner() {
		permits = c.takeDueForRenewal(permits)
		if len(permits) == 0 {
			continue
		}
		request := requests[group.owner]
		if request == nil {
			request = &api.PermitRenew{}
			requests[group.owner] = request
		}
		request.Endpoints = append(request.Endpoints, api.EndpointPermits{Endpoint: group.endpoint, Permits: permitIDs(permits)})
	}
	for owner, request := range requests {
		c.renew(ctx, owner, *request)
	}
}

func permitIDs(permits []*permit) []uint64 {
	ids := make([]uint64, len(permits))
	for i, p := range permits {
		ids[i] = p.id
	}
	return ids
}

// takeDueForRenewal returns the permits whose renewal is due and marks them as renewed
// now.
func (c *permitClient) takeDueForRenewal(permits []*permit) []*permit {
	now := c.now()
	var due []*permit
	for _, p := range permits {
		p.mu.Lock()
		if p.renewedAt.IsZero() || now.Sub(p.renewedAt) >= renewAfter {
			p.renewedAt = now
			due = append(due, p)
		}
		p.mu.Unlock()
	}
	return due
}

func (c *permitClient) groupByOwner() map[ownerEndpoint][]*permit {
	groups := map[ownerEndpoint][]*permit{}
	c.held.Range(func(_, value any) bool {
		p := value.(*permit)
		group := ownerEndpoint{owner: p.ownerID(), endpoint: p.endpoint}
		groups[group] = append(groups[group], p)
		return true
	})
	return groups
}

// renew sends the renewals of one owner. Permits that the owner does not know, as
// after its restart, are sent to it again to be adopted. If no reply arrives, the
// permits stay due.
func (c *permitClient) renew(ctx context.Context, owner string, request api.PermitRenew) {
	var unknown api.PermitRenew
	if owner == c.network.Self() {
		unknown = c.local.HandleRenew(owner, request)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, lateReplyWait)
		defer cancel()
		reply, err := c.network.Call(callCtx, owner, api.PeerMessage{PermitRenew: &request})
		if err != nil || reply.PermitRenew == nil {
			c.markRenewalDue(request)
			return
		}
		unknown = *reply.PermitRenew
	}
	// The owner keeps an adopted permit only for DefaultFirstHoldTime (15 s) instead of
	// DefaultHoldTime (1 min), so it must be renewed in the next round.
	c.markRenewalDue(unknown)
	for _, entry := range unknown.Endpoints {
		c.sendAdoption(owner, entry.Endpoint, entry.Permits)
	}
}

// markRenewalDue makes the renewal of the permits due in the next round.
func (c *permitClient) markRenewalDue(request api.PermitRenew) {
	for _, entry := range request.Endpoints {
		for _, id := range entry.Permits {
			if value, ok := c.held.Load(id); ok {
				p := value.(*permit)
				p.mu.Lock()
				p.renewedAt = time.Time{}
				p.mu.Unlock()
			}
		}
	}
}

// ownersChanged transfers the permits of each endpoint that has a new owner to that
// owner.
func (c *permitClient) ownersChanged() {
	for group, permits := range c.groupByOwner() {
		owner := c.network.OwnerOf(endpointOwnershipKey(group.endpoint))
		if owner == group.owner || owner == "" {
			continue
		}
		for _, p := range permits {
			p.mu.Lock()
			p.owner = owner
			// The new owner keeps the permit only for DefaultFirstHoldTime (15 s) instead
			// of DefaultHoldTime (1 min), so it must be renewed in the next round.
			p.renewedAt = time.Time{}
			p.mu.Unlock()
		}
		c.sendAdoption(owner, group.endpoint, permitIDs(permits))
	}
}

// sendAdoption asks the owner to adopt, and so to count, those of the permits that are
// still in use.
func (c *permitClient) sendAdoption(owner, endpoint string, ids []uint64) {
	var held []api.HeldPermit
	for _, id := range ids {
		if value, ok := c.held.Load(id); ok {
			held = append(held, api.HeldPermit{Permit: id, Workspace: value.(*permit).workspace})
		}
	}
	if len(held) == 0 {
		return
	}
	adopt := api.PermitAdopt{Endpoint: endpoint, Held: held}
	if owner == c.network.Self() {
		c.local.HandleAdopt(owner, adopt)
		return
	}
	// The next renewal makes up for a lost message.
	_ = c.network.Send(owner, api.PeerMessage{PermitAdopt: &adopt})
	for _, h := range held {
		// A permit that is no longer in use was released meanwhile. The owner may have
		// handled that release before the adoption, when it did not know the permit, so
		// the release is sent again.
		if _, inUse := c.held.Load(h.Permit); !inUse {
			c.sendRelease(owner, api.PermitRelease{Endpoint: endpoint, Permits: []uint64{h.Permit}})
		}
	}
}
