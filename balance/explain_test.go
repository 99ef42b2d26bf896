package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/work"
)

// Guards against an explanation that names another endpoint than Pick chooses, and against one that
// changes later picks: of two balancers with the same requests, only one explains.
func TestExplainChangesNothing(t *testing.T) {
	for _, byWork := range []bool{false, true} {
		random := rand.New(rand.NewPCG(8, 2))
		endpoints := members(30)
		endpoints[3].ColdUntil = start.Add(time.Hour)
		explained, plain := New("z0"), New("z0")
		for _, endpoint := range endpoints {
			explained.Join(start, endpoint, true)
			plain.Join(start, endpoint, true)
		}
		model := work.New(work.Config{})
		excluded := map[string]bool{}
		for i := range 2000 {
			now := start.Add(time.Duration(i) * 3 * time.Millisecond)
			criteria := Criteria{
				Members: endpoints, Usable: anyUsable, Key: random.Uint64N(4) * 77, Draw: random.Uint64(),
				HomeLoadFactor: 1.5, LoadFactor: 2, MaxLocal: 30, Repeatable: i%2 == 0,
			}
			if i%5 == 0 {
				criteria.Tried = endpoints[i%20 : i%20+2]
			}
			if byWork {
				criteria.Work = &ByWork{Model: model, Request: work.Request{Prompt: 2400, Cached: 1800, MaxOutput: 300}}
			}
			candidates, chosen, reason := explained.Explain(now, criteria)
			assert.Equal(t, len(candidates), len(endpoints))
			for _, c := range candidates {
				excluded[c.Excluded] = true
				assert.Assert(t, !byWork || c.Expected > 0 && c.Speed > 0)
			}
			for range 3 {
				_, _, _ = explained.Explain(now, criteria)
			}
			got, gotReason := explained.Pick(now, criteria)
			want, wantReason := plain.Pick(now, criteria)
			assert.Equal(t, chosen, got)
			assert.Equal(t, reason, gotReason)
			assert.Equal(t, gotReason, wantReason)
			if got == nil {
				continue
			}
			assert.Equal(t, got.Endpoint.ID, want.Endpoint.ID)
			for _, state := range []*State{got, want} {
				state.RecordStart(now)
				switch i % 50 {
				case 7:
					state.RecordFailure(now)
				case 8:
					state.Pause(now, 200*time.Millisecond)
				}
				if i%3 != 0 {
					state.RecordEnd()
				}
			}
		}
		for _, reason := range []string{"", ExcludedTried, ExcludedEjected, ExcludedPaused, ExcludedOverBound} {
			assert.Assert(t, excluded[reason], "no candidate with reason %q, by work %v", reason, byWork)
		}
	}
}
