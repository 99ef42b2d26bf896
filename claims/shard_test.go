package claims

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

func testConfig(owner string) Config {
	return Config{
		Owner: owner, CommitInterval: 50 * time.Millisecond, Retention: 24 * time.Hour,
		UnknownAfter: time.Minute, MaxQueue: 8, MaxOutcomeBytes: 1024,
	}
}

// Several owners of one shard meet lost responses, delayed writes, stale reads and
// crashes. Guards against these faults: a key is run twice; a grant is not durable; a
// recorded outcome changes; a segment in use is deleted; a reply says "not claimed"
// although the key was claimed.
func TestShardDifferential(t *testing.T) {
	var grants, outcomes, segments int
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{
			t: t, now: time.Unix(1e9, 0), store: objectstore.NewMemory(),
			owners:  make([]*simOwner, rapid.IntRange(2, 3).Draw(t, "owners")),
			history: map[string][]objectstore.Object{}, expected: map[string]api.ClaimRecord{},
			claimed: map[string]bool{}, runs: map[string]*attempt{},
		}
		for i := range w.owners {
			w.start(i)
		}
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			w.randomAction()
		}
		for _, action := range w.delayed {
			_, _ = w.apply(action)
		}
		for _, a := range w.attempts {
			if a.sent > 0 && a.sent == a.unclaimed {
				assert.Assert(t, !w.claimed[a.request.Attempt], "%s was reported as not claimed", a.request.Attempt)
			}
		}
		grants += len(w.runs)
		segments += int(w.previousHead.NextSegment)
		for _, record := range w.expected {
			if record.State == api.ClaimStateDone {
				outcomes++
			}
		}
	})
	t.Logf("%d runs, %d outcomes, %d segments", grants, outcomes, segments)
	assert.Assert(t, grants > 0 && outcomes > 0 && segments > 0, "the simulation did not reach all states")
}

// drive runs one shard against a store without faults until it is idle.
func drive(s *Shard, store objectstore.Store, now time.Time) map[uint64]api.ClaimReply {
	ctx := context.Background()
	replies := map[uint64]api.ClaimReply{}
	for {
		action := s.NextAction(now)
		for _, reply := range action.Replies {
			replies[reply.ID] = reply.Reply
		}
		var result ActionResult
		switch action.Kind {
		case ActionGet:
			result.Object, result.Err = store.Get(ctx, action.Key)
		case ActionPut:
			result.Version, result.Err = store.Put(ctx, action.Key, action.Value, action.IfVersion)
		case ActionDelete:
			result.Err = store.Delete(ctx, action.Key, action.IfVersion)
		default:
			if action.Wake.IsZero() {
				return replies
			}
			now = action.Wake
			continue
		}
		s.ApplyResult(now, result)
	}
}

func claimOf(key, attempt string) api.ClaimRequest {
	return api.ClaimRequest{Key: key, Attempt: attempt, Router: "r1", BodyDigest: "d"}
}

// Guards against a corrupt head or segment that is decoded as an empty journal, so
// that a key is granted again.
func TestCorruptJournalGrantsNothing(t *testing.T) {
	ctx := context.Background()
	for _, key := range []string{"claims/0/head", "claims/0/seg-0"} {
		for _, value := range [][]byte{{}, {0xa0}, {0xf6}, []byte("x")} {
			store := objectstore.NewMemory()
			first := NewShard(testConfig("o1"))
			first.sealBytes = 50
			first.Claim(1, claimOf("k1", "a1"))
			drive(first, store, time.Unix(1e9, 0))
			first.Claim(2, claimOf("k2", "a2"))
			drive(first, store, time.Unix(1e9+1, 0))
			object, err := store.Get(ctx, key)
			assert.NilError(t, err)
			_, err = store.Put(ctx, key, value, object.Version)
			assert.NilError(t, err)
			second := NewShard(testConfig("o2"))
			second.Claim(1, claimOf("k1", "a3"))
			replies := drive(second, store, time.Unix(1e9+2, 0))
			assert.Equal(t, replies[1].Result, api.ClaimResultUnavailable)
		}
	}
}

