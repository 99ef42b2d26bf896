package docs

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/cluster"
	"github.com/hornbeamproxy/hornbeamproxy/engine"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
	"github.com/hornbeamproxy/hornbeamproxy/notes"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
	"github.com/hornbeamproxy/hornbeamproxy/peer"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// The target size: the size of the target fleet in CAPACITY.md.
const (
	targetRouters    = 350
	targetEndpoints  = 600
	targetWorkspaces = 3200
)

// BenchmarkPeerMessage reports the encoded size of the messages between routers,
// without the WebSocket frame.
func BenchmarkPeerMessage(b *testing.B) {
	const endpoint, router, workspace = "chat-large-0417", "router-017", "workspace-1234"
	const permit, id = uint64(417)<<32 + 123456, uint64(1234567)
	key := workspace + "/orders/0f8fad5b-d9cb-469f-a165-000000001234"
	attempt := router + "-" + strings.Repeat("0", 26)
	digest := strings.Repeat("0", 64)
	outcome := &api.ClaimOutcome{Status: 201, ContentType: "application/json", Body: make([]byte, 200)}
	messages := map[string]api.PeerMessage{
		"permit-request": {ID: id, PermitRequest: &api.PermitRequest{Endpoint: endpoint, Workspace: workspace, ChatKey: 1 << 63, Priority: 5}},
		"permit-reply":   {ID: id, Reply: true, PermitReply: &api.PermitReply{Permit: permit, StartByMs: 1000, Inflight: 17}},
		"permit-release": {PermitRelease: &api.PermitRelease{Endpoint: endpoint, Permits: []uint64{permit}, FirstTokenMs: 417}},
		"permit-renew-1": {ID: id, PermitRenew: &api.PermitRenew{Endpoints: []api.EndpointPermits{{Endpoint: endpoint, Permits: []uint64{permit}}}}},
		"renew-reply":    {ID: id, Reply: true, PermitRenew: &api.PermitRenew{}},
		"claim-request":  {ID: id, ClaimRequest: &api.ClaimRequest{Key: key, Attempt: attempt, Router: router, BodyDigest: digest, Shard: 17}},
		"claim-reply":    {ID: id, Reply: true, ClaimReply: &api.ClaimReply{Result: api.ClaimResultGranted}},
		"claim-update":   {ID: id, ClaimUpdate: &api.ClaimUpdate{Key: key, Attempt: attempt, Router: router, BodyDigest: digest, Shard: 17, State: api.ClaimStateDone, Outcome: outcome}},
	}
	for name, message := range messages {
		b.Run(name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				var err error
				size, err = peer.EncodedSize(&message)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(size), "bytes/message")
		})
	}
}

// countingListener counts the bytes of all its connections in both directions.
type countingListener struct {
	net.Listener
	in, out atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{Conn: conn, listener: l}, err
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.in.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.out.Add(int64(n))
	return n, err
}

func serveCounted(b *testing.B, handler http.Handler) (*countingListener, string) {
	b.Helper()
	server := httptest.NewUnstartedServer(handler)
	listener := &countingListener{Listener: server.Listener}
	server.Listener = listener
	server.Start()
	b.Cleanup(server.Close)
	return listener, server.URL
}

