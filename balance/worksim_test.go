package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/roster"
	"github.com/hornbeamproxy/hornbeamproxy/work"
)

// workLoad describes a fleet under a load, for placement by work. The zero value of a field
// switches its pattern off.
type workLoad struct {
	routers, endpoints, slots int
	rate                      float64 // requests a second in the fleet
	plain                     bool
	view                      time.Duration // interval of views
	slowShare, slowFactor     float64       // endpoints that are slow from slowFrom to slowTo
	noise                     bool          // the machines are shared with others
	reports                   func(*rand.Rand, work.Load) work.Load
	hint                      func(*rand.Rand, float64) int
	keys                      uint64  // prompts
	capacity                  int     // tokens of an engine's memory
	heavy                     float64 // share of prompts of 11,800 tokens
	goal                      time.Duration
	byWork                    bool
	seed                      uint64
}

const (
	workStep   = 2 * time.Millisecond
	workLength = 12 * time.Second
	// measureFrom excludes the start, when nothing has been learned.
	measureFrom = 3 * time.Second
	slowFrom    = 4 * time.Second
	slowTo      = 10 * time.Second
	// Noise: noiseShare of the machines take noiseFactor times as long, others at each noiseTime.
	noiseShare  = 0.15
	noiseFactor = 2.5
	noiseTime   = 600 * time.Millisecond
	plainWork   = 60 // mean, in ms
)

// job is a request in flight in the simulation.
type job struct {
	router          int
	state           *State
	key             uint64
	placed          ByWork
	id              uint64
	sent            time.Duration
	prefill, output float64 // remaining, in ms at usual speed
	tokens, events  int
	first           time.Duration
	answered        bool
}

// machine is an endpoint of the simulation: it runs the oldest requests and queues the others.
type machine struct {
	jobs   []*job // the first slots of them run
	factor float64
	cache  map[uint64]bool
	busy   float64 // ms of its slots
	tokens int
	most   int // largest number of prompt tokens at once
}

type workSim struct {
	workLoad
	random    *rand.Rand
	balancers []*Balancer
	models    []*work.Model
	members   []*roster.Endpoint
	machines  map[string]*machine
	over      []arrival
	inFlight  int
	firsts    []time.Duration
	hits      int
	overfull  int // arrivals at an engine without memory room while another had some
	nextID    uint64
}

// workResult has what a run showed.
type workResult struct {
	busiest  float64 // busiest endpoint's time of its slots / mean
	late     float64 // fraction over the goal
	p99      time.Duration
	over     float64 // fraction of arrivals over the load bound
	hits     float64 // fraction of prompts of which the endpoint held the shared part
	overfull int
	most     float64 // largest part of an engine's memory in use
}

// add adds the figures of another run with a weight. Of the parts of memory the largest counts.
func (r *workResult) add(o workResult, weight float64) {
	r.busiest += weight * o.busiest
	r.late += weight * o.late
	r.over += weight * o.over
	r.hits += weight * o.hits
	r.p99 += time.Duration(weight * float64(o.p99))
	r.overfull += o.overfull
	r.most = max(r.most, o.most)
}

func (r workResult) String() string {
	return fmt.Sprintf("busiest %.2f x mean, late %.2f%%, p99 %s, over the bound %.3f%%, held %.1f%%, beyond memory %d, most %.2f",
		r.busiest, 100*r.late, r.p99, 100*r.over, 100*r.hits, r.overfull, r.most)
}

func newWorkSim(load workLoad) *workSim {
	s := &workSim{workLoad: load, random: rand.New(rand.NewPCG(load.seed, 2)), machines: map[string]*machine{}}
	for i := range load.endpoints {
		e := &roster.Endpoint{Entry: roster.Entry{ID: fmt.Sprintf("e%d", i), Zone: fmt.Sprintf("z%d", i%3), Slots: load.slots}}
		s.members = append(s.members, e)
		s.machines[e.ID] = &machine{factor: 1, cache: map[uint64]bool{}}
	}
	for i := range load.routers {
		b := New(fmt.Sprintf("z%d", i%3))
		for _, e := range s.members {
			b.Join(start, e, true)
		}
		s.balancers = append(s.balancers, b)
		s.models = append(s.models, work.New(work.Config{Capacity: load.capacity}))
	}
	return s
}

