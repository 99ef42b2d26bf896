package claims

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

const (
	// maxBatchIDs is the number of batch ids that the head lists, the newest ones.
	// After a write with a lost response, the owner looks for its batch id in the head
	// to learn whether the write took effect. It can no longer tell once other owners
	// have made this many commits.
	maxBatchIDs = 64
	// sealBytes, batchBytes and maxSegments keep the head near 128 KiB: 48 KiB of
	// records, one batch of 36 KiB, and 1024 segment references of about 37 bytes each.
	// The size matters because each commit writes the whole head.
	sealBytes   = 48 << 10
	batchBytes  = 36 << 10
	maxSegments = 1024
	// reservedSegments is the number of segments beyond maxSegments that are
	// reserved for updates, so that calls granted before the limit was reached can
	// record their outcomes.
	reservedSegments = 256
	maxBatchOps      = 256
	// maxHeadAge is the greatest age of the cached head at which a claim may be refused
	// because of a record in the journal. Another owner may have replaced that record,
	// so an older head is read again first.
	maxHeadAge = time.Second
	// firstRetryDelay and maxRetryDelay bound the exponential backoff after a
	// failure of the object API.
	firstRetryDelay = 50 * time.Millisecond
	maxRetryDelay   = time.Second
)

// Config holds the settings of one shard. It has no defaults.
type Config struct {
	Shard int // from 0
	// Owner is the prefix of every batch id. It must differ between any two Shard
	// values, also between two for the same shard in one process.
	Owner string
	// CommitInterval is the least time between two writes of the head.
	CommitInterval time.Duration
	// Retention is the least time for which records are kept. A segment is dropped when
	// its newest record is older than that.
	Retention time.Duration
	// UnknownAfter is the age at which a claim without an outcome is reported as
	// outcome_unknown instead of in_progress.
	UnknownAfter time.Duration
	// MaxQueue is the number of operations that may be queued. Further ones are
	// refused.
	MaxQueue int
	// MaxOutcomeBytes bounds the body of a recorded outcome. A longer body is dropped
	// and the outcome marked as truncated.
	MaxOutcomeBytes int
}

// ActionKind is the kind of one call to the object API.
type ActionKind int

// The calls that a Shard can request.
const (
	ActionNone ActionKind = iota
	ActionGet
	ActionPut
	ActionDelete
)

// Action is what the caller of NextAction must do: send the replies, make the call, if
// there is one, and pass its result to ApplyResult.
type Action struct {
	Kind  ActionKind
	Key   string
	Value []byte // the value to write, for ActionPut
	// IfVersion is the version that the object must have for ActionPut or
	// ActionDelete. For ActionPut, 0 means that the object must not exist.
	IfVersion uint64
	Replies   []Reply
	// Wake is when to call NextAction again if no operation arrives before. The zero
	// time means that no such call is needed.
	Wake time.Time
}

// ActionResult is the result of the call that the last Action requested.
type ActionResult struct {
	Object  objectstore.Object // the object that was read, for ActionGet
	Version uint64             // the object's new version, for ActionPut
	Err     error
}

// Reply is the reply to the operation with the id that was passed to Claim or Update.
type Reply struct {
	ID    uint64
	Reply api.ClaimReply
}

// operation is one queued claim or update.
type operation struct {
	id     uint64
	claim  *api.ClaimRequest
	update *api.ClaimUpdate
	// writeAmbiguous is set once the operation was part of a write whose outcome is
	// unknown. The operation may then still take effect.
	writeAmbiguous bool
	// headRead is set once the head was read while the operation was queued.
	headRead bool
}

func (o *operation) key() string {
	if o.claim != nil {
		return o.claim.Key
	}
	return o.update.Key
}

// batch holds the operations that are committed by one write of the head.
type batch struct {
	id      string
	ops     []*operation
	replies []api.ClaimReply
	records []api.ClaimRecord
	bytes   int
	latest  map[string]*api.ClaimRecord // newest record in records by key
	head    api.ClaimHead
}

type step int

const (
	stepIdle step = iota
	stepHead
	stepLoad
	stepLookup
	stepSeal
	stepVerifySeal
	stepCommit
	stepDelete
)

type keyHash [16]byte

