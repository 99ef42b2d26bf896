package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"
	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/room"
	"github.com/hornbeamproxy/hornbeamproxy/routing"
)

const (
	// roomRefreshInterval is the age up to which a service's room is not computed again.
	roomRefreshInterval = 20 * time.Millisecond
	// admitInterval is the time between two looks for waiting requests that may be sent.
	admitInterval = 5 * time.Millisecond
	// maxQueued bounds the requests that wait at the router, of all services.
	maxQueued = 512
	// queuedRequestBytes is what a waiting request holds beside its body: its header, its
	// connection's buffers and its goroutine.
	queuedRequestBytes = 32 << 10
	// waiterStep makes the ids of waiters differ that have the same request id.
	waiterStep = 0x9E3779B97F4A7C15
)

// SharedRoom says which requests share the room of their service (see package room).
type SharedRoom int

// Values of SharedRoom.
const (
	RoomForNone  SharedRoom = iota
	RoomForPlain            // requests that are not streams; of these, only some wait (room.Config.SendFirst)
	RoomForAll
)

// rooms are the rooms of the services, by name. They are empty unless Config.SharedRoom is set.
type rooms struct {
	services map[string]*serviceRoom
	queued   int    // requests that wait
	bytes    int64  // of the requests that wait
	offered  uint64 // requests that have asked for room
}

// serviceRoom is the room of a service with the requests that wait for it.
type serviceRoom struct {
	*room.Service
	name        string
	refreshedAt time.Time
	admitting   bool // whether admit is due
	waiters     map[uint64]*roomWaiter
	held        int // requests in flight
}

// roomWaiter is a request that waits. admitted is closed when it may be sent, which counts from
// started on.
type roomWaiter struct {
	admitted chan struct{}
	started  time.Time
}

// roomUse is a request's use of the room of its service.
type roomUse struct {
	held     *serviceRoom // nil if the request is not in flight
	started  time.Time
	requeued bool // whether the request has returned to the queue
	// fields describe the decision in the log lines of the request.
	fields []zap.Field
}

// roomOf returns the room of a service, with what is known of it now. Callers hold g.mu.
func (g *Gateway) roomOf(now time.Time, service string, plain bool) *serviceRoom {
	r := g.rooms.services[service]
	if r == nil {
		g.pruneRooms()
		g.rooms.offered++
		phase := float64(xxhash.Sum64String(service)^uint64(now.UnixNano())*waiterStep) / (1 << 64)
		r = &serviceRoom{name: service, waiters: map[uint64]*roomWaiter{}}
		r.Service = room.New(room.Config{Plain: plain, SendFirst: g.config.SharedRoom == RoomForPlain, Random: phase, Full: g.queueFull})
		g.rooms.services[service] = r
	}
	g.refreshRoom(now, r)
	return r
}

// queueFull reports whether no more requests may wait. Callers hold g.mu.
func (g *Gateway) queueFull() bool {
	return g.rooms.queued >= maxQueued || g.config.QueueBytes > 0 && g.rooms.bytes >= g.config.QueueBytes
}

// pruneRooms drops the rooms of services that are no longer configured. Callers hold g.mu.
func (g *Gateway) pruneRooms() {
	table := g.table.Load()
	for name, r := range g.rooms.services {
		if table.Services[name] == nil && r.held == 0 && len(r.waiters) == 0 {
			delete(g.rooms.services, name)
		}
	}
}

// refreshRoom tells the room what the router knows of the endpoints. Callers hold g.mu.
func (g *Gateway) refreshRoom(now time.Time, r *serviceRoom) {
	if now.Sub(r.refreshedAt) < roomRefreshInterval {
		return
	}
	r.refreshedAt = now
	routers := g.config.Routers().Count()
	found := g.versionRoom(now, r.name)
	r.SetRoom(now, found.Slots, found.InFlight, routers, found.Known || routers == 1)
}

// roomRequest returns the request as the room sees it, with an id of its own. Callers hold g.mu.
func (x *exchange) roomRequest() room.Request {
	x.g.rooms.offered++
	request := x.describeForRoom()
	request.ID += x.g.rooms.offered * waiterStep
	return request
}

// describeForRoom returns the request as the room sees it.
func (x *exchange) describeForRoom() room.Request {
	request := room.Request{
		ID: xxhash.Sum64String(x.request.ID), Class: priority(x.route, x.workspace),
		Deadline: x.deadline, Plain: x.route.Kind != routing.Stream,
	}
	if x.workspace != nil {
		request.Workspace = x.workspace.Name
	}
	if x.route.LatencyGoal > 0 {
		request.Goal = x.arrived.Add(x.route.LatencyGoal)
	}
	return request
}

