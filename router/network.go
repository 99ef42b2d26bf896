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

// offerInterval is how often the highest revision heard from peers is compared
// with the applied one.
const offerInterval = 100 * time.Millisecond

var (
	errWrongReply   = errors.New("router: a peer answered with another kind of message")
	errUnknownOwner = errors.New("router: no address is known for the router")
)

// peerNetwork is the cluster as the request path sees it, with routers named by
// their ids.
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
		return api.PeerMessage{}, fmt.Errorf("%w: %s", errUnknownOwner, router)
	}
	return n.Transport().Call(ctx, address, msg)
}

// Send implements Network.
func (n *peerNetwork) Send(router string, msg api.PeerMessage) error {
	address := n.Address(router)
	if address == "" {
		return fmt.Errorf("%w: %s", errUnknownOwner, router)
	}
	return n.Transport().Send(address, msg)
}

// PoolLoad implements poolCounter.
func (n *peerNetwork) PoolLoad(pool string) (inflight, ready int, age time.Duration) {
	load := n.Cluster.PoolLoad(pool)
	return load.Inflight, load.Ready, load.Age
}

func (r *Router) joinCluster(c Config) error {
	settings := c.Settings
	joined, err := cluster.New(cluster.Options{
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
	r.cluster = &peerNetwork{Cluster: joined, self: settings.Router.ID}
	return nil
}

// listenPeers serves the transport on the peers' listener.
func (r *Router) listenPeers() error {
	listener, err := net.Listen("tcp", r.settings.Listen.Peers)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle(peer.Path, r.cluster.Transport())
	r.peerServer = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: peerHeaderTimeout,
		ErrorLog:          zap.NewStdLog(r.logger),
	}
	go func() {
		if err := r.peerServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			r.logger.Error("peers' listener failed", zap.Error(err))
		}
	}()
	return nil
}

const peerHeaderTimeout = 5 * time.Second

// followPeers takes up changes of the owners and newer revisions of peers until
// the context ends.
func (r *Router) followPeers(ctx context.Context) error {
	ticker := time.NewTicker(offerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.cluster.Changed():
			r.refreshOwnership()
			r.noteDeadRouters()
		case <-ticker.C:
			r.offerRevision()
		}
	}
}

func (r *Router) offerRevision() {
	revision, _, address := r.cluster.HighestRevision()
	if revision > r.syncer.Revision() && address != "" {
		r.syncer.Offer(address, revision)
	}
}

// seenRouter is a router that this one has known.
type seenRouter struct {
	member membership.Member
	// diedAt is when it was removed; the zero time while it is in the fleet.
	diedAt time.Time
}

// deadMemory is how long a dead router is remembered. Its claims are older than
// the longest request by then and need no word about their router.
const deadMemory = time.Hour

// noteDeadRouters tells gates and claims which routers have been removed.
func (r *Router) noteDeadRouters() {
	now := r.now()
	live := map[string]bool{}
	for _, member := range r.cluster.Members() {
		live[member.ID] = true
		if before, known := r.everSeen[member.ID]; known && !before.diedAt.IsZero() {
			r.logger.Info("router heard again", zap.String("router", member.ID), zap.Duration("after", now.Sub(before.diedAt)))
		}
		r.everSeen[member.ID] = seenRouter{member: member}
	}
	lost := map[string]time.Time{}
	for id, seen := range r.everSeen {
		switch {
		case live[id]:
			continue
		case seen.diedAt.IsZero():
			seen.diedAt = now
			r.everSeen[id] = seen
			r.logger.Warn("router lost", zap.String("router", id), zap.Duration("silent", seen.member.Silent))
			r.owner.routerLost(id)
			if !seen.member.Leaving {
				r.failures.routerLost(seen.member)
			}
		case now.Sub(seen.diedAt) > deadMemory:
			delete(r.everSeen, id)
			continue
		}
		lost[id] = seen.diedAt
	}
	r.claimOwner.SetLost(lost)
	r.claimOwner.SetLive(slices.Collect(maps.Keys(live)))
}

// Notes implements notes.PeerSource; a peer is named by its address.
func (r *Router) Notes(ctx context.Context, address string, after uint64) (api.NotesReply, error) {
	request := api.PeerMessage{NotesRequest: &api.NotesRequest{After: after}}
	reply, err := r.cluster.Transport().Call(ctx, address, request)
	if err != nil {
		return api.NotesReply{}, err
	}
	if reply.NotesReply == nil {
		return api.NotesReply{}, errWrongReply
	}
	return *reply.NotesReply, nil
}

// RouterRevisions implements admin.StatusSource.
func (r *Router) RouterRevisions() []admin.RouterRevision {
	var list []admin.RouterRevision
	for _, member := range r.cluster.Members() {
		list = append(list, admin.RouterRevision{
			Router:   member.ID,
			Zone:     member.Zone,
			Revision: member.Revision,
			Age:      member.Silent,
		})
	}
	return list
}
