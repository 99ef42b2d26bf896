package router

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/admission"
	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/timing"
)

// Network is what the router needs of its peers.
type Network interface {
	// Self returns this router's id.
	Self() string
	// OwnerOf returns the id of the router that owns the name, or "" if no
	// router may own anything.
	OwnerOf(name string) string
	// Call sends a request to a router and waits for its reply.
	Call(ctx context.Context, router string, msg api.PeerMessage) (api.PeerMessage, error)
	// Send sends a one-way message.
	Send(router string, msg api.PeerMessage) error
}

// endpointOwnerName is the name under which an endpoint's admission owner is
// chosen.
func endpointOwnerName(endpoint string) string { return "endpoint/" + endpoint }

// permitAnswerer decides on permits of the endpoints that this router owns.
type permitAnswerer interface {
	HandleRequest(ctx context.Context, from string, r api.PermitRequest) api.PermitReply
	HandleRelease(r api.PermitRelease)
	HandleRenew(from string, r api.PermitRenew) api.PermitRenew
	HandleAdopt(from string, r api.PermitAdopt)
}

// permit is a grant that this router holds.
type permit struct {
	id        uint64
	endpoint  string
	workspace string
	// startBy is the time after which the permit must not be used to start work.
	startBy time.Time
	// inflight is the endpoint's load when the permit was granted.
	inflight int

	mu    sync.Mutex
	owner string
	// renewedAt is the time of the last renewal; zero before the first.
	renewedAt time.Time
}

// startReserve is the part of the start-by time that is left for connecting to
// the endpoint. The engine client's dial timeout is no longer than this.
const startReserve = 500 * time.Millisecond

// startable says whether work that is started now begins within the start-by
// time.
func (p *permit) startable(now time.Time) bool {
	return now.Before(p.startBy.Add(-startReserve))
}

func (p *permit) ownerID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owner
}

// denial says why no permit was granted.
type denial struct {
	reason api.Refusal
	// redirect names the endpoint that holds the chat's cache.
	redirect string
	inflight int
}

// permitClient asks admission owners for permits, renews those in use and hands
// them to new owners.
type permitClient struct {
	network Network
	local   permitAnswerer
	timeout time.Duration
	now     func() time.Time
	held    sync.Map // permit id -> *permit
}

// lateReplyWait bounds how long a permit reply is awaited after the request has
// moved on. A permit that arrives in this time is returned at once instead of
// blocking the endpoint for its hold time.
const lateReplyWait = 2 * time.Second

const (
	// firstRenewAfter is a third of the first hold time, so that one lost renewal
	// does not drop a permit. Most answers end earlier and are never renewed.
	firstRenewAfter = admission.DefaultFirstHold / 3
	// renewAfter is a third of the hold time after a renewal.
	renewAfter = admission.DefaultHold / 3
)

// acquire asks for a permit. The request may be queued for wait.
func (c *permitClient) acquire(ctx context.Context, r api.PermitRequest, wait time.Duration) (*permit, *denial) {
	sent := c.now()
	r.WaitMs = int(wait / time.Millisecond)
	owner := c.network.OwnerOf(endpointOwnerName(r.Endpoint))
	if owner == "" {
		return nil, &denial{reason: api.RefusalOwnerUnreachable}
	}
	var reply api.PermitReply
	if owner == c.network.Self() {
		reply = c.local.HandleRequest(ctx, owner, r)
	} else {
		var ok bool
		reply, ok = c.ask(ctx, owner, r, wait)
		if !ok {
			return nil, &denial{reason: api.RefusalOwnerUnreachable}
		}
	}
	return c.accept(owner, sent, r, reply)
}

// ask calls a remote owner. It gives up after the permit timeout beyond wait; a
// reply that arrives later is returned to the owner.
func (c *permitClient) ask(ctx context.Context, owner string, r api.PermitRequest, wait time.Duration) (api.PermitReply, bool) {
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
	go c.returnLate(owner, r.Endpoint, replies)
	return api.PermitReply{}, false
}

func (c *permitClient) returnLate(owner, endpoint string, replies <-chan api.PermitReply) {
	reply, ok := <-replies
	if ok && reply.Permit != 0 {
		c.sendRelease(owner, api.PermitRelease{Endpoint: endpoint, Permits: []uint64{reply.Permit}})
	}
}

