package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/roster"
	"github.com/hornbeamproxy/hornbeamproxy/routing"
)

// SetConfig brings a configuration into force if it is newer than the one in
// force. It reports whether it did.
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

// SetEndpoint enters or updates an endpoint.
func (g *Gateway) SetEndpoint(entry roster.Entry) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	settled := !g.roster.Complete()
	current, replaced := g.roster.Set(now, entry)
	if replaced != nil {
		g.drop(replaced)
	}
	g.balancer.Join(now, current, settled)
	g.logger.Info("endpoint", zap.String("endpoint", entry.ID), zap.String("service", entry.Service),
		zap.String("address", entry.Address), zap.Bool("draining", entry.Draining), zap.Duration("cold", current.ColdUntil.Sub(now)),
		zap.Bool("restarted", replaced != nil))
}

// RemoveEndpoint handles an entry that vanished.
func (g *Gateway) RemoveEndpoint(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if gone := g.roster.Remove(time.Now(), id); gone != nil {
		g.logger.Info("endpoint gone", zap.String("endpoint", id))
		g.drop(gone)
	}
}

// KeepEndpoints is called with the names of a complete list of endpoints.
func (g *Gateway) KeepEndpoints(names map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, gone := range g.roster.Keep(time.Now(), names) {
		g.logger.Info("endpoint gone", zap.String("endpoint", gone.ID))
		g.drop(gone)
	}
}

// StoreLost says that the store does not answer.
func (g *Gateway) StoreLost() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.StoreLost(time.Now())
}

// SetEvacuated withdraws a zone or takes it back.
func (g *Gateway) SetEvacuated(zone string, evacuated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.SetEvacuated(time.Now(), zone, evacuated)
	g.logger.Info("zone", zap.String("zone", zone), zap.Bool("evacuated", evacuated))
}

// KeepEvacuated is called with all zones that are withdrawn.
func (g *Gateway) KeepEvacuated(zones map[string]bool) {
	g.mu.Lock()
	var returned []string
	for zone := range g.roster.Evacuated() {
		if !zones[zone] {
			returned = append(returned, zone)
		}
	}
	g.mu.Unlock()
	for _, zone := range returned {
		g.SetEvacuated(zone, false)
	}
}

// SetRemoteLoad enters the requests that another router has at an endpoint.
func (g *Gateway) SetRemoteLoad(router, endpointID string, requests int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.SetRemote(time.Now(), router, endpointID, requests)
}

// OwnTime returns the median and the 99th percentile of the time that this router
// spends on a request itself until its first event or whole answer.
func (g *Gateway) OwnTime() (median, high time.Duration) {
	return time.Duration(g.own.Percentile(0.5)), time.Duration(g.own.Percentile(0.99))
}

// Loads returns the requests that this router has at each endpoint.
func (g *Gateway) Loads() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	loads := map[string]int{}
	g.balancer.Loads(func(id string, requests int) { loads[id] = requests })
	return loads
}
