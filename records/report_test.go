package records

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// scriptedNight returns what four routers recorded in a night with a lost zone,
// an outage of the object API, a flapping endpoint and a router that dies.
func scriptedNight() []api.Record {
	var books []*Book
	for i := range 4 {
		books = append(books, NewBook(BookOptions{Router: fmt.Sprint("router-", i), Incarnation: 3, MaxRecords: 64}))
	}
	at := func(hours, minutes, seconds int) time.Time {
		return night.Add(time.Duration(hours)*time.Hour + time.Duration(minutes)*time.Minute + time.Duration(seconds)*time.Second)
	}
	books[0].Event(api.RecordKindNoteAccepted, "12", "", at(0, 0, 0), "aida accepted \"Add ebene replicas\"", "", "applied everywhere", "")
	for i, b := range books[:3] {
		b.Count(at(0, 0, 0), nil)
		outage := b.Open(api.RecordKindPlatformUnavailable, "object API", "", at(1, 0, i), "calls fail",
			"keyed calls are refused", "kept records at peers", "")
		b.Close(outage, at(1, 10, i), "")
		b.Open(api.RecordKindZoneLost, "curepipe", "", at(2, 0, 5+i), "no endpoint answers", "chats lose their cache",
			"moved the chats to other availability zones", "ask the platform about curepipe")
		for e := range 6 {
			id := b.Open(api.RecordKindEndpointDown, fmt.Sprint("chat-", e), "curepipe", at(2, 0, e), "no answer", "running streams are resumed elsewhere", "", "")
			if e < 2 {
				b.Close(id, at(3, 0, e), "")
			}
		}
		b.Open(api.RecordKindRouterLost, "router-3", "curepipe", at(2, 0, 4), "no heartbeat", "its callers connect again", "took over its endpoints", "")
		b.Count(at(4, 0, 0), map[string]int64{"refusals.overloaded": int64(3 + i), "refusals.no_lease": 1, "retries.stream_cut": 7})
	}
	books[3].Open(api.RecordKindEndpointCold, "chat-9", "ebene", at(1, 50, 0), "new boot id", "", "limits its load", "")
	for i := range 12 {
		id := books[1].Open(api.RecordKindEndpointDown, "chat-8", "ebene", at(5, i, 0), "connection refused", "", "tries others first", "replace chat-8")
		books[1].Close(id, at(5, i, 20), "replace chat-8")
	}
	books[2].Lose(LostBookFull, 2, at(6, 0, 0))
	books[2].Lose(LostCopies, 5, at(6, 0, 0))
	var list []api.Record
	for _, b := range books {
		list = Merge(list, b.Records())
	}
	return list
}

// Guards against reports that change with the order or number of copies, and
// against wording that drops what happened, where, when, the effect or the rest.
func TestScriptedNight(t *testing.T) {
	list := scriptedNight()
	report := Build(append(list, list...), night, night.Add(10*time.Hour), night.Add(10*time.Hour))
	report.SetUnread([]string{"router router-7"})
	out := &bytes.Buffer{}
	assert.NilError(t, report.WriteText(out))
	golden.Assert(t, out.String(), "night.txt")
	out.Reset()
	assert.NilError(t, report.WriteJSON(out))
	var read Report
	assert.NilError(t, json.Unmarshal(out.Bytes(), &read))
	assert.DeepEqual(t, read, report)
}

// Guards against an exit code that calls a person for a night in which nothing is
// left to do, and against entries from outside the period.
func TestQuietNightNeedsNobody(t *testing.T) {
	b := testBook(0)
	b.Event(api.RecordKindOrderFailed, "o", "", night, "failed", "", "", "retry it")
	b.Close(b.Open(api.RecordKindEndpointDown, "e", "z", night, "down", "", "", "replace e"), night.Add(2*time.Hour), "")
	report := Build(b.Records(), night.Add(time.Hour), night.Add(9*time.Hour), night.Add(9*time.Hour))
	assert.Equal(t, len(report.Entries), 1)
	assert.Assert(t, !report.NeedsPerson)
	report.SetUnread([]string{"router r2"})
	assert.Assert(t, report.NeedsPerson)
}

// Guards against a lost zone that is claimed from a few endpoints alone.
func TestEndpointsTogetherAreOneEntry(t *testing.T) {
	b := testBook(0)
	for i := range 4 {
		b.Open(api.RecordKindEndpointDown, fmt.Sprint("e", i), "medeu", night.Add(time.Duration(4*i)*time.Second), "down", "", "", "")
	}
	b.Open(api.RecordKindEndpointDown, "e9", "medeu", night.Add(time.Minute), "down", "", "", "")
	report := Build(b.Records(), night, night.Add(time.Hour), night.Add(time.Hour))
	assert.Equal(t, len(report.Entries), 2)
	assert.Equal(t, report.Entries[1].Headline, "Availability zone medeu: 4 endpoints down")
	assert.Equal(t, report.Entries[0].Headline, "Endpoint e9 down in availability zone medeu")
}

// Guards against an open failure that looks ended because its router was
// unreachable for a while, and against one that a dead router leaves open.
func TestOpenRecordsOfLostRouters(t *testing.T) {
	for _, returned := range []bool{false, true} {
		b := testBook(0)
		b.Open(api.RecordKindOrderFailed, "o", "", night, "failed", "", "", "")
		other := NewBook(BookOptions{Router: "r2", Incarnation: 1})
		id := other.Open(api.RecordKindRouterLost, "r1", "", night.Add(time.Minute), "no heartbeat", "", "", "")
		if returned {
			other.Close(id, night.Add(2*time.Minute), "")
		}
		report := Build(Merge(b.Records(), other.Records()), night, night.Add(time.Hour), night.Add(time.Hour))
		for _, e := range report.Entries {
			if e.Kind == api.RecordKindOrderFailed {
				assert.Equal(t, e.Open, returned)
			}
		}
	}
}
