package measure

import (
	"context"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

const (
	zoneWarmUp = 4 * time.Second
	// zonePhase is the length of each of the three phases: before, during and after the
	// disconnection of the zone's engines.
	zonePhase = 4 * time.Second
	// zoneDrainTime is the time from the withdrawal to the disconnection of the zone's
	// engines. It covers withdraw_within (3 s) and then the longest answer (400 ms).
	zoneDrainTime = 3500 * time.Millisecond
	// callersPerZoneEngine is the number of callers per engine. It gives each engine a
	// mean of 4 requests in flight, so that three zones have the capacity for the load of
	// the fourth.
	callersPerZoneEngine = 20

	// In variantDropped the zone's engines are disconnected without a release note that
	// withdraws the zone first.
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
	var turns turnLog
	callers := b.startWorkload(load, workload{
		callers: callersPerZoneEngine * size.engines, think: cacheThink, spread: cacheSpread, answerTokens: answerTokens,
		turns: cacheTurns, workspace: anyWorkspace, name: "zone", seed: r.options.Seed,
	}, &turns)
	time.Sleep(zoneWarmUp)
	zone := size.zones[len(size.zones)-1]
	marks := []time.Time{time.Now()}
	time.Sleep(zonePhase)
	marks = append(marks, time.Now())
	err = b.disconnectZone(zone, variant == variantDropped)
	if err == nil {
		time.Sleep(zonePhase)
		marks = append(marks, time.Now())
		err = b.reconnectZone(zone, variant == variantDropped)
		time.Sleep(zonePhase)
	}
	marks = append(marks, time.Now())
	stop()
	callers.Wait()
	if err != nil {
		return err
	}
	for i, phase := range []string{"before", "during", "after"} {
		r.addZoneRows(size, variant, phase, turns.startedBetween(marks[i], marks[i+1]))
	}
	whole := turns.startedBetween(marks[0], marks[len(marks)-1])
	if variant == variantBuild {
		r.table.addWithTarget(MeasureZone, size.name, "answered, all phases", answeredShare(whole), "share", atLeast(1, "every request answered"))
	} else {
		r.table.add(MeasureZone, size.name, variant, "answered, all phases", answeredShare(whole), "share")
	}
	return nil
}

// disconnectZone disconnects the zone's engines. Unless dropped is set, it first withdraws
// the zone with a release note and waits for zoneDrainTime.
func (b *bench) disconnectZone(zone string, dropped bool) error {
	if !dropped {
		note := api.Note{Title: "Withdraw " + zone, Author: "measure", Withdrawn: &api.NoteWithdrawals{Zones: []string{zone}}}
		if err := b.AcceptNote(b.Routers[0], note); err != nil {
			return err
		}
		time.Sleep(zoneDrainTime)
	}
	for _, engine := range b.Site.Engines {
		if engine.Zone == zone {
			engine.Disconnect()
		}
	}
	return nil
}

// reconnectZone reconnects the zone's engines and, unless dropped is set, adds the zone
// again with a release note.
func (b *bench) reconnectZone(zone string, dropped bool) error {
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
	return b.AcceptNote(b.Routers[0], note)
}

func (r *runner) addZoneRows(size siteSize, variant, phase string, turns []turn) {
	add := func(figure string, value float64, unit string) {
		r.table.add(MeasureZone, size.name, variant, figure+" "+phase, value, unit)
	}
	add("answered", answeredShare(turns), "share")
	add("p95 first byte", milliseconds(quantile(firstByteTimes(turns), 0.95)), "ms")
	add("reuse", sumReuse(turns).ofIdeal(), "of ideal")
}
