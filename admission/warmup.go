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
	// phaseCold limits the load to the bearable load in the newest report and
	// requires the cold lease.
	phaseCold
	// phaseRamp raises the limit step by step from the last bearable load.
	phaseRamp
)

const (
	// slowAnswersForCold consecutive first-token times above slowFactor times
	// the pool's median show that an endpoint has turned cold.
	slowAnswersForCold = 5
	slowFactor         = 3
	// readyReportsAfterUnreported is the number of ready reports that end a cold
	// phase which the endpoint did not report itself. It equals the number of good
	// reports for one step of a recovery in package endpointstate.
	readyReportsAfterUnreported = 3
	// maxFirstTokenGrowth is the largest growth of the mean first-token time after
	// which the limit is raised again. The growth is the mean since the last step of
	// the ramp, divided by the mean before that step. A growth below 1.2 is within the
	// noise of a few answers.
	maxFirstTokenGrowth = 1.2
	// rampStepDivisor makes each step raise the limit by half, so that it grows from
	// 2 to 64 or more in ten steps.
	rampStepDivisor = 2
)

// warmup tracks an endpoint's transition from cold to warm.
type warmup struct {
	phase phase
	// bearable is the last bearable load that the endpoint reported while cold.
	bearable int
	// unreported is set if the gate detected the cold phase and the endpoint did
	// not report it.
	unreported   bool
	detectedAt   time.Time
	readyReports int // ready reports measured after detectedAt, if unreported is set
	slowAnswers  int // consecutive slow answers

	rampLimit int
	// rampReached is set if the load has reached rampLimit since the last step of
	// the ramp. answers and firstTokenTimes count the requests completed since then.
	rampReached     bool
	answers         int
	firstTokenTimes firstTokenTimes
	// lastMean is the mean first-token time before the last step of the ramp.
	lastMean time.Duration
}

type firstTokenTimes struct {
	sum   time.Duration
	count int
}

func (f *firstTokenTimes) mean() time.Duration {
	if f.count == 0 {
		return 0
	}
	return f.sum / time.Duration(f.count)
}

// recordAnswer counts a completed request for the next step of the ramp.
func (w *warmup) recordAnswer(firstTokenTime time.Duration) {
	w.answers++
	if firstTokenTime > 0 {
		w.firstTokenTimes.sum += firstTokenTime
		w.firstTokenTimes.count++
	}
}

// startRamp starts the ramp at bearable, or at 1 if the endpoint never reported a
// bearable load.
func (w *warmup) startRamp(bearable int) {
	*w = warmup{phase: phaseRamp, rampLimit: max(1, bearable)}
}

// stepRamp raises the limit if all of the following hold: the load reached the limit
// since the last step, at least one request completed since then, and the mean
// first-token time grew by a factor of at most maxFirstTokenGrowth.
func (w *warmup) stepRamp(maxInflight int) {
	if !w.rampReached || w.answers == 0 {
		return
	}
	mean := w.firstTokenTimes.mean()
	grown := w.lastMean > 0 && float64(mean) > maxFirstTokenGrowth*float64(w.lastMean)
	w.rampReached = false
	w.answers = 0
	w.firstTokenTimes = firstTokenTimes{}
	if grown {
		return
	}
	if mean > 0 {
		w.lastMean = mean
	}
	w.rampLimit += max(1, w.rampLimit/rampStepDivisor)
	if w.rampLimit >= maxInflight {
		*w = warmup{phase: phaseWarm}
	}
}

// cold reports whether grants need the cold lease.
func (g *Gate) cold() bool {
	return g.warmup.phase == phaseCold || g.settings.cold()
}

// Cold reports whether this gate treats the endpoint as cold or warming, in which
// case its owner must acquire the cold lease.
func (g *Gate) Cold() bool {
	return g.cold()
}

// warmupLimit returns the limit of a cold or ramping endpoint, and false for a
// warm one, which has no such limit.
func (g *Gate) warmupLimit() (int, bool) {
	switch {
	case g.cold():
		return g.report.load.Bearable, true
	case g.warmup.phase == phaseRamp:
		return g.warmup.rampLimit, true
	}
	return 0, false
}

// markCold starts a cold phase that the endpoint did not report.
func (g *Gate) markCold(now time.Time) {
	g.warmup = warmup{phase: phaseCold, unreported: true, detectedAt: now}
	g.recountGranted()
}

// detectCold counts consecutive slow answers and reports whether they show that
// the endpoint has turned cold.
func (g *Gate) detectCold(now time.Time, firstTokenTime time.Duration) bool {
	median := g.pool.FirstTokenTime
	if firstTokenTime <= 0 || median <= 0 || now.Sub(g.poolAt) > g.config.PoolLoadMaxAge {
		return false
	}
	if firstTokenTime <= slowFactor*median {
		g.warmup.slowAnswers = 0
		return false
	}
	g.warmup.slowAnswers++
	return g.warmup.slowAnswers >= slowAnswersForCold && g.warmup.phase != phaseCold
}

// updateWarmup changes the phase according to the readiness in a new report.
func (g *Gate) updateWarmup(now time.Time, previous report) {
	load := &g.report.load
	w := &g.warmup
	restarted := previous.known && previous.load.BootID != load.BootID
	switch {
	case load.Readiness == api.ReadinessCold || load.Readiness == api.ReadinessWarming:
		*w = warmup{phase: phaseCold, bearable: load.Bearable}
	case restarted:
		g.markCold(now)
	case w.phase == phaseCold:
		g.startRampWhenReady()
	case w.phase == phaseRamp:
		w.rampReached = w.rampReached || g.Inflight() >= w.rampLimit
		if g.report.measured.After(previous.measured) {
			w.stepRamp(g.maxInflight())
		}
	}
}

// startRampWhenReady handles a ready report in a cold phase. A cold phase that the
// endpoint reported itself ends at once. An unreported one ends after
// readyReportsAfterUnreported ready reports.
func (g *Gate) startRampWhenReady() {
	w := &g.warmup
	if w.unreported {
		w.bearable = max(w.bearable, g.report.load.Bearable)
		if g.report.measured.After(w.detectedAt) {
			w.readyReports++
		}
		if w.readyReports < readyReportsAfterUnreported {
			return
		}
	}
	w.startRamp(w.bearable)
}
