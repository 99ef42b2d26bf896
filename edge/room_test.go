package edge

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/config"
)

// Guards against messages of demand in deployments that do not share the room of services.
func TestRoomDemandsOnlyIfShared(t *testing.T) {
	settings := &config.EdgeSettings{}
	p := &process{options: Options{Settings: settings}}
	settings.Demand.SharedRoom = config.Auto
	demands, receive := p.roomDemands()
	assert.Assert(t, demands == nil && receive == nil)
	settings.Router.Features = []string{config.FeaturePressure}
	demands, receive = p.roomDemands()
	assert.Assert(t, demands != nil && receive != nil)
}
