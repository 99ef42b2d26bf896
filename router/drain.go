package router

import (
	"sync/atomic"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/fleet"
)

// drainDeadlines holds, for each withdrawn endpoint, the time after which its running
// streams continue at other endpoints.
type drainDeadlines struct {
	byEndpoint atomic.Pointer[map[string]time.Time] // endpoint id -> deadline
}

// update sets the deadlines of the endpoints that are withdrawn in the view. Endpoints
// that were withdrawn before keep theirs.
func (d *drainDeadlines) update(now time.Time, view *fleet.View) {
	before := d.byEndpoint.Load()
	ends := map[string]time.Time{}
	state := view.State()
	for i := range state.Endpoints {
		id := state.Endpoints[i].ID
		if !view.EndpointWithdrawn(id) {
			continue
		}
		ends[id] = now.Add(view.DrainTime())
		if before == nil {
			continue
		}
		if end, ok := (*before)[id]; ok {
			ends[id] = end
		}
	}
	d.byEndpoint.Store(&ends)
}

// passed reports whether the endpoint's drain deadline has passed.
func (d *drainDeadlines) passed(now time.Time, endpoint string) bool {
	ends := d.byEndpoint.Load()
	if ends == nil || len(*ends) == 0 {
		return false
	}
	end, ok := (*ends)[endpoint]
	return ok && now.After(end)
}
