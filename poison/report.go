package poison

import (
	"slices"
	"time"
)

const (
	// An exit is sent exitSends times in pauses of exitResendInterval, since datagrams may be
	// lost and relays replaced.
	exitSends          = 3
	exitResendInterval = 500 * time.Millisecond
	// maxExitsPerReport bounds the size of a report to that of a datagram.
	maxExitsPerReport = 4
	// contradictedMemory is the time for which relays announce an answer that contradicted a
	// quarantine.
	contradictedMemory = 10 * time.Second
	// An announcement is repeated each announceInterval, and at each opportunity for
	// announceFreshTime after a change.
	announceInterval  = time.Second
	announceFreshTime = 3 * time.Second
	// A router tells the relays of a quarantine that none has announced for
	// unannouncedTime, again after each reminderInterval: relays that start know of none.
	unannouncedTime  = 3 * time.Second
	reminderInterval = 2 * time.Second
)

// Report is what routers tell each other. Times are ages in milliseconds, since clocks differ.
type Report struct {
	Exits       []Exit       `cbor:"1,keyasint,omitempty"`
	Answers     []Answer     `cbor:"2,keyasint,omitempty"`
	Quarantines []Quarantine `cbor:"3,keyasint,omitempty"`
}

// Exit is the exit of an endpoint.
type Exit struct {
	Endpoint uint64     `cbor:"1,keyasint"`
	AgeMS    uint32     `cbor:"2,keyasint"`
	Prompts  [][]uint64 `cbor:"3,keyasint"` // see Detector.RecordExit
	Service  uint64     `cbor:"4,keyasint,omitempty"`
}

// Answer is the newest answer to a prompt with a part.
type Answer struct {
	Part  uint64 `cbor:"1,keyasint"`
	AgeMS uint32 `cbor:"2,keyasint"`
}

// Quarantine is a quarantine that has not ended.
type Quarantine struct {
	Part        uint64 `cbor:"1,keyasint"`
	AgeMS       uint32 `cbor:"2,keyasint"` // of the decision
	FirstExitMS uint32 `cbor:"3,keyasint"` // age of the oldest exit that counts
	Returns     int    `cbor:"4,keyasint,omitempty"`
	// Provisional is set while probes are let through. ProbeMS is the age of the newest one, plus 1;
	// 0 if there was none.
	Provisional bool   `cbor:"5,keyasint,omitempty"`
	ProbeMS     uint32 `cbor:"6,keyasint,omitempty"`
}

func age(now, at time.Time) uint32 {
	return uint32(min(max(0, now.Sub(at).Milliseconds()), 1<<32-1))
}

func at(now time.Time, ageMS uint32) time.Time {
	return now.Add(-time.Duration(ageMS) * time.Millisecond)
}

// outbox is what a router has to tell the relays.
type outbox struct {
	exits   []*pendingExit
	answers []uint64 // parts
	// quarantines are the parts of which this router has made a probe or confirmed the quarantine.
	quarantines []uint64
}

type pendingExit struct {
	*exit
	due  time.Time
	left int // number of sends
}

func (o *outbox) addExit(now time.Time, e *exit) {
	for _, pending := range o.exits {
		if pending.exit == e {
			pending.due, pending.left = now, exitSends
			return
		}
	}
	if len(o.exits) < maxExits {
		o.exits = append(o.exits, &pendingExit{exit: e, due: now, left: exitSends})
	}
}

func (o *outbox) addAnswer(part uint64) {
	if len(o.answers) < maxQuarantines && !slices.Contains(o.answers, part) {
		o.answers = append(o.answers, part)
	}
}

func (o *outbox) addQuarantine(part uint64) {
	if len(o.quarantines) < maxQuarantines && !slices.Contains(o.quarantines, part) {
		o.quarantines = append(o.quarantines, part)
	}
}

// TakeReport returns what this router has to tell the relays now, or nil. Exits come with the
// newest answers to their parts.
func (d *Detector) TakeReport(now time.Time) *Report {
	d.concludeProbes(now)
	report := &Report{}
	answers := d.outbox.answers
	d.outbox.answers = nil
	// Exits that were not sent yet come first.
	slices.SortStableFunc(d.outbox.exits, func(a, b *pendingExit) int { return b.left - a.left })
	for _, pending := range d.outbox.exits {
		if now.Before(pending.due) || len(report.Exits) == maxExitsPerReport {
			continue
		}
		pending.due, pending.left = now.Add(exitResendInterval), pending.left-1
		report.Exits = append(report.Exits, Exit{
			Endpoint: pending.endpoint, Service: pending.service, AgeMS: age(now, pending.at), Prompts: pending.prompts,
		})
		for _, prompt := range pending.prompts {
			answers = append(answers, prompt...)
		}
	}
	d.outbox.exits = slices.DeleteFunc(d.outbox.exits, func(p *pendingExit) bool { return p.left == 0 })
	slices.Sort(answers)
	for _, part := range slices.Compact(answers) {
		report.addAnswer(now, part, d)
	}
	for part, q := range d.quarantines {
		unannounced := now.Sub(later(q.announced, q.since)) >= unannouncedTime && now.Sub(q.reminded) >= reminderInterval
		if unannounced {
			q.reminded = now
		}
		if unannounced || slices.Contains(d.outbox.quarantines, part) {
			report.addQuarantine(now, part, q)
		}
	}
	d.outbox.quarantines = nil
	return report.orNil()
}

