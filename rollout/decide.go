package rollout

import (
	"math"
	"slices"
	"time"
)

// The shares of the stages. Most of the exposure that the bound allows is spent in the last
// stage, where a bad version gets every request until it is found; the stages before it are
// therefore short or small. The second stage sends its share to as many target endpoints as get
// about the load of the last one (see Limiter.Focus), so that a version that fails only under load
// is found before that.
const (
	// canaryFraction is the share of the canary stage, and maxCanaryFraction that of a service with
	// few requests, as fractions of Bounds.Share.
	canaryFraction    = 0.5
	maxCanaryFraction = 1.4
	// maxCanaryShare bounds both. It is under minFocusShare, from which on a share is that of the
	// second stage for Decide and Limiter.
	maxCanaryShare = 0.14
	// minFocusShare and maxFocusShare bound the share of the second stage. maxPairShare is the
	// largest one with which two endpoints get the load of the last stage instead of one.
	minFocusShare = 0.15
	maxPairShare  = 0.34
	maxFocusShare = 0.5
)

// Times as parts of the period.
const (
	// canaryLength is the longest and minCanary the shortest length of the canary stage.
	canaryLength = 0.7
	minCanary    = 0.56
	focusLength  = 0.16
	lastLength   = 0.06
	// waiveAt is when the minimum of answers is waived unless the target is suspect.
	waiveAt = 0.75
	// doubtUntil is when the last stage begins although the target is suspect, unless it is
	// likely to be bad: a roll-out held by a doubt would miss the deadline.
	doubtUntil = 0.8
	// oneEndpointUntil is the same while a single endpoint fails and others have hardly any recent
	// answers. The last stage and the end of the roll-out fit into the rest of the period.
	oneEndpointUntil = 0.85
	// lastDone is when a roll-out with share 1 is done although attempts are still in flight
	// at old endpoints.
	lastDone = 0.92
	// giveUpAt is when a target without any answer, or one that is still likely to be bad, is
	// rolled back. The rest of the period is for the write of the status.
	giveUpAt = 0.95
)

const (
	// minStage is the shortest time of a stage.
	minStage = ReportInterval
	// minFocus and maxFocus bound the time of the second stage unless it is late: the load has
	// to build up, to fail, and to be reported.
	minFocus = 1500 * time.Millisecond
	maxFocus = 2 * time.Second
	// finalStages is the time before the deadline that the stages after the canary need.
	finalStages = 4500 * time.Millisecond
	// minAnswers is the minimum of answers of each version before the last stage, or
	// minEndpointAnswers for each target endpoint if that is less.
	minAnswers         = 100
	minEndpointAnswers = 20
	// minRouteAnswers is the number of answers that the test needs to find one bad route of ten.
	minRouteAnswers = 250
	// canaryPart is the part of the exposure allowed by the bounds that the canary stage of a
	// service with few requests may use to get answers for the test.
	canaryPart = 0.45
	// minRateTime is the time after which the rate of requests is known.
	minRateTime = time.Second
	// slotReserve is how many times the requests in flight the target must have slots for.
	slotReserve = 1.2
	// maxStart is the part of the period after the creation of the order within which the
	// first status must come; otherwise the period starts with it, because no router decided.
	maxStart = 0.25
)

// Evidence is what a decision is based on, for logs.
type Evidence struct {
	Route                        string // on which the target is bad or suspect; "" for all together
	Answers, Failed              uint64 // answers of the target on that route and the failed or slow ones
	OldAnswers, OldFailed        uint64 // the same of the old versions
	Suspect                      bool   // the share does not rise because of these answers
	TargetSent, Sent             uint64 // attempts of the target and of all versions
	OldInFlight                  int    // attempts at old endpoints that have not ended
	Routers, Confirmed, Silent   int    // see Counts
	TargetEndpoints, TargetSlots int
}

// Deadline returns the end of the period.
func Deadline(r Rollout, s Status) time.Time { return begun(r, s).Add(r.Period) }

// begun returns the time at which the period began.
func begun(r Rollout, s Status) time.Time {
	if r.Created.IsZero() || s.Started.Sub(r.Created).Abs() > part(r.Period, maxStart) {
		return s.Started
	}
	return r.Created
}

func part(period time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(period) * fraction)
}

// Decide returns the status that should be in force. It is pure. A status of another order counts
// as none. The result has the same content as current if nothing changes.
func Decide(now time.Time, r Rollout, current Status, counts Counts) (Status, Evidence) {
	if current.Order != r.ID || current.State == None {
		current = Status{
			State: Running, Target: r.Target, Order: r.ID, Started: time.UnixMilli(now.UnixMilli()), Since: now,
		}
		current.Share = min(r.canaryShare(), capacityLimit(counts.Capacity))
		return current, newEvidence(finding{}, counts)
	}
	if current.State.Final() {
		return current, newEvidence(finding{}, counts)
	}
	if current.Since.IsZero() || current.Since.After(now) {
		current.Since = now
	}
	d := decision{now, r, current, counts, judge(counts), now.Sub(begun(r, current))}
	return d.decide(), newEvidence(d.finding, counts)
}

