package integration_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// Guards against a statically linked binary, which would resolve host and user
// names differently from other programs on the machine.
func TestBinaryIsLinkedToLibc(t *testing.T) {
	output, err := exec.Command("ldd", binary).CombinedOutput()
	assert.NilError(t, err, "%s", output)
	assert.Assert(t, strings.Contains(string(output), "libc.so"), "%s", output)
}

// Guards against routers that start child processes, which the design rules out.
func TestRouterStartsNoProcess(t *testing.T) {
	f := newFleet(t, fleetOptions{
		site: standin.SiteConfig{
			Zones: threeZones, Engines: 2, Workspaces: 1, MaxInflight: 16,
			Engine: standin.EngineConfig{TokenInterval: time.Millisecond},
		},
		routers: 2,
	})
	stop := make(chan struct{})
	wait := f.startCallers(t, 8, chatCall{chat: "children", tokens: 20}, &streamTally{}, stop)
	for range 100 {
		for _, r := range f.currentRouters() {
			assert.Equal(t, childrenOf(t, r.command.Process.Pid), "", "%s has children", r.id)
		}
		time.Sleep(10 * time.Millisecond)
	}
	close(stop)
	wait()
}

// childrenOf returns the process ids of the children of all threads of a process.
func childrenOf(t *testing.T, pid int) string {
	t.Helper()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid))
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0, "no threads listed")
	children := ""
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		children += string(text)
	}
	return children
}

// Guards against a settings check that reports only the first error of a file.
func TestSettingsCheckNamesAllMistakes(t *testing.T) {
	file := filepath.Join(t.TempDir(), "router.toml")
	text := `[router]
id = "router-1"
zone = "medeu"

[listen]
callers = "localhost:8080"
peers = "127.0.0.1:8081"
admin = "127.0.0.1:8082"

[platform]
url = "http://127.0.0.1:9000"

[peers]
secret_env = "TEST_PEER_SECRET"
fan_out = 3

[admin]
token_env = "TEST_ADMIN_TOKEN"

[limits]
load_multiple = 0.5
`
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	output, err := exec.Command(binary, "settings", "check", file).CombinedOutput()
	assert.ErrorContains(t, err, "exit status 1")
	for _, place := range []string{":6: listen.callers", ":15: peers.fan_out", ":21: limits.load_multiple"} {
		assert.Assert(t, strings.Contains(string(output), place), "%s is missing in:\n%s", place, output)
	}
}
