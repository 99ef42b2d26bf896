// Package poison finds the parts of prompts that crash endpoints, so that requests with such a
// part (poison requests, also called queries of death) are no longer sent. It does no I/O and
// reads no clock.
//
// The exit of an endpoint counts against all shared parts of the prompts that were there
// without an answer. An answer clears the parts of its prompt of all exits before it. A part
// against which minExits count is quarantined: requests with it are refused until the
// quarantine ends. Sound parts that were at the same endpoints are cleared by the answers to
// other requests.
//
// Each router sees a part of the exits and answers only. The routers send what they see to the
// relays, whose detectors add it up and announce the quarantines to all routers. A router that
// has seen an answer contradicts a quarantine. Callers are asked to come back after objectionTime,
// in which that happens, and only then to stay away until the quarantine ends.
//
// Exits of a common cause count against the parts that many prompts share, and once these are
// refused no answer can clear them. A quarantine is therefore provisional until the evidence rules
// out a common cause (see evidence.go). While it is provisional, single requests are let through as
// probes (see probe.go), and the answer to one lifts it.
package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minExits is the number of exits that quarantine a part.
	minExits = 3
	// At least one in minExitFraction of all exits in contextTime, or since the first that
	// counts, must count against the part. Otherwise the part was there by chance while
	// endpoints exit for another reason.
	minExitFraction = 3
	contextTime     = 20 * time.Second
	// minSeparation is the time between two exits that count against the same part. Exits at
	// the same moment have a common cause outside the endpoints.
	minSeparation = 100 * time.Millisecond
	// objectionTime is the time after the decision in which an announcement reaches all
	// routers, and an answer that contradicts it the relays.
	objectionTime = 400 * time.Millisecond
	// A quarantine lasts firstQuarantine, and after each return of the part twice as long,
	// up to maxQuarantine.
	firstQuarantine = 10 * time.Minute
	maxQuarantine   = 4 * time.Hour
	// For probationTime after a quarantine, one exit starts the next one.
	probationTime = time.Hour
	// exitMemory is the time for which an exit counts.
	exitMemory = 10 * time.Minute
	// SettledTime is the time after the first event of an answer at which an endpoint that
	// is still there is known to bear the request.
	SettledTime = 250 * time.Millisecond
)

// Bounds of the state.
const (
	maxExits       = 64
	maxPrompts     = 16 // of one exit
	maxParts       = 16 // of one prompt; the last ones are kept
	maxQuarantines = 64
	// maxAnswers is the number of parts whose newest answer is known, in each of two
	// generations.
	maxAnswers = 16 << 10
)

// exit is the exit of an endpoint.
type exit struct {
	endpoint uint64
	service  uint64
	at       time.Time
	prompts  [][]uint64 // the shared parts of each prompt without an answer, in order
	own      [][]uint64 // those of prompts of this router, also if they are the same
	// depths are the positions of the parts in their prompts, the deepest if there are several.
	depths map[uint64]int
}

func (e *exit) has(part uint64) bool {
	_, found := e.depths[part]
	return found
}

func (e *exit) addPrompt(prompt []uint64) {
	e.prompts = append(e.prompts, prompt)
	for depth, part := range prompt {
		e.depths[part] = max(e.depths[part], depth)
	}
}

// quarantine is the state of a part that is or was quarantined.
type quarantine struct {
	firstExit time.Time // the oldest exit that counts against the part
	since     time.Time // when it was decided
	returns   int       // number of earlier quarantines of the part
	// provisional is set until the evidence rules out that the exits have a common cause.
	provisional bool
	// lastProbe is when the newest probe began, at any router; zero if there was none.
	lastProbe time.Time
	// ownProbe is when the newest probe of this router began; zero if there was none.
	ownProbe time.Time
	// announced is when a relay last announced it, and reminded when this router last told
	// the relays because none did.
	announced, reminded time.Time
}

