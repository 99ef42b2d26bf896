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
	// keptBatches is the number of batch ids in the head. It bounds how many
	// commits of other owners may follow a lost answer before it is resolved.
	keptBatches = 64
	// sealBytes, batchBytes and maxSegments keep the head near 128 KiB, as the
	// whole head is written with each commit: 48 KiB of records, one batch of
	// 36 KiB, and 1024 segment references of about 37 bytes.
	sealBytes   = 48 << 10
	batchBytes  = 36 << 10
	maxSegments = 1024
	// reservedSegments leaves room for the outcomes of calls that were granted
	// before maxSegments was reached.
	reservedSegments = 256
	maxBatchOps      = 256
	// refreshAge is the age of the cached head above which an answer that
	// another owner may have outdated is not given without reading it again.
	refreshAge = time.Second
	// firstRetryDelay and maxRetryDelay pace reads after a failure of the object API.
	firstRetryDelay = 50 * time.Millisecond
	maxRetryDelay   = time.Second
)

// Config holds the settings of one shard.
type Config struct {
	Shard int
	// Owner starts every batch id; it must differ between any two Shards, also
	// between two for the same shard in one process.
	Owner          string
	CommitInterval time.Duration
	Retention      time.Duration
	// UnknownAfter is the age at which a claim without an outcome is reported as
	// outcome_unknown instead of in_progress.
	UnknownAfter    time.Duration
	MaxQueue        int
	MaxOutcomeBytes int
}

// ActionKind is the kind of one call to the object API.
type ActionKind int

// The calls that a Shard asks for.
const (
	ActionNone ActionKind = iota
	ActionGet
	ActionPut
	ActionDelete
)

// Action is what the caller of Ready must do: send the replies, and make the
// call, if there is one, and pass its result to Step.
type Action struct {
	Kind      ActionKind
	Key       string
	Value     []byte
	IfVersion uint64
	Replies   []Reply
	// Wake is when to call Ready again although no input arrived; zero if never.
	Wake time.Time
}

// Event is the result of the call in the last Action.
type Event struct {
	Object  objectstore.Object // of a get
	Version uint64             // of a put
	Err     error
}

// Reply answers the operation with the id that was passed to Claim or Update.
type Reply struct {
	ID    uint64
	Reply api.ClaimReply
}

// operation is one queued claim or update.
type operation struct {
	id     uint64
	claim  *api.ClaimRequest
	update *api.ClaimUpdate
	// written is set once the operation was part of a write whose outcome was
	// lost, so the operation may take effect later.
	written bool
	// synced is set once the head was read while the operation waited.
	synced bool
}

func (o *operation) key() string {
	if o.claim != nil {
		return o.claim.Key
	}
	return o.update.Key
}

// batch is the set of operations of one write of the head.
type batch struct {
	id      string
	ops     []*operation
	replies []api.ClaimReply
	records []api.ClaimRecord
	bytes   int
	latest  map[string]*api.ClaimRecord
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

	lost   func(router string) (since time.Time, lost bool)
	absent func(router string) bool

	queue   []*operation
	replies []Reply

	// known is false until the head has been read, and after each write whose
	// outcome was not a success.
	known bool
	// syncedAt is when the cached head was last known to be the newest.
	syncedAt    time.Time
	version     uint64
	head        api.ClaimHead
	unsealed    map[string]int // index in head.Records of the newest record
	recordBytes int

	loaded  map[uint64]uint64  // version by segment number
	sealed  map[keyHash]uint64 // segment of the newest sealed record
	garbage []segmentVersion

	// lookups holds the sealed records of queued operations; a nil record means
	// that the segment does not hold the key.
	lookups map[string]*api.ClaimRecord

	step       step
	segment    uint64 // argument of stepLoad and stepLookup
	sealNext   uint64 // number tried by the next seal
	sealCount  int    // leading records that segment sealNext holds; 0 if not written
	sealNewest int
	// sealVersion is the version of segment sealNext, for its deletion.
	sealVersion uint64
	// verifySeal is set when segment sealNext exists or may exist with unknown content.
	verifySeal bool

	batch      *batch
	batches    uint64
	lastCommit time.Time
	retryAt    time.Time
	retryDelay time.Duration
}

// NewShard returns a shard that has read nothing yet.
func NewShard(cfg Config) *Shard {
	return &Shard{
		cfg:        cfg,
		sealBytes:  sealBytes,
		batchBytes: batchBytes,
		lost:       func(string) (time.Time, bool) { return time.Time{}, false },
		absent:     func(string) bool { return false },
		loaded:     map[uint64]uint64{},
		sealed:     map[keyHash]uint64{},
		lookups:    map[string]*api.ClaimRecord{},
	}
}