func (c *permitClient) accept(owner string, sent time.Time, r api.PermitRequest, reply api.PermitReply) (*permit, *denial) {
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

// release returns a permit with what is known about the work; the endpoint and
// the permit are filled in.
func (c *permitClient) release(p *permit, info api.PermitRelease) {
	c.held.Delete(p.id)
	info.Endpoint = p.endpoint
	info.Permits = []uint64{p.id}
	c.sendRelease(p.ownerID(), info)
}

// recordMove tells the owner of a chat's home endpoint where the chat is now.
func (c *permitClient) recordMove(home string, chatKey uint64, to string) {
	owner := c.network.OwnerOf(endpointOwnerName(home))
	c.sendRelease(owner, api.PermitRelease{Endpoint: home, Permits: []uint64{}, MovedChat: chatKey, MovedTo: to})
}

func (c *permitClient) sendRelease(owner string, info api.PermitRelease) {
	if owner == c.network.Self() {
		c.local.HandleRelease(info)
		return
	}
	// A lost release costs the endpoint one slot until the hold time passes.
	_ = c.network.Send(owner, api.PeerMessage{PermitRelease: &info})
}

// ownedBy identifies the permits of one endpoint at one owner.
type ownedBy struct {
	owner, endpoint string
}

// run renews the permits in use until the context ends.
func (c *permitClient) run(ctx context.Context) error {
	return timing.Every(ctx, firstRenewAfter, func(time.Time) { c.renewAll(ctx) })
}

func (c *permitClient) renewAll(ctx context.Context) {
	requests := map[string]*api.PermitRenew{}
	for at, permits := range c.byOwner() {
		permits = c.renewable(permits)
		if len(permits) == 0 {
			continue
		}
		request := requests[at.owner]
		if request == nil {
			request = &api.PermitRenew{}
			requests[at.owner] = request
		}
		request.Endpoints = append(request.Endpoints, api.EndpointPermits{Endpoint: at.endpoint, Permits: permitIDs(permits)})
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

// renewable returns the permits whose renewal is due, and takes it as done.
func (c *permitClient) renewable(permits []*permit) []*permit {
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

func (c *permitClient) byOwner() map[ownedBy][]*permit {
	groups := map[ownedBy][]*permit{}
	c.held.Range(func(_, value any) bool {
		p := value.(*permit)
		at := ownedBy{owner: p.ownerID(), endpoint: p.endpoint}
		groups[at] = append(groups[at], p)
		return true
	})
	return groups
}

// renew extends the permits; those that the owner does not know are adopted by
// it, as after its restart.
func (c *permitClient) renew(ctx context.Context, owner string, request api.PermitRenew) {
	var unknown api.PermitRenew
	if owner == c.network.Self() {
		unknown = c.local.HandleRenew(owner, request)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, lateReplyWait)
		defer cancel()
		reply, err := c.network.Call(callCtx, owner, api.PeerMessage{PermitRenew: &request})
		if err != nil || reply.PermitRenew == nil {
			c.renewSoon(request)
			return
		}
		unknown = *reply.PermitRenew
	}
	// The owner gives adopted permits the first hold time.
	c.renewSoon(unknown)
	for _, at := range unknown.Endpoints {
		c.adoptAt(owner, at.Endpoint, at.Permits)
	}
}

// renewSoon makes the permits due again at the next round.
func (c *permitClient) renewSoon(request api.PermitRenew) {
	for _, at := range request.Endpoints {
		for _, id := range at.Permits {
			if value, ok := c.held.Load(id); ok {
				p := value.(*permit)
				p.mu.Lock()
				p.renewedAt = time.Time{}
				p.mu.Unlock()
			}
		}
	}
}

// ownersChanged hands the permits of endpoints with a new owner to it.
func (c *permitClient) ownersChanged() {
	for at, permits := range c.byOwner() {
		owner := c.network.OwnerOf(endpointOwnerName(at.endpoint))
		if owner == at.owner || owner == "" {
			continue
		}
		for _, p := range permits {
			p.mu.Lock()
			p.owner = owner
			// The new owner gives it the first hold time.
			p.renewedAt = time.Time{}
			p.mu.Unlock()
		}
		c.adoptAt(owner, at.endpoint, permitIDs(permits))
	}
}

func (c *permitClient) adoptAt(owner, endpoint string, ids []uint64) {
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
	// A lost adoption is repeated after the next renewal.
	_ = c.network.Send(owner, api.PeerMessage{PermitAdopt: &adopt})
	for _, h := range held {
		// A release that came before the adoption did not find its permit.
		if _, inUse := c.held.Load(h.Permit); !inUse {
			c.sendRelease(owner, api.PermitRelease{Endpoint: endpoint, Permits: []uint64{h.Permit}})
		}
	}
}
