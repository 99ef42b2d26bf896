// Package balance selects the endpoint for a request among the eligible ones, by
// load, by failures, and by which endpoint holds the prompt in its cache. It does
// no I/O and reads no clock.
//
// The home of a prompt is the endpoint to which rendezvous hashing assigns the prompt's
// shared parts, so that their cached state is used again. Several states of an endpoint
// keep requests away from it for a while: it is cold (its caches are not filled yet),
// ejected (it failed recently), unverified (it could not be reached, and no connection to
// it has been opened since), in a doubted availability zone (one that may be unreachable
// as a whole), or grey (it accepts connections but fails many requests).
package balance

import (
	"maps"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/placement"
	"github.com/hornbeamproxy/hornbeamproxy/quota"
	"github.com/hornbeamproxy/hornbeamproxy/roster"
	"github.com/hornbeamproxy/hornbeamproxy/work"
)

const (
	// homeSlack is a number of requests. A prompt stays at its home up to a load of
	// HomeLoadFactor x the mean load + homeSlack.
	homeSlack = 2
	// The platform's limit for the load of every endpoint is LoadFactor x the mean load of
	// all endpoints of the service, usable or not, + loadLimitSlack. A prompt also leaves
	// its home at loadLimitFraction of this limit; the rest covers loads that are old.
	loadLimitSlack    = 3
	loadLimitFraction = 0.85
	// zoneSlack is the number of requests over the mean up to which a request without a
	// prompt stays in the router's own availability zone. It is above the variation of
	// loads that are old, so that routers do not all leave for the same endpoint.
	zoneSlack = 2
	// baseEjectionTime is how long an endpoint is ejected after its first failure. The
	// time doubles with each consecutive failure, up to maxEjectionTime.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 4 * time.Second
	// allOthers is the router id that stands for all other routers in a report.
	allOthers = "*"
	// remoteLoadTTL is the age at which a load reported by another router expires.
	// It spans several report intervals of a large fleet, so that a few lost
	// datagrams don't hide the load.
	remoteLoadTTL = 3 * time.Second
)

// Refusal is the reason why no endpoint was chosen. When the candidates are
// excluded for different reasons, the highest value is reported.
type Refusal int

// Reasons why no endpoint is chosen.
const (
	None Refusal = iota
	// NoEndpoint means that the service has no usable endpoint.
	NoEndpoint
	// AllPaused means that all endpoints have asked this router for a pause.
	AllPaused
	// AllCold means that all endpoints are cold and the router has used up its
	// share of the requests per second that each of them may get.
	AllCold
	// AllAvoided means that all endpoints are kept out because they failed or could not
	// be reached: each is ejected, unverified, grey, or in an availability zone that may
	// be unreachable as a whole (see the package comment). Pick returns it only with
	// Criteria.NoFallback; otherwise it chooses the endpoint whose ejection ends first.
	AllAvoided
	// AllTried means that the request has already been sent to all endpoints.
	AllTried
	// AllFull means that the router has used up its share of the connections of every
	// endpoint.
	AllFull
)

// State is what a router knows of an endpoint's load and failures.
type State struct {
	Endpoint *roster.Endpoint
	// LocalRequests is the number of requests that this router has in flight at the
	// endpoint.
	LocalRequests int

	work         *work.Endpoint     // nil until it is used
	hash         placement.Endpoint // to compute rendezvous scores
	zone         *zoneState
	joined       time.Time             // when the endpoint registered; zero if before this router started
	remoteLoads  map[string]remoteLoad // by router
	recentSends  quota.Window
	lastSentAt   time.Time // when the newest request was sent
	failureRate  float64   // moving average of the fraction of failed requests, 0 to 1
	failures     int       // consecutive failures to connect or to get a whole response
	ejectedUntil time.Time
	pausedUntil  time.Time // until when the endpoint wants nothing from this router
	// pauseAskedAt and pauseLength are those of the newest pause, and pauses is the number of
	// pauses since a request was last accepted, at acceptedAt.
	pauseAskedAt, acceptedAt time.Time
	pauseLength              time.Duration
	pauses                   int
	// unverified is set from the time at which the endpoint could not be reached until
	// a new connection to it has been opened; the endpoint gets no work meanwhile.
	// probing is set while such a connection is being opened.
	unverified, probing bool
	// unreachableSince is when unverified was set.
	unreachableSince time.Time
}

type remoteLoad struct {
	requests int
	at       time.Time
}