// processorTime returns the processor time that the test process has used so far, in user
// and system mode.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkHTTPCall reports, for each kind of control call over HTTP, the bytes in both
// directions and the processor time of client and stand-in together. The bytes include the
// HTTP headers but not the TCP and IP headers. The call named idle-watch is a watch that
// ends by its time-out, because nothing changes.
func BenchmarkHTTPCall(b *testing.B) {
	platformStandin := standin.NewPlatform(standin.SitePlatformToken)
	instances := make([]api.Instance, targetEndpoints)
	for i := range instances {
		instances[i] = api.Instance{ID: fmt.Sprintf("instance-%04d", i)}
	}
	platformStandin.SetInstances(instances)
	platformBytes, url := serveCounted(b, platformStandin)
	client := storeClient(url)
	engineStandin := standin.NewEngine(standin.EngineConfig{ID: "engine-1", Models: []string{"chat-large"}})
	b.Cleanup(engineStandin.Close)
	engineBytes, engineURL := serveCounted(b, engineStandin)
	engines := engine.New(engine.Options{})
	lease, err := cbor.Marshal(api.LeaseRecord{Holder: "router-017-0123456789abcdef", Term: 12, Renewal: 123456})
	assert.NilError(b, err)
	var version uint64
	ctx := context.Background()
	for i := range targetRouters {
		id := fmt.Sprintf("router-%03d", i)
		value, err := cbor.Marshal(api.RouterRegistration{ID: id, Zone: "region-1-zone-0", PeerAddress: "10.11.12.13:8081", Incarnation: 1e12})
		assert.NilError(b, err)
		_, err = client.Put(ctx, cluster.RegistrationPrefix+id, value, 0)
		assert.NilError(b, err)
	}
	for _, call := range []struct {
		name    string
		counted *countingListener
		run     func() error
	}{
		{"load-poll", engineBytes, func() error { _, err := engines.ReadLoad(ctx, engineURL); return err }},
		{"idle-watch", platformBytes, func() error {
			_, _, err := client.Watch(ctx, "notes/head", 1<<40, 5*time.Millisecond)
			return err
		}},
		{"lease-put", platformBytes, func() error {
			var err error
			version, err = client.Put(ctx, "leases/cold/chat-large-0417", lease, version)
			return err
		}},
		{"registrations-350", platformBytes, func() error {
			_, err := client.List(ctx, cluster.RegistrationPrefix)
			return err
		}},
		{"instances-600", platformBytes, func() error { _, err := client.Instances(ctx); return err }},
	} {
		b.Run(call.name, func(b *testing.B) {
			assert.NilError(b, call.run()) // opens the connection
			before, used := call.counted.in.Load()+call.counted.out.Load(), processorTime()
			for b.Loop() {
				assert.NilError(b, call.run())
			}
			bytes := call.counted.in.Load() + call.counted.out.Load() - before
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/call")
			b.ReportMetric(float64(processorTime()-used)/float64(b.N), "cpu-ns/call")
		})
	}
}

