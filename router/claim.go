package router

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/claims"
	"github.com/hornbeamproxy/hornbeamproxy/timing"
)

// claimHandler handles claim requests and updates for the shards that this router owns.
type claimHandler interface {
	Handle(ctx context.Context, r api.ClaimRequest) api.ClaimReply
	HandleUpdate(ctx context.Context, u api.ClaimUpdate) api.ClaimReply
}

// claimClient acquires claims for the calls of this router and records their
// outcomes.
type claimClient struct {
	network  Network
	local    claimHandler
	logger   *zap.Logger
	shards   int
	timeout  time.Duration
	now      func() time.Time
	attempts *claims.Attempts
	// checkShardCount compares this router's number of claim shards with the fleet's,
	// which is stored in the object API. shardCountChecked is set once a check has found
	// them equal.
	checkShardCount   func(context.Context) error
	shardCountChecked atomic.Bool
}

// claim is one attempt to run a call under its idempotency key.
type claim struct {
	request api.ClaimRequest
	// requestsSent counts the claim requests of this attempt that may have reached an
	// owner of the shard.
	requestsSent int
}

// claimRetryDelay is the pause before a claim request is repeated, and between two
// checks of whether outcomes are recorded.
const claimRetryDelay = 50 * time.Millisecond

// shardOwnershipKey is the name by which the owner of a claim shard is determined.
func shardOwnershipKey(shard int) string { return "claims/" + strconv.Itoa(shard) }

// acquire claims the call's idempotency key. It returns the granted claim, or a
// reply with the recorded outcome of an earlier call; any other result is an error of
// type *refusal. If no owner has decided within the claim time-out, acquire abandons the
// attempt before it returns. The call then can't run under a late grant, so the refusal
// may state that this request was not run.
func (c *claimClient) acquire(ctx context.Context, call *serviceCall) (*claim, api.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if !c.shardCountMatches(ctx) {
		return nil, api.ClaimReply{}, claimRefusal(api.RefusalClaimUnavailable, "the fleet's claim shards are not known")
	}
	key := call.workspace.ID + "/" + call.service + "/" + call.idempotencyKey
	request, ok := c.attempts.Begin(claims.ShardOf(key, c.shards), key, call.digest())
	if !ok {
		return nil, api.ClaimReply{}, claimRefusal(api.RefusalClaimUnavailable, "too many claims are open at this router")
	}
	cl := &claim{request: request}
	for {
		reply, ok := c.callOwner(ctx, cl)
		if ok && reply.Result != api.ClaimResultUnavailable {
			err := c.handleReply(cl, reply)
			c.log("claim decided", cl, zap.String("result", string(reply.Result)), zap.Error(err))
			return cl, reply, err
		}
		if !timing.Pause(ctx, claimRetryDelay) {
			c.attempts.Abandon(c.now(), cl.request.Attempt)
			c.log("claim abandoned", cl)
			return nil, api.ClaimReply{}, claimRefusal(api.RefusalClaimUnavailable, "the key could not be claimed")
		}
	}
}

// log writes a message about a claim with its key, attempt and shard.
func (c *claimClient) log(message string, cl *claim, fields ...zap.Field) {
	c.logger.Info(message, append(fields, zap.String("key", cl.request.Key), zap.String("attempt", cl.request.Attempt),
		zap.Int("shard", cl.request.Shard), zap.Int("asked", cl.requestsSent))...)
}

// shardCountMatches reports whether this router is configured with the same number
// of claim shards as the fleet. Each call checks that in the object API until one
// check has succeeded.
func (c *claimClient) shardCountMatches(ctx context.Context) bool {
	if c.shardCountChecked.Load() {
		return true
	}
	if err := c.checkShardCount(ctx); err != nil {
		c.logger.Error("checking the number of claim shards failed; refusing claims", zap.Error(err))
		return false
	}
	c.shardCountChecked.Store(true)
	return true
}

