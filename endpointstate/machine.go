package endpointstate

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// Config holds the settings of a Machine. Zero fields get the default given.
type Config struct {
	// LateAfter is the time without a good report after which an endpoint is
	// suspect. Default 2 s, four polls.
	LateAfter time.Duration
	// DownAfter is the time without a good report after which it is down.
	// Default 6 s.
	DownAfter time.Duration
	// DownFailures is the number of consecutive failed reads of the report after
	// which it is down. Default 3.
	DownFailures int
	// SuspectErrors is the number of consecutive failed requests that make an
	// endpoint suspect. Default 3.
	SuspectErrors int
	// ForgetAfter is the time without failed requests after which a router that
	// does not poll the endpoint no longer suspects it. Default 10 s.
	ForgetAfter time.Duration
}

// Defaults of Config.
const (
	DefaultLateAfter     = 2 * time.Second
	DefaultDownAfter     = 6 * time.Second
	DefaultDownFailures  = 3
	DefaultSuspectErrors = 3
	DefaultForgetAfter   = 10 * time.Second
)

// goodReportsToRecover is the evidence for each step of a recovery: down to
// cold, that cold to ready, and suspect to what is reported.
const goodReportsToRecover = 3

func orDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// Machine is the state machine of one endpoint as one router sees it. It is not
// safe for concurrent use.
//
// It follows three conditions on their own: what operators and the platform say,
// health (healthy, suspect, down) and warmth as reported. State is the worst of
// them.
type Machine struct {
	config Config

	withdrawn bool
	unlisted  bool
	leaving   bool

	// polling says that this router asks for load reports. Without it, the
	// endpoint's admission owner judges its reports.
	polling   bool
	reported  bool
	readiness api.Readiness

	health       health
	goodReports  int
	badReports   int
	lastGood     time.Time
	lastCall     time.Time
	errors       int
	lastError    time.Time
	recoveryLeft int
}

type health int

const (
	healthy health = iota
	suspected
	failed
)

// New returns the machine of an endpoint that release notes name and that this
// router does not poll.
func New(config Config) *Machine {
	orDefault(&config.LateAfter, DefaultLateAfter)
	orDefault(&config.DownAfter, DefaultDownAfter)
	orDefault(&config.DownFailures, DefaultDownFailures)
	orDefault(&config.SuspectErrors, DefaultSuspectErrors)
	orDefault(&config.ForgetAfter, DefaultForgetAfter)
	return &Machine{config: config}
}

// State returns the worst state that applies.
func (m *Machine) State() State {
	state := m.reportedState()
	if m.polling && m.recoveryLeft > 0 {
		state = Worst(state, Cold)
	}
	switch {
	case m.health == suspected:
		state = Worst(state, Suspect)
	case m.health == failed, m.unlisted:
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

// NeedsLease says whether the endpoint is cold or warming. It is also true when
// a state that takes precedence, such as Suspect, hides that.
func (m *Machine) NeedsLease() bool {
	return m.polling && (m.recoveryLeft > 0 || m.reportedState().NeedsLease())
}

// SetWithdrawn says whether release notes have withdrawn the endpoint.
func (m *Machine) SetWithdrawn(withdrawn bool) {
	m.withdrawn = withdrawn
}

// SetInstance takes the platform's entry of the endpoint's instance.
func (m *Machine) SetInstance(listed, leaving bool) {
	m.unlisted = !listed
	m.leaving = leaving
}

// SetPolling says whether this router asks the endpoint for load reports. A
// router that starts to do so has no report yet and gives the endpoint the usual
// time for its first.
func (m *Machine) SetPolling(now time.Time, polling bool) {
	if m.polling == polling {
		return
	}
	m.polling = polling
	m.reported = false
	m.readiness = ""
	m.recoveryLeft = 0
	m.goodReports = 0
	m.badReports = 0
	m.lastGood = now
	m.lastCall = now
	if m.health == failed {
		m.suspect()
		m.lastError = now
	}
}

// Report takes a load report that came in time.
func (m *Machine) Report(now time.Time, readiness api.Readiness) {
	if !m.polling {
		return
	}
	m.lastCall = now
	m.lastGood = now
	m.badReports = 0
	m.reported = true
	m.readiness = readiness
	switch m.health {
	case failed:
		m.recoverFromDown()
	case suspected:
		m.recoverFromSuspect()
	case healthy:
		m.warmAfterDown()
	}
}

func (m *Machine) recoverFromDown() {
	m.goodReports++
	if m.goodReports >= goodReportsToRecover {
		m.health = healthy
		m.errors = 0
		m.recoveryLeft = goodReportsToRecover
	}
}

func (m *Machine) recoverFromSuspect() {
	m.goodReports++
	if m.goodReports >= goodReportsToRecover {
		m.health = healthy
		m.errors = 0
	}
}

func (m *Machine) warmAfterDown() {
	if m.recoveryLeft > 0 && m.readiness == api.ReadinessReady {
		m.recoveryLeft--
	}
}

// ReportFailed says that a load report could not be had. A process that has
// ended refuses connections at once, so a few failures in a row tell more than
// the same time without a report.
func (m *Machine) ReportFailed(now time.Time) {
	m.goodReports = 0
	m.badReports++
	m.Tick(now)
	if m.polling && m.badReports >= m.config.DownFailures {
		m.health = failed
	}
}

// RequestFailed says that the endpoint failed a request.
func (m *Machine) RequestFailed(now time.Time) {
	m.errors++
	m.lastError = now
	if m.errors >= m.config.SuspectErrors {
		m.suspect()
	}
}

// RequestSucceeded says that the endpoint answered a request. A suspect endpoint
// recovers by its reports, as answers to old work do not show that new work is
// accepted.
func (m *Machine) RequestSucceeded() {
	m.errors = 0
}

// suspect is also called for an endpoint that is suspect already, whose good
// reports then count from the start.
func (m *Machine) suspect() {
	if m.health == failed && m.polling {
		return
	}
	m.health = suspected
	m.goodReports = 0
}

// maxCallGap is the time between calls from which the router was paused itself.
// It is twice the default time between polls.
const maxCallGap = time.Second

// Tick finds late reports. It is called at least every half second; time in
// which the router was paused does not count as silence of the endpoint.
func (m *Machine) Tick(now time.Time) {
	if !m.polling {
		if m.health != healthy && now.Sub(m.lastError) >= m.config.ForgetAfter {
			m.health = healthy
			m.errors = 0
		}
		return
	}
	if gap := now.Sub(m.lastCall); gap > maxCallGap {
		m.lastGood = m.lastGood.Add(gap)
	}
	m.lastCall = now
	silent := now.Sub(m.lastGood)
	switch {
	case silent >= m.config.DownAfter && m.health != failed:
		m.health = failed
		m.goodReports = 0
	case silent >= m.config.LateAfter && m.health == healthy && m.reported:
		m.suspect()
	}
}
