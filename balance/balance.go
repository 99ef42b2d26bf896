// Package balance chooses the endpoint of a request among those that may get
// it. It does no I/O and reads no clock.
package balance

import (
	"math"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/placement"
	"github.com/hornbeamproxy/hornbeamproxy/quota"
	"github.com/hornbeamproxy/hornbeamproxy/roster"
)

const (
	// homeSlack bounds the load at which a prompt stays with the endpoint that holds
	// its parts: HomeLoad x the mean + homeSlack. That lies below what no endpoint
	// may exceed, the load factor x the mean + 3.
	homeSlack = 2
	// zoneBonus is the load that an endpoint of the router's own zone may have
	// above one of another zone, in requests.
	zoneBonus = 0.5
	// firstEjection and longestEjection bound the time for which an endpoint
	// that fails gets no work; it doubles with each failure in a row.
	firstEjection   = 500 * time.Millisecond
	longestEjection = 4 * time.Second
	// remoteAge is the age up to which the load that another router reported
	// counts: some datagrams of a large fleet.
	remoteAge = 3 * time.Second
)

// Refusal tells why no endpoint was chosen.
type Refusal int

// Reasons for which no endpoint is chosen.
const (
	None Refusal = iota
	// NoEndpoint says that the service has no endpoint that may get work.
	NoEndpoint
	// AllCold says that all endpoints are cold and have had their share.
	AllCold
	// AllEjected says that all endpoints have failed just now. The one that may be
	// back first is chosen instead.
	AllEjected
	// AllTried says that the request has been to all endpoints.
	AllTried
	// AllFull says that the router has as many requests at all endpoints as its
	// share of their connections allows.
	AllFull
)

// State is what a router knows of an endpoint's load and failures.
type State struct {
	Endpoint *roster.Endpoint
	// Local is the number of requests that this router has at the endpoint.
	Local int

	hash         placement.Endpoint
	zone         *zoneState
	joined       time.Time             // when this router first saw the endpoint
	remote       map[string]remoteLoad // by router
	sends        quota.Window
	sentAt       time.Time // of the newest request
	score        float64   // share of failed requests, the newest weigh most
	failures     int       // in a row, without connection or answer
	ejectedUntil time.Time
	// unverified endpoints could not be reached. They get no work until a new
	// connection to them has been opened; verifying says that one is being tried.
	unverified, verifying bool
}

type remoteLoad struct {
	requests int
	at       time.Time
}

// Balancer holds the states of all endpoints. It is not safe for concurrent use.
type Balancer struct {
	zone    string
	states  map[string]*State // by endpoint id
	holders holders
	zones   map[string]*zoneState
	// scratch is reused by Pick.
	scratch []candidate
}

type candidate struct {
	state *State
	load  float64
	score float64
}

// New returns a balancer of a router in the zone.
func New(zone string) *Balancer {
	return &Balancer{zone: zone, states: map[string]*State{}, holders: newHolders(), zones: map[string]*zoneState{}}
}

// Join enters an endpoint. Those that are there at the start have joined long
// ago: settled is true for them.
func (b *Balancer) Join(now time.Time, endpoint *roster.Endpoint, settled bool) {
	state := b.State(endpoint)
	if !settled && state.joined.IsZero() {
		state.joined = now
	}
}

// State returns the state of an endpoint, and creates it at first use or when
// the endpoint has started again.
func (b *Balancer) State(endpoint *roster.Endpoint) *State {
	state, ok := b.states[endpoint.ID]
	if !ok || state.Endpoint != endpoint {
		state = &State{
			Endpoint: endpoint,
			hash:     placement.NewEndpoint(endpoint.ID, endpoint.Zone, 1),
			zone:     b.zoneOf(endpoint.Zone),
			remote:   map[string]remoteLoad{},
		}
		b.states[endpoint.ID] = state
	}
	return state
}

// Forget drops the state of an endpoint that is gone.
func (b *Balancer) Forget(endpoint *roster.Endpoint) {
	if state, ok := b.states[endpoint.ID]; ok && state.Endpoint == endpoint {
		delete(b.states, endpoint.ID)
	}
}

// Ask describes a request that needs an endpoint.
type Ask struct {
	// Members are the endpoints of the service, and Usable tells which of them
	// may get work.
	Members []*roster.Endpoint
	Usable  func(*roster.Endpoint) bool
	// Key is the hash of the prompt's shared parts; 0 means that any endpoint
	// serves the request as well.
	Key uint64
	// Tried are endpoints that the request does not go to again.
	Tried []*roster.Endpoint
	// Repeatable says that the request may run again elsewhere if it fails.
	Repeatable bool
	// ColdShare returns the number of requests a second that this router may send
	// to a cold endpoint. Nil means that it is not limited.
	ColdShare func(*roster.Endpoint) int
	// MaxLocal is the number of requests, each on a connection of its own, that
	// this router may have at an endpoint; 0 means that it is not limited.
	MaxLocal int
	// HomeLoad bounds the load at which a prompt stays at its home, as a multiple
	// of the mean.
	HomeLoad float64
}