func newEvidence(f finding, c Counts) Evidence {
	return Evidence{
		Route: f.route, Suspect: f.suspect,
		Answers: uint64(f.bad.answers), Failed: uint64(f.bad.bad),
		OldAnswers: uint64(f.oldBad.answers), OldFailed: uint64(f.oldBad.bad),
		TargetSent: c.TargetSent, Sent: c.TargetSent + c.OldSent, OldInFlight: c.OldInFlight,
		Routers: c.Routers, Confirmed: c.Confirmed, Silent: c.Silent,
		TargetEndpoints: c.TargetEndpoints, TargetSlots: c.TargetSlots,
	}
}

// decision is one run of Decide for a running roll-out.
type decision struct {
	now     time.Time
	rollout Rollout
	current Status
	counts  Counts
	finding finding
	elapsed time.Duration // of the period
}

// passed reports whether a part of the period has passed.
func (d *decision) passed(fraction float64) bool {
	return d.elapsed >= part(d.rollout.Period, fraction)
}

func (d *decision) decide() Status {
	answers := total(d.counts.Target).Answers
	switch {
	case d.finding.reason != "":
		return d.rollBack(d.finding.reason)
	case d.passed(giveUpAt) && d.counts.TargetEndpoints == 0:
		return d.rollBack(ReasonNoEndpoints)
	case d.passed(giveUpAt) && answers == 0:
		return d.rollBack(ReasonNoAnswers)
	case d.passed(giveUpAt) && d.finding.likely:
		return d.rollBack(d.finding.kind)
	case d.current.Share >= 1 && answers > 0 && d.mayFinish():
		next := d.current
		next.State, next.Share = Done, 1
		return next
	}
	next := d.current
	next.Share = d.limitToCapacity(d.nextShare())
	if next.Share > d.current.Share {
		next.Since = d.now
	}
	return next
}

func (d *decision) rollBack(reason string) Status {
	next := d.current
	next.State, next.Share, next.Reason = RolledBack, 0, reason
	return next
}

// mayFinish reports whether a roll-out with share 1 is done.
func (d *decision) mayFinish() bool {
	if d.held() || d.doubtful() || !d.lasted(minStage, 0) {
		return false
	}
	confirmed := d.counts.Confirmed == d.counts.Routers
	return confirmed && d.lasted(part(d.rollout.Period, lastLength), 0) || d.passed(lastDone)
}

// held reports whether the share must not rise whatever the stage: the target is likely to be bad,
// has no endpoint, or most routers don't report.
func (d *decision) held() bool {
	return d.finding.likely || d.counts.TargetEndpoints == 0 ||
		d.counts.Routers == 0 || d.counts.Silent > d.counts.Routers
}

// doubtful reports whether the last stage must wait because the target is suspect, or a single
// endpoint fails and too few others have been tried.
func (d *decision) doubtful() bool {
	return d.finding.suspect && !d.passed(doubtUntil) ||
		d.current.Share < 1 && !d.passed(oneEndpointUntil) && oneEndpoint(d.counts)
}

// nextShare returns the share of the stage that should be in force, before the capacity.
func (d *decision) nextShare() float64 {
	switch share := d.current.Share; {
	case share >= 1 || d.held():
		return share
	case share >= minFocusShare:
		length := min(max(part(d.rollout.Period, focusLength), minFocus), maxFocus)
		if d.doubtful() || !d.lasted(length, minStage) || !d.enoughAnswers() {
			return share
		}
		return 1
	case d.elapsed >= d.canaryEnd():
		return max(share, focusShare(d.counts.TargetEndpoints))
	default:
		return max(share, d.canaryShare())
	}
}

// focusShare returns the share of the second stage for a number of target endpoints: the one with
// which a whole number of them, two or more if that is a small part, get the load of share 1.
func focusShare(endpoints int) float64 {
	k := float64(max(1, endpoints))
	focused := max(1, math.Ceil(minFocusShare*k))
	if focused == 1 && 2/k <= maxPairShare {
		focused = 2
	}
	return min(focused/k, maxFocusShare)
}

// canaryEnd returns the time of the period at which the canary stage ends.
func (d *decision) canaryEnd() time.Duration {
	period := d.rollout.Period
	return max(min(part(period, canaryLength), period-finalStages), part(period, minCanary))
}

