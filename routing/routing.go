// Package routing holds the accepted configuration of the platform's routes in
// the form that requests are matched against. It does no I/O.
package routing

import (
	"cmp"
	"errors"
	"slices"
	"strings"
	"time"
)

// Kind tells what may be repeated of a request on a route.
type Kind int

const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered with a series of events. They run at most
	// once unless the route is Resumable.
	Stream
)

// Route is one rule that leads requests to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Goal is the time within which an answer is on time.
	Goal time.Duration
	// GapGoal is the longest pause between events of a stream that is on time.
	GapGoal time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Targets are the services that share the route's requests.
	Targets []Target
	// MaxEndpoints is the number of endpoints that one request may be sent to.
	MaxEndpoints int
	// Public routes need no API key.
	Public bool
	// CachesPrompts says that the route's endpoints keep parts of prompts.
	CachesPrompts bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
}

// Repeatable reports whether a request that may have run can be sent again.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Target is a service with its share of a route.
type Target struct {
	Service string
	Weight  int
}

// Service returns the target for a hash of the request.
func (r *Route) Service(hash uint64) string {
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
	// MaxConnections is what one endpoint accepts of all routers together.
	MaxConnections int
	// ColdFor is how long an endpoint stays cold after its start.
	ColdFor time.Duration
	// ColdRate is the number of requests a second that a cold endpoint bears; 0
	// means that it is not limited.
	ColdRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes int64
}

// Workspace is a customer whose requests are kept apart.
type Workspace struct {
	Name string
	Keys []string
	// Priority replaces the routes' priority when set.
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
	// ErrNoRoute says that no route matches a request.
	ErrNoRoute = errors.New("routing: no route")
	// ErrUnknownKey says that no workspace has the API key of a request.
	ErrUnknownKey = errors.New("routing: unknown key")
)

// Table is a Config with its lookups. It is immutable.
type Table struct {
	Config
	hosts map[string][]*Route // longest prefix first
	keys  map[string]*Workspace
}

// NewTable indexes a configuration.
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

// Match returns the route with the longest prefix of the path. Errors:
// ErrNoRoute.
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

// Workspace returns the holder of the API key, or nil if the route needs none
// and the key is not known. Errors: ErrUnknownKey.
func (t *Table) Workspace(route *Route, key string) (*Workspace, error) {
	if workspace, ok := t.keys[key]; ok && key != "" {
		return workspace, nil
	}
	if route.Public || len(t.Workspaces) == 0 {
		return nil, nil
	}
	return nil, ErrUnknownKey
}
