// Package cluster joins the gossip table, the peers' transport and the
// registrations in the object API: it finds the other routers, keeps them
// informed, and tells which router owns what.
package cluster

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/membership"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
	"github.com/hornbeamproxy/hornbeamproxy/peer"
)

// RegistrationPrefix is where routers register in the object API.
const RegistrationPrefix = "routers/"

// Options of a Cluster. Zero durations mean the defaults.
type Options struct {
	Self      api.RouterRegistration // the incarnation is raised above the stored one
	Seeds     []string
	Store     objectstore.Store
	Transport peer.Options // RouterID, Address, PeerUp and PeerDown are set by New
	Handler   peer.Handler // of all messages but gossip
	Gossip    membership.Config
	Logger    *zap.Logger

	RefreshInterval time.Duration // between looks at the own registration, and at all while peers are missing; default 30 s
	ListInterval    time.Duration // between looks at all registrations while peers are heard; default 5 min
	RewriteInterval time.Duration // between writes of the own one; default 5 min
	StoreTimeout    time.Duration // of one call; default 2 s
	SyncTimeout     time.Duration // of a request for a whole table; default 2 s
	LocalSuspicion  time.Duration // after a failed connection; default 5 s
}

func (o *Options) setDefaults() {
	setDefault(&o.RefreshInterval, 30*time.Second)
	setDefault(&o.ListInterval, 5*time.Minute)
	setDefault(&o.RewriteInterval, 5*time.Minute)
	setDefault(&o.StoreTimeout, 2*time.Second)
	setDefault(&o.SyncTimeout, 2*time.Second)
	setDefault(&o.LocalSuspicion, 5*time.Second)
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

// Owners is one state of the routers that may own things. It is never changed.
type Owners struct {
	IDs       []string // sorted
	Version   uint64
	addresses map[string]string
}

// sighting is when a version of a registration was first seen.
type sighting struct {
	version uint64
	since   time.Time
}

// Cluster is one router's view of the fleet. It is safe for concurrent use.
type Cluster struct {
	opts      Options
	transport *peer.Transport

	mu           sync.Mutex
	table        *membership.Table
	registration uint64            // version of the own registration, 0 when not known
	listed       map[string]string // registered id by address
	// membersVersion is the table's when Changed was last signalled.
	membersVersion uint64

	// Used by discoverLoop only.
	written   time.Time
	addresses []string // of the last list
	listedAt  time.Time
	seen      map[string]sighting

	owners      atomic.Pointer[Owners]
	changed     chan struct{}
	started     time.Time
	lastContact atomic.Int64 // nanoseconds after started, 0 before the first
	wake        chan struct{}
	syncs       chan membership.Peer
}

// New creates a cluster and its transport. The caller serves Transport on the
// peers' listener, calls Run, and closes the transport after Run has returned.
func New(opts Options) (*Cluster, error) {
	opts.setDefaults()
	c := &Cluster{
		opts:    opts,
		started: time.Now(),
		seen:    map[string]sighting{},
		changed: make(chan struct{}, 1),
		wake:    make(chan struct{}, 1),
		syncs:   make(chan membership.Peer, 1),
	}
	now := time.Now()
	self := &c.opts.Self
	if self.Incarnation == 0 {
		self.Incarnation = uint64(now.UnixMilli())
	}
	gossip := opts.Gossip
	gossip.ID, gossip.Address, gossip.Zone = self.ID, self.PeerAddress, self.Zone
	gossip.Incarnation = self.Incarnation
	if gossip.Seed == 0 {
		gossip.Seed = self.Incarnation
	}
	c.table = membership.New(now, gossip)
	for _, seed := range opts.Seeds {
		c.table.AddContact("", seed)
	}
	c.publish(now)
	transport := opts.Transport
	transport.RouterID, transport.Address = self.ID, self.PeerAddress
	transport.Handler = peer.HandlerFunc(c.handle)
	transport.PeerDown = c.peerDown
	transport.PeerUp = c.peerUp
	var err error
	c.transport, err = peer.NewTransport(transport)
	if err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	return c, nil
}

// Transport is the transport between the routers, also for other messages.
func (c *Cluster) Transport() *peer.Transport { return c.transport }

// Run registers the router, finds peers and gossips until ctx ends. It then
// tells the peers that this router leaves and removes the registration.
func (c *Cluster) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { c.discoverLoop(ctx) })
	group.Go(func() { c.syncLoop(ctx) })
	c.gossipLoop(ctx)
	group.Wait()
	c.leave()
	return nil
}

func (c *Cluster) gossipLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-timer.C:
			c.round(time.Now())
		}
		c.mu.Lock()
		next := c.table.NextAt()
		c.mu.Unlock()
		timer.Reset(time.Until(next))
	}
}