// Guards against wrong replies to a claim of a key that was claimed before. The reply
// depends on the state of the key's record, the age of the earlier claim and the state
// of the router that made it.
func TestAnswersToRepeatedKeys(t *testing.T) {
	store := objectstore.NewMemory()
	now := time.Unix(1e9, 0)
	s := NewShard(testConfig("o1"))
	expect := func(request api.ClaimRequest, want api.ClaimResult) {
		t.Helper()
		s.Claim(1, request)
		assert.Equal(t, drive(s, store, now)[1].Result, want)
	}
	expect(claimOf("k", "a1"), api.ClaimResultGranted)
	expect(claimOf("k", "a1"), api.ClaimResultGranted)
	expect(claimOf("k", "a2"), api.ClaimResultInProgress)
	other := claimOf("k", "a2")
	other.BodyDigest = "e"
	expect(other, api.ClaimResultBodyMismatch)
	lostAt := now.Add(time.Second)
	s.SetLost(func(router string) (time.Time, bool) { return lostAt, router == "r1" })
	now = now.Add(2 * time.Second)
	expect(claimOf("k", "a2"), api.ClaimResultOutcomeUnknown)
	// A claim that was made after the router was lost shows that the router is back.
	lostAt = lostAt.Add(-3 * time.Second)
	expect(claimOf("k", "a2"), api.ClaimResultInProgress)
	s.SetLost(func(string) (time.Time, bool) { return time.Time{}, false })
	s.SetAbsent(func(router string) bool { return router == "r1" })
	expect(claimOf("k", "a2"), api.ClaimResultInProgress)
	now = now.Add(absentAfter + time.Second)
	expect(claimOf("k", "a2"), api.ClaimResultOutcomeUnknown)
	s.SetAbsent(func(string) bool { return false })
	expect(claimOf("k", "a2"), api.ClaimResultInProgress)
	now = now.Add(2 * time.Minute)
	expect(claimOf("k", "a2"), api.ClaimResultOutcomeUnknown)
	s.Update(2, api.ClaimUpdate{Key: "k", Attempt: "a1", State: api.ClaimStateReleased})
	assert.Equal(t, drive(s, store, now)[2].Result, api.ClaimResultDone)
	expect(claimOf("k", "a1"), api.ClaimResultUnavailable)
	expect(claimOf("k", "a2"), api.ClaimResultGranted)
}

// Guards against a grant to an attempt that was abandoned. A paused owner handles the
// attempt's claim only after the release. After a grant the key would stay claimed,
// because no router would run the attempt or release the claim.
func TestLateClaimAfterRelease(t *testing.T) {
	store := objectstore.NewMemory()
	now := time.Unix(1e9, 0)
	paused, other := NewShard(testConfig("o1")), NewShard(testConfig("o2"))
	release := func(s *Shard, attempt string) {
		s.Update(1, api.ClaimUpdate{Key: "k", Attempt: attempt, State: api.ClaimStateReleased})
		assert.Equal(t, drive(s, store, now)[1].Result, api.ClaimResultDone)
	}
	claim := func(s *Shard, attempt string) api.ClaimResult {
		s.Claim(1, claimOf("k", attempt))
		return drive(s, store, now)[1].Result
	}
	assert.Equal(t, claim(paused, "a0"), api.ClaimResultGranted)
	release(paused, "a0")
	release(other, "a1")
	release(other, "a2")
	assert.Equal(t, claim(other, "a3"), api.ClaimResultGranted)
	release(other, "a4")
	release(other, "a3")
	for _, late := range []string{"a0", "a1", "a2", "a3", "a4"} {
		assert.Equal(t, claim(paused, late), api.ClaimResultUnavailable, late)
	}
	assert.Equal(t, claim(paused, "a5"), api.ClaimResultGranted)
}

// Guards against "outcome unknown" replies based on a cached head that was read
// before another owner recorded the outcome.
func TestHeadIsReadAgainBeforeOutcomeUnknown(t *testing.T) {
	store := objectstore.NewMemory()
	now := time.Unix(1e9, 0)
	first, second := NewShard(testConfig("o1")), NewShard(testConfig("o2"))
	first.Claim(1, claimOf("k", "a1"))
	assert.Equal(t, drive(first, store, now)[1].Result, api.ClaimResultGranted)
	second.Update(1, api.ClaimUpdate{Key: "k", Attempt: "a1", State: api.ClaimStateDone, Outcome: &api.ClaimOutcome{Status: 200}})
	assert.Equal(t, drive(second, store, now)[1].Result, api.ClaimResultDone)
	first.SetLost(func(string) (time.Time, bool) { return now, true })
	now = now.Add(maxHeadAge / 2)
	first.Claim(2, claimOf("k", "a2"))
	assert.Equal(t, drive(first, store, now)[2].Result, api.ClaimResultDone)
}

