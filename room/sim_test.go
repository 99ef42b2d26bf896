package room

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// kind is a kind of requests in a simulation.
type kind struct {
	name      string
	workspace string
	class     int
	// rate is the number of requests a second over all routers, as a function of the time.
	rate           func(at time.Duration) float64
	peak           float64 // the highest rate
	goal, deadline time.Duration
	// first is the mean work until the first event or the whole answer, hold the time in a slot.
	first, hold time.Duration
}

// simulation is a fleet of routers before one service, with requests that arrive at random.
type simulation struct {
	routers, endpoints, slots int
	plain                     bool
	kinds                     []kind
	length                    time.Duration
	// alive returns the number of endpoints that are left; nil for all.
	alive func(at time.Duration) int
	// returns is the number of times that a caller comes back after a refusal.
	returns int
	// loss is the probability that a report or view is lost. A part of the routers, blackout, gets
	// no view for blackoutFor at a time.
	loss, blackout float64
	blackoutFor    time.Duration
	noHeader       bool // the endpoints do not tell their load
	exact          bool // endpoints are chosen by what they hold at that moment
	shared         bool // whether the room is shared; otherwise requests are sent at once
	seed           uint64
}

// tally is what became of the calls of a kind or workspace.
type tally struct {
	calls, inTime, late, refused int
}

func (t tally) lost() float64 { return float64(t.late+t.refused) / float64(max(1, t.calls)) }

// outcome is the result of a simulation.
type outcome struct {
	by      map[string]*tally // by kind
	all     tally
	full    int // refusals by endpoints
	longest time.Duration
	// used and usable are slot-seconds of the time in which a request waited or was refused within
	// the last 200 ms.
	used, usable float64
	returned     []int // returns by 100 ms
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

type simCall struct {
	id        uint64
	kind      *kind
	began     time.Duration // first send
	sent      time.Duration // newest send of the caller
	router    *simRouter
	started   time.Duration
	work      time.Duration
	tries     []int
	requeued  bool
	remaining int // returns left
}

type simRouter struct {
	service *Service
	own     []int // in flight by endpoint
	others  []int
	viewAt  time.Duration
	waiting map[uint64]*simCall
	pumping bool
	// report is what the relay knows of the router.
	report       []int
	reported     []int
	demand       Demand
	dark         time.Duration
	demandSentAt time.Duration
}

type simEndpoint struct {
	running int
	queue   []*simCall
}

type world struct {
	s         simulation
	now       time.Duration
	events    events
	seq       int
	random    *rand.Rand
	routers   []*simRouter
	endpoints []*simEndpoint
	out       outcome
	ids       uint64
	deniedAt  time.Duration
}

var simStart = time.Unix(1_000_000, 0)

const (
	simLink     = time.Millisecond
	viewRepeat  = 250 * time.Millisecond
	reportEvery = 125 * time.Millisecond
	pumpEvery   = 5 * time.Millisecond
	viewTTL     = 3 * time.Second
	todayRetry  = 200 * time.Millisecond
	warmUp      = 2 * time.Second // not counted
)

func (s simulation) run() outcome {
	w := &world{s: s, random: rand.New(rand.NewPCG(s.seed, 2)), out: outcome{by: map[string]*tally{}}, deniedAt: -time.Hour}
	for range s.endpoints {
		w.endpoints = append(w.endpoints, &simEndpoint{})
	}
	for range s.routers {
		r := &simRouter{
			service: New(Config{Plain: s.plain, Random: w.random.Float64()}), waiting: map[uint64]*simCall{},
			own: make([]int, s.endpoints), others: make([]int, s.endpoints),
			report: make([]int, s.endpoints), reported: make([]int, s.endpoints),
		}
		w.routers = append(w.routers, r)
		w.after(time.Duration(w.random.Int64N(int64(reportEvery))), func() { w.reports(r) })
	}
	w.after(viewRepeat, w.views)
	w.after(time.Millisecond, w.measure)
	arrivals := rand.New(rand.NewPCG(s.seed, 1)) // the same in both modes
	for i := range s.kinds {
		w.arrivals(&s.kinds[i], arrivals)
	}
	for len(w.events) > 0 && w.events[0].at < s.length+5*time.Second {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	return w.out
}

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + d, seq: w.seq, run: f})
}

func (w *world) clock() time.Time { return simStart.Add(w.now) }

func (w *world) alive() int {
	if w.s.alive == nil {
		return w.s.endpoints
	}
	return w.s.alive(w.now)
}

