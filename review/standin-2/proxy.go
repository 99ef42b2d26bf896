package main

import (
	"io"
	"net"
	"sync"
)

// proxy stands between one router and the store. While it is cut it passes nothing on: what is open
// and what is opened meanwhile hangs for good, as after a partition that outlasts the caller's patience.
type proxy struct {
	address, to string
	mu          sync.Mutex
	isCut       bool
	open        map[net.Conn]chan struct{} // closed when the connection hangs
}

func newProxy(to string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	p := &proxy{address: listener.Addr().String(), to: to, open: map[net.Conn]chan struct{}{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = true
	for conn, hangs := range p.open {
		close(hangs)
		delete(p.open, conn)
	}
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = false
}

func (p *proxy) serve(conn net.Conn) {
	defer conn.Close()
	hangs := make(chan struct{})
	p.mu.Lock()
	if p.isCut {
		p.mu.Unlock()
		_, _ = io.Copy(io.Discard, conn) // until the router gives up
		return
	}
	p.open[conn] = hangs
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.open, conn)
		p.mu.Unlock()
	}()
	store, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer store.Close()
	go func() {
		_, _ = io.Copy(store, filtered{conn, hangs})
		store.Close()
	}()
	_, _ = io.Copy(conn, filtered{store, hangs})
	select {
	case <-hangs:
		_, _ = io.Copy(io.Discard, conn)
	default:
	}
}

// filtered reads from a connection until it hangs.
type filtered struct {
	net.Conn
	hangs chan struct{}
}

func (f filtered) Read(b []byte) (int, error) {
	n, err := f.Conn.Read(b)
	select {
	case <-f.hangs:
		return 0, io.EOF
	default:
		return n, err
	}
}
