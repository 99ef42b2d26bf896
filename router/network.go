package router

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/admin"
	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/cluster"
	"github.com/hornbeamproxy/hornbeamproxy/membership"
	"github.com/hornbeamproxy/hornbeamproxy/peer"
)

// revisionCheckInterval is the time between two comparisons of the applied revision
// with the highest one that a peer has.
const revisionCheckInterval = 100 * time.Millisecond

var (
	errUnexpectedReply = errors.New("router: unexpected type of reply from a peer")
	errNoPeerAddress   = errors.New("router: no peer address known for router")
)

// peerNetwork implements Network on the cluster. It addresses routers by their ids.
type peerNetwork struct {
	*cluster.Cluster
	self string
}

// Self implements Network.
func (n *peerNetwork) Self() string { return n.self }

// OwnerOf implements Network.
func (n *peerNetwork) OwnerOf(name string) string {
	id, _ := n.Cluster.OwnerOf(name)
	return id
}

// Call implements Network.
func (n *peerNetwork) Call(ctx context.Context, router string, msg api.PeerMessage) (api.PeerMessage, error) {
	address := n.Address(router)
	if address == "" {
		return api.PeerMessage{}, fmt.Errorf("%w: %s", errNoPeerAddress, router)
	}
	return n.Transport().Call(ctx, address, msg)
}

// Send implements Network.
func (n *peerNetwork) Send(router string, msg api.PeerMessage) error {
	address := n.Address(router)
	if address == "" {
		return fmt.Errorf("%w: %s", errNoPeerAddress, router)
	}
	return n.Transport().Send(address, msg)
}

// PoolLoad implements poolCounter.
func (n *peerNetwork) PoolLoad(pool string) (inflight, ready int, age time.Duration) {
	load := n.Cluster.PoolLoad(pool)
	return load.Inflight, load.Ready, load.Age
}

func (r *Router) buildNetwork(c Config) error {
	settings := c.Settings
	created, err := cluster.New(cluster.Options{
		Self: api.RouterRegistration{
			ID:          settings.Router.ID,
			PeerAddress: settings.Listen.Peers,
			Zone:        settings.Router.Zone,
		},
		Seeds: settings.Peers.Seeds,
		Store: c.Store,
		Transport: peer.Options{
			Secret:  []byte(c.Secrets.PeerSecret),
			Metrics: c.Metrics,
			Logger:  c.Logger,
		},
		Handler: r,
		Gossip: membership.Config{
			Fanout:         settings.Peers.Fanout,
			MinInterval:    settings.Peers.GossipInterval.Duration,
			BytesPerSecond: settings.Peers.ControlBytesPerSecond,
		},
		Logger: c.Logger,
	})
	if err != nil {
		return err
	}
	r.network = &peerNetwork{Cluster: created, self: settings.Router.ID}
	return nil
}

// listenPeers opens the peer listener and serves the transport on it.
func (r *Router) listenPeers() error {
	listener, err := net.Listen("tcp", r.settings.Listen.Peers)
	if err != nil {
		return fmt.Errorf("listening for peers: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle(peer.Path, r.network.Transport())
	r.peerServer = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: peerHeaderTimeout,
		ErrorLog:          zap.NewStdLog(r.logger),
	}
	go func() {
		if err := r.peerServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			r.logger.Error("peer listener failed", zap.Error(err))
		}
	}()
	return nil
}

const peerHeaderTimeout = 5 * time.Second

// followPeers handles changes of ownership and fetches newer revisions from peers
// until ctx ends.
func (r *Router) followPeers(ctx context.Context) error {
	ticker := time.NewTicker(revisionCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.network.Changed():
			r.refreshOwnership()
			r.updateLostRouters()
		case <-ticker.C:
			r.observePeerRevision()
		}
	}
}

// observePeerRevision passes the highest revision that a peer has, and the address of
// that peer, to the syncer if the revision is newer than the applied one.
func (r *Router) observePeerRevision() {
	revision, _, address := r.network.HighestRevision()
	if revision > r.syncer.Revision() && address != "" {
		r.syncer.ObservePeerRevision(address, revision)
	}
}

// knownRouter is a router that is or was in the fleet.
type knownRouter struct {
	member membership.Member
	// removedAt is the time at which the router was found to be missing from the fleet;
	// zero while the router is a member.
	removedAt time.Time
}

// lostRouterRetention is how long a lost router is remembered. After this time all its
// claims are older than the longest request, since limits.request_timeout is at most 1 h.
// The handling of such old claims does not depend on whether their router is known to be
// lost.
const lostRouterRetention = time.Hour

// updateLostRouters passes the routers that are missing from the fleet to the
// admission gates and the claim shards.
func (r *Router) updateLostRouters() {
	now := r.now()
	live := map[string]bool{}
	for _, member := range r.network.Members() {
		live[member.ID] = true
		if before, known := r.knownRouters[member.ID]; known && !before.removedAt.IsZero() {
			r.logger.Info("lost router has rejoined", zap.String("router", member.ID), zap.Duration("after", now.Sub(before.removedAt)))
		}
		r.knownRouters[member.ID] = knownRouter{member: member}
	}
	lost := map[string]time.Time{}
	for id, known := range r.knownRouters {
		switch {
		case live[id]:
			continue
		case known.removedAt.IsZero():
			known.removedAt = now
			r.knownRouters[id] = known
			r.logger.Warn("router lost", zap.String("router", id), zap.Duration("silent", known.member.SilentFor))
			r.owner.routerLost(id)
			if !known.member.Leaving {
				r.failures.routerLost(known.member)
			}
		case now.Sub(known.removedAt) > lostRouterRetention:
			delete(r.knownRouters, id)
			continue
		}
		lost[id] = known.removedAt
	}
	r.claimOwner.SetLostRouters(lost)
	r.claimOwner.SetLiveRouters(slices.Collect(maps.Keys(live)))
}

// Notes implements notes.PeerNotesReader. It reads the release notes with a revision
// higher than after from the peer at the address.
func (r *Router) Notes(ctx context.Context, address string, after uint64) (api.NotesReply, error) {
	request := api.PeerMessage{NotesRequest: &api.NotesRequest{After: after}}
	reply, err := r.network.Transport().Call(ctx, address, request)
	if err != nil {
		return api.NotesReply{}, err
	}
	if reply.NotesReply == nil {
		return api.NotesReply{}, errUnexpectedReply
	}
	return *reply.NotesReply, nil
}

// RouterRevisions implements admin.StatusSource.
func (r *Router) RouterRevisions() []admin.RouterRevision {
	var list []admin.RouterRevision
	for _, member := range r.network.Members() {
		list = append(list, admin.RouterRevision{
			Router:   member.ID,
			Zone:     member.Zone,
			Revision: member.Revision,
			Age:      member.SilentFor,
		})
	}
	return list
}
