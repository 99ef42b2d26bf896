package poison

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

const service = 1

// exits records n exits, a second apart, and returns the time after the last.
func exits(d *Detector, now time.Time, n int, prompts ...[]uint64) time.Time {
	for i := range n {
		d.RecordExit(now, service, uint64(now.UnixNano())+uint64(i), prompts)
		now = now.Add(time.Second)
	}
	return now
}

func quarantined(d *Detector, now time.Time, part uint64) bool {
	_, _, found := d.Quarantined(now, []uint64{part})
	return found
}

// Guards against more parts than the most specific one being quarantined, and against a
// quarantine without enough exits.
func TestMostSpecificPartIsQuarantined(t *testing.T) {
	d := New()
	now := exits(d, start, minExits-1, []uint64{1, 2, 3})
	assert.Assert(t, !quarantined(d, now.Add(objectionTime), 3))
	now = exits(d, now, 2, []uint64{1, 2, 3}, []uint64{1, 4})
	assert.Assert(t, quarantined(d, now, 3))
	assert.Assert(t, !quarantined(d, now, 2) && !quarantined(d, now, 1))
}

// Guards against a part that stays quarantined although an answer shows that endpoints bear
// it, at the router that saw the answer and at those that did not.
func TestAnswerLiftsQuarantine(t *testing.T) {
	relay, router := New(), New()
	now := exits(relay, start, minExits, []uint64{1, 2})
	router.Receive(now, relay.Announcement(now), true)
	now = now.Add(objectionTime)
	assert.Assert(t, quarantined(relay, now, 2) && quarantined(router, now, 2))
	other := New()
	other.RecordAnswer(start.Add(time.Second), service, []uint64{1, 2})
	other.Receive(now, relay.Announcement(now.Add(time.Second)), true)
	relay.Receive(now, other.TakeReport(now), false)
	assert.Assert(t, !quarantined(relay, now, 2))
	router.Receive(now, relay.Announcement(now), true)
	assert.Assert(t, !quarantined(router, now, 2))
}

// Guards against a part that comes back after its quarantine and crashes as many endpoints as
// before, and against a quarantine that never ends.
func TestReturnAfterQuarantine(t *testing.T) {
	d := New()
	now := exits(d, start, minExits, []uint64{1, 2}).Add(firstQuarantine)
	assert.Assert(t, !quarantined(d, now, 2))
	now = exits(d, now, 1, []uint64{1, 2}).Add(firstQuarantine)
	assert.Assert(t, quarantined(d, now, 2), "one exit is enough, and the time is doubled")
	assert.Assert(t, !quarantined(d, now.Add(firstQuarantine), 2))
	now = now.Add(firstQuarantine + probationTime + time.Minute)
	d.RecordExit(now, service, 1, [][]uint64{{1, 2}})
	assert.Assert(t, !quarantined(d, now.Add(objectionTime), 2), "the time of probation is over")
}

// Guards against quarantines that have ended keeping new ones out.
func TestEndedQuarantinesMakeRoom(t *testing.T) {
	d := New()
	d.Receive(start, &Report{Quarantines: func() (all []Quarantine) {
		for part := range uint64(maxQuarantines) {
			all = append(all, Quarantine{Part: 100 + part, AgeMS: uint32((firstQuarantine - time.Minute).Milliseconds())})
		}
		return all
	}()}, false)
	exits(d, start, minExits, []uint64{1, 2})
	assert.Assert(t, !quarantined(d, start.Add(10*time.Second), 2), "all places are taken")
	now := exits(d, start.Add(2*time.Minute), minExits, []uint64{1, 2})
	assert.Assert(t, quarantined(d, now, 2))
	assert.Assert(t, len(d.quarantines) <= maxQuarantines)
}

// Guards against state or messages that grow without bound, and against values of a peer that
// end the process.
func TestBounds(t *testing.T) {
	d := New()
	now := start
	for i := range uint64(400) {
		now = now.Add(300 * time.Millisecond)
		prompts := make([][]uint64, 100)
		for j := range prompts {
			prompts[j] = make([]uint64, 100)
			for k := range prompts[j] {
				prompts[j][k] = i/minExits*10_000 + uint64(j*100+k)
			}
		}
		d.RecordExit(now, service, i, prompts)
		d.RecordAnswer(now, service, prompts[99])
	}
	assert.Assert(t, len(d.exits) <= maxExits && len(d.quarantines) <= maxQuarantines && len(d.outbox.exits) <= maxExits)
	assert.Assert(t, len(d.answers) <= maxAnswers && len(d.olderAnswers) <= maxAnswers)
	assert.Assert(t, len(d.TakeReport(now).Exits) <= maxExitsPerReport)
	d.Receive(now, &Report{
		Quarantines: []Quarantine{{Part: 1, Returns: -1, FirstExitMS: 1<<32 - 1}, {Part: 2, Returns: 1 << 60, AgeMS: 1<<32 - 1}},
		Exits:       []Exit{{Prompts: [][]uint64{nil, {}}}}, Answers: []Answer{{}},
	}, true)
}
