package measure

import (
	"context"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

const (
	zoneWarmUp = 4 * time.Second
	zonePhase  = 4 * time.Second
	// zoneDrained is the time from the withdrawal to the loss of the zone's
	// engines: withdraw_within and the longest answer.
	zoneDrained = 3500 * time.Millisecond
	// callersPerZoneEngine give a mean of 4 in flight, so that three zones can
	// take the work of the fourth.
	callersPerZoneEngine = 20

	variantDropped = "zone dropped"
)

var zoneVariants = []string{variantBuild, variantDropped}

func (r *runner) zoneService(ctx context.Context, sites []siteSize) error {
	return eachVariant(zoneVariants, sites, func(size siteSize, variant string) error {
		return r.zoneVariant(ctx, size, variant)
	})
}

func (r *runner) zoneVariant(ctx context.Context, size siteSize, variant string) error {
	b, err := r.startBench(size, variant, cacheEngine, routerCount, fastPoll)
	if err != nil {
		return err
	}
	defer r.closeBench(b)
	load, stop := context.WithCancel(ctx)
	defer stop()
	var turns trace
	callers := b.start(load, workload{
		callers: callersPerZoneEngine * size.engines, think: cacheThink, spread: cacheSpread, answerTokens: answerTokens,
		turns: cacheTurns, workspace: anyWorkspace, name: "zone", seed: r.options.Seed,
	}, &turns)
	time.Sleep(zoneWarmUp)
	zone := size.zones[len(size.zones)-1]
	marks := []time.Time{time.Now()}
	time.Sleep(zonePhase)
	marks = append(marks, time.Now())
	err = b.loseZone(zone, variant == variantDropped)
	if err == nil {
		time.Sleep(zonePhase)
		marks = append(marks, time.Now())
		err = b.regainZone(zone, variant == variantDropped)
		time.Sleep(zonePhase)
	}
	marks = append(marks, time.Now())
	stop()
	callers.Wait()
	if err != nil {
		return err
	}
	for i, phase := range []string{"before", "during", "after"} {
		r.addZone(size, variant, phase, turns.between(marks[i], marks[i+1]))
	}
	whole := turns.between(marks[0], marks[len(marks)-1])
	if variant == variantBuild {
		r.table.judge(NameZone, size.name, "answered, all phases", answeredShare(whole), "share", atLeast(1, "every request answered"))
	} else {
		r.table.add(NameZone, size.name, variant, "answered, all phases", answeredShare(whole), "share")
	}
	return nil
}

// loseZone takes the zone's engines away, with a note before it unless the zone
// is dropped.
func (b *bench) loseZone(zone string, dropped bool) error {
	if !dropped {
		note := api.Note{Title: "Withdraw " + zone, Author: "measure", Withdrawn: &api.NoteWithdrawals{Zones: []string{zone}}}
		if err := b.Accept(b.Routers[0], note); err != nil {
			return err
		}
		time.Sleep(zoneDrained)
	}
	for _, engine := range b.Site.Engines {
		if engine.Zone == zone {
			engine.Disconnect()
		}
	}
	return nil
}

func (b *bench) regainZone(zone string, dropped bool) error {
	for _, engine := range b.Site.Engines {
		if engine.Zone != zone {
			continue
		}
		if err := engine.Reconnect(); err != nil {
			return err
		}
	}
	if dropped {
		return nil
	}
	note := api.Note{
		Title:   "Bring " + zone + " back",
		Author:  "measure",
		Changed: &api.NoteParts{Zones: []api.Zone{{ID: zone, Region: "region-1"}}},
	}
	return b.Accept(b.Routers[0], note)
}

func (r *runner) addZone(size siteSize, variant, phase string, turns []turn) {
	add := func(figure string, value float64, unit string) {
		r.table.add(NameZone, size.name, variant, figure+" "+phase, value, unit)
	}
	add("answered", answeredShare(turns), "share")
	add("p95 first byte", milliseconds(quantile(firstBytes(turns), 0.95)), "ms")
	add("reuse", reuseOf(turns).ofIdeal(), "of ideal")
}
