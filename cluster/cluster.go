// Package cluster combines the membership table, the transport between routers and the
// registrations in the object API. It discovers the other routers, gossips with them,
// and determines which router owns a resource, such as an endpoint or a key of the
// object API. Each resource has a name, and package placement assigns the name to one
// of the routers that may own resources.
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

// RegistrationPrefix is the prefix of the keys of registrations in the object API.
// The rest of the key is the id of the router.
const RegistrationPrefix = "routers/"

// Options holds the settings of a Cluster. A zero duration selects its default.
type Options struct {
	Self      api.RouterRegistration // if the stored registration has a higher incarnation, this one is raised above it
	Seeds     []string
	Store     objectstore.Store
	Transport peer.Options // RouterID, Address, Handler, PeerUp and PeerDown are set by New
	Handler   peer.Handler // handles all messages except gossip
	Gossip    membership.Config
	Logger    *zap.Logger

	// RefreshInterval is the time between two reads of this router's registration.
	// While no peer is in contact, it is also the time between two listings of all
	// registrations. Default 30 s.
	RefreshInterval time.Duration
	// ListInterval is the time between two listings of all registrations while peers
	// are in contact. Default 5 min.
	ListInterval time.Duration
	// RewriteInterval is the time between two writes of this router's registration.
	// Default 5 min.
	RewriteInterval time.Duration
	// StoreTimeout bounds the total time of the store calls for one registration. It
	// also bounds the total time of those for one listing. Default 2 s.
	StoreTimeout time.Duration
	// SyncTimeout bounds one exchange of full tables with a peer. Default 2 s.
	SyncTimeout time.Duration
	// LocalSuspicionTime is how long a router is suspected after a failed connection.
	// Default 5 s.
	LocalSuspicionTime time.Duration
}

func (o *Options) setDefaults() {
	setDefault(&o.RefreshInterval, 30*time.Second)
	setDefault(&o.ListInterval, 5*time.Minute)
	setDefault(&o.RewriteInterval, 5*time.Minute)
	setDefault(&o.StoreTimeout, 2*time.Second)
	setDefault(&o.SyncTimeout, 2*time.Second)
	setDefault(&o.LocalSuspicionTime, 5*time.Second)
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

// EligibleOwners is an immutable snapshot of the routers that may own resources.
type EligibleOwners struct {
	IDs       []string // sorted
	Version   uint64   // changes whenever IDs does
	addresses map[string]string
}

// versionSeen is the version of a registration and the time at which this router first
// saw that version.
type versionSeen struct {
	version uint64
	since   time.Time
}

// Cluster is one router's view of the fleet. It is safe for concurrent use.
type Cluster struct {
	opts      Options
	transport *peer.Transport

	mu                  sync.Mutex
	table               *membership.Table
	registrationVersion uint64            // version of this router's registration, 0 when not known
	registeredIDs       map[string]string // ids of the routers in the last listing, by address
	// signalledMembersVersion is the table's members version when Changed was last
	// signalled.
	signalledMembersVersion uint64

	// Used only by discoverLoop.
	registeredAt  time.Time              // when this router's registration was last written
	joinAddresses []string               // addresses of the seeds and of the routers in the last listing
	listedAt      time.Time              // time of the last listing of registrations
	versionsSeen  map[string]versionSeen // by key of the registration

	owners       atomic.Pointer[EligibleOwners]
	changed      chan struct{}
	started      time.Time
	lastContact  atomic.Int64 // time of the last contact with a peer, in nanoseconds after started; 0 if there was none
	wakeGossip   chan struct{}
	syncRequests chan membership.Peer
}

// New creates a cluster and its transport. The caller serves Transport on the
// peers' listener, calls Run, and closes the transport after Run has returned.
func New(opts Options) (*Cluster, error) {
	opts.setDefaults()
	c := &Cluster{
		opts:         opts,
		started:      time.Now(),
		versionsSeen: map[string]versionSeen{},
		changed:      make(chan struct{}, 1),
		wakeGossip:   make(chan struct{}, 1),
		syncRequests: make(chan membership.Peer, 1),
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
	c.publishOwners(now)
	transport := opts.Transport
	transport.RouterID, transport.Address = self.ID, self.PeerAddress
	transport.Handler = peer.HandlerFunc(c.handle)
	transport.PeerDown = c.peerDown
	transport.PeerUp = c.peerUp
	var err error
	c.transport, err = peer.NewTransport(transport)
	if err != nil {
		return nil, fmt.Errorf("cluster: creating the transport: %w", err)
	}
	return c, nil
}

// Transport returns the transport between the routers, which also carries messages
// other than gossip.
func (c *Cluster) Transport() *peer.Transport { return c.transport }

// Run registers the router, discovers peers and gossips until ctx ends. It then
// announces to the peers that this router leaves, and removes this router's
// registration. The error is always nil.
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
		case <-c.wakeGossip:
		case <-timer.C:
			c.gossipRound(time.Now())
		}
		c.mu.Lock()
		next := c.table.NextAt()
		c.mu.Unlock()
		timer.Reset(time.Until(next))
	}
}

