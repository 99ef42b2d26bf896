package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

// The size of the largest fleet that routers are designed for.
const (
	targetWorkspaces = 3200
	targetEndpoints  = 600
)

func keySum(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// sizedNote returns a note that imports a fleet of the given size with six zones and
// three models of two adapters each.
func sizedNote(endpoints, workspaces int) api.Note {
	add := &api.NoteParts{Services: []api.Service{{ID: "orders"}}}
	for i := range 6 {
		add.Zones = append(add.Zones, api.Zone{ID: fmt.Sprintf("region-1-zone-%d", i), Region: "region-1"})
	}
	for i := range 3 {
		add.Models = append(add.Models, api.Model{ID: fmt.Sprintf("model-%d", i), Version: "v1", Adapters: []string{"a", "b"}})
	}
	for i := range endpoints {
		add.Endpoints = append(add.Endpoints, api.Endpoint{
			ID: fmt.Sprintf("endpoint-%04d", i), Instance: fmt.Sprintf("instance-%04d", i/2),
			Zone: fmt.Sprintf("region-1-zone-%d", i%6), URL: fmt.Sprintf("http://10.0.%d.%d:8000", i/250, i%250),
			Models: []string{fmt.Sprintf("model-%d", i%3)}, Adapters: []string{"a"}, MaxInflight: 32, Weight: 1.5, ChecksFencing: true,
		})
	}
	for i := range workspaces {
		id := fmt.Sprintf("workspace-%05d", i)
		add.Workspaces = append(add.Workspaces, api.Workspace{ID: id, KeySha256: keySum(id), Priority: 5, MaxInflight: 64})
	}
	return api.Note{Title: "Import", Author: "operator", Added: add}
}

func mustApply(t testing.TB, s State, note api.Note) State {
	t.Helper()
	next, err := Apply(s, note)
	assert.NilError(t, err)
	return next
}

func withdrawal(w api.NoteWithdrawals) api.Note {
	return api.Note{Title: "Withdraw", Withdrawn: &w}
}

// Guards against these faults: endpoints that depend on a withdrawn part stay in
// service; a change cannot reinstate a withdrawn part.
func TestWithdrawalAppliesToDependents(t *testing.T) {
	base := mustApply(t, State{}, sizedNote(12, 1))
	cases := map[string]struct {
		w         api.NoteWithdrawals
		endpoints int
		pool      string
		left      int
		back      api.NoteParts
	}{
		"zone":     {api.NoteWithdrawals{Zones: []string{"region-1-zone-0"}}, 2, "model-0", 2, api.NoteParts{Zones: base.Zones[:1]}},
		"instance": {api.NoteWithdrawals{Instances: []string{"instance-0000"}}, 2, "model-0", 3, api.NoteParts{Endpoints: base.Endpoints[:2]}},
		"endpoint": {api.NoteWithdrawals{Endpoints: []string{"endpoint-0000"}}, 1, "model-0", 3, api.NoteParts{Endpoints: base.Endpoints[:1]}},
		"model":    {api.NoteWithdrawals{Models: []string{"model-0"}}, 4, "model-0", 0, api.NoteParts{Models: base.Models[:1]}},
		"version":  {api.NoteWithdrawals{Versions: []string{"model-0@v1"}}, 4, "model-0@v1", 0, api.NoteParts{Models: base.Models[:1]}},
		"adapter":  {api.NoteWithdrawals{Adapters: []string{"model-0:a"}}, 0, "model-0:a", 0, api.NoteParts{Models: base.Models[:1]}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			note := withdrawal(c.w)
			next := mustApply(t, base, note)
			view := NewView(next)
			assert.Equal(t, len(view.withdrawn), c.endpoints)
			pool, ok := view.Pool(c.pool)
			assert.Assert(t, ok)
			assert.Equal(t, len(pool.Endpoints), c.left)
			assert.Assert(t, InForce(next, note))
			returned := mustApply(t, next, api.Note{Title: "Return", Changed: &c.back})
			assert.Equal(t, len(NewView(returned).withdrawn), 0)
			assert.Assert(t, !InForce(returned, note))
			pool, _ = NewView(returned).Pool(c.pool)
			assert.Equal(t, len(pool.Endpoints), 4)
			assert.Equal(t, len(NewView(base).withdrawn), 0) // the older state is unchanged
		})
	}
}

// Guards against a check that stops at the first fault in a note.
func TestApplyReportsAllProblems(t *testing.T) {
	base := mustApply(t, State{}, sizedNote(2, 1))
	note := sizedNote(0, 1)
	note.Changed = &api.NoteParts{Zones: []api.Zone{{ID: "nowhere"}}, Endpoints: []api.Endpoint{{
		ID: "endpoint-0000", Instance: "i", Zone: "z", URL: "ftp://host", Models: []string{"m"}, Weight: math.NaN(),
	}}, Workspaces: []api.Workspace{{ID: "workspace-00009", KeySha256: "00"}}}
	note.Withdrawn = &api.NoteWithdrawals{Endpoints: []string{"endpoint-0000", "none"}, Versions: []string{"model-0@v9"}}
	next, err := Apply(base, note)
	var problems Problems
	assert.Assert(t, errors.As(err, &problems))
	// 11 duplicates, 1 part both changed and withdrawn, 2 unknown changed parts,
	// 2 unknown withdrawals, 5 faults of the endpoint and 1 of the workspace.
	assert.Equal(t, len(problems), 11+1+2+2+5+1, err.Error())
	assert.Equal(t, next.Revision, base.Revision)
}

