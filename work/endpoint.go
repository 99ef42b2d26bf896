package work

import (
	"math"
	"time"
)

const (
	// speedTime is the time constant of the moving average of an endpoint's speed.
	speedTime = 2 * time.Second
	// speedPrior is the weight of the usual speed beside the samples, each of which has weight 1
	// when it is new. One sample moves the speed half-way.
	speedPrior = 1
	// minSpeed and maxSpeed bound how many times as long as usual work is taken to last.
	minSpeed = 0.25
	maxSpeed = 8
	// overdue is the number of times the expected time after which a request without an answer
	// shows that its endpoint is slow.
	overdue = 2
	// contentionTime is the time constant of the filter of the fourth figure.
	contentionTime = 300 * time.Millisecond
	// The fourth figure counts half contentionHalf after it was reported, and not at all from
	// contentionEnd on.
	contentionHalf = 300 * time.Millisecond
	contentionEnd  = 1500 * time.Millisecond
	// maxContention is the largest fourth figure that an endpoint can mean.
	maxContention = 32
	// A figure that differs by more than maxDisagreement from the router's own times in
	// disagreements answers in a row is ignored until as many answers agree with it.
	maxDisagreement = 4
	disagreements   = 20
	// A report of running and waiting requests counts half loadHalf after it, and not at all from
	// loadEnd on.
	loadHalf = 250 * time.Millisecond
	loadEnd  = time.Second
	// maxReportFactor bounds a report: the requests of other routers are at most this many times
	// the number from the fleet's messages, plus the slots, and at least that number divided by
	// it.
	maxReportFactor = 4
	// runningShare is by how much a full set of running requests lengthens the work on another.
	runningShare = 0.5
	// memoryShare is the part of an engine's memory that prompts may fill.
	memoryShare = 0.9
)

// Load is what an endpoint reports of itself in a response.
type Load struct {
	Running, Waiting, Slots int
	// Contention is how many times as long as usual work takes at present; 0 if it is not known.
	Contention float64
	// Odd is set when the report, or its fourth figure, can't be used.
	Odd bool
}

// Endpoint is what a router knows of the work and speed of one endpoint. The zero value is an
// endpoint of usual speed without work.
type Endpoint struct {
	requests  []request
	ownTokens float64

	// others is the number of requests of other routers in the newest report.
	others   float64
	othersAt time.Time
	slots    int

	// speedSum is the sum of the logarithms of the ratios of observed to expected times, and
	// speedWeight that of their weights, at speedAt.
	speedSum, speedWeight float64
	speedAt               time.Time

	contention   float64
	contentionAt time.Time
	// disagreeing counts the answers in a row that contradict the figure if it is in use, or
	// that agree with it if it is ignored.
	disagreeing int
	ignored     bool
}

// request is a request of this router in flight at the endpoint.
type request struct {
	id       uint64
	start    time.Time
	estimate Estimate
	expected time.Duration // until the first event, at usual speed
	answered bool
}

// Start records that a request is sent. expected is the time until its first event at usual
// speed, as Usual returned it.
func (e *Endpoint) Start(now time.Time, id uint64, estimate Estimate, expected time.Duration) {
	e.requests = append(e.requests, request{id: id, start: now, estimate: estimate, expected: expected})
	e.ownTokens += estimate.Tokens
}

// Answered records that the first event of a request has arrived.
func (e *Endpoint) Answered(id uint64) {
	for i := range e.requests {
		if e.requests[i].id == id {
			e.requests[i].answered = true
		}
	}
}

// End records that a request is no longer in flight. Unknown ids are ignored.
func (e *Endpoint) End(id uint64) {
	for i := range e.requests {
		if e.requests[i].id != id {
			continue
		}
		e.ownTokens -= e.requests[i].estimate.Tokens
		last := len(e.requests) - 1
		e.requests[i] = e.requests[last]
		e.requests = e.requests[:last]
		return
	}
}

// ObserveLoad records a report of the endpoint. It returns false if a part of it is ignored.
func (e *Endpoint) ObserveLoad(now time.Time, load Load) bool {
	used := !load.Odd
	if load.Slots > 0 && load.Running >= 0 && load.Waiting >= 0 {
		e.slots = load.Slots
		e.others = float64(max(0, load.Running+load.Waiting-len(e.requests)))
		e.othersAt = now
	}
	if !(load.Contention > 0) || load.Contention > maxContention {
		return used && load.Contention == 0
	}
	level, weight := 1.0, 1.0
	if !e.contentionAt.IsZero() {
		level = e.reported(now)
		weight = 1 - math.Exp(-float64(now.Sub(e.contentionAt))/float64(contentionTime))
	}
	e.contention = level + weight*(load.Contention-level)
	e.contentionAt = now
	return used && !e.ignored
}

// reported returns the filtered fourth figure, which returns to 1 with its age.
func (e *Endpoint) reported(now time.Time) float64 {
	age := now.Sub(e.contentionAt)
	if e.contentionAt.IsZero() || age >= contentionEnd {
		return 1
	}
	return 1 + (e.contention-1)*halved(age, contentionHalf)
}

// Contention returns the filtered fourth figure as it is used: 1 if there is none.
func (e *Endpoint) Contention(now time.Time) float64 {
	if e.ignored {
		return 1
	}
	return e.reported(now)
}

