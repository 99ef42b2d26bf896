package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/gateway"
	"github.com/hornbeamproxy/hornbeamproxy/room"
)

func sharedRoom(c *gateway.Config) { c.SharedRoom = gateway.RoomForAll }

func (f testGateway) count(name string) int64 { return f.metrics.Counter(name).Count() }

// busyEndpoint answers each request after the given time, and counts the requests that it holds at
// the same time.
func busyEndpoint(t *testing.T, id string, work time.Duration) (e *endpoint, most *atomic.Int64) {
	t.Helper()
	now, most := &atomic.Int64{}, &atomic.Int64{}
	return newEndpoint(t, id, func(r *http.Request, w io.Writer) bool {
		if n := now.Add(1); n > most.Load() {
			most.Store(n)
		}
		time.Sleep(work)
		now.Add(-1)
		return answer(200, "", "ok")(r, w)
	}), most
}

// outcome is the response to one request of a crowd.
type outcome struct {
	status     int
	body       string
	retryAfter string
}

// crowd sends n requests at the same time.
func (f testGateway) crowd(t *testing.T, n int, path string) []outcome {
	t.Helper()
	outcomes := make([]outcome, n)
	var group sync.WaitGroup
	for i := range n {
		group.Add(1)
		request := f.request(t, path, "Request-Id", fmt.Sprint("crowd", i))
		go func() {
			defer group.Done()
			response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
			if err != nil {
				return
			}
			defer response.Body.Close()
			body, _ := io.ReadAll(response.Body)
			outcomes[i] = outcome{response.StatusCode, string(body), response.Header.Get("Retry-After")}
		}()
	}
	group.Wait()
	return outcomes
}

// Guards against a burst on a plain service that goes to the endpoint beyond its slots, against
// requests that neither wait nor are refused as not run, and against slots that stay idle.
func TestBurstWaitsAtRouter(t *testing.T) {
	e, most := busyEndpoint(t, "e1", 60*time.Millisecond)
	f := newTestGatewayWith(t, sharedRoom, e).configure()
	_ = f.crowd(t, 4, "/safe/1")
	most.Store(0)
	served, refused := 0, 0
	for _, o := range f.crowd(t, 60, "/safe/1") {
		switch o.status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			refused++
			assert.Assert(t, strings.Contains(o.body, "overloaded"), o.body)
			assert.Assert(t, o.retryAfter != "")
		default:
			t.Errorf("status %d", o.status)
		}
	}
	t.Logf("%d served, %d refused, %d at the endpoint at most", served, refused, most.Load())
	assert.Assert(t, served >= 16, "at least one round waits")
	assert.Assert(t, refused >= 10)
	assert.Assert(t, most.Load() <= 12, "8 slots")
	assert.Assert(t, f.count("room.waited") > 0)
	assert.Equal(t, f.count("room.refused"), int64(refused))
	assert.Assert(t, metrics.GetOrRegisterTimer("room.wait_seconds", f.metrics.Registry).Count() >= f.count("room.waited"))
	// All that was held is given back.
	eventually(t, func() bool {
		response, _, _ := f.do(t, "/safe/1")
		return response.StatusCode == http.StatusOK
	})
}

// Guards against a change for deployments that do not ask for the feature.
func TestNoSharedRoom(t *testing.T) {
	e, most := busyEndpoint(t, "e1", 60*time.Millisecond)
	f := newTestGateway(t, e).configure()
	for _, o := range f.crowd(t, 40, "/safe/1") {
		assert.Equal(t, o.status, http.StatusOK)
	}
	assert.Assert(t, most.Load() > 12)
	f.metrics.Registry.Each(func(name string, _ any) { assert.Assert(t, !strings.HasPrefix(name, "room."), name) })
}

// fill sends enough requests that the room is full and more wait, and returns when some wait.
func (f testGateway) fill(t *testing.T, send func(*http.Request)) {
	t.Helper()
	for i := range 12 {
		go send(f.request(t, "/safe/1", "Request-Id", fmt.Sprint("fill", i)))
	}
	eventually(t, func() bool { return f.count("room.waited") > 0 })
}

// Guards against a request whose caller has left, but which is sent or stays in the queue.
func TestWaitEndsWithCaller(t *testing.T) {
	e, _ := busyEndpoint(t, "e1", 200*time.Millisecond)
	f := newTestGatewayWith(t, sharedRoom, e).configure()
	ctx, cancel := context.WithCancel(context.Background())
	f.fill(t, func(r *http.Request) {
		if response, err := http.DefaultClient.Do(r.WithContext(ctx)); err == nil {
			response.Body.Close()
		}
	})
	sent := len(e.received())
	cancel()
	eventually(t, func() bool { return f.count("requests.abandoned") >= f.count("room.waited") })
	time.Sleep(400 * time.Millisecond)
	assert.Equal(t, len(e.received()), sent)
}

