package gateway_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a failed request that is not reported to operators, and against a
// report of a request that was answered or refused as not run.
func TestReported(t *testing.T) {
	for _, c := range []struct {
		name, path string
		script     script
		want       []string
	}{
		{"answered", "/unsafe/1", answer(200, "", "ok"), nil},
		{"refused", "/unsafe/1", refuseNotRun, nil},
		{"failed by its endpoint", "/unsafe/1", answer(500, "", "no"), nil},
		{"cut before the response", "/unsafe/1", closeWithoutResponse, []string{"unknown r1 w upstream_failed"}},
		{"cut within the response", "/unsafe/1", truncated, []string{"unknown r1 w upstream_incomplete"}},
		{"stream cut", "/report/1", events(1, 3, false), []string{"broken report upstream_incomplete"}},
		{"safe, cut each time", "/safe/1", closeWithoutResponse, []string{"broken safe upstream_failed"}},
	} {
		f := newTestGateway(t, newEndpoint(t, "e1", c.script)).configure()
		_, _, _ = f.do(t, c.path)
		assert.DeepEqual(t, f.reporter.take(), c.want)
	}
}
