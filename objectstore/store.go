package objectstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MaxValueBytes is the largest value that the product stores: the platform's
// store holds 1 MiB in text, of which four bytes carry three of a value.
const MaxValueBytes = 3<<18 - 1<<10

var (
	// ErrNotFound says that the object does not exist.
	ErrNotFound = errors.New("object store: object not found")
	// ErrConflict says that the object's version is not the expected one. The
	// write had no effect.
	ErrConflict = errors.New("object store: version conflict")
	// ErrUnavailable says that the call had no effect because the object API
	// could not be reached or refused it.
	ErrUnavailable = errors.New("object store: unavailable")
	// ErrRateLimited is an ErrUnavailable: the store takes no more calls for now.
	ErrRateLimited = fmt.Errorf("%w: rate limited", ErrUnavailable)
	// ErrRefused is an ErrUnavailable: the store will not take this call.
	ErrRefused = fmt.Errorf("%w: refused", ErrUnavailable)
	// ErrAmbiguous says that a write may have taken effect, or may still do so.
	// The caller resolves it by reading.
	ErrAmbiguous = errors.New("object store: outcome of write unknown")
	// ErrTooLarge says that a value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("object store: value too large")
)

// Object is one stored value with the version that its last write gave it.
// Versions rise over the whole store. A deleted object is reported by Watch
// with Deleted set and no value.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
	Deleted bool
}

// Store is the platform's object API. Implementations are safe for concurrent
// use.
type Store interface {
	// Get reads one object. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes an object whose version is still ifVersion and returns its new
	// version; ifVersion 0 creates the object. Errors: ErrConflict,
	// ErrUnavailable, ErrAmbiguous, ErrTooLarge.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
	// Delete removes an object whose version is still ifVersion. Errors:
	// ErrNotFound, ErrConflict, ErrUnavailable, ErrAmbiguous.
	Delete(ctx context.Context, key string, ifVersion uint64) error
	// List reads all objects whose keys have the prefix, in key order.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until an object under prefix has a version above since, or
	// until wait has passed. It returns the newest state of each such object in
	// version order, and the version to pass as since to the next call.
	Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]Object, uint64, error)
}

// ErrCompacted says that the store no longer has the history that a watch asks
// for. The caller lists the objects again.
var ErrCompacted = errors.New("object store: history compacted")

// Source lists and watches the objects of a kind. Keys are names within the
// kind. Implementations are safe for concurrent use.
type Source interface {
	// List returns all objects of the kind, and the revision from which a watch
	// sees what came after. A stale list is cheaper and may be seconds old.
	// Errors: ErrUnavailable.
	List(ctx context.Context, kind string, stale bool) ([]Object, uint64, error)
	// Watch waits for changes after the revision. Errors: ErrUnavailable,
	// ErrCompacted.
	Watch(ctx context.Context, kind string, since uint64, wait time.Duration) ([]Object, uint64, error)
}
