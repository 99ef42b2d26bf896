package claims

import (
	"bytes"
	"errors"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

func (s *Shard) deleteGarbage(now time.Time) Action {
	if len(s.garbage) == 0 {
		return Action{}
	}
	if now.Before(s.retryAt) {
		return Action{Wake: s.retryAt}
	}
	s.step = stepDelete
	oldest := s.garbage[0]
	return Action{Kind: ActionDelete, Key: s.segmentKey(oldest.number), IfVersion: oldest.version}
}

// seal starts the write of the head's records as the head's next segment. Until the head
// refers to that segment, records are only appended to the head. So if another owner has
// written the segment already, the segment holds a prefix of the same records.
func (s *Shard) seal() Action {
	value, err := encode(api.ClaimSegment{Records: s.head.Records})
	if err != nil {
		return Action{}
	}
	s.step = stepSeal
	s.sealNext = max(s.sealNext, s.head.NextSegment)
	return Action{Kind: ActionPut, Key: s.segmentKey(s.sealNext), Value: value}
}

func (s *Shard) forgetDroppedSegments() {
	live := make(map[uint64]bool, len(s.head.Segments))
	for _, ref := range s.head.Segments {
		live[ref.Number] = true
	}
	dropped := false
	for number, version := range s.segmentVersions {
		if live[number] {
			continue
		}
		s.garbage = append(s.garbage, segmentVersion{number, version})
		delete(s.segmentVersions, number)
		dropped = true
	}
	if !dropped {
		return
	}
	for key, number := range s.segmentOfKey {
		if !live[number] {
			delete(s.segmentOfKey, key)
		}
	}
}

func (s *Shard) handleSegment(now time.Time, result ActionResult, current step) {
	err := result.Err
	var segment api.ClaimSegment
	if err == nil {
		segment, err = DecodeSegment(result.Object.Value)
	}
	if err != nil {
		// The newest head may no longer refer to the segment.
		s.headValid = false
		s.refuseAll(now)
		return
	}
	s.retryDelay = 0
	if current == stepLoad {
		s.indexSegment(s.segment, result.Object.Version, segment.Records)
		return
	}
	newest := make(map[string]*api.ClaimRecord, len(segment.Records))
	for i := range segment.Records {
		newest[segment.Records[i].Key] = &segment.Records[i]
	}
	for _, op := range s.queue {
		if number, ok := s.segmentOfKey[hashKey(op.key())]; ok && number == s.segment {
			s.lookups[op.key()] = newest[op.key()]
		}
	}
}

func (s *Shard) indexSegment(number, version uint64, records []api.ClaimRecord) {
	s.segmentVersions[number] = version
	for i := range records {
		key := hashKey(records[i].Key)
		if newest, ok := s.segmentOfKey[key]; !ok || number > newest {
			s.segmentOfKey[key] = number
		}
	}
}

func (s *Shard) handleSeal(now time.Time, result ActionResult) {
	switch {
	case result.Err == nil:
		s.sealCount = len(s.head.Records)
		s.sealNewestUnixMs = newestUnixMs(s.head.Records)
		s.sealVersion = result.Version
	case errors.Is(result.Err, objectstore.ErrUnavailable), errors.Is(result.Err, objectstore.ErrTooLarge):
		s.refuseAll(now)
	default:
		s.verifySeal = true
	}
}

func (s *Shard) handleVerifySeal(now time.Time, result ActionResult) {
	s.verifySeal = false
	if errors.Is(result.Err, objectstore.ErrNotFound) {
		return // the write has not taken effect; it is repeated with the same value
	}
	if result.Err != nil {
		s.verifySeal = true
		s.refuseAll(now)
		return
	}
	segment, err := DecodeSegment(result.Object.Value)
	count := len(segment.Records)
	if err != nil || count == 0 || count > len(s.head.Records) || !s.isPrefix(segment.Records) {
		// Either another owner has sealed a segment with this number and the cached
		// head is stale, or the object is corrupt and its number is skipped.
		s.sealNext++
		s.headValid = false
		return
	}
	s.sealCount = count
	s.sealNewestUnixMs = newestUnixMs(segment.Records)
	s.sealVersion = result.Object.Version
}

func (s *Shard) isPrefix(records []api.ClaimRecord) bool {
	ours, err := encode(s.head.Records[:len(records)])
	if err != nil {
		return false
	}
	theirs, err := encode(records)
	return err == nil && bytes.Equal(ours, theirs)
}

func newestUnixMs(records []api.ClaimRecord) int {
	newest := 0
	for i := range records {
		newest = max(newest, records[i].UnixMs)
	}
	return newest
}

func (s *Shard) handleDelete(now time.Time, result ActionResult) {
	gone := result.Err == nil || errors.Is(result.Err, objectstore.ErrNotFound) || errors.Is(result.Err, objectstore.ErrConflict)
	if !gone {
		s.backOff(now)
		return
	}
	s.retryDelay = 0
	s.garbage = s.garbage[1:]
}