func hashKey(key string) keyHash {
	sum := sha256.Sum256([]byte(key))
	return keyHash(sum[:16])
}

type segmentVersion struct{ number, version uint64 }

// Shard is the journal of one shard of keys as a state machine: it does no I/O
// and reads no clock. At most one call is in flight. It is not safe for
// concurrent use.
type Shard struct {
	cfg Config
	// sealBytes and batchBytes are smaller in tests, so that segments are sealed often.
	sealBytes, batchBytes int

	lostSince func(router string) (since time.Time, lost bool)
	isAbsent  func(router string) bool

	queue   []*operation
	replies []Reply

	// headValid is false until the head has been read, and after each write that
	// did not succeed.
	headValid bool
	// headCurrentAt is when the cached head was last known to be the newest.
	headCurrentAt time.Time
	version       uint64 // version of the cached head; 0 if there is none
	head          api.ClaimHead
	headIndex     map[string]int // by key, the index of its newest record in head.Records
	recordBytes   int            // estimated size of head.Records

	segmentVersions map[uint64]uint64  // by segment number, the version of the object
	segmentOfKey    map[keyHash]uint64 // by key, the number of the segment with the newest sealed record
	garbage         []segmentVersion   // segments to delete

	// lookups holds, by key, the newest sealed records that were read from segments
	// for queued operations. A nil record means that the segment does not hold the key.
	lookups map[string]*api.ClaimRecord

	step             step   // call in flight
	segment          uint64 // number of the segment that stepLoad or stepLookup reads
	sealNext         uint64 // number of the segment that is sealed next
	sealCount        int    // leading records of the head that segment sealNext holds; 0 if it is not written
	sealNewestUnixMs int    // time of the newest of these records
	// sealVersion is the version of segment sealNext. It is needed to delete the segment.
	sealVersion uint64
	// verifySeal is set when segment sealNext exists, or may exist, with unknown
	// content, so that it has to be read before it is used.
	verifySeal bool

	batch      *batch        // being written, or written with an unknown outcome
	batches    uint64        // number of batches so far, from which their ids are made
	lastCommit time.Time     // when the last write of the head was requested
	retryAt    time.Time     // time before which no call is made, after a failure
	retryDelay time.Duration // current delay of the backoff; 0 after a success
}

// NewShard returns a shard that has read nothing yet.
func NewShard(cfg Config) *Shard {
	return &Shard{
		cfg:             cfg,
		sealBytes:       sealBytes,
		batchBytes:      batchBytes,
		lostSince:       func(string) (time.Time, bool) { return time.Time{}, false },
		isAbsent:        func(string) bool { return false },
		segmentVersions: map[uint64]uint64{},
		segmentOfKey:    map[keyHash]uint64{},
		lookups:         map[string]*api.ClaimRecord{},
	}
}

// absentAfter concerns claims without an outcome whose router is not in the fleet. The
// outcome of a claim older than this is taken as unknown. An owner that joined after
// the router failed has not observed the failure. After absentAfter, however, gossip
// has delivered the entries of all live routers to the owner.
const absentAfter = 30 * time.Second

// SetAbsent sets the function that reports whether a router is absent from the
// fleet. A claim of such a router has an unknown outcome once it is older than
// absentAfter.
func (s *Shard) SetAbsent(absent func(router string) bool) { s.isAbsent = absent }

// SetLost sets the function that reports whether a router is lost, and since when. A
// claim that such a router made before that time has an unknown outcome.
func (s *Shard) SetLost(lost func(router string) (since time.Time, lost bool)) { s.lostSince = lost }

// Claim queues a claim. A later NextAction returns its reply with the same id.
func (s *Shard) Claim(id uint64, request api.ClaimRequest) {
	valid := isValidText(request.Key, maxKeyBytes) && isValidText(request.Attempt, maxNameBytes) &&
		isValidText(request.BodyDigest, maxNameBytes) && isValidText(request.Router, maxNameBytes)
	s.enqueue(&operation{id: id, claim: &request}, valid)
}