func (q *quarantine) until() time.Time {
	return q.since.Add(min(firstQuarantine<<min(max(0, q.returns), 16), maxQuarantine))
}

// active reports whether the quarantine has not ended. It may not be in effect yet.
func (q *quarantine) active(now time.Time) bool { return now.Before(q.until()) }

// Change is a quarantine that began, was confirmed or was lifted, for logs and records.
type Change struct {
	Part      uint64
	Lifted    bool
	Confirmed bool      // it is no longer provisional
	Exits     int       // that count against the part at this router
	Until     time.Time // end of the quarantine
	Returns   int       // number of earlier quarantines of the part
}

// Detector keeps the exits, answers and quarantines that a router knows. It is not safe for
// concurrent use.
type Detector struct {
	exits       []*exit // by time, oldest first
	quarantines map[uint64]*quarantine
	// answers are the times of the newest answers to prompts with a part, and olderAnswers
	// those of the generation before.
	answers, olderAnswers map[uint64]time.Time
	// contradicted has the parts of quarantines that an answer contradicted, with the time at
	// which this router learned of the quarantine or of the answer.
	contradicted map[uint64]time.Time
	// answered are the times of this router's newest answers, by service.
	answered map[uint64]*answerTimes
	outbox   outbox
	changes  []Change
	// announcedAt is when this router last made an announcement, and changedAt when what it
	// announces last changed.
	announcedAt, changedAt time.Time
}

// New returns a detector that knows nothing.
func New() *Detector {
	return &Detector{
		quarantines: map[uint64]*quarantine{}, answers: map[uint64]time.Time{}, olderAnswers: map[uint64]time.Time{},
		contradicted: map[uint64]time.Time{}, answered: map[uint64]*answerTimes{},
	}
}

// RecordExit records that an endpoint exited while requests with these prompts had no answer.
// It may be called several times for an exit. service and endpoint identify a service and one start
// of an endpoint; each prompt is the ids of its shared parts in order.
func (d *Detector) RecordExit(now time.Time, service, endpoint uint64, prompts [][]uint64) {
	added := d.addExit(now, service, endpoint, prompts)
	d.findExit(now, service, endpoint).addOwn(prompts)
	if added != nil {
		d.outbox.addExit(now, added)
		d.decide(now, added)
	}
}

// RecordOtherExit records the exit of an endpoint at which no prompt is known to have been without an
// answer. It shows that endpoints exit for a reason of their own.
func (d *Detector) RecordOtherExit(now, exited time.Time, service, endpoint uint64) {
	d.outbox.addExit(now, d.findExit(exited, service, endpoint))
}

// addExit adds prompts to an exit, and returns nil if there is nothing new.
func (d *Detector) addExit(at time.Time, service, endpoint uint64, prompts [][]uint64) *exit {
	known := d.findExit(at, service, endpoint)
	changed := false
	for _, prompt := range prompts {
		prompt = prompt[max(0, len(prompt)-maxParts):]
		if len(prompt) == 0 || len(known.prompts) >= maxPrompts ||
			slices.ContainsFunc(known.prompts, func(other []uint64) bool { return slices.Equal(other, prompt) }) {
			continue
		}
		known.addPrompt(prompt)
		changed = true
	}
	if !changed {
		return nil
	}
	return known
}

// findExit returns the record of an exit, which it creates if there is none.
func (d *Detector) findExit(at time.Time, service, endpoint uint64) *exit {
	for _, e := range d.exits {
		if e.endpoint == endpoint {
			return e
		}
	}
	if len(d.exits) >= maxExits {
		d.exits = slices.Delete(d.exits, 0, 1)
	}
	created := &exit{endpoint: endpoint, service: service, at: at, depths: map[uint64]int{}}
	place, _ := slices.BinarySearchFunc(d.exits, created, func(a, b *exit) int { return a.at.Compare(b.at) })
	d.exits = slices.Insert(d.exits, place, created)
	return created
}

