package docs

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against commands on the operations page that find nothing in the sample log, or
// whose output does not match the page's explanation of it.
func TestOperationsPage(t *testing.T) {
	text, err := os.ReadFile("OPERATIONS.md")
	assert.NilError(t, err)
	programs := t.TempDir()
	built, err := exec.Command("go", "build", "-o", programs, "../cmd/hornbeamproxy").CombinedOutput()
	assert.NilError(t, err, "%s", built)
	t.Setenv("PATH", programs+":"+os.Getenv("PATH"))
	found := map[string]string{}
	for _, line := range strings.Split(string(text), "\n") {
		command, ok := strings.CutPrefix(line, "    ")
		if !ok {
			continue
		}
		out, err := exec.Command("sh", "-c", command).CombinedOutput()
		assert.NilError(t, err, "%s: %s", command, out)
		found[command] = string(out)
	}
	assert.Equal(t, len(found), 9)
	for command, out := range found {
		switch {
		case strings.HasSuffix(command, "log testdata/router.log"):
			assert.Assert(t, strings.Contains(out, "answer broken or lost: upstream_failed") && strings.Contains(out, "0 bad lines"))
		case strings.Contains(command, "af9c2c558f8d965d"):
			assert.Assert(t, strings.Contains(out, `"reason":"endpoint_withdrawn"`) && strings.Contains(out, `"may_have_run":false`))
		case strings.Contains(command, "54c21c101b8df638"):
			assert.Assert(t, strings.Contains(out, `"msg":"response aborted"`) && strings.Contains(out, "unexpected EOF") && strings.Contains(out, `"sends":1`))
		case strings.Contains(command, "12ca9047f126"):
			assert.Assert(t, strings.Contains(out, `"msg":"prompt part quarantined"`) && strings.Contains(out, "no answer a1979a9a31e"))
		case strings.Contains(command, "rollout decided"):
			assert.Assert(t, strings.Contains(out, `"state":"rolled_back"`) && strings.Contains(out, `"answers":14,"failed":8,"old_answers":262,"old_failed":0`))
		case strings.Contains(command, "2158c2a1215223f2"):
			assert.Assert(t, strings.Contains(out, `"status":502`) && strings.Contains(out, "connection reset by peer") && strings.Contains(out, `"may_have_run":true`))
		}
	}
}
