package exchange

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/mirror"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
	"github.com/hornbeamproxy/hornbeamproxy/rollout"
)

// rolloutStub is a Rollouts that sends what the test sets and keeps what it receives.
type rolloutStub struct {
	mu       sync.Mutex
	reports  []RolloutReport
	statuses []RolloutStatus
	from     map[string]RolloutReport // the newest report of each router
	heard    []RolloutStatus
}

func (s *rolloutStub) Reports(time.Time) []RolloutReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reports
}

func (s *rolloutStub) Statuses() []RolloutStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statuses
}

func (s *rolloutStub) ReceiveReports(_ time.Time, router string, reports []RolloutReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.from[router] = reports[0]
}

func (s *rolloutStub) ReceiveStatuses(_ time.Time, statuses []RolloutStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = append(s.heard, statuses...)
}

func (s *rolloutStub) receivedFrom() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.from)
}

func (s *rolloutStub) newest() (RolloutStatus, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.heard) == 0 {
		return RolloutStatus{}, false
	}
	return s.heard[len(s.heard)-1], true
}

// reportOf returns a report with the counts of some routes.
func reportOf(routes, answers int) RolloutReport {
	counter := rollout.NewCounter("order")
	for i := range answers {
		target := i%2 == 0
		counter.RecordSent(target)
		counter.RecordEnd(target)
		counter.RecordAnswer(rollout.Answer{
			Target: target, Route: fmt.Sprint("route-", i%routes), Endpoint: fmt.Sprint("i-", i%8),
			Failed: i%20 == 0, Elapsed: time.Duration(1+i%7) * 10 * time.Millisecond, Goal: 100 * time.Millisecond,
		})
	}
	return RolloutReport{Service: "service-a", Start: 7, Report: counter.Report(0.05)}
}

// Guards against counts that do not reach the relays, or that go to all routers, and against a
// status that does not reach all of them, in a small and in a large fleet.
func TestRolloutMessages(t *testing.T) {
	for _, n := range []int{5, maxDirectRouters + 3} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			fleet := newFleet(t, n)
			for _, r := range fleet {
				r.rollouts.mu.Lock()
				r.rollouts.reports = []RolloutReport{reportOf(2, 40)}
				r.rollouts.mu.Unlock()
			}
			relays := func() (relays []*router) {
				for _, r := range fleet {
					if relay, _ := r.RelayRole(); relay {
						relays = append(relays, r)
					}
				}
				return relays
			}
			eventually(t, "three relays that know the counts of all others", func() bool {
				for _, r := range relays() {
					if r.rollouts.receivedFrom() < n-1 {
						return false
					}
				}
				return len(relays()) == relayCount
			})
			first := slices.IndexFunc(fleet, func(r *router) bool { _, first := r.RelayRole(); return first })
			assert.Assert(t, fleet[first].FirstFor("k"))
			heard, known := fleet[first].Heard(time.Now())
			assert.Assert(t, heard >= n/2 && known == n-1, "%d of %d heard", heard, known)
			status := NewRolloutStatus("service-a", rollout.Status{State: rollout.Running, Order: "order", Share: 0.25, Started: time.UnixMilli(5)})
			fleet[first].rollouts.mu.Lock()
			fleet[first].rollouts.statuses = []RolloutStatus{status}
			fleet[first].rollouts.mu.Unlock()
			eventually(t, "status at all routers", func() bool {
				for i, r := range fleet {
					if got, ok := r.rollouts.newest(); i != first && (!ok || got != status) {
						return false
					}
				}
				return true
			})
			assert.Equal(t, status.Status().Share, 0.25)
		})
	}
}

