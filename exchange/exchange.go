// Package exchange sends datagrams between the routers of a fleet. The routers report
// how many requests they have in flight at each endpoint and for each prompt. A few of
// them, the relays, forward changes of the store to the others, and in a large fleet the
// sums of the reports. Relays also announce, for each kind of object, their head: the
// newest revision that they know. The traffic of a router does not grow with the fleet,
// except for that of relays and for a heartbeat at long intervals.
package exchange

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/mirror"
	"github.com/hornbeamproxy/hornbeamproxy/outage"
	"github.com/hornbeamproxy/hornbeamproxy/poison"
	"github.com/hornbeamproxy/hornbeamproxy/quota"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
	"github.com/hornbeamproxy/hornbeamproxy/timing"
)

const (
	// sendInterval is the time between two checks for datagrams that are due. Relays
	// announce their heads, and routers of a small fleet send their loads, each time.
	sendInterval = 250 * time.Millisecond
	// maxDatagram is the largest size of a datagram in bytes. A batch that does not fit
	// is sent in fragments.
	maxDatagram = 8 << 10
	// maxAssemblies bounds the number of kinds whose fragments are kept for a peer.
	maxAssemblies = 8
)

// message is the content of one datagram, encoded as CBOR.
type message struct {
	Router string `cbor:"1,keyasint"`
	// Loads are the numbers of requests that the sender has in flight, by endpoint id.
	// HasLoads is set if the message reports loads; endpoints that are missing from Loads
	// then have a load of 0.
	Loads    map[string]int         `cbor:"2,keyasint,omitempty"`
	HasLoads bool                   `cbor:"3,keyasint,omitempty"`
	Heads    map[string]mirror.Head `cbor:"4,keyasint,omitempty"` // by kind, from relays
	Batch    *mirror.Batch          `cbor:"5,keyasint,omitempty"`
	Relay    bool                   `cbor:"6,keyasint,omitempty"` // the sender is a relay
	// Key 7 is not used: earlier versions send totals of single endpoints in it.

	// Prompts are the numbers of requests that the sender has in flight, by
	// balance.PromptID. They belong to Loads. Earlier versions do not send them.
	Prompts map[uint32]int `cbor:"8,keyasint,omitempty"`
	// View is sent by a relay of a large fleet. Earlier versions ignore it.
	View *fleetView `cbor:"9,keyasint,omitempty"`
	// Fragment is a part of a batch that does not fit into one datagram. Earlier versions
	// ignore it and read the changes from the store.
	Fragment *fragment `cbor:"10,keyasint,omitempty"`
	// PoisonReport is what a router tells the relays of prompts that crash endpoints, and
	// PoisonAnnouncement what a relay tells all routers. Earlier versions ignore both.
	PoisonReport       *poison.Report `cbor:"11,keyasint,omitempty"`
	PoisonAnnouncement *poison.Report `cbor:"12,keyasint,omitempty"`
	// Leaving are the starts of endpoints that have told the sender that they leave. Earlier
	// versions ignore them.
	Leaving []uint64 `cbor:"13,keyasint,omitempty"`
	// RolloutReports are sent to the relays, and RolloutStatuses by a relay, while a staged
	// roll-out is running. Earlier versions ignore both.
	RolloutReports  []RolloutReport `cbor:"14,keyasint,omitempty"`
	RolloutStatuses []RolloutStatus `cbor:"15,keyasint,omitempty"`
	// Demand is a router's report of the demand for services whose room is full, and FleetDemand the
	// sum of all reports from the first relay. Earlier versions ignore both.
	Demand      []byte `cbor:"20,keyasint,omitempty"`
	FleetDemand []byte `cbor:"21,keyasint,omitempty"`
	// StoreAnswers are the answers of the store that the sender knows of. Earlier versions ignore
	// them.
	StoreAnswers *storeAnswers `cbor:"22,keyasint,omitempty"`
}

// Peer is the registration of a router.
type Peer struct {
	Address string // UDP, IP:PORT
	// LinkMbps is the capacity of the router's link; 0 if it is not known.
	LinkMbps float64
}

