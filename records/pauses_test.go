package records

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// Guards against pauses that are missing from the morning report, have a line for each router or
// endpoint, or are counted twice, and against services that use up the space for records.
func TestPausesInReport(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	var all []api.Record
	for router := range 3 {
		local := NewLocalRecords(LocalRecordsOptions{Router: fmt.Sprint("r", router), Incarnation: 1})
		local.RecordCounts(start, nil)
		for i := range 4 {
			local.RecordPause("booking", time.Duration(i)*time.Second)
		}
		local.RecordCounts(start.Add(time.Minute), nil)
		local.RecordPause("booking", 500*time.Millisecond)
		local.RecordPause("chat", 2500*time.Millisecond)
		local.RecordCounts(start.Add(2*time.Minute), nil)
		local.RecordCounts(start.Add(3*time.Minute), nil)
		all = append(all, local.Records()...)
	}
	now := start.Add(time.Hour)
	report := BuildReport(append(all, all...), start, now, now)
	assert.DeepEqual(t, report.Pauses, []PauseTotal{{"booking", 15, 3000}, {"chat", 3, 2500}})
	assert.Equal(t, len(report.Entries), 0)
	assert.Assert(t, !report.NeedsPerson)
	var text strings.Builder
	assert.NilError(t, report.WriteText(&text))
	assert.Assert(t, strings.Contains(text.String(), "\n   service booking: 15, the longest 3.0 s\n   service chat: 3, the longest 2.5 s\n"), text.String())

	local := NewLocalRecords(LocalRecordsOptions{Router: "r", Incarnation: 1})
	local.RecordCounts(start, nil)
	for i := range 3 * maxPauseServices {
		local.RecordPause(fmt.Sprint("s", i), time.Second)
	}
	local.RecordCounts(start.Add(time.Minute), nil)
	assert.Equal(t, len(local.Records()), maxPauseServices+1)
}