// Guards against a roll-out on which nobody decides since the first relay is of an earlier version,
// which does not watch roll-outs, and against a relay that decides beside one that does.
func TestFirstForKind(t *testing.T) {
	fleet := newFleet(t, 5)
	var first, second *router
	eventually(t, "two relays", func() bool {
		first, second = nil, nil
		for _, r := range fleet {
			r.Exchange.mu.Lock()
			rank := r.rank
			r.Exchange.mu.Unlock()
			switch rank {
			case 0:
				first = r
			case 1:
				second = r
			}
		}
		return first != nil && second != nil
	})
	eventually(t, "the next one decides in place of a relay that does not watch the kind", func() bool {
		return second.FirstFor("rollouts")
	})
	first.Announce("rollouts", mirror.Head{Fresh: true})
	eventually(t, "only the first relay decides", func() bool { return !second.FirstFor("rollouts") && first.FirstFor("rollouts") })
}

// Guards against a report that an earlier version can't read past, a batch with a status that one
// can't read, and a message that changes although no roll-out is running.
func TestRolloutMessagesAndEarlierVersions(t *testing.T) {
	type earlierObject struct {
		Key     string
		Version uint64
		Value   []byte
		Deleted bool
	}
	type earlierMessage struct {
		Router string         `cbor:"1,keyasint"`
		Loads  map[string]int `cbor:"2,keyasint,omitempty"`
		Batch  *struct {
			Kind    string
			Objects []earlierObject
		} `cbor:"5,keyasint,omitempty"`
	}
	now := message{
		Router: "r", Loads: map[string]int{"e": 2}, RolloutReports: []RolloutReport{reportOf(3, 40)},
		RolloutStatuses: []RolloutStatus{NewRolloutStatus("s", rollout.Status{State: rollout.Running})},
		Batch: &mirror.Batch{Kind: "rollouts", Objects: []objectstore.Object{
			{Key: "s", Version: 4, Value: []byte("{}"), Status: []byte(`{"state":"running"}`), Created: 3},
		}},
	}
	encoded, err := cbor.Marshal(now)
	assert.NilError(t, err)
	var earlier earlierMessage
	assert.NilError(t, cbor.Unmarshal(encoded, &earlier))
	assert.Equal(t, earlier.Loads["e"], 2)
	assert.Equal(t, string(earlier.Batch.Objects[0].Value), "{}")
	var same message
	assert.NilError(t, cbor.Unmarshal(encoded, &same))
	assert.DeepEqual(t, same.RolloutReports[0].Report.Target, now.RolloutReports[0].Report.Target)
	assert.Equal(t, string(same.Batch.Objects[0].Status), `{"state":"running"}`)

	object := objectstore.Object{Key: "k", Version: 4, Value: []byte("{}")}
	withStatus, err := cbor.Marshal(object)
	assert.NilError(t, err)
	without, err := cbor.Marshal(earlierObject{Key: "k", Version: 4, Value: []byte("{}")})
	assert.NilError(t, err)
	assert.DeepEqual(t, withStatus, without)
}

// Guards against reports and statuses that take more than their part of the control traffic: a
// router sends a report to three relays every 500 ms in a large fleet.
func TestSizeOfRolloutMessages(t *testing.T) {
	size := func(m message) int {
		encoded, err := cbor.Marshal(m)
		assert.NilError(t, err)
		return len(encoded)
	}
	typical := size(message{Router: "edge-curepipe-2", RolloutReports: []RolloutReport{reportOf(4, 400)}})
	largest := size(message{Router: "edge-curepipe-2", RolloutReports: []RolloutReport{reportOf(16, 40_000)}})
	status := size(message{RolloutStatuses: []RolloutStatus{NewRolloutStatus("service-a", rollout.Status{
		State: rollout.RolledBack, Target: "v2.10.3", Order: "43710ee18323bbb9", Reason: rollout.ReasonFailures, Started: time.Now(),
	})}})
	t.Logf("report: %d bytes with 4 routes and 4 endpoints, %d with 16 routes; status: %d bytes", typical, largest, status)
	assert.Assert(t, largest < maxDatagram/2)
	assert.Assert(t, typical < 600 && status < 150)
}
