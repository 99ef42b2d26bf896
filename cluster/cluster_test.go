package cluster

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
	"github.com/hornbeamproxy/hornbeamproxy/peer"
)

// Guards against goroutines that keep running after the cluster is closed.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// outageStore is a Store whose reads can be made unavailable.
type outageStore struct {
	objectstore.Store
	down atomic.Bool
}

func (o *outageStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if o.down.Load() {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	return o.Store.Get(ctx, key)
}

func (o *outageStore) List(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	if o.down.Load() {
		return nil, objectstore.ErrUnavailable
	}
	return o.Store.List(ctx, prefix)
}

type router struct {
	*Cluster
	id     string
	server *httptest.Server
	stop   func()
}

func startRouter(t *testing.T, i int, store objectstore.Store, seeds ...string) *router {
	t.Helper()
	r := &router{id: fmt.Sprintf("router-%d", i), server: httptest.NewUnstartedServer(nil)}
	cluster, err := New(Options{
		Self: api.RouterRegistration{
			ID: r.id, PeerAddress: r.server.Listener.Addr().String(), Zone: fmt.Sprintf("zone-%d", i%2),
		},
		Seeds: seeds, Store: store,
		RefreshInterval: 300 * time.Millisecond, ListInterval: 300 * time.Millisecond, RewriteInterval: 600 * time.Millisecond,
		Transport: peer.Options{Secret: []byte("secret"), InitialBackoff: 20 * time.Millisecond},
		Handler: peer.HandlerFunc(func(context.Context, string, api.PeerMessage) *api.PeerMessage {
			return &api.PeerMessage{PermitReply: &api.PermitReply{Permit: 1}}
		}),
	})
	assert.NilError(t, err)
	r.Cluster = cluster
	r.server.Config.Handler = cluster.Transport()
	r.server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = cluster.Run(ctx)
	}()
	r.stop = func() {
		cancel()
		<-done
		cluster.Transport().Close()
		r.server.Close()
	}
	t.Cleanup(r.stop)
	return r
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(10*time.Second))
}

func allSeeOwners(routers []*router, n int) func() bool {
	return func() bool {
		for _, r := range routers {
			if len(r.EligibleOwners().IDs) != n {
				return false
			}
		}
		return true
	}
}

// Guards against these faults: routers do not discover each other through their
// registrations; they disagree about the owner of a resource; a revision or the load of
// a pool does not reach all of them; a router that left stays an owner or stays
// registered.
func TestRoutersFindEachOtherAndLeave(t *testing.T) {
	store := objectstore.NewMemory()
	var routers []*router
	for i := range 5 {
		routers = append(routers, startRouter(t, i, store))
	}
	eventually(t, "five owners everywhere", allSeeOwners(routers, 5))
	owner, address := routers[0].OwnerOf("endpoint-1")
	assert.Equal(t, testing.AllocsPerRun(10, func() { routers[0].OwnerOf("endpoint-1") }), 0.0)
	for _, r := range routers {
		id, at := r.OwnerOf("endpoint-1")
		assert.Equal(t, id, owner)
		assert.Equal(t, at, address)
		assert.Assert(t, !r.LastPeerContact().IsZero())
		r.SetPoolCounts([]api.PoolCount{{M: "m", N: 2, F: 3}})
	}
	_, err := routers[1].Transport().Call(t.Context(), address, api.PeerMessage{PermitRequest: &api.PermitRequest{}})
	if owner != "router-1" {
		assert.NilError(t, err)
	}
	routers[2].SetRevision(7)
	eventually(t, "revision and loads everywhere", func() bool {
		for _, r := range routers {
			revision, _, at := r.HighestRevision()
			if load := r.PoolLoad("m"); revision != 7 || at == "" || load.Inflight != 15 || load.Ready != 10 {
				return false
			}
		}
		return true
	})
	routers[4].stop()
	eventually(t, "four owners", allSeeOwners(routers[:4], 4))
	_, err = store.Get(t.Context(), RegistrationPrefix+"router-4")
	assert.Assert(t, errors.Is(err, objectstore.ErrNotFound))
}

// Guards against two faults: a router cannot join through its seeds while the object API
// is unavailable; a router does not register once the object API is available again.
func TestSeedsWithoutStore(t *testing.T) {
	store := &outageStore{Store: objectstore.NewMemory()}
	store.down.Store(true)
	first := startRouter(t, 0, store)
	second := startRouter(t, 1, store, first.server.Listener.Addr().String())
	eventually(t, "two owners", allSeeOwners([]*router{first, second}, 2))
	store.down.Store(false)
	eventually(t, "two registrations", func() bool {
		objects, _ := store.List(t.Context(), RegistrationPrefix)
		return len(objects) == 2
	})
}

// Guards against two faults: a router stays an owner although the connection to it
// failed; a router that was restarted does not become an owner again.
func TestFailedConnectionMovesOwnership(t *testing.T) {
	store := objectstore.NewMemory()
	routers := []*router{startRouter(t, 0, store), startRouter(t, 1, store)}
	eventually(t, "two owners", allSeeOwners(routers, 2))
	routers[1].Transport().Close()
	started := time.Now()
	eventually(t, "one owner", allSeeOwners(routers[:1], 1))
	assert.Assert(t, time.Since(started) < time.Second)
	routers[1].stop()
	eventually(t, "two owners again", allSeeOwners([]*router{routers[0], startRouter(t, 1, store)}, 2))
}

// Guards against registrations of crashed routers that accumulate, and against the
// removal of registrations of live routers.
func TestAbandonedRegistrationIsRemoved(t *testing.T) {
	store := objectstore.NewMemory()
	_, err := store.Put(t.Context(), RegistrationPrefix+"gone", []byte{0xa0}, 0)
	assert.NilError(t, err)
	routers := []*router{startRouter(t, 0, store), startRouter(t, 1, store)}
	eventually(t, "abandoned registration removed", func() bool {
		_, err := store.Get(t.Context(), RegistrationPrefix+"gone")
		return errors.Is(err, objectstore.ErrNotFound)
	})
	for _, r := range routers {
		_, err := store.Get(t.Context(), RegistrationPrefix+r.id)
		assert.NilError(t, err)
	}
}

// Guards against two faults: a router in contact with peers lists all registrations
// often; a router without contact lists them rarely.
func TestRegistrationsAreListedRarelyWhilePeersAreHeard(t *testing.T) {
	c, err := New(Options{
		Self:  api.RouterRegistration{ID: "a", PeerAddress: "127.0.0.1:1", Zone: "z"},
		Store: objectstore.NewMemory(), Transport: peer.Options{Secret: []byte("secret")},
	})
	assert.NilError(t, err)
	defer c.Transport().Close()
	now := time.Now()
	c.listedAt = now
	c.recordContact()
	assert.Assert(t, c.listDue(now), "alone")
	c.owners.Store(&EligibleOwners{IDs: []string{"a", "b"}})
	assert.Assert(t, !c.listDue(now.Add(29*time.Second)), "in contact with peers")
	assert.Assert(t, c.listDue(now.Add(31*time.Second)), "no peer contact for the refresh interval")
	// Moves the last contact 5 min ahead, so that the router stays in contact with peers
	// until then.
	c.started = c.started.Add(5 * time.Minute)
	assert.Assert(t, !c.listDue(now.Add(5*time.Minute-time.Second)))
	assert.Assert(t, c.listDue(now.Add(5*time.Minute)))
}
