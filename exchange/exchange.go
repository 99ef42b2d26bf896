// Package exchange lets the routers tell each other, in datagrams, how many
// requests they have at each endpoint, and lets a few of them, the relays, pass
// on what changes in the store.
package exchange

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/mirror"
	"github.com/hornbeamproxy/hornbeamproxy/quota"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

const (
	// beatInterval is the time between two datagrams of a relay, and of any
	// router in a fleet of up to beatRouters. The others send less often in
	// larger fleets, so that what a router receives stays the same.
	beatInterval = 250 * time.Millisecond
	beatRouters  = 32
	// aliveBeats is the number of datagrams in whose time a router must be heard to
	// count as alive; some of them may be lost.
	aliveBeats = 4
	// headAge is the age up to which what a relay announced counts.
	headAge = 900 * time.Millisecond
	// backupDelay is how long a relay waits for the first relay to pass on what
	// it has seen itself.
	backupDelay = 300 * time.Millisecond
	// maxPending bounds the news that a backup relay holds.
	maxPending = 32
	// maxDatagram bounds a datagram. News that do not fit are sent without their
	// objects.
	maxDatagram = 8 << 10
)

// message is one datagram. Loads is nil in datagrams without loads.
type message struct {
	Router string                 `cbor:"1,keyasint"`
	Loads  map[string]int         `cbor:"2,keyasint,omitempty"` // requests by endpoint id
	Whole  bool                   `cbor:"3,keyasint,omitempty"` // Loads has all endpoints with requests
	Heads  map[string]mirror.Head `cbor:"4,keyasint,omitempty"` // by kind
	News   *mirror.News           `cbor:"5,keyasint,omitempty"`
}

// Config holds what an Exchange needs.
type Config struct {
	Router  string
	Address string // UDP, IP:PORT
	Logger  *zap.Logger
	Metrics *telemetry.Metrics
	// Loads returns this router's requests by endpoint.
	Loads func() map[string]int
	// ReceiveLoad takes the requests that another router has at an endpoint.
	ReceiveLoad func(router, endpointID string, requests int)
	// ReceiveNews takes what a relay passes on.
	ReceiveNews func(news mirror.News)
}

// Exchange sends and receives datagrams. Safe for concurrent use.
type Exchange struct {
	config Config
	socket *net.UDPConn

	mu      sync.Mutex
	peers   map[string]*peer       // by router id
	heads   map[string]mirror.Head // what this router announces
	pending []pendingNews
	fleet   *quota.Fleet
	rank    int       // among the relays; relays have a rank below relays()
	loadsAt time.Time // when the loads were sent
}

type pendingNews struct {
	news mirror.News
	at   time.Time
}

type peer struct {
	address netip.AddrPort
	heard   time.Time
	headsAt time.Time
	heads   map[string]mirror.Head
	// loads are the endpoints in the newest datagram, so that those that are
	// missing in the next one are set to 0.
	loads map[string]int
}

var _ mirror.Peers = (*Exchange)(nil)

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

// SetPeers replaces the routers that are sent to, by id (IP:PORT).
func (e *Exchange) SetPeers(addresses map[string]string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range e.peers {
		if _, ok := addresses[id]; !ok {
			delete(e.peers, id)
		}
	}
	for id, text := range addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil || id == e.config.Router {
			continue
		}
		if known, ok := e.peers[id]; ok && known.address == address {
			continue
		}
		e.peers[id] = &peer{address: address, loads: map[string]int{}}
	}
	ids := make([]string, 0, len(e.peers))
	for id := range e.peers {
		ids = append(ids, id)
	}
	e.fleet = quota.NewFleet(e.config.Router, ids)
	e.rank = e.rankNow(time.Now())
}

// Fleet returns the routers that are registered, and nil before they are known.
func (e *Exchange) Fleet() *quota.Fleet {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fleet
}

// Alive returns the routers that were heard lately, this one among them.
func (e *Exchange) Alive(now time.Time) map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	alive := map[string]bool{e.config.Router: true}
	for id, p := range e.peers {
		if e.alive(p, now) {
			alive[id] = true
		}
	}
	return alive
}

func (e *Exchange) alive(p *peer, now time.Time) bool {
	return now.Sub(p.heard) < aliveBeats*loadInterval(len(e.peers)+1)
}

// loadInterval returns the time between two datagrams with loads in a fleet.
func loadInterval(routers int) time.Duration {
	return beatInterval * time.Duration(max(1, (routers+beatRouters-1)/beatRouters))
}

// Send sends datagrams until ctx ends.
func (e *Exchange) Send(ctx context.Context) error {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			e.beat(now)
		}
	}
}

// beat sends what is due: the loads, the heads of a relay, and the news that the
// first relay has not passed on.
func (e *Exchange) beat(now time.Time) {
	e.mu.Lock()
	e.rank = e.rankNow(now)
	m := message{Router: e.config.Router}
	relay := e.rank < relays(len(e.peers)+1)
	if relay {
		m.Heads = make(map[string]mirror.Head, len(e.heads))
		for kind, head := range e.heads {
			m.Heads[kind] = head
		}
	}
	due := now.Sub(e.loadsAt) >= loadInterval(len(e.peers)+1)-beatInterval/2
	if due {
		e.loadsAt = now
	}
	late := e.lateNews(now)
	e.mu.Unlock()
	if due {
		m.Loads, m.Whole = e.config.Loads(), true
	}
	if due || relay {
		e.broadcast(m)
	}
	for i := range late {
		e.config.Metrics.Counter("exchange.news.backup").Inc(1)
		e.broadcast(message{Router: e.config.Router, News: &late[i]})
	}
}

// broadcast sends a datagram to all peers.
func (e *Exchange) broadcast(m message) {
	datagram, err := cbor.Marshal(m)
	if err == nil && len(datagram) > maxDatagram && m.News != nil {
		m.News = &mirror.News{Kind: m.News.Kind, From: m.News.From, To: m.News.To, Partial: true}
		datagram, err = cbor.Marshal(m)
	}
	if err != nil || len(datagram) > maxDatagram {
		e.config.Metrics.Counter("exchange.unsent").Inc(1)
		return
	}
	e.mu.Lock()
	addresses := make([]netip.AddrPort, 0, len(e.peers))
	for _, p := range e.peers {
		addresses = append(addresses, p.address)
	}
	e.mu.Unlock()
	for _, address := range addresses {
		if _, err := e.socket.WriteToUDPAddrPort(datagram, address); err != nil {
			e.config.Metrics.Counter("exchange.unsent").Inc(1)
			continue
		}
		e.config.Metrics.Counter("exchange.bytes.sent").Inc(int64(len(datagram)))
	}
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
		if m.Heads != nil {
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
	if !ok || !m.Whole {
		return
	}
	for id, requests := range m.Loads {
		e.config.ReceiveLoad(m.Router, id, requests)
	}
	for id := range before {
		if _, ok := m.Loads[id]; !ok {
			e.config.ReceiveLoad(m.Router, id, 0)
		}
	}
}

// Close ends Receive.
func (e *Exchange) Close() { _ = e.socket.Close() }
