package claims

import (
	"fmt"
	"slices"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// prepare reads what the queued operations need before they can be decided. It
// returns true when there is a read to wait for.
func (s *Shard) prepare(now time.Time) (Action, bool) {
	for _, op := range s.queue[:min(len(s.queue), maxBatchOps)] {
		record, known := s.find(op.key(), nil)
		if !known {
			s.segment = s.sealed[hashKey(op.key())]
			return s.get(stepLookup, s.segmentKey(s.segment)), true
		}
		if s.outdated(now, op, record) {
			s.known = false
			return s.get(stepHead, s.headKey()), true
		}
	}
	return Action{}, false
}

// outdated reports whether the operation would be refused because of a claim
// that another owner may have completed or released since the head was read. That
// an outcome is unknown is said only of a head that was read for the operation.
func (s *Shard) outdated(now time.Time, op *operation, record *api.ClaimRecord) bool {
	if op.claim == nil || record == nil || record.State != api.ClaimStateClaimed || record.Attempt == op.claim.Attempt {
		return false
	}
	return now.Sub(s.syncedAt) > refreshAge || !op.synced && s.outcomeLost(now, record)
}

// outcomeLost reports whether nobody is left to record the outcome of a claim. A
// claim that is younger than the loss of its router shows that the router is back.
func (s *Shard) outcomeLost(now time.Time, record *api.ClaimRecord) bool {
	age := now.Sub(time.UnixMilli(int64(record.UnixMs)))
	if age > s.cfg.UnknownAfter || age > absentAfter && s.absent(record.Router) {
		return true
	}
	lostAt, lost := s.lost(record.Router)
	return lost && age > now.Sub(lostAt)
}

// find returns the newest record of a key, or nil if there is none. It returns
// false if the record is in a segment that has to be read first.
func (s *Shard) find(key string, pending map[string]*api.ClaimRecord) (*api.ClaimRecord, bool) {
	if record, ok := pending[key]; ok {
		return record, true
	}
	if i, ok := s.unsealed[key]; ok {
		return &s.head.Records[i], true
	}
	if record, ok := s.lookups[key]; ok {
		return record, true
	}
	_, sealed := s.sealed[hashKey(key)]
	return nil, !sealed
}

// commit decides the queued operations in order and writes the new records.
// Replies that depend on a record of this write wait for it.
func (s *Shard) commit(now time.Time) Action {
	b := &batch{latest: map[string]*api.ClaimRecord{}}
	segments := s.unexpired(now)
	taken := 0
	for _, op := range s.queue[:min(len(s.queue), maxBatchOps)] {
		record, _ := s.find(op.key(), b.latest)
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
		taken++
		if _, waits := b.latest[op.key()]; !waits {
			s.replies = append(s.replies, Reply{op.id, reply})
			continue
		}
		b.ops = append(b.ops, op)
		b.replies = append(b.replies, reply)
	}
	s.queue = append([]*operation(nil), s.queue[taken:]...)
	clear(s.lookups)
	if len(b.records) == 0 {
		return Action{Wake: s.wakeForQueue(now)}
	}
	return s.write(now, b, segments)
}

func (s *Shard) wakeForQueue(now time.Time) time.Time {
	if len(s.queue) == 0 {
		return time.Time{}
	}
	return now
}

func (s *Shard) write(now time.Time, b *batch, segments []api.ClaimSegmentRef) Action {
	s.batches++
	b.id = fmt.Sprintf("%s-%d", s.cfg.Owner, s.batches)
	batches := append(append([]string{}, s.head.Batches...), b.id)
	b.head = api.ClaimHead{
		Batches:     batches[max(0, len(batches)-keptBatches):],
		Records:     append(append([]api.ClaimRecord{}, s.head.Records[s.sealCount:]...), b.records...),
		Segments:    append([]api.ClaimSegmentRef{}, segments...),
		NextSegment: s.head.NextSegment,
	}
	if s.sealCount > 0 {
		ref := api.ClaimSegmentRef{Number: s.sealNext, NewestUnixMs: s.sealNewest}
		b.head.Segments = append(b.head.Segments, ref)
		b.head.NextSegment = s.sealNext + 1
	}
	s.batch = b
	value, err := encode(b.head)
	if err != nil {
		s.fail(now)
		return Action{}
	}
	s.step = stepCommit
	s.lastCommit = now
	return Action{Kind: ActionPut, Key: s.headKey(), Value: value, IfVersion: s.version}
}

// unexpired returns the segments without the leading ones that are older than
// the retention.
func (s *Shard) unexpired(now time.Time) []api.ClaimSegmentRef {
	oldest := int(now.Add(-s.cfg.Retention).UnixMilli())
	segments := s.head.Segments
	for len(segments) > 0 && segments[0].NewestUnixMs < oldest {
		segments = segments[1:]
	}
	return segments
}

// recordSize returns the encoded size of a record in bytes.
func recordSize(record *api.ClaimRecord) int {
	const fieldNames = 80 // CBOR field names, lengths and the time
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

// decide returns the reply to an operation on a key with the given newest
// record, and the record to write, if any.
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
		return api.ClaimReply{Result: api.ClaimResultUnavailable, NotClaimed: !op.written}, nil
	}
	return reply, change
}

func (s *Shard) decideClaim(now time.Time, op *operation, record *api.ClaimRecord) (api.ClaimReply, *api.ClaimRecord) {
	request := op.claim
	if isReleased(record, request.Attempt) {
		// The router has told its caller that this attempt was not run.
		return api.ClaimReply{Result: api.ClaimResultUnavailable, NotClaimed: !op.written}, nil
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
		return recordedOutcome(record), nil
	}
	if record.Attempt == request.Attempt && record.Router == request.Router {
		// A request that was sent again: the router runs an attempt at most once.
		return api.ClaimReply{Result: api.ClaimResultGranted}, nil
	}
	if s.outcomeLost(now, record) {
		return api.ClaimReply{Result: api.ClaimResultOutcomeUnknown}, nil
	}
	return api.ClaimReply{Result: api.ClaimResultInProgress}, nil
}

func recordedOutcome(record *api.ClaimRecord) api.ClaimReply {
	if record.Outcome.Status == 0 {
		return api.ClaimReply{Result: api.ClaimResultOutcomeUnknown}
	}
	return api.ClaimReply{Result: api.ClaimResultDone, Outcome: record.Outcome}
}

// decideUpdate answers done when the update is recorded or no longer matters,
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
		// A release is kept so that a claim of the attempt that arrives later is
		// refused; an outcome, because its claim has passed the retention.
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
		// An outcome is kept even after a release, because the call was run.
		return done, change
	case update.State == api.ClaimStateReleased:
		// The claim of another attempt stays; a late one of this attempt must not
		// follow it.
		kept := *record
		kept.Released = appendReleased(record.Released, update.Attempt)
		return done, &kept
	default:
		return api.ClaimReply{Result: api.ClaimResultInProgress}, nil
	}
}

// maxReleased bounds the released attempts that a record names: those of a key
// that was asked for at many routers while its shard's owner was paused.
const maxReleased = 16

// isReleased reports whether the attempt is known to have been released.
func isReleased(record *api.ClaimRecord, attempt string) bool {
	if record == nil {
		return false
	}
	return record.State == api.ClaimStateReleased && record.Attempt == attempt || slices.Contains(record.Released, attempt)
}

// releasedBefore returns the attempts that the record's successor names as
// released.
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
