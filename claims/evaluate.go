package claims

import (
	"fmt"
	"slices"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// startRequiredRead starts the next read that the queued operations need before
// they can be decided. It returns false when no read is needed.
func (s *Shard) startRequiredRead(now time.Time) (Action, bool) {
	for _, op := range s.queue[:min(len(s.queue), maxBatchOps)] {
		record, known := s.findRecord(op.key(), nil)
		if !known {
			s.segment = s.segmentOfKey[hashKey(op.key())]
			return s.startGet(stepLookup, s.segmentKey(s.segment)), true
		}
		if s.needsHeadRead(now, op, record) {
			s.headValid = false
			return s.startGet(stepHead, s.headKey()), true
		}
	}
	return Action{}, false
}

// needsHeadRead reports whether the head must be read again before the operation
// is decided. This concerns only a claim that would be refused because another attempt
// has claimed the key: another owner may have completed or released the other attempt
// since the head was read. Such a claim is refused only if the cached head is not older
// than maxHeadAge. For the reply outcome_unknown, the head must also have been read
// while the operation was queued.
func (s *Shard) needsHeadRead(now time.Time, op *operation, record *api.ClaimRecord) bool {
	if op.claim == nil || record == nil || record.State != api.ClaimStateClaimed || record.Attempt == op.claim.Attempt {
		return false
	}
	return now.Sub(s.headCurrentAt) > maxHeadAge || !op.headRead && s.outcomeLost(now, record)
}

// outcomeLost reports whether the outcome of a claim is taken to be lost, because the
// claim is too old, or because its router is lost or absent. A claim that was made after
// its router was lost shows that the router is back.
func (s *Shard) outcomeLost(now time.Time, record *api.ClaimRecord) bool {
	age := now.Sub(time.UnixMilli(int64(record.UnixMs)))
	if age > s.cfg.UnknownAfter || age > absentAfter && s.isAbsent(record.Router) {
		return true
	}
	lostAt, lost := s.lostSince(record.Router)
	return lost && age > now.Sub(lostAt)
}

// findRecord returns the newest record of a key, or nil if there is none. It
// returns false if the record is in a segment that has to be read first. Records
// in pending, which are not yet written, take precedence.
func (s *Shard) findRecord(key string, pending map[string]*api.ClaimRecord) (*api.ClaimRecord, bool) {
	if record, ok := pending[key]; ok {
		return record, true
	}
	if i, ok := s.headIndex[key]; ok {
		return &s.head.Records[i], true
	}
	if record, ok := s.lookups[key]; ok {
		return record, true
	}
	_, sealed := s.segmentOfKey[hashKey(key)]
	return nil, !sealed
}

// commit decides the queued operations in order and starts the write of the new
// records, if there are any. A reply that depends on one of these records is sent after
// the write.
func (s *Shard) commit(now time.Time) Action {
	b := &batch{latest: map[string]*api.ClaimRecord{}}
	segments := s.unexpired(now)
	decided := 0
	for _, op := range s.queue[:min(len(s.queue), maxBatchOps)] {
		record, _ := s.findRecord(op.key(), b.latest)
		reply, change := s.decide(now, op, record, len(segments))
		if change != nil {
			size := recordSize(change)
			if b.bytes > 0 && b.bytes+size > s.batchBytes {
				break
			}
			b.bytes += size
			b.records = append(b.records, *change)
			b.latest[op.key()] = change
		}
		decided++
		if _, dependsOnWrite := b.latest[op.key()]; !dependsOnWrite {
			s.replies = append(s.replies, Reply{op.id, reply})
			continue
		}
		b.ops = append(b.ops, op)
		b.replies = append(b.replies, reply)
	}
	s.queue = append([]*operation(nil), s.queue[decided:]...)
	clear(s.lookups)
	if len(b.records) == 0 {
		return Action{Wake: s.wakeForQueue(now)}
	}
	return s.startCommit(now, b, segments)
}

func (s *Shard) wakeForQueue(now time.Time) time.Time {
	if len(s.queue) == 0 {
		return time.Time{}
	}
	return now
}

func (s *Shard) startCommit(now time.Time, b *batch, segments []api.ClaimSegmentRef) Action {
	s.batches++
	b.id = fmt.Sprintf("%s-%d", s.cfg.Owner, s.batches)
	batches := append(append([]string{}, s.head.Batches...), b.id)
	b.head = api.ClaimHead{
		Batches:     batches[max(0, len(batches)-maxBatchIDs):],
		Records:     append(append([]api.ClaimRecord{}, s.head.Records[s.sealCount:]...), b.records...),
		Segments:    append([]api.ClaimSegmentRef{}, segments...),
		NextSegment: s.head.NextSegment,
	}
	if s.sealCount > 0 {
		ref := api.ClaimSegmentRef{Number: s.sealNext, NewestUnixMs: s.sealNewestUnixMs}
		b.head.Segments = append(b.head.Segments, ref)
		b.head.NextSegment = s.sealNext + 1
	}
	s.batch = b
	value, err := encode(b.head)
	if err != nil {
		s.refuseAll(now)
		return Action{}
	}
	s.step = stepCommit
	s.lastCommit = now
	return Action{Kind: ActionPut, Key: s.headKey(), Value: value, IfVersion: s.version}
}

// unexpired returns the segments of the head without the leading ones whose newest
// record is older than the retention.
func (s *Shard) unexpired(now time.Time) []api.ClaimSegmentRef {
	oldest := int(now.Add(-s.cfg.Retention).UnixMilli())
	segments := s.head.Segments
	for len(segments) > 0 && segments[0].NewestUnixMs < oldest {
		segments = segments[1:]
	}
	return segments
}

// recordSize estimates the encoded size of a record in bytes.
func recordSize(record *api.ClaimRecord) int {
	const fieldNames = 80 // bytes of the CBOR field names, the lengths and the time
	size := fieldNames + len(record.Key) + len(record.Attempt) + len(record.Router) + len(record.BodyDigest)
	for _, attempt := range record.Released {
		size += len(attempt)
	}
	if record.Outcome != nil {
		const outcomeNames = 64
		size += outcomeNames + len(record.Outcome.Body) + len(record.Outcome.ContentType)
	}
	return size
}

// decide returns the reply to an operation, and the record to write, or nil if there is
// nothing to write. The argument record is the newest record of the operation's key, and
// segments is the number of unexpired segments.
func (s *Shard) decide(now time.Time, op *operation, record *api.ClaimRecord, segments int) (api.ClaimReply, *api.ClaimRecord) {
	full := s.recordBytes >= s.sealBytes && s.sealCount == 0
	var reply api.ClaimReply
	var change *api.ClaimRecord
	if op.claim != nil {
		full = full || segments >= maxSegments
		reply, change = s.decideClaim(now, op, record)
	} else {
		reply, change = decideUpdate(now, op.update, record)
	}
	if change != nil && full {
		return api.ClaimReply{Result: api.ClaimResultUnavailable, NotClaimed: !op.writeAmbiguous}, nil
	}
	return reply, change
}

func (s *Shard) decideClaim(now time.Time, op *operation, record *api.ClaimRecord) (api.ClaimReply, *api.ClaimRecord) {
	request := op.claim
	if isReleased(record, request.Attempt) {
		// The router has already reported to its caller that this attempt was not run.
		return api.ClaimReply{Result: api.ClaimResultUnavailable, NotClaimed: !op.writeAmbiguous}, nil
	}
	if record == nil || record.State == api.ClaimStateReleased {
		return api.ClaimReply{Result: api.ClaimResultGranted}, &api.ClaimRecord{
			Key:        request.Key,
			State:      api.ClaimStateClaimed,
			Attempt:    request.Attempt,
			Router:     request.Router,
			BodyDigest: request.BodyDigest,
			UnixMs:     int(now.UnixMilli()),
			Released:   releasedBefore(record),
		}
	}
	if record.BodyDigest != "" && record.BodyDigest != request.BodyDigest {
		return api.ClaimReply{Result: api.ClaimResultBodyMismatch}, nil
	}
	if record.State == api.ClaimStateDone {
		return replyToDone(record), nil
	}
	if record.Attempt == request.Attempt && record.Router == request.Router {
		// The request was sent again. A second grant is safe, because the router
		// runs an attempt at most once.
		return api.ClaimReply{Result: api.ClaimResultGranted}, nil
	}
	if s.outcomeLost(now, record) {
		return api.ClaimReply{Result: api.ClaimResultOutcomeUnknown}, nil
	}
	return api.ClaimReply{Result: api.ClaimResultInProgress}, nil
}

func replyToDone(record *api.ClaimRecord) api.ClaimReply {
	if record.Outcome.Status == 0 {
		return api.ClaimReply{Result: api.ClaimResultOutcomeUnknown}
	}
	return api.ClaimReply{Result: api.ClaimResultDone, Outcome: record.Outcome}
}

// decideUpdate replies done when the update is recorded or has become irrelevant,
// and in_progress when another attempt holds the key.
func decideUpdate(now time.Time, update *api.ClaimUpdate, record *api.ClaimRecord) (api.ClaimReply, *api.ClaimRecord) {
	done := api.ClaimReply{Result: api.ClaimResultDone}
	change := &api.ClaimRecord{
		Key:        update.Key,
		State:      update.State,
		Attempt:    update.Attempt,
		Router:     update.Router,
		BodyDigest: update.BodyDigest,
		UnixMs:     int(now.UnixMilli()),
		Outcome:    update.Outcome,
		Released:   releasedBefore(record),
	}
	switch {
	case record == nil:
		// A release is recorded so that a claim of the same attempt is refused if it
		// arrives later. An outcome is recorded even if the claim's record was
		// dropped after the retention.
		return done, change
	case record.Attempt == update.Attempt && record.State == api.ClaimStateClaimed:
		change.Router = record.Router
		change.BodyDigest = record.BodyDigest
		return done, change
	case record.Attempt == update.Attempt && record.State == update.State:
		return done, nil
	case update.State == api.ClaimStateReleased && (record.State == api.ClaimStateDone || isReleased(record, update.Attempt)):
		return done, nil
	case record.State == api.ClaimStateReleased:
		// An outcome is recorded even after a release, because the call was run.
		return done, change
	case update.State == api.ClaimStateReleased:
		// The claim of another attempt stays. A claim of this attempt that arrives
		// later must be refused.
		kept := *record
		kept.Released = appendReleased(record.Released, update.Attempt)
		return done, &kept
	default:
		return api.ClaimReply{Result: api.ClaimResultInProgress}, nil
	}
}

// maxReleased bounds the released attempts that a record lists. There can be
// several when many routers request the same key while the owner of its shard is
// paused.
const maxReleased = 16

// isReleased reports whether the record shows that the attempt was released.
func isReleased(record *api.ClaimRecord, attempt string) bool {
	if record == nil {
		return false
	}
	return record.State == api.ClaimStateReleased && record.Attempt == attempt || slices.Contains(record.Released, attempt)
}

// releasedBefore returns the released attempts that the next record of the key has
// to list.
func releasedBefore(record *api.ClaimRecord) []string {
	switch {
	case record == nil:
		return nil
	case record.State == api.ClaimStateReleased:
		return appendReleased(record.Released, record.Attempt)
	}
	return record.Released
}

func appendReleased(released []string, attempt string) []string {
	all := append(slices.Clone(released), attempt)
	return all[max(0, len(all)-maxReleased):]
}
