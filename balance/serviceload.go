package balance

import "time"

// Requests returns the number of requests that all routers have in flight at the endpoint, as far
// as they have reported them.
func (s *State) Requests(now time.Time) float64 { return s.load(now) }