// Balancer holds the states of all endpoints. It is not safe for concurrent use.
type Balancer struct {
	zone    string
	states  map[string]*State // by endpoint id
	holders holderIndex
	loadsAt time.Time // of the newest report of loads of other routers
	// loadsInterval is the time between the last two reports of all other routers, at most
	// remoteLoadTTL.
	loadsInterval time.Duration
	zones         map[string]*zoneState
	// localPrompts are the numbers of requests that this router has in flight, by
	// PromptID. remotePrompts are those of others, by router.
	localPrompts  map[uint32]int
	remotePrompts map[string]promptLoads
	// scratch holds the candidates of one Pick, to reuse the memory, and pauses the tally of its
	// endpoints.
	scratch []candidate
	pauses  pauseTally
}

type candidate struct {
	state *State
	load  float64
	score float64
}

// New returns a balancer for a router in the given availability zone.
func New(zone string) *Balancer {
	return &Balancer{
		zone: zone, states: map[string]*State{}, holders: newHolderIndex(), zones: map[string]*zoneState{},
		localPrompts: map[uint32]int{}, remotePrompts: map[string]promptLoads{},
	}
}

// Join adds an endpoint. settled is true for endpoints that were registered before
// the router started: they are expected to hold prompts in their caches already.
func (b *Balancer) Join(now time.Time, endpoint *roster.Endpoint, settled bool) {
	state := b.State(endpoint)
	if !settled && state.joined.IsZero() {
		state.joined = now
	}
}

// State returns the state of an endpoint. It is created at first use, and anew
// after the endpoint has restarted.
func (b *Balancer) State(endpoint *roster.Endpoint) *State {
	state, ok := b.states[endpoint.ID]
	if !ok || state.Endpoint != endpoint {
		state = &State{
			Endpoint:    endpoint,
			hash:        placement.NewEndpoint(endpoint.ID, endpoint.Zone, 1),
			zone:        b.zoneOf(endpoint.Zone),
			remoteLoads: map[string]remoteLoad{},
		}
		b.states[endpoint.ID] = state
	}
	return state
}

// Forget drops the state of an endpoint that has been removed.
func (b *Balancer) Forget(endpoint *roster.Endpoint) {
	if state, ok := b.states[endpoint.ID]; ok && state.Endpoint == endpoint {
		delete(b.states, endpoint.ID)
	}
}

// Criteria describes a request that needs an endpoint.
type Criteria struct {
	// Members are the endpoints of the service. Usable reports whether an endpoint may
	// get new work.
	Members []*roster.Endpoint
	Usable  func(*roster.Endpoint) bool
	// Key identifies the prompt's shared parts. With 0 the request has no home; it
	// stays in the router's availability zone if an endpoint there is not overloaded.
	Key uint64
	// Draw is a hash of the request, which decides between endpoints that are equally
	// suitable, so that requests are divided between them.
	Draw uint64
	// Tried are the endpoints to which the request has been sent already; they are
	// excluded.
	Tried []*roster.Endpoint
	// Repeatable means that the request may run again at another endpoint if it
	// fails.
	Repeatable bool
	// ColdRateLimit returns the number of requests a second that this router may send
	// to a cold endpoint. Nil means no limit.
	ColdRateLimit func(*roster.Endpoint) int
	// MaxLocal is the number of requests, each on a connection of its own, that
	// this router may have in flight at an endpoint; 0 means no limit.
	MaxLocal int
	// HomeLoadFactor sets the load up to which a prompt stays at its home: HomeLoadFactor
	// x the mean load + homeSlack. The mean load is the total load of the usable
	// endpoints divided by the number of endpoints that may get this request.
	HomeLoadFactor float64
	// LoadFactor sets the limit for the load of every endpoint (see loadLimitSlack); 0 means
	// no limit.
	LoadFactor float64
	// NoFallback refuses the request with AllAvoided instead of choosing an endpoint that is kept out
	// because of failures.
	NoFallback bool
	// Work places the request by expected work and speed. With nil it is placed by the
	// number of requests of each endpoint.
	Work *ByWork
}

