package lease

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

// outageStore fails all calls of Get and Put while down is set.
type outageStore struct {
	objectstore.Store
	down atomic.Bool
}

func (s *outageStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if s.down.Load() {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *outageStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if s.down.Load() {
		return 0, objectstore.ErrUnavailable
	}
	return s.Store.Put(ctx, key, value, ifVersion)
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timed out: %s", what)
}

// Guards against these faults: a lease is not renewed; a lease stays valid during an
// outage of the object API; a released lease does not pass to another router; goroutines
// leak.
func TestManager(t *testing.T) {
	defer goleak.VerifyNone(t)
	key := ColdKey("e")
	store := &outageStore{Store: objectstore.NewMemory()}
	config := Config{Lifetime: 300 * time.Millisecond, Margin: 50 * time.Millisecond, GrantDelay: time.Millisecond}
	manager := func(router string) *Manager {
		config.Router = router
		return NewManager(store, config, nil, nil)
	}
	a, b := manager("a"), manager("b")
	valid := func(m *Manager) bool { return m.Lease(key).Valid(time.Now()) }

	a.Acquire(key)
	waitFor(t, "a acquires", func() bool { return valid(a) })
	b.Acquire(key)
	time.Sleep(2 * config.Lifetime)
	assert.Assert(t, valid(a))
	assert.Assert(t, !valid(b))
	assert.Equal(t, a.Lease(key).Term, uint64(1))

	store.down.Store(true)
	waitFor(t, "lease lapses", func() bool { return !valid(a) })
	store.down.Store(false)
	waitFor(t, "one acquires", func() bool { return valid(a) || valid(b) })

	a.Release(key)
	assert.Assert(t, !valid(a))
	waitFor(t, "b acquires", func() bool { return valid(b) })
	assert.NilError(t, a.Close(context.Background()))
	store.down.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, b.Close(ctx), context.DeadlineExceeded)
}
