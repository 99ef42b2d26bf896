package rollout

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

var simSeeds = flag.Int("rollout.seeds", 3, "seeds of each scenario of the simulation")

const (
	simRoutes   = 10
	simGoal     = 500 * time.Millisecond
	simMedian   = 120 * time.Millisecond // of the time of an answer
	simSpread   = 0.5                    // standard deviation of its natural logarithm
	simOldFails = 0.003                  // rate of failed answers of every version
	simBadFails = 0.4
	// A burst makes both versions fail more and slower.
	simStrainFails  = 0.02
	simStrainSlower = 1.6
	simLoss         = 0.1 // of reports and announcements
	simStep         = 5 * time.Millisecond
	simAnnounce     = 250 * time.Millisecond
	simDecide       = 250 * time.Millisecond
	simExpose       = 0.1
	simSlack        = 50
	simEndpoints    = 8
)

// simRequest is what a version's behaviour depends on.
type simRequest struct {
	at, period time.Duration // since the order
	route      int
	endpoint   int
	// load is the rate of the endpoint in the last second, 1 at share 1 with even load.
	load   float64
	random *rand.Rand
}

// scenario is one roll-out.
type scenario struct {
	routers, endpoints int
	rate               float64 // requests a second
	period             time.Duration
	// target returns the rate of failures and the factor by which answers are slower.
	target func(r simRequest) (fails, slower float64)
	// burst returns the factor of the rate.
	burst func(at time.Duration) float64
	cold  time.Duration // for which target endpoints answer 3 times slower and are marked as cold
}

// outcome is what a run showed.
type outcome struct {
	state                   State
	reason                  string
	decided                 time.Duration // since the order; 0 if not decided
	exposed, requests, bad  int           // until the deadline
	fiftieth, lastSent      time.Duration // time of the 50th bad answer, of the last request sent
	strictExcess, lateStart float64
	path                    string
}

type simEnd struct {
	at       time.Duration
	router   int
	answer   Answer
	countBad bool
}

type simEnds []simEnd

func (e simEnds) Len() int           { return len(e) }
func (e simEnds) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEnds) Push(x any)        { *e = append(*e, x.(simEnd)) }
func (e *simEnds) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simRouter struct {
	limiter    *Limiter
	counter    *Counter
	reportAt   time.Duration
	announceAt time.Duration
}

// simulation is a fleet of routers and a relay that hears their reports.
type simulation struct {
	scenario
	random     *rand.Rand
	routers    []*simRouter
	rollout    Rollout
	collector  *Collector
	controller Controller
	status     Status
	ends       simEnds
	sentAt     [][]time.Duration // of the last second, by target endpoint
	result     outcome
	inFlight   int
}

func runScenario(s scenario, seed uint64) outcome {
	if s.endpoints == 0 {
		s.endpoints = simEndpoints
	}
	r := New("tags", "v2", s.period, start)
	sim := &simulation{scenario: s, random: rand.New(rand.NewPCG(seed, 7)), rollout: r, collector: NewCollector(r.ID)}
	sim.sentAt = make([][]time.Duration, s.endpoints)
	for i := range s.routers {
		router := &simRouter{limiter: NewLimiter(fmt.Sprint("router-", seed, "-", i)), counter: NewCounter(r.ID)}
		router.limiter.SetRollout(r)
		router.reportAt = time.Duration(sim.random.Float64() * float64(ReportInterval))
		router.announceAt = time.Duration(sim.random.Float64() * float64(simAnnounce))
		sim.routers = append(sim.routers, router)
	}
	for now := time.Duration(0); now < s.period+3*time.Second; now += simStep {
		sim.step(now)
	}
	return sim.result
}

func (s *simulation) step(now time.Duration) {
	for len(s.ends) > 0 && s.ends[0].at <= now {
		s.end(heap.Pop(&s.ends).(simEnd))
	}
	rate := s.rate
	if s.burst != nil {
		rate *= s.burst(now)
	}
	for range s.poisson(rate * simStep.Seconds()) {
		s.send(now, s.random.IntN(len(s.routers)))
	}
	for i, router := range s.routers {
		if now >= router.reportAt {
			router.reportAt += ReportInterval
			if s.random.Float64() >= simLoss {
				s.collector.Add(at(now), fmt.Sprint(i), 1, router.counter.Report(router.limiter.Share(at(now))))
			}
		}
		if now >= router.announceAt {
			router.announceAt += simAnnounce
			if s.status.State != None && s.random.Float64() >= simLoss {
				router.limiter.SetStatus(at(now), FromRelay, s.status)
			}
		}
	}
	if now%simDecide == 0 {
		s.decide(now)
	}
}

