package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/rollout"
)

// Guards against a roll-out that is done, so that the old endpoints stop at once, while a response that
// began before the order is still being sent by one of them; and against one that never is, since such
// a response counts as in flight after its end.
func TestAttemptsBeforeTheOrderCountAsInFlight(t *testing.T) {
	finish := make(chan struct{})
	v := newVersionedGateway(t, func(r *http.Request, w io.Writer) bool {
		<-finish
		return answer(200, "", "old")(r, w)
	}, answer(200, "", "new"))
	ended := make(chan int, 4)
	send := func(id string) {
		request := v.request(t, "/safe/x", "Request-Id", id)
		go func() {
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				ended <- 0
				return
			}
			response.Body.Close()
			ended <- response.StatusCode
		}()
	}
	report := func() rollout.Report {
		report, _ := v.RolloutReport(time.Now(), "s")
		return report
	}
	for i := range 2 {
		send(fmt.Sprint("before", i))
	}
	eventually(t, func() bool { return len(v.old.received()) == 2 })
	assert.Equal(t, report().OldInFlight, uint32(2))

	v.order = rollout.New("s", "v2", 12*time.Second, time.Now()) // the same order, given again
	v.SetRollout(v.order)
	assert.Equal(t, report().OldInFlight, uint32(2))
	send("after")
	eventually(t, func() bool { return len(v.old.received()) == 3 })
	assert.Equal(t, report().OldInFlight, uint32(3))

	close(finish)
	for range 3 {
		assert.Equal(t, <-ended, http.StatusOK)
	}
	eventually(t, func() bool { return report().OldInFlight == 0 })
	assert.Equal(t, report().OldSent, uint32(3))
}
