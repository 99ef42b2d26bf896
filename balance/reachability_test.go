package balance

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against using a caller's request as the probe that finds out whether an
// unreachable endpoint is back.
func TestUnreachable(t *testing.T) {
	b := New("z0")
	endpoints := members(2)
	criteria := Criteria{Members: endpoints, Usable: anyUsable}
	lost := b.State(endpoints[0])
	assert.Assert(t, lost.MarkUnreachable(start))
	assert.Equal(t, len(b.StartProbes(start)), 0, "no connection is opened before the ejection ends")
	later := start.Add(maxEjectionTime)
	state, _ := b.Pick(later, criteria)
	assert.Equal(t, state.Endpoint, endpoints[1])
	assert.DeepEqual(t, ids(b.StartProbes(later)), []string{"e0"})
	assert.Equal(t, len(b.StartProbes(later)), 0, "one connection at a time")
	lost.RecordProbe(later, false)
	assert.Equal(t, len(b.StartProbes(later)), 0, "a failed attempt is followed by a pause")
	later = later.Add(maxEjectionTime)
	assert.Equal(t, len(b.StartProbes(later)), 1)
	lost.RecordProbe(later, true)
	criteria.Tried = endpoints[1:]
	state, _ = b.Pick(later, criteria)
	assert.Equal(t, state.Endpoint, endpoints[0])
}

// Guards against doubting a zone because of a single endpoint, and against still using a
// zone after several of its endpoints stopped answering together.
func TestSilentZone(t *testing.T) {
	b := New("z0")
	endpoints := members(6) // alternately in zones z0 and z1
	state := func(i int) *State { return b.State(endpoints[i]) }
	assert.Assert(t, !b.RecordSilence(start, state(1)))
	assert.Assert(t, !b.RecordSilence(start, state(1)), "the same endpoint counts once")
	assert.Assert(t, !b.RecordSilence(start, state(0)), "each zone is counted by itself")
	assert.Assert(t, !b.RecordSilence(start.Add(2*zoneSilenceWindow), state(3)), "the first was too long ago")
	assert.Assert(t, b.RecordSilence(start.Add(2*zoneSilenceWindow), state(5)))
	later := start.Add(2 * zoneSilenceWindow)
	assert.Assert(t, !b.RecordSilence(later, state(1)), "the zone is doubted already")
	pick := func() string {
		picked, _ := b.Pick(later, Criteria{Members: endpoints, Usable: anyUsable})
		picked.RecordStart(later)
		return picked.Endpoint.Zone
	}
	for range 4 {
		assert.Equal(t, pick(), "z0")
	}
	probed := b.StartProbes(later)
	assert.Equal(t, len(probed), maxZoneProbes, "only a few endpoints of the zone are probed at a time")
	assert.Equal(t, len(b.StartProbes(later)), 0)
	probed[0].RecordProbe(later, false)
	assert.Equal(t, pick(), "z0")
	assert.Equal(t, len(b.StartProbes(later)), 1, "the next endpoint is probed")
	probed[1].RecordProbe(later, true)
	for _, i := range []int{0, 2, 4} {
		b.SetRemoteLoad(later, "other", endpoints[i].ID, 9)
	}
	assert.Equal(t, pick(), "z1", "the own zone is loaded far above the mean")
}

// Guards against refusing requests when only a doubted zone is left.
func TestDoubtedOnly(t *testing.T) {
	b := New("z0")
	endpoints := members(1)
	b.State(endpoints[0]).zone.doubted = true
	state, refusal := b.Pick(start, Criteria{Members: endpoints, Usable: anyUsable})
	assert.Equal(t, refusal, None)
	assert.Equal(t, state.Endpoint, endpoints[0])
}

func ids(states []*State) []string {
	var names []string
	for _, state := range states {
		names = append(names, state.Endpoint.ID)
	}
	return names
}

// Guards against a probe that fails because of this router itself and that counts as a failure of the
// endpoint, keeps it from being probed again, or uses up the probes of its zone.
func TestAbandonedProbe(t *testing.T) {
	b, endpoints := New("z0"), members(2)
	state := b.State(endpoints[0])
	state.MarkUnreachable(start)
	now := start.Add(baseEjectionTime)
	for range 3 * maxZoneProbes {
		state.zone.doubted = true
		due := b.StartProbes(now)
		assert.Equal(t, len(due), 1)
		assert.Equal(t, len(b.StartProbes(now)), 0)
		due[0].AbandonProbe()
	}
	assert.Equal(t, state.Failures(), 1)
	assert.Assert(t, state.unverified)
}
