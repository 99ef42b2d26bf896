package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const edgeText = `[router]
id = "edge-1"
zone = "z"
memory_mb = 284
link_mbps = 1000

[listen]
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
peers = "127.0.0.1:3"

[store]
address = "127.0.0.1:4"

[bounds]
grace_s = 8
cold_factor = 1.5
`

func loadEdge(t *testing.T, text string) (*EdgeSettings, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "router.toml")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	return LoadEdge(file)
}

// Guards against these faults: a setting is not read; a default replaces a given value;
// a default is not applied.
func TestLoadEdge(t *testing.T) {
	settings, err := loadEdge(t, edgeText)
	assert.NilError(t, err)
	assert.Equal(t, settings.Bounds.ColdRateFactor, 1.5)
	assert.Equal(t, settings.Bounds.LoadFactor, float64(defaultLoadFactor))
	assert.Equal(t, settings.Store.HeartbeatMS, float64(defaultHeartbeatMS))
	assert.Equal(t, settings.Router.MemoryMB, 284)
	assert.Equal(t, settings.Router.LinkMbps, 1000.0)
	assert.Equal(t, settings.Bounds.ExposeShare, 0.0, "roll-outs are off unless the settings ask for them")
	assert.Equal(t, settings.Bounds.RollbackMS, float64(defaultRollbackMS))
	assert.Equal(t, settings.Limits, EdgeLimits{}, "a limit without a setting has its default")
	settings, err = loadEdge(t, strings.Replace(edgeText, "[bounds]", "[limits]\nheader_kb = 64\n[bounds]", 1))
	assert.NilError(t, err)
	assert.Equal(t, settings.Limits, EdgeLimits{HeaderKB: 64})
}

// Guards against a feature that is on, or whose switch has another value, when the file does not
// name it, and against a contract that is not found.
func TestFeatures(t *testing.T) {
	settings, err := loadEdge(t, edgeText)
	assert.NilError(t, err)
	assert.Equal(t, settings.Demand.PlacementByWork, Auto)
	assert.Equal(t, settings.Demand.SharedRoom, Auto)
	assert.Assert(t, !settings.HasFeature(FeaturePressure))
	text := strings.Replace(edgeText, "memory_mb", "features = [\"a\",\"pressure\"]\nmemory_mb", 1)
	settings, err = loadEdge(t, text+"\n[demand]\nplacement_by_work = \"never\"\nshared_room = \"always\"\n")
	assert.NilError(t, err)
	assert.Equal(t, settings.Demand.PlacementByWork, Never)
	assert.Equal(t, settings.Demand.SharedRoom, Always)
	assert.Assert(t, settings.HasFeature(FeaturePressure))
}

// Guards against an invalid file that is accepted, and against a problem that
// does not name its key.
func TestLoadEdgeProblems(t *testing.T) {
	for name, c := range map[string]struct{ from, to, key string }{
		"unknown key":       {"zone =", "zoen =", "zoen"},
		"wrong type":        {"memory_mb = 284", `memory_mb = "much"`, "memory_mb"},
		"no id":             {`id = "edge-1"`, `id = ""`, "router.id"},
		"no store":          {`address = "127.0.0.1:4"`, ``, "store.address"},
		"no heartbeat":      {`address = "127.0.0.1:4"`, "address = \"127.0.0.1:4\"\nheartbeat_ms = 0", "store.heartbeat_ms"},
		"share above 1":     {"cold_factor = 1.5", "expose_share = 1.5", "bounds.expose_share"},
		"share below 0":     {"cold_factor = 1.5", "expose_share = -0.1", "bounds.expose_share"},
		"slack below 0":     {"cold_factor = 1.5", "expose_slack = -1", "bounds.expose_slack"},
		"no time":           {"cold_factor = 1.5", "rollback_ms = 0", "bounds.rollback_ms"},
		"no peers":          {`peers = "127.0.0.1:3"`, ``, "listen.peers"},
		"no grace":          {"grace_s = 8", "grace_s = 0", "bounds.grace_s"},
		"not TOML":          {"[bounds]", "[bounds", ""},
		"negative":          {"cold_factor = 1.5", "cold_factor = -1", "bounds.cold_factor"},
		"empty number":      {"grace_s = 8", "grace_s =", ""},
		"little memory":     {"memory_mb = 284", "memory_mb = 63", "router.memory_mb"},
		"few descriptors":   {"memory_mb = 284", "max_fds = 63", "router.max_fds"},
		"no connections":    {"[bounds]", "[limits]\nconnections = -1\n[bounds]", "limits.connections"},
		"few header fields": {"[bounds]", "[limits]\nheader_fields = 31\n[bounds]", "limits.header_fields"},
		"short unread time": {"[bounds]", "[limits]\nunread_ms = 999\n[bounds]", "limits.unread_ms"},
		"odd switch":        {"[bounds]", "[demand]\nshared_room = \"sometimes\"\n[bounds]", "demand.shared_room"},
		"odd placement":     {"[bounds]", "[demand]\nplacement_by_work = \"\"\n[bounds]", "demand.placement_by_work"},
	} {
		_, err := loadEdge(t, strings.Replace(edgeText, c.from, c.to, 1))
		var problems *Error
		assert.Assert(t, errors.As(err, &problems), name)
		assert.Assert(t, strings.Contains(problems.Problems[0].Key, c.key), "%s: %v", name, err)
	}
}
