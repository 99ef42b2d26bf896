package measure

import (
	"math"
	"slices"
	"time"
)

// reuse sums the prompt tokens of returning turns.
type reuse struct {
	prompt, cached, ideal int
}

// reuseOf counts the answered turns that had an earlier turn. The ideal serves
// all that the earlier turns left, whichever endpoint they ran at.
func reuseOf(turns []turn) reuse {
	var sum reuse
	for _, t := range turns {
		if t.answer.err != nil || t.former == 0 {
			continue
		}
		sum.prompt += t.answer.prompt
		sum.cached += t.answer.cached
		sum.ideal += t.former
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

// firstBytes returns the times to the first byte of the answered turns.
func firstBytes(turns []turn) []time.Duration {
	var times []time.Duration
	for _, t := range turns {
		if t.answer.err == nil {
			times = append(times, t.answer.firstByte)
		}
	}
	return times
}

// quantile returns the smallest value that at least the share q does not exceed.
func quantile[T ~int64 | ~float64](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(q * float64(len(sorted))))
	return sorted[max(rank, 1)-1]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// loadSample is the work in flight of all engines at one moment.
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

// skew is the highest load over the mean.
func (s loadSample) skew() float64 {
	if s.sum() == 0 {
		return 1
	}
	return float64(slices.Max(s.loads)) * float64(len(s.loads)) / float64(s.sum())
}

// admissionBound is the highest load that the guarantee allows at a mean.
func admissionBound(multiple float64, pool, endpoints int) int {
	return int(math.Ceil(multiple * float64(pool) / float64(endpoints)))
}

// extrapolate continues the line through two points.
func extrapolate(x1, y1, x2, y2, x float64) (y, slope float64) {
	slope = (y2 - y1) / (x2 - x1)
	return y2 + slope*(x-x2), slope
}
