package router

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
	"github.com/hornbeamproxy/hornbeamproxy/placement"
)

func viewOf(revision uint64, ids ...string) *fleet.View {
	state := fleet.State{
		Revision: revision,
		Zones:    []api.Zone{{ID: "z"}},
		Models:   []api.Model{{ID: "m"}},
	}
	for _, id := range ids {
		state.Endpoints = append(state.Endpoints, api.Endpoint{ID: id, Zone: "z", Models: []string{"m"}})
	}
	return fleet.NewView(state)
}

func previousIDs(t *testing.T, h *poolHistory, view *fleet.View) map[string]bool {
	t.Helper()
	pool, ok := view.Pool("m")
	assert.Assert(t, ok)
	ids := map[string]bool{}
	for _, e := range h.previousEndpoints(pool) {
		ids[e.ID] = true
	}
	return ids
}

// Guards against a previous home that is computed from the wrong pool: one that
// contains the endpoint that joined, or lacks the one that left.
func TestPreviousPool(t *testing.T) {
	now := time.Now()
	var history poolHistory
	empty, first := viewOf(0), viewOf(1, "a", "b")
	history.update(now, empty, first)
	assert.Equal(t, len(previousIDs(t, &history, first)), 0)

	joined := viewOf(2, "a", "b", "c")
	history.update(now, first, joined)
	assert.DeepEqual(t, previousIDs(t, &history, joined), map[string]bool{"a": true, "b": true})

	left := viewOf(3, "b", "c")
	history.update(now, joined, left)
	assert.DeepEqual(t, previousIDs(t, &history, left), map[string]bool{"a": true, "b": true})

	later := now.Add(historyWindow + time.Second)
	history.update(later, left, left)
	assert.Equal(t, len(previousIDs(t, &history, left)), 0)
}

// Guards against a chat whose cache is expected at an endpoint that was not its home
// before the pool changed.
func TestPreviousHomeIsTheHomeBeforeTheChange(t *testing.T) {
	now := time.Now()
	var history poolHistory
	before, after := viewOf(1, "a", "b", "c"), viewOf(2, "a", "b", "c", "d")
	d := &dispatcher{policy: placement.Rendezvous{}, now: time.Now}
	d.index.Store(newCandidateIndex(before, &history, ""))
	homes := map[uint64]string{}
	for key := range uint64(200) {
		req := &routedRequest{pool: mustPool(t, before), placementKey: key}
		d.candidates(req)
		homes[key] = req.home
	}
	history.update(now, before, after)
	d.index.Store(newCandidateIndex(after, &history, ""))
	for key := range uint64(200) {
		req := &routedRequest{pool: mustPool(t, after), placementKey: key}
		d.candidates(req)
		assert.Equal(t, req.cachedAt.ID, homes[key], fmt.Sprint("key ", key))
	}
}

func mustPool(t *testing.T, view *fleet.View) *fleet.Pool {
	t.Helper()
	pool, ok := view.Pool("m")
	assert.Assert(t, ok)
	return pool
}

// Guards against these faults: a chat is placed in another region although the router's
// region has endpoints; a chat is refused because the router's region has none.
func TestOwnRegionComesFirst(t *testing.T) {
	state := fleet.State{
		Revision: 1,
		Zones:    []api.Zone{{ID: "z1", Region: "here"}, {ID: "z2", Region: "there"}},
		Models:   []api.Model{{ID: "m"}},
	}
	for i := range 8 {
		zone := state.Zones[i%2].ID
		state.Endpoints = append(state.Endpoints, api.Endpoint{ID: fmt.Sprint("e", i), Zone: zone, Models: []string{"m"}})
	}
	view := fleet.NewView(state)
	d := &dispatcher{policy: placement.Rendezvous{}, now: time.Now}
	for _, region := range []string{"here", "nowhere"} {
		d.index.Store(newCandidateIndex(view, &poolHistory{}, region))
		for key := range uint64(50) {
			found := d.candidates(&routedRequest{pool: mustPool(t, view), placementKey: key})
			assert.Equal(t, len(found), maxCandidates)
			if region == "here" {
				for _, e := range found[:4] {
					assert.Equal(t, e.Zone, "z1")
				}
			}
		}
	}
}
