package gateway

import (
	"slices"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/balance"
	"github.com/hornbeamproxy/hornbeamproxy/rollout"
	"github.com/hornbeamproxy/hornbeamproxy/roster"
)

// This file keeps requests away from versions of a service that may not serve them during a staged
// roll-out, and counts the answers of both versions. Package rollout decides.

// lateDeadlineFactor is how many times its goal an answer must have had before the lack of it
// counts against the version.
const lateDeadlineFactor = 2

// serviceVersions is what is known of the versions of a service that has or had a roll-out.
type serviceVersions struct {
	limiter *rollout.Limiter
	counter *rollout.Counter // of the roll-out in force; nil if there is none
	// earlier are the numbers of attempts in flight that counter has counted as sent although they
	// began before it: the old endpoints stop at the end of the roll-out, whatever still runs there.
	earlier map[*balance.State]int
}

// isTarget reports whether the endpoint runs the target version of the roll-out in force.
func (v *serviceVersions) isTarget(e *roster.Endpoint) bool {
	return v.limiter.Class(e.Version) == rollout.Target
}

// answerClass says what an attempt shows of the version of its endpoint.
type answerClass int

const (
	answerByCause      answerClass = iota // what the cause of its end shows
	answerShowsNothing                    // the attempt did not run
	answerWrong                           // the bytes are not an answer to the request
)

// versionAttempt is one attempt as the roll-out of its service sees it. The zero value is an
// attempt at a service without a roll-out.
type versionAttempt struct {
	counter   *rollout.Counter
	target    bool
	cold      bool
	class     answerClass
	began     time.Time
	lastEvent time.Time // when the last event was forwarded
	longGap   bool
}

// recordEvent records when an event of a stream has arrived. The time that the caller took to read
// the one before it does not count.
func (v *versionAttempt) recordEvent(now time.Time, goal time.Duration) {
	if goal > 0 && !v.lastEvent.IsZero() && now.Sub(v.lastEvent) > goal {
		v.longGap = true
	}
	v.lastEvent = now
}

// pickVersion chooses an endpoint as balance.Pick does, among the versions that may serve the
// request. barred is set if only versions that were rolled back could serve it. criteria.Usable
// is left as it was for the last choice. Callers hold g.mu.
func (x *exchange) pickVersion(now time.Time, criteria *balance.Criteria) (state *balance.State, refusal balance.Refusal, barred bool) {
	x.version = versionAttempt{}
	v := x.g.versions[x.service]
	if v == nil {
		state, refusal = x.g.balancer.Pick(now, *criteria)
		return state, refusal, false
	}
	if v.limiter.Stale(now) {
		x.g.metrics.Counter("rollouts.stale_share").Inc(1)
	}
	state, refusal, barred = v.choose(now, criteria, len(x.tried) > 0, x.g.balancer.Pick)
	if state != nil && v.counter != nil {
		x.startVersionAttempt(now, v, state)
	}
	return state, refusal, barred
}

// pickFunc chooses an endpoint as balance.Pick does.
type pickFunc func(now time.Time, criteria balance.Criteria) (*balance.State, balance.Refusal)

// choose chooses an endpoint among the versions that may serve an attempt, see pickVersion. repeated
// is set for a retry or the resumption of a stream.
func (v *serviceVersions) choose(now time.Time, criteria *balance.Criteria, repeated bool, choose pickFunc) (state *balance.State, refusal balance.Refusal, barred bool) {
	usable := criteria.Usable
	pick := func(admits func(*roster.Endpoint) bool) {
		criteria.Usable = func(e *roster.Endpoint) bool { return usable(e) && admits(e) }
		state, refusal = choose(now, *criteria)
	}
	admitted := func(choice rollout.Choice) func(*roster.Endpoint) bool {
		return func(e *roster.Endpoint) bool { return choice.Admits(v.limiter.Class(e.Version)) }
	}
	choice := v.limiter.Allow(now, v.request(criteria, repeated))
	switch choice {
	case rollout.Refuse:
		return nil, balance.NoEndpoint, true
	case rollout.TargetFirst:
		// Other target endpoints come before a named one that has just failed.
		criteria.NoFallback = true
		pick(v.focus(now, choice, criteria))
		criteria.NoFallback = false
		for _, next := range []rollout.Choice{rollout.TargetOnly, rollout.OldOnly} {
			if state == nil {
				pick(admitted(next))
			}
		}
		v.limiter.RecordSent(state != nil && v.isTarget(state.Endpoint))
	default:
		pick(admitted(choice))
	}
	return state, refusal, false
}