// sharesRoom reports whether the request needs room of its service. With SendFirst streams don't:
// engines admit the requests that wait there by priority, and a wait in front of them leaves their
// slots idle.
func (x *exchange) sharesRoom() bool {
	switch x.g.config.SharedRoom {
	case RoomForAll:
		return true
	case RoomForPlain:
		return x.route.Kind != routing.Stream
	}
	return false
}

// enterRoom waits until the request may be sent to its service. It returns false if the request
// has been refused.
func (x *exchange) enterRoom() bool {
	if !x.sharesRoom() {
		return true
	}
	refused := x.awaitRoom(false)
	if refused != nil {
		x.respondFailure(*refused)
	}
	return refused == nil
}

// reenterRoom prepares another attempt. A request that an endpoint refused as full returns to the
// queue, once. It returns false, and the refusal in r, if there is no room for it.
func (x *exchange) reenterRoom(r *result) bool {
	if !x.sharesRoom() {
		return true
	}
	if r.refusal != api.RefusalEndpointFull {
		x.g.mu.Lock()
		x.holdRoom(x.g.roomOf(time.Now(), x.service, x.route.Kind != routing.Stream))
		x.g.mu.Unlock()
		return true
	}
	x.room.requeued = true
	x.g.metrics.Counter("room.requeued").Inc(1)
	if refused := x.awaitRoom(true); refused != nil {
		*r = *refused
		return false
	}
	return true
}

// refusedAgain reports whether an endpoint has refused the request as full after it had returned to the
// queue. It is refused then, and r says when its caller should return.
func (x *exchange) refusedAgain(r *result) bool {
	if !x.room.requeued || r.refusal != api.RefusalEndpointFull {
		return false
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	now := time.Now()
	service := x.g.roomOf(now, x.service, x.route.Kind != routing.Stream)
	r.retryAfter = service.Refuse(now, x.roomRequest()).RetryAfter
	return true
}

// awaitRoom waits until the request may be sent, and returns the result with which to refuse it
// if it may not. again is set for a request that an endpoint has refused as full.
func (x *exchange) awaitRoom(again bool) *result {
	x.g.mu.Lock()
	now := time.Now()
	service := x.g.roomOf(now, x.service, x.route.Kind != routing.Stream)
	request := x.roomRequest()
	offer := service.Offer
	if again {
		offer = service.OfferAgain
	}
	decision := offer(now, request)
	if decision.Admit {
		service.Start(now)
		x.holdStarted(now, service)
		x.g.mu.Unlock()
		return nil
	}
	slots, inFlight := service.InFlight()
	x.room.fields = []zap.Field{
		zap.Int("class", request.Class), zap.Float64("share", service.Share(now)), zap.Int("room", slots),
		zap.Int("in_flight", inFlight), zap.Duration("expected_wait", decision.Expected),
	}
	if !decision.Wait {
		x.g.mu.Unlock()
		return x.refuseRoom(decision)
	}
	waiter := &roomWaiter{admitted: make(chan struct{})}
	service.waiters[request.ID] = waiter
	x.g.rooms.queued++
	x.g.rooms.bytes += x.queuedBytes()
	x.g.scheduleAdmit(service)
	x.g.mu.Unlock()
	x.g.metrics.Counter("room.waited").Inc(1)
	x.log("request queued", decision.Reason)
	return x.wait(service, request, waiter, decision.Until)
}

// wait waits until the request is admitted, its time is over, its caller has left, or the router
// ends its requests.
func (x *exchange) wait(service *serviceRoom, request room.Request, waiter *roomWaiter, until time.Time) *result {
	x.addOwnTime()
	since := time.Now()
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-waiter.admitted:
	case <-timer.C:
	case <-x.r.Context().Done():
	case <-x.g.ending.Done():
	}
	x.ownSince = time.Now()
	metrics.GetOrRegisterTimer("room.wait_seconds", x.g.metrics.Registry).Update(x.ownSince.Sub(since))
	decision, over := x.endWait(service, request, waiter)
	switch {
	case x.r.Context().Err() != nil:
		x.abandon()
	case x.g.ended(), !x.g.plan.Load().admits(x.ownSince, x.deadline):
		return &result{refusal: api.RefusalShuttingDown, retryAfter: retryAfterElsewhere, notSent: true}
	case over:
		return x.refuseRoom(decision)
	}
	x.room.fields = nil
	return nil
}

