package endpointstate

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// Config holds the settings of a Machine. Zero fields take the documented default.
type Config struct {
	// SuspectAfter is the time without a good report after which an endpoint is
	// suspect. Default 2 s, which is four polls at the default interval.
	SuspectAfter time.Duration
	// DownAfter is the time without a good report after which an endpoint is
	// down. Default 6 s.
	DownAfter time.Duration
	// DownFailures is the number of consecutive failures to read the load report
	// that make an endpoint down. Default 3.
	DownFailures int
	// SuspectErrors is the number of consecutive failed requests that make an
	// endpoint suspect. Default 3.
	SuspectErrors int
	// EndSuspicionAfter is the time without failed requests after which an endpoint
	// that this router does not poll is no longer suspect. Default 10 s.
	EndSuspicionAfter time.Duration
}

// Defaults of Config.
const (
	DefaultSuspectAfter      = 2 * time.Second
	DefaultDownAfter         = 6 * time.Second
	DefaultDownFailures      = 3
	DefaultSuspectErrors     = 3
	DefaultEndSuspicionAfter = 10 * time.Second
)

// goodReportsToRecover is the number of good reports for each step of a recovery:
// from down to cold, from that cold state to ready, and from suspect to the
// reported state.
const goodReportsToRecover = 3

func orDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// Machine is the state machine of one endpoint as one router sees it. It is not
// safe for concurrent use.
//
// It tracks three conditions independently: what operators and the platform have
// set (withdrawn, unlisted, leaving), health (healthy, suspect, down) and the
// reported readiness. The method State returns the worst of the three.
type Machine struct {
	config Config

	withdrawn bool
	unlisted  bool
	leaving   bool

	// polling is set if this router polls the endpoint's load reports. Otherwise
	// only the endpoint's admission owner evaluates its reports.
	polling   bool
	reported  bool
	readiness api.Readiness

	health              health
	goodReports         int
	failedReports       int
	lastGoodReport      time.Time
	lastCall            time.Time // last call of SetPolling, Report or Tick
	consecutiveErrors   int
	lastError           time.Time
	recoveryReportsLeft int // ready reports until an endpoint that was down is no longer taken as cold
}

type health int

const (
	healthy health = iota
	suspected
	down
)

// New returns the machine of an endpoint that is listed in release notes and not
// polled by this router.
func New(config Config) *Machine {
	orDefault(&config.SuspectAfter, DefaultSuspectAfter)
	orDefault(&config.DownAfter, DefaultDownAfter)
	orDefault(&config.DownFailures, DefaultDownFailures)
	orDefault(&config.SuspectErrors, DefaultSuspectErrors)
	orDefault(&config.EndSuspicionAfter, DefaultEndSuspicionAfter)
	return &Machine{config: config}
}

// State returns the worst state that applies.
func (m *Machine) State() State {
	state := m.reportedState()
	if m.polling && m.recoveryReportsLeft > 0 {
		state = Worst(state, Cold)
	}
	switch {
	case m.health == suspected:
		state = Worst(state, Suspect)
	case m.health == down, m.unlisted:
		state = Worst(state, Down)
	}
	if m.leaving || m.polling && m.readiness == api.ReadinessLeaving {
		state = Worst(state, Leaving)
	}
	if m.withdrawn {
		state = Worst(state, Withdrawn)
	}
	return state
}

func (m *Machine) reportedState() State {
	switch {
	case !m.polling:
		return Ready
	case !m.reported:
		return Joining
	case m.readiness == api.ReadinessCold:
		return Cold
	case m.readiness == api.ReadinessWarming:
		return Warming
	}
	return Ready
}

// NeedsLease reports whether the endpoint is cold or warming, also when a state
// that takes precedence, such as Suspect, hides that.
func (m *Machine) NeedsLease() bool {
	return m.polling && (m.recoveryReportsLeft > 0 || m.reportedState().NeedsLease())
}

// SetWithdrawn sets whether release notes have withdrawn the endpoint.
func (m *Machine) SetWithdrawn(withdrawn bool) {
	m.withdrawn = withdrawn
}

