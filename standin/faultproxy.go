package standin

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// ProxyFaults are the faults of a FaultProxy; the zero value passes everything.
type ProxyFaults struct {
	// Refuse closes the listener, so that new connections are refused.
	Refuse bool
	// Freeze accepts connections and forwards nothing in either direction until it
	// is reset; held bytes are then forwarded.
	Freeze bool
	// DropAnswers forwards requests and discards what the target sends back.
	DropAnswers bool
	// DelayToTarget and DelayToClient hold back each read of up to 32 KiB.
	DelayToTarget, DelayToClient time.Duration
	// CutAfterBytes closes a connection after so many bytes to the client, counted
	// from the start of the connection; 0 means never.
	CutAfterBytes int64
}

// FaultProxy is a TCP proxy on loopback in front of one address.
type FaultProxy struct {
	target  string
	address string
	tasks   sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	faults   ProxyFaults
	changed  chan struct{}
	listener net.Listener
	links    map[*link]struct{}
}

// link is a client's connection and its connection to the target.
type link struct {
	proxy          *FaultProxy
	client, target *net.TCPConn
	done           chan struct{}
	closeOnce      sync.Once
}

// NewFaultProxy listens on a free loopback port. The caller closes the proxy.
func NewFaultProxy(target string) (*FaultProxy, error) {
	p := &FaultProxy{
		target:  target,
		address: "127.0.0.1:0",
		changed: make(chan struct{}),
		links:   map[*link]struct{}{},
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

// SetFaults replaces the faults. It fails if the proxy can't listen on its port
// again after Refuse.
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

// CutAll closes all connections. New ones are accepted.
func (p *FaultProxy) CutAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.close()
	}
}

// Connections returns the number of open connections of clients.
func (p *FaultProxy) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
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
		return fmt.Errorf("fault proxy: %w", err)
	}
	p.listener = listener
	p.address = listener.Addr().String()
	p.tasks.Go(func() { p.accept(listener) })
	return nil
}

// stopListening refuses new connections. The caller holds mu.
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
	l := &link{proxy: p, client: client, target: target.(*net.TCPConn), done: make(chan struct{})}
	p.mu.Lock()
	p.links[l] = struct{}{}
	closed := p.closed
	p.mu.Unlock()
	if closed {
		l.close()
	}
	l.run()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

func (l *link) close() {
	l.closeOnce.Do(func() {
		close(l.done)
		_ = l.client.Close()
		_ = l.target.Close()
	})
}

func (l *link) run() {
	var copies sync.WaitGroup
	copies.Go(func() { l.forward(l.client, l.target, l.toTarget) })
	copies.Go(func() { l.forward(l.target, l.client, l.newToClient()) })
	copies.Wait()
	l.close()
}

// filter returns the part of data to forward, how long to hold it, and whether the
// connection ends afterwards.
type filter func(faults ProxyFaults, data []byte) (forward []byte, delay time.Duration, cut bool)

func (l *link) toTarget(faults ProxyFaults, data []byte) ([]byte, time.Duration, bool) {
	return data, faults.DelayToTarget, false
}

func (l *link) newToClient() filter {
	var sent int64
	return func(faults ProxyFaults, data []byte) ([]byte, time.Duration, bool) {
		if faults.DropAnswers {
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

// forward copies until either side fails. The end of the source's data is passed
// on as a half-close.
func (l *link) forward(from, to *net.TCPConn, apply filter) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.pass(to, buffer[:n], apply) {
			l.close()
			return
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

func (l *link) pass(to *net.TCPConn, data []byte, apply filter) bool {
	faults, ok := l.waitWhileFrozen()
	if !ok {
		return false
	}
	data, delay, cut := apply(faults, data)
	if !l.hold(delay) {
		return false
	}
	_, err := to.Write(data)
	return err == nil && !cut
}

func (l *link) waitWhileFrozen() (ProxyFaults, bool) {
	for {
		l.proxy.mu.Lock()
		faults, changed := l.proxy.faults, l.proxy.changed
		l.proxy.mu.Unlock()
		if !faults.Freeze {
			return faults, true
		}
		select {
		case <-changed:
		case <-l.done:
			return faults, false
		}
	}
}

func (l *link) hold(delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.done:
		return false
	}
}
