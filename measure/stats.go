package measure

import (
	"math"
	"slices"
	"time"
)

// reuse holds sums over turns: all prompt tokens, those that an engine took from its
// cache, and those that an engine would take from a cache in the ideal case; see sumReuse.
type reuse struct {
	prompt, cached, ideal int
}

// sumReuse sums over the answered turns that follow an answered turn of the same chat.
// Ideal reuse takes all tokens of the earlier turns from a cache, whichever endpoint ran
// those turns.
func sumReuse(turns []turn) reuse {
	var sum reuse
	for _, t := range turns {
		if t.answer.err != nil || t.reusableTokens == 0 {
			continue
		}
		sum.prompt += t.answer.prompt
		sum.cached += t.answer.cached
		sum.ideal += t.reusableTokens
	}
	return sum
}

func (r reuse) share() float64 { return ratio(r.cached, r.prompt) }

func (r reuse) idealShare() float64 { return ratio(r.ideal, r.prompt) }

func (r reuse) ofIdeal() float64 { return ratio(r.cached, r.ideal) }

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// answeredShare returns the share of turns with a complete answer.
func answeredShare(turns []turn) float64 {
	answered := 0
	for _, t := range turns {
		if t.answer.err == nil {
			answered++
		}
	}
	return ratio(answered, len(turns))
}

// firstByteTimes returns the times to first byte of the turns with a complete answer.
func firstByteTimes(turns []turn) []time.Duration {
	var times []time.Duration
	for _, t := range turns {
		if t.answer.err == nil {
			times = append(times, t.answer.firstByte)
		}
	}
	return times
}

// quantile returns the smallest value such that at least the share q of the values does
// not exceed it, or 0 if there are no values.
func quantile[T ~int64 | ~float64](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(q * float64(len(sorted))))
	return sorted[max(rank, 1)-1]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// loadSample has the requests in flight of each engine at one time.
type loadSample struct {
	at    time.Time
	loads []int
}

func (s loadSample) sum() int {
	sum := 0
	for _, load := range s.loads {
		sum += load
	}
	return sum
}

// skew returns the highest load divided by the mean, or 1 if there is no load.
func (s loadSample) skew() float64 {
	if s.sum() == 0 {
		return 1
	}
	return float64(slices.Max(s.loads)) * float64(len(s.loads)) / float64(s.sum())
}

// admissionBound returns the highest load that the load bound allows for one endpoint of a
// pool. The bound is a multiple of the mean load; pool is the total load of the pool's
// endpoints.
func admissionBound(multiple float64, pool, endpoints int) int {
	return int(math.Ceil(multiple * float64(pool) / float64(endpoints)))
}

// extrapolate returns the value at x of the line through two points, and the slope of the
// line.
func extrapolate(x1, y1, x2, y2, x float64) (y, slope float64) {
	slope = (y2 - y1) / (x2 - x1)
	return y2 + slope*(x-x2), slope
}
