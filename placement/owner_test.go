package placement

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func members(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("router-%03d", i)
	}
	return ids
}

// Guards against these faults: ownership moves between the remaining members when one
// leaves; names are distributed unevenly; the result depends on the order of members;
// Owner allocates.
func TestOwner(t *testing.T) {
	assert.Equal(t, Owner("e", nil), "")
	all := members(8)
	without := slices.Delete(slices.Clone(all), 3, 4)
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	counts := map[string]int{}
	const names = 8000
	for i := range names {
		name := fmt.Sprintf("endpoint-%d", i)
		owner := Owner(name, all)
		counts[owner]++
		assert.Equal(t, Owner(name, reversed), owner)
		if owner != all[3] {
			assert.Equal(t, Owner(name, without), owner)
		}
	}
	for _, id := range all {
		assert.Assert(t, counts[id] > names/8*85/100 && counts[id] < names/8*115/100, "%s: %d", id, counts[id])
	}
	assert.Equal(t, testing.AllocsPerRun(100, func() { Owner("endpoint-1", all) }), 0.0)
}

func BenchmarkOwner350(b *testing.B) {
	all := members(350)
	b.ReportAllocs()
	for b.Loop() {
		Owner("endpoint-17", all)
	}
}

// Guards against two members with the same rank, who would both take the same part of a
// shared limit.
func TestRank(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e"}
	for _, name := range []string{"x", "y", "z"} {
		seen := map[int]bool{}
		for _, member := range members {
			rank := Rank(name, member, members)
			assert.Assert(t, !seen[rank] && rank < len(members))
			seen[rank] = true
			assert.Equal(t, rank == 0, Owner(name, members) == member)
		}
	}
}
