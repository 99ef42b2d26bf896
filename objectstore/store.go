package objectstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MaxValueBytes is the size of the largest value. The platform's store accepts
// 1 MiB of text, and base64 encodes three bytes of a value as four of text, so the
// text holds 768 KiB of a value. The bound is 1 KiB below that.
const MaxValueBytes = 3<<18 - 1<<10

var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object store: object not found")
	// ErrConflict means that the object's version is not the expected one. The
	// write had no effect.
	ErrConflict = errors.New("object store: version conflict")
	// ErrUnavailable means that the call had no effect because the object API
	// could not be reached or refused it.
	ErrUnavailable = errors.New("object store: unavailable")
	// ErrRateLimited wraps ErrUnavailable: the store's rate limit is exceeded, and
	// a later call may succeed.
	ErrRateLimited = fmt.Errorf("%w: rate limited", ErrUnavailable)
	// ErrRefused wraps ErrUnavailable: the store refused this call, and repeating
	// it does not help.
	ErrRefused = fmt.Errorf("%w: refused", ErrUnavailable)
	// ErrAmbiguous means that a write may have taken effect, or may still do so.
	// The caller finds out by reading the object.
	ErrAmbiguous = errors.New("object store: outcome of write unknown")
	// ErrTooLarge means that a value exceeds MaxValueBytes, or that a response
	// exceeds the backend's size limit.
	ErrTooLarge = errors.New("object store: value too large")
)

// Object is a stored value and the version that its last write gave it. Versions
// increase with every write to the store, whatever the key. Watch reports a
// deleted object with Deleted set and no value.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
	Deleted bool
	// Status is the part of the object that is written apart from its value, and Created identifies
	// its creation. Both are empty for kinds without a status, and are then not sent to other
	// routers; earlier versions ignore them.
	Status  []byte `cbor:",omitempty"`
	Created uint64 `cbor:",omitempty"`
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
	// List reads all objects whose keys have the prefix, in key order. Errors:
	// ErrUnavailable, ErrTooLarge.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until an object under prefix has a version above since or
	// until wait has passed. It returns the newest state of each such object in
	// version order, and the version to pass as since to the next call. Errors:
	// ErrUnavailable, ErrTooLarge.
	Watch(ctx context.Context, prefix string, since uint64, wait time.Duration) ([]Object, uint64, error)
}

// ErrCompacted means that the store no longer has the history from the revision
// at which a watch starts. The caller lists the objects again.
var ErrCompacted = errors.New("object store: history compacted")

// KindReader lists and watches the objects of a kind. Keys are names within the
// kind. Implementations are safe for concurrent use.
type KindReader interface {
	// List returns all objects of the kind, and the revision from which a watch
	// returns later changes. With stale set, the objects may be seconds old, but the
	// call costs the store less. Errors: ErrUnavailable, ErrTooLarge.
	List(ctx context.Context, kind string, stale bool) ([]Object, uint64, error)
	// Watch waits until an object of the kind has changed since the revision since, or
	// until wait has passed. It returns the changed objects and the revision to
	// pass as since to the next call. Errors: ErrUnavailable, ErrTooLarge,
	// ErrCompacted.
	Watch(ctx context.Context, kind string, since uint64, wait time.Duration) ([]Object, uint64, error)
}
