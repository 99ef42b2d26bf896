package poison

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	relays       = 3
	deadlyPart   = 999_999
	restartTime  = 3 * time.Second
	stableWindow = 3 * time.Second
)

// flight is a request at an endpoint.
type flight struct {
	router        int
	parts         []uint64 // shared
	answers, ends time.Time
	settled       bool
}

type simEndpoint struct {
	start   uint64 // identifies the current start
	upAt    time.Time
	flights []*flight
}

type delivery struct {
	at           time.Time
	to           int
	report       *Report
	announcement bool
}

// simulation plays routers in front of endpoints that exit when they begin an answer to a prompt
// with deadlyPart.
type simulation struct {
	random    *rand.Rand
	now       time.Time
	routers   []*Detector
	endpoints []*simEndpoint
	mail      []delivery
	pending   []func() // by time in pendingAt
	pendingAt []time.Time
	starts    uint64

	exits                 []time.Time // by deadlyPart
	late                  int         // requests with deadlyPart sent later than stableWindow after the fifth exit
	sound, refused        int
	requestsPerSecond     float64
	deadlyShare           float64
	documents, sessions   int
	deadlyFrom, deadlyEnd time.Duration
	answerDelay           time.Duration // added to the time until an answer begins
	begun                 time.Time
}

func newSimulation(seed uint64, routers, endpoints int, requestsPerSecond float64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), requestsPerSecond: requestsPerSecond,
		deadlyShare: 0.02, documents: 20, sessions: 200, deadlyEnd: time.Hour,
	}
	s.begun = s.now
	for range routers {
		s.routers = append(s.routers, New())
	}
	for range endpoints {
		s.starts++
		s.endpoints = append(s.endpoints, &simEndpoint{start: s.starts})
	}
	return s
}

func (s *simulation) after(pause time.Duration, do func()) {
	s.pending, s.pendingAt = append(s.pending, do), append(s.pendingAt, s.now.Add(pause))
}

func (s *simulation) send(to int, report *Report, announcement bool) {
	if report != nil && s.random.Float64() > 0.03 {
		delay := time.Duration(2+s.random.IntN(30)) * time.Millisecond
		s.mail = append(s.mail, delivery{s.now.Add(delay), to, report, announcement})
	}
}

const tick = 5 * time.Millisecond

func (s *simulation) run(duration time.Duration) {
	const reportTicks, announceTicks = 25, 25
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(tick) {
		step := int(s.now.Sub(s.begun) / tick)
		for s.random.Float64() < s.requestsPerSecond*tick.Seconds() {
			s.arrive()
			if s.random.Float64() > s.requestsPerSecond*tick.Seconds()/(1+s.requestsPerSecond*tick.Seconds()) {
				break
			}
		}
		for _, e := range s.endpoints {
			s.serve(e)
		}
		s.runPending()
		for r, detector := range s.routers {
			if (step+r)%reportTicks == 0 {
				report := detector.TakeReport(s.now)
				for relay := range min(relays, len(s.routers)) {
					s.send(relay, report, false)
				}
			}
			if r < relays && (step+r)%announceTicks == 0 {
				announced := detector.Announcement(s.now)
				for to := range s.routers {
					if to != r {
						s.send(to, announced, true)
					}
				}
			}
		}
		s.mail = slices.DeleteFunc(s.mail, func(m delivery) bool {
			if m.at.After(s.now) {
				return false
			}
			s.routers[m.to].Receive(s.now, m.report, m.announcement)
			return true
		})
	}
}

func (s *simulation) runPending() {
	pending, at := s.pending, s.pendingAt
	s.pending, s.pendingAt = nil, nil
	for i, do := range pending {
		if at[i].After(s.now) {
			s.pending, s.pendingAt = append(s.pending, do), append(s.pendingAt, at[i])
			continue
		}
		do()
	}
}

