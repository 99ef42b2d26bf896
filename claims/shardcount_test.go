package claims

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

// Guards against two routers with different numbers of shards, which map a key to
// different shards and both grant it.
func TestCheckShards(t *testing.T) {
	ctx, store := context.Background(), objectstore.NewMemory()
	assert.NilError(t, CheckShards(ctx, store, 64))
	assert.NilError(t, CheckShards(ctx, store, 64))
	assert.ErrorIs(t, CheckShards(ctx, store, 32), ErrShardCount)
}