func (s *simulation) poisson(mean float64) int {
	n, p := 0, s.random.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= s.random.Float64()
	}
	return n
}

func (s *simulation) decide(now time.Duration) {
	counts := s.collector.Counts(at(now), Capacity{
		TargetEndpoints: s.endpoints, TargetSlots: 60 * s.endpoints, OldEndpoints: s.endpoints, InFlight: s.inFlight,
	})
	next, _ := s.controller.Step(at(now), s.rollout, s.status, counts)
	if next.Share != s.status.Share {
		s.result.path += fmt.Sprintf(" %.2f@%.2f", next.Share, now.Seconds())
	}
	if next.State.Final() && !s.status.State.Final() {
		s.result.state, s.result.reason, s.result.decided = next.State, next.Reason, now
	}
	s.status = next
}

func (s *simulation) send(now time.Duration, index int) {
	router := s.routers[index]
	target := false
	if s.status.State == Done && router.limiter.Status().State == Done {
		return // the old endpoints have stopped
	}
	request := both
	if router.limiter.Class("v2") == Barred {
		request = oldAndBarred
	}
	if router.limiter.Allow(at(now), request) == TargetFirst {
		router.limiter.RecordSent(true)
		target = true
	}
	router.counter.RecordSent(target)
	s.inFlight++
	r := simRequest{
		at: now, period: s.period, route: s.random.IntN(simRoutes), endpoint: s.random.IntN(s.endpoints), random: s.random,
	}
	answer := Answer{Target: target, Route: fmt.Sprint("route-", r.route), Goal: simGoal, Endpoint: fmt.Sprint(target, r.endpoint)}
	fails, slower := simOldFails, 1.0
	if s.burst != nil && s.burst(now) > 1 {
		fails, slower = simStrainFails, simStrainSlower // of both versions
	}
	if now < s.period {
		s.result.requests++
	}
	if target {
		r.endpoint = s.chooseTarget(router.limiter, now)
		answer.Endpoint = simNames[r.endpoint]
		s.expose(now, &r)
		badFails, badSlower := s.target(r)
		fails, slower = max(fails, badFails), slower*badSlower
		answer.Cold = now < s.cold
		if answer.Cold {
			slower *= 3
		}
	}
	answer.Failed = s.random.Float64() < fails
	answer.Elapsed = time.Duration(float64(simMedian) * slower * math.Exp(simSpread*s.random.NormFloat64()))
	bad := target && (answer.Failed && fails == simBadFails || slower == 3 && !answer.Cold)
	heap.Push(&s.ends, simEnd{now + answer.Elapsed, index, answer, bad})
}

// simNames are the ids of target endpoints.
var simNames = func() (names []string) {
	for i := range 16 {
		names = append(names, fmt.Sprint("target-", i))
	}
	return names
}()

func (s *simulation) chooseTarget(l *Limiter, now time.Duration) int {
	focus := l.Focus(at(now), TargetFirst, simNames[:s.endpoints])
	return slices.Index(simNames, focus[s.random.IntN(len(focus))])
}

// expose counts a request sent to the target.
func (s *simulation) expose(now time.Duration, r *simRequest) {
	if now < s.period {
		s.result.exposed++
	}
	s.result.lastSent = now
	s.result.strictExcess = max(s.result.strictExcess, float64(s.result.exposed)-simExpose*float64(s.result.requests)-simSlack)
	sent := append(s.sentAt[r.endpoint], now)
	for now-sent[0] > time.Second {
		sent = sent[1:]
	}
	s.sentAt[r.endpoint] = sent
	r.load = float64(len(sent)) / s.rate * float64(s.endpoints)
}

func (s *simulation) end(e simEnd) {
	router := s.routers[e.router]
	s.inFlight--
	router.counter.RecordEnd(e.answer.Target)
	router.counter.RecordAnswer(e.answer)
	if e.countBad {
		if s.result.bad++; s.result.bad == 50 {
			s.result.fiftieth = e.at
		}
	}
}

func goodVersion(simRequest) (float64, float64) { return 0, 1 }

// badFrom returns a version that fails from a part of the period on.
func badFrom(part float64) func(simRequest) (float64, float64) {
	return func(r simRequest) (float64, float64) {
		if r.at.Seconds() < part*r.period.Seconds() {
			return 0, 1
		}
		return simBadFails, 1
	}
}