// Guards against digests that depend on the order in which a note lists its parts.
func TestDigestIgnoresOrderOfNotes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		note := sizedNote(6, 6)
		shuffled := note
		added := *note.Added
		added.Endpoints = rapid.Permutation(added.Endpoints).Draw(t, "endpoints")
		added.Workspaces = rapid.Permutation(added.Workspaces).Draw(t, "workspaces")
		shuffled.Added = &added
		a, err := Apply(State{}, note)
		assert.NilError(t, err)
		b, err := Apply(State{}, shuffled)
		assert.NilError(t, err)
		b.NoteID = a.NoteID
		data, want, err := Encode(a)
		assert.NilError(t, err)
		got, err := Digest(b)
		assert.NilError(t, err)
		assert.Equal(t, got, want)
		var decoded State
		assert.NilError(t, Unmarshal(data, &decoded))
		got, err = Digest(decoded)
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	})
}

// Guards against a lookup that accepts a withdrawn workspace or a wrong key.
func TestWorkspaceByKey(t *testing.T) {
	s := mustApply(t, State{}, sizedNote(1, 2))
	s = mustApply(t, s, withdrawal(api.NoteWithdrawals{Workspaces: []string{"workspace-00001"}}))
	view := NewView(s)
	w, ok := view.WorkspaceByKey("workspace-00000")
	assert.Assert(t, ok)
	assert.Equal(t, w.ID, "workspace-00000")
	_, ok = view.WorkspaceByKey("workspace-00001")
	assert.Assert(t, !ok)
	_, ok = view.WorkspaceByKey("")
	assert.Assert(t, !ok)
}

// Guards against a forecast of MovedChatFraction that differs by 0.01 or more from the
// share of chats that rendezvous hashing actually moves.
func TestEffectMatchesRendezvous(t *testing.T) {
	base := mustApply(t, State{}, sizedNote(12, 1))
	change := withdrawal(api.NoteWithdrawals{Zones: []string{"region-1-zone-0"}})
	heavier := base.Endpoints[3]
	heavier.Weight = 3
	change.Changed = &api.NoteParts{Endpoints: []api.Endpoint{heavier}}
	next := mustApply(t, base, change)
	effect := Diff(base, next)
	oldPool, _ := NewView(base).Pool("model-0")
	newPool, _ := NewView(next).Pool("model-0")
	moved := 0
	const chats = 100000
	for i := range chats {
		if home(oldPool, i) != home(newPool, i) {
			moved++
		}
	}
	assert.Equal(t, effect.Pools[0].Pool, "model-0")
	assert.Assert(t, math.Abs(float64(moved)/chats-effect.Pools[0].MovedChatFraction) < 0.01, "moved %d, forecast %g", moved, effect.Pools[0].MovedChatFraction)
	assert.Equal(t, effect.Pools[0].CapacityRatio, 0.5)
	assert.Equal(t, effect.Warnings[0], "pool model-0 keeps 50% of its capacity")
	assert.Equal(t, len(Diff(base, base).Pools), 0)
}

// home returns the id of a chat's home endpoint by weighted rendezvous hashing.
func home(pool *Pool, chat int) string {
	best, bestID := math.Inf(1), ""
	for _, e := range pool.Endpoints {
		sum := sha256.Sum256(fmt.Appendf(nil, "%d %s", chat, e.ID))
		uniform := (float64(sum[0])*65536 + float64(sum[1])*256 + float64(sum[2]) + 0.5) / (1 << 24)
		if score := -math.Log(uniform) / weight(e); score < best {
			best, bestID = score, e.ID
		}
	}
	return bestID
}

// Guards against these faults: the state of a fleet of the target size exceeds the
// object API's size limit; a larger state is accepted although it exceeds the limit.
func TestTargetSizeFits(t *testing.T) {
	s := mustApply(t, State{}, sizedNote(targetEndpoints, targetWorkspaces))
	data, _, err := Encode(s)
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= objectstore.MaxValueBytes)
	t.Logf("encoded state: %d bytes", len(data))
	_, err = Apply(State{}, sizedNote(targetEndpoints, 4*targetWorkspaces))
	assert.ErrorContains(t, err, "the object API holds at most")
}

func BenchmarkApply(b *testing.B) {
	s := mustApply(b, State{}, sizedNote(targetEndpoints, targetWorkspaces))
	note := withdrawal(api.NoteWithdrawals{Zones: []string{"region-1-zone-0"}})
	b.ReportAllocs()
	for b.Loop() {
		mustApply(b, s, note)
	}
}

func BenchmarkNewView(b *testing.B) {
	s := mustApply(b, State{}, sizedNote(targetEndpoints, targetWorkspaces))
	b.ReportAllocs()
	for b.Loop() {
		NewView(s)
	}
}