// handleReply returns nil if the claim is granted or the reply holds a recorded
// outcome, and the refusal to send otherwise.
func (c *claimClient) handleReply(cl *claim, reply api.ClaimReply) error {
	if reply.Result == api.ClaimResultGranted {
		if !c.attempts.HandleGrant(c.now(), cl.request) {
			return claimRefusal(api.RefusalClaimUnavailable, "the claim was abandoned")
		}
		return nil
	}
	c.endRefusedAttempt(cl, reply)
	switch reply.Result {
	case api.ClaimResultDone:
		return nil
	case api.ClaimResultInProgress:
		return claimRefusal(api.RefusalClaimInProgress, "a call with this key is in progress")
	case api.ClaimResultOutcomeUnknown:
		return &refusal{reason: api.RefusalClaimOutcomeUnknown, detail: "a call with this key may have run; its outcome is unknown"}
	case api.ClaimResultBodyMismatch:
		return claimRefusal(api.RefusalClaimBodyMismatch, "this key was used for another request")
	}
	return claimRefusal(api.RefusalClaimUnavailable, "the key could not be claimed")
}

// endRefusedAttempt ends an attempt that was not granted. If the attempt sent more than
// one claim request, the owner may still commit an earlier one, whose claim then has to
// be released.
func (c *claimClient) endRefusedAttempt(cl *claim, reply api.ClaimReply) {
	if cl.requestsSent > 1 {
		c.attempts.Abandon(c.now(), cl.request.Attempt)
		return
	}
	c.attempts.HandleRefusal(c.now(), cl.request.Attempt, reply)
}

// claimRefusal returns a refusal with notRun set, which says that this request was not
// run. An earlier request with the same key may have run.
func claimRefusal(reason api.Refusal, detail string) error {
	return &refusal{reason: reason, notRun: true, detail: detail, retryAfter: time.Second}
}

// callOwner sends the claim request to the shard's owner. It returns false if no reply
// arrived. The same request may be sent again, because the call runs at most once per
// attempt.
func (c *claimClient) callOwner(ctx context.Context, cl *claim) (api.ClaimReply, bool) {
	owner := c.network.OwnerOf(shardOwnershipKey(cl.request.Shard))
	cl.requestsSent++
	if owner == c.network.Self() {
		return c.local.Handle(ctx, cl.request), true
	}
	reply, err := c.network.Call(ctx, owner, api.PeerMessage{ClaimRequest: &cl.request})
	if err != nil || reply.ClaimReply == nil {
		return api.ClaimReply{}, false
	}
	return *reply.ClaimReply, true
}

// complete queues the call's outcome. The loop in run reports it to the shard's owner
// until it is durable. A nil outcome means that the outcome is unknown.
func (c *claimClient) complete(cl *claim, outcome *api.ClaimOutcome) {
	c.log("claim completed", cl, zap.Bool("outcome_known", outcome != nil))
	c.attempts.Complete(c.now(), cl.request.Attempt, outcome)
}

// release records that the call was not run. It waits for at most the claim time-out
// and returns whether the release is durable.
func (c *claimClient) release(ctx context.Context, cl *claim) bool {
	if !c.attempts.ReleaseUnsent(c.now(), cl.request.Attempt) {
		return false
	}
	c.log("claim released", cl)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.timeout)
	defer cancel()
	for !c.attempts.Reported(cl.request.Attempt) {
		if !timing.Pause(ctx, claimRetryDelay) {
			return false
		}
	}
	return true
}

// run reports completed and released attempts to the shards' owners until ctx ends.
func (c *claimClient) run(ctx context.Context) error {
	claims.ReportOutcomes(ctx, c.attempts, claims.SystemClock{}, c.sendUpdate)
	return nil
}

// sendUpdate reports one update to the shard's owner and returns the owner's reply. If
// no reply arrived, it returns one with ClaimResultUnavailable.
func (c *claimClient) sendUpdate(ctx context.Context, update api.ClaimUpdate) api.ClaimReply {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	owner := c.network.OwnerOf(shardOwnershipKey(update.Shard))
	if owner == c.network.Self() {
		return c.local.HandleUpdate(ctx, update)
	}
	reply, err := c.network.Call(ctx, owner, api.PeerMessage{ClaimUpdate: &update})
	if err != nil || reply.ClaimReply == nil {
		c.logger.Warn("no reply to claim update", zap.String("key", update.Key), zap.String("attempt", update.Attempt),
			zap.String("owner", owner), zap.Error(err))
		return api.ClaimReply{Result: api.ClaimResultUnavailable}
	}
	return *reply.ClaimReply
}