// Config holds what an Exchange needs.
type Config struct {
	Router  string // id of this router
	Peer           // this router
	Logger  *zap.Logger
	Metrics *telemetry.Metrics
	// Guard runs the handling of each message.
	Guard telemetry.Guard
	// Loads returns the numbers of requests that this router has in flight.
	Loads func() Loads
	// ReceiveLoad is called in a small fleet with the number of requests that another
	// router has in flight at an endpoint.
	ReceiveLoad func(router, endpointID string, requests int)
	// ReceivePrompts is called in a small fleet with the numbers of requests that another router has in
	// flight, by balance.PromptID.
	ReceivePrompts func(router string, requests map[uint32]int)
	// ReceiveFleetLoads is called in a large fleet with the numbers of requests that all
	// other routers together have in flight: at an endpoint, and by balance.PromptID.
	ReceiveFleetLoads func(atEndpoint func(endpointID string) int, prompts map[uint32]int)
	// PoisonReport returns what this router has to tell the relays of prompts that crash
	// endpoints, and PoisonAnnouncement what it announces as a relay; nil for nothing.
	PoisonReport, PoisonAnnouncement func() *poison.Report
	// ReceivePoison is called with the report of a router, or with the announcement of a
	// relay.
	ReceivePoison func(report *poison.Report, announcement bool)
	// TakeLeaving returns the starts of endpoints that have told this router that they leave.
	// ReceiveLeaving is called with those that told another router.
	TakeLeaving    func() []uint64
	ReceiveLeaving func(starts []uint64)
	// Rollouts connects the staged roll-outs; nil if they are off.
	Rollouts Rollouts
	// Demands returns the demand for the services whose room is full. ReceiveDemands is called with
	// the sums of all routers. Both are nil if the room of services is not shared.
	Demands        func() Demands
	ReceiveDemands func(sums Demands)
	// Outages receives the answers of the store that other routers report, and supplies those that
	// this router reports. Nil means that nothing is reported.
	Outages *outage.Tracker
	// ReceiveBatch is called with the changes that a relay forwards.
	ReceiveBatch func(batch mirror.Batch)
}

// Exchange sends and receives datagrams. It is safe for concurrent use.
type Exchange struct {
	config Config
	socket *net.UDPConn

	mu             sync.Mutex
	peers          map[string]*peer // by router id
	relayOrder     []*peer          // peers in the order in which they become relays
	predecessors   []*peer          // the peers that become relays before this router does
	routers        *quota.Routers
	ids            []string               // of all routers, including this one
	heads          map[string]mirror.Head // what this router announces as a relay, by kind
	pending        []pendingBatch         // oldest first
	rank           int                    // number of relays among predecessors; below relayCount, this router is a relay
	reported       Loads                  // what this router last sent to the relays of a large fleet
	reportedAt     time.Time              // when that was
	relaySince     time.Time              // when this router became a relay; zero if it is none
	viewSentAt     time.Time              // when this router last sent a view
	surges         surgeDetector          // of the reports to this router
	demandSentAt   time.Time              // when sendDemand last sent; used by Send only
	heartbeatIndex int                    // index in relayOrder of the peer that got the last heartbeat
	rolloutsSentAt time.Time              // when this router last sent its rollout reports
	rolloutsFailed uint32                 // the failed answers of targets in these
}

// peer is another router.
type peer struct {
	id        string
	linkMbps  float64 // 0 if not known
	address   netip.AddrPort
	lastHeard time.Time
	headsAt   time.Time // when the heads below were received
	heads     map[string]mirror.Head
	// relayAt is when the peer's last message as a relay arrived. expectedAt is the
	// time since which the peer is expected to be a relay; zero if it is not expected.
	relayAt, expectedAt time.Time
	// loads and prompts are the newest loads received from the peer, at loadsAt.
	// Endpoints that are missing from the peer's next loads are set to 0.
	loads   map[string]int
	prompts map[uint32]int
	loadsAt time.Time
	viewAt  time.Time // when the peer's last view arrived
	// demands are those of the peer's newest report, at demandsAt.
	demands   Demands
	demandsAt time.Time
	// assemblies are the batches of which fragments have arrived, by kind.
	assemblies map[string]*assembly
}

// Listen opens the UDP socket and returns an Exchange without peers.
func Listen(config Config) (*Exchange, error) {
	address, err := net.ResolveUDPAddr("udp4", config.Address)
	if err != nil {
		return nil, fmt.Errorf("resolving address for peers: %w", err)
	}
	if config.Outages == nil {
		config.Outages = outage.New(outage.Config{})
	}
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("listening for peers: %w", err)
	}
	return &Exchange{
		config: config, socket: socket, peers: map[string]*peer{}, heads: map[string]mirror.Head{},
	}, nil
}

// SetPeers replaces the peers with the registered routers, by id. This router may be among
// them; it and routers without a valid address are skipped.
func (e *Exchange) SetPeers(registered map[string]Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range e.peers {
		if _, ok := registered[id]; !ok {
			delete(e.peers, id)
		}
	}
	for id, entry := range registered {
		address, err := netip.ParseAddrPort(entry.Address)
		if err != nil || id == e.config.Router {
			continue
		}
		if known, ok := e.peers[id]; ok && known.address == address {
			known.linkMbps = entry.LinkMbps
			continue
		}
		e.peers[id] = &peer{id: id, address: address, linkMbps: entry.LinkMbps, loads: map[string]int{}, assemblies: map[string]*assembly{}}
	}
	e.ids = []string{e.config.Router}
	e.relayOrder = e.relayOrder[:0]
	for id, p := range e.peers {
		e.ids = append(e.ids, id)
		e.relayOrder = append(e.relayOrder, p)
	}
	slices.SortFunc(e.relayOrder, compareRelayOrder)
	self := &peer{id: e.config.Router, linkMbps: e.config.LinkMbps}
	place, _ := slices.BinarySearchFunc(e.relayOrder, self, compareRelayOrder)
	e.predecessors = e.relayOrder[:place]
	e.routers = quota.NewRouters(e.config.Router, e.ids)
	e.rank = e.computeRank(time.Now())
}