// Guards against requests that wait on when the router ends its requests.
func TestWaitEndsWithRouter(t *testing.T) {
	e, _ := busyEndpoint(t, "e1", 300*time.Millisecond)
	f := newTestGatewayWith(t, sharedRoom, e).configure()
	bodies := make(chan string, 20)
	f.fill(t, func(r *http.Request) {
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		bodies <- fmt.Sprint(response.StatusCode, " ", string(body))
	})
	f.Drain(time.Now(), time.Now().Add(10*time.Millisecond))
	ended := 0
	for range 12 {
		select {
		case body := <-bodies:
			if strings.HasPrefix(body, "503") && strings.Contains(body, "shutting_down") {
				ended++
			}
		case <-time.After(2 * time.Second):
			t.Fatal("a request does not end")
		}
	}
	assert.Assert(t, ended > 0)
}

// Guards against waiting requests that take more memory than they may.
func TestQueueBytes(t *testing.T) {
	e, _ := busyEndpoint(t, "e1", 60*time.Millisecond)
	f := newTestGatewayWith(t, func(c *gateway.Config) { c.SharedRoom, c.QueueBytes = gateway.RoomForAll, 100<<10 }, e).configure()
	_ = f.crowd(t, 4, "/safe/1")
	_ = f.crowd(t, 30, "/safe/1")
	assert.Assert(t, f.count("room.waited") > 0)
	assert.Assert(t, f.count("room.refused") >= 10, "4 of 32 KiB each may wait at a time")
}

// Guards against waiting requests whose bodies are left out of the bound.
func TestQueueBytesCountBodies(t *testing.T) {
	e, _ := busyEndpoint(t, "e1", 60*time.Millisecond)
	f := newTestGatewayWith(t, func(c *gateway.Config) { c.SharedRoom, c.QueueBytes = gateway.RoomForAll, 64<<10 }, e).configure()
	_ = f.crowd(t, 4, "/safe/1")
	large := strings.Repeat("x", 64<<10)
	var group sync.WaitGroup
	for i := range 30 {
		request := f.request(t, "/safe/1", "Request-Id", fmt.Sprint("large", i))
		request.Body, request.ContentLength = io.NopCloser(strings.NewReader(large)), int64(len(large))
		group.Add(1)
		go func() {
			defer group.Done()
			if response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request); err == nil {
				response.Body.Close()
			}
		}()
	}
	eventually(t, func() bool { return f.count("room.waited") > 0 })
	assert.Equal(t, f.QueuedRequests(), 1, "the first body alone reaches the bound")
	group.Wait()
	assert.Equal(t, f.QueuedRequests(), 0)
}

// Guards against a request that an endpoint refused as full and that is lost, or that is sent
// without end.
func TestRefusedAsFullReturnsToQueue(t *testing.T) {
	full, other := newEndpoint(t, "e1", refuseNotRun), newEndpoint(t, "e2", refuseNotRun, refuseNotRun, answer(200, "", "ok"))
	f := newTestGatewayWith(t, sharedRoom, full, other).configure()
	response, _, _ := f.do(t, "/safe/1")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Equal(t, len(full.received())+len(other.received()), 2)
	assert.Equal(t, f.count("room.requeued"), int64(1))
}

// Guards against demand that is reported in calm, or not reported for a full service.
func TestRoomDemands(t *testing.T) {
	e, _ := busyEndpoint(t, "e1", 100*time.Millisecond)
	f := newTestGatewayWith(t, sharedRoom, e).configure()
	_, _, _ = f.do(t, "/safe/1")
	assert.Equal(t, len(f.RoomDemands()), 0)
	f.crowd(t, 30, "/safe/1")
	demand := f.RoomDemands()[room.ServiceKey("s")]
	assert.Assert(t, demand.Total > 10, "%v", demand)
	assert.Equal(t, demand.Workspaces[room.WorkspaceHash("w")], demand.Total)
	f.SetRoomDemands(map[uint32]room.Demand{room.ServiceKey("s"): demand})
}

// Guards against the load of another endpoint, which answers at an address that it took over, being
// taken for that of the service.
func TestMisdirectedLoadIsNotOfTheService(t *testing.T) {
	moved := newEndpoint(t, "e1", func(r *http.Request, w io.Writer) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 421 X\r\nRequest-Id: %s\r\nReplica-Load: 8,8,8\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
		return true
	})
	f := newTestGatewayWith(t, sharedRoom, moved).configure()
	response, _, _ := f.do(t, "/safe/1")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, len(moved.received()), 1)
	assert.Equal(t, len(f.RoomDemands()), 0)
}

// Guards against a retry that is counted and taken from the budget although the request is refused.
func TestRefusedAgainIsNoRetry(t *testing.T) {
	f := newTestGatewayWith(t, sharedRoom, newEndpoint(t, "e1", refuseNotRun), newEndpoint(t, "e2", refuseNotRun),
		newEndpoint(t, "e3", refuseNotRun)).configure()
	response, body, _ := f.do(t, "/chat/1")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, "endpoint_full"), body)
	assert.Equal(t, f.count("room.requeued"), int64(1))
	assert.Equal(t, f.count("retries.refused_by_endpoint"), int64(1))
}
