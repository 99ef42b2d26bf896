package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/gateway"
)

// Guards against output that lacks the choice or the reason of an exclusion, against JSON that can't
// be read back, and against a success when the router refuses the query.
func TestExplainCommand(t *testing.T) {
	want := gateway.Explanation{Route: "chat", Service: "s", Chosen: "i-1", Members: 2, ByWork: true, Listed: []gateway.ExplainedEndpoint{
		{ID: "i-1", Zone: "z", Version: "v1", Load: 3, Speed: 1.5, ExpectedMS: 40},
		{ID: "i-2", Zone: "z", Version: "v1", Excluded: "paused"},
	}}
	status := http.StatusOK
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(want)
	}))
	defer router.Close()
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		app := kingpin.New("hornbeamproxy", "")
		addExplainCommandTo(app, &out)
		_, err := app.Parse(append([]string{"explain", "--router", router.Listener.Addr().String(), "--host", "h", "--path", "/x"}, args...))
		return out.String(), err
	}
	text, err := run("--key", "k")
	assert.NilError(t, err)
	for _, part := range []string{"chosen   i-1", "40.0 ms", "1.50", "paused"} {
		assert.Assert(t, strings.Contains(text, part), "%s is missing in:\n%s", part, text)
	}
	text, err = run("--output", "json")
	assert.NilError(t, err)
	var got gateway.Explanation
	assert.NilError(t, json.Unmarshal([]byte(text), &got))
	assert.DeepEqual(t, got, want)
	status = http.StatusBadRequest
	_, err = run()
	assert.Equal(t, exitCode(err), exitUsage)
}
