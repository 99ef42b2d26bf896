package measure

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

const (
	skewWarmUp        = 3500 * time.Millisecond
	skewSurgeDuration = 5 * time.Second
	skewThink         = 100 * time.Millisecond
	skewSpread        = 2500 * time.Millisecond
	// The numbers of callers are per engine. The base of 7.25 callers uses any workspace.
	// The surge raises the callers of surgeWorkspace from 0.25 to 2.5. With turns of 400 ms
	// and pauses of 100 ms, the callers then keep about 8 requests in flight per engine.
	skewBaseCallers        = 7.25
	skewCallersBeforeSurge = 0.25
	skewCallersInSurge     = 2.5
	sampleInterval         = 5 * time.Millisecond
	loadMultiple           = 1.25
	surgeWorkspace         = 9
)

var skewVariants = []string{variantBuild, variantLeastLoaded, variantUnbounded, variantRoundRobin}

func (r *runner) loadSkew(ctx context.Context, sites []siteSize) error {
	return eachVariant(skewVariants, sites, func(size siteSize, variant string) error {
		return r.skewVariant(ctx, size, variant)
	})
}

func (r *runner) skewVariant(ctx context.Context, size siteSize, variant string) error {
	engine := cacheEngine
	engine.LoadLag = reportLag
	b, err := r.startBench(size, variant, engine, routerCount, fastPoll)
	if err != nil {
		return err
	}
	defer r.closeBench(b)
	load, stop := context.WithCancel(ctx)
	defer stop()
	var turns turnLog
	base := workload{
		callers: int(skewBaseCallers * float64(size.engines)), think: skewThink, spread: skewSpread, answerTokens: answerTokens,
		turns: cacheTurns, workspace: anyWorkspace, name: "base", seed: r.options.Seed,
	}
	surge := base
	surge.workspace, surge.name, surge.callers = surgeWorkspace, "surge", int(skewCallersBeforeSurge*float64(size.engines))
	groups := []*sync.WaitGroup{b.startWorkload(load, base, &turns), b.startWorkload(load, surge, &turns)}
	time.Sleep(skewWarmUp)
	sampler := startSampler(b.Site)
	surge.callers = int((skewCallersInSurge - skewCallersBeforeSurge) * float64(size.engines))
	surge.name, surge.spread = "surged", skewThink
	began := time.Now()
	groups = append(groups, b.startWorkload(load, surge, &turns))
	time.Sleep(skewSurgeDuration)
	end := time.Now()
	samples := sampler.close()
	stop()
	for _, group := range groups {
		group.Wait()
	}
	r.addSkewRows(size, variant, b, samples, turns.startedBetween(began, end))
	return nil
}

func (r *runner) addSkewRows(size siteSize, variant string, b *bench, samples []loadSample, turns []turn) {
	var skews []float64
	total := 0.0
	inflight := 0
	for _, sample := range samples {
		skews = append(skews, sample.skew())
		total += sample.skew()
		inflight += sample.sum()
	}
	add := func(figure string, value float64, unit string) {
		r.table.add(MeasureSkew, size.name, variant, figure, value, unit)
	}
	add("mean in flight", ratio(inflight, len(samples)*size.engines), "an engine")
	add("mean of max/mean", total/float64(max(len(skews), 1)), "ratio")
	add("p99 of max/mean", quantile(skews, 0.99), "ratio")
	add("answered", answeredShare(turns), "share")
	add("p95 first byte", milliseconds(quantile(firstByteTimes(turns), 0.95)), "ms")
	over, admissions, highest := overBound(b.Site, samples)
	add("highest above the bound", float64(highest), "requests")
	if variant == variantBuild {
		r.table.addWithTarget(MeasureSkew, size.name, "admissions above the bound", ratio(over, admissions), "share",
			atMost(0, "0 above ceil(1.25 x mean)"))
		return
	}
	add("admissions above the bound", ratio(over, admissions), "share")
}

// overBound compares the load of an engine at each start of a completion with the load
// bound. It computes the bound from the newest sample before the start. It returns how many
// starts exceeded the bound, how many it compared, and by how many requests the worst start
// exceeded the bound. It leaves out starts before the first or after the last sample.
func overBound(site *standin.Site, samples []loadSample) (over, admissions, highest int) {
	for _, engine := range site.Engines {
		for _, start := range engine.CompletionStarts() {
			at, _ := slices.BinarySearchFunc(samples, start.At, func(s loadSample, t time.Time) int { return s.at.Compare(t) })
			if at == 0 || at == len(samples) {
				continue
			}
			admissions++
			// The sample was taken before the request started; + 1 adds the request.
			excess := start.Concurrent - admissionBound(loadMultiple, samples[at-1].sum()+1, len(site.Engines))
			if excess > 0 {
				over++
				highest = max(highest, excess)
			}
		}
	}
	return over, admissions, highest
}

// sampler reads the number of requests in flight at each engine every sampleInterval.
type sampler struct {
	stop    chan struct{}
	done    chan struct{}
	samples []loadSample
}

func startSampler(site *standin.Site) *sampler {
	s := &sampler{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			select {
			case <-s.stop:
				return
			case <-ticker.C:
				s.samples = append(s.samples, readSample(site))
			}
		}
	}()
	return s
}

func readSample(site *standin.Site) loadSample {
	sample := loadSample{at: time.Now(), loads: make([]int, len(site.Engines))}
	for i, engine := range site.Engines {
		sample.loads[i] = engine.Running()
	}
	return sample
}

// close stops the sampler and returns the samples, oldest first.
func (s *sampler) close() []loadSample {
	close(s.stop)
	<-s.done
	return s.samples
}
