package routerlog

import (
	"cmp"
	"slices"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

const (
	// maxKeys bounds the number of different values that are counted in one table. Further
	// ones are counted as otherKey.
	maxKeys  = 4096
	otherKey = "(other)"
	// maxUnknown bounds the requests with an unknown outcome that are listed.
	maxUnknown = 1000
	// ageSampleSize is the number of requests of each outcome from which the quantiles of the
	// age are estimated.
	ageSampleSize = 2048
	// slotLength is the time that one row of the summary by time covers.
	slotLength = 10 * time.Minute
)

// Count is a value with the number of lines that have it.
type Count struct {
	Name  string `json:"name"`
	Lines int    `json:"lines"`
}

// UnknownRequest is a request that may have run and got no answer.
type UnknownRequest struct {
	Request   string    `json:"request"`
	At        time.Time `json:"at"`
	Router    string    `json:"router"`
	Service   string    `json:"service"`
	Workspace string    `json:"workspace"`
	Endpoint  string    `json:"endpoint"`
}

// Ages are quantiles of the time after their arrival at which requests ended, in seconds. They
// are estimates from a sample.
type Ages struct {
	Outcome string  `json:"outcome"`
	P50     float64 `json:"p50"`
	P95     float64 `json:"p95"`
	P99     float64 `json:"p99"`
}

// Summary is what the lines say together. Tables are sorted by descending count.
type Summary struct {
	From     time.Time `json:"from"`
	To       time.Time `json:"to"`
	Lines    int       `json:"lines"`
	BadLines int       `json:"bad_lines"`
	Routers  int       `json:"routers"`
	// Requests counts the requests that the routers ended themselves: by outcome, and by
	// outcome together with one more field.
	Requests    []Count `json:"requests"`
	ByReason    []Count `json:"by_reason"`
	ByZone      []Count `json:"by_zone"`
	ByService   []Count `json:"by_service"`
	ByWorkspace []Count `json:"by_workspace"`
	ByKind      []Count `json:"by_kind"`
	ByTime      []Count `json:"by_time"` // by start of the slot, in order of time
	Ages        []Ages  `json:"ages"`    // by outcome, in the order of Requests
	// Events counts what happened to endpoints, zones, the store and routers.
	Events    []Count `json:"events"`
	Endpoints []Count `json:"endpoints"` // ejections by endpoint
	// Restarts counts the starts of a router without a stop before, by router.
	Restarts []Count          `json:"restarts"`
	Unknown  []UnknownRequest `json:"unknown"`
	// UnknownLeftOut is the number of requests with an unknown outcome that are not in
	// Unknown.
	UnknownLeftOut int `json:"unknown_left_out"`
}

// counter counts values, of which it keeps at most maxKeys apart.
type counter map[string]int

func (c counter) add(name string) {
	if _, ok := c[name]; !ok && len(c) >= maxKeys {
		name = otherKey
	}
	c[name]++
}

// sorted returns the counts by descending number, equal ones by name.
func (c counter) sorted() []Count {
	counts := make([]Count, 0, len(c))
	for name, lines := range c {
		counts = append(counts, Count{Name: name, Lines: lines})
	}
	slices.SortFunc(counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Lines, a.Lines), cmp.Compare(a.Name, b.Name))
	})
	return counts
}

// routerState is what the summary remembers of a router.
type routerState struct {
	zone    string
	running bool
}

// Summarizer collects a Summary from lines. It is not safe for concurrent use.
type Summarizer struct {
	summary                                        Summary
	requests, reasons, zones, services, workspaces counter
	kinds, slots, events, endpoints, restarts      counter
	ages                                           map[string]metrics.Sample
	routers                                        map[string]*routerState
}

// NewSummarizer returns a Summarizer without lines.
func NewSummarizer() *Summarizer {
	return &Summarizer{
		requests: counter{}, reasons: counter{}, zones: counter{}, services: counter{}, workspaces: counter{},
		kinds: counter{}, slots: counter{}, events: counter{}, endpoints: counter{}, restarts: counter{},
		ages: map[string]metrics.Sample{}, routers: map[string]*routerState{},
	}
}

