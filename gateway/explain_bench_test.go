package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/roster"
)

// BenchmarkExplain measures one explanation, which holds the lock of the gateway, at a service of
// 3,000 endpoints.
func BenchmarkExplain(b *testing.B) {
	f := newTestGateway(b).configure()
	for i := range 3000 {
		f.SetEndpoint(roster.Entry{ID: fmt.Sprint("i-", i), Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 8, Started: 1})
	}
	for b.Loop() {
		f.Explain(time.Now(), explained("/safe/x", "key", "r1"))
	}
}
