package router

import (
	"sync/atomic"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/fleet"
)

// drains holds the time at which running work on each withdrawn endpoint ends.
type drains struct {
	ends atomic.Pointer[map[string]time.Time]
}

// update starts the drain time of endpoints that the view withdraws.
func (d *drains) update(now time.Time, view *fleet.View) {
	before := d.ends.Load()
	ends := map[string]time.Time{}
	state := view.State()
	for i := range state.Endpoints {
		id := state.Endpoints[i].ID
		if !view.EndpointWithdrawn(id) {
			continue
		}
		ends[id] = now.Add(view.Drain())
		if before == nil {
			continue
		}
		if end, ok := (*before)[id]; ok {
			ends[id] = end
		}
	}
	d.ends.Store(&ends)
}

// passed says whether the drain time of an endpoint has passed.
func (d *drains) passed(now time.Time, endpoint string) bool {
	ends := d.ends.Load()
	if ends == nil || len(*ends) == 0 {
		return false
	}
	end, ok := (*ends)[endpoint]
	return ok && now.After(end)
}