// absentAfter is the age from which a claim without an outcome is unknown if its
// router is not in the fleet. An owner that has joined later never saw the router
// die; by this age gossip has named every router that lives.
const absentAfter = 30 * time.Second

// SetAbsent sets the function that tells whether a router is not in the fleet.
func (s *Shard) SetAbsent(absent func(router string) bool) { s.absent = absent }

// SetLost sets the function that tells since when a router is lost.
func (s *Shard) SetLost(lost func(router string) (since time.Time, lost bool)) { s.lost = lost }

// Claim queues a claim. Its reply comes from a later Ready under the id.
func (s *Shard) Claim(id uint64, request api.ClaimRequest) {
	valid := fits(request.Key, maxKeyBytes) && fits(request.Attempt, maxNameBytes) &&
		fits(request.BodyDigest, maxNameBytes) && fits(request.Router, maxNameBytes)
	s.enqueue(&operation{id: id, claim: &request}, valid)
}

// Update queues the completion or the release of a claim. A body above
// MaxOutcomeBytes is not kept.
func (s *Shard) Update(id uint64, update api.ClaimUpdate) {
	valid := fits(update.Key, maxKeyBytes) && fits(update.Attempt, maxNameBytes) &&
		fitsOrEmpty(update.BodyDigest, maxNameBytes) && fitsOrEmpty(update.Router, maxNameBytes)
	switch update.State {
	case api.ClaimStateDone:
		update.Outcome = s.keptOutcome(update.Outcome)
	case api.ClaimStateReleased:
		update.Outcome = nil
	default:
		valid = false
	}
	s.enqueue(&operation{id: id, update: &update}, valid)
}

// maxKeyBytes and maxNameBytes bound the size of a record.
const (
	maxKeyBytes  = 1024
	maxNameBytes = 128
)

// fits also refuses text that is not UTF-8, because it would make the journal
// undecodable.
func fits(text string, limit int) bool {
	return text != "" && len(text) <= limit && utf8.ValidString(text)
}

func fitsOrEmpty(text string, limit int) bool { return text == "" || fits(text, limit) }