// AddBad counts a bad line.
func (s *Summarizer) AddBad() { s.summary.BadLines++ }

// Add adds a line. Lines of one router are added in their order.
func (s *Summarizer) Add(l Line) {
	s.summary.Lines++
	if s.summary.From.IsZero() || l.At.Before(s.summary.From) {
		s.summary.From = l.At
	}
	if l.At.After(s.summary.To) {
		s.summary.To = l.At
	}
	router := s.router(l.Router)
	if result, ok := l.requestOutcome(); ok {
		s.addRequest(l, result, router.zone)
		return
	}
	switch l.Message {
	case messageStarted:
		if router.running {
			s.restarts.add(l.Router)
		}
		router.running, router.zone = true, l.Zone
	case messageStopped:
		router.running = false
	case messageEjected:
		s.endpoints.add(l.Endpoint)
	case messageExited, messageStoreDown, messageStoreUp, messageZoneDoubted, messagePanic, messageRouterRemoved:
	default:
		if l.Level != "error" {
			return
		}
	}
	s.events.add(l.Message)
}

func (s *Summarizer) router(name string) *routerState {
	state, ok := s.routers[name]
	if !ok {
		if len(s.routers) >= maxKeys {
			return &routerState{}
		}
		state = &routerState{}
		s.routers[name] = state
	}
	return state
}

func (s *Summarizer) addRequest(l Line, result outcome, zone string) {
	s.requests.add(string(result))
	s.reasons.add(string(result) + ": " + l.Reason)
	s.zones.add(string(result) + ": " + orUnknown(zone))
	s.services.add(string(result) + ": " + orUnknown(l.Service))
	s.workspaces.add(string(result) + ": " + orUnknown(l.Workspace))
	s.kinds.add(string(result) + ": " + orUnknown(l.Kind))
	s.slots.add(l.At.UTC().Truncate(slotLength).Format(time.RFC3339) + " " + string(result))
	if s.ages[string(result)] == nil {
		s.ages[string(result)] = metrics.NewUniformSample(ageSampleSize)
	}
	s.ages[string(result)].Update(time.Duration(l.Age * float64(time.Second)).Microseconds())
	if result != outcomeUnknown {
		return
	}
	if len(s.summary.Unknown) == maxUnknown {
		s.summary.UnknownLeftOut++
		return
	}
	s.summary.Unknown = append(s.summary.Unknown, UnknownRequest{
		Request: l.Request, At: l.At, Router: l.Router, Service: l.Service, Workspace: l.Workspace, Endpoint: l.Endpoint,
	})
}

func orUnknown(name string) string {
	if name == "" {
		return "(not known)"
	}
	return name
}

// Summary returns the summary of the lines that were added.
func (s *Summarizer) Summary() Summary {
	summary := s.summary
	summary.Routers = len(s.routers)
	summary.Requests, summary.ByReason, summary.ByZone = s.requests.sorted(), s.reasons.sorted(), s.zones.sorted()
	summary.ByService, summary.ByWorkspace, summary.ByKind = s.services.sorted(), s.workspaces.sorted(), s.kinds.sorted()
	summary.Events, summary.Endpoints, summary.Restarts = s.events.sorted(), s.endpoints.sorted(), s.restarts.sorted()
	summary.ByTime = s.slots.sorted()
	slices.SortFunc(summary.ByTime, func(a, b Count) int { return cmp.Compare(a.Name, b.Name) })
	for _, count := range summary.Requests {
		quantiles := s.ages[count.Name].Percentiles([]float64{0.5, 0.95, 0.99})
		const perSecond = float64(time.Second / time.Microsecond)
		summary.Ages = append(summary.Ages, Ages{count.Name, quantiles[0] / perSecond, quantiles[1] / perSecond, quantiles[2] / perSecond})
	}
	slices.SortStableFunc(summary.Unknown, func(a, b UnknownRequest) int { return a.At.Compare(b.At) })
	return summary
}
