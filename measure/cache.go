package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// The workload models chats with one turn every 20 s; the answer takes 4 s of each turn. In
// the phase with churn, an endpoint leaves or joins the pool every 10 s. The measure runs
// this workload ten times as fast.
const (
	// cacheWarmUp is the time before the two measured phases. The first phase takes
	// cacheSteady and has no churn. The second takes cacheChurn and has churn.
	cacheWarmUp   = 4 * time.Second
	cacheSteady   = 4 * time.Second
	cacheChurn    = 6 * time.Second
	churnInterval = time.Second
	// cacheThink is the mean pause of a caller between two turns.
	cacheThink = 1600 * time.Millisecond
	// cacheSpread is the time over which the starts of the callers are spread, so that
	// the measure does not begin with a burst of requests to an idle pool.
	cacheSpread      = 2500 * time.Millisecond
	cacheTurns       = 8
	callersPerEngine = 40
	answerTokens     = 17
	// joinBearable is the number of concurrent requests that a restarted endpoint accepts
	// while it is cold. It limits nothing here, because churn makes the endpoint ready at
	// once.
	joinBearable = 2
)

// cacheEngine takes 400 ms for an answer of answerTokens (17) tokens to an uncached
// prompt. With pauses of cacheThink (1.6 s), callersPerEngine (40) callers give each engine
// a mean load of about 8 requests.
var cacheEngine = standin.EngineConfig{
	TTFT:          60 * time.Millisecond,
	TokenInterval: 20 * time.Millisecond,
}

var cacheVariants = []string{
	variantBuild, variantRoundRobin, variantModulo, variantUnbounded, variantLeastLoaded,
}

func (r *runner) cacheReuse(ctx context.Context, sites []siteSize) error {
	return eachVariant(cacheVariants, sites, func(size siteSize, variant string) error {
		return r.cacheVariant(ctx, size, variant)
	})
}

func (r *runner) cacheVariant(ctx context.Context, size siteSize, variant string) error {
	b, err := r.startBench(size, variant, cacheEngine, routerCount, fastPoll)
	if err != nil {
		return err
	}
	defer r.closeBench(b)
	load, stop := context.WithCancel(ctx)
	defer stop()
	var turns turnLog
	callers := b.startWorkload(load, workload{
		callers: callersPerEngine * size.engines, think: cacheThink, spread: cacheSpread, answerTokens: answerTokens,
		turns: cacheTurns, workspace: anyWorkspace, name: "chat", seed: r.options.Seed,
	}, &turns)
	time.Sleep(cacheWarmUp)
	steady, before := time.Now(), b.counters()
	time.Sleep(cacheSteady)
	after := b.counters()
	churn := time.Now()
	err = b.churn(rand.New(rand.NewPCG(r.options.Seed, 1)), churn.Add(cacheChurn))
	end := time.Now()
	stop()
	callers.Wait()
	if err != nil {
		return err
	}
	if variant == variantBuild {
		const refused = "permits.refused.load_multiple"
		perTurn := ratio(int(after[refused]-before[refused]), len(turns.startedBetween(steady, churn)))
		r.table.add(MeasureCache, size.name, variant, "steady refusals by the load bound", perTurn, "a turn")
	}
	r.addReuseRows(size, variant, "steady", turns.startedBetween(steady, churn), atLeast(0.95, ">= 0.95 of ideal"))
	r.addReuseRows(size, variant, "churn", turns.startedBetween(churn, end), atLeast(0.90, ">= 0.90 of ideal"))
	return nil
}

func (r *runner) addReuseRows(size siteSize, variant, phase string, turns []turn, bound target) {
	sum := sumReuse(turns)
	r.table.add(MeasureCache, size.name, variant, phase+" reuse", sum.share(), "of prompt")
	if variant == variantBuild {
		r.table.add(MeasureCache, size.name, variantIdeal, phase+" reuse", sum.idealShare(), "of prompt")
		r.table.addWithTarget(MeasureCache, size.name, phase+" reuse", sum.ofIdeal(), "of ideal", bound)
		return
	}
	r.table.add(MeasureCache, size.name, variant, phase+" reuse", sum.ofIdeal(), "of ideal")
}

// churn alternately withdraws a random endpoint and puts it back into service, one step
// in each churnInterval, until the given time. The endpoint comes back with an empty cache
// but reports itself ready.
func (b *bench) churn(random *rand.Rand, until time.Time) error {
	var withdrawn *standin.SiteEngine
	for next := time.Now(); next.Before(until); next = next.Add(churnInterval) {
		time.Sleep(time.Until(next))
		var err error
		if withdrawn == nil {
			withdrawn = b.Site.Engines[random.IntN(len(b.Site.Engines))]
			err = b.withdrawEndpoint(withdrawn.ID)
		} else {
			withdrawn.Restart(joinBearable)
			withdrawn.SetReadiness(api.ReadinessReady, joinBearable)
			err = b.returnEndpoint(withdrawn.ID)
			withdrawn = nil
		}
		if err != nil {
			return fmt.Errorf("withdrawing or returning an endpoint: %w", err)
		}
	}
	time.Sleep(time.Until(until))
	return nil
}
