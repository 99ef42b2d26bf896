package router

import (
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
)

// historyWindow is how long a change of a pool is remembered. Most chats that
// continue do so within minutes.
const historyWindow = 10 * time.Minute

// poolChange is one endpoint that has joined or left a pool.
type poolChange struct {
	endpoint *api.Endpoint
	joined   bool // false if it has left
	at       time.Time
}

// poolHistory holds the recent changes of the pools. From them the endpoint that was a
// chat's home before the changes can be computed without state per chat. It is not safe
// for concurrent use.
type poolHistory struct {
	changes map[string]map[string]poolChange // by pool name and endpoint id
}

// update records the differences between two views and forgets changes older than
// historyWindow. The first view is not recorded, because every endpoint in it is new.
func (h *poolHistory) update(now time.Time, before, after *fleet.View) {
	if h.changes == nil {
		h.changes = map[string]map[string]poolChange{}
	}
	h.prune(now)
	if before.Revision() == 0 {
		return
	}
	for _, pool := range after.Pools() {
		previous, ok := before.Pool(pool.Name)
		if !ok {
			continue
		}
		h.compare(now, pool.Name, previous, pool)
	}
}

func (h *poolHistory) compare(now time.Time, name string, before, after *fleet.Pool) {
	old := endpointsByID(before)
	current := endpointsByID(after)
	for id, e := range current {
		if old[id] == nil {
			h.record(name, poolChange{endpoint: e, joined: true, at: now})
		}
	}
	for id, e := range old {
		if current[id] == nil {
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

// previousEndpoints returns the endpoints that the pool had before its recent
// changes, or nil if it had no recent changes.
func (h *poolHistory) previousEndpoints(pool *fleet.Pool) []*api.Endpoint {
	changes := h.changes[pool.Name]
	if len(changes) == 0 {
		return nil
	}
	var previous []*api.Endpoint
	for _, e := range pool.Endpoints {
		if !changes[e.ID].joined {
			previous = append(previous, e)
		}
	}
	for _, change := range changes {
		if !change.joined {
			previous = append(previous, change.endpoint)
		}
	}
	return previous
}
