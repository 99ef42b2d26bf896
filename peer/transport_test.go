package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

// Guards against goroutines that outlive their transport.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var testSecret = []byte("a shared secret of the fleet")

func request(endpoint string) api.PeerMessage {
	return api.PeerMessage{PermitRequest: &api.PermitRequest{Endpoint: endpoint, Workspace: "w"}}
}

// grantHandler counts the messages and replies to each with a permit. If block is set,
// it replies only once block is closed.
type grantHandler struct {
	handled atomic.Int64
	block   chan struct{}
}

func (h *grantHandler) HandlePeer(ctx context.Context, _ string, _ api.PeerMessage) *api.PeerMessage {
	h.handled.Add(1)
	if h.block != nil {
		select {
		case <-h.block:
		case <-ctx.Done():
		}
	}
	return &api.PeerMessage{PermitReply: &api.PermitReply{Permit: 7, StartByMs: 1000}}
}

type node struct {
	*Transport
	handler *grantHandler
	addr    string
}

// startNode starts a transport with a listener on loopback.
func startNode(t testing.TB, id string, change func(*Options)) *node {
	t.Helper()
	n := &node{handler: &grantHandler{}}
	server := httptest.NewUnstartedServer(nil)
	n.addr = server.Listener.Addr().String()
	opts := Options{
		RouterID: id, Address: n.addr, Secret: testSecret, Handler: n.handler,
		Metrics: telemetry.NewMetrics(), InitialBackoff: 20 * time.Millisecond,
	}
	if change != nil {
		change(&opts)
	}
	transport, err := NewTransport(opts)
	assert.NilError(t, err)
	n.Transport = transport
	mux := http.NewServeMux()
	mux.Handle(Path, transport)
	server.Config.Handler = mux
	server.Start()
	t.Cleanup(func() {
		transport.Close()
		server.Close()
	})
	return n
}

// faultProxy forwards TCP connections to a node. It can cut them, or freeze them so that
// they stay open but forward nothing.
type faultProxy struct {
	addr   string
	mu     sync.Mutex
	conns  []net.Conn
	frozen atomic.Bool
	seen   bytes.Buffer // all bytes read from either side
}

func startProxy(t testing.TB, target string) *faultProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &faultProxy{addr: listener.Addr().String()}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				in.Close()
				continue
			}
			p.mu.Lock()
			p.conns = append(p.conns, in, out)
			p.mu.Unlock()
			group.Go(func() { p.copy(out, in) })
			group.Go(func() { p.copy(in, out) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		p.cut()
		group.Wait()
	})
	return p
}

func (p *faultProxy) copy(to, from net.Conn) {
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		p.seen.Write(buf[:n])
		p.mu.Unlock()
		if p.frozen.Load() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *faultProxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
	p.conns = nil
}

func within(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(5*time.Second))
}

// Guards against these faults: a pair of routers opens a second connection; a reply
// reaches the wrong call; the byte counters miss traffic.
func TestCallsOfBothSidesShareOneConnection(t *testing.T) {
	a, b := startNode(t, "a", nil), startNode(t, "b", nil)
	_, err := a.Call(within(t, time.Second), b.addr, request("e"))
	assert.NilError(t, err)
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			reply, err := a.Call(within(t, time.Second), b.addr, request("e"))
			assert.Check(t, err)
			assert.Check(t, reply.PermitReply != nil && reply.PermitReply.Permit == 7)
			_, err = b.Call(within(t, time.Second), a.addr, request("e"))
			assert.Check(t, err)
		})
	}
	group.Wait()
	assert.Equal(t, a.Connections(), 1)
	assert.Equal(t, b.Connections(), 1)
	for _, name := range []string{"permit_request", "permit_reply", "handshake"} {
		sent := a.opts.Metrics.Counter("peer.bytes.sent." + name).Count()
		assert.Assert(t, sent > 0, name)
		assert.Equal(t, sent, b.opts.Metrics.Counter("peer.bytes.received."+name).Count(), name)
	}
}