// arrive sends a request to an endpoint, unless one of its parts is quarantined.
func (s *simulation) arrive() {
	parts := []uint64{1, uint64(10 + s.random.IntN(s.documents)), uint64(1000 + s.random.IntN(s.sessions))}
	since := s.now.Sub(s.begun)
	deadly := since >= s.deadlyFrom && since < s.deadlyEnd && s.random.Float64() < s.deadlyShare
	if deadly {
		parts[2] = deadlyPart
	}
	router := s.random.IntN(len(s.routers))
	quarantined := s.routers[router].Admit(s.now, parts, min(router, relays)).Refused
	if !deadly {
		s.sound++
		if quarantined {
			s.refused++
		}
	}
	if quarantined {
		return
	}
	up := slices.DeleteFunc(slices.Clone(s.endpoints), func(e *simEndpoint) bool { return e.upAt.After(s.now) })
	if len(up) == 0 {
		s.routers[router].CancelProbe(parts, s.now)
		return
	}
	if deadly && len(s.exits) >= 5 && s.now.Sub(s.exits[4]) > stableWindow {
		s.late++
	}
	e := up[int(parts[2])%len(up)]
	answers := s.now.Add(s.answerDelay + time.Duration(40+s.random.IntN(200))*time.Millisecond)
	e.flights = append(e.flights, &flight{
		router: router, parts: parts, answers: answers, ends: answers.Add(time.Duration(s.random.IntN(3000)) * time.Millisecond),
	})
}

func (s *simulation) serve(e *simEndpoint) {
	slices.SortStableFunc(e.flights, func(a, b *flight) int { return cmp.Compare(a.answers.UnixNano(), b.answers.UnixNano()) })
	kept := e.flights[:0]
	for _, f := range e.flights {
		if f.parts[2] == deadlyPart && !f.answers.After(s.now) {
			s.exits = append(s.exits, s.now)
			s.exit(e)
			return
		}
		over := !f.ends.After(s.now)
		if !f.settled && (over || s.now.Sub(f.answers) >= SettledTime) {
			f.settled = true
			s.routers[f.router].RecordAnswer(s.now, service, f.parts)
		}
		if !over {
			kept = append(kept, f)
		}
	}
	e.flights = kept
}

// exit ends an endpoint. The routers learn of it from the connections that break.
func (s *simulation) exit(e *simEndpoint) {
	prompts := map[int][][]uint64{}
	for _, f := range e.flights {
		if !f.settled {
			prompts[f.router] = append(prompts[f.router], f.parts)
		}
	}
	start := e.start
	for _, router := range slices.Sorted(maps.Keys(prompts)) {
		parts := prompts[router]
		s.after(time.Duration(20+s.random.IntN(100))*time.Millisecond, func() { s.routers[router].RecordExit(s.now, service, start, parts) })
	}
	s.starts++
	e.start, e.upAt, e.flights = s.starts, s.now.Add(restartTime), nil
}

// Guards against two faults in fleets of all sizes: a part that crashes endpoints is sent to
// more of them after the fifth exit than allowed; sound requests that share other parts with it
// are refused.
func TestDeadlyPartIsQuarantinedFleetWide(t *testing.T) {
	for _, c := range []struct {
		routers, endpoints int
		rate               float64
		seeds              uint64
	}{{1, 3, 40, 3}, {6, 18, 140, 3}, {91, 90, 900, 3}, {195, 93, 850, 3}} {
		for seed := range c.seeds {
			t.Run(fmt.Sprintf("%d routers, seed %d", c.routers, seed), func(t *testing.T) {
				s := newSimulation(seed, c.routers, c.endpoints, c.rate)
				s.run(15 * time.Second)
				assert.Assert(t, len(s.exits) >= minExits)
				assert.Assert(t, s.late <= 3, "%d requests with the part were sent", s.late)
				assert.Assert(t, s.refused*200 <= s.sound, "%d of %d sound requests were refused", s.refused, s.sound)
			})
		}
	}
}

// Guards against a part of many sound requests that becomes deadly being trusted because of its
// earlier answers.
func TestPartThatBecomesDeadly(t *testing.T) {
	s := newSimulation(1, 6, 18, 140)
	s.deadlyFrom = 5 * time.Second
	for _, d := range s.routers {
		d.RecordAnswer(s.now, service, []uint64{deadlyPart})
	}
	s.run(20 * time.Second)
	assert.Assert(t, len(s.exits) >= minExits && s.late <= 3, "%d exits, %d requests late", len(s.exits), s.late)
}