// Pick chooses an endpoint. An ejected endpoint is chosen only if no other is left.
// The state is nil if and only if the refusal is not None.
func (b *Balancer) Pick(now time.Time, criteria Criteria) (*State, Refusal) {
	if criteria.Work != nil {
		criteria.Work.prepare()
	}
	loads := b.collect(now, criteria)
	fallback, refusal := b.filterCandidates(now, criteria, loads.failureRate)
	switch {
	case len(b.scratch) == 0 && fallback != nil && !criteria.NoFallback:
		if criteria.Work != nil {
			criteria.Work.ChooseFor(now, fallback)
		}
		return fallback, None
	case len(b.scratch) == 0:
		return nil, refusal
	case criteria.Key != 0:
		return b.pickHome(now, criteria, loads.total, loads.homeBound(criteria, len(b.scratch))), None
	}
	return b.pickInZone(now, criteria), None
}

// serviceLoads are sums over the members of a service.
type serviceLoads struct {
	total, unusable float64 // requests at the usable endpoints and at the others
	failureRate     float64 // mean of the usable endpoints
}

// collect sets scratch to the usable members and pauses to their tally.
func (b *Balancer) collect(now time.Time, criteria Criteria) serviceLoads {
	b.scratch, b.pauses = b.scratch[:0], pauseTally{}
	var loads serviceLoads
	for _, endpoint := range criteria.Members {
		state := b.State(endpoint)
		load := state.load(now)
		if !criteria.Usable(endpoint) {
			loads.unusable += load
			continue
		}
		loads.total += load
		b.pauses.add(now, state)
		loads.failureRate += state.failureRate
		b.scratch = append(b.scratch, candidate{state: state, load: load})
	}
	loads.failureRate /= float64(max(1, len(b.scratch)))
	return loads
}

// homeBound returns the load up to which a prompt stays at its home. candidates is the number of
// endpoints that may get the request.
func (l *serviceLoads) homeBound(criteria Criteria, candidates int) float64 {
	bound := criteria.HomeLoadFactor*l.total/float64(candidates) + homeSlack
	if criteria.LoadFactor > 0 {
		mean := (l.total + l.unusable) / float64(len(criteria.Members))
		bound = min(bound, loadLimitFraction*(criteria.LoadFactor*mean+loadLimitSlack))
	}
	return bound
}

// filterCandidates removes the candidates that may not get the request. mean is the mean
// failure rate of all candidates. The results are used only if no candidate is left.
// refusal is then the reason. fallback is then the endpoint whose ejection ends first
// among those excluded as AllAvoided, or nil if there are none.
func (b *Balancer) filterCandidates(now time.Time, criteria Criteria, mean float64) (fallback *State, refusal Refusal) {
	refusal = NoEndpoint
	kept := b.scratch[:0]
	for _, c := range b.scratch {
		reason := c.state.exclusionReason(now, criteria, mean)
		if reason == None {
			kept = append(kept, c)
			continue
		}
		refusal = max(refusal, reason)
		if reason == AllAvoided && (fallback == nil || c.state.ejectedUntil.Before(fallback.ejectedUntil)) {
			fallback = c.state
		}
	}
	b.scratch = kept
	return fallback, refusal
}

// exclusionReason returns why the endpoint may not get the request, or None.
func (s *State) exclusionReason(now time.Time, criteria Criteria, mean float64) Refusal {
	if s.paused(now) {
		return AllPaused
	}
	for _, tried := range criteria.Tried {
		if tried == s.Endpoint {
			return AllTried
		}
	}
	if criteria.ColdRateLimit != nil && s.Endpoint.Cold(now) && s.recentSends.Count(now) >= criteria.ColdRateLimit(s.Endpoint) {
		return AllCold
	}
	if criteria.MaxLocal > 0 && s.LocalRequests >= criteria.MaxLocal {
		return AllFull
	}
	if s.avoidance(now, criteria, mean) != "" {
		return AllAvoided
	}
	return None
}

// avoidance returns why an endpoint excluded as AllAvoided is, or an empty string.
func (s *State) avoidance(now time.Time, criteria Criteria, mean float64) string {
	switch {
	case s.unverified:
		return ExcludedUnverified
	case s.zone.doubted:
		return ExcludedZoneDoubted
	case now.Before(s.ejectedUntil):
		return ExcludedEjected
	case s.heldBack(now, criteria, mean):
		return ExcludedGrey
	}
	return ""
}

