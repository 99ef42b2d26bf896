package timing

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a wait or a periodic call that continues after its context has ended.
func TestEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	assert.Assert(t, Pause(ctx, time.Millisecond))
	calls := 0
	assert.NilError(t, Every(ctx, time.Millisecond, func(time.Time) {
		if calls++; calls == 3 {
			cancel()
		}
	}))
	assert.Assert(t, calls >= 3)
	started := time.Now()
	assert.Assert(t, !Pause(ctx, time.Minute))
	assert.Assert(t, time.Since(started) < time.Second)
}
