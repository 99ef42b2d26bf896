package router

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// fakeNetwork is a Network in which one router owns every name. It returns the reply
// after a delay and records the messages.
type fakeNetwork struct {
	mu      sync.Mutex
	owner   string
	delay   time.Duration
	reply   api.PeerMessage
	err     error
	called  []api.PeerMessage
	sent    []api.PeerMessage
	sentTo  []string
	arrived chan struct{}
}

func (n *fakeNetwork) Self() string { return "self" }

func (n *fakeNetwork) OwnerOf(string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owner
}

func (n *fakeNetwork) Call(ctx context.Context, _ string, msg api.PeerMessage) (api.PeerMessage, error) {
	n.mu.Lock()
	n.called = append(n.called, msg)
	n.mu.Unlock()
	select {
	case <-time.After(n.delay):
		return n.reply, n.err
	case <-ctx.Done():
		return api.PeerMessage{}, ctx.Err()
	}
}

func (n *fakeNetwork) Send(router string, msg api.PeerMessage) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent = append(n.sent, msg)
	n.sentTo = append(n.sentTo, router)
	if n.arrived != nil {
		n.arrived <- struct{}{}
	}
	return nil
}

func grantReply(permit uint64, startBy time.Duration) api.PeerMessage {
	return api.PeerMessage{PermitReply: &api.PermitReply{Permit: permit, StartByMs: int(startBy / time.Millisecond)}}
}

func newPermitClient(network Network) *permitClient {
	return &permitClient{network: network, timeout: 20 * time.Millisecond, now: time.Now}
}

// Guards against a permit that arrives after the request's time-out and then occupies
// the endpoint for its hold time.
func TestLatePermitIsReturned(t *testing.T) {
	network := &fakeNetwork{
		owner:   "peer",
		delay:   80 * time.Millisecond,
		reply:   grantReply(7, time.Second),
		arrived: make(chan struct{}, 1),
	}
	client := newPermitClient(network)
	p, denied := client.acquire(context.Background(), api.PermitRequest{Endpoint: "e"}, 0)
	assert.Assert(t, p == nil)
	assert.Equal(t, denied.reason, api.RefusalOwnerUnreachable)
	<-network.arrived
	assert.DeepEqual(t, network.sent[0].PermitRelease.Permits, []uint64{7})
}

// Guards against a request that starts after its permit's start-by time. That time
// counts from the sending of the permit request, not from the arrival of the reply.
func TestExpiredPermitIsNotUsed(t *testing.T) {
	network := &fakeNetwork{owner: "peer", delay: 10 * time.Millisecond, reply: grantReply(7, 5*time.Millisecond)}
	client := newPermitClient(network)
	p, denied := client.acquire(context.Background(), api.PermitRequest{Endpoint: "e"}, 0)
	assert.Assert(t, p == nil)
	assert.Equal(t, denied.reason, api.RefusalPermitExpired)
	assert.Equal(t, len(network.sent), 1)
}

// Guards against a new owner that does not count the requests started under permits
// of the previous owner.
func TestPermitsAreHandedToNewOwner(t *testing.T) {
	network := &fakeNetwork{owner: "peer", reply: grantReply(7, time.Second)}
	client := newPermitClient(network)
	p, denied := client.acquire(context.Background(), api.PermitRequest{Endpoint: "e", Workspace: "w"}, 0)
	assert.Assert(t, denied == nil)
	network.mu.Lock()
	network.owner = "other"
	network.mu.Unlock()
	client.ownersChanged()
	assert.Equal(t, network.sentTo[0], "other")
	assert.DeepEqual(t, network.sent[0].PermitAdopt.Held, []api.HeldPermit{{Permit: 7, Workspace: "w"}})
	client.release(p, api.PermitRelease{})
	assert.Equal(t, network.sentTo[1], "other")
}

// Guards against these faults: an owner gets one renewal message per endpoint instead of
// one for all; a permit that the owner does not know is not sent to it for adoption.
func TestRenewalIsOneMessagePerOwner(t *testing.T) {
	network := &fakeNetwork{owner: "peer", reply: grantReply(7, time.Second)}
	client := newPermitClient(network)
	for i, endpoint := range []string{"e", "f"} {
		network.reply = grantReply(uint64(7+i), time.Second)
		_, denied := client.acquire(context.Background(), api.PermitRequest{Endpoint: endpoint, Workspace: "w"}, 0)
		assert.Assert(t, denied == nil)
	}
	network.called = nil
	unknown := []api.EndpointPermits{{Endpoint: "f", Permits: []uint64{8}}}
	network.reply = api.PeerMessage{PermitRenew: &api.PermitRenew{Endpoints: unknown}}
	client.renewAll(context.Background())
	assert.Equal(t, len(network.called), 1)
	renewed := map[string][]uint64{}
	for _, entry := range network.called[0].PermitRenew.Endpoints {
		renewed[entry.Endpoint] = entry.Permits
	}
	assert.DeepEqual(t, renewed, map[string][]uint64{"e": {7}, "f": {8}})
	assert.Equal(t, len(network.sent), 1)
	assert.DeepEqual(t, network.sent[0].PermitAdopt, &api.PermitAdopt{
		Endpoint: "f", Held: []api.HeldPermit{{Permit: 8, Workspace: "w"}},
	})
}