// keptOutcome returns an outcome of bounded size. A missing one is recorded as
// unknown (status 0), because the attempt may have run.
func (s *Shard) keptOutcome(outcome *api.ClaimOutcome) *api.ClaimOutcome {
	if outcome == nil {
		return &api.ClaimOutcome{}
	}
	kept := *outcome
	if len(kept.Body) > s.cfg.MaxOutcomeBytes {
		kept.Body = nil
		kept.Truncated = true
	}
	if !fits(kept.ContentType, maxNameBytes) {
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

// Cancel removes a queued operation whose caller no longer waits. It reports
// whether the operation is known to have no effect.
func (s *Shard) Cancel(id uint64) bool {
	for i, op := range s.queue {
		if op.id == id {
			s.queue = slices.Delete(s.queue, i, i+1)
			return !op.written
		}
	}
	return false
}

// Idle reports whether nothing is queued or in flight.
func (s *Shard) Idle() bool {
	return s.step == stepIdle && s.batch == nil && len(s.queue) == 0 && len(s.replies) == 0
}

// Ready returns the replies to send and the next call to make. It asks for no
// call while one is in flight.
func (s *Shard) Ready(now time.Time) Action {
	action := Action{}
	if s.step == stepIdle {
		action = s.next(now)
	}
	action.Replies = s.replies
	s.replies = nil
	return action
}

func (s *Shard) next(now time.Time) Action {
	if len(s.queue) == 0 && s.batch == nil {
		return s.deleteGarbage(now)
	}
	if now.Before(s.retryAt) {
		return Action{Wake: s.retryAt}
	}
	if !s.known {
		return s.get(stepHead, s.headKey())
	}
	for _, ref := range s.head.Segments {
		if _, ok := s.loaded[ref.Number]; !ok {
			s.segment = ref.Number
			return s.get(stepLoad, s.segmentKey(ref.Number))
		}
	}
	due := s.lastCommit.Add(s.cfg.CommitInterval)
	if now.Before(due) {
		return Action{Wake: due}
	}
	if s.verifySeal {
		return s.get(stepVerifySeal, s.segmentKey(s.sealNext))
	}
	if s.recordBytes >= s.sealBytes && s.sealCount == 0 && len(s.head.Segments) < maxSegments+reservedSegments {
		return s.seal()
	}
	if action, wait := s.prepare(now); wait {
		return action
	}
	return s.commit(now)
}

func (s *Shard) get(next step, key string) Action {
	s.step = next
	return Action{Kind: ActionGet, Key: key}
}

func (s *Shard) headKey() string { return fmt.Sprintf("claims/%d/head", s.cfg.Shard) }

func (s *Shard) segmentKey(number uint64) string {
	return fmt.Sprintf("claims/%d/seg-%d", s.cfg.Shard, number)
}

// Step takes the result of the call that the last Ready asked for.
func (s *Shard) Step(now time.Time, event Event) {
	current := s.step
	s.step = stepIdle
	switch current {
	case stepHead:
		s.stepHead(now, event)
	case stepLoad, stepLookup:
		s.stepSegment(now, event, current)
	case stepSeal:
		s.stepSeal(now, event)
	case stepVerifySeal:
		s.stepVerifySeal(now, event)
	case stepCommit:
		s.stepCommit(now, event)
	case stepDelete:
		s.stepDelete(now, event)
	}
}

func (s *Shard) stepHead(now time.Time, event Event) {
	head := api.ClaimHead{}
	err := event.Err
	// A head that was there before is never taken as absent, which would allow
	// every claim again.
	if errors.Is(err, objectstore.ErrNotFound) && s.version == 0 {
		err = nil
	} else if err == nil {
		head, err = DecodeHead(event.Object.Value)
	}
	// Versions rise, so an older version is a stale read.
	if err != nil || event.Object.Version < s.version {
		s.fail(now)
		return
	}
	s.retryDelay = 0
	for _, op := range s.queue {
		op.synced = true
	}
	s.adopt(now, head, event.Object.Version)
	if s.batch == nil {
		return
	}
	if slices.Contains(head.Batches, s.batch.id) {
		s.answerBatch()
		return
	}
	s.requeueBatch()
}

// adopt replaces the cached head. Segments that it no longer refers to are
// forgotten and deleted.
func (s *Shard) adopt(now time.Time, head api.ClaimHead, version uint64) {
	s.known = true
	s.syncedAt = now
	s.version = version
	s.head = head
	s.sealCount = 0
	s.verifySeal = false
	s.unsealed = make(map[string]int, len(head.Records))
	s.recordBytes = 0
	clear(s.lookups) // a newer segment may hold a newer record
	for i := range head.Records {
		s.unsealed[head.Records[i].Key] = i
		s.recordBytes += recordSize(&head.Records[i])
	}
	s.dropSegments()
}

func (s *Shard) stepCommit(now time.Time, event Event) {
	switch {
	case event.Err == nil:
		s.committed(now, event.Version)
	case errors.Is(event.Err, objectstore.ErrConflict):
		s.known = false
	case errors.Is(event.Err, objectstore.ErrUnavailable), errors.Is(event.Err, objectstore.ErrTooLarge):
		s.requeueBatch()
		s.fail(now)
	default:
		for _, op := range s.batch.ops {
			op.written = true
		}
		s.known = false
	}
}

func (s *Shard) committed(now time.Time, version uint64) {
	if s.sealCount > 0 {
		s.indexSegment(s.sealNext, s.sealVersion, s.head.Records[:s.sealCount])
	}
	s.adopt(now, s.batch.head, version)
	s.answerBatch()
}

func (s *Shard) answerBatch() {
	for i, op := range s.batch.ops {
		s.replies = append(s.replies, Reply{op.id, s.batch.replies[i]})
	}
	s.batch = nil
}

func (s *Shard) requeueBatch() {
	s.queue = append(s.batch.ops, s.queue...)
	s.batch = nil
}

// fail refuses everything that waits, so that callers learn during an outage
// that nothing was run.
func (s *Shard) fail(now time.Time) {
	if s.batch != nil {
		s.requeueBatch()
	}
	for _, op := range s.queue {
		s.refuse(op)
	}
	s.queue = nil
	clear(s.lookups)
	s.delay(now)
}

func (s *Shard) delay(now time.Time) {
	s.retryDelay = min(max(2*s.retryDelay, firstRetryDelay), maxRetryDelay)
	s.retryAt = now.Add(s.retryDelay)
}

func (s *Shard) refuse(op *operation) {
	reply := api.ClaimReply{Result: api.ClaimResultUnavailable, NotClaimed: !op.written}
	s.replies = append(s.replies, Reply{op.id, reply})
}
