package cluster

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

// discoverLoop registers, lists the other routers, and joins through one that
// answers. It repeats faster while no peer is known.
func (c *Cluster) discoverLoop(ctx context.Context) {
	const joinRetry = 500 * time.Millisecond
	joined := false
	for ctx.Err() == nil {
		c.register(ctx)
		if !joined || c.listDue(time.Now()) {
			c.discover(ctx)
		}
		wait := c.opts.RefreshInterval
		if !joined || c.Alone() {
			joined = c.join(ctx, c.addresses)
			if !joined {
				wait = min(wait, joinRetry)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// listDue says whether to list the registrations. The list is by far the longest
// answer of the object API. A router that hears peers learns of new ones from
// them, and keeps the listed routers as contacts, through which partitions meet.
func (c *Cluster) listDue(now time.Time) bool {
	heard := now.Sub(c.LastPeerContact()) < c.opts.RefreshInterval
	return !heard || c.Alone() || now.Sub(c.listedAt) >= c.opts.ListInterval
}

func (c *Cluster) join(ctx context.Context, addresses []string) bool {
	for _, address := range addresses {
		if c.sync(ctx, address) {
			return true
		}
	}
	return false
}

// register writes the own registration. It learns the version first, so that a
// lost response or an earlier process's registration is replaced.
func (c *Cluster) register(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.StoreTimeout)
	defer cancel()
	if err := c.tryRegister(ctx); err != nil && ctx.Err() == nil {
		c.opts.Logger.Warn("registration not written", zap.Error(err))
	}
}

func (c *Cluster) tryRegister(ctx context.Context) error {
	key := RegistrationPrefix + c.opts.Self.ID
	stored, err := c.opts.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return fmt.Errorf("read registration: %w", err)
	}
	self := c.opts.Self
	c.mu.Lock()
	self.Incarnation = c.table.Incarnation()
	known := c.registration
	c.mu.Unlock()
	if err == nil && stored.Version == known && time.Since(c.written) < c.opts.RewriteInterval {
		return nil
	}
	var earlier api.RouterRegistration
	if err == nil && cbor.Unmarshal(stored.Value, &earlier) == nil && earlier.Incarnation > self.Incarnation {
		c.refute(earlier)
		self.Incarnation = earlier.Incarnation + 1
	}
	value, err := cbor.Marshal(self)
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	version, err := c.opts.Store.Put(ctx, key, value, stored.Version)
	if err != nil {
		return fmt.Errorf("write registration: %w", err)
	}
	c.written = time.Now()
	c.mu.Lock()
	c.registration = version
	c.mu.Unlock()
	return nil
}

// refute raises the own incarnation above that of an earlier process, whose
// clock may have been ahead.
func (c *Cluster) refute(earlier api.RouterRegistration) {
	entry := api.GossipEntry{R: earlier.ID, I: earlier.Incarnation, H: 1}
	c.update(func(now time.Time) {
		c.table.Merge(now, earlier.ID, &api.Gossip{Entries: []api.GossipEntry{entry}})
	})
}

// discover reads the addresses of registered routers and seeds. Registered
// routers become contacts, so that partitions meet again.
func (c *Cluster) discover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.StoreTimeout)
	defer cancel()
	c.addresses = slices.Clone(c.opts.Seeds)
	objects, err := c.opts.Store.List(ctx, RegistrationPrefix)
	if err != nil {
		c.opts.Logger.Warn("registrations not read", zap.Error(err))
		return
	}
	c.listedAt = time.Now()
	listed := map[string]string{}
	for _, object := range objects {
		var found api.RouterRegistration
		if cbor.Unmarshal(object.Value, &found) != nil || found.PeerAddress == "" || found.ID == c.opts.Self.ID {
			continue
		}
		listed[found.PeerAddress] = found.ID
		c.addresses = append(c.addresses, found.PeerAddress)
	}
	c.setContacts(listed)
	c.removeAbandoned(ctx, objects)
}

// removeAbandoned removes registrations that crashed routers left behind. Only
// the owner of a registration's key does so, and only for the version seen.
func (c *Cluster) removeAbandoned(ctx context.Context, objects []objectstore.Object) {
	now := time.Now()
	live := map[string]bool{}
	for _, m := range c.Members() {
		live[RegistrationPrefix+m.ID] = true
	}
	seen := make(map[string]sighting, len(objects))
	for _, object := range objects {
		first, known := c.seen[object.Key]
		if !known || first.version != object.Version {
			first = sighting{version: object.Version, since: now}
		}
		seen[object.Key] = first
		old := now.Sub(first.since) > abandonedRewrites*c.opts.RewriteInterval
		owner, _ := c.OwnerOf(object.Key)
		if !old || live[object.Key] || owner != c.opts.Self.ID {
			continue
		}
		if err := c.opts.Store.Delete(ctx, object.Key, object.Version); err != nil {
			c.opts.Logger.Warn("abandoned registration not removed", zap.String("key", object.Key), zap.Error(err))
		}
	}
	c.seen = seen
}

func (c *Cluster) setContacts(listed map[string]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	members := map[string]bool{}
	for _, m := range c.table.Members(time.Now()) {
		members[m.Address] = true
	}
	for address := range c.listed {
		if _, still := listed[address]; still || slices.Contains(c.opts.Seeds, address) {
			continue
		}
		c.table.DropContact(address)
		if !members[address] {
			c.transport.Forget(address)
		}
	}
	for address, id := range listed {
		c.table.AddContact(id, address)
	}
	c.listed = listed
}

// leave announces the departure in one last round and removes the registration.
func (c *Cluster) leave() {
	c.SetLeaving()
	now := time.Now()
	c.mu.Lock()
	round := c.table.NextRound(now)
	version := c.registration
	c.mu.Unlock()
	c.sendRound(round)
	if version == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.opts.StoreTimeout)
	defer cancel()
	err := c.opts.Store.Delete(ctx, RegistrationPrefix+c.opts.Self.ID, version)
	if err != nil {
		c.opts.Logger.Warn("registration not removed", zap.Error(err))
	}
}
