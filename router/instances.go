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
	// instanceInterval is the time between two reads of the instance list. One
	// router reads it for all, because the list of a large fleet is several
	// times a router's budget of control traffic.
	instanceInterval = time.Second
	// instanceRefresh is the time after which admission owners are told again,
	// for owners that have changed and messages that were lost.
	instanceRefresh = 5 * time.Second
	// instancesName is the name under which the reading router is chosen.
	instancesName = "instances"
)

// instanceLister reads the platform's list of instances.
type instanceLister interface {
	Instances(ctx context.Context) (api.InstanceList, error)
}

// instanceReader reads the instance list, while this router is chosen for it,
// and tells the admission owners which of their endpoints' instances leave.
type instanceReader struct {
	lister  instanceLister
	network Network
	local   func(api.InstanceStates)
	view    func() *fleet.View
	logger  *zap.Logger
	now     func() time.Time

	seen  map[string]bool
	told  map[string]api.InstanceState
	since time.Time
}

func (r *instanceReader) run(ctx context.Context) error {
	return timing.Every(ctx, instanceInterval, func(time.Time) {
		if r.network.OwnerOf(instancesName) != r.network.Self() {
			r.seen, r.told = nil, nil
			return
		}
		r.read(ctx)
	})
}

func (r *instanceReader) read(ctx context.Context) {
	list, err := r.lister.Instances(ctx)
	if err != nil {
		// During an outage the last word stands: a leaving instance does not
		// come back by silence.
		if !errors.Is(err, objectstore.ErrUnavailable) {
			r.logger.Warn("instance list not read", zap.Error(err))
		}
		return
	}
	states := r.compare(list)
	refresh := r.now().Sub(r.since) >= instanceRefresh
	if refresh {
		r.since = r.now()
	}
	r.tell(states, refresh)
}

// compare returns the states of all instances that the list has ever named here.
// An instance that was never listed is left alone, because the list lags behind
// the release notes.
func (r *instanceReader) compare(list api.InstanceList) map[string]api.InstanceState {
	if r.seen == nil {
		r.seen = map[string]bool{}
	}
	states := map[string]api.InstanceState{}
	for _, instance := range list.Instances {
		r.seen[instance.ID] = true
		states[instance.ID] = api.InstanceState{ID: instance.ID, Leaving: instance.Leaving}
	}
	for id := range r.seen {
		if _, ok := states[id]; !ok {
			states[id] = api.InstanceState{ID: id, Gone: true}
		}
	}
	return states
}

// isNews says whether a state has to be sent. A live instance is news only after
// it was something else.
func (r *instanceReader) isNews(state api.InstanceState, refresh bool) bool {
	last, told := r.told[state.ID]
	if state.Leaving || state.Gone {
		return refresh || last != state
	}
	return told && last != state
}

// tell sends each admission owner the instances of its endpoints that have
// changed, or, at a refresh, that are not live.
func (r *instanceReader) tell(states map[string]api.InstanceState, refresh bool) {
	messages := map[string][]api.InstanceState{}
	endpoints := r.view().State().Endpoints
	for i := range endpoints {
		state, known := states[endpoints[i].Instance]
		if !known {
			continue
		}
		if !r.isNews(state, refresh) {
			continue
		}
		owner := r.network.OwnerOf(endpointOwnerName(endpoints[i].ID))
		if !slices.Contains(messages[owner], state) {
			messages[owner] = append(messages[owner], state)
		}
	}
	r.told = states
	for owner, list := range messages {
		update := api.InstanceStates{Instances: list}
		if owner == r.network.Self() {
			r.local(update)
			continue
		}
		// A lost message is repeated at the next refresh.
		_ = r.network.Send(owner, api.PeerMessage{InstanceStates: &update})
	}
}
