package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/outage"
)

var start = time.Unix(1000, 0)

func newRoster() *Roster {
	r, _ := newRosterWithOutages()
	return r
}

// newRosterWithOutages also returns the tracker that decides on the grace for lapsed entries.
func newRosterWithOutages() (*Roster, *outage.Tracker) {
	outages := outage.New(outage.Config{EntryLifetime: 1800 * time.Millisecond, Grace: 2 * time.Second})
	r := New(Config{ColdFor: func(string) time.Duration { return 3 * time.Second }, GraceUntil: outages.GraceUntil})
	r.Set(start, Entry{ID: "a", Service: "s", Address: "1:1", Zone: "z1"})
	r.Set(start, Entry{ID: "b", Service: "s", Address: "1:2", Zone: "z2"})
	r.RetainOnly(start, map[string]bool{"a": true, "b": true})
	return r, outages
}

func usable(r *Roster) []string {
	ids := []string{}
	for _, endpoint := range r.Members("s") {
		if r.Usable(endpoint) {
			ids = append(ids, endpoint.ID)
		}
	}
	return ids
}

// Guards against new work for endpoints that are draining, removed, or in an evacuated
// zone.
func TestWithdrawal(t *testing.T) {
	r := newRoster()
	assert.DeepEqual(t, usable(r), []string{"a", "b"})
	r.Set(start, Entry{ID: "a", Service: "s", Address: "1:1", Zone: "z1", Draining: true})
	assert.DeepEqual(t, usable(r), []string{"b"})
	r.SetEvacuated(start, "z2", true)
	assert.DeepEqual(t, usable(r), []string{})
	r.SetEvacuated(start, "z2", false)
	assert.DeepEqual(t, usable(r), []string{"b"})
	assert.Assert(t, r.Remove(start, "b") != nil)
	assert.DeepEqual(t, usable(r), []string{})
}

// Guards against full load on an endpoint that has just registered, and on one in a zone
// whose evacuation has just ended.
func TestCold(t *testing.T) {
	r := newRoster()
	b := r.Members("s")[1]
	assert.Assert(t, !b.Cold(start))
	r.SetEvacuated(start, "z2", true)
	r.SetEvacuated(start, "z2", false)
	assert.Assert(t, b.Cold(start.Add(2*time.Second)))
	assert.Assert(t, !b.Cold(start.Add(3*time.Second)))
	c, _ := r.Set(start, Entry{ID: "c", Service: "s", Address: "1:3"})
	assert.Assert(t, c.Cold(start))
}

// Guards against an endpoint that restarts under the same id and keeps the state from
// before the restart.
func TestRestart(t *testing.T) {
	r := newRoster()
	before := r.Members("s")[0]
	after, replaced := r.Set(start, Entry{ID: "a", Service: "s", Address: "1:1", Zone: "z1", Started: 7})
	assert.Equal(t, replaced, before)
	assert.Assert(t, before.Withdrawn && !after.Withdrawn)
	assert.Equal(t, len(r.Members("s")), 2)
}

// Guards against removing endpoints whose entries expired only because the store was
// unavailable, and against keeping such endpoints if they do not register again.
func TestLapse(t *testing.T) {
	r, outages := newRosterWithOutages()
	outages.RecordAnswer(start.Add(-2 * time.Second))
	outages.RecordFailure(start)
	r.Set(start, Entry{ID: "d", Service: "s", Address: "1:4", Draining: true})
	assert.Equal(t, len(r.RetainOnly(start.Add(time.Second), map[string]bool{})), 1, "a draining endpoint is not kept")
	assert.DeepEqual(t, usable(r), []string{"a", "b"})
	r.Set(start.Add(time.Second), Entry{ID: "a", Service: "s", Address: "1:1", Zone: "z1"})
	assert.Equal(t, len(r.Expire(start.Add(9*time.Second))), 0, "the outage lasts")
	outages.RecordAnswer(start.Add(9 * time.Second))
	outages.RecordAnswer(start.Add(10 * time.Second))
	assert.Equal(t, len(r.Expire(start.Add(10900*time.Millisecond))), 0)
	gone := r.Expire(start.Add(11 * time.Second))
	assert.Equal(t, len(gone), 1)
	assert.Equal(t, gone[0].ID, "b")
	assert.DeepEqual(t, usable(r), []string{"a"})
}

// Guards against new work for an endpoint that is gone, sent for as long as watches of a store
// that answers all other calls are cut off; and against dropping all endpoints whose entries
// expired in an outage that the first call after it shows to have been long.
func TestOnlyLongOutagesKeepEndpoints(t *testing.T) {
	r, outages := newRosterWithOutages()
	now := start
	outages.RecordAnswer(now)
	for range 4 {
		outages.RecordFailure(now.Add(time.Second))
		now = now.Add(1100 * time.Millisecond)
		outages.RecordAnswer(now)
	}
	now = now.Add(time.Second)
	outages.RecordFailure(now)
	assert.Assert(t, r.Remove(now, "a") != nil, "watches were cut off")
	assert.Equal(t, len(r.RetainOnly(now.Add(600*time.Millisecond), map[string]bool{"b": true})), 0)
	assert.Assert(t, r.Remove(now.Add(time.Second), "b") == nil, "the store has not answered for 2 s")
	outages.RecordAnswer(now.Add(time.Second))
	outages.RecordAnswer(now.Add(2 * time.Second))
	assert.Equal(t, len(r.Expire(now.Add(2900*time.Millisecond))), 0)
	assert.Equal(t, len(r.Expire(now.Add(3*time.Second))), 1)
}

// Guards against a leaving endpoint that gets work because its entry lapsed and came back, or
// arrived after the message, and against one without a start time that never gets work again.
func TestLeavingOutlivesEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Config{ColdFor: func(string) time.Duration { return 0 }})
	for _, started := range []int64{0, 7} {
		entry := Entry{ID: "e", Service: "s", Started: started}
		endpoint, _ := r.Set(now, entry)
		assert.Assert(t, r.MarkLeaving(entry.Start()) && !r.MarkLeaving(entry.Start()))
		assert.Assert(t, !r.Usable(endpoint))
		endpoint, _ = r.Set(now, entry)
		assert.Assert(t, !r.Usable(endpoint), "the entry still says ready")
		r.Remove(now, "e")
		endpoint, _ = r.Set(now, entry)
		assert.Equal(t, r.Usable(endpoint), started == 0)
		r.Remove(now, "e")
	}
	late := Entry{ID: "late", Service: "s", Started: 7}
	r.MarkLeaving(late.Start())
	endpoint, _ := r.Set(now, late)
	assert.Assert(t, !r.Usable(endpoint))
	late.Started = 8
	endpoint, _ = r.Set(now, late)
	assert.Assert(t, r.Usable(endpoint), "a new start")
}

// Guards against work for an endpoint that is gone, sent by a router that has kept it since it took
// its own lost way to the store for an outage, until the end of a grace period that does not apply.
func TestRefutedOutageEndsGrace(t *testing.T) {
	r, outages := newRosterWithOutages()
	outages.RecordAnswer(start)
	outages.RecordFailure(start.Add(2 * time.Second))
	now := start.Add(5 * time.Second)
	outages.RecordAnswer(now)
	assert.Assert(t, r.Remove(now, "a") == nil)
	assert.Equal(t, len(r.Expire(now)), 0)
	outages.Receive(outage.Answers{Since: start, Until: now}, false)
	gone := r.Expire(now)
	assert.Equal(t, len(gone), 1)
	assert.DeepEqual(t, usable(r), []string{"b"})
}
