package edge

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/config"
	"github.com/hornbeamproxy/hornbeamproxy/gateway"
)

// Guards against placement by work that is on or off against the settings.
func TestPlacementOf(t *testing.T) {
	for _, c := range []struct {
		set      config.Switch
		features []string
		want     gateway.PlacementByWork
	}{
		{config.Auto, nil, gateway.ByWorkIfReported},
		{config.Auto, []string{"other", "pressure"}, gateway.ByWorkAlways},
		{config.Always, nil, gateway.ByWorkAlways},
		{config.Never, []string{"pressure"}, gateway.ByWorkNever},
		{"", nil, gateway.ByWorkIfReported},
	} {
		settings := &config.EdgeSettings{}
		settings.Demand.PlacementByWork, settings.Router.Features = c.set, c.features
		assert.Equal(t, placementOf(settings), c.want)
	}
}
