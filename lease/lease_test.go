package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// Routers are paused, calls are slow or fail, responses to writes are lost, and writes
// take effect after their caller timed out. Guards against these failures: two routers
// hold the lease at once; two routers share a term; no router acquires the lease after
// the faults have ended.
func TestAtMostOneHolder(t *testing.T) {
	changes, runs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.IntRange(2, 4).Draw(t, "routers"), Config{})
		holderOf := map[uint64]*simRouter{}
		for range 600 {
			s.step()
			holders := s.holders()
			assert.Assert(t, len(holders) <= 1, "%d holders at %s", len(holders), s.now)
			for _, r := range holders {
				term := r.elector.Lease().Term
				assert.Assert(t, holderOf[term] == nil || holderOf[term] == r, "term %d held twice", term)
				holderOf[term] = r
			}
			if s.randomChance(5) {
				r := s.routers[s.rand.IntN(len(s.routers))]
				r.elector.SetWanted(!r.elector.wanted)
			}
		}
		s.faults = false
		s.routers[0].elector.SetWanted(true)
		for range 500 {
			s.step()
		}
		assert.Equal(t, len(s.holders()), 1)
		runs++
		changes += len(holderOf)
	})
	t.Logf("%d terms in %d runs of 60 s with faults", changes, runs)
}

func acquire(t *testing.T, e *Elector, now time.Time) {
	t.Helper()
	assert.Equal(t, e.Next(now).Kind, ActionRead)
	e.ReadDone(now, api.LeaseRecord{}, 0)
	assert.Equal(t, e.Next(now).Kind, ActionWrite)
	e.WriteDone(now.Add(time.Second), WriteSucceeded, 1)
}

// Guards against these faults: the validity of the lease is counted from the response to
// a write instead of from before the write; a new holder may grant at once; the lease is
// still valid for a holder that was paused beyond its end.
func TestHolderTimes(t *testing.T) {
	now := time.Unix(1000, 0)
	e := NewElector(Config{Router: "a", GrantDelay: 2 * time.Second})
	e.SetWanted(true)
	acquire(t, e, now)
	assert.DeepEqual(t, e.Lease(), Lease{
		Held: true, Term: 1, ValidUntil: now.Add(DefaultLifetime), GrantsFrom: now.Add(2 * time.Second),
	})
	assert.Assert(t, e.Lease().Valid(now.Add(DefaultLifetime-1)))
	assert.Assert(t, !e.Lease().Valid(now.Add(DefaultLifetime)))
	assert.Equal(t, e.Next(now.Add(2*time.Second-1)).Kind, ActionWait)
	renewal := e.Next(now.Add(2 * time.Second))
	assert.DeepEqual(t, renewal.Record, api.LeaseRecord{Holder: "a", Term: 1, Renewal: 2})
	e.WriteDone(now.Add(3*time.Second), WriteUnknown, 0)
	assert.Assert(t, e.Lease().Valid(now.Add(DefaultLifetime-1)))
	assert.Equal(t, e.Next(now.Add(3*time.Second)).Kind, ActionWait)
	assert.Equal(t, e.Next(now.Add(4*time.Second)).Kind, ActionRead)
	e.ReadDone(now.Add(4*time.Second), renewal.Record, 2)
	assert.Equal(t, e.Lease().ValidUntil, now.Add(2*time.Second+DefaultLifetime))
}

// Guards against these faults: a router takes the lease over from a holder whose renewals
// still arrive, or before the lifetime and the margin have passed; a restarted router
// takes the record that its former process wrote as its own.
func TestTakeoverWaits(t *testing.T) {
	now := time.Unix(1000, 0)
	e := NewElector(Config{Router: "a"})
	e.SetWanted(true)
	wait := DefaultLifetime + DefaultMargin
	read := func(at time.Time, renewal, version uint64) {
		assert.Equal(t, e.Next(at).Kind, ActionRead)
		e.ReadDone(at, api.LeaseRecord{Holder: "a", Term: 4, Renewal: renewal}, version)
		assert.Assert(t, !e.Lease().Held)
	}
	read(now, 1, 7)
	now = now.Add(wait - 1)
	read(now, 2, 8)
	for range 3 {
		now = now.Add(DefaultLifetime / renewalsPerLifetime)
		read(now, 2, 8)
	}
	assert.Equal(t, e.Next(now.Add(DefaultMargin-1)).Kind, ActionWait)
	write := e.Next(now.Add(DefaultMargin))
	assert.Equal(t, write.Kind, ActionWrite)
	assert.Equal(t, write.IfVersion, uint64(8))
	assert.Equal(t, write.Record.Term, uint64(5))
}
