package soak

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// maxSeeds is the largest number of soaks of a broken build, with the seeds 1 to maxSeeds.
// At least one of them must detect that the build is broken.
const maxSeeds = 10

// Guards against a soak that detects no faults. Each case builds the binary from edited
// source that breaks one guarantee, and the soak must report the violation. The edits are
// made in an overlay of go build, so that the files of the repository don't change.
func TestSoakFindsBrokenBuilds(t *testing.T) {
	for _, c := range []struct {
		name    string
		edits   []edit
		problem string
	}{
		{
			"an unsafe request is sent again after a reset",
			[]edit{{"../gateway/exchange.go", "Repeat: retry.IfNotRun,", "Repeat: retry.Idempotent,"}},
			"ran 2 times",
		},
		{
			"a stream is joined from two runs",
			[]edit{
				{"../gateway/attempt.go", "ResumeAfter: x.stream.lastID,", ""},
				{"../gateway/stream.go", "out = x.stream.unseen(out)", ""},
			},
			"a response that looks complete is not",
		},
		{
			"an old configuration is put back",
			[]edit{{
				"../gateway/state.go", "g.table.Store(routing.NewTable(config))",
				"old := g.table.Load()\n\tg.table.Store(routing.NewTable(config))\n\tif old != nil {\n\t\ttime.AfterFunc(3*time.Second, func() { g.table.Store(old) })\n\t}",
			}},
			"answers key",
		},
		{
			"an endpoint that leaves gets new work",
			[]edit{{"../gateway/attempt.go", "x.noteLeaving(state.Endpoint, head)", ""}},
			"that it leaves",
		},
		{
			"an endpoint that asks for a pause is pressed",
			[]edit{{"../balance/balance.go", "if s.paused(now) {", "if false {"}},
			"within its pause",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			binary := build(t, "-overlay", overlay(t, c.edits))
			for seed := range uint64(maxSeeds) {
				h, _ := runSoak(t, binary, seed+1, *steps)
				for _, problem := range h.problems {
					if strings.Contains(problem, c.problem) {
						t.Logf("found with seed %d: %s", seed+1, problem)
						return
					}
				}
			}
			t.Errorf("not found with %d seeds", maxSeeds)
		})
	}
}

// edit replaces the first occurrence of a text in a source file.
type edit struct{ file, from, to string }

// overlay writes edited copies of source files and returns the path of a file for the
// option -overlay of go build, which makes go build use the copies.
func overlay(t *testing.T, edits []edit) string {
	t.Helper()
	dir := t.TempDir()
	replace := map[string]string{}
	for _, e := range edits {
		text, err := os.ReadFile(e.file)
		assert.NilError(t, err)
		changed := strings.Replace(string(text), e.from, e.to, 1)
		assert.Assert(t, changed != string(text), "%s has no %q", e.file, e.from)
		copied := filepath.Join(dir, filepath.Base(e.file))
		assert.NilError(t, os.WriteFile(copied, []byte(changed), 0o600))
		original, err := filepath.Abs(e.file)
		assert.NilError(t, err)
		replace[original] = copied
	}
	list, err := json.Marshal(map[string]any{"Replace": replace})
	assert.NilError(t, err)
	path := filepath.Join(dir, "overlay.json")
	assert.NilError(t, os.WriteFile(path, list, 0o600))
	return path
}
