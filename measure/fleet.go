package measure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/localfleet"
	"github.com/hornbeamproxy/hornbeamproxy/placement"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// Names of the variants in the table.
const (
	variantBuild       = "this build"
	variantRoundRobin  = "round robin"
	variantModulo      = "modulo hash"
	variantUnbounded   = "hash without bound"
	variantLeastLoaded = "least loaded"
	variantIdeal       = "ideal"
)

const (
	routerCount    = 8
	serviceCount   = 4
	workspaceCount = 10
	// maxInflight is higher than any load of the workloads, so that only the load bound
	// limits admission.
	maxInflight = 128
	// cacheTokens is the cache capacity of each engine in tokens. It is enough for all
	// prompts of a run, so that no cache evicts anything. The ideal reuse assumes
	// unbounded caches and would otherwise be too high.
	cacheTokens = 1 << 24
	// reportLag is the age of the engine loads that the least-loaded policy (laggedLoads)
	// uses. In the skew measure, it is also the age of the load reports that the routers
	// get from the engines.
	reportLag = 500 * time.Millisecond
	// fastPoll is the interval of load polls for workloads that run ten times as fast
	// as real ones; defaultPoll is the routers' default interval.
	fastPoll    = 100 * time.Millisecond
	defaultPoll = 500 * time.Millisecond
)

// siteSize is the size of a site according to section 1.3 of the design.
type siteSize struct {
	name    string
	zones   []string
	engines int
}

var allSites = []siteSize{
	{"zhetisu", []string{"medeu", "bostandyk", "auezov", "turksib"}, 20},
	{"tamarind", []string{"port-louis", "curepipe", "ebene", "rose-hill"}, 10},
}

func sitesNamed(names []string) ([]siteSize, error) {
	var found []siteSize
	for _, name := range names {
		for _, site := range allSites {
			if site.name == name {
				found = append(found, site)
			}
		}
	}
	if len(found) != len(names) {
		return nil, fmt.Errorf("measure: unknown site in %q", names)
	}
	return found, nil
}

// eachVariant runs f for each variant and site. The variants run one after the other, the
// sites concurrently.
func eachVariant(variants []string, sites []siteSize, f func(size siteSize, variant string) error) error {
	for _, variant := range variants {
		err := eachSite(sites, func(size siteSize) error { return f(size, variant) })
		if err != nil {
			return err
		}
	}
	return nil
}