// focus returns which of the target endpoints the limiter names for an attempt.
func (v *serviceVersions) focus(now time.Time, choice rollout.Choice, criteria *balance.Criteria) func(*roster.Endpoint) bool {
	var ids []string
	for _, e := range criteria.Members {
		if criteria.Usable(e) && v.isTarget(e) {
			ids = append(ids, e.ID)
		}
	}
	focused := v.limiter.Focus(now, choice, ids)
	return func(e *roster.Endpoint) bool { return v.isTarget(e) && slices.Contains(focused, e.ID) }
}

// request returns what the limiter has to know of an attempt. Callers hold g.mu.
func (v *serviceVersions) request(criteria *balance.Criteria, repeated bool) rollout.Request {
	request := rollout.Request{Repeated: repeated}
	for _, e := range criteria.Members {
		if criteria.Usable(e) {
			request.AddServing(v.limiter.Class(e.Version))
		}
	}
	return request
}

// startVersionAttempt counts an attempt that is sent to an endpoint. Callers hold g.mu.
func (x *exchange) startVersionAttempt(now time.Time, v *serviceVersions, state *balance.State) {
	x.version = versionAttempt{
		counter: v.counter, target: v.isTarget(state.Endpoint), cold: state.Endpoint.Cold(now), began: now,
	}
	x.version.counter.RecordSent(x.version.target)
	if x.version.target {
		x.g.metrics.Counter("rollouts.target_requests").Inc(1)
		return
	}
	x.g.metrics.Counter("rollouts.old_requests").Inc(1)
}

// recordVersionEnd counts the answer of an attempt that ends for the given cause. Callers hold g.mu.
func (x *exchange) recordVersionEnd(now time.Time, state *balance.State, why cause) {
	v := &x.version
	x.g.recordEarlierEnd(x.service, state, v.counter)
	if v.counter == nil {
		return
	}
	v.counter.RecordEnd(v.target)
	failed, counts := x.versionFailed(now, why)
	if !counts {
		return
	}
	answer := rollout.Answer{
		Target: v.target, Route: x.route.Name, Endpoint: state.Endpoint.ID, Failed: failed,
		LongGap: v.longGap, Cold: v.cold, Goal: x.route.LatencyGoal,
	}
	switch {
	case !x.answerBegan.IsZero():
		answer.Elapsed = x.answerBegan.Sub(v.began)
	case !failed:
		answer.Elapsed = now.Sub(v.began)
	}
	v.counter.RecordAnswer(answer)
	if failed && v.target {
		x.g.metrics.Counter("rollouts.bad_answers").Inc(1)
	}
}

// versionFailed reports whether the attempt failed by a fault of the version, and whether it shows
// anything of the version at all.
func (x *exchange) versionFailed(now time.Time, why cause) (failed, counts bool) {
	switch x.version.class {
	case answerShowsNothing:
		return false, false
	case answerWrong:
		return true, true
	}
	switch why {
	case causeNone:
		return false, true
	case causeDeadline, causeNoAnswer:
		return x.versionLate(now)
	case causeNotReached, causeSilent:
		// A link that passes nothing on says nothing of the version behind it.
		return false, false
	}
	return why.counts(), why.counts()
}

// versionLate returns the results of versionFailed for an attempt whose deadline has passed. A
// stream that has begun is late only if it has stopped; otherwise it is longer than the caller
// waits.
func (x *exchange) versionLate(now time.Time) (failed, counts bool) {
	if last := x.version.lastEvent; !last.IsZero() {
		failed = x.route.GapGoal > 0 && now.Sub(last) > lateDeadlineFactor*x.route.GapGoal
		return failed, true
	}
	enough := x.deadline.Sub(x.version.began) >= lateDeadlineFactor*x.route.LatencyGoal
	return enough, enough
}

// versionsOf returns what is known of the versions of a service, and creates it if needed. Callers
// hold g.mu.
func (g *Gateway) versionsOf(service string) *serviceVersions {
	v := g.versions[service]
	if v == nil {
		v = &serviceVersions{limiter: rollout.NewLimiter(g.config.Router)}
		g.versions[service] = v
	}
	return v
}