// Routers returns the registered routers, or nil before SetPeers.
func (e *Exchange) Routers() *quota.Routers {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.routers
}

// Send sends datagrams until ctx ends, and returns nil.
func (e *Exchange) Send(ctx context.Context) error {
	ticks := 0
	return timing.Every(ctx, reportInterval, func(now time.Time) {
		e.sendPoisonReport(now)
		e.announcePoison()
		e.sendRolloutReports(now)
		e.sendDemand(now)
		if leaving := e.config.TakeLeaving(); len(leaving) > 0 {
			e.broadcast(&message{Router: e.config.Router, Leaving: leaving})
		}
		if ticks++; ticks%int(sendInterval/reportInterval) == 0 {
			e.sendDue(now)
			return
		}
		e.sendReport(now)
	})
}

// sendDue sends the datagrams that are due: loads, heads if this router is a relay,
// heartbeats, and the batches that no relay of a lower rank has announced in time.
func (e *Exchange) sendDue(now time.Time) {
	own, statuses := e.config.Loads(), e.rolloutStatuses()
	e.mu.Lock()
	e.rank = e.computeRank(now)
	outgoing := e.loadMessages(now, own)
	view := e.dueView(now, own)
	if e.rank < relayCount {
		outgoing = append(outgoing, e.toAll(&message{
			Router: e.config.Router, Relay: true, Heads: headsToSend(now, e.heads), View: view,
			RolloutStatuses: statuses, StoreAnswers: e.storeAnswers(now, true),
		})...)
	}
	outgoing = append(outgoing, e.heartbeats()...)
	overdue := e.overdueBatches(now)
	e.mu.Unlock()
	e.send(outgoing)
	if view != nil {
		e.applyView(view, own)
	}
	for i := range overdue {
		e.config.Metrics.Counter("exchange.news.backup").Inc(1)
		e.broadcastBatch(&overdue[i])
	}
}

// outgoingMessage is a message with the address of its receiver.
type outgoingMessage struct {
	to      netip.AddrPort
	message *message
}

// broadcast sends a message to all peers.
func (e *Exchange) broadcast(m *message) {
	e.mu.Lock()
	outgoing := e.toAll(m)
	e.mu.Unlock()
	e.send(outgoing)
}

// toAll returns the message for each peer. Callers hold e.mu.
func (e *Exchange) toAll(m *message) []outgoingMessage {
	outgoing := make([]outgoingMessage, 0, len(e.peers))
	for _, p := range e.peers {
		outgoing = append(outgoing, outgoingMessage{p.address, m})
	}
	return outgoing
}

// broadcastBatch sends a batch to all peers: in one datagram if it fits, otherwise in
// fragments, and without its objects if it is too large for that.
func (e *Exchange) broadcastBatch(batch *mirror.Batch) {
	whole := &message{Router: e.config.Router, Batch: batch}
	if encoded, err := cbor.Marshal(whole); err == nil && len(encoded) <= maxDatagram {
		e.broadcast(whole)
		return
	}
	parts, err := e.fragments(batch)
	if err != nil {
		e.config.Logger.Error("batch not sent in fragments", zap.String("kind", batch.Kind), zap.Uint64("revision", batch.To), zap.Error(err))
	}
	for _, part := range parts {
		e.broadcast(part)
	}
	if len(parts) == 0 {
		e.broadcast(&message{Router: e.config.Router, Batch: &mirror.Batch{Kind: batch.Kind, From: batch.From, To: batch.To, Partial: true}})
	}
}

// send encodes and sends the messages. A message that goes to several receivers in a row is
// encoded only once.
func (e *Exchange) send(outgoing []outgoingMessage) {
	var last *message
	var datagram []byte
	for _, next := range outgoing {
		if next.message != last {
			last, datagram = next.message, e.encode(next.message)
		}
		if datagram == nil {
			continue
		}
		if _, err := e.socket.WriteToUDPAddrPort(datagram, next.to); err != nil {
			e.config.Metrics.Counter("exchange.unsent").Inc(1)
			continue
		}
		e.config.Metrics.Counter("exchange.bytes.sent").Inc(int64(len(datagram)))
	}
}

// encode returns the datagram of a message, or nil if it can't be encoded or exceeds
// maxDatagram.
func (e *Exchange) encode(m *message) []byte {
	datagram, err := cbor.Marshal(m)
	if err != nil || len(datagram) > maxDatagram {
		e.config.Metrics.Counter("exchange.unsent").Inc(1)
		return nil
	}
	return datagram
}

// Close closes the socket, which ends Receive.
func (e *Exchange) Close() { _ = e.socket.Close() }
