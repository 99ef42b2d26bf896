package gateway

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/balance"
	"github.com/hornbeamproxy/hornbeamproxy/rollout"
	"github.com/hornbeamproxy/hornbeamproxy/roster"
	"github.com/hornbeamproxy/hornbeamproxy/work"
)

// maxExplained bounds the candidates of an Explanation.
const maxExplained = 200

// Reasons for which an endpoint is no candidate, beside those of package balance.
const (
	excludedWithdrawn  = "withdrawn"
	excludedEvacuated  = "zone_evacuated"
	excludedRolledBack = "version_rolled_back"
	// excludedVersion means that the roll-out does not let the version serve this request.
	excludedVersion = "version_not_admitted"
)

// Explanation says where a request would go now and why. Times are in ms.
type Explanation struct {
	Route     string `json:"route,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	Service   string `json:"service,omitempty"`
	// Refused is why the request would be refused, in the order in which the router checks; empty if
	// it would not be.
	Refused api.Refusal         `json:"refused,omitempty"`
	Room    *ExplainedRoom      `json:"room,omitempty"`
	Rollout *ExplainedRollout   `json:"rollout,omitempty"`
	ByWork  bool                `json:"by_work"`
	Members int                 `json:"members"`
	Listed  []ExplainedEndpoint `json:"candidates"` // at most maxExplained, the chosen one first
	// Chosen is the id of the endpoint to which the request would be sent, without regard to a wait
	// for room; empty if it would be refused.
	Chosen string `json:"chosen,omitempty"`
}

// ExplainedRoom is the room of a service whose room is shared.
type ExplainedRoom struct {
	Slots    int `json:"slots"`
	InFlight int `json:"in_flight"` // of all routers
	Queued   int `json:"queued"`    // at this router
	// Share is the router's share of the slots. It is 0 before the first request of the service.
	Share float64 `json:"share"`
	// Decision is admit, wait or refuse, and Reason that of package room.
	Decision       string  `json:"decision"`
	Reason         string  `json:"reason"`
	ExpectedWaitMS float64 `json:"expected_wait_ms"`
}

// ExplainedRollout is the roll-out in force of a service.
type ExplainedRollout struct {
	Target string  `json:"target"`
	State  string  `json:"state"` // empty if the order has no status yet
	Share  float64 `json:"share"` // that holds at this router
	Stale  bool    `json:"stale"`
	Reason string  `json:"reason,omitempty"`
}

// ExplainedEndpoint is an endpoint of the service.
type ExplainedEndpoint struct {
	ID       string  `json:"id"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version,omitempty"`
	Load     float64 `json:"load"` // requests of all routers
	Excluded string  `json:"excluded,omitempty"`
	// OutstandingMS is the remaining work of this router's requests, Speed how many times as long as
	// usual work takes, and ExpectedMS the time until the first event. They are set if the request
	// is placed by work.
	OutstandingMS float64 `json:"outstanding_ms,omitempty"`
	Speed         float64 `json:"speed,omitempty"`
	ExpectedMS    float64 `json:"expected_ms,omitempty"`
	NoMemory      bool    `json:"no_memory,omitempty"`
}

// Explain says where the request would go now. It sends nothing, counts nothing and changes no state
// that the requests after it depend on.
func (g *Gateway) Explain(now time.Time, request *Request) Explanation {
	e := Explanation{Listed: []ExplainedEndpoint{}}
	x := &exchange{g: g, arrived: now, request: request, table: g.table.Load()}
	if x.table == nil {
		e.Refused = api.RefusalNotReady
		return e
	}
	var err error
	if x.route, err = x.table.Match(request.Host, request.Path); err != nil {
		e.Refused = api.RefusalUnknownService
		return e
	}
	e.Route = x.route.Name
	if x.workspace, err = x.table.Workspace(x.route, request.APIKey); err != nil {
		e.Refused = api.RefusalUnauthorized
		return e
	}
	if x.workspace != nil {
		e.Workspace = x.workspace.Name
	}
	x.classify()
	e.Service = x.service
	g.mu.Lock()
	defer g.mu.Unlock()
	if x.route.CachesPrompts {
		if _, _, quarantined := g.poison.Quarantined(now, request.SharedParts()); quarantined {
			e.Refused = api.RefusalPromptQuarantined
		}
	}
	if !g.plan.Load().admits(now, x.deadline) {
		e.refuse(api.RefusalShuttingDown)
	}
	x.explainRoom(now, &e)
	x.explainPick(now, &e)
	return e
}

// refuse sets the reason of a refusal unless an earlier check refuses already.
func (e *Explanation) refuse(reason api.Refusal) {
	if e.Refused == "" {
		e.Refused = reason
	}
}

func inMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// explainRoom adds the room of the service if it is shared. Callers hold g.mu.
func (x *exchange) explainRoom(now time.Time, e *Explanation) {
	if !x.sharesRoom() {
		return
	}
	g := x.g
	routers := g.config.Routers().Count()
	found := g.balancer.Room(now, g.roster.Members(x.service), g.roster.Usable)
	e.Room = &ExplainedRoom{Slots: found.Slots, InFlight: found.InFlight, Decision: "admit"}
	known := g.rooms.services[x.service]
	if known == nil { // no request has asked for room yet
		return
	}
	e.Room.Queued, e.Room.Share = known.Waiting(), known.Share(now)
	decision := known.Preview(now, x.describeForRoom(), found.Slots, found.InFlight, routers, found.Known || routers == 1)
	e.Room.Reason, e.Room.ExpectedWaitMS = decision.Reason, inMS(decision.Expected)
	switch {
	case decision.Wait:
		e.Room.Decision = "wait"
	case !decision.Admit:
		e.Room.Decision = "refuse"
		e.refuse(api.RefusalOverloaded)
	}
}

