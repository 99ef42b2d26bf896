package rollout

import "time"

// Bounds of a report.
const (
	// MaxRoutes is the number of routes that are counted one by one; the rest is counted
	// together under the name "".
	MaxRoutes = 16
	// MaxEndpoints is the number of target endpoints that are counted one by one.
	MaxEndpoints = 64
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
type Counter struct{}

// NewCounter returns a counter for the roll-out with an id.
func NewCounter(id string) *Counter { return &Counter{} }

// RecordSent counts an attempt that was sent to an endpoint, before RecordEnd.
func (c *Counter) RecordSent(target bool) {}

// RecordEnd counts the end of an attempt that RecordSent counted, whatever the end was.
func (c *Counter) RecordEnd(target bool) {}

// RecordAnswer counts an answer or a failure. It is not called for attempts that show nothing
// of the version: the caller left, the router's own deadline was shorter than the goal, or the
// endpoint refused as full.
func (c *Counter) RecordAnswer(a Answer) {}

// Report returns the newest values. share is the share that the limiter has in force, 0 while it
// is stale.
func (c *Counter) Report(share float64) Report { return Report{} }

// Report has the counts of one router for one roll-out. It encodes itself as a byte string
// (encoding.BinaryMarshaler, which CBOR uses).
type Report struct {
	Order string // Rollout.ID
	// Share is the share that the router has in force, 0 to 1.
	Share       float64
	TargetSent  uint32 // attempts sent to the target
	OldSent     uint32 // attempts sent to other versions
	OldInFlight uint32 // attempts at old versions that have not ended
	Target, Old map[string]Tally
	Endpoints   map[uint64]Tally // target endpoints by EndpointHash
}

// EndpointHash returns the key of an endpoint in Report.Endpoints.
func EndpointHash(id string) uint64 { return 0 }

// MarshalBinary encodes the report.
func (r Report) MarshalBinary() ([]byte, error) { return nil, nil }

// UnmarshalBinary decodes a report. It returns an error if the data is not a report within the
// bounds.
func (r *Report) UnmarshalBinary(data []byte) error { return nil }

// Capacity is what the decider sees of the target endpoints of a service.
type Capacity struct {
	TargetEndpoints int // that are registered and not withdrawn
	TargetSlots     int // of these; 0 if not known
	InFlight        int // requests of the service in the fleet
}

// Counts are the counts of all routers for one roll-out.
type Counts struct {
	Target, Old map[string]Tally
	Endpoints   map[uint64]Tally
	// TargetSent and OldSent are the attempts sent, as far as reported.
	TargetSent, OldSent uint64
	OldInFlight         int // at routers that report
	Routers             int // number of routers that report
	// Confirmed is the number of these that have share 1 in force and no attempt in flight at
	// an old endpoint.
	Confirmed int
	Silent    int // routers that have reported but not lately
	// Recent are the counts of the last seconds, nil if not known.
	Recent *Counts
	Capacity
}

// Collector adds up the reports of the routers at a relay. It is not safe for concurrent use.
type Collector struct{}

// NewCollector returns an empty collector for the roll-out with an id.
func NewCollector(id string) *Collector { return &Collector{} }

// Add takes the report of a router. start identifies the start of the router: the counts of
// earlier starts are kept. Reports of other roll-outs are ignored; older values change nothing.
func (c *Collector) Add(now time.Time, router string, start uint64, r Report) {}

// Counts returns the sums.
func (c *Collector) Counts(now time.Time, capacity Capacity) Counts { return Counts{} }