func (s *workSim) run() workResult {
	for at := time.Duration(0); at < workLength; at += workStep {
		s.setFactors(at)
		if at%s.view == 0 {
			s.deliver(start.Add(at))
		}
		for _, e := range s.members {
			s.advance(at, e)
		}
		arrivals := (&simulation{random: s.random}).poisson(s.rate * workStep.Seconds())
		for range arrivals {
			s.arrive(at)
		}
	}
	return s.result()
}

// setFactors sets how many times as long as usual each machine takes.
func (s *workSim) setFactors(at time.Duration) {
	changes := s.noise && at%noiseTime == 0
	slow := int(s.slowShare * float64(s.endpoints))
	for i, e := range s.members {
		m := s.machines[e.ID]
		switch {
		case changes && s.random.Float64() < noiseShare:
			m.factor = noiseFactor
		case changes, at == slowTo:
			m.factor = 1
		case at == slowFrom && i%s.endpoints < slow:
			m.factor = s.slowFactor
		}
	}
}

// deliver passes to each router the requests that the others have in flight, as they were one
// interval of views ago at most.
func (s *workSim) deliver(now time.Time) {
	sum := map[string]int{}
	for _, b := range s.balancers {
		b.Loads(func(id string, requests int) { sum[id] += requests })
	}
	for _, b := range s.balancers {
		own := map[string]int{}
		b.Loads(func(id string, requests int) { own[id] = requests })
		b.SetFleetLoads(now, func(id string) int { return sum[id] - own[id] }, nil)
	}
}

// advance runs the requests of an endpoint for one step.
func (s *workSim) advance(at time.Duration, e *roster.Endpoint) {
	m := s.machines[e.ID]
	running := min(s.slots, len(m.jobs))
	if at >= measureFrom {
		m.busy += float64(running) * inMS(workStep)
	}
	for _, j := range m.jobs[:running] {
		done := inMS(workStep) / m.factor
		if j.prefill > 0 {
			j.prefill -= done / (1 + 0.5*float64(running)/float64(s.slots))
		} else {
			j.output -= done
		}
		if j.prefill <= 0 && !j.answered {
			s.answer(at, m, j)
		}
	}
	m.jobs = slices.DeleteFunc(m.jobs, func(j *job) bool {
		ended := j.answered && j.output <= 0
		if ended {
			s.end(at, m, j)
		}
		return ended
	})
}

func inMS(d time.Duration) float64 { return d.Seconds() * 1000 }

func (s *workSim) answer(at time.Duration, m *machine, j *job) {
	now := start.Add(at)
	j.answered, j.first = true, at
	if at >= measureFrom {
		s.firsts = append(s.firsts, at-j.sent)
	}
	if !s.byWork {
		return
	}
	load := work.Load{Running: min(s.slots, len(m.jobs)), Waiting: max(0, len(m.jobs)-s.slots), Slots: s.slots}
	if s.noise {
		load.Contention = m.factor
	}
	if s.reports != nil {
		load = s.reports(s.random, load)
	}
	if load != (work.Load{}) {
		j.state.Work().ObserveLoad(now, load)
	}
	j.state.Work().ObserveSpeed(now, s.models[j.router], j.placed.Usual, at-j.sent)
	j.state.Work().Answered(j.id)
}

func (s *workSim) end(at time.Duration, m *machine, j *job) {
	m.tokens -= j.tokens
	s.inFlight--
	b := s.balancers[j.router]
	j.state.RecordEnd()
	b.RecordPromptEnd(j.key)
	if !s.byWork {
		return
	}
	w := j.state.Work()
	w.End(j.id)
	sample := work.Sample{
		First: j.first - j.sent, Wait: max(0, j.placed.Usual-j.placed.Estimate.Prefill),
		Rest: at - j.first, Output: j.events, Contention: w.Contention(start.Add(at)),
	}
	s.models[j.router].Observe(j.placed.Request, sample)
}

