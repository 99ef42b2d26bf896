package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/mirror"
	"github.com/hornbeamproxy/hornbeamproxy/outage"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

const (
	entryLifetime = 1800 * time.Millisecond
	entryGrace    = 2 * time.Second
)

// newWitness returns an exchange with a tracker of its own and two peers, r8 and r9.
func newWitness(t *testing.T, id int) (*Exchange, *outage.Tracker) {
	t.Helper()
	outages := outage.New(outage.Config{EntryLifetime: entryLifetime, Grace: entryGrace})
	e, err := Listen(Config{
		Router: fmt.Sprintf("r%d", id), Peer: Peer{Address: "127.0.0.1:0"}, Logger: zap.NewNop(), Metrics: telemetry.NewMetrics(),
		Outages: outages, ReceiveLoad: func(string, string, int) {}, ReceivePrompts: func(string, map[uint32]int) {},
	})
	assert.NilError(t, err)
	t.Cleanup(e.Close)
	e.SetPeers(map[string]Peer{"r8": {Address: "127.0.0.1:8"}, "r9": {Address: "127.0.0.1:9"}})
	return e, outages
}

// deliver encodes a message and hands it to a router.
func deliver(t *testing.T, to *Exchange, now time.Time, m message) {
	t.Helper()
	datagram, err := cbor.Marshal(m)
	assert.NilError(t, err)
	var decoded message
	assert.NilError(t, cbor.Unmarshal(datagram, &decoded))
	to.handleMessage(now, decoded)
}

// Guards against a router that takes its own partition for an outage although it is told that the
// store has answered others: by a relay, by a router that watches the store itself, by a relay of an
// earlier version, or by a relay that is cut off too and knows it from a third router.
func TestStoreAnswersOfOthers(t *testing.T) {
	start := time.Now()
	now := start.Add(6 * time.Second)
	head := mirror.Head{Changed: 1, Fresh: true, AnsweredAt: now.Add(-100 * time.Millisecond)}
	for name, send := range map[string]func(to *Exchange){
		"relay": func(to *Exchange) {
			e, outages := newWitness(t, 8)
			for s := range 6 {
				outages.RecordAnswer(start.Add(time.Duration(s) * time.Second))
			}
			deliver(t, to, now, message{Router: "r8", Relay: true, StoreAnswers: e.storeAnswers(now, true)})
		},
		"relay that has another router's report": func(to *Exchange) {
			e, outages := newWitness(t, 8)
			outages.RecordAnswer(start)
			for s := range 6 {
				at := start.Add(time.Duration(s) * time.Second)
				deliver(t, e, at, message{Router: "r9", HasLoads: true, StoreAnswers: &storeAnswers{}})
			}
			deliver(t, to, now, message{Router: "r8", Relay: true, StoreAnswers: e.storeAnswers(now, true)})
		},
		"no relay": func(to *Exchange) {
			e, outages := newWitness(t, 9)
			for s := range 6 {
				outages.RecordAnswer(start.Add(time.Duration(s) * time.Second))
			}
			deliver(t, to, now, message{Router: "r9", HasLoads: true, StoreAnswers: e.storeAnswers(now, false)})
		},
		"relay of an earlier version": func(to *Exchange) {
			for s := range 6 {
				at := start.Add(time.Duration(s) * time.Second)
				deliver(t, to, at, message{Router: "r8", Relay: true, Heads: headsToSend(at, map[string]mirror.Head{"k": {Fresh: true, AnsweredAt: at}})})
			}
			deliver(t, to, now, message{Router: "r8", Relay: true, Heads: headsToSend(now, map[string]mirror.Head{"k": head})})
		},
	} {
		t.Run(name, func(t *testing.T) {
			cut, outages := newWitness(t, 1)
			outages.RecordAnswer(start)
			outages.RecordFailure(start.Add(2 * time.Second))
			assert.Assert(t, outages.GraceUntil(now).After(now), "an outage as far as the router knows")
			send(cut)
			assert.Assert(t, !outages.GraceUntil(now).After(now))
		})
	}
}

// Guards against routers that are told of an outage and miss it: relays that lost the store's answers
// do not report any, nor does a stale head stand for one, and what they report after it says so.
func TestOutageIsReported(t *testing.T) {
	start := time.Now()
	relay, seen := newWitness(t, 8)
	follower, outages := newWitness(t, 1)
	seen.RecordAnswer(start)
	outages.RecordAnswer(start)
	seen.RecordFailure(start.Add(time.Second))
	lost := start.Add(3 * time.Second)
	assert.Assert(t, relay.storeAnswers(lost, true) == nil)
	stale := map[string]mirror.Head{"k": {Changed: 1, AnsweredAt: lost}}
	deliver(t, follower, lost, message{Router: "r8", Relay: true, Heads: headsToSend(lost, stale)})
	assert.Assert(t, outages.GraceUntil(lost).After(lost))
	back := start.Add(4 * time.Second)
	seen.RecordAnswer(back)
	deliver(t, follower, back, message{Router: "r8", Relay: true, StoreAnswers: relay.storeAnswers(back, true)})
	assert.Equal(t, outages.GraceUntil(back), back.Add(entryGrace))
}

// Guards against reports that use up the traffic that a router may spend on control: four a second
// from each of three relays.
func TestStoreAnswersSize(t *testing.T) {
	without, err := cbor.Marshal(message{Router: "r8", Relay: true})
	assert.NilError(t, err)
	with, err := cbor.Marshal(message{Router: "r8", Relay: true, StoreAnswers: &storeAnswers{SinceMS: 65535, UntilMS: 800}})
	assert.NilError(t, err)
	t.Logf("%d bytes", len(with)-len(without))
	assert.Assert(t, len(with)-len(without) <= 10)
}
