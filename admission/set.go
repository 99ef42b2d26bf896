package admission

import (
	"math/rand/v2"
	"sync"
)

// Set holds the gates of one router by endpoint id. It is safe for concurrent
// use. Each gate has its own mutex, and the set's mutex is not held during calls
// to a gate.
type Set struct {
	mu    sync.RWMutex
	gates map[string]*lockedGate
}

type lockedGate struct {
	mu     sync.Mutex
	gate   *Gate
	closed bool
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{gates: map[string]*lockedGate{}}
}

// Add creates the gate of an endpoint and reports whether it did; it does nothing
// if the endpoint has a gate. A zero nonce is replaced by a random one.
func (s *Set) Add(config Config) bool {
	for config.Nonce == 0 {
		config.Nonce = rand.Uint32()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.gates[config.Endpoint]; ok {
		return false
	}
	s.gates[config.Endpoint] = &lockedGate{gate: NewGate(config)}
	return true
}

// Remove closes and removes an endpoint's gate. It returns the refusals of the queued
// requests and the permits in use, or nil if there is no such gate.
func (s *Set) Remove(endpoint string) ([]Outcome, []HeldPermit) {
	s.mu.Lock()
	locked := s.gates[endpoint]
	delete(s.gates, endpoint)
	s.mu.Unlock()
	if locked == nil {
		return nil, nil
	}
	locked.mu.Lock()
	defer locked.mu.Unlock()
	locked.closed = true
	return locked.gate.Close(), locked.gate.HeldPermits()
}

// Do calls f with the endpoint's gate. It returns false if there is no such gate. f
// must not keep the gate, and must not call the set for the same endpoint, because the
// gate's mutex is held.
func (s *Set) Do(endpoint string, f func(*Gate)) bool {
	s.mu.RLock()
	locked := s.gates[endpoint]
	s.mu.RUnlock()
	return locked != nil && locked.do(f)
}

func (l *lockedGate) do(f func(*Gate)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	f(l.gate)
	return true
}

// Each calls f with each gate in turn, under the same conditions as Do.
func (s *Set) Each(f func(endpoint string, g *Gate)) {
	for _, endpoint := range s.Endpoints() {
		s.Do(endpoint, func(g *Gate) { f(endpoint, g) })
	}
}

// Endpoints returns the ids of the endpoints that have a gate.
func (s *Set) Endpoints() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	endpoints := make([]string, 0, len(s.gates))
	for endpoint := range s.gates {
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}
