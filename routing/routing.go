// Package routing matches requests to the routes, services and workspaces of the
// platform's accepted configuration. It does no I/O.
package routing

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"time"
)

// Kind determines whether a request on a route may be repeated.
type Kind int

const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered with a stream of events. They run at most
	// once unless the route is Resumable.
	Stream
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	}
	return "unsafe"
}

// Route maps requests, by host and path prefix, to services.
type Route struct {
	Name   string
	Host   string // compared without regard to case
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the longest time that a caller waits for a response; 0 if the route
	// sets none.
	Timeout time.Duration
	// LatencyGoal is the latency objective: a response within it counts as on time.
	LatencyGoal time.Duration
	// GapGoal is the objective for the longest gap between two events of a stream.
	GapGoal time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// Targets are the services among which the route's requests are divided.
	Targets []Target
	// MaxEndpoints is the number of endpoints that one request may be sent to.
	MaxEndpoints int
	// Public routes need no API key.
	Public bool
	// CachesPrompts is set when the route's endpoints cache parts of prompts.
	CachesPrompts bool
	// Resumable streams may be continued at another endpoint.
	Resumable bool
}

// Repeatable reports whether a request that may have run can be sent again.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Target is a service with its weight in the division of a route's requests. A
// weight below 0 counts as 0.
type Target struct {
	Service string
	Weight  int
}

// PickService returns the service for a hash of the request, in proportion to the weights
// of the targets. If no weight is above 0, it returns the first. There must be at least
// one target.
func (r *Route) PickService(hash uint64) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0
	for _, t := range r.Targets {
		total += max(0, t.Weight)
	}
	if total == 0 {
		return r.Targets[0].Service
	}
	point := int(hash % uint64(total))
	for _, t := range r.Targets {
		if point -= max(0, t.Weight); point < 0 {
			return t.Service
		}
	}
	return r.Targets[0].Service
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one endpoint accepts from
	// all routers together; 0 means no limit.
	MaxConnections int
	// ColdFor is how long an endpoint stays cold after its start, that is, can handle
	// only a low rate of requests because its caches are not filled yet.
	ColdFor time.Duration
	// ColdRequestsPerSecond is the number of requests a second that a cold endpoint can
	// handle; 0 means no limit.
	ColdRequestsPerSecond float64
	// Engine is set for services of engines whose limits are known.
	Engine *Engine
}

// Engine has the limits of each engine of a service.
type Engine struct {
	// Slots is the number of requests that run at a time.
	Slots int
	// Capacity is the number of tokens that the engine's memory holds.
	Capacity int
}

// Limits bound the size of requests.
type Limits struct {
	// MaxBodyBytes is the largest size of a body; 0 means the router's default.
	MaxBodyBytes int64
}

// Workspace is a customer whose requests are kept apart from those of others.
type Workspace struct {
	Name string
	Keys []string // API keys
	// Priority overrides the priority of the routes if it isn't nil.
	Priority *int
}

// Config is one accepted configuration.
type Config struct {
	Revision   uint64
	Routes     []*Route
	Services   map[string]*Service
	Limits     Limits
	Workspaces []*Workspace
}

var (
	// ErrNoRoute means that no route matches the request.
	ErrNoRoute = errors.New("routing: no route")
	// ErrUnknownKey means that no workspace has the API key of the request.
	ErrUnknownKey = errors.New("routing: unknown key")
)

// Table is a Config with the indexes for lookups. It is immutable.
type Table struct {
	Config
	hosts map[string][]*Route // longest prefix first
	keys  map[string]*Workspace
}

// NewTable indexes a configuration. Callers must not change the routes, services and
// workspaces of config later.
func NewTable(config Config) *Table {
	t := &Table{Config: config, hosts: map[string][]*Route{}, keys: map[string]*Workspace{}}
	for _, route := range config.Routes {
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], route)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, workspace := range config.Workspaces {
		for _, key := range workspace.Keys {
			t.keys[key] = workspace
		}
	}
	return t
}

// Match returns the route of the host that has the longest prefix of the path. If the
// host is unknown, it is looked up again without its port. Errors: ErrNoRoute.
func (t *Table) Match(host, path string) (*Route, error) {
	host = strings.ToLower(host)
	routes, ok := t.hosts[host]
	if !ok {
		if name, _, found := strings.Cut(host, ":"); found {
			routes = t.hosts[name]
		}
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route, nil
		}
	}
	return nil, ErrNoRoute
}

// Workspace returns the workspace of the API key. If the key is unknown, it returns nil
// without an error when the route is public or no workspaces are configured. Errors:
// ErrUnknownKey.
func (t *Table) Workspace(route *Route, key string) (*Workspace, error) {
	if workspace, ok := t.keys[key]; ok && key != "" {
		return workspace, nil
	}
	if route.Public || len(t.Workspaces) == 0 {
		return nil, nil
	}
	return nil, ErrUnknownKey
}
