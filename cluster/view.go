package cluster

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/membership"
	"github.com/hornbeamproxy/hornbeamproxy/placement"
)

// Owners returns the routers that may own things.
func (c *Cluster) Owners() *Owners { return c.owners.Load() }

// OwnerOf returns the router that owns name and its address; both are empty when
// no router may own things. It takes no lock and does not allocate.
func (c *Cluster) OwnerOf(name string) (id, address string) {
	return c.owners.Load().OwnerOf(name)
}

// OwnerOf returns the router that owns name in this state.
func (o *Owners) OwnerOf(name string) (id, address string) {
	id = placement.Owner(name, o.IDs)
	return id, o.addresses[id]
}

// Changed receives a value after the owners or the members have changed. A router
// that returns is a member before it may own things. Changes that come together may
// be reported once. It has one reader.
func (c *Cluster) Changed() <-chan struct{} { return c.changed }

// LastPeerContact is when a peer was last heard or connected, and the zero time
// before that.
func (c *Cluster) LastPeerContact() time.Time {
	at := c.lastContact.Load()
	if at == 0 {
		return time.Time{}
	}
	return c.started.Add(time.Duration(at))
}

// SetRevision announces the applied revision. It is never lowered.
func (c *Cluster) SetRevision(revision uint64) {
	c.update(func(now time.Time) { c.table.SetRevision(now, revision) })
}

// SetPoolCounts announces the load of the endpoints that this router owns.
func (c *Cluster) SetPoolCounts(pools []api.PoolCount) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetPools(time.Now(), pools)
}

// SetLeaving announces that this router leaves. It then owns nothing.
func (c *Cluster) SetLeaving() {
	c.update(func(now time.Time) { c.table.SetLeaving(now) })
}

// HighestRevision returns the highest revision seen, and the id and address of
// a router that has it.
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

// Members lists all known routers with this one, by id.
func (c *Cluster) Members() []membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Members(time.Now())
}
