package router

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/claims"
)

// claimAnswerer decides on claims of the shards that this router owns.
type claimAnswerer interface {
	Handle(ctx context.Context, r api.ClaimRequest) api.ClaimReply
	HandleUpdate(ctx context.Context, u api.ClaimUpdate) api.ClaimReply
}

// claimClient acquires claims for this router's callers and records what became
// of them.
type claimClient struct {
	network  Network
	local    claimAnswerer
	logger   *zap.Logger
	shards   int
	timeout  time.Duration
	now      func() time.Time
	attempts *claims.Attempts
}

// claim is one attempt to run a call under its idempotency key.
type claim struct {
	shard   int
	key     string
	attempt string
	digest  string
}

// claimRetryDelay is the pause before the shard's owner is asked again.
const claimRetryDelay = 50 * time.Millisecond

func shardOwnerName(shard int) string { return "claims/" + strconv.Itoa(shard) }

func (c *claimClient) newClaim(call *serviceCall) *claim {
	key := call.workspace.ID + "/" + call.service + "/" + call.key
	return &claim{
		shard:   claims.ShardOf(key, c.shards),
		key:     key,
		attempt: call.id,
		digest:  call.bodyDigest(),
	}
}

// acquire returns once the claim is granted, or its recorded outcome. Every
// other result is a refusal that is truly "not run": an attempt whose answer
// did not arrive is abandoned first, so that it can't run later.
func (c *claimClient) acquire(ctx context.Context, cl *claim) (api.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if !c.attempts.Begin(cl.shard, cl.key, cl.attempt) {
		return api.ClaimReply{}, claimRefusal(api.RefusalClaimUnavailable, "too many claims are open at this router")
	}
	request := api.ClaimRequest{
		Shard:      cl.shard,
		Key:        cl.key,
		Attempt:    cl.attempt,
		Router:     c.network.Self(),
		BodyDigest: cl.digest,
	}
	for {
		reply, ok := c.ask(ctx, request)
		if ok && reply.Result != api.ClaimResultUnavailable {
			return c.decide(cl, reply)
		}
		if !c.pause(ctx) {
			c.attempts.Abandon(cl.attempt)
			return api.ClaimReply{}, claimRefusal(api.RefusalClaimUnavailable, "the key could not be claimed")
		}
	}
}

func (c *claimClient) decide(cl *claim, reply api.ClaimReply) (api.ClaimReply, error) {
	if reply.Result == api.ClaimResultGranted {
		if !c.attempts.Start(cl.attempt) {
			return api.ClaimReply{}, claimRefusal(api.RefusalClaimUnavailable, "the claim was abandoned")
		}
		return reply, nil
	}
	c.attempts.Forget(cl.attempt)
	switch reply.Result {
	case api.ClaimResultDone:
		return reply, nil
	case api.ClaimResultInProgress:
		return reply, claimRefusal(api.RefusalClaimInProgress, "a call with this key is in progress")
	case api.ClaimResultOutcomeUnknown:
		return reply, &refusal{reason: api.RefusalClaimOutcomeUnknown, detail: "a call with this key may have run; its outcome is unknown"}
	case api.ClaimResultBodyMismatch:
		return reply, claimRefusal(api.RefusalClaimBodyMismatch, "this key was used for another request")
	}
	return reply, claimRefusal(api.RefusalClaimUnavailable, "the key could not be claimed")
}

// claimRefusal says "not run" of this request; an earlier one with the key may
// have run.
func claimRefusal(reason api.Refusal, detail string) error {
	return &refusal{reason: reason, notRun: true, detail: detail, retryAfter: time.Second}
}

func (c *claimClient) pause(ctx context.Context) bool {
	timer := time.NewTimer(claimRetryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ask sends the request to the shard's owner. The same attempt may be asked
// about again, because an attempt runs at most once.
func (c *claimClient) ask(ctx context.Context, request api.ClaimRequest) (api.ClaimReply, bool) {
	owner := c.network.OwnerOf(shardOwnerName(request.Shard))
	if owner == c.network.Self() {
		return c.local.Handle(ctx, request), true
	}
	reply, err := c.network.Call(ctx, owner, api.PeerMessage{ClaimRequest: &request})
	if err != nil || reply.ClaimReply == nil {
		return api.ClaimReply{}, false
	}
	return *reply.ClaimReply, true
}

// complete records the outcome; it is written in the background until it is
// durable.
func (c *claimClient) complete(cl *claim, outcome api.ClaimOutcome) {
	c.attempts.Complete(cl.attempt, outcome)
}

// release records that the call was not run, and returns whether that is
// durable already.
func (c *claimClient) release(ctx context.Context, cl *claim) bool {
	c.attempts.Abandon(cl.attempt)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.attempts.Wait(ctx, cl.attempt)
}

// send reports one update to the shard's owner. It returns true when the update
// is durable.
func (c *claimClient) send(ctx context.Context, update api.ClaimUpdate) bool {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	owner := c.network.OwnerOf(shardOwnerName(update.Shard))
	if owner == c.network.Self() {
		return c.local.HandleUpdate(ctx, update).Result == api.ClaimResultDone
	}
	reply, err := c.network.Call(ctx, owner, api.PeerMessage{ClaimUpdate: &update})
	return err == nil && reply.ClaimReply != nil && reply.ClaimReply.Result == api.ClaimResultDone
}
