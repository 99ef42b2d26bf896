package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/roster"
)

// The limit of the platform's rules: in no limitWindow may limitCount or more requests,
// and more than limitFraction of them, reach an endpoint that has over limitFactor x the
// mean + limitSlack requests.
const (
	limitWindow   = 5 * time.Second
	limitCount    = 20
	limitFraction = 0.03
	limitFactor   = 2.0
	limitSlack    = 3.0
)

// Guards against a hot prompt that overloads one endpoint after the other, because all
// routers take the same one for as long as their loads are old: at most limitFraction of the
// requests may reach an endpoint over the limit. Endpoints leave and join meanwhile, and some
// views are lost.
func TestHotPromptKeepsLoadLimit(t *testing.T) {
	testLoadLimit(t, []simConfig{
		{routers: 6, endpoints: 18, hotShare: 0.5, viewInterval: 250 * time.Millisecond},
		{routers: 91, endpoints: 90, hotShare: 0.1, viewInterval: 125 * time.Millisecond},
		{routers: 91, endpoints: 90, hotShare: 0.3, viewInterval: 250 * time.Millisecond},
		{routers: 91, endpoints: 90, hotShare: 0.2, viewInterval: 375 * time.Millisecond},
		{routers: 195, endpoints: 93, hotShare: 0.3, viewInterval: 250 * time.Millisecond},
		{routers: 195, endpoints: 93, hotShare: 0.2, viewInterval: 375 * time.Millisecond},
		{routers: 195, endpoints: 93, hotShare: 0.5, viewInterval: 125 * time.Millisecond},
		{routers: 350, endpoints: 200, hotShare: 0.2, viewInterval: 250 * time.Millisecond},
	})
}

// Guards against the same with a prompt that gets half of all requests at once, at the interval
// of views in a large fleet.
func TestVeryHotPromptKeepsLoadLimit(t *testing.T) {
	testLoadLimit(t, []simConfig{
		{routers: 91, endpoints: 93, hotShare: 0.5, viewInterval: 250 * time.Millisecond},
		{routers: 195, endpoints: 93, hotShare: 0.5, viewInterval: 250 * time.Millisecond},
		{routers: 350, endpoints: 200, hotShare: 0.5, viewInterval: 250 * time.Millisecond},
	})
}

// testLoadLimit plays each fleet with two seeds.
func testLoadLimit(t *testing.T, configs []simConfig) {
	for _, config := range configs {
		for seed := range uint64(2) {
			config.churn, config.lost, config.seed = true, 0.05, seed+1
			config := config
			t.Run(fmt.Sprintf("%d routers, hot %.1f, views every %s, seed %d", config.routers, config.hotShare, config.viewInterval, config.seed), func(t *testing.T) {
				t.Parallel()
				over := newSimulation(config).run()
				assert.Equal(t, over, 0.0, "fraction over the limit in 5 s")
			})
		}
	}
}

// simConfig describes a fleet under a load on one hot prompt.
type simConfig struct {
	routers, endpoints int
	hotShare           float64       // of all requests, from hotFrom on
	viewInterval       time.Duration // between two views without a surge; reports come twice as often
	lost               float64       // fraction of the views that do not arrive
	churn              bool          // endpoints leave and join while the prompt is hot
	pauses             bool          // from hotFrom on, each third endpoint refuses with a pause
	seed               uint64
}

const (
	simLength = 14 * time.Second
	hotFrom   = 4 * time.Second
	simStep   = time.Millisecond
	// surgeRequests, surgeFactor and surgeInterval are those of package exchange.
	surgeRequests = 8
	surgeFactor   = 2
	surgeInterval = 60 * time.Millisecond
	meanLoad      = 4.4                    // requests in flight at an endpoint
	acceptTime    = 300 * time.Millisecond // until the first byte of a response
	meanService   = 1100 * time.Millisecond
	simPrompts    = 1300
	churnAt       = 7 * time.Second
	leaving       = 6
	joining       = 12
	hotPromptKey  = 7
)

