package retry

import "time"

// Bounds of the part that Spread adds.
const (
	minSpread = 100 * time.Millisecond
	maxSpread = 2 * time.Second
)

// Spread returns a time to wait of at least d: up to half of d more, so that those who wait for the
// same event do not all return at once. draw is a hash of the request.
func Spread(d time.Duration, draw uint64) time.Duration {
	const steps = 1 << 16
	width := min(max(d/2, minSpread), maxSpread)
	return d + width/steps*time.Duration(draw%steps)
}
