package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_700_000_000, 0)

func reserve(t *testing.T, a *Account, n int64) *Lease {
	t.Helper()
	lease, ok := a.Reserve(Bodies, n, false)
	assert.Assert(t, ok)
	lease.Watch(start, n, func() {})
	return lease
}

// Guards against large requests that use up the reserve, and small ones that are refused while there
// is room.
func TestReserveIsForSmallRequests(t *testing.T) {
	a := New(4 << 20)
	reserve(t, a, 3<<20)
	_, ok := a.Reserve(Bodies, 1, false)
	assert.Assert(t, !ok)
	small, ok := a.Reserve(Bodies, SmallBytes, true)
	assert.Assert(t, ok)
	assert.Assert(t, !small.Grow(1), "a lease beyond SmallBytes uses the reserve")
	assert.Equal(t, a.UsedFor(Bodies), int64(3<<20+SmallBytes))
	small.Release()
	small.Release()
	assert.Equal(t, a.Used(), int64(3<<20))
	assert.Assert(t, !a.fits(2<<20, true))
}

// Guards against transfers that are ended in calm, and against more of them than needed.
func TestVictimsOnlyUnderPressure(t *testing.T) {
	a := New(8 << 20)
	large, other := reserve(t, a, 3<<20), reserve(t, a, 1<<20)
	now := start.Add(time.Minute)
	assert.Equal(t, len(a.Victims(now)), 0, "half of the budget is used")
	reserve(t, a, 512<<10)
	assert.DeepEqual(t, ids(a.Victims(now), large, other), []int{0})
	assert.Equal(t, len(New(0).Victims(now)), 0)
}

// Guards against a wrong order: transfers that have stopped come first, the largest before others and
// those close to their end last, then slow ones, and never one that makes progress or is new.
func TestVictimsByProgress(t *testing.T) {
	a := New(8 << 20)
	nearly, stopped, slower, slow := reserve(t, a, 1<<20), reserve(t, a, 512<<10), reserve(t, a, 32<<10), reserve(t, a, 1<<20)
	fast := reserve(t, a, 3<<20)
	nearly.Progress(start, 1<<20-10)
	now := start.Add(5 * time.Second)
	slow.Progress(now, 2000)
	slower.Progress(now, 1000)
	fast.Progress(now, ProgressBytes)
	a.Track(Responses, 8<<20)
	fresh, _ := a.Reserve(Bodies, 0, true)
	assert.Assert(t, fresh == nil)
	assert.DeepEqual(t, ids(a.Victims(now), nearly, stopped, slower, slow, fast), []int{1, 0, 2, 3})
	stopped.End()
	assert.Assert(t, stopped.Ended())
	assert.DeepEqual(t, ids(a.Victims(now), nearly, stopped, slower, slow, fast), []int{0, 2, 3})
	slow.Unwatch()
	assert.DeepEqual(t, ids(a.Victims(now), nearly, stopped, slower, slow, fast), []int{0, 2})
}

// ids returns the positions of the victims in leases.
func ids(victims []*Lease, leases ...*Lease) []int {
	var list []int
	for _, victim := range victims {
		for i, lease := range leases {
			if lease == victim {
				list = append(list, i)
			}
		}
	}
	return list
}

// Guards against a split that leaves a process without connections, or gives out more than there are.
func TestSplits(t *testing.T) {
	for maxFDs := 64; maxFDs < 70_000; maxFDs += 97 {
		callers, endpoints := SplitDescriptors(maxFDs)
		assert.Assert(t, callers > 0 && endpoints > 0 && callers+endpoints < maxFDs, "%d", maxFDs)
	}
	callers, endpoints := SplitDescriptors(500)
	assert.Equal(t, callers, 136)
	assert.Equal(t, endpoints, 100)
	assert.Equal(t, BudgetFor(98), int64(30<<20))
	assert.Equal(t, BudgetFor(0), int64(0))
}