// simulation plays requests on many balancers, each with a view of the others.
type simulation struct {
	simConfig
	random    *rand.Rand
	balancers []*Balancer
	members   []*roster.Endpoint
	load      map[string]int
	// sums are the requests by prompt of the newest reports, told those at the last view.
	sums, told  map[uint32]int
	deliveredAt time.Duration   // when the last view was delivered
	reports     []simLoads      // the newest of each router
	phase       []time.Duration // of the reports of each router
	ends        map[time.Duration][]simRequest
	accepts     map[time.Duration][]*State
	over        []arrival
	asked       map[string]time.Time // end of the pause, by router and endpoint
	refused     int                  // requests that were refused with a pause
	pressed     int                  // requests that reached an endpoint within a pause
	picked      func(id string)      // called with each endpoint that got a request, if not nil
}

// simLoads are the numbers of requests in flight at one moment.
type simLoads struct {
	endpoints map[string]int
	prompts   map[uint32]int // by PromptID
}

type simRequest struct {
	router   int
	state    *State
	endpoint string
	key      uint64
}

type arrival struct {
	at   time.Duration
	over bool
}

func simEndpoint(i int) *roster.Endpoint {
	return &roster.Endpoint{Entry: roster.Entry{ID: fmt.Sprintf("e%d", i), Zone: fmt.Sprintf("z%d", i%6), Slots: 12}}
}

func newSimulation(config simConfig) *simulation {
	s := &simulation{
		simConfig: config, random: rand.New(rand.NewPCG(config.seed, 1)),
		load: map[string]int{}, sums: map[uint32]int{}, asked: map[string]time.Time{}, ends: map[time.Duration][]simRequest{},
		accepts: map[time.Duration][]*State{},
	}
	for i := range config.endpoints {
		s.members = append(s.members, simEndpoint(i))
	}
	for i := range config.routers {
		s.balancers = append(s.balancers, New(fmt.Sprintf("z%d", i%6)))
		s.reports = append(s.reports, simLoads{})
		s.phase = append(s.phase, time.Duration(s.random.Int64N(int64(config.viewInterval))).Round(simStep))
		for _, endpoint := range s.members {
			s.balancers[i].Join(start, endpoint, true)
		}
	}
	return s
}

// run plays the whole time, and returns the largest fraction of arrivals over the limit in
// a window in which the rule is broken, or 0 if it is kept.
func (s *simulation) run() float64 {
	rate := meanLoad * float64(s.endpoints) / meanService.Seconds()
	for at := time.Duration(0); at < simLength; at += simStep {
		for _, request := range s.ends[at] {
			s.end(request)
		}
		delete(s.ends, at)
		for _, state := range s.accepts[at] {
			state.RecordAccepted(start.Add(at))
		}
		delete(s.accepts, at)
		surge := false
		for router := range s.balancers {
			if (at+s.phase[router])%(s.viewInterval/2) == 0 {
				surge = s.report(router) || surge
			}
		}
		if at%s.viewInterval == 0 || surge && at-s.deliveredAt >= surgeInterval {
			s.deliver(start.Add(at))
			s.deliveredAt = at
		}
		if s.churn && at == churnAt {
			s.churnEndpoints()
		}
		for range s.poisson(rate * simStep.Seconds()) {
			s.arrive(at)
		}
	}
	return s.worstWindow()
}

func (s *simulation) poisson(mean float64) int {
	n, p := 0, s.random.Float64()
	for limit := math.Exp(-mean); p > limit; p *= s.random.Float64() {
		n++
	}
	return n
}

func (s *simulation) churnEndpoints() {
	s.members = s.members[leaving:]
	for i := range joining {
		s.members = append(s.members, simEndpoint(s.endpoints+i))
	}
}

// report records the loads of one router for the next views. It returns true if the requests
// of a prompt have surged since the last view.
func (s *simulation) report(router int) (surge bool) {
	b := s.balancers[router]
	loads := simLoads{endpoints: map[string]int{}, prompts: b.LocalPrompts()}
	b.Loads(func(id string, requests int) { loads.endpoints[id] = requests })
	for id, requests := range s.reports[router].prompts {
		s.sums[id] -= requests
	}
	for id, requests := range loads.prompts {
		s.sums[id] += requests
		surge = surge || s.sums[id] >= surgeRequests && s.sums[id] >= surgeFactor*s.told[id]
	}
	s.reports[router] = loads
	return surge
}

