package config

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a shared room in deployments that do not ask for it.
func TestSharesRoom(t *testing.T) {
	for _, c := range []struct {
		setting  Switch
		features []string
		want     bool
	}{
		{Auto, nil, false},
		{Auto, []string{"other"}, false},
		{Auto, []string{"other", FeaturePressure}, true},
		{Always, nil, true},
		{Never, []string{FeaturePressure}, false},
	} {
		var s EdgeSettings
		s.Demand.SharedRoom, s.Router.Features = c.setting, c.features
		assert.Equal(t, s.SharesRoom(), c.want, "%v", c)
	}
}
