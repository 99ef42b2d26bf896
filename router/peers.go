package router

import (
	"context"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// HandlePeer answers the messages of other routers, apart from gossip.
func (r *Router) HandlePeer(ctx context.Context, from string, msg api.PeerMessage) *api.PeerMessage {
	switch {
	case msg.PermitRequest != nil:
		reply := r.owner.HandleRequest(ctx, from, *msg.PermitRequest)
		return &api.PeerMessage{PermitReply: &reply}
	case msg.PermitRelease != nil:
		r.owner.HandleRelease(*msg.PermitRelease)
	case msg.PermitRenew != nil:
		reply := r.owner.HandleRenew(from, *msg.PermitRenew)
		return &api.PeerMessage{PermitRenew: &reply}
	case msg.PermitAdopt != nil:
		r.owner.HandleAdopt(from, *msg.PermitAdopt)
	case msg.ClaimRequest != nil:
		reply := r.claimOwner.Handle(ctx, *msg.ClaimRequest)
		return &api.PeerMessage{ClaimReply: &reply}
	case msg.ClaimUpdate != nil:
		reply := r.claimOwner.HandleUpdate(ctx, *msg.ClaimUpdate)
		return &api.PeerMessage{ClaimReply: &reply}
	case msg.Records != nil:
		r.keeper.HandleBatch(from, *msg.Records)
	case msg.InstanceStates != nil:
		r.owner.HandleInstances(*msg.InstanceStates)
	case msg.NotesRequest != nil:
		reply := r.syncer.Serve(*msg.NotesRequest)
		return &api.PeerMessage{NotesReply: &reply}
	}
	return nil
}
