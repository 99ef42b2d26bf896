package measure

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a reuse that is too low because it includes turns without any reuse: the
// first turn of a chat and failed turns.
func TestReuseCountsAnsweredReturningTurns(t *testing.T) {
	turns := []turn{
		{answer: answer{prompt: 50}},
		{answer: answer{prompt: 150, cached: 80}, reusableTokens: 100},
		{answer: answer{err: errors.New("cut")}, reusableTokens: 100},
		{answer: answer{prompt: 250, cached: 100}, reusableTokens: 200},
	}
	sum := sumReuse(turns)
	assert.Equal(t, sum, reuse{prompt: 400, cached: 180, ideal: 300})
	assert.Equal(t, sum.share(), 0.45)
	assert.Equal(t, sum.idealShare(), 0.75)
	assert.Equal(t, sum.ofIdeal(), 0.6)
	assert.Equal(t, answeredShare(turns), 0.75)
}

// Guards against a quantile that is one rank off.
func TestQuantile(t *testing.T) {
	var values []time.Duration
	for i := range 100 {
		values = append(values, time.Duration(100-i))
	}
	assert.Equal(t, quantile(values, 0.5), time.Duration(50))
	assert.Equal(t, quantile(values, 0.99), time.Duration(99))
	assert.Equal(t, quantile(values, 0), time.Duration(1))
	assert.Equal(t, quantile([]float64(nil), 0.5), 0.0)
}

// Guards against a load bound that is rounded down, and a skew that is divided by the sum
// instead of the mean.
func TestSkewAndBound(t *testing.T) {
	assert.Equal(t, loadSample{loads: []int{1, 2, 3, 6}}.skew(), 2.0)
	assert.Equal(t, loadSample{loads: []int{0, 0}}.skew(), 1.0)
	assert.Equal(t, admissionBound(1.25, 160, 20), 10)
	assert.Equal(t, admissionBound(1.25, 161, 20), 11)
}

// Guards against an extrapolation that adds the rise after the second point to the value
// at the first one.
func TestExtrapolate(t *testing.T) {
	y, slope := extrapolate(4, 100, 8, 120, 350)
	assert.Equal(t, slope, 5.0)
	assert.Equal(t, y, 1830.0)
}

// Guards against targets whose bound is compared in the wrong direction.
func TestVerdict(t *testing.T) {
	assert.Equal(t, atLeast(0.95, "").verdict(0.95), verdictMet)
	assert.Equal(t, atLeast(0.95, "").verdict(0.94), verdictMissed)
	assert.Equal(t, atMost(0.3, "").verdict(0.29), verdictMet)
	assert.Equal(t, atMost(0.3, "").verdict(0.31), verdictMissed)
}

// Guards against token counts that differ from those of standin.Engine, which would make
// the ideal reuse wrong.
func TestPromptTokens(t *testing.T) {
	messages := []message{{"user", "12345678"}, {"assistant", ""}}
	assert.Equal(t, promptTokens(messages), 4+2+4)
}
