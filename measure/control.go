package measure

import (
	"context"
	"net"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/hornbeamproxy/hornbeamproxy/engine"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

const (
	idleControlDuration = 4 * time.Second
	// loadedControlDuration equals the interval at which a router renews each of its
	// admission permits, so that each permit is renewed once in this time.
	loadedControlDuration = 20 * time.Second
	// callsPerSecondPerRouter is the rate of section 1.3 of the design: 1,700 requests a
	// second over 350 routers.
	callsPerSecondPerRouter = 5
	targetRouters           = 350
	// targetEndpoints is the number of endpoints in section 1.3. The routers share the
	// load polls of these endpoints.
	targetEndpoints = 600
	// smallFleetRouters is the number of routers in the smaller of the two fleets whose
	// control traffic is extrapolated to targetRouters.
	smallFleetRouters = 4
	// The bounds below are for one router.
	maxControlBytesPerSecond = 4096
	maxControlCorePercent    = 1.1
	maxControlHeapMB         = 64
)

// controlKinds groups the byte counters of the peer traffic by the prefix of their kind.
// The first matching prefix applies.
var controlKinds = []struct{ name, prefix string }{
	{"gossip", "gossip"},
	{"permits", "permit_"},
	{"claims", "claim_"},
	{"notes", "notes_"},
	{"other", ""},
}

// controlUsage is the mean use of resources by the control traffic of one router.
type controlUsage struct {
	// sent and received are in bytes a second, by kind of traffic.
	sent, received map[string]float64
	// corePercent is the processor time of the whole process divided by the number of
	// routers, in percent of a core.
	corePercent float64
}

// totalOfKind returns the sum of both directions of one kind.
func (u controlUsage) totalOfKind(kind string) float64 { return u.sent[kind] + u.received[kind] }

func (u controlUsage) total() float64 {
	sum := 0.0
	for _, rate := range u.sent {
		sum += rate
	}
	for _, rate := range u.received {
		sum += rate
	}
	return sum
}

// controlTraffic measures the sites one after the other, because it can only read the
// processor time of the whole process.
func (r *runner) controlTraffic(ctx context.Context, sites []siteSize) error {
	r.closingFleets.Wait()
	for _, size := range sites {
		if err := r.controlSite(ctx, size); err != nil {
			return err
		}
		r.closingFleets.Wait()
	}
	return nil
}

func (r *runner) controlSite(ctx context.Context, size siteSize) error {
	small, _, _, err := r.controlFleet(ctx, size, smallFleetRouters)
	if err != nil {
		return err
	}
	r.closingFleets.Wait()
	loaded, idle, heap, err := r.controlFleet(ctx, size, routerCount)
	if err != nil {
		return err
	}
	add := func(figure string, value float64, unit string) {
		r.table.add(MeasureControl, size.name, variantBuild, figure, value, unit)
	}
	for _, kind := range append(kindNames(), "platform", "load polls") {
		add(kind+" sent", loaded.sent[kind], "B/s")
		add(kind+" received", loaded.received[kind], "B/s")
	}
	add("idle fleet, all control", idle.total(), "B/s")
	add("loaded fleet with 4 routers", small.total(), "B/s")
	r.table.addWithTarget(MeasureControl, size.name, "all control, 8 routers", loaded.total(), "B/s", atMost(maxControlBytesPerSecond, "<= 4096 B/s"))
	polls := loaded.totalOfKind("load polls")
	rate, slope := extrapolate(smallFleetRouters, small.total()-small.totalOfKind("load polls"), routerCount, loaded.total()-polls, targetRouters)
	add("slope per added router, without polls", slope, "B/s")
	// The traffic of a router's load polls depends on its share of the endpoints and not
	// only on the number of routers, so it is scaled separately.
	rate += polls * (targetEndpoints / float64(targetRouters)) / (float64(size.engines) / routerCount)
	r.table.addWithTarget(MeasureControl, size.name, "all control, 350 routers (line)", rate, "B/s", atMost(maxControlBytesPerSecond, "<= 4096 B/s"))
	r.table.addWithTarget(MeasureControl, size.name, "processor, idle fleet with stand-ins", idle.corePercent, "% of core", atMost(maxControlCorePercent, "<= 1.1%"))
	add("processor, loaded with data and callers", loaded.corePercent, "% of core")
	r.table.addWithTarget(MeasureControl, size.name, "heap of an idle router", heap, "MB", atMost(maxControlHeapMB, "<= 64 MB"))
	return nil
}

func kindNames() []string {
	var names []string
	for _, kind := range controlKinds {
		names = append(names, kind.name)
	}
	return names
}

// controlFleet starts a fleet and measures its control traffic under load. If the fleet has
// routerCount routers, it first measures the traffic without load, as idle. heap is the
// growth of the process's heap during the start of the fleet, in MB per router.
func (r *runner) controlFleet(ctx context.Context, size siteSize, routers int) (loaded, idle controlUsage, heap float64, err error) {
	before := heapBytes()
	b, err := r.startBench(size, variantBuild, cacheEngine, routers, defaultPoll)
	if err != nil {
		return loaded, idle, 0, err
	}
	defer r.closeBench(b)
	heap = (heapBytes() - before) / float64(routers) / (1 << 20)
	poll, err := pollBytes(ctx, b.Site.Engines[0])
	if err != nil {
		return loaded, idle, 0, err
	}
	if routers == routerCount {
		idle = b.controlDuring(poll, func() { time.Sleep(idleControlDuration) })
	}
	loaded = b.controlDuring(poll, func() { b.callAtRate(ctx, r.options.Seed) })
	return loaded, idle, heap, nil
}

// callAtRate sends callsPerSecondPerRouter calls a second to each router.
func (b *bench) callAtRate(ctx context.Context, seed uint64) {
	load, stop := context.WithTimeout(ctx, loadedControlDuration)
	defer stop()
	// A turn takes 400 ms and the pause after it 1.6 s, so that a caller sends one call
	// every 2 s.
	callers := callsPerSecondPerRouter * len(b.Routers) * 2
	b.startWorkload(load, workload{
		callers: callers, think: cacheThink, spread: cacheThink, answerTokens: answerTokens,
		turns: cacheTurns, workspace: anyWorkspace, name: "control", seed: seed,
	}, &turnLog{}).Wait()
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// controlDuring measures the control traffic while work runs. pollSize has the numbers of
// bytes that one load poll sends and receives.
func (b *bench) controlDuring(pollSize [2]float64, work func()) controlUsage {
	before, processor, started := b.counters(), processorTime(), time.Now()
	work()
	seconds := time.Since(started).Seconds() * float64(len(b.Routers))
	use := controlUsage{sent: map[string]float64{}, received: map[string]float64{}}
	use.corePercent = 100 * (processorTime() - processor).Seconds() / seconds
	for name, count := range b.counters() {
		rate := float64(count-before[name]) / seconds
		if name == "load.polls" {
			use.sent["load polls"] += rate * pollSize[0]
			use.received["load polls"] += rate * pollSize[1]
		}
		addTraffic(use.sent, name, "sent", rate)
		addTraffic(use.received, name, "received", rate)
	}
	return use
}

// addTraffic adds rate to the kind of traffic (see controlKinds) that the counter name
// counts. It ignores counters that don't count bytes of the given direction.
func addTraffic(rates map[string]float64, name, direction string, rate float64) {
	if name == "platform.bytes."+direction {
		rates["platform"] += rate
		return
	}
	kind, ok := strings.CutPrefix(name, "peer.bytes."+direction+".")
	if !ok {
		return
	}
	for _, group := range controlKinds {
		if strings.HasPrefix(kind, group.prefix) {
			rates[group.name] += rate
			return
		}
	}
}

// counters sums the counters of all routers.
func (b *bench) counters() map[string]int64 {
	sums := map[string]int64{}
	for _, router := range b.Routers {
		router.Metrics.Registry.Each(func(name string, metric any) {
			if counter, ok := metric.(metrics.Counter); ok {
				sums[name] += counter.Count()
			}
		})
	}
	return sums
}

// processorTime is the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// countedListener counts the bytes of its connections as the clients see them: sent is
// the number of bytes that the clients send.
type countedListener struct {
	net.Listener
	sent, received *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countedConn{conn, l.received, l.sent}, err
}

// pollBytes returns the bytes that one poll of a load report sends and receives.
func pollBytes(ctx context.Context, at *standin.SiteEngine) (size [2]float64, err error) {
	var sent, received atomic.Int64
	server := httptest.NewUnstartedServer(at.Server.Config.Handler)
	server.Listener = countedListener{server.Listener, &sent, &received}
	server.Start()
	defer server.Close()
	client := engine.New(engine.Options{})
	defer client.Close()
	_, err = client.ReadLoad(ctx, server.URL)
	return [2]float64{float64(sent.Load()), float64(received.Load())}, err
}
