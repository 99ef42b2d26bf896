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

// Guards against a queue that takes the memory of a small router.
func TestQueueBytes(t *testing.T) {
	for memory, want := range map[int]int64{0: 0, 20: minQueueBytes, 148: 6 << 20} {
		var s EdgeSettings
		s.Router.MemoryMB = memory
		assert.Equal(t, s.QueueBytes(), want, memory)
	}
}
