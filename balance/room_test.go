package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/roster"
)

// Guards against a room that counts endpoints which can take nothing, or that looks empty since
// no router has told its loads.
func TestRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New("z")
	var members []*roster.Endpoint
	for _, id := range []string{"a", "b", "cold", "ejected", "withdrawn"} {
		members = append(members, &roster.Endpoint{Entry: roster.Entry{ID: id, Slots: 6, Zone: "z"}})
	}
	members[2].ColdUntil = now.Add(time.Second)
	members[4].Withdrawn = true
	usable := func(e *roster.Endpoint) bool { return !e.Withdrawn }
	b.State(members[3]).RecordFailure(now)
	b.State(members[0]).RecordStart(now)
	assert.DeepEqual(t, b.Room(now, members, usable), Room{Slots: 12, InFlight: 1})
	b.SetRemoteLoad(now, "other", "b", 3)
	b.SetRemotePrompts(now, "other", nil)
	assert.DeepEqual(t, b.Room(now, members, usable), Room{Slots: 12, InFlight: 4, Known: true})
	assert.DeepEqual(t, b.Room(now.Add(remoteLoadTTL), members, usable), Room{Slots: 24, InFlight: 1})
}