// explainPick adds the roll-out, the endpoints and the choice. Callers hold g.mu.
func (x *exchange) explainPick(now time.Time, e *Explanation) {
	g := x.g
	criteria := g.pickCriteria(x.table.Services[x.service])
	criteria.Key, criteria.Repeatable, criteria.Draw = x.promptKey, x.route.Repeatable(), x.draw()
	if known := g.work[x.service]; known != nil && x.table.Services[x.service] != nil && known.byWork && known.model.Learned() {
		model := known.model.Clone()
		if engine := x.table.Services[x.service].Engine; engine != nil {
			model.SetConfig(work.Config{Capacity: engine.Capacity})
		}
		criteria.Work = &balance.ByWork{Model: model, Request: x.workRequest(), Goal: x.route.LatencyGoal}
		e.ByWork = true
	}
	var candidates []balance.Candidate
	pick := func(now time.Time, criteria balance.Criteria) (state *balance.State, refusal balance.Refusal) {
		candidates, state, refusal = g.balancer.Explain(now, criteria)
		return state, refusal
	}
	var chosen *balance.State
	var refusal balance.Refusal
	var barred bool
	limiter := g.limiterCopy(x.service)
	if limiter == nil {
		chosen, refusal = pick(now, criteria)
	} else {
		e.Rollout = explainRollout(now, limiter)
		versions := &serviceVersions{limiter: limiter}
		if chosen, refusal, barred = versions.choose(now, &criteria, false, pick); barred {
			criteria.Usable = func(*roster.Endpoint) bool { return false }
			pick(now, criteria)
		}
	}
	switch {
	case barred:
		e.refuse(api.RefusalVersionRolledBack)
	case chosen == nil:
		e.refuse(refusalOf(refusal))
	case e.Refused == "":
		e.Chosen = chosen.Endpoint.ID
	}
	e.Members = len(candidates)
	for _, c := range listed(candidates, e.Chosen) {
		e.Listed = append(e.Listed, g.explainEndpoint(now, c, limiter, criteria.Work != nil))
	}
}

// listed returns at most maxExplained candidates, the chosen one first and the excluded ones last.
func listed(candidates []balance.Candidate, chosen string) []balance.Candidate {
	result := make([]balance.Candidate, 0, min(len(candidates), maxExplained))
	add := func(belongs func(c *balance.Candidate) bool) {
		for i := range candidates {
			if len(result) < maxExplained && belongs(&candidates[i]) {
				result = append(result, candidates[i])
			}
		}
	}
	isChosen := func(c *balance.Candidate) bool { return c.State.Endpoint.ID == chosen }
	add(isChosen)
	add(func(c *balance.Candidate) bool { return !isChosen(c) && c.Excluded == "" })
	add(func(c *balance.Candidate) bool { return !isChosen(c) && c.Excluded != "" })
	return result
}

// limiterCopy returns a copy of the limiter of a service, which can be asked without using up the
// credit of the original; nil if there is none. Callers hold g.mu.
func (g *Gateway) limiterCopy(service string) *rollout.Limiter {
	v := g.versions[service]
	if v == nil {
		return nil
	}
	limiter := *v.limiter
	return &limiter
}

func explainRollout(now time.Time, limiter *rollout.Limiter) *ExplainedRollout {
	if limiter.Rollout().ID == "" {
		return nil
	}
	status := limiter.Status()
	return &ExplainedRollout{
		Target: limiter.Rollout().Target, State: status.State.String(), Share: limiter.Share(now),
		Stale: limiter.Stale(now), Reason: status.Reason,
	}
}

// explainEndpoint returns a candidate. Callers hold g.mu.
func (g *Gateway) explainEndpoint(now time.Time, c balance.Candidate, limiter *rollout.Limiter, byWork bool) ExplainedEndpoint {
	endpoint := c.State.Endpoint
	found := ExplainedEndpoint{
		ID: endpoint.ID, Zone: endpoint.Zone, Version: endpoint.Version, Load: c.Load, Excluded: c.Excluded,
		Speed: c.Speed, ExpectedMS: inMS(c.Expected), NoMemory: c.NoMemory,
	}
	if byWork {
		found.OutstandingMS = inMS(c.State.Outstanding(now))
	}
	switch {
	case !g.roster.Usable(endpoint):
		found.Excluded = unusableReason(endpoint)
	case limiter != nil && limiter.Class(endpoint.Version) == rollout.Barred:
		found.Excluded = excludedRolledBack
	case c.Excluded == balance.ExcludedNotUsable:
		found.Excluded = excludedVersion
	}
	return found
}

func unusableReason(endpoint *roster.Endpoint) string {
	if endpoint.Withdrawn {
		return excludedWithdrawn
	}
	return excludedEvacuated
}
