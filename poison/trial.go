package poison

import "time"

const (
	// trialPause is the time between the last exit that counts against a part and a trial of it. It
	// is longer than evidenceTime, so that no trial is made of a part whose quarantine is about to
	// be confirmed, and gives endpoints the time to start again.
	trialPause = 2 * time.Second
	// trialInterval is the time between two trials of a part.
	trialInterval = 3 * time.Second
	// trialRankDelay is the time after which the router of the next rank makes a trial, if those
	// before it get no request with the part.
	trialRankDelay = time.Second
	// trialAnswerTime is the time after which callers may expect that a trial was answered.
	trialAnswerTime = time.Second
	// trialClockError is the error of a trial's age in a report: ages are rounded, and a report takes
	// its time.
	trialClockError = 500 * time.Millisecond
)

// Admission is the decision on a request.
type Admission struct {
	// Part is the part of the prompt that is quarantined; 0 if there is none.
	Part uint64
	// Trial is set if the request is sent although the part is quarantined.
	Trial bool
	// Until is when a request with the part may be sent, unless this one is.
	Until time.Time
}

// Refused reports whether the request is not sent.
func (a Admission) Refused() bool { return a.Part != 0 && !a.Trial }

// Admit decides whether a request with these parts is sent. rank is the number of routers that make
// trials before this one.
func (d *Detector) Admit(now time.Time, parts []uint64, rank int) Admission {
	part, until, quarantined := d.Quarantined(now, parts)
	if !quarantined {
		return Admission{}
	}
	for _, part := range parts {
		q := d.quarantines[part]
		if q == nil || !q.active(now) {
			continue
		}
		due := d.trialDue(part, q).Add(time.Duration(rank) * trialRankDelay)
		if !q.provisional || now.Before(due) {
			return Admission{Part: part, Until: until}
		}
	}
	for _, part := range parts {
		if q := d.quarantines[part]; q != nil && q.active(now) {
			d.beginTrial(now, part, q)
		}
	}
	return Admission{Part: part, Trial: true}
}

// beginTrial records a trial and has the relays told of it, so that no other router makes one.
func (d *Detector) beginTrial(now time.Time, part uint64, q *quarantine) {
	q.lastTrial = now
	d.changedAt = now
	d.outbox.trials = append(d.outbox.trials, part)
}

// CancelTrial records that a trial that was admitted at the given time was not sent, so that the next
// request is one.
func (d *Detector) CancelTrial(parts []uint64, admitted time.Time) {
	for _, part := range parts {
		if q := d.quarantines[part]; q != nil && q.lastTrial.Equal(admitted) {
			q.lastTrial = time.Time{}
		}
	}
}

// trialDue returns when the router of rank 0 may make the next trial of a part.
func (d *Detector) trialDue(part uint64, q *quarantine) time.Time {
	quiet := q.since
	for _, e := range d.exits {
		if e.has(part) {
			quiet = later(quiet, e.at)
		}
	}
	due := quiet.Add(trialPause)
	if !q.lastTrial.IsZero() {
		due = later(due, q.lastTrial.Add(trialInterval))
	}
	return due
}
