package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against shares that add up to more than the limit while there are not
// more routers than the limit allows events.
func TestShare(t *testing.T) {
	assert.Equal(t, Share(35, 6), 5)
	assert.Equal(t, Share(35, 0), 35)
	assert.Equal(t, Share(0.5, 6), 1)
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(1, 500).Draw(t, "limit")
		routers := rapid.IntRange(1, int(limit)).Draw(t, "routers")
		assert.Assert(t, float64(Share(limit, routers)*routers) <= limit)
	})
}

// Guards against a sliding second with more events than were let through by
// Count.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Window
		now := time.Unix(0, 0)
		var sent []time.Time
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if w.Count(now) < 5 {
				w.Add(now)
				sent = append(sent, now)
			}
		}
		for i := range sent {
			if i >= 5 {
				assert.Assert(t, sent[i].Sub(sent[i-5]) > time.Second)
			}
		}
	})
}
