package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against shares that add up to more than the limit, also in a fleet with
// more routers than allowed events, and against a remainder that is assigned to no
// router.
func TestShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(1, 500).Draw(t, "limit")
		var routers []string
		for i := range rapid.IntRange(1, 400).Draw(t, "routers") {
			routers = append(routers, fmt.Sprintf("router-%d", i))
		}
		name := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "name")
		sum := 0
		for _, self := range routers {
			sum += NewRouters(self, routers).Share(limit, name)
		}
		assert.Equal(t, sum, int(limit))
	})
	assert.Equal(t, NewRouters("a", nil).Share(35, "e"), 35)
	assert.Equal(t, NewRouters("a", nil).Share(0.5, "e"), 1)
	var unknown *Routers
	assert.Equal(t, unknown.Share(35, "e"), 0, "hundreds of routers may not know each other at the same time")
}

// Guards against an even share of 0, with which a router could send nothing at all.
func TestEvenShare(t *testing.T) {
	assert.Equal(t, NewRouters("a", []string{"a", "b"}).EvenShare(35), 17)
	assert.Equal(t, NewRouters("a", []string{"b", "c"}).EvenShare(0.5), 1)
	var unknown *Routers
	assert.Equal(t, unknown.EvenShare(35), 35)
}

// Guards against more events within a second than the limit that the caller checks
// with Count.
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
