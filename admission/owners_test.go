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
	ownersMax   = 6 // the largest limit drawn
	ownersStep  = 100 * time.Millisecond
	ownersSteps = 600
	// adoptDelay is how long users take to see a change of owner.
	adoptDelay = 3
)

// user is the router that uses a permit. Its permit counts at a gate until
// counted[gate], the end of the hold time there.
type user struct {
	name      string
	permit    uint64
	endsAt    int
	dead      bool
	countedTo map[int]time.Time
}

// owners is an endpoint whose admission owner changes. It knows all work.
type owners struct {
	t     *rapid.T
	rand  *rand.Rand
	limit int
	gates []*Gate
	owner int
	moved int
	step  int
	users map[uint64]*user
	// open has the deadlines of requests without an outcome.
	open    map[string]time.Time
	created int
}

func (o *owners) now() time.Time { return at(time.Duration(o.step) * ownersStep) }

func (o *owners) running() int {
	running := 0
	for _, u := range o.users {
		if !u.dead {
			running++
		}
	}
	return running
}

// expected returns the permits that the owner has to count: those in use, and
// those of dead users until their hold time ends.
func (o *owners) expected() []uint64 {
	var ids []uint64
	for id, u := range o.users {
		if !u.dead || u.countedTo[o.owner].After(o.now()) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (o *owners) advance(moves bool) {
	o.step++
	if moves && o.rand.IntN(100) < 2 {
		o.move()
	}
	gate := o.gates[o.owner]
	o.take(gate.SetEndpoint(o.now(), Settings{MaxInflight: o.limit}))
	if o.step%5 == 0 || o.step == o.moved {
		o.take(gate.Report(o.now(), ready(o.running())))
	}
	for _, id := range slices.Sorted(maps.Keys(o.users)) {
		if o.step-o.moved >= adoptDelay {
			o.use(gate, o.users[id])
		}
	}
	o.take(gate.Tick(o.now()))
	for range o.rand.IntN(3) {
		o.request(gate)
	}
}

// move refuses the queue of the former owner.
func (o *owners) move() {
	o.take(o.gates[o.owner].Close())
	assert.Equal(o.t, len(o.open), 0)
	o.owner = o.rand.IntN(len(o.gates))
	o.gates[o.owner] = NewGate(Config{Nonce: o.rand.Uint32() | 1})
	for _, u := range o.users {
		clear(u.countedTo)
	}
	o.moved = o.step
}

// use renews the permit, has it adopted if it is not known, or ends its work.
func (o *owners) use(gate *Gate, u *user) {
	switch {
	case u.dead:
	case o.rand.IntN(200) == 0:
		u.dead = true
	case u.endsAt <= o.step:
		delete(o.users, u.permit)
		o.take(gate.Release(o.now(), u.permit, ReleaseInfo{}))
		o.take(gate.Release(o.now(), u.permit, ReleaseInfo{}))
	default:
		hold := DefaultHold
		for _, id := range gate.Renew(o.now(), u.name, []uint64{u.permit}) {
			hold = DefaultFirstHold
			held := []api.HeldPermit{{Permit: id, Workspace: "w"}}
			gate.Adopt(o.now(), u.name, held)
			gate.Adopt(o.now(), u.name, held)
		}
		u.countedTo[o.owner] = o.now().Add(hold)
	}
}

func (o *owners) request(gate *Gate) {
	o.created++
	r := ask(string(rune('a'+o.rand.IntN(3))), fmt.Sprint(o.created), time.Duration(o.rand.IntN(4))*time.Second, o.now())
	r.Router, r.Priority = r.ID, o.rand.IntN(3)
	o.open[r.ID] = r.Deadline
	if outcome, queued := gate.Request(o.now(), r); !queued {
		o.take([]Outcome{outcome})
	}
}

// take checks that each request gets one outcome, and not after its deadline.
func (o *owners) take(outcomes []Outcome) {
	for _, outcome := range outcomes {
		deadline, open := o.open[outcome.RequestID]
		assert.Assert(o.t, open, "second outcome of %s", outcome.RequestID)
		delete(o.open, outcome.RequestID)
		if !outcome.Granted() {
			continue
		}
		assert.Assert(o.t, deadline.IsZero() || deadline.After(o.now()))
		id := outcome.Grant.PermitID
		counted := map[int]time.Time{o.owner: o.now().Add(DefaultFirstHold)}
		o.users[id] = &user{name: outcome.Router, permit: id, endsAt: o.step + 1 + o.rand.IntN(100), countedTo: counted}
	}
}

// Guards against a new owner that loses or doubles permits of a former one, a
// dead router's permits that are freed early or never, more work than the endpoint
// may have, a queued request that gets no outcome, two, or one after its deadline,
// and a free place that is not given to the queue. While permits are not adopted
// yet, the report limits work.
func TestOwnersAgainstOmniscientCounter(t *testing.T) {
	moves, peak := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		moving := rapid.Bool().Draw(t, "moving")
		o := &owners{t: t, rand: rand.New(rand.NewPCG(seed, 0)), users: map[uint64]*user{}, open: map[string]time.Time{}}
		o.limit = 1 + o.rand.IntN(ownersMax)
		for range 3 {
			o.gates = append(o.gates, NewGate(Config{Nonce: o.rand.Uint32() | 1}))
		}
		for range ownersSteps {
			o.advance(moving)
			running := o.running()
			peak = max(peak, running)
			assert.Assert(t, running <= o.limit, "%d running at step %d", running, o.step)
			gate, inService := o.gates[o.owner], 0
			for _, w := range gate.queue.workspaces {
				inService += w.inflight
			}
			assert.Equal(t, inService, len(gate.permits))
			assert.Equal(t, gate.Queued(), len(o.open))
			assert.Assert(t, gate.Queued() == 0 || gate.Inflight() >= o.limit)
			if o.moved == o.step {
				moves++
			}
			if o.step-o.moved < adoptDelay {
				continue
			}
			var held []uint64
			for _, h := range gate.Held() {
				held = append(held, h.Permit)
			}
			slices.Sort(held)
			assert.DeepEqual(t, held, o.expected())
		}
	})
	t.Logf("%d changes of owner, at most %d running", moves, peak)
	assert.Equal(t, peak, ownersMax)
}
