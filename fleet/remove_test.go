package fleet

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

func removalState(t *testing.T) State {
	t.Helper()
	state, err := Apply(State{}, api.Note{Title: "add", Added: &api.NoteParts{
		Zones:  []api.Zone{{ID: "z1"}, {ID: "z2"}},
		Models: []api.Model{{ID: "m"}},
		Endpoints: []api.Endpoint{
			{ID: "e1", Instance: "i1", Zone: "z1", URL: "http://127.0.0.1:1", Models: []string{"m"}, MaxInflight: 1},
			{ID: "e2", Instance: "i2", Zone: "z2", URL: "http://127.0.0.1:2", Models: []string{"m"}, MaxInflight: 1},
		},
	}})
	assert.NilError(t, err)
	return state
}

// Guards against a state that grows with every replaced endpoint until it exceeds its
// size limit, and against removals of parts that are still in use.
func TestRemoveWithdrawnParts(t *testing.T) {
	state := removalState(t)
	_, err := Apply(state, api.Note{Title: "remove", Removed: &api.NoteRemovals{
		Endpoints: []string{"e1", "none"}, Zones: []string{"z1"}, Models: []string{"m"},
	}})
	assert.ErrorContains(t, err, `removed.endpoints[0]: "e1" is not withdrawn`)
	assert.ErrorContains(t, err, `removed.endpoints[1]: "none" does not exist`)
	assert.ErrorContains(t, err, `removed.zones[0]: "z1" is not withdrawn`)
	assert.ErrorContains(t, err, `removed.models[0]: "m" is not withdrawn`)

	both := api.Note{
		Title:     "both",
		Withdrawn: &api.NoteWithdrawals{Endpoints: []string{"e1"}},
		Removed:   &api.NoteRemovals{Endpoints: []string{"e1"}},
	}
	_, err = Apply(state, both)
	assert.ErrorContains(t, err, `"e1" is withdrawn by the same note`)

	state, err = Apply(state, api.Note{Title: "withdraw", Withdrawn: &api.NoteWithdrawals{
		Endpoints: []string{"e1"}, Zones: []string{"z1", "z2"},
	}})
	assert.NilError(t, err)
	_, err = Apply(state, api.Note{Title: "remove", Removed: &api.NoteRemovals{Zones: []string{"z2"}}})
	assert.ErrorContains(t, err, `"z2" is used by endpoint e2`)
	next, err := Apply(state, api.Note{Title: "remove", Removed: &api.NoteRemovals{
		Zones: []string{"z1"}, Endpoints: []string{"e1"},
	}})
	assert.NilError(t, err)
	assert.Equal(t, len(next.Zones), 1)
	assert.Equal(t, len(next.Endpoints), 1)
	assert.Equal(t, len(state.Endpoints), 2)
}
