package gateway_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/gateway"
)

// Guards against placement by work at services whose endpoints do not report how long work takes,
// and against services that report it and are placed by number all the same.
func TestPlacementByWorkIfReported(t *testing.T) {
	for load, byWork := range map[string]int64{"1,0,8": 0, "1,0,8,0": 0, "1,0,8,100": 2} {
		e := newEndpoint(t, "e", answer(200, "Replica-Load: "+load+"\r\n", "ok"))
		f := newTestGateway(t, e).configure()
		for range 4 {
			response, _, err := f.do(t, "/safe/x")
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, 200)
		}
		// The first response turns it on, the second is the first from which anything is learned.
		assert.Equal(t, f.metrics.Counter("placement.by_work").Count(), byWork, load)
	}
}

// Guards against placement by work that is on where the settings say never, and off where they say
// always; also against streams and failures after which an endpoint's requests are counted wrongly.
func TestPlacementByWorkSettings(t *testing.T) {
	for mode, byWork := range map[gateway.PlacementByWork]int64{gateway.ByWorkNever: 0, gateway.ByWorkAlways: 4} {
		e := newEndpoint(t, "e", events(1, 5, true), truncated, refuseNotRun, answer(200, "Replica-Load: 1,0,8,90\r\n", "ok"))
		f := newTestGatewayWith(t, func(c *gateway.Config) { c.PlacementByWork = mode }, e).configure()
		for i, path := range []string{"/chat/x", "/once/x", "/once/x", "/once/x", "/prompt/x"} {
			_, _, err := f.do(t, path, "Token-Count", "2400,100", "Length-Hint", "40", "Prompt-Prefix", "a:1800,b:600")
			assert.NilError(t, err, fmt.Sprint(i))
		}
		assert.Equal(t, f.metrics.Counter("placement.by_work").Count(), byWork)
		eventually(t, func() bool { return len(f.Loads()) == 0 })
		assert.Equal(t, f.OutstandingWork("s"), int64(0))
	}
}

// Guards against a report that can't be used and is not counted.
func TestIgnoredReports(t *testing.T) {
	e := newEndpoint(t, "e", answer(200, "Replica-Load: 1,0,8,-7\r\n", "ok"))
	f := newTestGatewayWith(t, func(c *gateway.Config) { c.PlacementByWork = gateway.ByWorkAlways }, e).configure()
	_, _, err := f.do(t, "/safe/x")
	assert.NilError(t, err)
	assert.Equal(t, f.metrics.Counter("placement.ignored_reports").Count(), int64(1))
}
