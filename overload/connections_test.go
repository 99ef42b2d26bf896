package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a full listener that closes a busy connection or refuses although one is idle.
func TestFullTableClosesIdleFirst(t *testing.T) {
	table := NewConnectionTable(Limits{Total: 4, StallAge: time.Second})
	busy, _, _ := table.Accept(start, "a")
	reading, _, _ := table.Accept(start, "a")
	waiting, _, _ := table.Accept(start, "a")
	idle, _, _ := table.Accept(start.Add(5*time.Second), "a")
	now := start.Add(6 * time.Second)
	table.SetState(now, busy, Busy)
	table.SetState(start, reading, Reading)
	table.SetState(start, waiting, Waiting)
	for _, want := range []uint64{idle, reading, waiting} {
		id, evicted, ok := table.Accept(now, "b")
		assert.Assert(t, ok)
		assert.DeepEqual(t, evicted, []uint64{want})
		table.SetState(now, id, Busy)
	}
	_, _, ok := table.Accept(now, "b")
	assert.Assert(t, !ok)
	table.Remove(busy)
	table.Remove(busy)
	_, evicted, ok := table.Accept(now, "b")
	assert.Assert(t, ok && len(evicted) == 0)
	assert.Equal(t, table.Count(), 4)
}

// Guards against one address that takes the places of the others.
func TestAddressLimit(t *testing.T) {
	table := NewConnectionTable(Limits{Total: 4, PerAddress: 2, StallAge: time.Second})
	other, _, _ := table.Accept(start, "other")
	first, _, _ := table.Accept(start, "a")
	second, _, _ := table.Accept(start, "a")
	table.SetState(start, first, Waiting)
	table.SetState(start, second, Waiting)
	_, _, ok := table.Accept(start, "a")
	assert.Assert(t, !ok, "an idle connection of another address is not closed for it")
	table.RecordProgress(start.Add(time.Second), first)
	_, evicted, ok := table.Accept(start.Add(time.Second), "a")
	assert.Assert(t, ok)
	assert.DeepEqual(t, evicted, []uint64{second})
	id, ok := table.Evict(start.Add(time.Second))
	assert.Assert(t, ok && id == other)
}

// Guards against more connections to endpoints than the limit.
func TestSlots(t *testing.T) {
	slots := NewSlots(1)
	assert.Assert(t, slots.Acquire() && !slots.Acquire())
	slots.Take()
	slots.Release()
	slots.Release()
	assert.Assert(t, slots.Acquire())
	assert.Equal(t, slots.Used(), int64(1))
	assert.Assert(t, NewSlots(0).Acquire())
}
