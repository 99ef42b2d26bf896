package claims

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

// racingStore calls the function in its field before, once, ahead of the next write.
type racingStore struct {
	objectstore.Store
	before func()
}

func (s *racingStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if before := s.before; before != nil {
		s.before = nil
		before()
	}
	return s.Store.Put(ctx, key, value, ifVersion)
}

// Guards against a write that lost a race to another owner but is treated as committed.
// This happens if a shard that was freed and created again reuses a batch id that the
// shard's head object already lists.
func TestReacquiredShardDoesNotRepeatBatchIDs(t *testing.T) {
	memory := objectstore.NewMemory()
	store := &racingStore{Store: memory}
	first, second := testOwner(store), testOwner(memory)
	defer first.Close()
	defer second.Close()
	ctx := context.Background()
	assert.Equal(t, first.Handle(ctx, claimOf("k1", "a1")).Result, api.ClaimResultGranted)
	for len(first.shards) > 0 { // a shard is freed once its goroutine has ended
		first.SetOwned(nil)
	}
	var other api.ClaimReply
	store.before = func() { other = second.Handle(ctx, claimOf("k2", "a2")) }
	reply := first.Handle(ctx, claimOf("k2", "a3"))
	assert.Equal(t, other.Result, api.ClaimResultGranted)
	assert.Assert(t, reply.Result != api.ClaimResultGranted, "two owners granted one key")
}