// costs draws a request: its prompt tokens, of which shared ones belong to its key, its output
// tokens and its work if it is plain. The costs spread over 50:1.
func (s *workSim) costs() (prompt, shared int, output, plain float64) {
	if s.plain {
		return 0, 0, 0, plainWork * (0.5 + s.random.Float64())
	}
	prompt = 830
	switch draw := s.random.Float64(); {
	case draw < s.heavy:
		prompt = 11800
	case draw < s.heavy+0.4*(1-s.heavy):
		prompt = 2400
	}
	return prompt, prompt * 3 / 4, 4 + 60*s.random.ExpFloat64(), 0
}

func (s *workSim) arrive(at time.Duration) {
	prompt, shared, output, plain := s.costs()
	now, router := start.Add(at), s.random.IntN(s.routers)
	b, model := s.balancers[router], s.models[router]
	j := &job{router: router, sent: at, tokens: prompt, events: 1 + int(output)}
	if s.keys > 0 {
		j.key = uint64(prompt)<<32 | (1 + s.random.Uint64N(s.keys))
	}
	criteria := Criteria{
		Members: s.members, Usable: anyUsable, Key: j.key, HomeLoadFactor: 1.5, LoadFactor: limitFactor, Draw: s.random.Uint64(),
	}
	hint := 0
	if s.hint != nil {
		hint = s.hint(s.random, output)
	}
	if s.byWork {
		j.placed = ByWork{Model: model, Request: work.Request{
			Route: fmt.Sprint(prompt), Prompt: prompt, Cached: shared, MaxOutput: 1000, Hint: hint, Plain: s.plain,
		}}
		if model.Learned() {
			criteria.Work = &j.placed
		}
	}
	j.state, _ = b.Pick(now, criteria)
	m := s.machines[j.state.Endpoint.ID]
	s.recordArrival(at, m, prompt)
	if s.byWork {
		if criteria.Work == nil {
			j.placed.ChooseFor(now, j.state)
		}
		s.nextID++
		j.id = s.nextID
		j.state.Work().Start(now, j.id, j.placed.Estimate, j.placed.Usual)
		model.RecordPlaced(j.placed.Estimate)
	}
	j.state.RecordStart(now)
	b.RecordPromptStart(j.key)
	if j.key != 0 && m.cache[j.key] {
		prompt -= shared
		s.hits++
	}
	m.cache[j.key] = true
	b.RecordHolder(now, j.key, j.state.Endpoint)
	j.prefill, j.output = float64(prompt)/80+plain, output*8
	m.tokens += j.tokens
	s.inFlight++
	if at >= measureFrom {
		m.most = max(m.most, m.tokens)
	}
	m.jobs = append(m.jobs, j)
}

// recordArrival records whether the request reaches an endpoint over a bound.
func (s *workSim) recordArrival(at time.Duration, m *machine, prompt int) {
	mean := float64(s.inFlight) / float64(s.endpoints)
	s.over = append(s.over, arrival{at, float64(len(m.jobs)) > limitFactor*mean+limitSlack})
	room := int(0.9*float64(s.capacity)) - prompt
	if at < measureFrom || s.capacity == 0 || m.tokens <= room {
		return
	}
	for _, other := range s.machines {
		if other.tokens <= room {
			s.overfull++
			return
		}
	}
}

func (s *workSim) result() workResult {
	r := workResult{overfull: s.overfull, hits: float64(s.hits) / float64(len(s.over))}
	total, most := 0.0, 0.0
	for _, m := range s.machines {
		total += m.busy
		most = max(most, m.busy)
		if s.capacity > 0 {
			r.most = max(r.most, float64(m.most)/float64(s.capacity))
		}
	}
	r.busiest = most * float64(s.endpoints) / total
	over, late := 0, 0
	for _, a := range s.over {
		if a.over {
			over++
		}
	}
	for _, first := range s.firsts {
		if first > s.goal {
			late++
		}
	}
	slices.Sort(s.firsts)
	r.over = float64(over) / float64(len(s.over))
	r.late = float64(late) / float64(len(s.firsts))
	r.p99 = s.firsts[len(s.firsts)*99/100]
	return r
}
