package measure

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

const (
	latencyCalls = 3000
	// latencyWarmUp is the number of calls that open the connections and are not
	// measured.
	latencyWarmUp        = 200
	throughputDuration   = 4 * time.Second
	throughputCallers    = 16
	maxAddedMilliseconds = 0.3
)

// latency compares calls through a router with direct calls to an engine, at the first
// site only. A single caller sends both kinds in turn, so that calls don't compete and the
// load of the machine affects both kinds alike.
func (r *runner) latency(ctx context.Context, sites []siteSize) error {
	r.closingFleets.Wait()
	size := sites[0]
	b, err := r.startBench(size, variantBuild, standin.EngineConfig{}, routerCount, fastPoll)
	if err != nil {
		return err
	}
	defer r.closeBench(b)
	var direct, routed []time.Duration
	for i := range latencyCalls + latencyWarmUp {
		engine := b.Site.Engines[i%len(b.Site.Engines)].Server.URL
		router := b.Routers[i%len(b.Routers)].CallersURL
		directly := b.send(ctx, engine, newChat(0, fmt.Sprintf("direct-%d", i), 1))
		through := b.send(ctx, router, newChat(0, fmt.Sprintf("routed-%d", i), 1))
		if directly.err != nil || through.err != nil {
			return fmt.Errorf("calling the engine directly: %w; calling it through a router: %w", directly.err, through.err)
		}
		if i >= latencyWarmUp {
			direct = append(direct, directly.firstByte)
			routed = append(routed, through.firstByte)
		}
	}
	added := func(q float64) float64 { return milliseconds(quantile(routed, q) - quantile(direct, q)) }
	r.table.add(MeasureLatency, size.name, "direct", "p50 first byte", milliseconds(quantile(direct, 0.5)), "ms")
	r.table.add(MeasureLatency, size.name, "direct", "p99 first byte", milliseconds(quantile(direct, 0.99)), "ms")
	r.table.addWithTarget(MeasureLatency, size.name, "p50 added to first byte", added(0.5), "ms", atMost(maxAddedMilliseconds, "< 0.3 ms"))
	r.table.add(MeasureLatency, size.name, variantBuild, "p99 added to first byte", added(0.99), "ms")
	return r.throughput(ctx, size, b)
}

// throughput measures the processor time that a router adds to a request. Callers and
// engines run in the same process as the routers. So it measures the processor time of the
// process per call, and subtracts the time of a direct call from that of a call through a
// router.
func (r *runner) throughput(ctx context.Context, size siteSize, b *bench) error {
	direct, err := b.processorTimePerCall(ctx, func(i int) string { return b.Site.Engines[i%len(b.Site.Engines)].Server.URL })
	if err != nil {
		return err
	}
	routed, err := b.processorTimePerCall(ctx, func(i int) string { return b.Routers[i%len(b.Routers)].CallersURL })
	if err != nil {
		return err
	}
	r.table.add(MeasureLatency, size.name, "direct", "requests per core, with callers", float64(time.Second)/float64(direct), "1/s")
	r.table.add(MeasureLatency, size.name, variantBuild, "requests per core, router only", float64(time.Second)/float64(routed-direct), "1/s")
	return nil
}

// processorTimePerCall returns the mean processor time of the process for one call. It
// includes the work of the caller and of the engine, which run in the same process.
func (b *bench) processorTimePerCall(ctx context.Context, target func(call int) string) (time.Duration, error) {
	var calls atomic.Int64
	var failed atomic.Pointer[error]
	end := time.Now().Add(throughputDuration)
	before := processorTime()
	var waiting sync.WaitGroup
	for range throughputCallers {
		waiting.Go(func() {
			for time.Now().Before(end) && failed.Load() == nil {
				i := int(calls.Add(1))
				if a := b.send(ctx, target(i), newChat(i%workspaceCount, fmt.Sprintf("call-%d", i), 1)); a.err != nil {
					failed.Store(&a.err)
				}
			}
		})
	}
	waiting.Wait()
	if err := failed.Load(); err != nil {
		return 0, *err
	}
	return (processorTime() - before) / time.Duration(calls.Load()), nil
}