// Guards against these faults after a connection is cut: a call waits on; a request that
// may have been delivered is reported as ErrUnreachable; later calls fail.
func TestCutConnection(t *testing.T) {
	var down atomic.Int64
	a := startNode(t, "a", func(o *Options) {
		o.PeerDown = func(string, string, error) { down.Add(1) }
	})
	b := startNode(t, "b", nil)
	b.handler.block = make(chan struct{})
	proxy := startProxy(t, b.addr)
	failed := make(chan error, 1)
	go func() {
		_, err := a.Call(within(t, 5*time.Second), proxy.addr, request("e"))
		failed <- err
	}()
	eventually(t, "request handled", func() bool { return b.handler.handled.Load() == 1 })
	proxy.cut()
	assert.ErrorIs(t, <-failed, ErrNoReply)
	eventually(t, "failure reported", func() bool { return down.Load() == 1 })
	close(b.handler.block)
	_, err := a.Call(within(t, time.Second), proxy.addr, request("e"))
	assert.NilError(t, err)
}

// Guards against a frozen peer that is not detected until the ping interval has passed,
// although a call to it timed out before.
func TestFrozenConnection(t *testing.T) {
	var down atomic.Value
	a := startNode(t, "a", func(o *Options) {
		o.PeerDown = func(id, _ string, _ error) { down.Store(id) }
		o.PingTimeout = 50 * time.Millisecond
		o.PingInterval = time.Hour
	})
	b := startNode(t, "b", nil)
	proxy := startProxy(t, b.addr)
	_, err := a.Call(within(t, time.Second), proxy.addr, request("e"))
	assert.NilError(t, err)
	proxy.frozen.Store(true)
	_, err = a.Call(within(t, 50*time.Millisecond), proxy.addr, request("e"))
	assert.ErrorIs(t, err, ErrNoReply)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	eventually(t, "failure reported", func() bool { return down.Load() == "b" })
}

// Guards against these faults when the peer does not read: Send blocks or buffers without
// limit; dropped messages are not counted.
func TestSendQueueIsBounded(t *testing.T) {
	a := startNode(t, "a", func(o *Options) { o.MaxQueueBytes = 1 << 16 })
	stuck, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = stuck.Close() }()
	large := request(strings.Repeat("e", 40<<10))
	for range 20 {
		err = errors.Join(err, a.Send(stuck.Addr().String(), large))
	}
	assert.ErrorIs(t, err, ErrQueueFull)
	assert.Assert(t, a.dropped.Count() > 0)
}

// Guards against these faults of calls to an unreachable peer: each call dials again
// without backoff; the error does not show that the request was not delivered.
func TestUnreachablePeer(t *testing.T) {
	a := startNode(t, "a", func(o *Options) { o.InitialBackoff = time.Minute; o.MaxBackoff = time.Minute })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	_ = listener.Close()
	for range 10 {
		_, err = a.Call(within(t, time.Second), listener.Addr().String(), request("e"))
		assert.ErrorIs(t, err, ErrUnreachable)
	}
	assert.Equal(t, a.dials.Count(), int64(1))
}

// Guards against these faults: requests of a peer that does not hold the secret are
// handled; the secret is sent on the wire.
func TestWrongSecret(t *testing.T) {
	good := startNode(t, "a", nil)
	bad := startNode(t, "b", func(o *Options) { o.Secret = []byte("a guessed secret") })
	proxy := startProxy(t, good.addr)
	for _, pair := range []struct {
		from *node
		to   string
	}{{bad, proxy.addr}, {good, bad.addr}} {
		_, err := pair.from.Call(within(t, time.Second), pair.to, request("e"))
		assert.ErrorIs(t, err, ErrUnreachable)
		assert.ErrorIs(t, err, ErrAuthentication)
	}
	assert.Equal(t, good.handler.handled.Load()+bad.handler.handled.Load(), int64(0))
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	assert.Assert(t, proxy.seen.Len() > 0)
	assert.Assert(t, !bytes.Contains(proxy.seen.Bytes(), testSecret))
	assert.Assert(t, !bytes.Contains(proxy.seen.Bytes(), []byte("a guessed secret")))
}

