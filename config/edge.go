package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// EdgeSettings holds the settings of a router that takes its configuration from
// the platform. An endpoint is cold while it is not yet at full speed after its start.
type EdgeSettings struct {
	Router struct {
		ID       string `toml:"id"`
		Zone     string `toml:"zone"`
		MemoryMB int    `toml:"memory_mb"` // memory above which the platform kills the process
		// MaxFDs is the number of file descriptors that the process may have open, or 0 for its
		// own limit (RLIMIT_NOFILE).
		MaxFDs int `toml:"max_fds"`
		// LinkMbps is the capacity of the instance's network link, or 0 if unknown.
		LinkMbps float64 `toml:"link_mbps"`
		// Features are the names of the platform's contracts that the deployment has.
		Features []string `toml:"features"`
	} `toml:"router"`
	Listen struct { // address and port of each listener
		Callers   string `toml:"callers"`
		Readiness string `toml:"readiness"`
		Metrics   string `toml:"metrics"`
		Peers     string `toml:"peers"` // UDP
	} `toml:"listen"`
	Store struct {
		Address string `toml:"address"` // address and port
		// HeartbeatMS is the interval in milliseconds at which endpoints renew their entries. The
		// store removes an entry after three intervals without a renewal.
		HeartbeatMS float64 `toml:"heartbeat_ms"`
	} `toml:"store"`
	Bounds struct {
		GraceS float64 `toml:"grace_s"` // seconds from SIGTERM to SIGKILL
		// In any period, all routers together may make RetryRatio retries per request to a
		// service, plus RetrySlack retries.
		RetryRatio float64 `toml:"retry_ratio"`
		RetrySlack float64 `toml:"retry_slack"`
		// The requests per second allowed at a cold endpoint are ColdRateFactor times the
		// rate that a cold endpoint of the service can handle, plus ColdRateSlack.
		ColdRateFactor float64 `toml:"cold_factor"`
		ColdRateSlack  float64 `toml:"cold_slack"`
		// LoadFactor is the maximum number of requests in flight at an endpoint, as a
		// multiple of the mean of the service's endpoints.
		LoadFactor float64 `toml:"load_factor"`
		// Until the deadline of a staged roll-out, a bad version may get ExposeShare of the
		// requests to its service plus ExposeSlack requests, and none that was sent later than
		// RollbackMS milliseconds after its 50th bad answer. With an ExposeShare of 0, roll-outs
		// are not watched.
		ExposeShare float64 `toml:"expose_share"`
		ExposeSlack float64 `toml:"expose_slack"`
		RollbackMS  float64 `toml:"rollback_ms"`
	} `toml:"bounds"`
	// Limits bound what callers may use of one router. 0 means the default.
	Limits EdgeLimits `toml:"limits"`
	Demand struct {   // features that depend on the demand
		// PlacementByWork: requests are placed by expected work and speed instead of by number.
		PlacementByWork Switch `toml:"placement_by_work"`
		// SharedRoom: requests beyond the room of a service wait at the router.
		SharedRoom Switch `toml:"shared_room"`
	} `toml:"demand"`
}

// EdgeLimits are limits of callers' connections.
type EdgeLimits struct {
	// Connections and ConnectionsPerAddress are the largest numbers of callers' connections, in all
	// and from one address. Their defaults follow from router.max_fds.
	Connections           int `toml:"connections"`
	ConnectionsPerAddress int `toml:"connections_per_address"`
	// EndpointConnections is the largest number of connections to endpoints. Its default follows
	// from router.max_fds.
	EndpointConnections int `toml:"endpoint_connections"`
	// OperatorConnections is the largest number of connections at each of the readiness and metrics
	// listeners.
	OperatorConnections int `toml:"operator_connections"`
	HeaderFields        int `toml:"header_fields"` // of a caller's request
	HeaderKB            int `toml:"header_kb"`     // KiB of the head of a caller's request
	// UnreadMS is the time in milliseconds after which a connection is ended whose caller reads
	// nothing of a response.
	UnreadMS float64 `toml:"unread_ms"`
	// BodyMS is the time in milliseconds that a caller may take to send a body.
	BodyMS float64 `toml:"body_ms"`
}

// Smallest values of settings that bound the process as a whole; with less a router can't serve.
const (
	minMemoryMB = 64
	minMaxFDs   = 64
)

// limitRange is the range of a limit other than 0.
type limitRange struct {
	key             string
	value, min, max float64
}

// The platform's own limits are 16 KiB of header and bodies within a few seconds; a limit below them
// would refuse callers that are within them.
func (l *EdgeLimits) ranges() []limitRange {
	const maxConnections = 1 << 20
	return []limitRange{
		{"limits.connections", float64(l.Connections), 16, maxConnections},
		{"limits.connections_per_address", float64(l.ConnectionsPerAddress), 8, maxConnections},
		{"limits.endpoint_connections", float64(l.EndpointConnections), 8, maxConnections},
		{"limits.operator_connections", float64(l.OperatorConnections), 4, maxConnections},
		{"limits.header_fields", float64(l.HeaderFields), 32, 65536},
		{"limits.header_kb", float64(l.HeaderKB), 16, 1024},
		{"limits.unread_ms", l.UnreadMS, 1000, 600_000},
		{"limits.body_ms", l.BodyMS, 1000, 600_000},
	}
}