// Guards against sound parts being quarantined because many endpoints exit for a reason of
// their own: together, and one after the other.
func TestExitsOfOtherCauses(t *testing.T) {
	for seed := range uint64(3) {
		s := newSimulation(seed, 20, 40, 300)
		s.deadlyShare = 0
		for range 4 {
			s.run(time.Second)
			for i, e := range s.endpoints {
				if i%3 > 0 && !e.upAt.After(s.now) {
					s.exit(e)
				}
			}
			for i := range 10 {
				s.run(300 * time.Millisecond)
				if e := s.endpoints[i]; !e.upAt.After(s.now) {
					s.exit(e)
				}
			}
		}
		assert.Assert(t, s.refused*200 <= s.sound, "%d of %d sound requests were refused", s.refused, s.sound)
	}
}

// Guards against a deadly part that is not found because endpoints exit for other reasons too.
func TestDeadlyPartAmongOtherExits(t *testing.T) {
	for seed := range uint64(3) {
		s := newSimulation(seed, 6, 18, 140)
		for i := range 10 {
			s.run(1500 * time.Millisecond)
			if e := s.endpoints[i]; !e.upAt.After(s.now) {
				s.exit(e)
			}
		}
		assert.Assert(t, len(s.exits) >= minExits && s.late <= 3, "seed %d: %d exits, %d requests late", seed, len(s.exits), s.late)
	}
}

// Guards against a quarantine that is forgotten when the relays, or most routers, start again.
func TestQuarantineOutlivesRelays(t *testing.T) {
	s := newSimulation(2, 12, 18, 140)
	s.run(10 * time.Second)
	exits := len(s.exits)
	assert.Assert(t, exits >= minExits)
	for i := range 9 {
		s.routers[i] = New()
	}
	s.requestsPerSecond = 1 // a restarted router hears from the others before it serves much
	s.run(6 * time.Second)
	s.requestsPerSecond = 140
	s.run(5 * time.Second)
	for i, d := range s.routers {
		_, _, quarantined := d.Quarantined(s.now, []uint64{deadlyPart})
		assert.Assert(t, quarantined, "router %d", i)
	}
	assert.Assert(t, len(s.exits) <= exits+1, "%d exits", len(s.exits)-exits)
}

// Guards against parts that many sound prompts share and that stay refused after all endpoints
// exited for another reason: no request is left then whose answer could lift the quarantine.
func TestQuarantineAfterCommonExit(t *testing.T) {
	for _, c := range []struct {
		routers, endpoints int
		rate               float64
		gap                time.Duration
		rounds             int
	}{{4, 8, 12, 120 * time.Millisecond, 1}, {6, 18, 140, 120 * time.Millisecond, 10}, {1, 3, 40, 200 * time.Millisecond, 3}, {91, 90, 900, 300 * time.Millisecond, 1}} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%d routers, seed %d", c.routers, seed), func(t *testing.T) {
				s := newSimulation(seed, c.routers, c.endpoints, c.rate)
				s.deadlyShare = 0
				s.answerDelay = 500 * time.Millisecond // no answer comes between the exits
				s.run(5 * time.Second)
				for range c.rounds {
					for step := range 4 {
						for i, e := range s.endpoints {
							if i%4 == step && !e.upAt.After(s.now) {
								s.exit(e)
							}
						}
						s.run(c.gap)
					}
					s.run(restartTime + 1500*time.Millisecond)
				}
				s.run(8 * time.Second)
				s.sound, s.refused = 0, 0
				s.run(5 * time.Second)
				assert.Assert(t, s.refused*200 <= s.sound, "%d of %d sound requests were refused", s.refused, s.sound)
			})
		}
	}
}

// Guards against a part of all prompts that becomes deadly and is sent again and again as a probe,
// by one router after the other.
func TestProbesOfDeadlyPartEnd(t *testing.T) {
	for seed := range uint64(5) {
		s := newSimulation(seed, 12, 18, 140)
		s.deadlyShare = 0
		s.run(2 * time.Second)
		s.deadlyShare = 1
		s.run(10 * time.Second)
		exits := len(s.exits)
		assert.Assert(t, exits >= minExits)
		s.run(time.Minute)
		assert.Assert(t, len(s.exits) <= exits+1, "seed %d: %d exits after the first 10 s", seed, len(s.exits)-exits)
	}
}
