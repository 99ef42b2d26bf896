package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// The workload is one of 20 s between two turns of a chat and of 4 s for an
// answer, run ten times as fast; the churn interval of 10 s is 1 s then.
const (
	cacheWarmUp   = 4 * time.Second
	cacheSteady   = 4 * time.Second
	cacheChurn    = 6 * time.Second
	churnInterval = time.Second
	cacheThink    = 1600 * time.Millisecond
	// cacheSpread is the time over which callers begin, so that the measure does
	// not start with a burst into an idle pool.
	cacheSpread      = 2500 * time.Millisecond
	cacheTurns       = 8
	callersPerEngine = 40
	answerTokens     = 17
	joinBearable     = 2
)

// cacheEngine takes 400 ms for an answer with an empty cache, so that the mean
// load is about 8 with callersPerEngine callers.
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
	var turns trace
	callers := b.start(load, workload{
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
		perTurn := ratio(int(after[refused]-before[refused]), len(turns.between(steady, churn)))
		r.table.add(NameCache, size.name, variant, "steady refusals by the load bound", perTurn, "a turn")
	}
	r.addReuse(size, variant, "steady", turns.between(steady, churn), atLeast(0.95, ">= 0.95 of ideal"))
	r.addReuse(size, variant, "churn", turns.between(churn, end), atLeast(0.90, ">= 0.90 of ideal"))
	return nil
}

func (r *runner) addReuse(size siteSize, variant, phase string, turns []turn, bound target) {
	sum := reuseOf(turns)
	r.table.add(NameCache, size.name, variant, phase+" reuse", sum.share(), "of prompt")
	if variant == variantBuild {
		r.table.add(NameCache, size.name, variantIdeal, phase+" reuse", sum.idealShare(), "of prompt")
		r.table.judge(NameCache, size.name, phase+" reuse", sum.ofIdeal(), "of ideal", bound)
		return
	}
	r.table.add(NameCache, size.name, variant, phase+" reuse", sum.ofIdeal(), "of ideal")
}

// churn lets one endpoint leave or join in each interval. An endpoint that joins
// has an empty cache and was cold until then.
func (b *bench) churn(random *rand.Rand, until time.Time) error {
	var away *standin.SiteEngine
	for next := time.Now(); next.Before(until); next = next.Add(churnInterval) {
		time.Sleep(time.Until(next))
		var err error
		if away == nil {
			away = b.Site.Engines[random.IntN(len(b.Site.Engines))]
			err = b.withdrawEndpoint(away.ID)
		} else {
			away.Restart(joinBearable)
			away.SetReadiness(api.ReadinessReady, joinBearable)
			err = b.returnEndpoint(away.ID)
			away = nil
		}
		if err != nil {
			return fmt.Errorf("churn: %w", err)
		}
	}
	time.Sleep(time.Until(until))
	return nil
}
