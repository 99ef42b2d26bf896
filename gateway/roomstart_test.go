package gateway

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/quota"
	"github.com/hornbeamproxy/hornbeamproxy/room"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

// Guards against an account of room that drifts under lasting load, because a request that waited
// ends with another start than the one that was charged.
func TestWaiterStartsWhenAdmitted(t *testing.T) {
	g := New(Config{
		Logger: zap.NewNop(), Metrics: telemetry.NewMetrics(),
		Routers: func() *quota.Routers { return quota.NewRouters("r", nil) },
	})
	now := time.Now()
	service := &serviceRoom{
		Service: room.New(room.Config{Plain: true}), name: "s", waiters: map[uint64]*roomWaiter{},
		refreshedAt: now.Add(time.Hour), // the test sets the room
	}
	service.SetRoom(now, 4, 8, 1, true)
	request := room.Request{Deadline: now.Add(10 * time.Second), Goal: now.Add(5 * time.Second), Plain: true}
	waits := false
	for i := 0; i < 100 && !waits; i++ {
		request.ID = uint64(i)
		decision := service.Offer(now, request)
		waits = decision.Wait
		if decision.Admit {
			service.Start(now)
		}
	}
	assert.Assert(t, waits)
	waiter := &roomWaiter{admitted: make(chan struct{})}
	service.waiters[request.ID] = waiter

	service.SetRoom(time.Now(), 400, 0, 1, true)
	g.admit(service) // again at each admitInterval until it is admitted
	select {
	case <-waiter.admitted:
	case <-time.After(2 * time.Second):
		t.Fatal("not admitted")
	}
	admitted := time.Now()
	time.Sleep(20 * time.Millisecond) // until the request's goroutine runs
	x := &exchange{g: g, request: &Request{}}
	_, over := x.endWait(service, request, waiter)
	assert.Assert(t, !over)
	assert.Assert(t, !x.room.started.After(admitted), "%s late", x.room.started.Sub(admitted))
}