// orNil returns nil for an empty report.
func (r *Report) orNil() *Report {
	if len(r.Exits)+len(r.Answers)+len(r.Quarantines) == 0 {
		return nil
	}
	return r
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (r *Report) addQuarantine(now time.Time, part uint64, q *quarantine) {
	if !q.active(now) {
		return
	}
	told := Quarantine{
		Part: part, AgeMS: age(now, q.since), FirstExitMS: age(now, q.firstExit), Returns: q.returns, Provisional: q.provisional,
	}
	if !q.lastProbe.IsZero() {
		told.ProbeMS = age(now, q.lastProbe) + 1
	}
	r.Quarantines = append(r.Quarantines, told)
}

func (r *Report) addAnswer(now time.Time, part uint64, d *Detector) {
	if last, ok := d.lastAnswer(part); ok {
		r.Answers = append(r.Answers, Answer{Part: part, AgeMS: age(now, last)})
	}
}

// Announcement returns what a relay tells all routers now: the quarantines, and the answers that
// contradicted some. It is nil if there is nothing, or nothing new since a short time.
func (d *Detector) Announcement(now time.Time) *Report {
	d.Confirm(now)
	if now.Sub(d.announcedAt) < announceInterval && now.Sub(d.changedAt) > announceFreshTime {
		return nil
	}
	d.forget(now)
	d.announcedAt = now
	report := &Report{}
	for part, q := range d.quarantines {
		q.announced = now
		report.addQuarantine(now, part, q)
	}
	for part := range d.contradicted {
		report.addAnswer(now, part, d)
	}
	return report.orNil()
}

// Active returns the quarantines that were not contradicted in time and have not ended. It leaves out
// the provisional ones.
func (d *Detector) Active(now time.Time) []Quarantine {
	report := &Report{}
	for part, q := range d.quarantines {
		if now.Sub(q.since) >= objectionTime && !q.provisional {
			report.addQuarantine(now, part, q)
		}
	}
	return report.Quarantines
}

// Receive records the report of a router, or the announcement of a relay.
func (d *Detector) Receive(now time.Time, report *Report, announcement bool) {
	for _, answer := range report.Answers {
		d.addAnswer(now, at(now, answer.AgeMS), answer.Part)
	}
	for _, q := range report.Quarantines {
		d.receiveQuarantine(now, q, announcement)
	}
	for _, e := range report.Exits {
		if added := d.addExit(at(now, e.AgeMS), e.Service, e.Endpoint, e.Prompts); added != nil {
			d.decide(now, added)
		}
	}
}

// receiveQuarantine adopts a quarantine of another router, or contradicts it if an answer came
// after its exits.
func (d *Detector) receiveQuarantine(now time.Time, received Quarantine, announcement bool) {
	firstExit := at(now, received.FirstExitMS)
	if last, ok := d.lastAnswer(received.Part); ok && last.After(firstExit) {
		d.outbox.addAnswer(received.Part)
		d.contradict(now, received.Part)
		return
	}
	q := &quarantine{
		firstExit: firstExit, since: at(now, received.AgeMS), returns: received.Returns, provisional: received.Provisional,
	}
	if received.ProbeMS > 0 {
		q.lastProbe = at(now, received.ProbeMS-1)
	}
	if known := d.quarantines[received.Part]; known != nil && known.active(now) {
		d.merge(now, received.Part, known, q)
		q = known
	} else if q.active(now) {
		d.begin(now, received.Part, q, 0)
	}
	if announcement {
		q.announced = now
	}
}

// merge adds to a known quarantine what another router knows of it.
func (d *Detector) merge(now time.Time, part uint64, known, received *quarantine) {
	if received.lastProbe.Sub(known.lastProbe) > probeClockError {
		known.lastProbe = received.lastProbe
		d.changedAt = now
	}
	if known.provisional && !received.provisional {
		d.confirm(now, part, known)
	}
}