// Guards against these faults: a message above the sender's limit is sent; a receiver
// with a lower limit reads such a message into memory and handles it.
func TestTooLargeMessage(t *testing.T) {
	a := startNode(t, "a", nil)
	b := startNode(t, "b", func(o *Options) { o.MaxMessageBytes = 4096 })
	large := request(strings.Repeat("e", 8192))
	_, err := b.Call(within(t, time.Second), a.addr, large)
	assert.ErrorIs(t, err, ErrInvalidMessage)
	_, err = a.Call(within(t, time.Second), b.addr, large)
	assert.ErrorIs(t, err, ErrNoReply)
	assert.Equal(t, b.handler.handled.Load(), int64(0))
	_, err = a.Call(within(t, time.Second), b.addr, request("e"))
	assert.NilError(t, err)
}

// Guards against these faults: one peer occupies an unlimited number of handlers; a
// request that was refused because all handlers are busy is reported as possibly handled.
func TestHandlersAreBounded(t *testing.T) {
	a := startNode(t, "a", nil)
	b := startNode(t, "b", func(o *Options) { o.MaxHandlers = 1 })
	b.handler.block = make(chan struct{})
	first := make(chan error, 1)
	go func() {
		_, err := a.Call(within(t, 5*time.Second), b.addr, request("e"))
		first <- err
	}()
	eventually(t, "request handled", func() bool { return b.handler.handled.Load() == 1 })
	_, err := a.Call(within(t, time.Second), b.addr, request("e"))
	assert.ErrorIs(t, err, ErrUnreachable)
	close(b.handler.block)
	assert.NilError(t, <-first)
}

// Guards against these faults: an idle connection stays open; its close is reported as a
// failure.
func TestIdleConnectionIsClosed(t *testing.T) {
	var down atomic.Int64
	quick := func(o *Options) {
		o.IdleTimeout = 100 * time.Millisecond
		o.PeerDown = func(string, string, error) { down.Add(1) }
	}
	a, b := startNode(t, "a", quick), startNode(t, "b", quick)
	for range 2 {
		_, err := a.Call(within(t, time.Second), b.addr, request("e"))
		assert.NilError(t, err)
		eventually(t, "closed", func() bool { return a.Connections() == 0 && b.Connections() == 0 })
	}
	assert.Equal(t, down.Load(), int64(0))
}

// Guards against input on which the decoder panics or does not advance.
func FuzzDecode(f *testing.F) {
	for _, msg := range []api.PeerMessage{
		request("e"),
		{Gossip: &api.Gossip{Entries: []api.GossipEntry{{R: "a", I: 1, H: 2, P: []api.PoolCount{{M: "m"}}}}}},
		{Handshake: &api.PeerHandshake{Nonce: make([]byte, nonceBytes)}},
	} {
		f.Add(append([]byte(nil), encode(&msg).Bytes()...))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for len(data) > 0 {
			var msg api.PeerMessage
			rest, err := decodeNext(data, &msg)
			if err != nil {
				return
			}
			assert.Assert(t, len(rest) < len(data))
			kindOf(&msg)
			data = rest
		}
	})
}

func BenchmarkCall(b *testing.B) {
	from, to := startNode(b, "a", nil), startNode(b, "b", nil)
	ctx := context.Background()
	_, err := from.Call(ctx, to.addr, request("e"))
	assert.NilError(b, err)
	b.Run("sequential", func(b *testing.B) {
		b.ReportAllocs()
		spans := make([]time.Duration, 0, 1<<20)
		for b.Loop() {
			start := time.Now()
			_, _ = from.Call(ctx, to.addr, request("endpoint-17"))
			spans = append(spans, time.Since(start))
		}
		slices.Sort(spans)
		b.ReportMetric(float64(spans[len(spans)/2]), "p50-ns")
		b.ReportMetric(float64(spans[len(spans)*99/100]), "p99-ns")
	})
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				_, _ = from.Call(ctx, to.addr, request("endpoint-17"))
			}
		})
	})
}
