package cluster

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/membership"
	"github.com/hornbeamproxy/hornbeamproxy/placement"
)

// EligibleOwners returns the current snapshot of the routers that may own resources.
func (c *Cluster) EligibleOwners() *EligibleOwners { return c.owners.Load() }

// OwnerOf returns the id and the peer address of the router that owns the resource with
// the given name. Both are empty when no router may own resources. The call takes no
// lock and does not allocate.
func (c *Cluster) OwnerOf(name string) (id, address string) {
	return c.owners.Load().OwnerOf(name)
}

// OwnerOf returns the id and the peer address of the router that owns the resource with
// the given name in this snapshot, or empty strings if the snapshot has no routers.
func (o *EligibleOwners) OwnerOf(name string) (id, address string) {
	id = placement.Owner(name, o.IDs)
	return id, o.addresses[id]
}

// Changed returns a channel on which a value arrives after the owners or the members
// have changed. Changes of the members are signalled too, because a router that returns
// is a member before it may own resources. One value may signal several changes. Each
// value reaches only one reader, so only one goroutine may read the channel.
func (c *Cluster) Changed() <-chan struct{} { return c.changed }

// LastPeerContact returns the time at which a message from a peer last arrived or a
// connection to a peer was last opened, or the zero time if neither has happened.
func (c *Cluster) LastPeerContact() time.Time {
	at := c.lastContact.Load()
	if at == 0 {
		return time.Time{}
	}
	return c.started.Add(time.Duration(at))
}

// SetRevision announces the configuration revision that this router has applied. A
// revision that is not above the announced one is ignored.
func (c *Cluster) SetRevision(revision uint64) {
	c.updateTable(func(now time.Time) { c.table.SetRevision(now, revision) })
}

// SetPoolCounts announces, with the next rounds of gossip, the load of the endpoints
// that this router owns.
func (c *Cluster) SetPoolCounts(pools []api.PoolCount) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetPools(time.Now(), pools)
}

// SetLeaving announces that this router leaves. From then on it owns no resources.
func (c *Cluster) SetLeaving() {
	c.updateTable(func(now time.Time) { c.table.SetLeaving(now) })
}

// HighestRevision returns the highest configuration revision that any router has
// announced, and the id and address of a router that has applied it. The address is
// empty when it is not known.
func (c *Cluster) HighestRevision() (revision uint64, id, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	revision, id = c.table.HighestRevision()
	return revision, id, c.table.Address(id)
}

// PoolLoad sums the load of a pool over the routers that are not suspect.
func (c *Cluster) PoolLoad(pool string) membership.PoolLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.PoolLoad(time.Now(), pool)
}

// Members returns all known routers, including this one, sorted by id.
func (c *Cluster) Members() []membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Members(time.Now())
}
