package work

import (
	"math"
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

const ms = time.Millisecond

// Guards against costs that are not learned, and against a single sample that changes them beyond
// the bound.
func TestModelLearns(t *testing.T) {
	m := New(Config{})
	r := Request{Route: "chat", Prompt: 8000, Cached: 4000, MaxOutput: 500}
	assert.Equal(t, m.Cost(r).Prefill, 50*ms)
	assert.Equal(t, m.Cost(r).Output, 800*ms)
	s := Sample{First: 110 * ms, Wait: 10 * ms, Rest: 99 * 20 * ms, Output: 100, Contention: 1}
	for range 60 {
		m.Observe(r, s)
	}
	cost := m.Cost(r)
	assert.Assert(t, cost.Prefill > 98*ms && cost.Prefill < 102*ms, cost.Prefill)
	assert.Assert(t, cost.Output > 1950*ms && cost.Output < 2050*ms, cost.Output)
	s.First = time.Hour
	m.Observe(r, s)
	assert.Assert(t, m.Cost(r).Prefill < 120*ms, m.Cost(r).Prefill)
	m.Observe(r, Sample{})
	m.Observe(r, Sample{First: -ms, Rest: -ms, Output: 5, Contention: math.NaN()})
	assert.Assert(t, m.Cost(r).Prefill > 0)
	for _, odd := range []Request{{Prompt: math.MaxInt}, {Prompt: math.MinInt, Cached: math.MaxInt}, {MaxOutput: math.MinInt, Hint: math.MaxInt}} {
		cost := m.Cost(odd)
		assert.Assert(t, cost.Prefill >= 0 && cost.Output >= 0 && cost.Tokens >= 0, "%v: %v", odd, cost)
	}
}

// Guards against hints that count although they never were right, and against ones that do not
// although they always were.
func TestHintBlend(t *testing.T) {
	for _, c := range []struct {
		hint     func(output int) int
		low, top float64
	}{
		{func(output int) int { return output }, 280, 320},
		{func(output int) int { return 330 - output }, 80, 230},
	} {
		m := New(Config{})
		for i := range 200 {
			output := 20 + i*97%300
			m.Observe(Request{Hint: c.hint(output)}, Sample{First: ms, Rest: time.Duration(output) * 8 * ms, Output: output})
		}
		expected := float64(m.Cost(Request{Hint: 300}).Output) / float64(m.OutputTime(1))
		assert.Assert(t, expected > c.low && expected < c.top, "%.0f", expected)
		expected = float64(m.Cost(Request{Hint: 300, MaxOutput: 50}).Output) / float64(m.OutputTime(1))
		assert.Assert(t, expected < 50.5, "%.0f is above the declared maximum", expected)
	}
}

// Guards against a speed that does not follow the responses, goes beyond its clamps, or stays
// when there are no more.
func TestSpeed(t *testing.T) {
	e, m := &Endpoint{}, New(Config{})
	now := start
	e.ObserveSpeed(now, m, 10*ms, 60*ms)
	one := e.Speed(now)
	assert.Assert(t, one > 1.5 && one < 4, "one sample: %f", one)
	for range 20 {
		now = now.Add(100 * ms)
		e.ObserveSpeed(now, m, 10*ms, 60*ms)
	}
	assert.Assert(t, e.Speed(now) > 4 && e.Speed(now) < 6, "%f", e.Speed(now))
	assert.Assert(t, math.Abs(e.Speed(now.Add(10*time.Second))-1) < 0.2, "%f", e.Speed(now.Add(10*time.Second)))
	for range 100 {
		e.ObserveSpeed(now, m, ms, time.Hour)
	}
	assert.Assert(t, e.Speed(now) <= maxSpeed)
}

// Guards against an endpoint that does not answer at all and counts as usual for as long.
func TestOverdueRequestShowsSlowness(t *testing.T) {
	e := &Endpoint{}
	e.Start(start, 1, Estimate{Prefill: 20 * ms}, 20*ms)
	assert.Equal(t, e.Speed(start.Add(30*ms)), 1.0)
	assert.Equal(t, e.Speed(start.Add(100*ms)), 5.0)
	e.Answered(1)
	assert.Equal(t, e.Speed(start.Add(100*ms)), 1.0)
	e.End(1)
	e.End(1)
	assert.Equal(t, e.Outstanding(start), time.Duration(0))
}

// Guards against a fourth figure that counts when it is missing, absurd or old, and against one
// that does not count when it is new.
func TestContention(t *testing.T) {
	e := &Endpoint{}
	for _, odd := range []float64{0, -1, 1000, math.NaN(), math.Inf(1)} {
		e.ObserveLoad(start, Load{Slots: 4, Contention: odd})
		assert.Equal(t, e.Contention(start), 1.0)
	}
	assert.Assert(t, e.ObserveLoad(start, Load{Slots: 4, Contention: 3}))
	assert.Equal(t, e.Contention(start), 3.0)
	assert.Assert(t, math.Abs(e.Contention(start.Add(contentionHalf))-2) < 0.01)
	assert.Equal(t, e.Contention(start.Add(contentionEnd)), 1.0)
	assert.Assert(t, !e.ObserveLoad(start, Load{Odd: true}))
}

// Guards against a faulty figure that the router's own times contradict, and that counts all the
// same.
func TestFigureThatContradictsTimes(t *testing.T) {
	e, m := &Endpoint{}, New(Config{})
	now := start
	for range disagreements {
		now = now.Add(10 * ms)
		e.ObserveLoad(now, Load{Slots: 4, Contention: 8})
		e.ObserveSpeed(now, m, 10*ms, 10*ms)
	}
	assert.Equal(t, e.Contention(now), 1.0)
	assert.Assert(t, !e.ObserveLoad(now, Load{Slots: 4, Contention: 8}))
}

// Guards against a lying number of requests that changes the expected time without bound, and
// against reports that count when they are old.
func TestReportedRequests(t *testing.T) {
	mean := Estimate{Prefill: 20 * ms}
	expected := func(e *Endpoint, at time.Time) time.Duration { return e.Expected(at, 4, 6, mean, mean) }
	honest := expected(&Endpoint{}, start)
	for _, lie := range []Load{{Slots: 4}, {Slots: 4, Running: 1 << 20, Waiting: 1 << 20}} {
		e := &Endpoint{}
		e.ObserveLoad(start, lie)
		got := expected(e, start)
		assert.Assert(t, got != honest && got > 10*ms && got < 10*honest, "%s, without report %s", got, honest)
		assert.Equal(t, expected(e, start.Add(loadEnd)), honest)
	}
}

// Guards against work behind full slots that does not count, and against running work that counts
// as if it had to end first.
func TestExpectedTime(t *testing.T) {
	mean := Estimate{Prefill: 100 * ms}
	e := &Endpoint{}
	assert.Equal(t, e.Expected(start, 4, 0, mean, mean), 100*ms)
	assert.Equal(t, e.Expected(start, 4, 2, mean, mean), 125*ms)
	assert.Equal(t, e.Expected(start, 4, 7, mean, mean), 250*ms)
}

// Guards against a state of endpoints that outgrows the figure in docs/CAPACITY.md.
func TestEndpointSize(t *testing.T) {
	assert.Assert(t, unsafe.Sizeof(Endpoint{}) <= 256, "%d bytes", unsafe.Sizeof(Endpoint{}))
}