func targetNote() api.Note {
	parts := &api.NoteParts{
		Zones:  []api.Zone{{ID: "region-1-zone-0", Region: "region-1"}},
		Models: []api.Model{{ID: "chat-large"}, {ID: "chat-small"}, {ID: "drafts"}},
	}
	for i := range targetEndpoints {
		parts.Endpoints = append(parts.Endpoints, api.Endpoint{
			ID: fmt.Sprintf("endpoint-%04d", i), Instance: fmt.Sprintf("instance-%04d", i), Zone: "region-1-zone-0",
			URL: fmt.Sprintf("http://127.0.%d.%d:9", i/250, i%250+1), Models: []string{parts.Models[i%3].ID}, MaxInflight: 32,
		})
	}
	for i := range targetWorkspaces {
		parts.Workspaces = append(parts.Workspaces, api.Workspace{ID: fmt.Sprintf("workspace-%04d", i), KeySha256: fmt.Sprintf("%064x", i+1)})
	}
	return api.Note{Title: "target", Added: parts}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkFleetHeap reports the heap that a fleet state of the target size takes together
// with its view. It first decodes the state in the way that a router does. Run it with
// -benchtime 1x.
func BenchmarkFleetHeap(b *testing.B) {
	state, err := fleet.Apply(fleet.State{}, targetNote())
	assert.NilError(b, err)
	data, _, err := fleet.Encode(state)
	assert.NilError(b, err)
	for b.Loop() {
		before := heapBytes()
		var decoded fleet.State
		assert.NilError(b, fleet.Unmarshal(data, &decoded))
		view := fleet.NewView(decoded)
		b.ReportMetric(float64(heapBytes()-before), "heap-B")
		runtime.KeepAlive(view)
	}
	runtime.KeepAlive(data)
	b.ReportMetric(float64(len(data)), "encoded-B")
}

// BenchmarkPeerConnection reports the memory of one end of a connection between two
// routers. Both ends are in this process, so it reports half of the memory that the process
// gains per connection. Run it with -benchtime 1x.
func BenchmarkPeerConnection(b *testing.B) {
	const peers = 60
	start := func(id string) (*peer.Transport, string) {
		server := httptest.NewUnstartedServer(nil)
		address := server.Listener.Addr().String()
		handler := peer.HandlerFunc(func(context.Context, string, api.PeerMessage) *api.PeerMessage {
			return &api.PeerMessage{NotesReply: &api.NotesReply{}}
		})
		transport, err := peer.NewTransport(peer.Options{RouterID: id, Address: address, Secret: []byte("benchmark"), Handler: handler})
		assert.NilError(b, err)
		mux := http.NewServeMux()
		mux.Handle(peer.Path, transport)
		server.Config.Handler = mux
		server.Start()
		b.Cleanup(func() { transport.Close(); server.Close() })
		return transport, address
	}
	for b.Loop() {
		hub, _ := start("hub")
		addresses := make([]string, peers)
		for i := range addresses {
			_, addresses[i] = start(fmt.Sprintf("router-%d", i))
		}
		before := memoryInUse()
		for _, address := range addresses {
			_, err := hub.Call(context.Background(), address, api.PeerMessage{NotesRequest: &api.NotesRequest{}})
			assert.NilError(b, err)
		}
		b.ReportMetric(float64(memoryInUse()-before)/(2*peers), "B/connection-end")
	}
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() uint64 {
	heap := heapBytes()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return heap + stats.StackInuse
}

// BenchmarkNoteHead reports the size of the stored object notes.HeadKey after a note that
// adds the target fleet and 32 notes that each change one endpoint.
func BenchmarkNoteHead(b *testing.B) {
	store := objectstore.NewMemory()
	acceptor := notes.NewAcceptor(notes.AcceptorOptions{Store: store})
	accept := func(note api.Note) {
		_, err := acceptor.Accept(context.Background(), note)
		assert.NilError(b, err)
	}
	size := 0
	for b.Loop() {
		accept(targetNote())
		for i := range 32 {
			endpoint := targetNote().Added.Endpoints[i]
			endpoint.MaxInflight++
			accept(api.Note{
				Title:   fmt.Sprintf("Raise the limit of endpoint %d", i),
				Author:  "operator",
				Changed: &api.NoteParts{Endpoints: []api.Endpoint{endpoint}},
			})
		}
		object, err := store.Get(context.Background(), notes.HeadKey)
		assert.NilError(b, err)
		size = len(object.Value)
	}
	b.ReportMetric(float64(size), "bytes")
}

// BenchmarkRouterProcess reports the resident memory and the processor time of a router
// with the fleet state of the target size. The router has no callers. It has no peers
// either, so it owns all 600 endpoints; none of the endpoints answers. Run the benchmark
// with -benchtime 1x.
func BenchmarkRouterProcess(b *testing.B) {
	const settling, measured = 10 * time.Second, 20 * time.Second
	binDir, err := buildBinary()
	assert.NilError(b, err, binDir)
	site := newSite(demoZones)
	defer site.Close()
	client := storeClient(site.PlatformServer.URL)
	_, err = notes.NewAcceptor(notes.AcceptorOptions{Store: client}).Accept(context.Background(), targetNote())
	assert.NilError(b, err)
	addresses, err := standin.FreeAddresses(3)
	assert.NilError(b, err)
	file := filepath.Join(b.TempDir(), "router.toml")
	text := settingsAt(addresses, site.PlatformServer.URL)
	text = strings.Replace(text, "[platform]\n", "[platform]\ntoken_env = \"T\"\n", 1)
	assert.NilError(b, os.WriteFile(file, []byte(text), 0o600))
	for b.Loop() {
		command := exec.Command(filepath.Join(binDir, "hornbeamproxy"), "serve", "--settings", file)
		command.Env = append(os.Environ(), "S="+standin.SitePeerSecret, "T="+standin.SitePlatformToken)
		assert.NilError(b, command.Start())
		time.Sleep(settling)
		before := processTicks(b, command.Process.Pid)
		time.Sleep(measured)
		used := processTicks(b, command.Process.Pid) - before
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
		assert.NilError(b, err)
		var kilobytes float64
		_, rest, _ := strings.Cut(string(status), "VmRSS:")
		_, err = fmt.Sscan(rest, &kilobytes)
		assert.NilError(b, err)
		b.ReportMetric(kilobytes/1024, "resident-MB")
		b.ReportMetric(used*10/measured.Seconds(), "cpu-ms/s")
		_ = command.Process.Kill()
		_ = command.Wait()
	}
}

// processTicks returns the processor time that a process has used so far, in hundredths of
// a second.
func processTicks(b *testing.B, pid int) float64 {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	assert.NilError(b, err)
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	var user, system float64
	_, err = fmt.Sscan(fields[11]+" "+fields[12], &user, &system)
	assert.NilError(b, err)
	return user + system
}
