package admission

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// phase is how far the endpoint's caches are warmed up.
type phase int

const (
	// phaseWarm applies no limit of its own.
	phaseWarm phase = iota
	// phaseCold limits to the bearable value of the newest report, under the
	// cold lease.
	phaseCold
	// phaseRamp raises the limit from the last bearable value.
	phaseRamp
)

const (
	// slowAnswersForCold consecutive first-token times above slowFactor times
	// the pool's median show that an endpoint has turned cold.
	slowAnswersForCold = 5
	slowFactor         = 3
	// readyReportsAfterSudden ends a coldness that the endpoint did not report
	// itself, as recovery of an endpoint takes three good reports.
	readyReportsAfterSudden = 3
	// rampGrowth of the mean first-token time between two steps stops the ramp.
	// Smaller changes are within the noise of a few answers.
	rampGrowth = 1.2
	// rampStepDivisor makes a step half of the limit, so 2 reaches 64 in nine
	// steps.
	rampStepDivisor = 2
)

// warmth follows an endpoint from cold to warm.
type warmth struct {
	phase phase
	// bearable is the last value that the endpoint reported while cold.
	bearable int
	// sudden is set when the coldness was detected and not reported.
	sudden       bool
	detected     time.Time
	readyReports int
	slowAnswers  int

	rampLimit   int
	rampReached bool
	answers     int
	firstToken  firstTokens
	// lastMean is the mean first-token time before the last step of the ramp.
	lastMean time.Duration
}

type firstTokens struct {
	sum   time.Duration
	count int
}

func (f *firstTokens) mean() time.Duration {
	if f.count == 0 {
		return 0
	}
	return f.sum / time.Duration(f.count)
}

// answered notes a completed request for the ramp.
func (w *warmth) answered(firstToken time.Duration) {
	w.answers++
	if firstToken > 0 {
		w.firstToken.sum += firstToken
		w.firstToken.count++
	}
}

// startRamp starts at 1 when the endpoint never reported what it can bear.
func (w *warmth) startRamp(bearable int) {
	*w = warmth{phase: phaseRamp, rampLimit: max(1, bearable)}
}

// step raises the ramp if its limit was reached and at least one answer came
// since the last step without growth in first-token time.
func (w *warmth) step(maxInflight int) {
	if !w.rampReached || w.answers == 0 {
		return
	}
	mean := w.firstToken.mean()
	grown := w.lastMean > 0 && float64(mean) > rampGrowth*float64(w.lastMean)
	w.rampReached = false
	w.answers = 0
	w.firstToken = firstTokens{}
	if grown {
		return
	}
	if mean > 0 {
		w.lastMean = mean
	}
	w.rampLimit += max(1, w.rampLimit/rampStepDivisor)
	if w.rampLimit >= maxInflight {
		*w = warmth{phase: phaseWarm}
	}
}

// cold says whether grants need the cold lease.
func (g *Gate) cold() bool {
	return g.warmth.phase == phaseCold || g.settings.cold()
}

// Cold says whether the endpoint is cold or warming as this gate sees it, so
// that its owner acquires the cold lease.
func (g *Gate) Cold() bool {
	return g.cold()
}

// warmLimit returns the limit of a cold or ramping endpoint.
func (g *Gate) warmLimit() (int, bool) {
	switch {
	case g.cold():
		return g.report.load.Bearable, true
	case g.warmth.phase == phaseRamp:
		return g.warmth.rampLimit, true
	}
	return 0, false
}

// turnCold starts a coldness that was detected and not reported.
func (g *Gate) turnCold(now time.Time) {
	g.warmth = warmth{phase: phaseCold, sudden: true, detected: now}
	g.recountSince()
}

// firstTokenSlow counts consecutive slow answers and returns true when they show
// a cold endpoint.
func (g *Gate) firstTokenSlow(now time.Time, firstToken time.Duration) bool {
	median := g.pool.FirstToken
	if firstToken <= 0 || median <= 0 || now.Sub(g.poolAt) > g.config.PoolMaxAge {
		return false
	}
	if firstToken <= slowFactor*median {
		g.warmth.slowAnswers = 0
		return false
	}
	g.warmth.slowAnswers++
	return g.warmth.slowAnswers >= slowAnswersForCold && g.warmth.phase != phaseCold
}

// updateWarmth follows the readiness of a new report.
func (g *Gate) updateWarmth(now time.Time, previous report) {
	load := &g.report.load
	w := &g.warmth
	restarted := previous.known && previous.load.BootID != load.BootID
	switch {
	case load.Readiness == api.ReadinessCold || load.Readiness == api.ReadinessWarming:
		*w = warmth{phase: phaseCold, bearable: load.Bearable}
	case restarted:
		g.turnCold(now)
	case w.phase == phaseCold:
		g.readyWhileCold()
	case w.phase == phaseRamp:
		w.rampReached = w.rampReached || g.Inflight() >= w.rampLimit
		if g.report.measured.After(previous.measured) {
			w.step(g.maxInflight())
		}
	}
}

func (g *Gate) readyWhileCold() {
	w := &g.warmth
	if w.sudden {
		w.bearable = max(w.bearable, g.report.load.Bearable)
		if g.report.measured.After(w.detected) {
			w.readyReports++
		}
		if w.readyReports < readyReportsAfterSudden {
			return
		}
	}
	w.startRamp(w.bearable)
}
