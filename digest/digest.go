// Package digest exchanges the routers' loads: each router sends, a few times a
// second, one datagram to each other router with the number of requests that it
// has at each endpoint.
package digest

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

const (
	// interval is the time between two datagrams to a router.
	interval = 250 * time.Millisecond
	// peerAge is the silence after which a router no longer counts as alive.
	peerAge = 5 * time.Second
	// maxDatagram bounds a datagram to what links carry without fragments.
	maxDatagram = 1400
)

// message is one datagram.
type message struct {
	_      struct{}       `cbor:",toarray"`
	Router string         // sender
	Loads  map[string]int // requests by endpoint id
}

// Config holds what an Exchange needs.
type Config struct {
	Router  string
	Address string // UDP, IP:PORT
	Logger  *zap.Logger
	Metrics *telemetry.Metrics
	// Loads returns this router's requests by endpoint.
	Loads func() map[string]int
	// Receive takes the requests that another router has at an endpoint.
	Receive func(router, endpointID string, requests int)
}

// Exchange sends and receives the loads. Safe for concurrent use.
type Exchange struct {
	config Config
	socket *net.UDPConn

	mu    sync.Mutex
	peers map[string]*peer // by router id
}

type peer struct {
	address netip.AddrPort
	heard   time.Time
	// loads are the endpoints in the newest datagram, so that those that are
	// missing in the next one are set to 0.
	loads map[string]int
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
	return &Exchange{config: config, socket: socket, peers: map[string]*peer{}}, nil
}

// SetPeers replaces the routers that are sent to.
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
}

// Routers returns the number of routers that are registered, at least 1.
func (e *Exchange) Routers() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peers) + 1
}

// Alive returns the routers that were heard lately.
func (e *Exchange) Alive(now time.Time) map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	alive := map[string]bool{e.config.Router: true}
	for id, p := range e.peers {
		if now.Sub(p.heard) < peerAge {
			alive[id] = true
		}
	}
	return alive
}

// Send sends the loads until ctx ends.
func (e *Exchange) Send(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			e.sendOnce()
		}
	}
}

func (e *Exchange) sendOnce() {
	datagram, err := cbor.Marshal(message{Router: e.config.Router, Loads: e.config.Loads()})
	if err != nil || len(datagram) > maxDatagram {
		e.config.Metrics.Counter("digest.unsent").Inc(1)
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
			e.config.Metrics.Counter("digest.unsent").Inc(1)
			continue
		}
		e.config.Metrics.Counter("digest.bytes.sent").Inc(int64(len(datagram)))
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
			e.config.Metrics.Counter("digest.malformed").Inc(1)
			continue
		}
		e.enter(m)
	}
}

func (e *Exchange) enter(m message) {
	e.mu.Lock()
	p, ok := e.peers[m.Router]
	var before map[string]int
	if ok {
		p.heard = time.Now()
		before, p.loads = p.loads, m.Loads
	}
	e.mu.Unlock()
	if !ok {
		return
	}
	for id, requests := range m.Loads {
		e.config.Receive(m.Router, id, requests)
	}
	for id := range before {
		if _, ok := m.Loads[id]; !ok {
			e.config.Receive(m.Router, id, 0)
		}
	}
}

// Close ends Receive.
func (e *Exchange) Close() { _ = e.socket.Close() }