// lasted reports whether the share has been in force for a time, or for the shortest time of a
// stage if only the time after is left until lastDone.
func (d *decision) lasted(length, after time.Duration) bool {
	since := d.now.Sub(d.current.Since)
	left := part(d.rollout.Period, lastDone) - d.elapsed + since
	if left < length+after {
		length = minStage
	}
	return since >= length
}

// enoughAnswers reports whether the test has its minimum of answers.
func (d *decision) enoughAnswers() bool {
	target, old := total(d.counts.Target), total(d.counts.Old)
	least := uint32(min(minAnswers, minEndpointAnswers*max(1, d.counts.TargetEndpoints)))
	switch {
	case target.Answers >= least && (old.Answers >= least || d.counts.OldEndpoints == 0):
		return true
	}
	return d.passed(waiveAt)
}

// canaryShare returns the least share of the canary stage.
func (r Rollout) canaryShare() float64 { return r.Bounds.orDefault().canary(canaryFraction) }

// canary returns the share of the canary stage that is a fraction of the bound. It is rounded,
// so that 1.4 times 0.1 is 0.14.
func (b Bounds) canary(fraction float64) float64 {
	return min(math.Round(fraction*b.Share*1e6)/1e6, maxCanaryShare)
}

// canaryShare returns the share of the canary stage. It is larger for a service with few
// requests, where the slack is a large part of the exposure that the bound allows.
func (d *decision) canaryShare() float64 {
	least := d.rollout.canaryShare()
	if d.elapsed < minRateTime {
		return least
	}
	bounds := d.rollout.Bounds.orDefault()
	rate := float64(d.counts.TargetSent+d.counts.OldSent) / d.elapsed.Seconds()
	allowed := canaryPart * (bounds.Share*rate*d.rollout.Period.Seconds() + bounds.Slack)
	share := min(minRouteAnswers, allowed) / max(1, rate*d.canaryEnd().Seconds())
	return min(max(least, math.Floor(share*100)/100), bounds.canary(maxCanaryFraction))
}

// limitToCapacity limits a share to what the target can serve. A share in force is kept while the
// target has slots for it without the reserve: otherwise the load's small changes would move a
// share of 1 up and down, and the roll-out would not end in time.
func (d *decision) limitToCapacity(share float64) float64 {
	limit := capacityLimit(d.counts.Capacity)
	if share > limit && d.current.Share > limit {
		limit = min(d.current.Share, limit*slotReserve)
	}
	return min(share, limit)
}

// capacityLimit returns the share that the slots of the target endpoints can serve, in steps of
// 1/100 so that small changes of the load write no new status; 1 if it is not known.
func capacityLimit(c Capacity) float64 {
	if c.TargetSlots <= 0 || c.InFlight <= 0 {
		return 1
	}
	limit := float64(c.TargetSlots) / (slotReserve * float64(c.InFlight))
	return min(1, float64(int(limit*100))/100)
}

// Controller calls Decide at a relay, and remembers what the store does not hold: how long a share
// has been in force, and what was decided but is not written yet. It is not safe for concurrent use.
type Controller struct {
	last  Status // decided here or taken over
	known Status // that the last call of Step was given
	own   []ownShare
}

// ownShare is a share that the controller decided. It comes back later from the store.
type ownShare struct {
	share   float64
	started time.Time
}

// maxOwn bounds the own shares that are remembered: more than there are in a period.
const maxOwn = 32

// Step returns the status that should be in force, and be written if it differs from the one in
// the store (see Status.SameContent). known is the newest status that the store holds or a relay
// announced, as Limiter.Status has it. A known verdict settles the order; one that was
// decided here is kept until it is known.
func (c *Controller) Step(now time.Time, r Rollout, known Status, counts Counts) (Status, Evidence) {
	c.merge(now, r, known)
	next, evidence := Decide(now, r, c.last, counts)
	own := ownShare{next.Share, next.Started}
	if !slices.Contains(c.own, own) {
		c.own = append(c.own[max(0, len(c.own)+1-maxOwn):], own)
	}
	c.last = next
	return next, evidence
}

// merge takes what others decided.
func (c *Controller) merge(now time.Time, r Rollout, known Status) {
	if c.last.Order != r.ID {
		*c = Controller{}
	}
	if known.Order != r.ID || known.State == None || known.SameContent(c.known) {
		return
	}
	c.known = known
	switch {
	case known.State.Final():
		c.last = known
	case c.last.State.Final(), slices.Contains(c.own, ownShare{known.Share, known.Started}):
	case c.last.State == None || known.Share > c.last.Share:
		c.last = known
		c.last.Since = now
	default:
		c.last.Started = known.Started
	}
}
