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

// scriptedNight returns the records of four routers from a night with a lost
// availability zone, an outage of the object API, a flapping endpoint and a
// router that crashes.
func scriptedNight() []api.Record {
	var routers []*LocalRecords
	for i := range 4 {
		routers = append(routers, NewLocalRecords(LocalRecordsOptions{Router: fmt.Sprint("router-", i), Incarnation: 3, MaxRecords: 64}))
	}
	at := func(hours, minutes, seconds int) time.Time {
		return testStart.Add(time.Duration(hours)*time.Hour + time.Duration(minutes)*time.Minute + time.Duration(seconds)*time.Second)
	}
	routers[0].RecordEvent(api.RecordKindNoteAccepted, "12", "", at(0, 0, 0), "aida accepted \"Add ebene replicas\"", "", "applied everywhere", "")
	for i, l := range routers[:3] {
		l.RecordCounts(at(0, 0, 0), nil)
		outage := l.Open(api.RecordKindPlatformUnavailable, "object API", "", at(1, 0, i), "calls fail",
			"keyed calls are refused", "kept records at peers", "")
		l.Close(outage, at(1, 10, i), "")
		l.Open(api.RecordKindZoneLost, "curepipe", "", at(2, 0, 5+i), "no endpoint answers", "chats lose their cache",
			"moved the chats to other availability zones", "ask the platform about curepipe")
		for e := range 6 {
			id := l.Open(api.RecordKindEndpointDown, fmt.Sprint("chat-", e), "curepipe", at(2, 0, e), "no answer", "running streams are resumed elsewhere", "", "")
			if e < 2 {
				l.Close(id, at(3, 0, e), "")
			}
		}
		l.Open(api.RecordKindRouterLost, "router-3", "curepipe", at(2, 0, 4), "no heartbeat", "its callers connect again", "took over its endpoints", "")
		l.RecordCounts(at(4, 0, 0), map[string]int64{"refusals.overloaded": int64(3 + i), "refusals.no_lease": 1, "retries.stream_cut": 7})
	}
	routers[3].Open(api.RecordKindEndpointCold, "chat-9", "ebene", at(1, 50, 0), "new boot id", "", "limits its load", "")
	for i := range 12 {
		id := routers[1].Open(api.RecordKindEndpointDown, "chat-8", "ebene", at(5, i, 0), "connection refused", "", "tries others first", "replace chat-8")
		routers[1].Close(id, at(5, i, 20), "replace chat-8")
	}
	routers[2].RecordLoss(LostNoSpace, 2, at(6, 0, 0))
	routers[2].RecordLoss(LostCopies, 5, at(6, 0, 0))
	var list []api.Record
	for _, l := range routers {
		list = Merge(list, l.Records())
	}
	return list
}

// Guards against these faults: the report depends on the order or number of copies; an
// entry lacks what happened, where, when, the effect, the action or what is left to do.
func TestScriptedNight(t *testing.T) {
	list := scriptedNight()
	report := BuildReport(append(list, list...), testStart, testStart.Add(10*time.Hour), testStart.Add(10*time.Hour))
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

// Guards against these faults: NeedsPerson is set although nothing is left to do, so
// that the report command exits with the wrong code; the report has entries from
// outside its period.
func TestQuietNightNeedsNobody(t *testing.T) {
	l := newTestRecords(0)
	l.RecordEvent(api.RecordKindOrderFailed, "o", "", testStart, "failed", "", "", "retry it")
	l.Close(l.Open(api.RecordKindEndpointDown, "e", "z", testStart, "down", "", "", "replace e"), testStart.Add(2*time.Hour), "")
	report := BuildReport(l.Records(), testStart.Add(time.Hour), testStart.Add(9*time.Hour), testStart.Add(9*time.Hour))
	assert.Equal(t, len(report.Entries), 1)
	assert.Assert(t, !report.NeedsPerson)
	report.SetUnread([]string{"router r2"})
	assert.Assert(t, report.NeedsPerson)
}

// Guards against these faults: a headline calls an availability zone lost although only
// some of its endpoints are down; an entry joins failures that began more than
// sameCauseGap apart.
func TestEndpointsTogetherAreOneEntry(t *testing.T) {
	l := newTestRecords(0)
	for i := range 4 {
		l.Open(api.RecordKindEndpointDown, fmt.Sprint("e", i), "medeu", testStart.Add(time.Duration(4*i)*time.Second), "down", "", "", "")
	}
	l.Open(api.RecordKindEndpointDown, "e9", "medeu", testStart.Add(time.Minute), "down", "", "", "")
	report := BuildReport(l.Records(), testStart, testStart.Add(time.Hour), testStart.Add(time.Hour))
	assert.Equal(t, len(report.Entries), 2)
	assert.Equal(t, report.Entries[1].Headline, "Availability zone medeu: 4 endpoints down")
	assert.Equal(t, report.Entries[0].Headline, "Endpoint e9 down in availability zone medeu")
}

// Guards against these faults: the report shows an open failure as ended because the
// router that recorded it was unreachable for a while; the report shows a failure as
// open forever because the router that recorded it crashed.
func TestOpenRecordsOfLostRouters(t *testing.T) {
	for _, returned := range []bool{false, true} {
		l := newTestRecords(0)
		l.Open(api.RecordKindOrderFailed, "o", "", testStart, "failed", "", "", "")
		other := NewLocalRecords(LocalRecordsOptions{Router: "r2", Incarnation: 1})
		id := other.Open(api.RecordKindRouterLost, "r1", "", testStart.Add(time.Minute), "no heartbeat", "", "", "")
		if returned {
			other.Close(id, testStart.Add(2*time.Minute), "")
		}
		report := BuildReport(Merge(l.Records(), other.Records()), testStart, testStart.Add(time.Hour), testStart.Add(time.Hour))
		for _, e := range report.Entries {
			if e.Kind == api.RecordKindOrderFailed {
				assert.Equal(t, e.Open, returned)
			}
		}
	}
}
