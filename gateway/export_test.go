package gateway

import "time"

// SetBodyTimeout replaces the time-out for callers' bodies.
func (g *Gateway) SetBodyTimeout(d time.Duration) { g.bodyTimeout = d }