// arrivals schedules all calls of a kind.
func (w *world) arrivals(k *kind, random *rand.Rand) {
	if w.out.by[k.name] == nil {
		w.out.by[k.name] = &tally{}
	}
	for at := time.Duration(0); at < w.s.length; {
		at += time.Duration(random.ExpFloat64() / k.peak * float64(time.Second))
		if random.Float64()*k.peak > k.rate(at) {
			continue
		}
		w.ids++
		c := &simCall{id: w.ids * 0x9E3779B97F4A7C15, kind: k, began: at, remaining: w.s.returns}
		c.work = time.Duration(float64(k.hold) * (0.8 + 0.4*random.Float64()))
		router := random.IntN(len(w.routers))
		w.seq++
		heap.Push(&w.events, event{at: at, seq: w.seq, run: func() {
			if c.began >= warmUp {
				w.out.by[k.name].calls++
				w.out.all.calls++
			}
			w.arrive(c, w.routers[router])
		}})
	}
}

func (w *world) request(c *simCall) Request {
	return Request{
		ID: c.id, Workspace: c.kind.workspace, Class: c.kind.class, Plain: w.s.plain,
		Goal: simStart.Add(c.sent + c.kind.goal), Deadline: simStart.Add(c.began + c.kind.deadline),
	}
}

func (w *world) arrive(c *simCall, r *simRouter) {
	c.sent, c.router, c.tries, c.requeued = w.now, r, nil, false
	if !w.s.shared {
		w.send(c)
		return
	}
	w.refresh(r)
	w.handle(c, r.service.Offer(w.clock(), w.request(c)))
}

// refresh tells the router's room of the loads that it knows.
func (w *world) refresh(r *simRouter) {
	known := w.now-r.viewAt < viewTTL && r.viewAt > 0
	slots, load := w.alive()*w.s.slots, 0
	for i := range w.alive() {
		load += r.own[i]
		if known {
			load += r.others[i]
		}
	}
	r.service.SetRoom(w.clock(), slots, load, len(w.routers), known)
}

func (w *world) handle(c *simCall, d Decision) {
	r := c.router
	switch {
	case d.Admit:
		r.service.Start(w.clock())
		w.send(c)
	case d.Wait:
		w.deniedAt = w.now
		r.waiting[c.id] = c
		waitFrom := w.now
		w.after(d.Until.Sub(w.clock()), func() {
			if r.waiting[c.id] == c && c.router == r && w.now-waitFrom >= 0 && r.service.Cancel(c.id) {
				delete(r.waiting, c.id)
				w.refused(c, 200*time.Millisecond)
			}
		})
		w.pump(r)
	default:
		w.deniedAt = w.now
		w.refused(c, d.RetryAfter)
	}
}

func (w *world) pump(r *simRouter) {
	if r.pumping {
		return
	}
	r.pumping = true
	w.after(pumpEvery, func() {
		r.pumping = false
		w.refresh(r)
		for _, id := range r.service.Next(w.clock()) {
			c := r.waiting[id]
			delete(r.waiting, id)
			w.out.longest = max(w.out.longest, w.now-c.sent)
			w.send(c)
		}
		if len(r.waiting) > 0 {
			w.deniedAt = w.now
			w.pump(r)
		}
	})
}

// send sends a call to the endpoint with the lower load of two.
func (w *world) send(c *simCall) {
	r := c.router
	c.started = w.now
	best, bestLoad := -1, math.MaxInt
	for range 2 {
		i := w.random.IntN(w.alive())
		if len(c.tries) > 0 && i == c.tries[0] {
			i = (i + 1) % w.alive()
		}
		load := r.own[i]
		if w.s.exact {
			load = w.endpoints[i].running + len(w.endpoints[i].queue)
		} else if w.now-r.viewAt < viewTTL {
			load += r.others[i]
		}
		if load < bestLoad {
			best, bestLoad = i, load
		}
	}
	c.tries = append(c.tries, best)
	r.own[best]++
	w.after(simLink, func() { w.receive(c, best) })
}

func (w *world) receive(c *simCall, i int) {
	e := w.endpoints[i]
	switch {
	case e.running < w.s.slots:
		w.work(c, i)
	case len(e.queue) < 4*w.s.slots:
		e.queue = append(e.queue, c)
	default:
		w.out.full++
		w.after(simLink, func() { w.fullAt(c, i) })
	}
}

