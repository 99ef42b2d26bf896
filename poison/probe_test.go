package poison

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// commonExits records exits of four endpoints, of which all have prompts with part 2, in quick
// succession. It returns the time of the last.
func commonExits(d *Detector, now time.Time) time.Time {
	for i := range uint64(4) {
		d.RecordExit(now, service, i+1, [][]uint64{{2, 10 + i}})
		now = now.Add(2 * minSeparation)
	}
	return now.Add(-2 * minSeparation)
}

// Guards against several routers that make probes of a part at the same time, and against none that
// does, because the first one gets no request with the part.
func TestProbesAreMadeInOrder(t *testing.T) {
	last := commonExits(New(), start)
	for rank := range 4 {
		d := New()
		commonExits(d, start)
		due := last.Add(untilProbe(rank))
		assert.Assert(t, d.Admit(due.Add(-time.Millisecond), []uint64{2}, rank).Refused)
		assert.Assert(t, d.Admit(due, []uint64{2}, rank).Probe)
		assert.Assert(t, d.Admit(due, []uint64{2}, rank).Refused, "one probe at a time")
	}
}

// untilProbe returns the time from the last exit to the probe of the router with a rank.
func untilProbe(rank int) time.Duration {
	return probePause + time.Duration(rank)*probeRankDelay
}

// Guards against a probe that other routers do not hear of and make once more.
func TestProbeIsToldToOthers(t *testing.T) {
	first, relay, second := New(), New(), New()
	due := commonExits(first, start).Add(untilProbe(1))
	commonExits(relay, start)
	commonExits(second, start)
	assert.Assert(t, first.Admit(due, []uint64{2}, 0).Probe)
	relay.Receive(due, first.TakeReport(due), false)
	second.Receive(due, relay.Announcement(due), true)
	assert.Assert(t, second.Admit(due.Add(time.Second), []uint64{2}, 1).Refused)
}

// Guards against a probe that counts although it was not sent, so that the part stays refused for longer.
func TestUnsentProbeIsMadeAgain(t *testing.T) {
	d := New()
	due := commonExits(d, start).Add(probePause)
	assert.Assert(t, d.Admit(due, []uint64{2}, 0).Probe)
	d.CancelProbe([]uint64{2}, due)
	assert.Assert(t, d.Admit(due.Add(time.Millisecond), []uint64{2}, 0).Probe)
}

// Guards against a quarantine that is confirmed by the exits of a common cause, also by one that a probe
// meets, and against one that no probe confirms although its endpoint alone exits.
func TestProbeDecides(t *testing.T) {
	for _, alone := range []bool{false, true} {
		d := New()
		due := commonExits(d, start).Add(probePause)
		d.Confirm(due)
		assert.Equal(t, len(d.Active(due)), 0, "confirmed by exits of a common cause")
		assert.Assert(t, d.Admit(due, []uint64{2}, 0).Probe)
		exited := due.Add(100 * time.Millisecond)
		d.RecordExit(exited, service, 20, [][]uint64{{2, 30}})
		if !alone {
			d.RecordExit(exited.Add(minSeparation), service, 21, [][]uint64{{31}})
		}
		decided := exited.Add(evidenceTime)
		d.Confirm(decided)
		assert.Equal(t, len(d.Active(decided)) == 1, alone)
		later := decided.Add(time.Minute)
		assert.Equal(t, d.Admit(later, []uint64{2}, 0).Refused, alone)
	}
}

// Guards against a part that is quarantined at one router and confirmed at another, and that stays
// provisional at the first.
func TestConfirmationIsAnnounced(t *testing.T) {
	relay, router := New(), New()
	now := exits(relay, start, minExits, []uint64{1, 2})
	router.Receive(now, relay.Announcement(now), true)
	assert.Equal(t, len(router.Active(now)), 0)
	for i := range 3 * minExits {
		relay.RecordAnswer(start.Add(time.Duration(i)*100*time.Millisecond), service, []uint64{5})
	}
	now = now.Add(evidenceTime)
	router.Receive(now, relay.Announcement(now), true)
	assert.Equal(t, len(router.Active(now)), 1)
}

// Guards against a quarantine that a relay confirms because it did not hear that other endpoints exited
// with that of a probe, or that the router which made the probe confirms although it did.
func TestProbeIsJudgedWhereItWasMade(t *testing.T) {
	router, relay := New(), New()
	due := commonExits(router, start).Add(probePause)
	commonExits(relay, start)
	assert.Assert(t, router.Admit(due, []uint64{2}, 0).Probe)
	relay.Receive(due, router.TakeReport(due), false)
	exited := due.Add(100 * time.Millisecond)
	router.RecordExit(exited, service, 20, [][]uint64{{2, 30}})
	relay.Receive(exited, router.TakeReport(exited), false)
	checked := exited.Add(IsolationTime)
	for i := range uint64(3) {
		router.RecordOtherExit(checked, exited, service, 21+i)
	}
	decided := exited.Add(evidenceTime)
	relay.Confirm(decided)
	relay.Receive(decided, router.TakeReport(decided), false)
	assert.Equal(t, len(relay.Active(decided)), 0)
	assert.Equal(t, len(router.Active(decided)), 0)
}

// Guards against a failed probe that the relays do not hear of.
func TestFailedProbeIsToldToRelays(t *testing.T) {
	router, relay := New(), New()
	due := commonExits(router, start).Add(probePause)
	commonExits(relay, start)
	assert.Assert(t, router.Admit(due, []uint64{2}, 0).Probe)
	exited := due.Add(100 * time.Millisecond)
	router.RecordExit(exited, service, 20, [][]uint64{{2, 30}})
	decided := exited.Add(evidenceTime)
	relay.Receive(decided, router.TakeReport(decided), false)
	assert.Equal(t, len(relay.Active(decided)), 1)
}
