package claims

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

func testOwner(store objectstore.Store) *Owner {
	cfg := DefaultOwnerConfig("r1")
	cfg.Shards = 1
	cfg.CommitInterval = time.Millisecond
	return NewOwner(cfg, store, SystemClock{})
}

// Concurrent callers claim the same keys at two owners. Guards against a key that is
// granted twice and against goroutines that outlive their work.
func TestOwnersGrantOnce(t *testing.T) {
	defer goleak.VerifyNone(t)
	store := objectstore.NewMemory()
	owners := []*Owner{testOwner(store), testOwner(store)}
	var granted atomic.Int32
	var callers sync.WaitGroup
	for i := range 64 {
		callers.Go(func() {
			request := claimOf(fmt.Sprintf("k%d", i%8), fmt.Sprintf("a%d", i))
			for range 100 {
				reply := owners[i%2].Handle(context.Background(), request)
				if reply.Result == api.ClaimResultGranted {
					granted.Add(1)
				}
				if reply.Result != api.ClaimResultUnavailable {
					return
				}
			}
		})
	}
	callers.Wait()
	assert.Equal(t, granted.Load(), int32(8))
	owners[0].SetOwned(nil)
	owners[0].Close()
	owners[1].Close()
}

// blockedStore blocks every read until its context ends.
type blockedStore struct{ objectstore.Store }

func (blockedStore) Get(ctx context.Context, _ string) (objectstore.Object, error) {
	<-ctx.Done()
	return objectstore.Object{}, objectstore.ErrUnavailable
}

// Guards against callers that wait beyond their deadline while the object API does
// not respond.
func TestHandleReturnsAtDeadline(t *testing.T) {
	defer goleak.VerifyNone(t)
	owner := testOwner(blockedStore{objectstore.NewMemory()})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	reply := owner.Handle(ctx, claimOf("k", "a"))
	assert.DeepEqual(t, reply, api.ClaimReply{Result: api.ClaimResultUnavailable, NotClaimed: true})
	owner.Close()
}

// Guards against a key that is granted in the journal of a wrong shard, because the
// router that sends the claim uses another number of shards than the owner.
func TestOwnerRefusesWrongShard(t *testing.T) {
	owner := testOwner(objectstore.NewMemory())
	defer owner.Close()
	request := claimOf("k", "a")
	request.Shard = 1
	reply := owner.Handle(context.Background(), request)
	assert.DeepEqual(t, reply, api.ClaimReply{Result: api.ClaimResultUnavailable, NotClaimed: true})
}
