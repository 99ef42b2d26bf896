package gateway

import "time"

// SetBodyTimeout shortens the wait for a caller's body.
func (g *Gateway) SetBodyTimeout(d time.Duration) { g.bodyTimeout = d }