// eachSite runs part for all sites concurrently. If several fail, it returns the error of
// the one that comes first in sites.
func eachSite(sites []siteSize, part func(siteSize) error) error {
	errs := make([]error, len(sites))
	var waiting sync.WaitGroup
	for i, site := range sites {
		waiting.Go(func() { errs[i] = part(site) })
	}
	waiting.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// bench is a running fleet of one variant.
type bench struct {
	*localfleet.Fleet
	// lagged is the placement policy of variantLeastLoaded. The other variants don't use it.
	lagged *laggedLoads
	// notes is the number of release notes so far. It makes the titles of the notes
	// unique, because a note with a repeated title would refer to the earlier one.
	notes int
}

// startBench starts a site with routers of the variant and waits until each router
// answers and has its peers' loads from gossip.
func (r *runner) startBench(size siteSize, variant string, engine standin.EngineConfig, routers int, poll time.Duration) (*bench, error) {
	engine.CacheTokens = cacheTokens
	engine.MaxRunning = maxInflight
	site := standin.NewSite(standin.SiteConfig{
		Zones:       size.zones,
		Engines:     size.engines,
		Services:    serviceCount,
		Workspaces:  workspaceCount,
		MaxInflight: maxInflight,
		Engine:      engine,
	})
	b := &bench{lagged: newLaggedLoads(site)}
	options := localfleet.Options{Site: site, Logger: r.options.Logger, LoadPollInterval: poll}
	for i := range routers {
		options.Zones = append(options.Zones, size.zones[i%len(size.zones)])
	}
	options.Policy, options.NoAdmissionLimits = b.policy(variant)
	var err error
	if b.Fleet, err = localfleet.Start(options); err != nil {
		r.closeBench(b)
		return nil, err
	}
	if err := b.AcceptNote(b.Routers[0], site.Note()); err != nil {
		r.closeBench(b)
		return nil, err
	}
	if err := b.awaitRouters(); err != nil {
		r.closeBench(b)
		return nil, err
	}
	return b, nil
}

// policy returns the placement policy of a variant and whether admission limits are off. A
// nil policy means the placement policy that the routers have by default.
func (b *bench) policy(variant string) (policy placement.Policy, noAdmissionLimits bool) {
	switch variant {
	case variantRoundRobin:
		return &placement.RoundRobin{}, true
	case variantModulo:
		return placement.Modulo{}, true
	case variantUnbounded:
		return placement.Rendezvous{}, true
	case variantLeastLoaded:
		return b.lagged, true
	}
	return nil, false
}

// closeBench stops the load readings of laggedLoads at once and shuts the fleet down in
// the background.
func (r *runner) closeBench(b *bench) {
	b.lagged.close()
	r.closingFleets.Go(func() { _ = b.Close() })
}

// settleTime is long enough to distribute the endpoints' loads: each admission owner, i.e.
// the router that admits requests to an endpoint, polls its endpoints, and gossip then
// sends their loads to the other routers.
const settleTime = time.Second

// awaitRouters waits until every router answers, and then for settleTime.
func (b *bench) awaitRouters() error {
	deadline := time.Now().Add(localfleet.StartTimeout)
	for i, router := range b.Routers {
		for {
			probe := newChat(0, fmt.Sprintf("probe-%d", i), 1)
			answer := b.send(context.Background(), router.CallersURL, probe)
			if answer.err == nil {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not answer: %w", router.ID, answer.err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(settleTime)
	return nil
}

func (b *bench) uniqueTitle(text string) string {
	b.notes++
	return fmt.Sprintf("%s (%d)", text, b.notes)
}

func (b *bench) withdrawEndpoint(id string) error {
	note := api.Note{Title: b.uniqueTitle("Withdraw " + id), Author: "measure", Withdrawn: &api.NoteWithdrawals{Endpoints: []string{id}}}
	return b.AcceptNote(b.Routers[0], note)
}

// returnEndpoint puts a withdrawn endpoint back into service by a release note that repeats
// the endpoint's entry in the site's note.
func (b *bench) returnEndpoint(id string) error {
	note := api.Note{Title: b.uniqueTitle("Return " + id), Author: "measure", Changed: &api.NoteParts{}}
	for _, e := range b.Site.Note().Added.Endpoints {
		if e.ID == id {
			note.Changed.Endpoints = []api.Endpoint{e}
		}
	}
	return b.AcceptNote(b.Routers[0], note)
}

// laggedLoads is a placement policy that prefers the least loaded engine. It uses the loads
// that it read reportLag ago.
type laggedLoads struct {
	stop chan struct{}
	done chan struct{}

	mu    sync.RWMutex
	loads map[string]int
}

// lagInterval is the time between two readings of the engines' loads.
const lagInterval = 100 * time.Millisecond

func newLaggedLoads(site *standin.Site) *laggedLoads {
	l := &laggedLoads{stop: make(chan struct{}), done: make(chan struct{}), loads: map[string]int{}}
	go l.pollLoads(site)
	return l
}

func (l *laggedLoads) pollLoads(site *standin.Site) {
	defer close(l.done)
	ticker := time.NewTicker(lagInterval)
	defer ticker.Stop()
	var history []map[string]int
	for {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		}
		reading := make(map[string]int, len(site.Engines))
		for _, engine := range site.Engines {
			reading[engine.ID] = engine.Running()
		}
		history = append(history, reading)
		if len(history) <= int(reportLag/lagInterval) {
			continue
		}
		l.mu.Lock()
		l.loads = history[0]
		l.mu.Unlock()
		history = history[1:]
	}
}

func (l *laggedLoads) close() {
	close(l.stop)
	<-l.done
}

// Rank implements placement.Policy.
func (l *laggedLoads) Rank(dst []int, key uint64, endpoints []placement.Endpoint, limit int) []int {
	l.mu.RLock()
	loads := l.loads
	l.mu.RUnlock()
	policy := placement.LeastLoaded{Load: func(i int) int { return loads[endpoints[i].ID] }}
	return policy.Rank(dst, key, endpoints, limit)
}
