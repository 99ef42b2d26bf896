package standin

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// ProxyFaults are the faults of a FaultProxy; the zero value injects none.
type ProxyFaults struct {
	// Refuse closes the listener, so that new connections are refused.
	Refuse bool
	// Freeze accepts connections but forwards nothing in either direction. When Freeze is
	// switched off, the bytes that were held back are forwarded.
	Freeze bool
	// DropFromTarget forwards what the client sends and discards what the target sends.
	DropFromTarget bool
	// DelayToTarget and DelayToClient delay each read of up to 32 KiB before it is
	// forwarded.
	DelayToTarget, DelayToClient time.Duration
	// CutAfterBytes closes a connection after this number of bytes to the client,
	// counted from the start of the connection; 0 means never.
	CutAfterBytes int64
}

// FaultProxy is a TCP proxy on loopback that forwards to one address and injects faults.
type FaultProxy struct {
	target  string
	address string
	tasks   sync.WaitGroup

	mu     sync.Mutex
	closed bool
	faults ProxyFaults
	// changed is closed and replaced when the faults change.
	changed     chan struct{}
	listener    net.Listener
	connections map[*connectionPair]struct{}
}

// connectionPair is a connection of a client and the matching connection to the target.
type connectionPair struct {
	proxy          *FaultProxy
	client, target *net.TCPConn
	done           chan struct{}
	closeOnce      sync.Once
}

// NewFaultProxy returns a proxy for the target (host:port) that listens on a free
// loopback port. The caller must close it.
func NewFaultProxy(target string) (*FaultProxy, error) {
	p := &FaultProxy{
		target:      target,
		address:     "127.0.0.1:0",
		changed:     make(chan struct{}),
		connections: map[*connectionPair]struct{}{},
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.listen(); err != nil {
		return nil, err
	}
	return p, nil
}

// Addr returns the address of the proxy as host:port.
func (p *FaultProxy) Addr() string { return p.address }

// SetFaults replaces the faults. It returns an error if Refuse is switched off and the
// proxy can't listen on its port again. After Close it has no effect.
func (p *FaultProxy) SetFaults(faults ProxyFaults) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	p.faults = faults
	close(p.changed)
	p.changed = make(chan struct{})
	if faults.Refuse {
		p.stopListening()
		return nil
	}
	if p.listener == nil {
		return p.listen()
	}
	return nil
}

// CutAll closes all open connections. New connections are still accepted.
func (p *FaultProxy) CutAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.close()
	}
}

// Connections returns the number of open client connections.
func (p *FaultProxy) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.connections)
}

// Close closes all connections and waits for the proxy's goroutines.
func (p *FaultProxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.stopListening()
	p.mu.Unlock()
	p.CutAll()
	p.tasks.Wait()
}

// listen starts to accept connections. The caller holds mu.
func (p *FaultProxy) listen() error {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return fmt.Errorf("listening for fault proxy: %w", err)
	}
	p.listener = listener
	p.address = listener.Addr().String()
	p.tasks.Go(func() { p.accept(listener) })
	return nil
}

// stopListening closes the listener, so that new connections are refused. The caller
// holds mu.
func (p *FaultProxy) stopListening() {
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

func (p *FaultProxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		p.tasks.Go(func() { p.connect(client.(*net.TCPConn)) })
	}
}

func (p *FaultProxy) connect(client *net.TCPConn) {
	target, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &connectionPair{proxy: p, client: client, target: target.(*net.TCPConn), done: make(chan struct{})}
	p.mu.Lock()
	p.connections[c] = struct{}{}
	closed := p.closed
	p.mu.Unlock()
	if closed {
		c.close()
	}
	c.run()
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
}

func (c *connectionPair) close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.client.Close()
		_ = c.target.Close()
	})
}

func (c *connectionPair) run() {
	var copies sync.WaitGroup
	copies.Go(func() { c.forward(c.client, c.target, c.filterToTarget) })
	copies.Go(func() { c.forward(c.target, c.client, c.newFilterToClient()) })
	copies.Wait()
	c.close()
}

// filter applies the faults of one direction to data. It returns the part to forward,
// the delay before it, and whether to close the connection afterwards.
type filter func(faults ProxyFaults, data []byte) (forward []byte, delay time.Duration, cut bool)

func (c *connectionPair) filterToTarget(faults ProxyFaults, data []byte) ([]byte, time.Duration, bool) {
	return data, faults.DelayToTarget, false
}

func (c *connectionPair) newFilterToClient() filter {
	var sent int64
	return func(faults ProxyFaults, data []byte) ([]byte, time.Duration, bool) {
		if faults.DropFromTarget {
			return nil, 0, false
		}
		cut := faults.CutAfterBytes > 0 && sent+int64(len(data)) >= faults.CutAfterBytes
		if cut {
			data = data[:max(0, faults.CutAfterBytes-sent)]
		}
		sent += int64(len(data))
		return data, faults.DelayToClient, cut
	}
}

// forward copies data until either side fails. At the end of the source's data it
// half-closes the other connection.
func (c *connectionPair) forward(from, to *net.TCPConn, apply filter) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !c.forwardData(to, buffer[:n], apply) {
			c.close()
			return
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// forwardData forwards the data of one read. It returns false if the connections must
// be closed.
func (c *connectionPair) forwardData(to *net.TCPConn, data []byte, apply filter) bool {
	faults, ok := c.waitWhileFrozen()
	if !ok {
		return false
	}
	data, delay, cut := apply(faults, data)
	if !c.waitDelay(delay) {
		return false
	}
	_, err := to.Write(data)
	return err == nil && !cut
}

// waitWhileFrozen waits until Freeze is off and returns the current faults, or false if
// the connections were closed before.
func (c *connectionPair) waitWhileFrozen() (ProxyFaults, bool) {
	for {
		c.proxy.mu.Lock()
		faults, changed := c.proxy.faults, c.proxy.changed
		c.proxy.mu.Unlock()
		if !faults.Freeze {
			return faults, true
		}
		select {
		case <-changed:
		case <-c.done:
			return faults, false
		}
	}
}

// waitDelay returns false if the connections were closed during the delay.
func (c *connectionPair) waitDelay(delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.done:
		return false
	}
}