// round sends a round when it is due. The owners are computed in every round,
// because silence alone changes them.
func (c *Cluster) round(now time.Time) {
	c.mu.Lock()
	if now.Before(c.table.NextAt()) {
		c.mu.Unlock()
		return
	}
	round := c.table.NextRound(now)
	c.publish(now)
	c.mu.Unlock()
	c.sendRound(round)
}

func (c *Cluster) sendRound(round membership.Round) {
	for _, to := range round.Peers {
		err := c.transport.Send(to.Address, api.PeerMessage{Gossip: &round.Message})
		if err != nil {
			c.opts.Logger.Debug("gossip not sent", zap.String("address", to.Address), zap.Error(err))
		}
	}
}

// publish makes new owners visible and reports changes of the owners and of the
// members. The caller holds c.mu, or no other goroutine exists yet.
func (c *Cluster) publish(now time.Time) {
	ids, version := c.table.Owners(now)
	members := c.table.MembersVersion()
	old := c.owners.Load()
	ownersStay := old != nil && old.Version == version
	if ownersStay && members == c.membersVersion {
		return
	}
	c.membersVersion = members
	defer c.signal()
	if ownersStay {
		return
	}
	next := &Owners{IDs: slices.Clone(ids), Version: version, addresses: map[string]string{}}
	for _, id := range next.IDs {
		next.addresses[id] = c.table.Address(id)
	}
	c.owners.Store(next)
}

func (c *Cluster) signal() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// update changes the table, publishes the owners and wakes the gossip loop.
func (c *Cluster) update(change func(now time.Time)) {
	now := time.Now()
	c.mu.Lock()
	change(now)
	c.publish(now)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Cluster) handle(ctx context.Context, from string, msg api.PeerMessage) *api.PeerMessage {
	c.touch()
	if msg.Gossip == nil {
		return c.opts.Handler.HandlePeer(ctx, from, msg)
	}
	c.merge(from, msg.Gossip)
	if msg.ID == 0 {
		return nil
	}
	full := c.full()
	return &api.PeerMessage{Gossip: &full}
}

// touch uses the monotonic clock, because a step of the wall clock must neither
// isolate a router nor hide that it is isolated.
func (c *Cluster) touch() { c.lastContact.Store(int64(time.Since(c.started)) + 1) }

func (c *Cluster) merge(from string, g *api.Gossip) {
	c.update(func(now time.Time) {
		if !c.table.Merge(now, from, g) {
			return
		}
		address := c.table.Address(from)
		for i := range g.Entries {
			if address == "" && g.Entries[i].R == from {
				address = g.Entries[i].A
			}
		}
		c.requestSync(membership.Peer{ID: from, Address: address})
	})
}

func (c *Cluster) requestSync(from membership.Peer) {
	if from.Address == "" {
		return
	}
	select {
	case c.syncs <- from:
	default:
	}
}

func (c *Cluster) full() api.Gossip {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Full(time.Now())
}

// syncLoop exchanges whole tables, one at a time, because each is many times
// larger than a round.
func (c *Cluster) syncLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-c.syncs:
			c.sync(ctx, from.Address)
		}
	}
}

func (c *Cluster) sync(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, c.opts.SyncTimeout)
	defer cancel()
	full := c.full()
	reply, err := c.transport.Call(ctx, address, api.PeerMessage{Gossip: &full})
	if err != nil || reply.Gossip == nil || len(reply.Gossip.Entries) == 0 {
		c.opts.Logger.Debug("table not received", zap.String("address", address), zap.Error(err))
		return false
	}
	c.touch()
	// The first entry of a whole table is the sender's own.
	from := reply.Gossip.Entries[0].R
	c.update(func(now time.Time) { c.table.Merge(now, from, reply.Gossip) })
	return true
}

// peerDown suspects a router whose connection failed, in this view only.
func (c *Cluster) peerDown(id, address string, _ error) {
	c.update(func(now time.Time) {
		until := now.Add(c.opts.LocalSuspicion)
		if id != "" {
			c.table.SuspectLocally(id, until)
			return
		}
		for _, m := range c.table.Members(now) {
			if m.Address == address {
				c.table.SuspectLocally(m.ID, until)
			}
		}
	})
}

func (c *Cluster) peerUp(id, _ string) {
	c.touch()
	c.update(func(time.Time) { c.table.ClearLocalSuspicion(id) })
}

// Alone says whether this router knows no other live one.
func (c *Cluster) Alone() bool { return len(c.owners.Load().IDs) <= 1 }

// abandonedRewrites is the number of rewrites that a router must have missed
// before its registration is removed.
const abandonedRewrites = 3
