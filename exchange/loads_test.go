package exchange

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/placement"
)

// offline returns the exchange of one router in a fleet of the given size. Send is not
// running, so it sends nothing.
func offline(t *testing.T, self, routers int) *Exchange {
	t.Helper()
	e, err := Listen(Config{Router: fmt.Sprintf("r%d", self), Peer: Peer{Address: "127.0.0.1:0"}})
	assert.NilError(t, err)
	t.Cleanup(e.Close)
	addresses := map[string]Peer{}
	for i := range routers {
		addresses[fmt.Sprintf("r%d", i)] = Peer{Address: fmt.Sprintf("127.0.0.1:%d", 1000+i)}
	}
	e.SetPeers(addresses)
	return e
}

// Guards against two faults in a large fleet: routers with requests at the same endpoint
// do not receive its total; the total is not reset after the requests have ended.
func TestLoadsThroughOwner(t *testing.T) {
	fleet := newFleet(t, maxDirectRouters+3)
	owner := placement.Owner("e", fleet[0].ids)
	var users []*router
	for _, r := range fleet {
		if r.config.Router != owner && len(users) < 2 {
			users = append(users, r)
		}
	}
	set := func(r *router, requests int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.own["e"] = requests
		if requests == 0 {
			delete(r.own, "e")
		}
	}
	set(users[0], 3)
	set(users[1], 2)
	eventually(t, "totals", func() bool {
		return users[0].load(allOthers+"/e") == 2 && users[1].load(allOthers+"/e") == 3
	})
	set(users[1], 0)
	eventually(t, "the total falls", func() bool { return users[0].load(allOthers+"/e") == 0 })
	for _, r := range fleet {
		if r.config.Router == owner {
			assert.Equal(t, r.load(users[0].config.Router+"/e"), 3)
			assert.Equal(t, r.load(users[1].config.Router+"/e"), 0)
		}
	}
}

// Guards against control traffic per router that grows with the fleet.
func TestDatagramsOfLargeFleet(t *testing.T) {
	now := time.Unix(1000, 0)
	own := map[string]int{"a": 1, "b": 2, "c": 1, "d": 4, "e": 1}
	for _, routers := range []int{maxDirectRouters + 1, 350} {
		e := offline(t, 0, routers)
		for i, p := range e.relayOrder[:5] {
			p.lastHeard, p.loads = now, map[string]int{fmt.Sprintf("x%d", i): 1}
		}
		assert.Assert(t, len(e.loadMessages(now, own)) <= 10, "5 reports and 5 totals")
		assert.Equal(t, len(e.loadMessages(now.Add(sendInterval), own)), 0, "not due yet")
		assert.Assert(t, len(e.heartbeats()) <= 9)
	}
}

// Guards against a load interval that does not grow with the fleet: each router would
// receive more datagrams the larger the fleet is.
func TestLoadInterval(t *testing.T) {
	for routers, want := range map[int]time.Duration{1: 250, 32: 250, 33: 500, 91: 750, maxDirectRouters: 1000, maxDirectRouters + 1: 500, 350: 500} {
		assert.Equal(t, offline(t, 0, routers).loadInterval(), want*time.Millisecond, "%d routers", routers)
	}
}

// Guards against peers that get no heartbeat within heartbeatInterval.
func TestHeartbeatsReachAll(t *testing.T) {
	e := offline(t, 0, 200)
	reached := map[string]bool{}
	for range heartbeatInterval / sendInterval {
		for _, next := range e.heartbeats() {
			reached[next.to.String()] = true
		}
	}
	assert.Equal(t, len(reached), 199)
}

// Guards against a fleet in which all routers become relays when one relay stops sending,
// and against a fleet in which no router becomes a relay.
func TestRank(t *testing.T) {
	now := time.Now()
	probe := offline(t, 0, 10)
	var order []string
	for _, p := range probe.relayOrder {
		order = append(order, p.id)
	}
	last := order[len(order)-1]
	var self int
	_, err := fmt.Sscanf(last, "r%d", &self)
	assert.NilError(t, err)
	e := offline(t, self, 10)
	relays := func() int { return e.computeRank(now) }
	assert.Equal(t, relays(), relayCount, "those that come first are expected to be relays")
	now = now.Add(relayTimeout / 2)
	for _, p := range e.relayOrder[:relayCount] {
		p.relayAt = now
	}
	now = now.Add(relayTimeout)
	assert.Equal(t, relays(), relayCount, "the next three are expected in their place")
	now = now.Add(relayTimeout)
	e.relayOrder[3].relayAt = now
	assert.Equal(t, relays(), relayCount, "one of them is heard, and two more are expected")
	for range 10 {
		now = now.Add(relayTimeout)
		relays()
	}
	assert.Equal(t, relays(), 0, "no relay is heard")
}

// Guards against a relay on a small link while routers with larger ones exist: batches
// sent to the whole fleet would exceed the small link.
func TestRelaysHaveLargeLinks(t *testing.T) {
	registered := map[string]Peer{}
	for i := range 40 {
		link := 10.0
		if i%10 == 3 {
			link = 200
		}
		registered[fmt.Sprintf("r%d", i)] = Peer{Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), LinkMbps: link}
	}
	e := offline(t, 0, 1)
	e.config.LinkMbps = 10
	e.SetPeers(registered)
	for _, p := range e.relayOrder[:4] {
		assert.Equal(t, p.linkMbps, 200.0)
	}
	assert.Equal(t, e.computeRank(time.Now()), relayCount)
}
