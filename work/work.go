// Package work estimates what requests cost endpoints, how much work each endpoint still has to
// do, and how fast it is, so that requests can be placed by the time until they are answered. It
// does no I/O and reads no clock. Its types are not safe for concurrent use.
//
// Costs are in time of an endpoint at usual speed. What they depend on is learned from the
// responses to this router, with bounds on what a single response or report can change.
package work

import (
	"math"
	"time"
)

// Values that hold until minSamples samples have been seen.
const (
	defaultTokensPerMS  = 80.0 // prompt tokens that an engine processes in 1 ms
	defaultTokenMS      = 8.0  // time of one output token, in ms
	defaultPlainMS      = 20.0 // work of a request to a plain service, in ms
	defaultOutputTokens = 100.0
	minSamples          = 20
)

const (
	// maxSampleFactor bounds a sample: it counts as at most this many times the estimate, and
	// as at least the estimate divided by it.
	maxSampleFactor = 4
	// minWeight and maxWeight bound the weight of a sample in a moving average.
	minWeight = 0.05
	maxWeight = 0.25
	// meanWeight is the weight of a request in the mean cost of a service. It is low because
	// single costs differ by a factor of 50.
	meanWeight = 0.01
	// minServiceShare is the part of an observed time that counts as the request's own work at
	// least, however long the expected wait was.
	minServiceShare = 0.25
	// maxTokens bounds the tokens that a request declares or hints. A larger number is an error.
	maxTokens = 1 << 24
	// maxRoutes bounds the number of routes of a service that are learned separately.
	maxRoutes = 64
)

// Request is what is known of the cost of a request before it is sent.
type Request struct {
	Route string
	// Prompt is the number of prompt tokens, Cached how many of them the endpoint is expected to
	// hold, MaxOutput the declared maximum of output tokens, and Hint the caller's estimate of
	// them. 0 means unknown.
	Prompt, Cached, MaxOutput, Hint int
	Plain                           bool // the service responds with one body
}

// Estimate is the expected cost of a request at usual speed.
type Estimate struct {
	// Prefill is the time until the first event, or the whole work of a plain request.
	Prefill time.Duration
	// Output is the time from the first event to the last.
	Output time.Duration
	// Tokens is the number of prompt tokens that the request holds in the engine's memory.
	Tokens float64
}

// Total returns the whole cost.
func (e Estimate) Total() time.Duration { return e.Prefill + e.Output }

// Sample is what was observed of a request that has been answered.
type Sample struct {
	// First is the time until the first event or, of a plain request, until the whole response.
	First time.Duration
	// Rest is the time from the first event to the last.
	Rest time.Duration
	// Wait is the part of First that was expected to pass before the work on the request, at
	// usual speed.
	Wait time.Duration
	// Output is the number of events; 0 for plain requests.
	Output int
	// Contention is Endpoint.Contention at the time of the response: 1 means as usual.
	Contention float64
}

// average is a moving average of positive values with a bound on each sample.
type average struct {
	value float64
	n     int
}

// get returns the average, or unknown before minSamples samples.
func (a *average) get(unknown float64) float64 {
	if a.n < minSamples {
		return unknown
	}
	return a.value
}

func (a *average) add(sample, unknown float64) {
	if !(sample > 0) || math.IsInf(sample, 0) {
		return
	}
	if a.n == 0 {
		a.value = unknown
	}
	sample = min(max(sample, a.value/maxSampleFactor), a.value*maxSampleFactor)
	a.n++
	a.value += min(maxWeight, max(minWeight, 1/float64(a.n))) * (sample - a.value)
}

// route has what is learned of the requests on one route.
type route struct {
	plainMS average
	output  average // events
	// hintScale is the mean ratio of events to the hinted number.
	hintScale average
	// meanError and hintError are the mean squared logarithms of the ratio of the output to the
	// estimate by the route's mean and to that by the hint.
	meanError, hintError average
}

// Config has what is known of a service.
type Config struct {
	// Capacity is the number of tokens that fit an engine's memory; 0 if it is not known.
	Capacity int
}

// Model learns what requests of one service cost.
type Model struct {
	config      Config
	msPerPrompt average // time of one prompt token, in ms
	tokenMS     average // time of one output token, in ms
	routes      map[string]*route
	mean        Estimate
	placed      int
	speed       average // mean ratio of observed to expected times
	deviation   average // mean of that ratio or its inverse, whichever is above 1
}

// New returns a model without samples.
func New(config Config) *Model { return &Model{config: config, routes: map[string]*route{}} }

// Clone returns a copy that shares nothing with the model.
func (m *Model) Clone() *Model {
	c := *m
	c.routes = make(map[string]*route, len(m.routes))
	for name, known := range m.routes {
		r := *known
		c.routes[name] = &r
	}
	return &c
}

// SetConfig replaces what is known of the service.
func (m *Model) SetConfig(config Config) { m.config = config }

