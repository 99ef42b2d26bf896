package admission

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

const (
	simMaxLimit = 6 // the largest limit of the simulated endpoints
	simStep     = 100 * time.Millisecond
	simSteps    = 600
	// adoptDelaySteps is the number of steps after which permit users notice a
	// change of owner.
	adoptDelaySteps = 3
)

// permitUser is the router that uses a permit. If the router dies, gate number i
// counts the permit until countedUntil[i], the end of the hold time at that gate.
type permitUser struct {
	name         string
	permit       uint64
	endsAtStep   int
	dead         bool
	countedUntil map[int]time.Time
}

// ownershipSim simulates an endpoint whose admission owner changes. It tracks all
// work, as the reference for what the owner's gate counts.
type ownershipSim struct {
	t           *rapid.T
	rand        *rand.Rand
	limit       int
	gates       []*Gate
	owner       int
	movedAtStep int
	step        int
	users       map[uint64]*permitUser
	// pending holds the deadlines of requests without an outcome.
	pending map[string]time.Time
	created int
}

func (o *ownershipSim) now() time.Time { return at(time.Duration(o.step) * simStep) }

func (o *ownershipSim) running() int {
	running := 0
	for _, u := range o.users {
		if !u.dead {
			running++
		}
	}
	return running
}

// expectedPermits returns the permits that the owner has to count: those in use,
// and those of dead users until their hold time ends.
func (o *ownershipSim) expectedPermits() []uint64 {
	var ids []uint64
	for id, u := range o.users {
		if !u.dead || u.countedUntil[o.owner].After(o.now()) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (o *ownershipSim) advance(moves bool) {
	o.step++
	if moves && o.rand.IntN(100) < 2 {
		o.changeOwner()
	}
	gate := o.gates[o.owner]
	o.checkOutcomes(gate.SetEndpoint(o.now(), Settings{MaxInflight: o.limit}))
	if o.step%5 == 0 || o.step == o.movedAtStep {
		o.checkOutcomes(gate.Report(o.now(), readyReport(o.running())))
	}
	for _, id := range slices.Sorted(maps.Keys(o.users)) {
		if o.step-o.movedAtStep >= adoptDelaySteps {
			o.stepUser(gate, o.users[id])
		}
	}
	o.checkOutcomes(gate.Tick(o.now()))
	for range o.rand.IntN(3) {
		o.request(gate)
	}
}

// changeOwner closes the former owner's gate, which refuses its queue, and makes
// a new gate for a router drawn at random.
func (o *ownershipSim) changeOwner() {
	o.checkOutcomes(o.gates[o.owner].Close())
	assert.Equal(o.t, len(o.pending), 0)
	o.owner = o.rand.IntN(len(o.gates))
	o.gates[o.owner] = NewGate(Config{Nonce: o.rand.Uint32() | 1})
	for _, u := range o.users {
		clear(u.countedUntil)
	}
	o.movedAtStep = o.step
}

// stepUser renews the user's permit, has the gate adopt the permit if it is unknown
// there, or ends the work. In rare cases the user dies instead.
func (o *ownershipSim) stepUser(gate *Gate, u *permitUser) {
	switch {
	case u.dead:
	case o.rand.IntN(200) == 0:
		u.dead = true
	case u.endsAtStep <= o.step:
		delete(o.users, u.permit)
		o.checkOutcomes(gate.Release(o.now(), u.permit, ReleaseInfo{}))
		o.checkOutcomes(gate.Release(o.now(), u.permit, ReleaseInfo{}))
	default:
		holdTime := DefaultHoldTime
		for _, id := range gate.Renew(o.now(), u.name, []uint64{u.permit}) {
			holdTime = DefaultFirstHoldTime
			held := []api.HeldPermit{{Permit: id, Workspace: "w"}}
			gate.Adopt(o.now(), u.name, held)
			gate.Adopt(o.now(), u.name, held)
		}
		u.countedUntil[o.owner] = o.now().Add(holdTime)
	}
}

func (o *ownershipSim) request(gate *Gate) {
	o.created++
	r := newRequest(string(rune('a'+o.rand.IntN(3))), fmt.Sprint(o.created), time.Duration(o.rand.IntN(4))*time.Second, o.now())
	r.Router, r.Priority = r.ID, o.rand.IntN(3)
	o.pending[r.ID] = r.Deadline
	if outcome, queued := gate.Request(o.now(), r); !queued {
		o.checkOutcomes([]Outcome{outcome})
	}
}

// checkOutcomes checks that each request gets only one outcome, and no grant after its
// deadline. It adds a permitUser for each grant.
func (o *ownershipSim) checkOutcomes(outcomes []Outcome) {
	for _, outcome := range outcomes {
		deadline, open := o.pending[outcome.RequestID]
		assert.Assert(o.t, open, "second outcome of %s", outcome.RequestID)
		delete(o.pending, outcome.RequestID)
		if !outcome.Granted() {
			continue
		}
		assert.Assert(o.t, deadline.IsZero() || deadline.After(o.now()))
		id := outcome.Grant.PermitID
		counted := map[int]time.Time{o.owner: o.now().Add(DefaultFirstHoldTime)}
		o.users[id] = &permitUser{name: outcome.Router, permit: id, endsAtStep: o.step + 1 + o.rand.IntN(100), countedUntil: counted}
	}
}

// Guards against these faults when the owner changes and routers die:
//
//   - the new owner loses a permit of the former owner, or counts it twice;
//   - the permit of a dead router is freed too early, or never;
//   - more work runs at the endpoint than the limit allows;
//   - a queued request gets no outcome, gets two, or is granted after its deadline;
//   - requests stay queued although the endpoint has free capacity.
//
// Until the new owner has adopted the permits of the former owner, only the load report
// limits the work.
func TestPermitsAcrossOwnerChanges(t *testing.T) {
	moves, peak := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		moving := rapid.Bool().Draw(t, "moving")
		o := &ownershipSim{t: t, rand: rand.New(rand.NewPCG(seed, 0)), users: map[uint64]*permitUser{}, pending: map[string]time.Time{}}
		o.limit = 1 + o.rand.IntN(simMaxLimit)
		for range 3 {
			o.gates = append(o.gates, NewGate(Config{Nonce: o.rand.Uint32() | 1}))
		}
		for range simSteps {
			o.advance(moving)
			running := o.running()
			peak = max(peak, running)
			assert.Assert(t, running <= o.limit, "%d running at step %d", running, o.step)
			gate, inService := o.gates[o.owner], 0
			for _, w := range gate.queue.workspaces {
				inService += w.inflight
			}
			assert.Equal(t, inService, len(gate.permits))
			assert.Equal(t, gate.Queued(), len(o.pending))
			assert.Assert(t, gate.Queued() == 0 || gate.Inflight() >= o.limit)
			if o.movedAtStep == o.step {
				moves++
			}
			if o.step-o.movedAtStep < adoptDelaySteps {
				continue
			}
			var held []uint64
			for _, h := range gate.HeldPermits() {
				held = append(held, h.PermitID)
			}
			slices.Sort(held)
			assert.DeepEqual(t, held, o.expectedPermits())
		}
	})
	t.Logf("%d changes of owner, at most %d running", moves, peak)
	assert.Equal(t, peak, simMaxLimit)
}