// Pick chooses an endpoint. One that has failed just now is chosen only if there
// is no other.
func (b *Balancer) Pick(now time.Time, ask Ask) (*State, Refusal) {
	b.scratch = b.scratch[:0]
	total, scores := 0.0, 0.0
	for _, endpoint := range ask.Members {
		if !ask.Usable(endpoint) {
			continue
		}
		state := b.State(endpoint)
		load := state.load(now)
		total += load
		scores += state.score
		b.scratch = append(b.scratch, candidate{state: state, load: load})
	}
	fallback, refusal := b.dropBlocked(now, ask, scores/float64(max(1, len(b.scratch))))
	switch {
	case len(b.scratch) == 0 && fallback != nil:
		return fallback, None
	case len(b.scratch) == 0:
		return nil, refusal
	case ask.Key != 0:
		return b.home(ask.Key, ask.HomeLoad*total/float64(len(b.scratch))+homeSlack), None
	}
	return b.least(), None
}

// dropBlocked leaves those candidates that may get the request. mean is the mean score
// of all. The results count when none is left: the ejected one that may be back first,
// or nil, and the reason.
func (b *Balancer) dropBlocked(now time.Time, ask Ask, mean float64) (fallback *State, refusal Refusal) {
	refusal = NoEndpoint
	kept := b.scratch[:0]
	for _, c := range b.scratch {
		reason := c.state.blocked(now, ask, mean)
		if reason == None {
			kept = append(kept, c)
			continue
		}
		refusal = max(refusal, reason)
		if reason == AllEjected && (fallback == nil || c.state.ejectedUntil.Before(fallback.ejectedUntil)) {
			fallback = c.state
		}
	}
	b.scratch = kept
	return fallback, refusal
}

func (s *State) blocked(now time.Time, ask Ask, mean float64) Refusal {
	for _, tried := range ask.Tried {
		if tried == s.Endpoint {
			return AllTried
		}
	}
	if ask.ColdShare != nil && s.Endpoint.Cold(now) && s.sends.Count(now) >= ask.ColdShare(s.Endpoint) {
		return AllCold
	}
	if ask.MaxLocal > 0 && s.Local >= ask.MaxLocal {
		return AllFull
	}
	if s.unverified || s.zone.doubted || now.Before(s.ejectedUntil) || s.grey(now, ask, mean) {
		return AllEjected
	}
	return None
}

// home returns the endpoint with the highest rendezvous score among those below
// the bound.
func (b *Balancer) home(key uint64, bound float64) *State {
	best := -1
	for i := range b.scratch {
		c := &b.scratch[i]
		c.score = placement.Score(key, &c.state.hash)
		if c.load+1 > bound {
			c.score -= 1 + c.load
		}
		if best < 0 || c.score > b.scratch[best].score {
			best = i
		}
	}
	return b.scratch[best].state
}

// least returns the endpoint with the least load for its slots, and prefers the
// router's own zone.
func (b *Balancer) least() *State {
	best, lowest := -1, math.Inf(1)
	for i := range b.scratch {
		c := &b.scratch[i]
		load := c.load
		if c.state.Endpoint.Zone != b.zone {
			load += zoneBonus
		}
		load /= float64(max(1, c.state.Endpoint.Slots))
		if load < lowest {
			best, lowest = i, load
		}
	}
	return b.scratch[best].state
}

// load returns the requests that all routers have at the endpoint.
func (s *State) load(now time.Time) float64 {
	load := s.Local
	for _, remote := range s.remote {
		if now.Sub(remote.at) < remoteAge {
			load += remote.requests
		}
	}
	return float64(load)
}

// Started counts a request that is sent to the endpoint.
func (s *State) Started(now time.Time) {
	s.Local++
	s.sentAt = now
	s.sends.Add(now)
}

// Ended counts a request that is no longer at the endpoint.
func (s *State) Ended() { s.Local-- }

// Succeeded says that the endpoint answered.
func (s *State) Succeeded() {
	s.failures = 0
	s.outcome(false)
}

// Failed says that the endpoint could not be reached or broke off. It reports
// whether the endpoint was ejected.
func (s *State) Failed(now time.Time) bool {
	s.outcome(true)
	if now.Before(s.ejectedUntil) {
		return false
	}
	s.failures++
	s.ejectedUntil = now.Add(min(firstEjection<<min(s.failures-1, 6), longestEjection))
	return true
}

// Failures returns the number of failures in a row.
func (s *State) Failures() int { return s.failures }

// Misdirected says that the endpoint is no longer at its address.
func (s *State) Misdirected(now time.Time) { s.ejectedUntil = now.Add(longestEjection) }

// SetRemote enters the load that another router reports for its own requests.
func (b *Balancer) SetRemote(now time.Time, router, endpointID string, requests int) {
	if state, ok := b.states[endpointID]; ok {
		state.remote[router] = remoteLoad{requests: requests, at: now}
	}
}

// Loads calls yield with the load that this router has at each endpoint.
func (b *Balancer) Loads(yield func(endpointID string, requests int)) {
	for id, state := range b.states {
		if state.Local > 0 {
			yield(id, state.Local)
		}
	}
}
