package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/routerlog"
)

func runLog(t *testing.T, in string, args ...string) (string, error) {
	t.Helper()
	var out strings.Builder
	app := kingpin.New("hornbeamproxy", "")
	app.Terminate(nil)
	addLogCommandTo(app, strings.NewReader(in), &out)
	_, err := app.Parse(append([]string{"log"}, args...))
	return out.String(), err
}

// Guards against a story of a request that lacks the lines of another router or has them out
// of order, and against an unknown id that looks like a request without trouble.
func TestLogRequest(t *testing.T) {
	line := func(at, router, message string) string {
		return `{"ts":"2026-09-05T22:00:0` + at + `Z","msg":"` + message + `","router":"` + router + `","request":"a"}` + "\n"
	}
	file := filepath.Join(t.TempDir(), "r2.log")
	assert.NilError(t, os.WriteFile(file, []byte(line("2", "r2", "refused")), 0o600))
	out, err := runLog(t, line("1", "r1", "retry")+line("3", "r1", "refused"), "--request", "a", "-", file)
	assert.NilError(t, err)
	assert.Equal(t, out, line("1", "r1", "retry")+line("2", "r2", "refused")+line("3", "r1", "refused"))
	_, err = runLog(t, "", "--request", "b")
	assert.Equal(t, exitCode(err), exitProblems)
	_, err = runLog(t, "", filepath.Join(t.TempDir(), "missing"))
	assert.Equal(t, exitCode(err), exitUsage)
}

// Guards against JSON that scripts can't read.
func TestLogJSON(t *testing.T) {
	recorded, err := os.ReadFile("../../docs/testdata/router.log")
	assert.NilError(t, err)
	out, err := runLog(t, string(recorded), "--output", "json")
	assert.NilError(t, err)
	var summary routerlog.Summary
	assert.NilError(t, json.Unmarshal([]byte(out), &summary))
	assert.Equal(t, summary.Lines, strings.Count(string(recorded), "\n"))
	assert.Equal(t, summary.BadLines, 0)
}

// Guards against a version that does not tell which sources a router was built from.
func TestBuildCommit(t *testing.T) {
	assert.Equal(t, buildCommit(nil), "unknown commit")
	info := &debug.BuildInfo{Settings: []debug.BuildSetting{{Key: "vcs.revision", Value: "abc"}, {Key: "vcs.modified", Value: "true"}}}
	assert.Equal(t, buildCommit(info), "abc (modified)")
}