func (w *world) work(c *simCall, i int) {
	e := w.endpoints[i]
	e.running++
	first := time.Duration(float64(c.work) * float64(c.kind.first) / float64(c.kind.hold))
	w.after(first, func() { w.answered(c) })
	w.after(c.work, func() {
		e.running--
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			w.work(next, i)
		}
		running, waiting := e.running, len(e.queue)
		w.after(simLink, func() {
			c.router.own[i]--
			if w.s.shared {
				if !w.s.noHeader {
					c.router.service.ObserveLoad(w.clock(), running, waiting, w.s.slots)
				}
				c.router.service.End(w.clock(), simStart.Add(c.started), true)
			}
		})
	})
}

func (w *world) answered(c *simCall) {
	if c.began < warmUp {
		return
	}
	t := w.out.by[c.kind.name]
	switch {
	case w.now+simLink-c.began > c.kind.deadline:
		t.refused++
		w.out.all.refused++
	case w.now+simLink-c.sent > c.kind.goal:
		t.late++
		w.out.all.late++
	default:
		t.inTime++
		w.out.all.inTime++
	}
}

// fullAt handles the refusal of an endpoint.
func (w *world) fullAt(c *simCall, i int) {
	c.router.own[i]--
	if !w.s.shared {
		if len(c.tries) == 1 {
			w.send(c)
			return
		}
		w.refused(c, todayRetry)
		return
	}
	s := c.router.service
	s.End(w.clock(), simStart.Add(c.started), false)
	s.RecordFull(w.clock())
	if c.requeued {
		w.refused(c, todayRetry)
		return
	}
	c.requeued = true
	w.handle(c, s.OfferAgain(w.clock(), w.request(c)))
}

// refused lets the caller come back after a while, but after a third of the time that it has left
// at most.
func (w *world) refused(c *simCall, retryAfter time.Duration) {
	left := c.began + c.kind.deadline - w.now
	if c.remaining == 0 || left < c.kind.first {
		if c.began >= warmUp {
			w.out.by[c.kind.name].refused++
			w.out.all.refused++
		}
		return
	}
	c.remaining--
	pause := min(retryAfter, left/3) + 2*simLink
	part := int((w.now + pause) / (100 * time.Millisecond))
	for len(w.out.returned) <= part {
		w.out.returned = append(w.out.returned, 0)
	}
	w.out.returned[part]++
	w.after(pause, func() { w.arrive(c, w.routers[w.random.IntN(len(w.routers))]) })
}

// reports sends a router's loads to the relay.
func (w *world) reports(r *simRouter) {
	if w.random.Float64() >= w.s.loss {
		copy(r.report, r.own)
		if w.now-r.demandSentAt >= 400*time.Millisecond {
			r.demandSentAt = w.now
			r.demand = Demand{}
			if r.service.Pressed(w.clock()) {
				r.demand = r.service.OwnDemand(w.clock())
			}
		}
	}
	copy(r.reported, r.own)
	w.after(reportEvery, func() { w.reports(r) })
}

// views sends the sums to all routers.
func (w *world) views() {
	w.sendViews()
	w.after(viewRepeat, w.views)
}

func (w *world) sendViews() {
	sum := make([]int, w.s.endpoints)
	var demand Demand
	for _, r := range w.routers {
		for i, n := range r.report {
			sum[i] += n
		}
		demand.Add(r.demand)
	}
	demand = demand.Largest()
	for _, r := range w.routers {
		if w.random.Float64() < w.s.blackout*viewRepeat.Seconds()/max(1, w.s.blackoutFor.Seconds()) {
			r.dark = w.now + w.s.blackoutFor
		}
		if w.now < r.dark || w.random.Float64() < w.s.loss {
			continue
		}
		w.after(5*time.Millisecond, func() {
			r.viewAt = w.now
			for i, n := range sum {
				r.others[i] = max(0, n-r.reported[i])
			}
			if demand.Total > 0 {
				r.service.SetDemand(w.clock(), demand)
			}
		})
	}
}

// measure records the use of the slots while requests are held back.
func (w *world) measure() {
	if w.now > warmUp && w.now-w.deniedAt < 200*time.Millisecond {
		for _, e := range w.endpoints[:w.alive()] {
			w.out.used += float64(e.running)
			w.out.usable += float64(w.s.slots)
		}
	}
	w.after(time.Millisecond, w.measure)
}

// of returns the sum of the tallies whose names start with the prefix.
func (o outcome) of(prefix string) tally {
	var sum tally
	for name, t := range o.by {
		if strings.HasPrefix(name, prefix) {
			sum.calls, sum.late, sum.refused = sum.calls+t.calls, sum.late+t.late, sum.refused+t.refused
		}
	}
	return sum
}

func (o outcome) use() float64 { return o.used / max(1, o.usable) }