// SetInstance sets whether the platform lists the endpoint's instance, and
// whether the instance is leaving.
func (m *Machine) SetInstance(listed, leaving bool) {
	m.unlisted = !listed
	m.leaving = leaving
}

// SetPolling sets whether this router polls the endpoint's load reports. When
// polling starts, no report counts as received yet, and the endpoint has the time
// Config.DownAfter to deliver the first one.
func (m *Machine) SetPolling(now time.Time, polling bool) {
	if m.polling == polling {
		return
	}
	m.polling = polling
	m.reported = false
	m.readiness = ""
	m.recoveryReportsLeft = 0
	m.goodReports = 0
	m.failedReports = 0
	m.lastGoodReport = now
	m.lastCall = now
	if m.health == down {
		m.markSuspect()
		m.lastError = now
	}
}

// Report applies the readiness of a load report that arrived in time.
func (m *Machine) Report(now time.Time, readiness api.Readiness) {
	if !m.polling {
		return
	}
	m.lastCall = now
	m.lastGoodReport = now
	m.failedReports = 0
	m.reported = true
	m.readiness = readiness
	switch m.health {
	case down:
		m.recoverFromDown()
	case suspected:
		m.recoverFromSuspect()
	case healthy:
		m.countRecoveryReport()
	}
}

func (m *Machine) recoverFromDown() {
	m.goodReports++
	if m.goodReports >= goodReportsToRecover {
		m.health = healthy
		m.consecutiveErrors = 0
		m.recoveryReportsLeft = goodReportsToRecover
	}
}

func (m *Machine) recoverFromSuspect() {
	m.goodReports++
	if m.goodReports >= goodReportsToRecover {
		m.health = healthy
		m.consecutiveErrors = 0
	}
}

func (m *Machine) countRecoveryReport() {
	if m.recoveryReportsLeft > 0 && m.readiness == api.ReadinessReady {
		m.recoveryReportsLeft--
	}
}

// ReportFailed records that a load report could not be read. A process that has ended
// refuses connections at once. A few consecutive failures are therefore stronger evidence
// that the endpoint is down than the same time without a report.
func (m *Machine) ReportFailed(now time.Time) {
	m.goodReports = 0
	m.failedReports++
	m.Tick(now)
	if m.polling && m.failedReports >= m.config.DownFailures {
		m.health = down
	}
}

// RequestFailed records that the endpoint failed a request.
func (m *Machine) RequestFailed(now time.Time) {
	m.consecutiveErrors++
	m.lastError = now
	if m.consecutiveErrors >= m.config.SuspectErrors {
		m.markSuspect()
	}
}

// RequestSucceeded records that the endpoint answered a request. A suspect
// endpoint recovers only by its reports, because answers to earlier requests do
// not show that it accepts new ones.
func (m *Machine) RequestSucceeded() {
	m.consecutiveErrors = 0
}

// markSuspect makes the endpoint suspect, unless it is polled and down. For an endpoint
// that is suspect already, the count of good reports starts again at 0.
func (m *Machine) markSuspect() {
	if m.health == down && m.polling {
		return
	}
	m.health = suspected
	m.goodReports = 0
}

// maxCallGap is the longest time between two calls of SetPolling, Report or Tick in
// normal operation. A longer time means that the router itself was paused. It is twice
// the default poll interval.
const maxCallGap = time.Second

// Tick detects that reports are late, and ends the suspicion of an endpoint that is not
// polled. It must be called at least every half second. Time during which the router
// itself was paused does not count as time without a report.
func (m *Machine) Tick(now time.Time) {
	if !m.polling {
		if m.health != healthy && now.Sub(m.lastError) >= m.config.EndSuspicionAfter {
			m.health = healthy
			m.consecutiveErrors = 0
		}
		return
	}
	if gap := now.Sub(m.lastCall); gap > maxCallGap {
		m.lastGoodReport = m.lastGoodReport.Add(gap)
	}
	m.lastCall = now
	sinceGoodReport := now.Sub(m.lastGoodReport)
	switch {
	case sinceGoodReport >= m.config.DownAfter && m.health != down:
		m.health = down
		m.goodReports = 0
	case sinceGoodReport >= m.config.SuspectAfter && m.health == healthy && m.reported:
		m.markSuspect()
	}
}