// decide quarantines the parts of the exit against which enough exits count. It begins with the
// parts that are deepest in their prompts: of several parts that have come together each time,
// the deepest one is the most specific, and it explains the exits that count against the others.
func (d *Detector) decide(now time.Time, newest *exit) {
	d.forget(now)
	candidates := slices.SortedFunc(maps.Keys(newest.depths), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(newest.depths[b], newest.depths[a]), cmp.Compare(a, b))
	})
	for _, part := range candidates {
		previous := d.quarantines[part]
		if previous != nil && previous.active(now) {
			continue
		}
		count, first, last := d.count(part)
		if count < d.exitsNeeded(newest, part, last.Sub(first)) || count*minExitFraction < d.moments(now, first) {
			continue
		}
		q := &quarantine{firstExit: first, since: now, provisional: true}
		if previous != nil {
			q.returns = previous.returns + 1
		}
		d.begin(now, part, q, count)
	}
}

// begin starts a quarantine. If there are too many, it takes the place of one that has ended, and
// is dropped if there is none.
func (d *Detector) begin(now time.Time, part uint64, q *quarantine, exits int) {
	if _, known := d.quarantines[part]; !known && len(d.quarantines) >= maxQuarantines && !d.dropEnded(now) {
		return
	}
	d.quarantines[part] = q
	d.changedAt = now
	delete(d.contradicted, part)
	d.changes = append(d.changes, Change{Part: part, Exits: exits, Until: q.until(), Returns: q.returns})
}

// dropEnded drops a quarantine that has ended, if there is one.
func (d *Detector) dropEnded(now time.Time) bool {
	for part, q := range d.quarantines {
		if !q.active(now) {
			delete(d.quarantines, part)
			return true
		}
	}
	return false
}

// exitsNeeded returns the number of exits that quarantine a part of the newest exit, if those that
// count are within span. Two in quick succession are enough for a part that had no answer yet, if
// they point to no other part as well; the probe that follows is the third.
func (d *Detector) exitsNeeded(newest *exit, part uint64, span time.Duration) int {
	if d.quarantines[part] != nil {
		return 1
	}
	if _, answered := d.lastAnswer(part); !answered && span < IsolationTime && !d.hasRival(newest, part) {
		return minExits - 1
	}
	return minExits
}

// hasRival reports whether several exits count against another part that is as deep in its prompt.
func (d *Detector) hasRival(newest *exit, part uint64) bool {
	for other, depth := range newest.depths {
		if other != part && depth == newest.depths[part] {
			if count, _, _ := d.count(other); count > 1 {
				return true
			}
		}
	}
	return false
}

// count returns the number of exits that count against a part, and the times of the oldest and of the
// newest.
func (d *Detector) count(part uint64) (count int, first, last time.Time) {
	cleared, _ := d.lastAnswer(part)
	if previous := d.quarantines[part]; previous != nil {
		cleared = later(cleared, previous.until())
	}
	return d.countExits(func(e *exit) bool { return e.has(part) && e.at.After(cleared) && !d.explained(e, part) })
}

// moments returns the number of exits in contextTime, or since first if that is longer ago, that
// no quarantined part caused.
func (d *Detector) moments(now, first time.Time) int {
	count, _, _ := d.countExits(func(e *exit) bool {
		const noPart = 0
		return (!e.at.Before(first) || now.Sub(e.at) < contextTime) && !d.explained(e, noPart)
	})
	return count
}

// countExits returns the number of exits that match, of those within minSeparation only one, and
// the times of the first and the last that it counts.
func (d *Detector) countExits(matches func(*exit) bool) (count int, first, last time.Time) {
	for _, e := range d.exits {
		if !matches(e) || count > 0 && e.at.Sub(last) < minSeparation {
			continue
		}
		if count == 0 {
			first = e.at
		}
		count++
		last = e.at
	}
	return count, first, last
}

