package objectstore

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a write or a deletion that succeeds although the object has
// another version than the given one.
func TestMemoryPutIsConditional(t *testing.T) {
	ctx := context.Background()
	store := NewMemory()
	version, err := store.Put(ctx, "a", []byte("1"), 0)
	assert.NilError(t, err)
	_, err = store.Put(ctx, "a", []byte("2"), 0)
	assert.ErrorIs(t, err, ErrConflict)
	_, err = store.Put(ctx, "a", []byte("2"), version)
	assert.NilError(t, err)
	assert.ErrorIs(t, store.Delete(ctx, "a", version), ErrConflict)
}

// Guards against a watch that misses a change made before it was called.
func TestMemoryWatchReturnsMissedChanges(t *testing.T) {
	ctx := context.Background()
	store := NewMemory()
	version, err := store.Put(ctx, "a/1", []byte("1"), 0)
	assert.NilError(t, err)
	assert.NilError(t, store.Delete(ctx, "a/1", version))
	found, next, err := store.Watch(ctx, "a/", version, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(found), 1)
	assert.Assert(t, found[0].Deleted)
	assert.Equal(t, next, version+1)
}
