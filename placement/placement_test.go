package placement

import (
	"fmt"
	"math"
	"sort"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func drawEndpoints(t *rapid.T) []Endpoint {
	count := rapid.IntRange(1, 40).Draw(t, "endpoints")
	endpoints := make([]Endpoint, count)
	for i := range endpoints {
		zone := fmt.Sprintf("zone-%d", rapid.IntRange(0, 3).Draw(t, "zone"))
		weight := rapid.SampledFrom([]float64{0, 1, 1, 2, 4}).Draw(t, "weight")
		endpoints[i] = NewEndpoint(fmt.Sprintf("endpoint-%d", i), zone, weight)
	}
	return endpoints
}

// naiveRank sorts all endpoints in the order that Rendezvous documents.
func naiveRank(key uint64, endpoints []Endpoint, limit int) []int {
	all := make([]int, len(endpoints))
	for i := range all {
		all[i] = i
	}
	weighted := scorer{key: key}
	byScore := func(i, j int) bool {
		return weighted.score(&endpoints[all[i]]) > weighted.score(&endpoints[all[j]])
	}
	sort.SliceStable(all, byScore)
	zone := endpoints[all[0]].Zone
	sort.SliceStable(all[1:], func(i, j int) bool {
		return endpoints[all[i+1]].Zone == zone && endpoints[all[j+1]].Zone != zone
	})
	return all[:min(limit, len(all))]
}

// Guards against a bounded selection that differs from a full sort.
func TestRendezvousMatchesFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endpoints := drawEndpoints(t)
		key := rapid.Uint64().Draw(t, "key")
		limit := rapid.IntRange(1, maxRanked).Draw(t, "limit")
		got := Rendezvous{}.Rank(nil, key, endpoints, limit)
		assert.DeepEqual(t, got, naiveRank(key, endpoints, limit))
	})
}

// Guards against chats that change their home when another endpoint leaves.
func TestRendezvousMovesOnlyAffectedChats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endpoints := drawEndpoints(t)
		if len(endpoints) < 2 {
			return
		}
		gone := rapid.IntRange(0, len(endpoints)-1).Draw(t, "gone")
		rest := append(append([]Endpoint(nil), endpoints[:gone]...), endpoints[gone+1:]...)
		key := rapid.Uint64().Draw(t, "key")
		before := endpoints[Rendezvous{}.Rank(nil, key, endpoints, 1)[0]]
		after := rest[Rendezvous{}.Rank(nil, key, rest, 1)[0]]
		if before.ID != endpoints[gone].ID {
			assert.Equal(t, after.ID, before.ID)
		}
	})
}

// Guards against a skewed hash. The share of chats of each endpoint must follow its weight
// within five standard deviations.
func TestRendezvousSharesFollowWeights(t *testing.T) {
	endpoints := []Endpoint{
		NewEndpoint("a", "z", 1), NewEndpoint("b", "z", 1), NewEndpoint("c", "z", 2),
	}
	const chats = 40_000
	counts := make([]float64, len(endpoints))
	for i := range chats {
		key := ChatKey("workspace", fmt.Sprint(i))
		counts[Rendezvous{}.Rank(nil, key, endpoints, 1)[0]]++
	}
	for i, share := range []float64{0.25, 0.25, 0.5} {
		deviation := math.Sqrt(chats * share * (1 - share))
		assert.Assert(t, math.Abs(counts[i]-chats*share) < 5*deviation, "%s: %v", endpoints[i].ID, counts[i])
	}
}

// Guards against chats of different workspaces that get the same key because workspace and
// chat name together give the same text.
func TestChatKeySeparatesWorkspaces(t *testing.T) {
	assert.Assert(t, ChatKey("a", "bc") != ChatKey("ab", "c"))
}

func BenchmarkRendezvous600(b *testing.B) {
	endpoints := make([]Endpoint, 600)
	for i := range endpoints {
		endpoints[i] = NewEndpoint(fmt.Sprintf("endpoint-%d", i), fmt.Sprintf("zone-%d", i%6), 1)
	}
	dst := make([]int, 0, maxRanked)
	b.ReportAllocs()
	for i := range b.N {
		dst = Rendezvous{}.Rank(dst[:0], uint64(i), endpoints, 6)
	}
}