// Update queues the completion or the release of a claim. A later NextAction returns its
// reply with the same id. A body above MaxOutcomeBytes is dropped and the outcome
// marked as truncated.
func (s *Shard) Update(id uint64, update api.ClaimUpdate) {
	valid := isValidText(update.Key, maxKeyBytes) && isValidText(update.Attempt, maxNameBytes) &&
		isValidTextOrEmpty(update.BodyDigest, maxNameBytes) && isValidTextOrEmpty(update.Router, maxNameBytes)
	switch update.State {
	case api.ClaimStateDone:
		update.Outcome = s.boundedOutcome(update.Outcome)
	case api.ClaimStateReleased:
		update.Outcome = nil
	default:
		valid = false
	}
	s.enqueue(&operation{id: id, update: &update}, valid)
}

// maxKeyBytes and maxNameBytes bound the text fields of a record and so its size.
const (
	maxKeyBytes  = 1024
	maxNameBytes = 128
)

// isValidText reports whether text is not empty, not longer than limit bytes and
// valid UTF-8. Other text would make the journal undecodable.
func isValidText(text string, limit int) bool {
	return text != "" && len(text) <= limit && utf8.ValidString(text)
}

func isValidTextOrEmpty(text string, limit int) bool { return text == "" || isValidText(text, limit) }

// boundedOutcome returns an outcome of bounded size. A missing outcome is recorded
// as unknown (status 0), because the attempt may have run.
func (s *Shard) boundedOutcome(outcome *api.ClaimOutcome) *api.ClaimOutcome {
	if outcome == nil {
		return &api.ClaimOutcome{}
	}
	kept := *outcome
	if len(kept.Body) > s.cfg.MaxOutcomeBytes {
		kept.Body = nil
		kept.Truncated = true
	}
	if !isValidText(kept.ContentType, maxNameBytes) {
		kept.ContentType = ""
	}
	return &kept
}

func (s *Shard) enqueue(op *operation, valid bool) {
	if !valid || len(s.queue) >= s.cfg.MaxQueue {
		s.refuse(op)
		return
	}
	s.queue = append(s.queue, op)
}

// Cancel removes a queued operation whose caller no longer waits. It returns true if the
// operation is known to have no effect, and false if the operation is not queued or was
// part of a write that may have taken effect.
func (s *Shard) Cancel(id uint64) bool {
	for i, op := range s.queue {
		if op.id == id {
			s.queue = slices.Delete(s.queue, i, i+1)
			return !op.writeAmbiguous
		}
	}
	return false
}

// Idle reports whether nothing is queued or in flight.
func (s *Shard) Idle() bool {
	return s.step == stepIdle && s.batch == nil && len(s.queue) == 0 && len(s.replies) == 0
}

// NextAction returns the replies to send and the next call to make. It returns no call
// while one is in flight.
func (s *Shard) NextAction(now time.Time) Action {
	action := Action{}
	if s.step == stepIdle {
		action = s.startNextCall(now)
	}
	action.Replies = s.replies
	s.replies = nil
	return action
}

func (s *Shard) startNextCall(now time.Time) Action {
	if len(s.queue) == 0 && s.batch == nil {
		return s.deleteGarbage(now)
	}
	if now.Before(s.retryAt) {
		return Action{Wake: s.retryAt}
	}
	if !s.headValid {
		return s.startGet(stepHead, s.headKey())
	}
	for _, ref := range s.head.Segments {
		if _, ok := s.segmentVersions[ref.Number]; !ok {
			s.segment = ref.Number
			return s.startGet(stepLoad, s.segmentKey(ref.Number))
		}
	}
	due := s.lastCommit.Add(s.cfg.CommitInterval)
	if now.Before(due) {
		return Action{Wake: due}
	}
	if s.verifySeal {
		return s.startGet(stepVerifySeal, s.segmentKey(s.sealNext))
	}
	if s.recordBytes >= s.sealBytes && s.sealCount == 0 && len(s.head.Segments) < maxSegments+reservedSegments {
		return s.seal()
	}
	if action, wait := s.startRequiredRead(now); wait {
		return action
	}
	return s.commit(now)
}

func (s *Shard) startGet(next step, key string) Action {
	s.step = next
	return Action{Kind: ActionGet, Key: key}
}

func (s *Shard) headKey() string { return fmt.Sprintf("claims/%d/head", s.cfg.Shard) }

func (s *Shard) segmentKey(number uint64) string {
	return fmt.Sprintf("claims/%d/seg-%d", s.cfg.Shard, number)
}

