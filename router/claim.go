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
	// check compares the number of shards with the fleet's; checked is set once
	// it has agreed.
	check   func(context.Context) error
	checked atomic.Bool
}

// claim is one attempt to run a call under its idempotency key.
type claim struct {
	request api.ClaimRequest
	// asked counts the requests that may have reached an owner.
	asked int
}

// claimRetryDelay is the pause before the shard's owner is asked again.
const claimRetryDelay = 50 * time.Millisecond

func shardOwnerName(shard int) string { return "claims/" + strconv.Itoa(shard) }

// acquire returns once the claim is granted, or its recorded outcome. Every
// other result is a refusal that is truly "not run": an attempt whose answer
// did not arrive is abandoned first, so that it can't run later.
func (c *claimClient) acquire(ctx context.Context, call *serviceCall) (*claim, api.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if !c.shardsAgree(ctx) {
		return nil, api.ClaimReply{}, claimRefusal(api.RefusalClaimUnavailable, "the fleet's claim shards are not known")
	}
	key := call.workspace.ID + "/" + call.service + "/" + call.key
	request, ok := c.attempts.Begin(claims.ShardOf(key, c.shards), key, call.bodyDigest())
	if !ok {
		return nil, api.ClaimReply{}, claimRefusal(api.RefusalClaimUnavailable, "too many claims are open at this router")
	}
	cl := &claim{request: request}
	for {
		reply, ok := c.ask(ctx, cl)
		if ok && reply.Result != api.ClaimResultUnavailable {
			err := c.decide(cl, reply)
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

// log writes a line about a decision on a claim.
func (c *claimClient) log(message string, cl *claim, fields ...zap.Field) {
	c.logger.Info(message, append(fields, zap.String("key", cl.request.Key), zap.String("attempt", cl.request.Attempt),
		zap.Int("shard", cl.request.Shard), zap.Int("asked", cl.asked))...)
}

// shardsAgree returns whether this router's number of shards is the fleet's. It
// asks the object API until it has got an answer once.
func (c *claimClient) shardsAgree(ctx context.Context) bool {
	if c.checked.Load() {
		return true
	}
	if err := c.check(ctx); err != nil {
		c.logger.Error("claims are refused", zap.Error(err))
		return false
	}
	c.checked.Store(true)
	return true
}

func (c *claimClient) decide(cl *claim, reply api.ClaimReply) error {
	if reply.Result == api.ClaimResultGranted {
		if !c.attempts.Granted(c.now(), cl.request) {
			return claimRefusal(api.RefusalClaimUnavailable, "the claim was abandoned")
		}
		return nil
	}
	c.drop(cl, reply)
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

// drop ends an attempt that was not granted. If an earlier request of it got no
// answer, that one may still be committed and has to be released.
func (c *claimClient) drop(cl *claim, reply api.ClaimReply) {
	if cl.asked > 1 {
		c.attempts.Abandon(c.now(), cl.request.Attempt)
		return
	}
	c.attempts.Refused(c.now(), cl.request.Attempt, reply)
}

// claimRefusal says "not run" of this request; an earlier one with the key may
// have run.
func claimRefusal(reason api.Refusal, detail string) error {
	return &refusal{reason: reason, notRun: true, detail: detail, retryAfter: time.Second}
}

// ask sends the request to the shard's owner. The same attempt may be asked
// about again, because an attempt runs at most once.
func (c *claimClient) ask(ctx context.Context, cl *claim) (api.ClaimReply, bool) {
	owner := c.network.OwnerOf(shardOwnerName(cl.request.Shard))
	cl.asked++
	if owner == c.network.Self() {
		return c.local.Handle(ctx, cl.request), true
	}
	reply, err := c.network.Call(ctx, owner, api.PeerMessage{ClaimRequest: &cl.request})
	if err != nil || reply.ClaimReply == nil {
		return api.ClaimReply{}, false
	}
	return *reply.ClaimReply, true
}

// complete records the outcome in the background until it is durable. A nil
// outcome means that it is unknown.
func (c *claimClient) complete(cl *claim, outcome *api.ClaimOutcome) {
	c.log("claim completed", cl, zap.Bool("outcome_known", outcome != nil))
	c.attempts.Complete(c.now(), cl.request.Attempt, outcome)
}

// release records that the call was not run, and returns whether that is
// durable already.
func (c *claimClient) release(ctx context.Context, cl *claim) bool {
	if !c.attempts.NotSent(c.now(), cl.request.Attempt) {
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

// run reports completed and released attempts until the context ends.
func (c *claimClient) run(ctx context.Context) error {
	claims.Report(ctx, c.attempts, claims.SystemClock{}, c.send)
	return nil
}

// send reports one update to the shard's owner.
func (c *claimClient) send(ctx context.Context, update api.ClaimUpdate) api.ClaimReply {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	owner := c.network.OwnerOf(shardOwnerName(update.Shard))
	if owner == c.network.Self() {
		return c.local.HandleUpdate(ctx, update)
	}
	reply, err := c.network.Call(ctx, owner, api.PeerMessage{ClaimUpdate: &update})
	if err != nil || reply.ClaimReply == nil {
		c.logger.Warn("claim update not acknowledged", zap.String("key", update.Key), zap.String("attempt", update.Attempt),
			zap.String("owner", owner), zap.Error(err))
		return api.ClaimReply{Result: api.ClaimResultUnavailable}
	}
	return *reply.ClaimReply
}