// queuedBytes returns the memory that the request holds while it waits.
func (x *exchange) queuedBytes() int64 { return int64(x.request.Body.Len()) + queuedRequestBytes }

// endWait removes the request from the queue. If it was still there, its wait is over, and endWait
// returns the refusal. If it was not, the request holds room from then on.
func (x *exchange) endWait(service *serviceRoom, request room.Request, waiter *roomWaiter) (refusal room.Decision, over bool) {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	now := time.Now()
	x.g.rooms.queued--
	x.g.rooms.bytes -= x.queuedBytes()
	refusal, over = service.Expire(now, request)
	if over {
		delete(service.waiters, request.ID)
		return refusal, true
	}
	x.holdStarted(waiter.started, service)
	return room.Decision{}, false
}

// refuseRoom returns the result for a request for which there is no room in time.
func (x *exchange) refuseRoom(decision room.Decision) *result {
	x.g.metrics.Counter("room.refused").Inc(1)
	return &result{refusal: api.RefusalOverloaded, retryAfter: decision.RetryAfter, notSent: true}
}

// scheduleAdmit makes admit run for the service. Callers hold g.mu.
func (g *Gateway) scheduleAdmit(service *serviceRoom) {
	if !service.admitting {
		service.admitting = true
		time.AfterFunc(admitInterval, func() { g.admit(service) })
	}
}

// admit sends the waiting requests of a service for which there is room.
func (g *Gateway) admit(service *serviceRoom) {
	g.mu.Lock()
	defer g.mu.Unlock()
	service.admitting = false
	now := time.Now()
	g.refreshRoom(now, service)
	for _, id := range service.Next(now) {
		service.waiters[id].started = now
		close(service.waiters[id].admitted)
		delete(service.waiters, id)
	}
	if len(service.waiters) > 0 {
		g.scheduleAdmit(service)
	}
}

// holdRoom records that the request is sent without an offer. Callers hold g.mu.
func (x *exchange) holdRoom(service *serviceRoom) {
	now := time.Now()
	service.Start(now)
	x.holdStarted(now, service)
}

// holdStarted records that the request holds room of the service since the time that was given to
// the service's Start: its account drifts if End gets another one. Callers hold g.mu.
func (x *exchange) holdStarted(started time.Time, service *serviceRoom) {
	service.held++
	x.room.held, x.room.started = service, started
}

// leaveRoom ends the request's use of the room; ran is set if an endpoint has run it to its end.
func (x *exchange) leaveRoom(ran bool) {
	if x.room.held == nil {
		return
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.endRoom(ran)
}

// endRoom is leaveRoom for callers that hold g.mu.
func (x *exchange) endRoom(ran bool) {
	if service := x.room.held; service != nil {
		x.room.held = nil
		service.held--
		service.End(time.Now(), x.room.started, ran)
	}
}

// observeRoom passes on what the endpoint says of its load, unless another endpoint has answered.
func (x *exchange) observeRoom(head ResponseHead) {
	load := head.Load
	if !x.sharesRoom() || load.Odd || load.Slots <= 0 || head.ID != x.request.ID || head.Misdirected {
		return
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	now := time.Now()
	x.g.roomOf(now, x.service, x.route.Kind != routing.Stream).ObserveLoad(now, load.Running, load.Waiting, load.Slots)
}

// recordFull tells the room that an endpoint refused the request as full.
func (x *exchange) recordFull() {
	if !x.sharesRoom() {
		return
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	now := time.Now()
	x.g.roomOf(now, x.service, x.route.Kind != routing.Stream).RecordFull(now)
}

// RoomDemands returns the demand for the services whose room is full, by room.ServiceKey.
func (g *Gateway) RoomDemands() map[uint32]room.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	demands := map[uint32]room.Demand{}
	for name, service := range g.rooms.services {
		if service.Pressed(now) {
			demands[room.ServiceKey(name)] = service.OwnDemand(now)
		}
	}
	return demands
}

// SetRoomDemands sets the demands of the whole fleet, by room.ServiceKey.
func (g *Gateway) SetRoomDemands(demands map[uint32]room.Demand) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for name, service := range g.rooms.services {
		if demand, ok := demands[room.ServiceKey(name)]; ok {
			service.SetDemand(now, demand)
		}
	}
}
