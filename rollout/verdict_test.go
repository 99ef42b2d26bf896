package rollout

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against wrong probabilities, which would move the chance of either error.
func TestTail(t *testing.T) {
	for _, test := range []struct {
		bad, n int
		p      float64
		want   float64
	}{
		{0, 10, 0.1, 1},
		{11, 10, 0.1, 0},
		{1, 1, 0.25, 0.25},
		{2, 2, 0.1, 0.01},
		{1, 2, 0.1, 0.19},
		{6, 20, 0.02, 1.94842e-06},
		{3, 10, 0.1, 0.0701908},
		{5, 100, 0.5, 1},
	} {
		got := tail(test.bad, test.n, test.p)
		assert.Assert(t, math.Abs(got-test.want) <= test.want*1e-3, "%+v: %v", test, got)
	}
}

// onEndpoints returns counts of one route with failures on single target endpoints.
func onEndpoints(answers uint32, failed ...uint32) Counts {
	c := evenCounts(0, 0, 4000, 8, 1, 1)
	clear(c.Endpoints)
	for i, n := range failed {
		c.Endpoints[uint32(i)] = Tally{Answers: answers, Failed: n}
	}
	c.Target["r0"] = total(c.Endpoints)
	c.TargetEndpoints = len(failed)
	return c
}

func onRoute(answers, failed uint32) Counts {
	c := evenCounts(900, 0, 9000, 10, 10, 8)
	c.Target["r3"] = Tally{Answers: answers, Failed: failed}
	for i := range uint32(8) {
		tally := c.Endpoints[i]
		tally.Failed += failed / 8
		c.Endpoints[i] = tally
	}
	return c
}

// timesOf returns a tally of answers that all take a part of the goal.
func timesOf(n int, ratios ...float64) (t Tally) {
	for i := range n {
		t.add(Answer{Elapsed: time.Duration(ratios[i%len(ratios)] * float64(time.Second)), Goal: time.Second})
	}
	return t
}

func slowCounts(target, old Tally, endpoints ...Tally) Counts {
	c := evenCounts(0, 0, 0, 0, 1, 1)
	clear(c.Endpoints)
	c.Target["r0"], c.Old["r0"] = target, old
	for i, endpoint := range endpoints {
		c.Endpoints[uint32(i)] = endpoint
	}
	return c
}

// Each row guards against a bad version that is not found, or a good one that is rolled back.
func TestJudge(t *testing.T) {
	old := timesOf(200, 0.1, 0.15, 0.2, 0.3)
	fast, slow := timesOf(12, 0.1, 0.15, 0.2, 0.3), timesOf(12, 0.3, 0.45, 0.6, 0.9)
	lateFailures := evenCounts(3000, 40, 9000, 20, 1, 8)
	lateFailures.Recent = new(Counts)
	*lateFailures.Recent = evenCounts(96, 40, 300, 0, 1, 8)
	strained := evenCounts(3000, 40, 9000, 500, 1, 8)
	strained.Recent = new(Counts)
	*strained.Recent = evenCounts(96, 16, 20, 0, 1, 8)
	for _, test := range []struct {
		name   string
		counts Counts
		reason string
	}{
		{"no answers", emptyCounts(), ""},
		{"5 failures", evenCounts(20, 5, 400, 0, 1, 1), ""},
		{"6 failures of 20", evenCounts(20, 6, 400, 0, 1, 1), ReasonFailures},
		{"both fail alike", evenCounts(200, 40, 4000, 800, 1, 8), ""},
		{"a little over the old rate", evenCounts(800, 24, 4000, 40, 1, 8), ""},
		{"no old answers", evenCounts(48, 24, 0, 0, 1, 8), ReasonFailures},
		{"one faulty endpoint of 8", onEndpoints(50, 0, 0, 30, 0, 1, 0, 0, 0), ""},
		{"one faulty endpoint of 3", onEndpoints(50, 0, 30, 1), ""},
		{"one faulty endpoint of 2", onEndpoints(200, 80, 1), ""},
		{"two endpoints, both fail", onEndpoints(40, 16, 14), ReasonFailures},
		{"the only endpoint fails", onEndpoints(40, 16), ReasonFailures},
		{"all endpoints fail", onEndpoints(8, 3, 4, 2, 3, 4, 2, 3, 3), ReasonFailures},
		{"two of 8 fail", onEndpoints(50, 20, 20, 0, 0, 0, 0, 0, 0), ReasonFailures},
		{"one route of 10 fails", onRoute(40, 16), ReasonFailures},
		{"one route of 10 fails a little", onRoute(90, 5), ""},
		{"late failures hidden by good answers", lateFailures, ReasonFailures},
		{"strain while the old version has few recent answers", strained, ""},
		{"as fast", slowCounts(timesOf(100, 0.1, 0.15, 0.2, 0.3), old), ""},
		{"1.5 times slower", slowCounts(timesOf(200, 0.15, 0.225, 0.3, 0.45), old), ""},
		{"3 times slower", slowCounts(timesOf(48, 0.3, 0.45, 0.6, 0.9), old, slow, slow, slow, slow), ReasonSlow},
		{"8 times slower", slowCounts(timesOf(48, 0.8, 1.2, 1.6, 2.4), old), ReasonSlow},
		{"one slow endpoint of 4", slowCounts(fast.plus(fast).plus(fast).plus(slow), old, fast, fast, slow, fast), ""},
		{"11 slow answers", slowCounts(timesOf(11, 2), old), ""},
	} {
		assert.Equal(t, judge(test.counts).reason, test.reason, test.name)
	}
}