// Learned reports whether the model has seen a response.
func (m *Model) Learned() bool { return m.deviation.n > 0 }

func (m *Model) route(name string) *route {
	r, ok := m.routes[name]
	if !ok {
		if len(m.routes) >= maxRoutes {
			name = ""
			if r = m.routes[name]; r != nil {
				return r
			}
		}
		r = &route{}
		m.routes[name] = r
	}
	return r
}

// Cost returns the expected cost of a request.
func (m *Model) Cost(r Request) Estimate {
	known := m.route(r.Route)
	if r.Plain {
		return Estimate{Prefill: milliseconds(known.plainMS.get(defaultPlainMS))}
	}
	prompt := min(max(0, r.Prompt), maxTokens)
	uncached := float64(max(0, prompt-max(0, r.Cached)))
	return Estimate{
		Prefill: milliseconds(uncached * m.msPerPrompt.get(1/defaultTokensPerMS)),
		Output:  milliseconds(known.expectedOutput(r) * m.tokenMS.get(defaultTokenMS)),
		Tokens:  float64(prompt),
	}
}

// expectedOutput blends the route's mean output with the hint, weighted by how well each has
// predicted the output. It is at most the declared maximum.
func (k *route) expectedOutput(r Request) float64 {
	expected := k.output.get(defaultOutputTokens)
	if r.Hint > 0 {
		hinted := float64(min(r.Hint, maxTokens)) * k.hintScale.get(1)
		weight := 0.5
		if sum := k.meanError.get(1) + k.hintError.get(1); sum > 0 {
			weight = k.meanError.get(1) / sum
		}
		expected += weight * (hinted - expected)
	}
	if r.MaxOutput > 0 {
		expected = min(expected, float64(r.MaxOutput))
	}
	return expected
}

// RecordPlaced records that a request with the cost has been sent to an endpoint.
func (m *Model) RecordPlaced(e Estimate) {
	m.placed++
	weight := max(meanWeight, 1/float64(m.placed))
	m.mean.Prefill += time.Duration(weight * float64(e.Prefill-m.mean.Prefill))
	m.mean.Output += time.Duration(weight * float64(e.Output-m.mean.Output))
	m.mean.Tokens += weight * (e.Tokens - m.mean.Tokens)
}

// Mean returns the mean cost of the requests that this router has sent to the service.
func (m *Model) Mean() Estimate { return m.mean }

// OutputTime returns the expected time of a number of output tokens at usual speed.
func (m *Model) OutputTime(tokens int) time.Duration {
	return milliseconds(float64(tokens) * m.tokenMS.get(defaultTokenMS))
}

// Capacity returns the number of tokens that fit an engine's memory; 0 if it is not known.
func (m *Model) Capacity() int { return m.config.Capacity }

// Observe learns from a request that has been answered as a whole.
func (m *Model) Observe(r Request, s Sample) {
	known := m.route(r.Route)
	contention := s.Contention
	if !(contention > 0) {
		contention = 1
	}
	own := inMS(max(s.First-s.Wait, time.Duration(minServiceShare*float64(s.First)))) / contention
	if r.Plain {
		known.plainMS.add(own, defaultPlainMS)
		return
	}
	if uncached := r.Prompt - max(0, r.Cached); uncached > 0 {
		m.msPerPrompt.add(own/float64(uncached), 1/defaultTokensPerMS)
	}
	if s.Output > 1 {
		m.tokenMS.add(inMS(s.Rest)/contention/float64(s.Output-1), defaultTokenMS)
	}
	if s.Output > 0 {
		known.observeOutput(r, float64(s.Output))
	}
}

func (k *route) observeOutput(r Request, output float64) {
	k.meanError.add(squaredLog(output/k.output.get(defaultOutputTokens)), 1)
	k.output.add(output, defaultOutputTokens)
	if r.Hint <= 0 {
		return
	}
	ratio := output / float64(r.Hint)
	k.hintError.add(squaredLog(ratio/k.hintScale.get(1)), 1)
	k.hintScale.add(ratio, 1)
}

// minSquaredError keeps the error of an estimate above 0, the value of no sample.
const minSquaredError = 1e-4

func squaredLog(ratio float64) float64 {
	l := math.Log(ratio)
	return max(minSquaredError, l*l)
}

// recordDeviation records the ratio of an observed time to the expected one.
func (m *Model) recordDeviation(ratio float64) {
	m.speed.add(ratio, 1)
	m.deviation.add(max(ratio, 1/ratio), 1)
}

// Speed returns the mean speed of the endpoints that have answered.
func (m *Model) Speed() float64 { return m.speed.get(1) }

// unevenSpeed is the mean ratio of observed to expected times, or its inverse, from which the
// speeds of a service count as uneven.
const unevenSpeed = 1.5

// Uneven reports whether the speeds of the endpoints differ so much that a third draw pays.
func (m *Model) Uneven() bool { return m.deviation.get(1) > unevenSpeed }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func inMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