// explained reports whether another part that is quarantined caused the exit.
func (d *Detector) explained(e *exit, part uint64) bool {
	for other, q := range d.quarantines {
		if other != part && !e.at.Before(q.firstExit) && !e.at.After(q.until()) && e.has(other) {
			return true
		}
	}
	return false
}

// forget drops the exits and quarantines whose time has passed.
func (d *Detector) forget(now time.Time) {
	d.exits = slices.DeleteFunc(d.exits, func(e *exit) bool { return now.Sub(e.at) > exitMemory })
	for part, q := range d.quarantines {
		if now.Sub(q.until()) > probationTime {
			delete(d.quarantines, part)
		}
	}
	for part, at := range d.contradicted {
		if now.Sub(at) > contradictedMemory {
			delete(d.contradicted, part)
		}
	}
}

// RecordAnswer records that an endpoint of the service bears a request with these shared parts: its
// answer is complete, or has been going on for SettledTime.
func (d *Detector) RecordAnswer(now time.Time, service uint64, parts []uint64) {
	d.countAnswer(now, service)
	for _, part := range parts {
		if d.addAnswer(now, now, part) {
			d.outbox.addAnswer(part)
		}
	}
}

// addAnswer records the time of an answer. It reports whether the answer lifts a quarantine of
// the part: the exits that count against the part began before it.
func (d *Detector) addAnswer(now, answered time.Time, part uint64) bool {
	if last, ok := d.lastAnswer(part); ok && !answered.After(last) {
		return false
	}
	if len(d.answers) >= maxAnswers {
		d.answers, d.olderAnswers = map[uint64]time.Time{}, d.answers
	}
	d.answers[part] = answered
	q := d.quarantines[part]
	if q == nil || !answered.After(q.firstExit) {
		return false
	}
	delete(d.quarantines, part)
	d.contradict(now, part)
	d.changes = append(d.changes, Change{Part: part, Lifted: true, Returns: q.returns})
	return true
}

// contradict makes this router tell the newest answer to a part, to the relays or as a relay.
func (d *Detector) contradict(now time.Time, part uint64) {
	if _, known := d.contradicted[part]; known || len(d.contradicted) < maxQuarantines {
		d.contradicted[part] = now
		d.changedAt = now
	}
}

func (d *Detector) lastAnswer(part uint64) (time.Time, bool) {
	if at, ok := d.answers[part]; ok {
		return at, true
	}
	at, ok := d.olderAnswers[part]
	return at, ok
}

// Quarantined returns the part that is quarantined, if there is one, and when a request with it
// may be sent again: the end of objectionTime while the quarantine may be contradicted, then the
// time at which the next probe has an answer while the quarantine is provisional, and otherwise the
// end of the quarantine.
func (d *Detector) Quarantined(now time.Time, parts []uint64) (part uint64, until time.Time, quarantined bool) {
	if len(d.quarantines) == 0 {
		return 0, time.Time{}, false
	}
	for _, part := range parts {
		if q := d.quarantines[part]; q != nil && q.active(now) {
			if objections := q.since.Add(objectionTime); now.Before(objections) {
				return part, objections, true
			}
			if q.provisional {
				return part, later(now, d.probeDue(part, q)).Add(probeAnswerTime), true
			}
			return part, q.until(), true
		}
	}
	return 0, time.Time{}, false
}

// Suspected reports whether one of the parts is about to be quarantined: the decision is made, or
// one more exit would make it. A request with such a part is not sent to a second endpoint.
func (d *Detector) Suspected(now time.Time, parts []uint64) bool {
	for _, part := range parts {
		if q := d.quarantines[part]; q != nil && q.active(now) {
			return true
		}
		needed := minExits
		if d.quarantines[part] != nil {
			needed = 1
		}
		if count, _, _ := d.count(part); count > 0 && count >= needed-1 {
			return true
		}
	}
	return false
}

// TakeChanges returns the quarantines that began or were lifted since the last call.
func (d *Detector) TakeChanges() []Change {
	changes := d.changes
	d.changes = nil
	return changes
}
