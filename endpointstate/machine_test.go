package endpointstate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// event changes a machine at a time.
type event func(m *Machine, now time.Time)

func report(readiness api.Readiness) event {
	return func(m *Machine, now time.Time) { m.Report(now, readiness) }
}

var (
	poll      event = func(m *Machine, now time.Time) { m.SetPolling(now, true) }
	stopPoll  event = func(m *Machine, now time.Time) { m.SetPolling(now, false) }
	good            = report(api.ReadinessReady)
	cold            = report(api.ReadinessCold)
	noReport  event = func(m *Machine, now time.Time) { m.ReportFailed(now) }
	fails     event = func(m *Machine, now time.Time) { m.RequestFailed(now) }
	succeeds  event = func(m *Machine, _ time.Time) { m.RequestSucceeded() }
	tick      event = func(m *Machine, now time.Time) { m.Tick(now) }
	leaving   event = func(m *Machine, _ time.Time) { m.SetInstance(true, true) }
	unlisted  event = func(m *Machine, _ time.Time) { m.SetInstance(false, false) }
	listed    event = func(m *Machine, _ time.Time) { m.SetInstance(true, false) }
	withdrawn event = func(m *Machine, _ time.Time) { m.SetWithdrawn(true) }
	restored  event = func(m *Machine, _ time.Time) { m.SetWithdrawn(false) }
)

// silent ticks twice a second for the time since the event before.
func silent(d time.Duration) event {
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

// Guards against a worse state that is hidden by a better one, and against a
// recovery without the evidence for it.
func TestTransitions(t *testing.T) {
	const poll500 = 500 * time.Millisecond
	tests := map[string][]transition{
		"first report": {
			{0, poll, Joining},
			{poll500, noReport, Joining},
			{poll500, report(api.ReadinessWarming), Warming},
			{poll500, cold, Cold},
			{poll500, good, Ready},
		},
		"never reports": {
			{0, poll, Joining}, {DefaultDownAfter - 1, silent(DefaultDownAfter - 1), Joining}, {1, tick, Down},
		},
		"late, then three good reports": {
			{0, poll, Joining},
			{poll500, good, Ready},
			{DefaultLateAfter - 1, silent(DefaultLateAfter - 1), Ready},
			{1, tick, Suspect},
			{0, good, Suspect},
			{poll500, good, Suspect},
			{poll500, noReport, Suspect},
			{poll500, good, Suspect},
			{poll500, good, Suspect},
			{poll500, good, Ready},
		},
		"down, cold, ready": {
			{0, poll, Joining},
			{poll500, good, Ready},
			{DefaultDownAfter, silent(DefaultDownAfter), Down},
			{0, good, Down},
			{poll500, good, Down},
			{poll500, good, Cold},
			{poll500, good, Cold},
			{poll500, cold, Cold},
			{poll500, good, Cold},
			{poll500, good, Ready},
		},
		"router paused": {
			{0, poll, Joining},
			{poll500, good, Ready},
			{time.Hour, tick, Ready},
			{0, good, Ready},
			{time.Hour, good, Ready},
			{DefaultLateAfter, tick, Ready},
			{DefaultLateAfter, silent(DefaultLateAfter), Suspect},
		},
		"request errors": {
			{0, poll, Joining},
			{poll500, good, Ready},
			{0, fails, Ready},
			{0, fails, Ready},
			{0, succeeds, Ready},
			{0, fails, Ready},
			{0, fails, Ready},
			{0, fails, Suspect},
			{poll500, good, Suspect},
			{0, succeeds, Suspect},
			{poll500, good, Suspect},
			{poll500, good, Ready},
		},
		"errors do not lift down": {
			{0, poll, Joining},
			{DefaultDownAfter, silent(DefaultDownAfter), Down},
			{0, fails, Down},
			{0, fails, Down},
			{0, fails, Down},
		},
		"suspect over cold": {
			{0, poll, Joining}, {poll500, cold, Cold}, {DefaultLateAfter, silent(DefaultLateAfter), Suspect},
		},
		"withdrawn over leaving over down": {
			{0, poll, Joining},
			{DefaultDownAfter, silent(DefaultDownAfter), Down},
			{0, leaving, Leaving},
			{0, withdrawn, Withdrawn},
			{0, listed, Withdrawn},
			{0, restored, Down},
		},
		"reported leaving": {
			{0, poll, Joining}, {poll500, report(api.ReadinessLeaving), Leaving}, {poll500, good, Ready},
		},
		"unlisted": {
			{0, poll, Joining}, {poll500, good, Ready}, {0, unlisted, Down}, {0, listed, Ready},
		},
		"not polled": {
			{0, tick, Ready},
			{time.Hour, tick, Ready},
			{0, fails, Ready},
			{0, fails, Ready},
			{0, fails, Suspect},
			{DefaultForgetAfter - 1, tick, Suspect},
			{1, tick, Ready},
		},
		"polling ends while down": {
			{0, poll, Joining},
			{DefaultDownAfter, silent(DefaultDownAfter), Down},
			{0, stopPoll, Suspect},
			{DefaultForgetAfter, tick, Ready},
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

// Guards against a cold endpoint that gets work without the lease because it is
// also suspect.
func TestSuspectKeepsLease(t *testing.T) {
	m, now := New(Config{}), time.Unix(1000, 0)
	poll(m, now)
	cold(m, now)
	for range DefaultSuspectErrors {
		fails(m, now)
	}
	assert.Equal(t, m.State(), Suspect)
	assert.Assert(t, m.NeedsLease())
}
