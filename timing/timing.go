// Package timing provides waits and periodic calls that end with a context.
package timing

import (
	"context"
	"time"
)

// Pause waits for the duration and returns true, or returns false as soon as the context
// ends.
func Pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls f with the current time at each interval until the context ends. It
// always returns nil; the error result lets a caller write "return timing.Every(...)".
func Every(ctx context.Context, interval time.Duration, f func(now time.Time)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			f(now)
		}
	}
}