// gossipRound sends a round of gossip if one is due. Every round computes the owners
// again, because they can change without any message: a router that stays silent is no
// longer an owner.
func (c *Cluster) gossipRound(now time.Time) {
	c.mu.Lock()
	if now.Before(c.table.NextAt()) {
		c.mu.Unlock()
		return
	}
	round := c.table.NextRound(now)
	c.publishOwners(now)
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

// publishOwners stores a new snapshot of the owners if they have changed, and
// signals changes of the owners and of the members. The caller holds c.mu, or no
// other goroutine uses c yet.
func (c *Cluster) publishOwners(now time.Time) {
	ids, version := c.table.EligibleOwners(now)
	members := c.table.MembersVersion()
	old := c.owners.Load()
	ownersUnchanged := old != nil && old.Version == version
	if ownersUnchanged && members == c.signalledMembersVersion {
		return
	}
	c.signalledMembersVersion = members
	defer c.signalChanged()
	if ownersUnchanged {
		return
	}
	next := &EligibleOwners{IDs: slices.Clone(ids), Version: version, addresses: map[string]string{}}
	for _, id := range next.IDs {
		next.addresses[id] = c.table.Address(id)
	}
	c.owners.Store(next)
}

func (c *Cluster) signalChanged() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// updateTable applies change to the table, publishes the owners and wakes the gossip
// loop.
func (c *Cluster) updateTable(change func(now time.Time)) {
	now := time.Now()
	c.mu.Lock()
	change(now)
	c.publishOwners(now)
	c.mu.Unlock()
	select {
	case c.wakeGossip <- struct{}{}:
	default:
	}
}

func (c *Cluster) handle(ctx context.Context, from string, msg api.PeerMessage) *api.PeerMessage {
	c.recordContact()
	if msg.Gossip == nil {
		return c.opts.Handler.HandlePeer(ctx, from, msg)
	}
	c.mergeGossip(from, msg.Gossip)
	if msg.ID == 0 {
		return nil
	}
	full := c.fullTable()
	return &api.PeerMessage{Gossip: &full}
}

// recordContact records contact with a peer at the present time. It uses the monotonic
// clock, because a step of the wall clock must neither make a router appear isolated nor
// hide that the router is isolated.
func (c *Cluster) recordContact() { c.lastContact.Store(int64(time.Since(c.started)) + 1) }

func (c *Cluster) mergeGossip(from string, g *api.Gossip) {
	c.updateTable(func(now time.Time) {
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
	case c.syncRequests <- from:
	default:
	}
}

func (c *Cluster) fullTable() api.Gossip {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.FullTable(time.Now())
}

// syncLoop exchanges full tables with peers, one peer at a time, because a full table is
// many times larger than the message of a gossip round.
func (c *Cluster) syncLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-c.syncRequests:
			c.syncWith(ctx, from.Address)
		}
	}
}

func (c *Cluster) syncWith(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, c.opts.SyncTimeout)
	defer cancel()
	full := c.fullTable()
	reply, err := c.transport.Call(ctx, address, api.PeerMessage{Gossip: &full})
	if err != nil || reply.Gossip == nil || len(reply.Gossip.Entries) == 0 {
		c.opts.Logger.Debug("membership table sync failed", zap.String("address", address), zap.Error(err))
		return false
	}
	c.recordContact()
	// The first entry of a full table is the sender's own.
	from := reply.Gossip.Entries[0].R
	c.updateTable(func(now time.Time) { c.table.Merge(now, from, reply.Gossip) })
	return true
}

// peerDown suspects a router whose connection failed. The suspicion is local: it is
// not gossiped.
func (c *Cluster) peerDown(id, address string, _ error) {
	c.updateTable(func(now time.Time) {
		until := now.Add(c.opts.LocalSuspicionTime)
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
	c.recordContact()
	c.updateTable(func(time.Time) { c.table.ClearLocalSuspicion(id) })
}

// Alone reports whether at most one router, normally this one, may own resources.
func (c *Cluster) Alone() bool { return len(c.owners.Load().IDs) <= 1 }

// maxMissedRewrites is the number of rewrites of its registration that a router may
// miss before the registration is removed.
const maxMissedRewrites = 3
