package router

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
)

// historyWindow is how long a change of a pool is remembered. Most chats that
// return do so within minutes.
const historyWindow = 10 * time.Minute

// poolChange is one endpoint that has joined or left a pool.
type poolChange struct {
	endpoint *api.Endpoint
	joined   bool
	at       time.Time
}

// poolHistory remembers recent changes of the pools, so that the former home of
// a chat can be computed without state per chat. It is not safe for concurrent
// use; pools are named as in the view.
type poolHistory struct {
	changes map[string]map[string]poolChange // by pool and endpoint
}

// update compares two views. Nothing is remembered of the first view, in which
// every endpoint is new.
func (h *poolHistory) update(now time.Time, before, after *fleet.View) {
	if h.changes == nil {
		h.changes = map[string]map[string]poolChange{}
	}
	h.prune(now)
	if before.Revision() == 0 {
		return
	}
	for _, pool := range after.Pools() {
		former, ok := before.Pool(pool.Name)
		if !ok {
			continue
		}
		h.compare(now, pool.Name, former, pool)
	}
}

func (h *poolHistory) compare(now time.Time, name string, before, after *fleet.Pool) {
	was := endpointsByID(before)
	is := endpointsByID(after)
	for id, e := range is {
		if was[id] == nil {
			h.record(name, poolChange{endpoint: e, joined: true, at: now})
		}
	}
	for id, e := range was {
		if is[id] == nil {
			h.record(name, poolChange{endpoint: e, at: now})
		}
	}
}

func endpointsByID(pool *fleet.Pool) map[string]*api.Endpoint {
	list := make(map[string]*api.Endpoint, len(pool.Endpoints))
	for _, e := range pool.Endpoints {
		list[e.ID] = e
	}
	return list
}

func (h *poolHistory) record(pool string, change poolChange) {
	if h.changes[pool] == nil {
		h.changes[pool] = map[string]poolChange{}
	}
	h.changes[pool][change.endpoint.ID] = change
}

func (h *poolHistory) prune(now time.Time) {
	for pool, changes := range h.changes {
		for id, change := range changes {
			if now.Sub(change.at) > historyWindow {
				delete(changes, id)
			}
		}
		if len(changes) == 0 {
			delete(h.changes, pool)
		}
	}
}

// former returns the endpoints that the pool had before its recent changes, or
// nil if there were none.
func (h *poolHistory) former(pool *fleet.Pool) []*api.Endpoint {
	changes := h.changes[pool.Name]
	if len(changes) == 0 {
		return nil
	}
	var former []*api.Endpoint
	for _, e := range pool.Endpoints {
		if !changes[e.ID].joined {
			former = append(former, e)
		}
	}
	for _, change := range changes {
		if !change.joined {
			former = append(former, change.endpoint)
		}
	}
	return former
}
