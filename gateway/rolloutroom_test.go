package gateway_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/rollout"
)

// Guards against a room that counts slots which requests may not use: those of a target beyond its
// share, and those of a version that was rolled back.
func TestRoomDuringRollout(t *testing.T) {
	v := newVersionedGateway(t, answer(200, "", "old"), answer(200, "", "new")) // 64 slots each
	assert.Equal(t, v.RoomSlots("s"), 64, "without a status")
	v.status(rollout.Running, 0.2)
	assert.Equal(t, v.RoomSlots("s"), 80, "a fifth may go to the target")
	v.status(rollout.Running, 0.9)
	assert.Equal(t, v.RoomSlots("s"), 128)
	v.status(rollout.Running, 1)
	assert.Equal(t, v.RoomSlots("s"), 128)
	v.status(rollout.RolledBack, 0)
	assert.Equal(t, v.RoomSlots("s"), 64, "rolled back")
	v.ClearRollout("s")
	assert.Equal(t, v.RoomSlots("s"), 64, "rolled back, and the order deleted")
}
