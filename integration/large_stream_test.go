package integration_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

var threeZones = []string{"medeu", "bostandyk", "auezov"}

// Guards against lost, repeated or altered events in an answer that is larger than
// any buffer between engine and caller.
func TestLargeStreamIsByteIdentical(t *testing.T) {
	const answerBytes = 1 << 20
	// An event of one token takes at least 100 bytes on the wire.
	const tokens = answerBytes / 100
	f := newFleet(t, fleetOptions{
		site:    standin.SiteConfig{Zones: threeZones, Engines: 3, Workspaces: 1, MaxInflight: 16},
		routers: 8,
	})
	var waiting sync.WaitGroup
	results := make([]*chatResult, 8)
	for i, r := range f.currentRouters() {
		waiting.Go(func() {
			results[i] = f.chat(r, chatCall{chat: fmt.Sprintf("large-%d", i), tokens: tokens})
		})
	}
	started := time.Now()
	waiting.Wait()
	for _, got := range results {
		assert.Assert(t, got.complete(), "%s", got)
		assert.Assert(t, len(got.raw) >= answerBytes, "answer of %d bytes", len(got.raw))
		assert.Equal(t, got.lastEvent(), tokens+2)
		checkAgainstEngine(t, f, got)
	}
	t.Logf("8 answers of %d bytes and more took %s", len(results[0].raw), time.Since(started))
}

// checkAgainstEngine compares the received bytes with those of the stream that the engine
// still keeps.
func checkAgainstEngine(t *testing.T, f *Fleet, got *chatResult) {
	t.Helper()
	for _, e := range f.site.Engines {
		direct := fetchStream(t, f, e.Server.URL, got.requestID)
		if direct == nil {
			continue
		}
		assert.Assert(t, string(direct) == string(got.raw), "the answer of %s differs from the engine's", got.requestID)
		return
	}
	t.Fatalf("no engine keeps the stream %s", got.requestID)
}
