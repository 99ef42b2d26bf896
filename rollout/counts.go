package rollout

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of a report.
const (
	// MaxRoutes is the number of routes that are counted one by one; the rest is counted
	// together under the name "".
	MaxRoutes = 16
	// MaxEndpoints is the number of target endpoints that are counted one by one.
	MaxEndpoints = 64
)

const (
	// maxRouteName is the length in bytes at which the name of a route is cut.
	maxRouteName = 40
	// goalBucket is the bucket of Tally.Slow with the answers that just meet the goal.
	goalBucket = 4
	// logOffset and logUnits are the offset and the units of Tally.LogTime.
	logOffset, logUnits = 8, 16
)

// ReportInterval is the time between two reports of the counts of a router.
const ReportInterval = 500 * time.Millisecond

// Tally counts answers.
type Tally struct {
	Answers uint32
	// Failed are the answers that failed: 5xx, broken off, none in time, wrong bytes.
	Failed   uint32
	LongGaps uint32 // answers with a gap between events over the goal
	// Slow is a histogram of the time to the first event or to the whole answer, divided by the
	// goal of the route: bucket i has the ratios up to 2^(i-4), the last one all others.
	Slow [8]uint32
	// LogTime is the sum over the answers in Slow of the binary logarithm of that ratio, plus 8
	// and limited to 0 to 16, in units of 1/16.
	LogTime uint32
}

// Answer is one finished answer of an endpoint.
type Answer struct {
	Target   bool   // of the target version
	Route    string // name of the route
	Endpoint string // id of the endpoint
	Failed   bool
	LongGap  bool
	// Cold is set if the endpoint was cold when the request was sent. The time of such an
	// answer is not counted.
	Cold bool
	// Elapsed is the time to the first event or to the whole answer; 0 if there was none.
	Elapsed time.Duration
	Goal    time.Duration // latency goal of the route; 0 if it has none
}

// Counter counts the requests and answers of one roll-out at one router. All counts only grow.
// It is not safe for concurrent use.
type Counter struct {
	report              Report
	targetEnds, oldEnds uint32 // attempts that ended
}

// NewCounter returns a counter for the roll-out with an id. The caller counts the attempts that are
// in flight at that time with RecordSent and later with RecordEnd: the old endpoints stop at the end
// of the roll-out, and a stream that began before it may still run there.
func NewCounter(id string) *Counter {
	return &Counter{report: Report{
		Order: id, Target: map[string]Tally{}, Old: map[string]Tally{}, Endpoints: map[uint32]Tally{},
	}}
}

// RecordSent counts an attempt that is sent to an endpoint, before RecordEnd.
func (c *Counter) RecordSent(target bool) {
	if target {
		c.report.TargetSent++
	} else {
		c.report.OldSent++
	}
}

// RecordEnd counts the end of an attempt that RecordSent counted, whatever the end was.
func (c *Counter) RecordEnd(target bool) {
	if target {
		c.targetEnds++
	} else {
		c.oldEnds++
	}
}

// RecordAnswer counts an answer or a failure. It is not called for attempts that show nothing
// of the version: the caller left, the router's own deadline was shorter than the goal, or the
// endpoint refused as full.
func (c *Counter) RecordAnswer(a Answer) {
	route := a.Route[:min(len(a.Route), maxRouteName)]
	tallies := c.report.Old
	if a.Target {
		tallies = c.report.Target
		addBounded(c.report.Endpoints, EndpointHash(a.Endpoint), a, MaxEndpoints)
	}
	if _, known := tallies[route]; !known && !c.routeFits(route) {
		route = ""
	}
	tally := tallies[route]
	tally.add(a)
	tallies[route] = tally
}

// routeFits reports whether the route is counted for one of the versions or there is room for it.
func (c *Counter) routeFits(route string) bool {
	routes := routeNames(c.report.Target, c.report.Old)
	_, found := slices.BinarySearch(routes, route)
	return found || len(routes) < MaxRoutes
}

// routeNames returns the names of the routes of both versions in order, without "".
func routeNames(target, old map[string]Tally) []string {
	names := slices.AppendSeq(slices.Collect(maps.Keys(target)), maps.Keys(old))
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(name string) bool { return name == "" })
}

// addBounded counts an answer of a key, unless the key is new and there are limit keys.
func addBounded(tallies map[uint32]Tally, key uint32, a Answer, limit int) {
	tally, known := tallies[key]
	if !known && len(tallies) >= limit {
		return
	}
	tally.add(a)
	tallies[key] = tally
}

// add counts an answer.
func (t *Tally) add(a Answer) {
	t.Answers++
	if a.LongGap {
		t.LongGaps++
	}
	if a.Failed {
		t.Failed++
		return
	}
	if a.Cold || a.Elapsed <= 0 || a.Goal <= 0 {
		return
	}
	logRatio := math.Log2(float64(a.Elapsed) / float64(a.Goal))
	bucket := int(math.Ceil(logRatio)) + goalBucket
	t.Slow[min(max(bucket, 0), len(t.Slow)-1)]++
	t.LogTime += uint32(math.Round(min(max(logRatio+logOffset, 0), 2*logOffset) * logUnits))
}

// Report returns the newest values. share is the share that the limiter has in force.
func (c *Counter) Report(share float64) Report {
	c.report.Seq++
	r := c.report
	r.Share = share
	r.OldInFlight = r.OldSent - min(c.oldEnds, r.OldSent)
	r.Target, r.Old, r.Endpoints = maps.Clone(r.Target), maps.Clone(r.Old), maps.Clone(r.Endpoints)
	return r
}

// Report has the counts of one router for one roll-out. It encodes itself as a byte string
// (encoding.BinaryMarshaler, which CBOR uses).
type Report struct {
	Order string // Rollout.ID
	Seq   uint32 // rises with each report of one start of the router
	// Share is the share that the router has in force, 0 to 1, in steps of 1/1000.
	Share       float64
	TargetSent  uint32 // attempts sent to the target
	OldSent     uint32 // attempts sent to other versions
	OldInFlight uint32 // attempts at other versions that have not ended
	Target, Old map[string]Tally
	Endpoints   map[uint32]Tally // target endpoints by EndpointHash
}

// EndpointHash returns the key of an endpoint in Report.Endpoints.
func EndpointHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }
