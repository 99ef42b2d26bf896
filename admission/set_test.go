package admission

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two faults: calls to a gate race with its removal; a gate grants a
// permit after Remove has returned the permits in use.
func TestSetRemoveWhileInUse(t *testing.T) {
	s := NewSet()
	assert.Assert(t, s.Add(Config{Endpoint: "e"}))
	assert.Assert(t, !s.Add(Config{Endpoint: "e"}))
	s.Do("e", func(g *Gate) {
		g.SetEndpoint(start, Settings{MaxInflight: 1000})
		g.Report(start, readyReport(0))
	})
	var mu sync.Mutex
	var wg sync.WaitGroup
	granted := 0
	for range 4 {
		wg.Go(func() {
			for range 100 {
				s.Do("e", func(g *Gate) {
					o, _ := g.Request(start, newRequest("w", "1", 0, start))
					mu.Lock()
					defer mu.Unlock()
					if o.Granted() {
						granted++
					}
				})
			}
		})
	}
	_, held := s.Remove("e")
	atRemoval := len(held)
	wg.Wait()
	assert.Equal(t, granted, atRemoval)
	assert.Assert(t, !s.Do("e", func(*Gate) {}))
	assert.Equal(t, len(s.Endpoints()), 0)
}
