package rollout

import (
	"maps"
	"time"
)

const (
	// reportTTL is the time after which a router whose reports stopped counts as silent.
	reportTTL = 2 * time.Second
	// silentTTL is the time after which a silent router is taken to be gone.
	silentTTL = 10 * time.Second
	// recentTime is the time that Counts.Recent covers. A version that turns bad late shows in
	// it before the good answers of the whole roll-out are outweighed.
	recentTime = 2 * time.Second
	// snapshotInterval is the time between two snapshots for Counts.Recent.
	snapshotInterval = 250 * time.Millisecond
	// maxReporters bounds the starts of routers whose reports are kept.
	maxReporters = 2048
)

// Capacity is what the decider sees of the endpoints of a service.
type Capacity struct {
	TargetEndpoints int // that are registered and not withdrawn
	TargetSlots     int // of these; 0 if not known
	OldEndpoints    int // of versions that the limiter classes as old
	InFlight        int // requests of the service in the fleet
}

// Counts are the counts of all routers for one roll-out.
type Counts struct {
	Target, Old map[string]Tally
	Endpoints   map[uint32]Tally // target endpoints by EndpointHash
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

// reporter is one start of a router.
type reporter struct {
	router string
	start  uint64
}

type received struct {
	report Report
	at     time.Time
}

type snapshot struct {
	at     time.Time
	counts Counts
}

// Collector adds up the reports of the routers at a relay. It is not safe for concurrent use.
type Collector struct {
	order     string
	newest    map[reporter]received
	starts    map[string]uint64 // newest start of each router
	sums      Counts
	snapshots []snapshot // oldest first
}

// NewCollector returns an empty collector for the roll-out with an id.
func NewCollector(id string) *Collector {
	return &Collector{order: id, newest: map[reporter]received{}, starts: map[string]uint64{}, sums: emptyCounts()}
}

func emptyCounts() Counts {
	return Counts{Target: map[string]Tally{}, Old: map[string]Tally{}, Endpoints: map[uint32]Tally{}}
}

// Add takes the report of a router. start identifies the start of the router: the counts of
// earlier starts are kept. Reports of other roll-outs are ignored; older values change nothing.
func (c *Collector) Add(now time.Time, router string, start uint64, r Report) {
	key := reporter{router, start}
	last, known := c.newest[key]
	if r.Order != c.order || known && r.Seq <= last.report.Seq || !known && len(c.newest) >= maxReporters {
		return
	}
	c.takeSnapshot(now)
	addGrowth(c.sums.Target, last.report.Target, r.Target)
	addGrowth(c.sums.Old, last.report.Old, r.Old)
	addGrowth(c.sums.Endpoints, last.report.Endpoints, r.Endpoints)
	c.sums.TargetSent += uint64(growth(last.report.TargetSent, r.TargetSent))
	c.sums.OldSent += uint64(growth(last.report.OldSent, r.OldSent))
	c.newest[key] = received{r, now}
	if !known {
		c.starts[router] = start
	}
}

// growth returns by how much a counter has grown; 0 if it has shrunk, which no correct router
// reports.
func growth(before, after uint32) uint32 { return after - min(before, after) }

// growthOf returns the growth of each count.
func growthOf(before, after Tally) Tally {
	result := Tally{
		Answers: growth(before.Answers, after.Answers), Failed: growth(before.Failed, after.Failed),
		LongGaps: growth(before.LongGaps, after.LongGaps), LogTime: growth(before.LogTime, after.LogTime),
	}
	for i := range result.Slow {
		result.Slow[i] = growth(before.Slow[i], after.Slow[i])
	}
	return result
}

// plus returns the sums of the counts of two tallies.
func (t Tally) plus(other Tally) Tally {
	t.Answers += other.Answers
	t.Failed += other.Failed
	t.LongGaps += other.LongGaps
	t.LogTime += other.LogTime
	for i := range t.Slow {
		t.Slow[i] += other.Slow[i]
	}
	return t
}

// addGrowth adds to the sums by how much the tallies have grown.
func addGrowth[K comparable](sums, before, after map[K]Tally) {
	for key, tally := range after {
		sums[key] = sums[key].plus(growthOf(before[key], tally))
	}
}

func (c *Collector) takeSnapshot(now time.Time) {
	if n := len(c.snapshots); n > 0 && now.Sub(c.snapshots[n-1].at) < snapshotInterval {
		return
	}
	c.snapshots = append(c.snapshots, snapshot{now, c.sums.clone()})
	for len(c.snapshots) > 1 && now.Sub(c.snapshots[1].at) >= recentTime {
		c.snapshots = c.snapshots[1:]
	}
}

func (c Counts) clone() Counts {
	c.Target, c.Old, c.Endpoints = maps.Clone(c.Target), maps.Clone(c.Old), maps.Clone(c.Endpoints)
	return c
}

// Counts returns the sums.
func (c *Collector) Counts(now time.Time, capacity Capacity) Counts {
	c.takeSnapshot(now)
	counts := c.sums.clone()
	counts.Capacity = capacity
	for key, last := range c.newest {
		age := now.Sub(last.at)
		switch {
		case c.starts[key.router] != key.start || age > silentTTL:
		case age > reportTTL:
			counts.Silent++
		default:
			counts.Routers++
			counts.OldInFlight += int(last.report.OldInFlight)
			if last.report.Share >= 1 && last.report.OldInFlight == 0 {
				counts.Confirmed++
			}
		}
	}
	recent := emptyCounts()
	before := c.snapshots[0].counts
	addGrowth(recent.Target, before.Target, counts.Target)
	addGrowth(recent.Old, before.Old, counts.Old)
	addGrowth(recent.Endpoints, before.Endpoints, counts.Endpoints)
	recent.TargetSent, recent.OldSent = counts.TargetSent-before.TargetSent, counts.OldSent-before.OldSent
	counts.Recent = &recent
	return counts
}
