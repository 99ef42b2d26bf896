package claims

import (
	"context"
	"fmt"
	"reflect"
	"slices"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

// attempt is one call of a router in the simulation.
type attempt struct {
	request   api.ClaimRequest
	state     string // pending, running, done or abandoned
	sent      int    // number of claim requests
	unclaimed int    // number of replies with NotClaimed
	released  bool   // the release was acknowledged
}

type simOwner struct {
	shard   *Shard
	action  Action              // in flight
	result  ActionResult        // result of the call, not yet passed to the shard
	done    bool                // the call of action was made
	replyTo map[uint64]*attempt // attempts that wait for a reply, by operation id
	// releases holds the attempts whose release was sent, by operation id.
	releases map[uint64]*attempt
}

// simulation runs several owners of one shard against one store, with lost
// responses, delayed writes, stale reads, crashes and routers that abandon attempts.
type simulation struct {
	t             *rapid.T
	now           time.Time
	store         *objectstore.Memory
	owners        []*simOwner
	ownersStarted int
	lastID        uint64
	attempts      []*attempt
	delayed       []Action
	history       map[string][]objectstore.Object
	previousHead  api.ClaimHead
	expected      map[string]api.ClaimRecord // newest written record by key; the journal must hold exactly these records
	claimed       map[string]bool            // attempts that were ever recorded as claimed
	runs          map[string]*attempt
}

func (w *simulation) start(i int) {
	w.ownersStarted++
	shard := NewShard(testConfig(fmt.Sprintf("o%d", w.ownersStarted)))
	shard.sealBytes, shard.batchBytes = 250, 400
	shard.SetLost(func(router string) (time.Time, bool) { return w.now, router == "dead" })
	w.owners[i] = &simOwner{shard: shard, replyTo: map[uint64]*attempt{}, releases: map[uint64]*attempt{}}
}

// apply makes a write or a deletion and checks each new head against the expected
// records.
func (w *simulation) apply(a Action) (uint64, error) {
	ctx := context.Background()
	if a.Kind == ActionDelete {
		for _, ref := range w.previousHead.Segments {
			assert.Assert(w.t, a.Key != fmt.Sprintf("claims/0/seg-%d", ref.Number), "segment in use is deleted")
		}
		return 0, w.store.Delete(ctx, a.Key, a.IfVersion)
	}
	version, err := w.store.Put(ctx, a.Key, a.Value, a.IfVersion)
	if err != nil {
		return 0, err
	}
	w.history[a.Key] = append(w.history[a.Key], objectstore.Object{Key: a.Key, Version: version, Value: a.Value})
	if a.Key == "claims/0/head" {
		w.checkHead(a.Value)
	}
	return version, nil
}

func (w *simulation) checkHead(value []byte) {
	head, err := DecodeHead(value)
	assert.NilError(w.t, err)
	kept := w.previousHead.Records
	if head.NextSegment != w.previousHead.NextSegment {
		ref := head.Segments[len(head.Segments)-1]
		object, err := w.store.Get(context.Background(), fmt.Sprintf("claims/0/seg-%d", ref.Number))
		assert.NilError(w.t, err, "head refers to a segment that was not written")
		segment, err := DecodeSegment(object.Value)
		assert.NilError(w.t, err)
		count := len(segment.Records)
		assert.Assert(w.t, reflect.DeepEqual(segment.Records, kept[:count]), "sealed records differ")
		kept = kept[count:]
	}
	assert.Assert(w.t, len(head.Records) >= len(kept))
	for i := range kept {
		assert.Assert(w.t, reflect.DeepEqual(kept[i], head.Records[i]), "record lost or changed")
	}
	for _, record := range head.Records[len(kept):] {
		w.checkRecord(record)
	}
	w.previousHead = head
}

func (w *simulation) checkRecord(record api.ClaimRecord) {
	old, exists := w.expected[record.Key]
	switch record.State {
	case api.ClaimStateClaimed:
		again := old
		again.Released = record.Released
		onlyReleasedChanged := exists && reflect.DeepEqual(again, record) // only the release of another attempt was added
		assert.Assert(w.t, !exists || onlyReleasedChanged || old.State == api.ClaimStateReleased && old.Attempt != record.Attempt,
			"claim of %s after %+v", record.Attempt, old)
		for _, a := range w.attempts {
			assert.Assert(w.t, onlyReleasedChanged || !a.released || a.request.Attempt != record.Attempt, "%s is claimed after its release", record.Attempt)
		}
		w.claimed[record.Attempt] = true
	case api.ClaimStateDone:
		assert.Assert(w.t, old.State == api.ClaimStateClaimed && old.Attempt == record.Attempt,
			"outcome of %s after %+v", record.Attempt, old)
	case api.ClaimStateReleased:
		assert.Assert(w.t, !exists || old.State == api.ClaimStateReleased || old.Attempt == record.Attempt,
			"release of %s after %+v", record.Attempt, old)
		assert.Assert(w.t, old.State != api.ClaimStateDone)
	}
	w.expected[record.Key] = record
}

func (w *simulation) read(a Action) ActionResult {
	versions := w.history[a.Key]
	if len(versions) > 1 && rapid.IntRange(0, 9).Draw(w.t, "stale") == 0 {
		return ActionResult{Object: versions[rapid.IntRange(0, len(versions)-1).Draw(w.t, "version")]}
	}
	object, err := w.store.Get(context.Background(), a.Key)
	return ActionResult{Object: object, Err: err}
}

// call makes the pending call of an owner, possibly with a fault.
func (w *simulation) call(o *simOwner) {
	o.done = true
	fault := rapid.SampledFrom([]string{"", "", "", "", "lost", "delayed", "never", "unavailable"}).Draw(w.t, "fault")
	switch {
	case fault == "unavailable":
		o.result = ActionResult{Err: objectstore.ErrUnavailable}
	case o.action.Kind == ActionGet:
		o.result = w.read(o.action)
	case fault == "lost":
		_, _ = w.apply(o.action)
		o.result = ActionResult{Err: objectstore.ErrAmbiguous}
	case fault == "delayed":
		w.delayed = append(w.delayed, o.action)
		o.result = ActionResult{Err: objectstore.ErrAmbiguous}
	case fault == "never":
		o.result = ActionResult{Err: objectstore.ErrAmbiguous}
	default:
		version, err := w.apply(o.action)
		o.result = ActionResult{Version: version, Err: err}
	}
}

func (w *simulation) ready(o *simOwner) {
	action := o.shard.NextAction(w.now)
	for _, reply := range action.Replies {
		w.reply(o, reply)
	}
	if action.Kind != ActionNone {
		o.action, o.done = action, false
	}
}

func (w *simulation) reply(o *simOwner, reply Reply) {
	if a := o.releases[reply.ID]; a != nil {
		a.released = a.released || reply.Reply.Result == api.ClaimResultDone
	}
	a := o.replyTo[reply.ID]
	delete(o.replyTo, reply.ID)
	if a == nil {
		return
	}
	if reply.Reply.Result == api.ClaimResultUnavailable && reply.Reply.NotClaimed {
		a.unclaimed++
	}
	if rapid.IntRange(0, 9).Draw(w.t, "reply lost") == 0 {
		return
	}
	key := a.request.Key
	switch reply.Reply.Result {
	case api.ClaimResultGranted:
		assert.Assert(w.t, w.claimed[a.request.Attempt], "grant of %s is not durable", a.request.Attempt)
		if a.state != "pending" {
			return
		}
		assert.Assert(w.t, w.runs[key] == nil, "second run of %s", key)
		a.state = "running"
		w.runs[key] = a
	case api.ClaimResultDone:
		run := w.runs[key]
		assert.Assert(w.t, run != nil)
		assert.Equal(w.t, string(reply.Reply.Outcome.Body), run.request.Attempt)
	}
}

func (w *simulation) send(o *simOwner, a *attempt) {
	w.lastID++
	switch a.state {
	case "pending", "running":
		o.replyTo[w.lastID] = a
		a.sent++
		o.shard.Claim(w.lastID, a.request)
	case "done":
		o.shard.Update(w.lastID, api.ClaimUpdate{
			Key: a.request.Key, Attempt: a.request.Attempt, State: api.ClaimStateDone,
			Outcome: &api.ClaimOutcome{Status: 200, Body: []byte(a.request.Attempt)},
		})
	case "abandoned":
		o.releases[w.lastID] = a
		o.shard.Update(w.lastID, api.ClaimUpdate{Key: a.request.Key, Attempt: a.request.Attempt, State: api.ClaimStateReleased})
	}
}

func (w *simulation) randomAction() {
	o := w.owners[rapid.IntRange(0, len(w.owners)-1).Draw(w.t, "owner")]
	switch rapid.IntRange(0, 15).Draw(w.t, "action") {
	case 0, 1:
		name := fmt.Sprintf("a%d", len(w.attempts))
		a := &attempt{state: "pending", request: api.ClaimRequest{
			Key:     rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(w.t, "key"),
			Attempt: name, Router: rapid.SampledFrom([]string{"r1", "r2", "dead"}).Draw(w.t, "router"), BodyDigest: "d",
		}}
		w.attempts = append(w.attempts, a)
		w.send(o, a)
	case 2, 3, 4:
		if len(w.attempts) > 0 {
			w.send(o, rapid.SampledFrom(w.attempts).Draw(w.t, "attempt"))
		}
	case 5, 6:
		for _, a := range w.attempts {
			if a.state == "running" {
				a.state = "done"
				break
			}
		}
	case 7:
		if len(w.attempts) > 0 {
			a := rapid.SampledFrom(w.attempts).Draw(w.t, "abandon")
			if a.state == "pending" {
				a.state = "abandoned"
			}
		}
	case 8:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(w.t, "ms")) * time.Millisecond)
	case 9:
		if len(w.delayed) > 0 {
			i := rapid.IntRange(0, len(w.delayed)-1).Draw(w.t, "delayed")
			_, _ = w.apply(w.delayed[i])
			w.delayed = slices.Delete(w.delayed, i, i+1)
		}
	case 10:
		if rapid.IntRange(0, 3).Draw(w.t, "crash") == 0 {
			i := slices.Index(w.owners, o)
			if o.action.Kind == ActionPut && !o.done {
				w.delayed = append(w.delayed, o.action)
			}
			w.start(i)
		}
	default:
		w.advance(o)
	}
}

// advance runs the next step of an owner: request an action, make the call, or pass
// its result to the shard.
func (w *simulation) advance(o *simOwner) {
	switch {
	case o.action.Kind == ActionNone:
		w.now = w.now.Add(20 * time.Millisecond)
		w.ready(o)
	case !o.done:
		w.call(o)
	default:
		result := o.result
		o.action = Action{}
		o.shard.ApplyResult(w.now, result)
		w.ready(o)
	}
}
