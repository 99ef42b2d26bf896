package routing

import (
	"testing"

	"gotest.tools/v3/assert"
)

func table() *Table {
	return NewTable(Config{
		Revision: 3,
		Routes: []*Route{
			{Name: "short", Host: "A.example", Prefix: "/x/", Targets: []Target{{Service: "s", Weight: 1}}},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Targets: []Target{{Service: "s", Weight: 1}}},
			{Name: "open", Host: "b.example", Prefix: "/", Public: true},
		},
		Workspaces: []*Workspace{{Name: "w", Keys: []string{"k1", "k2"}}},
	})
}

// Guards against matching a shorter prefix than the longest, another host's route, or a
// prefix that ends within a path segment.
func TestMatch(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/yy", "short"},
		{"a.EXAMPLE:80", "/x/1", "short"},
		{"a.example", "/xy/", ""},
		{"c.example", "/x/", ""},
		{"b.example", "/any", "open"},
	} {
		route, err := table().Match(c.host, c.path)
		if c.want == "" {
			assert.ErrorIs(t, err, ErrNoRoute)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, route.Name, c.want, c.path)
	}
}

// Guards against accepting a key that belongs to no workspace, and against a public
// route that requires a key.
func TestWorkspace(t *testing.T) {
	private, public := &Route{}, &Route{Public: true}
	workspace, err := table().Workspace(private, "k2")
	assert.NilError(t, err)
	assert.Equal(t, workspace.Name, "w")
	for _, key := range []string{"", "k3"} {
		_, err = table().Workspace(private, key)
		assert.ErrorIs(t, err, ErrUnknownKey)
		workspace, err = table().Workspace(public, key)
		assert.NilError(t, err)
		assert.Assert(t, workspace == nil)
	}
	workspace, err = NewTable(Config{}).Workspace(private, "")
	assert.NilError(t, err)
	assert.Assert(t, workspace == nil)
}

// Guards against sending requests to a target of weight 0, and against a division of the
// requests that does not follow the weights.
func TestSplit(t *testing.T) {
	route := &Route{Targets: []Target{{"a", 90}, {"b", 10}, {"c", 0}}}
	counts := map[string]int{}
	for hash := range uint64(1000) {
		counts[route.PickService(hash)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 900, "b": 100})
	none := &Route{Targets: []Target{{"a", 0}, {"b", 0}}}
	assert.Equal(t, none.PickService(7), "a")
}

// Guards against repeating a request that may have run and must not run twice.
func TestRepeatable(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: Safe}, true},
		{Route{Kind: Unsafe}, false},
		{Route{Kind: Unsafe, Resumable: true}, false},
		{Route{Kind: Stream}, false},
		{Route{Kind: Stream, Resumable: true}, true},
	} {
		assert.Equal(t, c.route.Repeatable(), c.want)
	}
}
