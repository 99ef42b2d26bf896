// Package exchange lets the routers tell each other, in datagrams, how many
// requests they have at each endpoint, and lets a few of them, the relays, pass
// on what changes in the store. What a router sends and receives does not grow with
// the fleet, but for the relays and for a slow heartbeat.
package exchange

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/mirror"
	"github.com/hornbeamproxy/hornbeamproxy/quota"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
	"github.com/hornbeamproxy/hornbeamproxy/timing"
)

const (
	// beatInterval is the time between two datagrams of a relay, and of any
	// router in a small fleet.
	beatInterval = 250 * time.Millisecond
	// maxDatagram bounds a datagram. News that do not fit are sent without their
	// objects.
	maxDatagram = 8 << 10
)

// message is one datagram.
type message struct {
	Router string `cbor:"1,keyasint"`
	// Loads are the sender's requests by endpoint id, as far as they concern the
	// receiver. With Whole, endpoints that are missing have none.
	Loads map[string]int         `cbor:"2,keyasint,omitempty"`
	Whole bool                   `cbor:"3,keyasint,omitempty"`
	Heads map[string]mirror.Head `cbor:"4,keyasint,omitempty"` // by kind
	News  *mirror.News           `cbor:"5,keyasint,omitempty"`
	Relay bool                   `cbor:"6,keyasint,omitempty"` // the sender is a relay
	// Totals are the requests that all routers but the receiver have at endpoints
	// of which it reported some.
	Totals map[string]int `cbor:"7,keyasint,omitempty"`
}

// Peer is a router as it is registered.
type Peer struct {
	Address string // UDP, IP:PORT
	// LinkMbps is the capacity of its link; 0 if it is not known.
	LinkMbps float64
}

// Config holds what an Exchange needs.
type Config struct {
	Router  string
	Peer    // this router
	Logger  *zap.Logger
	Metrics *telemetry.Metrics
	// Loads returns this router's requests by endpoint.
	Loads func() map[string]int
	// ReceiveLoad takes the requests that another router, or all others together,
	// have at an endpoint.
	ReceiveLoad func(router, endpointID string, requests int)
	// ReceiveNews takes what a relay passes on.
	ReceiveNews func(news mirror.News)
}

// Exchange sends and receives datagrams. Safe for concurrent use.
type Exchange struct {
	config Config
	socket *net.UDPConn

	mu      sync.Mutex
	peers   map[string]*peer // by router id
	order   []*peer          // the peers in the order in which they become relays
	before  []*peer          // those of them that come before this router
	fleet   *quota.Fleet
	ids     []string               // of all routers, with this one
	heads   map[string]mirror.Head // what this router announces
	pending []pendingNews
	rank    int       // among the relays; relays have a rank below relayCount
	loadsAt time.Time // when the loads were sent
	turn    int       // of the heartbeat
}

// peer is another router.
type peer struct {
	id      string
	link    float64 // Mbit/s
	address netip.AddrPort
	heard   time.Time
	headsAt time.Time
	heads   map[string]mirror.Head
	// relayAt is when the peer was last heard as a relay, and expectedAt since when
	// it should be one; zero if it need not.
	relayAt, expectedAt time.Time
	// loads are the endpoints in the newest datagram, so that those that are
	// missing in the next one are set to 0.
	loads map[string]int
	// told says that the newest loads sent to the peer were not empty.
	told bool
}

// Listen opens the socket.
func Listen(config Config) (*Exchange, error) {
	address, err := net.ResolveUDPAddr("udp4", config.Address)
	if err != nil {
		return nil, fmt.Errorf("peers' address: %w", err)
	}
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	return &Exchange{
		config: config, socket: socket, peers: map[string]*peer{}, heads: map[string]mirror.Head{},
	}, nil
}