// Guards against a line of the log that does not lead to the route that failed.
func TestEvidence(t *testing.T) {
	r := testRollout()
	next, evidence := Decide(at(3*time.Second), r, statusOf(r, Running, 0.05), onRoute(40, 16))
	assert.Equal(t, next.Reason, ReasonFailures)
	assert.Equal(t, evidence.Route, "r3")
	assert.DeepEqual(t, []uint64{evidence.Answers, evidence.Failed, evidence.OldAnswers, evidence.OldFailed}, []uint64{40, 16, 900, 1})
}

// withRecent returns counts of a version that turned bad: no failure of 100 answers of each of four
// endpoints before, then recent answers and failures by endpoint.
func withRecent(recent ...Tally) Counts {
	c, late := onEndpoints(100, 0, 0, 0, 0), evenCounts(0, 0, 400, 1, 1, 1)
	clear(late.Endpoints)
	for i, tally := range recent {
		late.Endpoints[uint32(i)] = tally
		c.Endpoints[uint32(i)] = c.Endpoints[uint32(i)].plus(tally)
	}
	late.Target["r0"], c.Target["r0"] = total(late.Endpoints), total(c.Endpoints)
	c.Recent = &late
	return c
}

// Guards against good answers of other endpoints that hide a second one that fails, against a faulty
// endpoint that condemns a good version, and against a whole count that is only suspect and hides
// recent answers that are likely to be bad.
func TestJudgeSecondEndpoint(t *testing.T) {
	tried, failing := Tally{Answers: 40}, Tally{Answers: 30, Failed: 12}
	hidden := Tally{Answers: 400}
	assert.Equal(t, judge(withRecent(failing, Tally{Answers: 10, Failed: 4}, hidden, hidden)).reason, ReasonFailures)
	assert.Equal(t, judge(withRecent(failing, tried, tried, tried)).reason, "")
	assert.Assert(t, !judge(withRecent(failing, tried, tried, tried)).likely)
	likely := withRecent(failing, Tally{Answers: 30, Failed: 5}, Tally{Answers: 8}, Tally{Answers: 8})
	assert.Assert(t, judge(likely).likely)
}

// Guards against a last stage in which a version gets every request because a single endpoint had
// most requests when it turned bad, and against one that waits too long for one faulty endpoint.
func TestDecideOneEndpoint(t *testing.T) {
	few, tried, failing := Tally{Answers: 3}, Tally{Answers: 20}, Tally{Answers: 60, Failed: 24}
	for _, test := range []struct {
		name   string
		at     time.Duration // of 12 s
		counts Counts
		share  float64
	}{
		{"others not tried", 9700 * time.Millisecond, withRecent(failing, few, few, few), 0.25},
		{"one other tried", 9700 * time.Millisecond, withRecent(failing, tried, few, few), 0.25},
		{"two others tried", 9700 * time.Millisecond, withRecent(failing, tried, tried, few), 1},
		{"not in time", 10200 * time.Millisecond, withRecent(failing, few, few, few), 1},
	} {
		r := testRollout()
		current := statusOf(r, Running, 0.25)
		current.Since = at(7500 * time.Millisecond)
		test.counts.Routers = 3
		next, _ := Decide(at(test.at), r, current, test.counts)
		assert.Equal(t, next.State, Running, test.name)
		assert.Equal(t, next.Share, test.share, test.name)
	}
}
