package router

import (
	"sort"

	"github.com/hornbeamproxy/hornbeamproxy/admin"
	"github.com/hornbeamproxy/hornbeamproxy/admission"
	"github.com/hornbeamproxy/hornbeamproxy/notes"
	"github.com/hornbeamproxy/hornbeamproxy/records"
)

// State implements admin.Router.
func (r *Router) State() admin.State {
	return admin.State{
		Router:    r.settings.Router.ID,
		Zone:      r.settings.Router.Zone,
		Ready:     r.Ready(),
		Revision:  r.view().Revision(),
		Endpoints: r.owner.states(),
	}
}

func (o *admissionOwner) states() []admin.EndpointState {
	states := []admin.EndpointState{}
	for _, owned := range o.snapshot() {
		owned.mu.Lock()
		state := admin.EndpointState{
			Endpoint: owned.endpoint.ID,
			Zone:     owned.endpoint.Zone,
			State:    owned.machine.State().String(),
		}
		owned.mu.Unlock()
		o.gates.Do(state.Endpoint, func(g *admission.Gate) { state.Inflight = g.Inflight() })
		states = append(states, state)
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Endpoint < states[j].Endpoint })
	return states
}

// Acceptor returns the acceptor of release notes.
func (r *Router) Acceptor() *notes.Acceptor { return r.acceptor }

// Records returns the component that collects and writes failure records.
func (r *Router) Records() *records.Recorder { return r.records }

// Syncer returns the syncer of release notes.
func (r *Router) Syncer() *notes.Syncer { return r.syncer }