// SetPeers replaces the routers that are sent to, by id. This router may be among
// them.
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
			known.link = entry.LinkMbps
			continue
		}
		e.peers[id] = &peer{id: id, address: address, link: entry.LinkMbps, loads: map[string]int{}}
	}
	e.ids = []string{e.config.Router}
	e.order = e.order[:0]
	for id, p := range e.peers {
		e.ids = append(e.ids, id)
		e.order = append(e.order, p)
	}
	slices.SortFunc(e.order, compareOrder)
	self := &peer{id: e.config.Router, link: e.config.LinkMbps}
	place, _ := slices.BinarySearchFunc(e.order, self, compareOrder)
	e.before = e.order[:place]
	e.fleet = quota.NewFleet(e.config.Router, e.ids)
	e.rank = e.rankNow(time.Now())
}

// Fleet returns the routers that are registered, and nil before they are known.
func (e *Exchange) Fleet() *quota.Fleet {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fleet
}

// Send sends datagrams until ctx ends.
func (e *Exchange) Send(ctx context.Context) error {
	return timing.Every(ctx, beatInterval, e.beat)
}

// beat sends what is due: the loads, the heads of a relay, a heartbeat, and the news
// that the first relay has not passed on.
func (e *Exchange) beat(now time.Time) {
	own := e.config.Loads()
	e.mu.Lock()
	e.rank = e.rankNow(now)
	outgoing := e.loadMessages(now, own)
	if e.rank < relayCount {
		m := &message{Router: e.config.Router, Relay: true, Heads: maps.Clone(e.heads)}
		for _, p := range e.peers {
			outgoing = append(outgoing, addressed{p.address, m})
		}
	}
	outgoing = append(outgoing, e.heartbeats()...)
	late := e.lateNews(now)
	e.mu.Unlock()
	e.send(outgoing)
	for i := range late {
		e.config.Metrics.Counter("exchange.news.backup").Inc(1)
		e.broadcast(&message{Router: e.config.Router, News: &late[i]})
	}
}

// addressed is a datagram with its receiver.
type addressed struct {
	to netip.AddrPort
	m  *message
}

// broadcast sends a datagram to all peers.
func (e *Exchange) broadcast(m *message) {
	e.mu.Lock()
	outgoing := make([]addressed, 0, len(e.peers))
	for _, p := range e.peers {
		outgoing = append(outgoing, addressed{p.address, m})
	}
	e.mu.Unlock()
	e.send(outgoing)
}

// send writes datagrams. One that follows with the same message is encoded once.
func (e *Exchange) send(outgoing []addressed) {
	var last *message
	var datagram []byte
	for _, next := range outgoing {
		if next.m != last {
			last, datagram = next.m, e.encode(next.m)
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

// encode returns the datagram of a message, or nil if it is too large to be sent.
func (e *Exchange) encode(m *message) []byte {
	datagram, err := cbor.Marshal(m)
	if err == nil && len(datagram) > maxDatagram && m.News != nil {
		short := *m
		short.News = &mirror.News{Kind: m.News.Kind, From: m.News.From, To: m.News.To, Partial: true}
		datagram, err = cbor.Marshal(short)
	}
	if err != nil || len(datagram) > maxDatagram {
		e.config.Metrics.Counter("exchange.unsent").Inc(1)
		return nil
	}
	return datagram
}

// Receive takes datagrams until the socket is closed.
func (e *Exchange) Receive() error {
	buffer := make([]byte, maxDatagram+1)
	for {
		n, _, err := e.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return fmt.Errorf("receive from peers: %w", err)
		}
		var m message
		if err := cbor.Unmarshal(buffer[:n], &m); err != nil {
			e.config.Metrics.Counter("exchange.malformed").Inc(1)
			continue
		}
		e.enter(time.Now(), m)
	}
}

func (e *Exchange) enter(now time.Time, m message) {
	e.mu.Lock()
	p, ok := e.peers[m.Router]
	var before map[string]int
	if ok {
		p.heard = now
		if m.Relay {
			p.relayAt = now
			p.heads, p.headsAt = m.Heads, now
		}
		if m.Whole {
			before, p.loads = p.loads, m.Loads
		}
	}
	e.mu.Unlock()
	if m.News != nil {
		e.config.ReceiveNews(*m.News)
	}
	if ok {
		e.enterLoads(m, before)
	}
}

// Close ends Receive.
func (e *Exchange) Close() { _ = e.socket.Close() }