// Guards against these faults: the head exceeds its size bound; a key in a sealed
// segment is not found; a segment is kept beyond the retention.
func TestSealingAndRetention(t *testing.T) {
	ctx := context.Background()
	store := objectstore.NewMemory()
	now := time.Unix(1e9, 0)
	s := NewShard(testConfig("o1"))
	for i := range 400 {
		key := fmt.Sprintf("k%d", i)
		s.Claim(1, claimOf(key, "a1"))
		assert.Equal(t, drive(s, store, now)[1].Result, api.ClaimResultGranted)
		s.Update(2, api.ClaimUpdate{
			Key: key, Attempt: "a1", State: api.ClaimStateDone,
			Outcome: &api.ClaimOutcome{Status: 200, Body: make([]byte, 1000)},
		})
		drive(s, store, now)
		object, err := store.Get(ctx, "claims/0/head")
		assert.NilError(t, err)
		assert.Assert(t, len(object.Value) <= 128<<10)
	}
	fresh := NewShard(testConfig("o2"))
	fresh.Claim(1, claimOf("k0", "a2"))
	reply := drive(fresh, store, now)[1]
	assert.Equal(t, reply.Result, api.ClaimResultDone)
	assert.Equal(t, len(reply.Outcome.Body), 1000)
	now = now.Add(25 * time.Hour)
	fresh.Claim(1, claimOf("new", "a1"))
	assert.Equal(t, drive(fresh, store, now)[1].Result, api.ClaimResultGranted)
	left, err := store.List(ctx, "claims/0/seg-")
	assert.NilError(t, err)
	assert.Assert(t, len(left) <= 1, "%d segments left", len(left))
}

// Guards against a queue that grows beyond MaxQueue.
func TestFullQueueRefuses(t *testing.T) {
	s := NewShard(testConfig("o1"))
	for i := range 9 {
		s.Claim(uint64(i), claimOf("k", fmt.Sprint(i)))
	}
	action := s.NextAction(time.Unix(1e9, 0))
	assert.Equal(t, len(action.Replies), 1)
	assert.DeepEqual(t, action.Replies[0].Reply, api.ClaimReply{Result: api.ClaimResultUnavailable, NotClaimed: true})
}

// Guards against stored bytes that crash the decoder, or that decode without an
// error to a head that breaks the invariants of the state machine.
func FuzzDecodeHead(f *testing.F) {
	value, err := encode(api.ClaimHead{Batches: []string{"b"}, Records: []api.ClaimRecord{}, Segments: []api.ClaimSegmentRef{}})
	assert.NilError(f, err)
	f.Add(value)
	f.Fuzz(func(t *testing.T, data []byte) {
		head, err := DecodeHead(data)
		if err != nil {
			assert.Assert(t, errors.Is(err, ErrCorrupt))
			return
		}
		assert.Assert(t, head.Records != nil && head.Segments != nil && head.Batches != nil)
		for _, record := range head.Records {
			assert.Assert(t, record.Key != "" && (record.State != api.ClaimStateDone || record.Outcome != nil))
		}
	})
}

// Guards against stored bytes that crash the decoder of segments.
func FuzzDecodeSegment(f *testing.F) {
	value, err := encode(api.ClaimSegment{Records: []api.ClaimRecord{{Key: "k", Attempt: "a", State: api.ClaimStateReleased}}})
	assert.NilError(f, err)
	f.Add(value)
	f.Fuzz(func(t *testing.T, data []byte) {
		segment, err := DecodeSegment(data)
		assert.Assert(t, err == nil && segment.Records != nil || errors.Is(err, ErrCorrupt))
	})
}

