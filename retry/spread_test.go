package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against callers that are told to come back before the time, at the same moment, or much
// later than needed.
func TestSpread(t *testing.T) {
	for _, wait := range []time.Duration{0, 200 * time.Millisecond, 2 * time.Second, time.Minute} {
		seen := map[time.Duration]bool{}
		for draw := range uint64(1000) {
			got := Spread(wait, draw*0x9E3779B97F4A7C15)
			assert.Assert(t, got >= wait && got <= wait+max(minSpread, min(wait/2, maxSpread)), "%s for %s", got, wait)
			seen[got.Round(time.Millisecond)] = true
		}
		assert.Assert(t, len(seen) > 50, "%d different times for %s", len(seen), wait)
	}
}
