package claims

import (
	"context"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

// configKey is the object that holds the fleet's number of shards.
const configKey = "claims/config"

// ErrShardCount says that a router's number of shards is not the fleet's. A key
// would have two shards and could be granted in both.
var ErrShardCount = errors.New("claims: the fleet uses another number of shards")

// CheckShards compares a router's number of shards with the fleet's, and stores
// it if there is none yet. Errors: ErrShardCount, ErrCorrupt and those of the
// store.
func CheckShards(ctx context.Context, store objectstore.Store, shards int) error {
	value, err := cbor.Marshal(api.ClaimConfig{Shards: shards})
	if err != nil {
		return fmt.Errorf("claims: encode the number of shards: %w", err)
	}
	object, err := store.Get(ctx, configKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		// Another router may create it at the same time, and a lost answer leaves
		// open whether this write did, so the object is read in every case.
		if _, putErr := store.Put(ctx, configKey, value, 0); putErr != nil && !isRaced(putErr) {
			return putErr
		}
		object, err = store.Get(ctx, configKey)
	}
	if err != nil {
		return err
	}
	var stored api.ClaimConfig
	if err := cbor.Unmarshal(object.Value, &stored); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrCorrupt, configKey, err)
	}
	if stored.Shards != shards {
		return fmt.Errorf("%w: %d, and not %d", ErrShardCount, stored.Shards, shards)
	}
	return nil
}

func isRaced(err error) bool {
	return errors.Is(err, objectstore.ErrConflict) || errors.Is(err, objectstore.ErrAmbiguous)
}
