package exchange

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against exits that several routers saw not being added up, and against routers that do
// not learn of a quarantine.
func TestQuarantineReachesAllRouters(t *testing.T) {
	for _, routers := range []int{2, 6, maxDirectRouters + 3} {
		fleet := newFleet(t, routers)
		eventually(t, "a relay is heard", fleet[0].RelaysHeard)
		const part = 5
		for i := range 3 {
			r := fleet[i*routers/3]
			r.mu.Lock()
			r.poison.RecordExit(time.Now().Add(time.Duration(i-3)*time.Second), 1, uint64(i+1), [][]uint64{{1, part}})
			r.mu.Unlock()
		}
		for _, r := range fleet {
			eventually(t, "all routers refuse the part", func() bool {
				r.mu.Lock()
				defer r.mu.Unlock()
				found, _, quarantined := r.poison.Quarantined(time.Now(), []uint64{1, part, 9})
				return quarantined && found == part
			})
		}
		assert.Equal(t, fleet[0].config.Metrics.Counter("exchange.malformed").Count(), int64(0))
	}
}

// Guards against routers that are not told of an endpoint that leaves, and against a flood of such
// messages.
func TestLeavingIsToldToAll(t *testing.T) {
	fleet := newFleet(t, maxDirectRouters+3)
	fleet[1].mu.Lock()
	fleet[1].leaving = []uint64{7, 8}
	fleet[1].mu.Unlock()
	for i, r := range fleet {
		if i == 1 {
			continue
		}
		eventually(t, "all routers are told", func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return len(r.left) == 2
		})
	}
}