func badOverLoad(load float64) func(simRequest) (float64, float64) {
	return func(r simRequest) (float64, float64) {
		if r.load < load {
			return 0, 1
		}
		return simBadFails, 1
	}
}

func badRoute(r simRequest) (float64, float64) {
	if r.route == 3 {
		return simBadFails, 1
	}
	return 0, 1
}

func slowVersion(simRequest) (float64, float64) { return 0, 3 }

func faultyEndpoint(r simRequest) (float64, float64) {
	if r.endpoint == 2 {
		return simBadFails, 1
	}
	return 0, 1
}

func burstAt(from float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if s := at.Seconds(); s >= from && s < from+2 {
			return 2.4
		}
		return 1
	}
}

// summary adds up the outcomes of one scenario.
type summary struct {
	runs, done, rolledBack, inTime int
	overExposed, strictly          int
	exposures                      []float64 // part of the bound
	stops                          []time.Duration
	decided                        []time.Duration
}

func (s *summary) add(o outcome, period time.Duration) {
	s.runs++
	if o.state == Done {
		s.done++
	}
	if o.state == RolledBack {
		s.rolledBack++
	}
	if o.state != None && o.decided < period {
		s.inTime++
	}
	s.decided = append(s.decided, o.decided)
	exposure := float64(o.exposed) / (simExpose*float64(o.requests) + simSlack)
	s.exposures = append(s.exposures, exposure)
	if exposure > 1 {
		s.overExposed++
	}
	if o.strictExcess > 0 {
		s.strictly++
	}
	if o.fiftieth > 0 {
		s.stops = append(s.stops, max(0, o.lastSent-o.fiftieth))
	}
}

func quantile[T float64 | time.Duration](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

// String returns the row of the table in docs/design/rollouts.md.
func (s *summary) String() string {
	part := func(n int) float64 { return float64(n) / float64(s.runs) }
	return fmt.Sprintf("| %d | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.1f |", s.runs,
		part(s.done), part(s.rolledBack), part(s.inTime), quantile(s.exposures, 0.5), quantile(s.exposures, 1),
		part(s.overExposed), quantile(s.stops, 0.5).Seconds(), quantile(s.stops, 1).Seconds(), quantile(s.decided, 0.5).Seconds())
}

func TestSimExplore(t *testing.T) {
	type row struct {
		name string
		s    scenario
	}
	var rows []row
	add := func(name string, s scenario) {
		for _, period := range []time.Duration{8 * time.Second, 12 * time.Second, 20 * time.Second} {
			for _, rate := range []float64{100, 300, 1000} {
				s.period, s.rate = period, rate
				if s.routers == 0 {
					s.routers = 74
				}
				rows = append(rows, row{name, s})
			}
		}
	}
	for _, from := range []float64{0, 0.3, 0.5, 0.6, 0.65, 0.7, 0.8} {
		add(fmt.Sprint("bad from ", from), scenario{target: badFrom(from)})
	}
	for _, load := range []float64{0.2, 0.4, 0.7} {
		add(fmt.Sprint("bad over load ", load), scenario{target: badOverLoad(load)})
	}
	add("bad on a route", scenario{target: badRoute})
	add("slow", scenario{target: slowVersion})
	add("good", scenario{target: goodVersion})
	add("good, one faulty endpoint", scenario{target: faultyEndpoint})
	add("good, one faulty endpoint of 3", scenario{target: faultyEndpoint, endpoints: 3})
	add("good, cold for 5 s", scenario{target: goodVersion, cold: 5 * time.Second})
	add("good, burst", scenario{target: goodVersion, burst: burstAt(2)})
	add("good, burst late", scenario{target: goodVersion, burst: burstAt(5.5)})
	add("bad at once, 350", scenario{target: badFrom(0), routers: 350})
	add("good, 350", scenario{target: goodVersion, routers: 350})
	for i := range rows {
		r := rows[i]
		if r.s.rate == 100 {
			r.s.rate = 10
			if strings.HasPrefix(r.name, "good") || r.name == "bad from 0" {
				rows = append(rows, r)
			}
			r.s.rate = 30
			if strings.HasPrefix(r.name, "good") || r.name == "bad from 0" {
				rows = append(rows, r)
			}
		}
	}
	for _, r := range rows {
		var sum summary
		path := ""
		for seed := range *simSeeds {
			o := runScenario(r.s, uint64(seed))
			sum.add(o, r.s.period)
			path = o.path + " " + o.reason
		}
		t.Logf("%-20s %3v %5v %s %s", r.name, r.s.period, r.s.rate, sum.String(), path)
	}
}
