package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/roster"
)

// Guards against a data race, which only the race detector shows, between a request and a newer entry
// of its endpoint.
func TestEntryChangesDuringRequests(t *testing.T) {
	e := newEndpoint(t, "e1", answer(200, "", "ok"))
	f := newTestGateway(t, e).configure()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for slots := 1; ; slots++ {
			select {
			case <-stop:
				return
			default:
				f.SetEndpoint(roster.Entry{
					ID: strings.Clone("e1"), Service: "s", Address: e.listener.Addr().String(), Zone: "z", Slots: slots, Started: 1,
				})
			}
		}
	}()
	for i := range 20 {
		response, _, _ := f.do(t, "/safe/1", "Request-Id", fmt.Sprint("r", i))
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	close(stop)
	<-stopped
}
