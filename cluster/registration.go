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

// discoverLoop registers this router, lists the registered routers if that is due, and
// joins the fleet by exchanging full tables with the first router that replies. It
// repeats every RefreshInterval, or every joinRetry while no router replies to a join.
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
			joined = c.join(ctx, c.joinAddresses)
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

// listDue reports whether to list the registrations. The listing is by far the largest
// response of the object API, so it is requested rarely while this router is in contact
// with peers. During that time this router learns of new routers by gossip. It keeps the
// routers of the last listing as contacts, through which separated partitions find each
// other again.
func (c *Cluster) listDue(now time.Time) bool {
	inContact := now.Sub(c.LastPeerContact()) < c.opts.RefreshInterval
	return !inContact || c.Alone() || now.Sub(c.listedAt) >= c.opts.ListInterval
}

func (c *Cluster) join(ctx context.Context, addresses []string) bool {
	for _, address := range addresses {
		if c.syncWith(ctx, address) {
			return true
		}
	}
	return false
}

// register writes this router's registration if RewriteInterval has passed, or if the
// stored version is not the one that this process wrote last. It reads the stored version
// first. The write therefore succeeds even if the response to an earlier write was lost,
// and it replaces the registration of an earlier process.
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
		return fmt.Errorf("reading registration: %w", err)
	}
	self := c.opts.Self
	c.mu.Lock()
	self.Incarnation = c.table.Incarnation()
	known := c.registrationVersion
	c.mu.Unlock()
	if err == nil && stored.Version == known && time.Since(c.registeredAt) < c.opts.RewriteInterval {
		return nil
	}
	var earlier api.RouterRegistration
	if err == nil && cbor.Unmarshal(stored.Value, &earlier) == nil && earlier.Incarnation > self.Incarnation {
		c.refute(earlier)
		self.Incarnation = earlier.Incarnation + 1
	}
	value, err := cbor.Marshal(self)
	if err != nil {
		return fmt.Errorf("encoding registration: %w", err)
	}
	version, err := c.opts.Store.Put(ctx, key, value, stored.Version)
	if err != nil {
		return fmt.Errorf("writing registration: %w", err)
	}
	c.registeredAt = time.Now()
	c.mu.Lock()
	c.registrationVersion = version
	c.mu.Unlock()
	return nil
}

// refute raises this router's incarnation above that of its earlier process. The earlier
// incarnation can be higher, because incarnations start from the wall clock, and the
// clock may have been ahead at that time.
func (c *Cluster) refute(earlier api.RouterRegistration) {
	entry := api.GossipEntry{R: earlier.ID, I: earlier.Incarnation, H: 1}
	c.updateTable(func(now time.Time) {
		c.table.Merge(now, earlier.ID, &api.Gossip{Entries: []api.GossipEntry{entry}})
	})
}

// discover collects the addresses of the seeds and of the registered routers. The
// registered routers become contacts, so that separated partitions find each other
// again.
func (c *Cluster) discover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.StoreTimeout)
	defer cancel()
	c.joinAddresses = slices.Clone(c.opts.Seeds)
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
		c.joinAddresses = append(c.joinAddresses, found.PeerAddress)
	}
	c.setContacts(listed)
	c.removeAbandoned(ctx, objects)
}

// removeAbandoned removes the registrations of crashed routers. These are registrations
// that have not changed for more than maxMissedRewrites times RewriteInterval, and
// whose router is not a member. Only the router that owns the registration's key
// removes the registration, and only if the registration still has the listed version.
func (c *Cluster) removeAbandoned(ctx context.Context, objects []objectstore.Object) {
	now := time.Now()
	live := map[string]bool{}
	for _, m := range c.Members() {
		live[RegistrationPrefix+m.ID] = true
	}
	seen := make(map[string]versionSeen, len(objects))
	for _, object := range objects {
		first, known := c.versionsSeen[object.Key]
		if !known || first.version != object.Version {
			first = versionSeen{version: object.Version, since: now}
		}
		seen[object.Key] = first
		old := now.Sub(first.since) > maxMissedRewrites*c.opts.RewriteInterval
		owner, _ := c.OwnerOf(object.Key)
		if !old || live[object.Key] || owner != c.opts.Self.ID {
			continue
		}
		if err := c.opts.Store.Delete(ctx, object.Key, object.Version); err != nil {
			c.opts.Logger.Warn("abandoned registration not removed", zap.String("key", object.Key), zap.Error(err))
		}
	}
	c.versionsSeen = seen
}

func (c *Cluster) setContacts(listed map[string]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	members := map[string]bool{}
	for _, m := range c.table.Members(time.Now()) {
		members[m.Address] = true
	}
	for address := range c.registeredIDs {
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
	c.registeredIDs = listed
}

// leave announces in a last gossip round that this router leaves, and removes its
// registration.
func (c *Cluster) leave() {
	c.SetLeaving()
	now := time.Now()
	c.mu.Lock()
	round := c.table.NextRound(now)
	version := c.registrationVersion
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
