package router

import (
	"context"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// HandlePeer handles a message from another router, apart from gossip. It returns the
// reply, or nil for a one-way message or one of unknown type.
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
		r.records.HandleBatch(from, *msg.Records)
	case msg.InstanceStates != nil:
		r.owner.HandleInstances(*msg.InstanceStates)
	case msg.NotesRequest != nil:
		reply := r.syncer.Reply(*msg.NotesRequest)
		return &api.PeerMessage{NotesReply: &reply}
	}
	return nil
}
