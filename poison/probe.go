package poison

import "time"

const (
	// probePause is the time between the last exit that counts against a part and a probe of it. It
	// is longer than evidenceTime, so that no probe is made of a part whose quarantine is about to
	// be confirmed, and gives endpoints the time to start again.
	probePause = 2 * time.Second
	// probeInterval is the time between two probes of a part.
	probeInterval = 3 * time.Second
	// probeRankDelay is the time after which the router of the next rank makes a probe, if those
	// before it get no request with the part.
	probeRankDelay = time.Second
	// probeAnswerTime is the time after which callers may expect that a probe was answered.
	probeAnswerTime = time.Second
	// probeClockError is the error of a probe's age in a report: ages are rounded, and a report takes
	// its time.
	probeClockError = 500 * time.Millisecond
)

// Admission is the decision on a request.
type Admission struct {
	// Refused is set if a part of the prompt is quarantined and the request is not sent. Probe is set
	// if it is sent nevertheless.
	Refused, Probe bool
	// Part is the part that is quarantined.
	Part uint64
	// Until is when a refused request may be sent again.
	Until time.Time
}

// Admit decides whether a request with these parts is sent. rank is the number of routers that make
// probes before this one.
func (d *Detector) Admit(now time.Time, parts []uint64, rank int) Admission {
	part, until, quarantined := d.Quarantined(now, parts)
	if !quarantined {
		return Admission{}
	}
	// A request is a probe of all its parts that are quarantined, or of none.
	for _, part := range parts {
		q := d.quarantines[part]
		if q == nil || !q.active(now) {
			continue
		}
		due := d.probeDue(part, q).Add(time.Duration(rank) * probeRankDelay)
		if !q.provisional || now.Before(due) {
			return Admission{Refused: true, Part: part, Until: until}
		}
	}
	for _, part := range parts {
		if q := d.quarantines[part]; q != nil && q.active(now) {
			d.beginProbe(now, part, q)
		}
	}
	return Admission{Probe: true, Part: part}
}

// beginProbe records a probe and has the relays told of it, so that no other router makes one.
func (d *Detector) beginProbe(now time.Time, part uint64, q *quarantine) {
	q.lastProbe, q.ownProbe = now, now
	d.changedAt = now
	d.outbox.addQuarantine(part)
}

// CancelProbe records that a probe that was admitted at the given time was not sent, so that the next
// request is one.
func (d *Detector) CancelProbe(parts []uint64, admitted time.Time) {
	for _, part := range parts {
		if q := d.quarantines[part]; q != nil && q.lastProbe.Equal(admitted) {
			q.lastProbe, q.ownProbe = time.Time{}, time.Time{}
		}
	}
}

// probeDue returns when the router of rank 0 may make the next probe of a part.
func (d *Detector) probeDue(part uint64, q *quarantine) time.Time {
	quiet := q.since
	for _, e := range d.exits {
		if e.has(part) {
			quiet = later(quiet, e.at)
		}
	}
	due := quiet.Add(probePause)
	if !q.lastProbe.IsZero() {
		due = later(due, q.lastProbe.Add(probeInterval))
	}
	return due
}
