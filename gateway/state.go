package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/roster"
	"github.com/hornbeamproxy/hornbeamproxy/routing"
)

// SetConfig applies a configuration if its revision is higher than that of the
// configuration in force, so that configurations never revert. It reports whether it
// was applied.
func (g *Gateway) SetConfig(config routing.Config) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if current := g.table.Load(); current != nil && config.Revision <= current.Revision {
		return false
	}
	g.table.Store(routing.NewTable(config))
	g.logger.Info("configuration in force", zap.Uint64("revision", config.Revision),
		zap.Int("routes", len(config.Routes)), zap.Int("services", len(config.Services)), zap.Int("workspaces", len(config.Workspaces)))
	return true
}

// SetEndpoint adds or updates an endpoint. If it has restarted or has another address
// or service, it counts as a new one: its old state and connections are dropped.
func (g *Gateway) SetEndpoint(entry roster.Entry) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	initial := !g.roster.Complete()
	current, replaced := g.roster.Set(now, entry)
	if replaced != nil {
		g.dropEndpoint(replaced)
	}
	g.balancer.Join(now, current, initial)
	g.logger.Info("endpoint updated", zap.String("endpoint", entry.ID), zap.String("service", entry.Service),
		zap.String("address", entry.Address), zap.Bool("draining", entry.Draining), zap.Duration("cold", current.ColdUntil.Sub(now)),
		zap.Bool("restarted", replaced != nil))
}

// RemoveEndpoint handles an entry that is no longer in the store. Until Config.EntryGraceUntil, the
// endpoint is kept unless it is draining, so that it can register again.
func (g *Gateway) RemoveEndpoint(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if gone := g.roster.Remove(now, id); gone != nil {
		g.logger.Info("endpoint removed", zap.String("endpoint", id))
		g.dropEndpoint(gone)
	}
	g.logKept(now)
}

// RetainEndpoints takes the ids of a complete list from the store and handles all other
// endpoints as RemoveEndpoint does.
func (g *Gateway) RetainEndpoints(ids map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, gone := range g.roster.RetainOnly(now, ids) {
		g.logger.Info("endpoint removed", zap.String("endpoint", gone.ID))
		g.dropEndpoint(gone)
	}
	g.logKept(now)
}

// logKept logs the endpoints that have just been kept although their entries are gone.
// Callers hold g.mu.
func (g *Gateway) logKept(now time.Time) {
	for _, kept := range g.roster.TakeKept() {
		g.metrics.Counter("endpoints.kept_without_entry").Inc(1)
		g.logger.Info("endpoint kept: its entry may have lapsed in an outage of the store", zap.String("endpoint", kept.ID),
			zap.String("service", kept.Service), zap.Duration("until", g.config.EntryGraceUntil(now).Sub(now)))
	}
}

// expireEndpoints removes the endpoints that were kept without an entry and whose grace is over.
func (g *Gateway) expireEndpoints(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, endpoint := range g.roster.Expire(now) {
		g.logger.Info("endpoint removed: no entry after the grace for an outage of the store", zap.String("endpoint", endpoint.ID))
		g.dropEndpoint(endpoint)
	}
}

// SetEvacuated starts or ends the evacuation of an availability zone, whose endpoints
// get no new work meanwhile.
func (g *Gateway) SetEvacuated(zone string, evacuated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.SetEvacuated(time.Now(), zone, evacuated)
	g.logger.Info("zone updated", zap.String("zone", zone), zap.Bool("evacuated", evacuated))
}

// RetainEvacuated ends the evacuation of all zones that are not in zones, the complete
// set of evacuated ones.
func (g *Gateway) RetainEvacuated(zones map[string]bool) {
	g.mu.Lock()
	var ended []string
	for zone := range g.roster.Evacuated() {
		if !zones[zone] {
			ended = append(ended, zone)
		}
	}
	g.mu.Unlock()
	for _, zone := range ended {
		g.SetEvacuated(zone, false)
	}
}

// SetRemoteLoad sets the number of requests that another router has in flight at an
// endpoint.
func (g *Gateway) SetRemoteLoad(router, endpointID string, requests int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.SetRemoteLoad(time.Now(), router, endpointID, requests)
}

// SetRemotePrompts sets the numbers of requests that another router has in flight, by
// balance.PromptID.
func (g *Gateway) SetRemotePrompts(router string, requests map[uint32]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.SetRemotePrompts(time.Now(), router, requests)
}

// SetFleetLoads sets the numbers of requests that all other routers together have in
// flight, at each endpoint and by balance.PromptID.
func (g *Gateway) SetFleetLoads(atEndpoint func(endpointID string) int, prompts map[uint32]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.SetFleetLoads(time.Now(), atEndpoint, prompts)
}

// OwnTime returns the median and the 99th percentile of the time that this router
// itself spends on a request until the first event or the complete response.
func (g *Gateway) OwnTime() (median, high time.Duration) {
	return time.Duration(g.own.Percentile(0.5)), time.Duration(g.own.Percentile(0.99))
}

// Loads returns the number of requests that this router has in flight at each endpoint,
// by endpoint id.
func (g *Gateway) Loads() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	loads := map[string]int{}
	g.balancer.Loads(func(id string, requests int) { loads[id] = requests })
	return loads
}

// PromptLoads returns the number of requests that this router has in flight for each
// prompt, by balance.PromptID.
func (g *Gateway) PromptLoads() map[uint32]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.LocalPrompts()
}
