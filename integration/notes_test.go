package integration_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

const (
	// withdrawWithin is the guaranteed time from the acceptance of a note until a
	// withdrawn zone gets no new work.
	withdrawWithin = 3 * time.Second
	// inForceWithin is the guaranteed time from the acceptance of a note until all
	// routers apply it.
	inForceWithin = 5 * time.Second
)

// Guards against requests that still start in a withdrawn zone. They could come from three
// kinds of routers:
//   - routers without a connection to the platform;
//   - routers without a connection to their peers;
//   - routers that were frozen while the zone was withdrawn.
func TestWithdrawnZoneGetsNoNewWork(t *testing.T) {
	f := newFleet(t, fleetOptions{
		site: standin.SiteConfig{
			Zones: threeZones, Engines: 6, Workspaces: 2, MaxInflight: 32,
			Engine: standin.EngineConfig{TTFT: 5 * time.Millisecond, TokenInterval: 2 * time.Millisecond, MaxRunning: 32},
		},
		routers: 8,
		// The ninth router has another secret, so that it and the other routers refuse
		// each other's connections.
		peerSecret: func(id string) string {
			if id == "router-9" {
				return "secret-of-nobody-else"
			}
			return standin.SitePeerSecret
		},
	})
	noPeers := f.start()
	f.awaitServing(noPeers)
	routers := f.currentRouters()
	noPlatform, frozen := routers[2], routers[4]
	assert.NilError(t, noPlatform.platformProxy.SetFaults(standin.ProxyFaults{Refuse: true}))
	noPlatform.platformProxy.CutAll()
	stop := make(chan struct{})
	tally := &streamTally{}
	wait := f.startCallers(t, 27, chatCall{chat: "zones", tokens: 20}, tally, stop)
	time.Sleep(time.Second)
	const zone = "auezov"
	frozen.signal(syscall.SIGSTOP)
	accepted := time.Now()
	before := f.site.StartsAfter(zone, accepted.Add(-time.Second))
	f.mustAccept(routers[0], api.Note{
		Title: "Withdraw " + zone, Author: "test", Withdrawn: &api.NoteWithdrawals{Zones: []string{zone}},
	})
	time.Sleep(withdrawWithin + 500*time.Millisecond)
	frozen.signal(syscall.SIGCONT)
	time.Sleep(2500 * time.Millisecond)
	close(stop)
	wait()
	var last time.Time
	for _, e := range f.site.Engines {
		for _, start := range e.CompletionStarts() {
			if e.Zone != zone {
				continue
			}
			if start.At.After(last) {
				last = start.At
			}
			assert.Check(t, start.At.Before(accepted.Add(withdrawWithin)), "%s started at %s %s after acceptance",
				start.RequestID, e.ID, start.At.Sub(accepted))
		}
	}
	others := f.site.StartsAfter("medeu", accepted.Add(withdrawWithin))
	t.Logf("%d starts in the zone in the second before, the last one %s after acceptance, %d elsewhere later than %s; %s",
		before, last.Sub(accepted).Round(time.Millisecond), others, withdrawWithin, tally)
	assert.Assert(t, before > 0 && others > 0, "no load")
}

// revisions follows the applied revision of each router and records decreases.
type revisions struct {
	mu        sync.Mutex
	current   map[string]uint64 // by router id
	decreases []string
}

func (v *revisions) follow(f *Fleet, r *Router, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		s, err := f.state(r)
		if err != nil {
			continue
		}
		v.mu.Lock()
		if s.Revision < v.current[r.id] {
			v.decreases = append(v.decreases, fmt.Sprintf("%s from %d to %d", r.id, v.current[r.id], s.Revision))
		}
		v.current[r.id] = s.Revision
		v.mu.Unlock()
	}
}

func (v *revisions) lowest(routers int) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.current) < routers {
		return 0
	}
	lowest := ^uint64(0)
	for _, revision := range v.current {
		lowest = min(lowest, revision)
	}
	return lowest
}

// Guards against these faults:
//   - A router applies a note too late, for example because the platform failed right
//     after the note was accepted.
//   - A router returns to an older revision.
func TestNotesAreInForceEverywhere(t *testing.T) {
	const notes = 50
	random := rand.New(rand.NewPCG(logSeed(t, 61), 0))
	f := newFleet(t, fleetOptions{
		site:    standin.SiteConfig{Zones: threeZones, Engines: 1, Workspaces: 1, MaxInflight: 16},
		routers: 8,
	})
	routers := f.currentRouters()
	applied := &revisions{current: map[string]uint64{}}
	stop := make(chan struct{})
	var followers sync.WaitGroup
	for _, r := range routers {
		followers.Go(func() { applied.follow(f, r, stop) })
	}
	slowest := map[string]time.Duration{}
	for i := range notes {
		kind := []string{"no fault", "outage", "no fault", "outage before the others read it"}[i%4]
		acceptor := routers[random.IntN(len(routers))]
		f.cutFromPlatform(acceptor, kind == "outage before the others read it")
		revision, accepted := f.acceptOneNote(acceptor, i)
		f.site.Platform.SetFaults(standin.PlatformFaults{Outage: kind != "no fault"})
		for applied.lowest(len(routers)) < revision && time.Since(accepted) < 2*inForceWithin {
			time.Sleep(5 * time.Millisecond)
		}
		took := time.Since(accepted)
		f.site.Platform.SetFaults(standin.PlatformFaults{})
		f.cutFromPlatform(acceptor, false)
		assert.Check(t, took < inForceWithin, "revision %d (%s) took %s", revision, kind, took)
		slowest[kind] = max(slowest[kind], took)
	}
	close(stop)
	followers.Wait()
	t.Logf("%d notes, slowest by fault: %v", notes, slowest)
	assert.Equal(t, len(applied.decreases), 0, "%v", applied.decreases)
}

// cutFromPlatform cuts all routers but one from the platform, or connects them
// again.
func (f *Fleet) cutFromPlatform(except *Router, cut bool) {
	f.t.Helper()
	for _, r := range f.currentRouters() {
		if r == except {
			continue
		}
		assert.NilError(f.t, r.platformProxy.SetFaults(standin.ProxyFaults{Refuse: cut}))
		if cut {
			r.platformProxy.CutAll()
		}
	}
}

// acceptOneNote posts note number i repeatedly until the router accepts it. It returns the
// note's revision and the time at which the successful attempt began.
func (f *Fleet) acceptOneNote(r *Router, i int) (uint64, time.Time) {
	f.t.Helper()
	digest := sha256.Sum256([]byte(fmt.Sprintf("key of extra-%d", i)))
	note := api.Note{
		Title: fmt.Sprintf("Add extra-%d", i), Author: "test",
		Added: &api.NoteParts{Workspaces: []api.Workspace{{ID: fmt.Sprintf("extra-%d", i), KeySha256: hex.EncodeToString(digest[:])}}},
	}
	deadline := time.Now().Add(startTimeout)
	for {
		started := time.Now()
		revision, err := f.accept(r, note)
		if err == nil {
			return revision, started
		}
		if started.After(deadline) {
			f.t.Fatalf("note %d: %v", i, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
