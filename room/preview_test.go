package room

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a preview that differs from the decision that follows, and against one that changes
// later decisions: of two services with the same requests, only one has previews.
func TestPreviewChangesNothing(t *testing.T) {
	previewed, plain := New(Config{Plain: true}), New(Config{Plain: true})
	now := time.Unix(1000, 0)
	kinds := map[string]bool{}
	var running []time.Time
	for i := range 3000 {
		now = now.Add(2 * time.Millisecond)
		for _, s := range []*Service{previewed, plain} {
			s.SetRoom(now, 4, len(running), 1, true)
		}
		request := Request{
			ID: uint64(i), Workspace: fmt.Sprint(i % 3), Class: i % 4, Goal: now.Add(150 * time.Millisecond),
			Deadline: now.Add(time.Second), Plain: true,
		}
		preview := previewed.Preview(now, request, 4, len(running), 1, true)
		got, want := previewed.Offer(now, request), plain.Offer(now, request)
		assert.DeepEqual(t, got, want)
		assert.DeepEqual(t, preview, got)
		kinds[got.Reason] = true
		if got.Admit {
			running = append(running, now)
			previewed.Start(now)
			plain.Start(now)
		}
		if len(running) > 0 && now.Sub(running[0]) > 20*time.Millisecond {
			for _, s := range []*Service{previewed, plain} {
				s.End(now, running[0], true)
			}
			running = running[1:]
		}
		if i%50 == 0 {
			assert.DeepEqual(t, previewed.Next(now), plain.Next(now))
		}
	}
	assert.Assert(t, kinds[ReasonRoom] && kinds[ReasonWait] && len(kinds) >= 3, "%v", kinds)
}
