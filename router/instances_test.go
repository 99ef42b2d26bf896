package router

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

type fakeLister struct {
	list api.InstanceList
	err  error
}

func (l *fakeLister) Instances(context.Context) (api.InstanceList, error) { return l.list, l.err }

// Guards against these faults: the state of a leaving instance is not sent to the
// admission owner; an instance that was never listed counts as gone; an instance counts
// as live again because the list can't be read.
func TestInstanceReaderTellsOwners(t *testing.T) {
	state := fleet.State{Revision: 1, Zones: []api.Zone{{ID: "z"}}, Models: []api.Model{{ID: "m"}}}
	for _, id := range []string{"a", "b", "new"} {
		state.Endpoints = append(state.Endpoints, api.Endpoint{ID: "e-" + id, Instance: id, Zone: "z", Models: []string{"m"}})
	}
	view := fleet.NewView(state)
	lister := &fakeLister{list: api.InstanceList{Instances: []api.Instance{{ID: "a"}, {ID: "b"}}}}
	var delivered []api.InstanceState
	now := time.Now()
	reader := &instanceReader{
		lister:  lister,
		network: &fakeNetwork{owner: "self"},
		local:   func(update api.InstanceStates) { delivered = append(delivered, update.Instances...) },
		view:    func() *fleet.View { return view },
		logger:  zap.NewNop(),
		now:     func() time.Time { return now },
	}
	read := func() []api.InstanceState {
		delivered = nil
		now = now.Add(time.Second)
		reader.read(context.Background())
		return delivered
	}
	assert.Equal(t, len(read()), 0)
	lister.list.Instances = []api.Instance{{ID: "a", Leaving: true}}
	assert.DeepEqual(t, read(), []api.InstanceState{{ID: "a", Leaving: true}, {ID: "b", Gone: true}})
	assert.Equal(t, len(read()), 0)
	lister.err = objectstore.ErrUnavailable
	assert.Equal(t, len(read()), 0)
	lister.err = nil
	now = now.Add(instanceRefreshInterval)
	assert.Equal(t, len(read()), 2)
	lister.list.Instances = []api.Instance{{ID: "a"}, {ID: "b"}}
	assert.DeepEqual(t, read(), []api.InstanceState{{ID: "a"}, {ID: "b"}})
}
