package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/balance"
	"github.com/hornbeamproxy/hornbeamproxy/poison"
	"github.com/hornbeamproxy/hornbeamproxy/roster"
)

// When an endpoint exits, all connections to it break at the same moment, and it refuses new
// ones. A connection that breaks alone says nothing of the endpoint. This file tells the two
// apart with a new connection, and names the requests that were at an endpoint when it exited.

const (
	// exitCollectTime is the time between the first broken connection and the new one.
	// Requests whose connections break meanwhile belong to the same exit.
	exitCollectTime = 20 * time.Millisecond
	// exitMemory is the time for which a request whose connection breaks still belongs to
	// an exit that has been found.
	exitMemory = time.Second
	// maxExitRequests bounds the requests that are kept for one exit.
	maxExitRequests = 64
	// maxOtherChecks bounds the endpoints that are checked after the exit of one with a probe.
	maxOtherChecks = 8
)

// brokenRequest is a request whose connection broke while an endpoint worked on it.
type brokenRequest struct {
	id, route string
	parts     []uint64 // the ids of its prompt's shared parts
	probe     bool     // whether one of them is quarantined
	// answered is the time since the first event of the answer, negative if there was none.
	answered time.Duration
}

// exitCheck finds out whether an endpoint has exited.
type exitCheck struct {
	requests []brokenRequest
	cold     bool      // whether the endpoint was cold when the first connection broke
	exitedAt time.Time // zero while it is not known
}

// recordBroken records a request with a prompt whose connection broke, and starts a check of
// the endpoint unless one is under way.
func (x *exchange) recordBroken(state *balance.State) {
	if !x.route.CachesPrompts {
		return
	}
	request := brokenRequest{id: x.request.ID, route: x.route.Name, parts: x.request.SharedParts(), probe: x.probe, answered: -1}
	now := time.Now()
	if !x.answerBegan.IsZero() {
		request.answered = now.Sub(x.answerBegan)
	}
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	check, known := g.exitChecks[state.Endpoint]
	if !known {
		check = &exitCheck{cold: state.Endpoint.Cold(now)}
		g.exitChecks[state.Endpoint] = check
		go g.guard.Run("check of endpoint "+state.Endpoint.ID, func() { g.checkExit(state, check) })
	}
	if len(check.requests) < maxExitRequests {
		check.requests = append(check.requests, request)
	}
	if !check.exitedAt.IsZero() {
		g.recordExit(now, state.Endpoint, []brokenRequest{request})
	}
}

// checkExit opens a connection to an endpoint of which a connection has broken. If the
// endpoint refuses it, it has exited.
func (g *Gateway) checkExit(state *balance.State, check *exitCheck) {
	time.Sleep(exitCollectTime)
	pool := g.pool(state)
	conn, err := pool.Probe(context.Background())
	now := time.Now()
	if err == nil {
		pool.ReleaseUnused(conn, now)
	}
	g.mu.Lock()
	exited := errors.Is(err, syscall.ECONNREFUSED)
	if exited {
		check.exitedAt = now
		g.logExit(state.Endpoint, check)
		g.recordExit(now, state.Endpoint, check.requests)
	}
	g.mu.Unlock()
	if exited {
		time.Sleep(poison.IsolationTime)
		g.checkOthers(state.Endpoint, check)
		time.Sleep(exitMemory - poison.IsolationTime)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.exitChecks, state.Endpoint)
}

// checkOthers finds out whether other endpoints of the service exited at about the same time, if a
// probe of a quarantined part was at the one that exited. Without requests there, nothing else shows it.
func (g *Gateway) checkOthers(exited *roster.Endpoint, check *exitCheck) {
	g.mu.Lock()
	var others []*balance.State
	if slices.ContainsFunc(check.requests, func(r brokenRequest) bool { return r.probe }) {
		for _, e := range g.roster.Members(exited.Service) {
			state := g.balancer.State(e)
			since, unreachable := state.UnreachableSince()
			if e != exited && g.roster.Usable(e) && (!unreachable || check.exitedAt.Sub(since) < poison.IsolationTime) {
				others = append(others, state)
			}
		}
	}
	g.mu.Unlock()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, other := range others[:min(len(others), maxOtherChecks)] {
		go g.guard.Run("check of endpoint "+other.Endpoint.ID, func() { g.checkOther(other, check.exitedAt) })
	}
}

// checkOther records that an endpoint has exited, if it refuses a connection.
func (g *Gateway) checkOther(state *balance.State, at time.Time) {
	pool := g.pool(state)
	conn, err := pool.Probe(context.Background())
	now := time.Now()
	if err == nil {
		pool.ReleaseUnused(conn, now)
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.poison.RecordOtherExit(now, at, xxhash.Sum64String(state.Endpoint.Service), state.Endpoint.Start())
	g.logger.Warn("endpoint exited beside a probe", zap.String("endpoint", state.Endpoint.ID), zap.String("service", state.Endpoint.Service))
}

// logExit logs the exit of an endpoint with the requests that were there. Callers hold g.mu.
func (g *Gateway) logExit(endpoint *roster.Endpoint, check *exitCheck) {
	g.metrics.Counter("endpoints.exited").Inc(1)
	requests := make([]string, 0, len(check.requests))
	for _, request := range check.requests {
		requests = append(requests, request.String())
	}
	g.logger.Warn("endpoint exited with requests in flight", zap.String("endpoint", endpoint.ID), zap.String("service", endpoint.Service),
		zap.Bool("cold", check.cold), zap.Int("in_flight", len(check.requests)), zap.Strings("requests", requests))
}

// String returns the request's id, its route, the milliseconds since its answer began (or "no
// answer") and its shared parts.
func (r brokenRequest) String() string {
	var text strings.Builder
	text.WriteString(r.id + " " + r.route)
	if r.answered < 0 {
		text.WriteString(" no answer")
	} else {
		text.WriteString(" answered " + strconv.FormatInt(r.answered.Milliseconds(), 10) + " ms")
	}
	for _, part := range r.parts {
		text.WriteString(" " + strconv.FormatUint(part, 16))
	}
	return text.String()
}