// ApplyResult applies the result of the call that the last NextAction returned.
func (s *Shard) ApplyResult(now time.Time, result ActionResult) {
	current := s.step
	s.step = stepIdle
	switch current {
	case stepHead:
		s.handleHead(now, result)
	case stepLoad, stepLookup:
		s.handleSegment(now, result, current)
	case stepSeal:
		s.handleSeal(now, result)
	case stepVerifySeal:
		s.handleVerifySeal(now, result)
	case stepCommit:
		s.handleCommit(now, result)
	case stepDelete:
		s.handleDelete(now, result)
	}
}

func (s *Shard) handleHead(now time.Time, result ActionResult) {
	head := api.ClaimHead{}
	err := result.Err
	// A missing head means an empty journal only if no head was read before. Otherwise
	// every key could be granted again.
	if errors.Is(err, objectstore.ErrNotFound) && s.version == 0 {
		err = nil
	} else if err == nil {
		head, err = DecodeHead(result.Object.Value)
	}
	// Versions only increase, so a lower version is a stale read.
	if err != nil || result.Object.Version < s.version {
		s.refuseAll(now)
		return
	}
	s.retryDelay = 0
	for _, op := range s.queue {
		op.headRead = true
	}
	s.installHead(now, head, result.Object.Version)
	if s.batch == nil {
		return
	}
	if slices.Contains(head.Batches, s.batch.id) {
		s.replyToBatch()
		return
	}
	s.requeueBatch()
}

// installHead replaces the cached head. Segments to which the new head no longer refers
// are removed from the index and queued for deletion.
func (s *Shard) installHead(now time.Time, head api.ClaimHead, version uint64) {
	s.headValid = true
	s.headCurrentAt = now
	s.version = version
	s.head = head
	s.sealCount = 0
	s.verifySeal = false
	s.headIndex = make(map[string]int, len(head.Records))
	s.recordBytes = 0
	clear(s.lookups) // a newer segment may hold a newer record of a key
	for i := range head.Records {
		s.headIndex[head.Records[i].Key] = i
		s.recordBytes += recordSize(&head.Records[i])
	}
	s.forgetDroppedSegments()
}

func (s *Shard) handleCommit(now time.Time, result ActionResult) {
	switch {
	case result.Err == nil:
		s.commitSucceeded(now, result.Version)
	case errors.Is(result.Err, objectstore.ErrConflict):
		s.headValid = false
	case errors.Is(result.Err, objectstore.ErrUnavailable), errors.Is(result.Err, objectstore.ErrTooLarge):
		s.requeueBatch()
		s.refuseAll(now)
	default:
		for _, op := range s.batch.ops {
			op.writeAmbiguous = true
		}
		s.headValid = false
	}
}

func (s *Shard) commitSucceeded(now time.Time, version uint64) {
	if s.sealCount > 0 {
		s.indexSegment(s.sealNext, s.sealVersion, s.head.Records[:s.sealCount])
	}
	s.installHead(now, s.batch.head, version)
	s.replyToBatch()
}

func (s *Shard) replyToBatch() {
	for i, op := range s.batch.ops {
		s.replies = append(s.replies, Reply{op.id, s.batch.replies[i]})
	}
	s.batch = nil
}

func (s *Shard) requeueBatch() {
	s.queue = append(s.batch.ops, s.queue...)
	s.batch = nil
}

// refuseAll refuses all queued operations and backs off. During an outage of the object
// API, callers thus learn that their calls were not run.
func (s *Shard) refuseAll(now time.Time) {
	if s.batch != nil {
		s.requeueBatch()
	}
	for _, op := range s.queue {
		s.refuse(op)
	}
	s.queue = nil
	clear(s.lookups)
	s.backOff(now)
}

func (s *Shard) backOff(now time.Time) {
	s.retryDelay = min(max(2*s.retryDelay, firstRetryDelay), maxRetryDelay)
	s.retryAt = now.Add(s.retryDelay)
}

func (s *Shard) refuse(op *operation) {
	reply := api.ClaimReply{Result: api.ClaimResultUnavailable, NotClaimed: !op.writeAmbiguous}
	s.replies = append(s.replies, Reply{op.id, reply})
}
