package soak

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// brokenSeeds is the number of soaks within which a broken build must be caught.
const brokenSeeds = 10

// Guards against a soak that finds nothing: each build has one promise broken in
// its source, which the repository's files do not have.
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
			"an answer that looks complete is not",
		},
		{
			"an old configuration is put back",
			[]edit{{
				"../gateway/state.go", "g.table.Store(routing.NewTable(config))",
				"old := g.table.Load()\n\tg.table.Store(routing.NewTable(config))\n\tif old != nil {\n\t\ttime.AfterFunc(3*time.Second, func() { g.table.Store(old) })\n\t}",
			}},
			"answers key",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			binary := build(t, "-overlay", overlay(t, c.edits))
			for seed := range uint64(brokenSeeds) {
				w, _ := soak(t, binary, seed+1, *steps)
				for _, problem := range w.problems {
					if strings.Contains(problem, c.problem) {
						t.Logf("found with seed %d: %s", seed+1, problem)
						return
					}
				}
			}
			t.Errorf("not found with %d seeds", brokenSeeds)
		})
	}
}

// edit replaces a text of a source file.
type edit struct{ file, from, to string }

// overlay returns the file that makes go build take changed copies of sources.
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