// Switch says when a feature is in use.
type Switch string

// Values of a Switch.
const (
	Auto   Switch = "auto" // depends on the deployment
	Always Switch = "always"
	Never  Switch = "never"
)

// FeaturePressure is the contract of deployments that are offered more than they can serve.
const FeaturePressure = "pressure"

// HasFeature reports whether the deployment has the contract.
func (s *EdgeSettings) HasFeature(name string) bool { return slices.Contains(s.Router.Features, name) }

// Defaults for values that the platform does not set.
const (
	defaultHeartbeatMS    = 1200
	defaultGraceS         = 8
	defaultRetryRatio     = 0.1
	defaultColdRateFactor = 1
	defaultLoadFactor     = 2
	defaultExposeSlack    = 50
	defaultRollbackMS     = 5000
)

// LoadEdge reads and validates the settings of a router on the platform.
// Problems in the file's content are returned as *Error.
func LoadEdge(path string) (*EdgeSettings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading settings: %w", err)
	}
	settings := &EdgeSettings{}
	settings.Store.HeartbeatMS = defaultHeartbeatMS
	settings.Bounds.GraceS = defaultGraceS
	settings.Bounds.RetryRatio = defaultRetryRatio
	settings.Bounds.ColdRateFactor = defaultColdRateFactor
	settings.Bounds.LoadFactor = defaultLoadFactor
	settings.Bounds.ExposeSlack, settings.Bounds.RollbackMS = defaultExposeSlack, defaultRollbackMS
	settings.Demand.PlacementByWork, settings.Demand.SharedRoom = Auto, Auto
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(settings); err != nil {
		return nil, &Error{Problems: decodeProblems(path, err)}
	}
	if problems := settings.check(path); len(problems) > 0 {
		return nil, &Error{Problems: problems}
	}
	return settings, nil
}

func decodeProblems(path string, err error) []Problem {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var problems []Problem
		for _, missing := range strict.Errors {
			line, _ := missing.Position()
			problems = append(problems, Problem{File: path, Line: line, Key: fmt.Sprint(missing.Key()), Text: "unknown key"})
		}
		return problems
	}
	var failed *toml.DecodeError
	if errors.As(err, &failed) {
		line, _ := failed.Position()
		return []Problem{{File: path, Line: line, Key: fmt.Sprint(failed.Key()), Text: failed.Error()}}
	}
	return []Problem{{File: path, Text: err.Error()}}
}

func (s *EdgeSettings) check(path string) []Problem {
	var problems []Problem
	required := []struct{ key, value string }{
		{"router.id", s.Router.ID},
		{"listen.callers", s.Listen.Callers},
		{"listen.readiness", s.Listen.Readiness},
		{"listen.peers", s.Listen.Peers},
		{"store.address", s.Store.Address},
	}
	for _, r := range required {
		if r.value == "" {
			problems = append(problems, Problem{File: path, Key: r.key, Text: "must be set"})
		}
	}
	positive := []struct {
		key   string
		value float64
	}{
		{"store.heartbeat_ms", s.Store.HeartbeatMS},
		{"bounds.grace_s", s.Bounds.GraceS},
		{"bounds.cold_factor", s.Bounds.ColdRateFactor},
		{"bounds.load_factor", s.Bounds.LoadFactor},
		{"bounds.rollback_ms", s.Bounds.RollbackMS},
	}
	for _, p := range positive {
		if p.value <= 0 {
			problems = append(problems, Problem{File: path, Key: p.key, Text: "must be above 0"})
		}
	}
	if s.Bounds.ExposeShare < 0 || s.Bounds.ExposeShare > 1 {
		problems = append(problems, Problem{File: path, Key: "bounds.expose_share", Text: "must be from 0 to 1"})
	}
	if s.Bounds.ExposeSlack < 0 {
		problems = append(problems, Problem{File: path, Key: "bounds.expose_slack", Text: "must not be below 0"})
	}
	for key, value := range map[string]Switch{
		"demand.placement_by_work": s.Demand.PlacementByWork,
		"demand.shared_room":       s.Demand.SharedRoom,
	} {
		if value != Auto && value != Always && value != Never {
			problems = append(problems, Problem{File: path, Key: key, Text: `must be "auto", "always" or "never"`})
		}
	}
	return append(problems, s.checkLimits(path)...)
}

// checkLimits checks the settings that are 0 unless they are set.
func (s *EdgeSettings) checkLimits(path string) []Problem {
	var problems []Problem
	ranges := append(s.Limits.ranges(),
		limitRange{"router.memory_mb", float64(s.Router.MemoryMB), minMemoryMB, 1 << 20},
		limitRange{"router.max_fds", float64(s.Router.MaxFDs), minMaxFDs, 1 << 24})
	for _, r := range ranges {
		if r.value != 0 && (r.value < r.min || r.value > r.max) {
			problems = append(problems, Problem{File: path, Key: r.key, Text: fmt.Sprintf("must be between %g and %g", r.min, r.max)})
		}
	}
	return problems
}
