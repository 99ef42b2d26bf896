package claims

import (
	"context"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

// configKey is the key of the object that holds the fleet's number of shards.
const configKey = "claims/config"

// ErrShardCount means that a router's number of shards differs from the fleet's. If two
// routers had different numbers, a key could belong to two shards and be granted in both.
var ErrShardCount = errors.New("claims: number of shards differs from the fleet's")

// CheckShards compares a router's number of shards with the one stored for the
// fleet, and stores it if none is stored yet. It returns ErrShardCount,
// ErrCorrupt or an error of the store.
func CheckShards(ctx context.Context, store objectstore.Store, shards int) error {
	value, err := cbor.Marshal(api.ClaimConfig{Shards: shards})
	if err != nil {
		return fmt.Errorf("claims: encoding the number of shards: %w", err)
	}
	object, err := store.Get(ctx, configKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		// Another router may create the object at the same time. After a lost
		// response it is unknown whether this write took effect. In every case the
		// stored number counts, so the object is read again.
		if _, putErr := store.Put(ctx, configKey, value, 0); putErr != nil && !isConflictOrAmbiguous(putErr) {
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
		return fmt.Errorf("%w: stored %d, configured %d", ErrShardCount, stored.Shards, shards)
	}
	return nil
}

func isConflictOrAmbiguous(err error) bool {
	return errors.Is(err, objectstore.ErrConflict) || errors.Is(err, objectstore.ErrAmbiguous)
}