// ObserveSpeed records the time of a response of the endpoint and the time that was expected at
// usual speed. The model is told how far they differ.
func (e *Endpoint) ObserveSpeed(now time.Time, m *Model, expected, observed time.Duration) {
	if expected <= 0 || observed <= 0 {
		return
	}
	ratio := min(max(float64(observed)/float64(expected), minSpeed), maxSpeed)
	e.compareReport(now, ratio)
	m.recordDeviation(ratio)
	weight := e.weight(now)
	decay := 0.0
	if e.speedWeight > 0 {
		decay = weight / e.speedWeight
	}
	e.speedSum = e.speedSum*decay + math.Log(ratio/e.Contention(now))
	e.speedWeight = weight + 1
	e.speedAt = now
}

// compareReport decides whether the fourth figure is ignored because it contradicts the router's
// own times.
func (e *Endpoint) compareReport(now time.Time, ratio float64) {
	if e.contentionAt.IsZero() || now.Sub(e.contentionAt) >= contentionEnd {
		return
	}
	quotient := ratio / e.contention
	if disagrees := quotient > maxDisagreement || quotient < 1.0/maxDisagreement; disagrees == e.ignored {
		e.disagreeing = 0
		return
	}
	if e.disagreeing++; e.disagreeing >= disagreements {
		e.ignored, e.disagreeing = !e.ignored, 0
	}
}

// weight returns the weight of the samples of the endpoint's speed.
func (e *Endpoint) weight(now time.Time) float64 {
	if e.speedWeight == 0 {
		return 0
	}
	return e.speedWeight * math.Exp(-float64(now.Sub(e.speedAt))/float64(speedTime))
}

// Speed returns how many times as long as usual work lasts at the endpoint.
func (e *Endpoint) Speed(now time.Time) float64 {
	speed := 1.0
	if weight := e.weight(now); weight > 0 {
		speed = math.Exp(e.speedSum / e.speedWeight * weight / (weight + speedPrior))
	}
	speed *= e.Contention(now)
	for i := range e.requests {
		r := &e.requests[i]
		if r.answered || r.expected <= 0 {
			continue
		}
		if ratio := float64(now.Sub(r.start)) / float64(r.expected); ratio > overdue {
			speed = max(speed, ratio)
		}
	}
	return min(max(speed, minSpeed), maxSpeed)
}

// Sampled reports whether the speed is known from responses.
func (e *Endpoint) Sampled(now time.Time) bool { return e.weight(now) > 0 }

// Outstanding returns the remaining work of this router's requests at the endpoint, at usual
// speed.
func (e *Endpoint) Outstanding(now time.Time) time.Duration {
	return e.outstanding(now, 1)
}

func (e *Endpoint) outstanding(now time.Time, speed float64) time.Duration {
	var sum time.Duration
	for i := range e.requests {
		r := &e.requests[i]
		done := time.Duration(float64(now.Sub(r.start)) / speed)
		sum += max(0, r.estimate.Total()-done)
	}
	return sum
}

// correctOthers returns the number of requests of other routers, from the fleet's messages and
// the endpoint's own report.
func (e *Endpoint) correctOthers(now time.Time, others float64) float64 {
	age := now.Sub(e.othersAt)
	if e.othersAt.IsZero() || age >= loadEnd {
		return others
	}
	reported := min(max(e.others, others/maxReportFactor), others*maxReportFactor+float64(e.slots))
	return others + (reported-others)*halved(age, loadHalf)
}

// Usual returns the expected time until the first event of a request with the estimate, as if
// the endpoint had its usual speed. others is the number of requests of other routers from the
// fleet's messages, and mean the mean cost of the service's requests. slots is the number of
// requests that the endpoint runs at a time.
func (e *Endpoint) Usual(now time.Time, slots int, others float64, mean, estimate Estimate) time.Duration {
	return e.usual(now, slots, others, mean, estimate, e.Speed(now))
}

// Expected returns the expected time until the first event of a request: Usual x Speed.
func (e *Endpoint) Expected(now time.Time, slots int, others float64, mean, estimate Estimate) time.Duration {
	speed := e.Speed(now)
	return time.Duration(float64(e.usual(now, slots, others, mean, estimate, speed)) * speed)
}

func (e *Endpoint) usual(now time.Time, slots int, others float64, mean, estimate Estimate, speed float64) time.Duration {
	places := float64(max(1, slots))
	others = e.correctOthers(now, others)
	requests := float64(len(e.requests)) + others
	total := float64(e.outstanding(now, speed)) + others*float64(mean.Total())
	// Running requests count by their work, so that a long one delays more than a short one.
	running := requests
	if mean.Total() > 0 {
		running = total / float64(mean.Total())
	}
	usual := float64(estimate.Prefill) * (1 + runningShare*min(1, running/places))
	if requests >= places {
		usual += total / requests * (requests - places + 1) / places
	}
	return time.Duration(usual)
}

// HasMemory reports whether the prompt of a request fits an engine's memory of capacity tokens
// beside the requests that it has. A report may raise the number of other routers' requests but
// not lower it.
func (e *Endpoint) HasMemory(now time.Time, capacity int, others float64, mean, estimate Estimate) bool {
	if capacity <= 0 {
		return true
	}
	held := e.ownTokens + max(others, e.correctOthers(now, others))*mean.Tokens
	return held+estimate.Tokens <= memoryShare*float64(capacity)
}

// halved returns the weight of a value of the given age, which halves with each half-life.
func halved(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
