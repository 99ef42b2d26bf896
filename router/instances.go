package router

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
	"github.com/hornbeamproxy/hornbeamproxy/timing"
)

const (
	// instanceReadInterval is the time between two reads of the instance list.
	// One router reads it for all, because reading the list of a large fleet takes
	// several times the control traffic that a router may use.
	instanceReadInterval = time.Second
	// instanceRefreshInterval is the time after which the states of leaving and
	// gone instances are sent to the admission owners again, because an owner may
	// have changed or a message may have been lost.
	instanceRefreshInterval = 5 * time.Second
	// instancesOwnershipKey is the name whose owner reads the instance list.
	instancesOwnershipKey = "instances"
)

// instanceLister reads the platform's list of instances.
type instanceLister interface {
	Instances(ctx context.Context) (api.InstanceList, error)
}

// instanceReader reads the instance list while this router owns
// instancesOwnershipKey. It reports to each admission owner which instances of the
// endpoints that it owns are leaving or gone.
type instanceReader struct {
	lister  instanceLister
	network Network
	local   func(api.InstanceStates) // called when this router is the admission owner
	view    func() *fleet.View
	logger  *zap.Logger
	now     func() time.Time

	// listed holds the ids of the instances that were in the list at least once
	// since this router started to read it.
	listed map[string]bool
	// lastStates holds the states at the previous successful read, by instance id.
	lastStates  map[string]api.InstanceState
	lastRefresh time.Time
}

func (r *instanceReader) run(ctx context.Context) error {
	return timing.Every(ctx, instanceReadInterval, func(time.Time) {
		if r.network.OwnerOf(instancesOwnershipKey) != r.network.Self() {
			r.listed, r.lastStates = nil, nil
			return
		}
		r.read(ctx)
	})
}

func (r *instanceReader) read(ctx context.Context) {
	list, err := r.lister.Instances(ctx)
	if err != nil {
		// During an outage the last known states stay in force. An instance that was
		// leaving must not count as live just because the list is unavailable.
		if !errors.Is(err, objectstore.ErrUnavailable) {
			r.logger.Warn("reading the instance list failed", zap.Error(err))
		}
		return
	}
	states := r.instanceStates(list)
	refresh := r.now().Sub(r.lastRefresh) >= instanceRefreshInterval
	if refresh {
		r.lastRefresh = r.now()
	}
	r.sendStates(states, refresh)
}

// instanceStates returns the states of all instances that were in the list at least
// once since this router started to read it. An instance that was never listed does
// not count as gone, because the list lags behind the release notes.
func (r *instanceReader) instanceStates(list api.InstanceList) map[string]api.InstanceState {
	if r.listed == nil {
		r.listed = map[string]bool{}
	}
	states := map[string]api.InstanceState{}
	for _, instance := range list.Instances {
		r.listed[instance.ID] = true
		states[instance.ID] = api.InstanceState{ID: instance.ID, Leaving: instance.Leaving}
	}
	for id := range r.listed {
		if _, ok := states[id]; !ok {
			states[id] = api.InstanceState{ID: id, Gone: true}
		}
	}
	return states
}

// needsSending reports whether a state has to be sent. The state of a live instance
// is sent only if the instance was leaving or gone before.
func (r *instanceReader) needsSending(state api.InstanceState, refresh bool) bool {
	last, known := r.lastStates[state.ID]
	if state.Leaving || state.Gone {
		return refresh || last != state
	}
	return known && last != state
}

// sendStates sends each admission owner the states of the instances that its endpoints
// run on: those that have changed and, if refresh is set, also the unchanged ones of
// instances that are leaving or gone.
func (r *instanceReader) sendStates(states map[string]api.InstanceState, refresh bool) {
	messages := map[string][]api.InstanceState{}
	endpoints := r.view().State().Endpoints
	for i := range endpoints {
		state, known := states[endpoints[i].Instance]
		if !known {
			continue
		}
		if !r.needsSending(state, refresh) {
			continue
		}
		owner := r.network.OwnerOf(endpointOwnershipKey(endpoints[i].ID))
		if !slices.Contains(messages[owner], state) {
			messages[owner] = append(messages[owner], state)
		}
	}
	r.lastStates = states
	for owner, list := range messages {
		update := api.InstanceStates{Instances: list}
		if owner == r.network.Self() {
			r.local(update)
			continue
		}
		// The next refresh makes up for a lost message.
		_ = r.network.Send(owner, api.PeerMessage{InstanceStates: &update})
	}
}