// pickInZone chooses among the candidates for a request without a prompt. It leaves out those
// that have more than the mean load for their slots + zoneSlack, and draws among the others in
// the router's own availability zone, or among all others if there are none.
func (b *Balancer) pickInZone(now time.Time, criteria Criteria) *State {
	inBound := withinZoneBound(b.scratch)
	inBound = b.preferProven(now, inBound)
	own := 0 // number of candidates of the own zone, which are moved to the front
	for i := range inBound {
		if inBound[i].state.Endpoint.Zone == b.zone {
			inBound[own], inBound[i] = inBound[i], inBound[own]
			own++
		}
	}
	if criteria.Work != nil {
		return b.pickInZoneByWork(now, criteria, inBound, own)
	}
	if own > 0 {
		inBound = inBound[:own]
	}
	return drawLessLoaded(inBound, criteria.Draw)
}

// withinZoneBound returns the candidates that have at most the mean load for their slots + zoneSlack.
// It reuses the memory of its argument.
func withinZoneBound(candidates []candidate) []candidate {
	total, slots := 0.0, 0.0
	for i := range candidates {
		total += candidates[i].load
		slots += candidates[i].slots()
	}
	inBound := candidates[:0]
	for _, c := range candidates {
		if c.load <= total/slots*c.slots()+zoneSlack {
			inBound = append(inBound, c)
		}
	}
	return inBound
}

// load returns the number of requests that all routers have in flight at the endpoint,
// as far as they have reported them.
func (s *State) load(now time.Time) float64 {
	if all, ok := s.remoteLoads[allOthers]; ok && now.Sub(all.at) < remoteLoadTTL {
		return float64(s.LocalRequests + all.requests)
	}
	load := s.LocalRequests
	for _, remote := range s.remoteLoads {
		if now.Sub(remote.at) < remoteLoadTTL {
			load += remote.requests
		}
	}
	return float64(load)
}

// RecordStart records that a request is sent to the endpoint.
func (s *State) RecordStart(now time.Time) {
	s.LocalRequests++
	s.lastSentAt = now
	s.recentSends.Add(now)
}

// RecordEnd records that a request is no longer in flight at the endpoint.
func (s *State) RecordEnd() { s.LocalRequests-- }

// RecordSuccess records a successful request. It ends the run of consecutive failures.
func (s *State) RecordSuccess() {
	s.failures = 0
	s.recordOutcome(false)
}

// RecordFailure records that the endpoint could not be reached or that its response was
// cut off. It ejects the endpoint and returns true, or returns false if the endpoint is
// ejected already.
func (s *State) RecordFailure(now time.Time) bool {
	s.recordOutcome(true)
	if now.Before(s.ejectedUntil) {
		return false
	}
	s.failures++
	s.ejectedUntil = now.Add(min(baseEjectionTime<<min(s.failures-1, 6), maxEjectionTime))
	return true
}

// Failures returns the number of consecutive failures.
func (s *State) Failures() int { return s.failures }

// MarkMisdirected ejects the endpoint for the longest time because another endpoint
// answered at its address.
func (s *State) MarkMisdirected(now time.Time) { s.ejectedUntil = now.Add(maxEjectionTime) }

// SetRemoteLoad records the number of requests that another router reports to have in
// flight at an endpoint. Unknown endpoints are ignored.
func (b *Balancer) SetRemoteLoad(now time.Time, router, endpointID string, requests int) {
	if state, ok := b.states[endpointID]; ok {
		state.remoteLoads[router] = remoteLoad{requests: requests, at: now}
		b.loadsAt = now
	}
}

// SetFleetLoads records the numbers of requests that all other routers together have in
// flight, at each endpoint and with each prompt (by PromptID). They replace the reports of
// single routers until they expire.
func (b *Balancer) SetFleetLoads(now time.Time, atEndpoint func(endpointID string) int, prompts map[uint32]int) {
	if !b.loadsAt.IsZero() {
		b.loadsInterval = min(now.Sub(b.loadsAt), remoteLoadTTL)
	}
	b.loadsAt = now
	for id, state := range b.states {
		state.remoteLoads[allOthers] = remoteLoad{requests: atEndpoint(id), at: now}
	}
	b.SetRemotePrompts(now, allOthers, prompts)
}

// LocalPrompts returns the numbers of requests that this router has in flight, by PromptID.
func (b *Balancer) LocalPrompts() map[uint32]int { return maps.Clone(b.localPrompts) }

// Loads calls yield for each endpoint at which this router has requests in flight, with
// their number.
func (b *Balancer) Loads(yield func(endpointID string, requests int)) {
	for id, state := range b.states {
		if state.LocalRequests > 0 {
			yield(id, state.LocalRequests)
		}
	}
}