// deliver passes the sum of the newest reports to each balancer, without its own report,
// but for those whose view is lost.
func (s *simulation) deliver(now time.Time) {
	sum := simLoads{endpoints: map[string]int{}, prompts: map[uint32]int{}}
	for _, report := range s.reports {
		for id, requests := range report.endpoints {
			sum.endpoints[id] += requests
		}
		for id, requests := range report.prompts {
			sum.prompts[id] += requests
		}
	}
	s.told = sum.prompts
	for router, b := range s.balancers {
		if s.random.Float64() < s.lost {
			continue
		}
		own := s.reports[router]
		prompts := map[uint32]int{}
		for id, requests := range sum.prompts {
			if requests >= 3 {
				prompts[id] = requests - own.prompts[id]
			}
		}
		b.SetFleetLoads(now, func(id string) int { return sum.endpoints[id] - own.endpoints[id] }, prompts)
	}
}

func (s *simulation) begin(request simRequest, now time.Time) {
	request.state.RecordStart(now)
	s.balancers[request.router].RecordPromptStart(request.key)
	s.load[request.endpoint]++
}

func (s *simulation) end(request simRequest) {
	request.state.RecordEnd()
	s.balancers[request.router].RecordPromptEnd(request.key)
	s.load[request.endpoint]--
}

func (s *simulation) arrive(at time.Duration) {
	key := hotPromptKey + 1 + s.random.Uint64N(simPrompts)
	if at >= hotFrom && s.random.Float64() < s.hotShare {
		key = hotPromptKey
	}
	router := s.random.IntN(s.routers)
	b, now := s.balancers[router], start.Add(at)
	criteria := Criteria{
		Members: s.members, Usable: anyUsable, Key: key, HomeLoadFactor: 1.5, LoadFactor: limitFactor, Draw: s.random.Uint64(),
	}
	state, _ := b.Pick(now, criteria)
	for s.pauses && at >= hotFrom && s.refuses(now, router, state) {
		criteria.Tried = append(criteria.Tried, state.Endpoint)
		state, _ = b.Pick(now, criteria)
	}
	id := state.Endpoint.ID
	if s.picked != nil {
		s.picked(id)
	}
	total := 0
	for _, endpoint := range s.members {
		total += s.load[endpoint.ID]
	}
	mean := float64(total) / float64(len(s.members))
	s.over = append(s.over, arrival{at, float64(s.load[id]) > limitFactor*mean+limitSlack})
	request := simRequest{router: router, state: state, endpoint: id, key: key}
	s.begin(request, now)
	service := time.Duration(float64(meanService) * s.random.ExpFloat64()).Round(simStep)
	end := at + max(simStep, service)
	s.ends[end] = append(s.ends[end], request)
	s.accepts[at+acceptTime] = append(s.accepts[at+acceptTime], state)
}

// refuses plays the answer of an endpoint when each third one asks for a pause of 2 s.
func (s *simulation) refuses(now time.Time, router int, state *State) bool {
	if slices.Index(s.members, state.Endpoint)%3 > 0 {
		return false
	}
	const pause = 2 * time.Second
	asked := fmt.Sprint(router, " ", state.Endpoint.ID)
	if now.Before(s.asked[asked]) {
		s.pressed++
	}
	s.asked[asked] = now.Add(pause)
	s.refused++
	state.Pause(now, pause)
	return true
}

// worstWindow returns the largest fraction over the limit in a window that breaks the rule.
func (s *simulation) worstWindow() float64 {
	worst, first, over := 0.0, 0, 0
	for last, arrived := range s.over {
		if arrived.over {
			over++
		}
		for ; arrived.at-s.over[first].at > limitWindow; first++ {
			if s.over[first].over {
				over--
			}
		}
		fraction := float64(over) / float64(last-first+1)
		if arrived.at >= limitWindow && over >= limitCount && fraction > limitFraction {
			worst = max(worst, fraction)
		}
	}
	return worst
}
