package endpointstate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// event applies one input to a machine at the time now.
type event func(m *Machine, now time.Time)

func report(readiness api.Readiness) event {
	return func(m *Machine, now time.Time) { m.Report(now, readiness) }
}

var (
	startPolling    event = func(m *Machine, now time.Time) { m.SetPolling(now, true) }
	stopPolling     event = func(m *Machine, now time.Time) { m.SetPolling(now, false) }
	readyReport           = report(api.ReadinessReady)
	coldReport            = report(api.ReadinessCold)
	reportFails     event = func(m *Machine, now time.Time) { m.ReportFailed(now) }
	requestFails    event = func(m *Machine, now time.Time) { m.RequestFailed(now) }
	requestSucceeds event = func(m *Machine, _ time.Time) { m.RequestSucceeded() }
	tick            event = func(m *Machine, now time.Time) { m.Tick(now) }
	leaving         event = func(m *Machine, _ time.Time) { m.SetInstance(true, true) }
	unlisted        event = func(m *Machine, _ time.Time) { m.SetInstance(false, false) }
	listed          event = func(m *Machine, _ time.Time) { m.SetInstance(true, false) }
	withdrawn       event = func(m *Machine, _ time.Time) { m.SetWithdrawn(true) }
	restored        event = func(m *Machine, _ time.Time) { m.SetWithdrawn(false) }
)

// ticksWithoutReport ticks twice a second for the time d since the previous event.
func ticksWithoutReport(d time.Duration) event {
	return func(m *Machine, now time.Time) {
		for at := now.Add(-d); at.Before(now); at = at.Add(500 * time.Millisecond) {
			m.Tick(at)
		}
		m.Tick(now)
	}
}

type transition struct {
	after time.Duration
	event event
	state State
}

// Guards against two faults: a better state hides a worse one; an endpoint recovers
// before enough good reports have arrived.
func TestTransitions(t *testing.T) {
	const pollInterval = 500 * time.Millisecond
	tests := map[string][]transition{
		"first report": {
			{0, startPolling, Joining},
			{pollInterval, reportFails, Joining},
			{pollInterval, report(api.ReadinessWarming), Warming},
			{pollInterval, coldReport, Cold},
			{pollInterval, readyReport, Ready},
		},
		"never reports": {
			{0, startPolling, Joining}, {DefaultDownAfter - 1, ticksWithoutReport(DefaultDownAfter - 1), Joining}, {1, tick, Down},
		},
		"late, then three good reports": {
			{0, startPolling, Joining},
			{pollInterval, readyReport, Ready},
			{DefaultSuspectAfter - 1, ticksWithoutReport(DefaultSuspectAfter - 1), Ready},
			{1, tick, Suspect},
			{0, readyReport, Suspect},
			{pollInterval, readyReport, Suspect},
			{pollInterval, reportFails, Suspect},
			{pollInterval, readyReport, Suspect},
			{pollInterval, readyReport, Suspect},
			{pollInterval, readyReport, Ready},
		},
		"down, cold, ready": {
			{0, startPolling, Joining},
			{pollInterval, readyReport, Ready},
			{DefaultDownAfter, ticksWithoutReport(DefaultDownAfter), Down},
			{0, readyReport, Down},
			{pollInterval, readyReport, Down},
			{pollInterval, readyReport, Cold},
			{pollInterval, readyReport, Cold},
			{pollInterval, coldReport, Cold},
			{pollInterval, readyReport, Cold},
			{pollInterval, readyReport, Ready},
		},
		"router paused": {
			{0, startPolling, Joining},
			{pollInterval, readyReport, Ready},
			{time.Hour, tick, Ready},
			{0, readyReport, Ready},
			{time.Hour, readyReport, Ready},
			{DefaultSuspectAfter, tick, Ready},
			{DefaultSuspectAfter, ticksWithoutReport(DefaultSuspectAfter), Suspect},
		},
		"request errors": {
			{0, startPolling, Joining},
			{pollInterval, readyReport, Ready},
			{0, requestFails, Ready},
			{0, requestFails, Ready},
			{0, requestSucceeds, Ready},
			{0, requestFails, Ready},
			{0, requestFails, Ready},
			{0, requestFails, Suspect},
			{pollInterval, readyReport, Suspect},
			{0, requestSucceeds, Suspect},
			{pollInterval, readyReport, Suspect},
			{pollInterval, readyReport, Ready},
		},
		"request errors do not end down": {
			{0, startPolling, Joining},
			{DefaultDownAfter, ticksWithoutReport(DefaultDownAfter), Down},
			{0, requestFails, Down},
			{0, requestFails, Down},
			{0, requestFails, Down},
		},
		"suspect over cold": {
			{0, startPolling, Joining}, {pollInterval, coldReport, Cold}, {DefaultSuspectAfter, ticksWithoutReport(DefaultSuspectAfter), Suspect},
		},
		"withdrawn over leaving over down": {
			{0, startPolling, Joining},
			{DefaultDownAfter, ticksWithoutReport(DefaultDownAfter), Down},
			{0, leaving, Leaving},
			{0, withdrawn, Withdrawn},
			{0, listed, Withdrawn},
			{0, restored, Down},
		},
		"reported leaving": {
			{0, startPolling, Joining}, {pollInterval, report(api.ReadinessLeaving), Leaving}, {pollInterval, readyReport, Ready},
		},
		"unlisted": {
			{0, startPolling, Joining}, {pollInterval, readyReport, Ready}, {0, unlisted, Down}, {0, listed, Ready},
		},
		"not polled": {
			{0, tick, Ready},
			{time.Hour, tick, Ready},
			{0, requestFails, Ready},
			{0, requestFails, Ready},
			{0, requestFails, Suspect},
			{DefaultEndSuspicionAfter - 1, tick, Suspect},
			{1, tick, Ready},
		},
		"polling ends while down": {
			{0, startPolling, Joining},
			{DefaultDownAfter, ticksWithoutReport(DefaultDownAfter), Down},
			{0, stopPolling, Suspect},
			{DefaultEndSuspicionAfter, tick, Ready},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			m, now := New(Config{}), time.Unix(1000, 0)
			for i, step := range steps {
				now = now.Add(step.after)
				step.event(m, now)
				assert.Equal(t, m.State(), step.state, "step %d", i)
			}
		})
	}
}

// Guards against a cold endpoint that gets work without the lease because State
// returns Suspect, which takes precedence.
func TestSuspectKeepsLease(t *testing.T) {
	m, now := New(Config{}), time.Unix(1000, 0)
	startPolling(m, now)
	coldReport(m, now)
	for range DefaultSuspectErrors {
		requestFails(m, now)
	}
	assert.Equal(t, m.State(), Suspect)
	assert.Assert(t, m.NeedsLease())
}