// SetRollout sets the roll-out of a service. The counts start anew with a new order.
func (g *Gateway) SetRollout(r rollout.Rollout) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.versionsOf(r.Service)
	if v.counter == nil || v.limiter.Rollout().ID != r.ID {
		v.counter = rollout.NewCounter(r.ID)
		defer g.countEarlier(r.Service, v)
	}
	v.limiter.SetRollout(r)
}

// countEarlier counts the attempts in flight at endpoints of other versions than the target of a new
// roll-out. Callers hold g.mu.
func (g *Gateway) countEarlier(service string, v *serviceVersions) {
	v.earlier = map[*balance.State]int{}
	for _, e := range g.roster.Members(service) {
		state := g.balancer.State(e)
		if state.LocalRequests == 0 || v.isTarget(e) {
			continue
		}
		v.earlier[state] = state.LocalRequests
		for range state.LocalRequests {
			v.counter.RecordSent(false)
		}
	}
}

// recordEarlierEnd records the end of an attempt that countEarlier counted, which counter, that of the
// attempt, shows. Callers hold g.mu.
func (g *Gateway) recordEarlierEnd(service string, state *balance.State, counter *rollout.Counter) {
	v := g.versions[service]
	if v == nil || v.counter == nil || v.counter == counter || v.earlier[state] == 0 {
		return
	}
	v.earlier[state]--
	v.counter.RecordEnd(false)
}

// ClearRollout ends the roll-out of a service because the order was deleted. Versions that were
// rolled back still get no requests.
func (g *Gateway) ClearRollout(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if v := g.versions[service]; v != nil {
		v.limiter.ClearRollout()
		v.counter, v.earlier = nil, nil
	}
}

// SetRolloutStatus passes on the status of a service's roll-out that the source confirmed at the
// given time.
func (g *Gateway) SetRolloutStatus(confirmed time.Time, source rollout.Source, service string, status rollout.Status) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.versionsOf(service).limiter.SetStatus(confirmed, source, status)
}

// ConfirmRollouts records that the store or a relay confirmed at the given time that the newest
// statuses known are in force.
func (g *Gateway) ConfirmRollouts(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, v := range g.versions {
		v.limiter.Confirm(at)
	}
}

// RolloutStatus returns the status in force of a service's roll-out; its state is None if there is
// none.
func (g *Gateway) RolloutStatus(service string) rollout.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	if v := g.versions[service]; v != nil {
		return v.limiter.Status()
	}
	return rollout.Status{}
}

// RolloutReport returns the counts of this router for the roll-out of a service. ok is false if
// there is none.
func (g *Gateway) RolloutReport(now time.Time, service string) (report rollout.Report, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.versions[service]
	if v == nil || v.counter == nil {
		return rollout.Report{}, false
	}
	return v.counter.Report(v.limiter.Share(now)), true
}

// versionRoom returns the room of a service at the versions that may serve its requests: during a
// roll-out as many as the old endpoints take beside the target's share, and none at versions that were
// rolled back. Callers hold g.mu.
func (g *Gateway) versionRoom(now time.Time, service string) balance.Room {
	members, v := g.roster.Members(service), g.versions[service]
	if v == nil {
		return g.balancer.Room(now, members, g.roster.Usable)
	}
	of := func(classes ...rollout.Class) balance.Room {
		return g.balancer.Room(now, members, func(e *roster.Endpoint) bool {
			return g.roster.Usable(e) && slices.Contains(classes, v.limiter.Class(e.Version))
		})
	}
	old := of(rollout.Old)
	if old.Slots == 0 {
		return of(rollout.Target, rollout.Unproven)
	}
	room := of(rollout.Old, rollout.Target)
	if share := v.limiter.Share(now); share < 1 {
		room.Slots = min(room.Slots, int(float64(old.Slots)/(1-share)))
	}
	return room
}

// RolloutCapacity returns what this router sees of the target endpoints of a service.
func (g *Gateway) RolloutCapacity(now time.Time, service string) rollout.Capacity {
	g.mu.Lock()
	defer g.mu.Unlock()
	var capacity rollout.Capacity
	v := g.versions[service]
	if v == nil {
		return capacity
	}
	for _, e := range g.roster.Members(service) {
		capacity.InFlight += int(g.balancer.State(e).Requests(now))
		if !g.roster.Usable(e) {
			continue
		}
		switch v.limiter.Class(e.Version) {
		case rollout.Target:
			capacity.TargetEndpoints++
			capacity.TargetSlots += e.Slots
		case rollout.Old:
			capacity.OldEndpoints++
		}
	}
	return capacity
}