// Guards against records that are lost when the shard moves them from its head object
// to a segment. A segment with the next number may exist already and hold other
// records. If the shard took this segment for its own, it would drop records from the
// head that no segment holds.
func TestForeignSegmentIsSkipped(t *testing.T) {
	ctx := context.Background()
	store := objectstore.NewMemory()
	foreign, err := encode(api.ClaimSegment{Records: []api.ClaimRecord{{Key: "x", Attempt: "x", State: api.ClaimStateReleased}}})
	assert.NilError(t, err)
	_, err = store.Put(ctx, "claims/0/seg-0", foreign, 0)
	assert.NilError(t, err)
	s := NewShard(testConfig("o1"))
	s.sealBytes = 50
	for i, key := range []string{"k1", "k2", "k1"} {
		s.Claim(1, claimOf(key, fmt.Sprint(i)))
		want := api.ClaimResultGranted
		if i == 2 {
			want = api.ClaimResultInProgress
		}
		assert.Equal(t, drive(s, store, time.Unix(1e9+int64(i), 0))[1].Result, want)
	}
}

// Guards against an owner that has read a head and later grants every key again, because
// the head was deleted or a read did not find it.
func TestMissingHeadGrantsNothing(t *testing.T) {
	ctx := context.Background()
	store := objectstore.NewMemory()
	s := NewShard(testConfig("o1"))
	s.Claim(1, claimOf("k1", "a1"))
	drive(s, store, time.Unix(1e9, 0))
	object, err := store.Get(ctx, "claims/0/head")
	assert.NilError(t, err)
	assert.NilError(t, store.Delete(ctx, object.Key, object.Version))
	for i := range 3 {
		s.Claim(2, claimOf("k2", "a2"))
		reply := drive(s, store, time.Unix(1e9+int64(i), 0))[2]
		assert.Assert(t, reply.Result != api.ClaimResultGranted)
		if reply.Result == api.ClaimResultUnavailable {
			return
		}
	}
	t.Fatal("the claim was not refused")
}

// Guards against two faults while segments do not expire: the head grows without bound;
// once its size is bounded, the outcomes of granted calls can no longer be recorded.
func TestFullJournalRefusesClaimsButKeepsOutcomes(t *testing.T) {
	store := objectstore.NewMemory()
	now := time.Unix(1e9, 0)
	s := NewShard(testConfig("o1"))
	s.sealBytes = 1
	refused := false
	for i := 0; i < maxSegments+10 && !refused; i++ {
		s.Claim(1, claimOf(fmt.Sprintf("k%d", i), "a"))
		refused = drive(s, store, now)[1].Result == api.ClaimResultUnavailable
	}
	assert.Assert(t, refused)
	s.Update(2, api.ClaimUpdate{Key: "k0", Attempt: "a", State: api.ClaimStateDone, Outcome: &api.ClaimOutcome{Status: 200}})
	assert.Equal(t, drive(s, store, now)[2].Result, api.ClaimResultDone)
	s.Claim(3, claimOf("k0", "b"))
	assert.Equal(t, drive(s, store, now)[3].Result, api.ClaimResultDone)
}

// Guards against the use of an outdated record: it was read from a segment before
// another owner sealed a newer record of the same key.
func TestLookupIsNotUsedAfterNewHead(t *testing.T) {
	store := objectstore.NewMemory()
	now := time.Unix(1e9, 0)
	first, second := NewShard(testConfig("o1")), NewShard(testConfig("o2"))
	first.sealBytes, second.sealBytes = 1, 1
	claim := func(s *Shard, key, attempt string) api.ClaimResult {
		s.Claim(1, claimOf(key, attempt))
		return drive(s, store, now)[1].Result
	}
	assert.Equal(t, claim(first, "k1", "a1"), api.ClaimResultGranted)
	assert.Equal(t, claim(first, "k2", "a1"), api.ClaimResultGranted) // seals k1
	second.Update(1, api.ClaimUpdate{Key: "k1", Attempt: "a1", State: api.ClaimStateDone, Outcome: &api.ClaimOutcome{Status: 200}})
	drive(second, store, now)
	assert.Equal(t, claim(second, "k3", "a1"), api.ClaimResultGranted) // seals the outcome
	now = now.Add(2 * maxHeadAge)
	assert.Equal(t, claim(first, "k1", "a2"), api.ClaimResultDone)
}
