package poison

import (
	"math"
	"slices"
	"time"
)

const (
	// evidenceTime is the age from which an exit is weighed: the reports on others of the same moment
	// have arrived.
	evidenceTime = time.Second
	// IsolationTime is the time around an exit without any other one. A common cause makes several
	// endpoints exit within it.
	IsolationTime = 500 * time.Millisecond
	// minIsolatedExits is the number of isolated exits that confirm a quarantine, if endpoints
	// answered as many requests meanwhile.
	minIsolatedExits = 2
	// maxChance is the probability, if the exits had a common cause, that any of the parts at them got
	// no answer. A quarantine is confirmed below it.
	maxChance = 0.01
	// maxAnswerTimes bounds the answers that are remembered for each service.
	maxAnswerTimes = 256
	maxServices    = 16
)

// answerTimes are the times of the newest answers of a service at this router, in a ring.
type answerTimes struct {
	times []time.Time
	next  int
}

func (a *answerTimes) add(at time.Time) {
	if len(a.times) < maxAnswerTimes {
		a.times = append(a.times, at)
		return
	}
	a.times[a.next] = at
	a.next = (a.next + 1) % maxAnswerTimes
}

// between returns the number of answers from first to last.
func (a *answerTimes) between(first, last time.Time) int {
	count := 0
	for _, at := range a.times {
		if !at.Before(first) && !at.After(last) {
			count++
		}
	}
	return count
}

func (d *Detector) countAnswer(now time.Time, service uint64) {
	answered := d.answered[service]
	if answered == nil {
		if len(d.answered) >= maxServices {
			return
		}
		answered = &answerTimes{}
		d.answered[service] = answered
	}
	answered.add(now)
}

// addOwn adds prompts of this router to an exit.
func (e *exit) addOwn(prompts [][]uint64) {
	room := min(len(prompts), maxPrompts-len(e.own))
	e.own = append(e.own, prompts[:room]...)
}

// Confirm ends the provisional state of the quarantines for which the evidence rules out that the
// exits have a common cause. It is called where all exits are known: at relays, or at a router that
// has no others.
func (d *Detector) Confirm(now time.Time) {
	for part, q := range d.quarantines {
		if q.provisional && q.active(now) && d.ruledOut(now, part, q) {
			d.confirm(now, part, q)
		}
	}
}

// concludeProbes confirms the quarantines of which a probe of this router has failed.
func (d *Detector) concludeProbes(now time.Time) {
	for part, q := range d.quarantines {
		if q.provisional && q.active(now) && d.probeFailed(now, part, q) {
			d.confirm(now, part, q)
			d.outbox.addQuarantine(part)
		}
	}
}

// probeFailed reports whether an isolated exit followed a probe of this router, when the probe was the
// only request with the part. The router that made the probe also knows whether other endpoints
// exited, so that it alone decides.
func (d *Detector) probeFailed(now time.Time, part uint64, q *quarantine) bool {
	return !q.ownProbe.IsZero() && slices.ContainsFunc(d.exits, func(e *exit) bool {
		return e.has(part) && e.at.After(q.ownProbe) && now.Sub(e.at) >= evidenceTime && d.isolated(e)
	})
}

func (d *Detector) confirm(now time.Time, part uint64, q *quarantine) {
	q.provisional = false
	d.changedAt = now
	d.changes = append(d.changes, Change{Part: part, Confirmed: true, Until: q.until(), Returns: q.returns})
}

// ruledOut reports whether the exits that count against the part hardly have a common cause. One of
// three observations is needed: a probe failed; several exits were isolated while endpoints answered; or
// endpoints answered so many other requests that the part would have had an answer, too.
func (d *Detector) ruledOut(now time.Time, part uint64, q *quarantine) bool {
	if d.probeFailed(now, part, q) {
		return true
	}
	var against []*exit // until shortly after the part was first refused
	isolated := 0
	for _, e := range d.exits {
		if !e.has(part) || e.at.Before(q.firstExit) || now.Sub(e.at) < evidenceTime || e.at.Sub(q.since) >= evidenceTime {
			continue
		}
		against = append(against, e)
		if d.isolated(e) {
			isolated++
		}
	}
	moments, _, _ := d.countExits(func(e *exit) bool { return slices.Contains(against, e) })
	if moments == 0 || moments < minExits && q.returns == 0 {
		return false
	}
	answered, lost := d.others(part, against[0].at, against[len(against)-1])
	needed := minIsolatedExits
	if q.returns > 0 {
		needed = 1
	}
	return isolated >= needed && answered >= needed || chance(answered, lost, moments)*float64(countParts(against)) <= maxChance
}

// countParts returns the number of parts of the prompts at the exits. Each of them might have been the
// one without an answer.
func countParts(exits []*exit) int {
	parts := map[uint64]struct{}{}
	for _, e := range exits {
		for part := range e.depths {
			parts[part] = struct{}{}
		}
	}
	return len(parts)
}

// others returns how many requests without the part were answered, and how many were lost, at the
// service of the last exit from first until then, as far as this router saw. No answer after the first
// exit that counts was to the part, since it would have lifted the quarantine.
func (d *Detector) others(part uint64, first time.Time, last *exit) (answered, lost int) {
	if times := d.answered[last.service]; times != nil {
		answered = times.between(first, last.at)
	}
	for _, e := range d.exits {
		if e.service == last.service && !e.at.Before(first) && !e.at.After(last.at) {
			lost += e.ownWithout(part)
		}
	}
	return answered, lost
}

// chance estimates the probability that a part that endpoints bear is at no endpoint but those that
// exit, at several moments in a row. answered and lost are the other requests of that time that were
// answered and that were at endpoints when these exited.
func chance(answered, lost, moments int) float64 {
	lostShare := float64(lost+1) / float64(lost+answered+2)
	return math.Pow(lostShare, float64(moments))
}

// isolated reports whether no other endpoint exited within IsolationTime.
func (d *Detector) isolated(e *exit) bool {
	return !slices.ContainsFunc(d.exits, func(other *exit) bool {
		return other != e && other.at.Sub(e.at).Abs() < IsolationTime
	})
}

// ownWithout returns the number of this router's prompts without the part at the exit.
func (e *exit) ownWithout(part uint64) int {
	count := 0
	for _, prompt := range e.own {
		if !slices.Contains(prompt, part) {
			count++
		}
	}
	return count
}
