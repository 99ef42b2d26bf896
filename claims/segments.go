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

// seal writes the records of the head as a segment. The records of a head only
// grow until its next segment is referred to, so a segment with that number
// that another owner wrote holds a prefix of the same records.
func (s *Shard) seal() Action {
	value, err := encode(api.ClaimSegment{Records: s.head.Records})
	if err != nil {
		return Action{}
	}
	s.step = stepSeal
	s.sealNext = max(s.sealNext, s.head.NextSegment)
	return Action{Kind: ActionPut, Key: s.segmentKey(s.sealNext), Value: value}
}

func (s *Shard) dropSegments() {
	live := make(map[uint64]bool, len(s.head.Segments))
	for _, ref := range s.head.Segments {
		live[ref.Number] = true
	}
	dropped := false
	for number, version := range s.loaded {
		if live[number] {
			continue
		}
		s.garbage = append(s.garbage, segmentVersion{number, version})
		delete(s.loaded, number)
		dropped = true
	}
	if !dropped {
		return
	}
	for key, number := range s.sealed {
		if !live[number] {
			delete(s.sealed, key)
		}
	}
}

func (s *Shard) stepSegment(now time.Time, event Event, current step) {
	err := event.Err
	var segment api.ClaimSegment
	if err == nil {
		segment, err = DecodeSegment(event.Object.Value)
	}
	if err != nil {
		// The head may have dropped the segment since it was read.
		s.known = false
		s.fail(now)
		return
	}
	s.retryDelay = 0
	if current == stepLoad {
		s.indexSegment(s.segment, event.Object.Version, segment.Records)
		return
	}
	newest := make(map[string]*api.ClaimRecord, len(segment.Records))
	for i := range segment.Records {
		newest[segment.Records[i].Key] = &segment.Records[i]
	}
	for _, op := range s.queue {
		if number, ok := s.sealed[hashKey(op.key())]; ok && number == s.segment {
			s.lookups[op.key()] = newest[op.key()]
		}
	}
}

func (s *Shard) indexSegment(number, version uint64, records []api.ClaimRecord) {
	s.loaded[number] = version
	for i := range records {
		key := hashKey(records[i].Key)
		if newest, ok := s.sealed[key]; !ok || number > newest {
			s.sealed[key] = number
		}
	}
}

func (s *Shard) stepSeal(now time.Time, event Event) {
	switch {
	case event.Err == nil:
		s.sealCount = len(s.head.Records)
		s.sealNewest = newestTime(s.head.Records)
		s.sealVersion = event.Version
	case errors.Is(event.Err, objectstore.ErrUnavailable), errors.Is(event.Err, objectstore.ErrTooLarge):
		s.fail(now)
	default:
		s.verifySeal = true
	}
}

func (s *Shard) stepVerifySeal(now time.Time, event Event) {
	s.verifySeal = false
	if errors.Is(event.Err, objectstore.ErrNotFound) {
		return // the write had no effect yet and is repeated with the same value
	}
	if event.Err != nil {
		s.verifySeal = true
		s.fail(now)
		return
	}
	segment, err := DecodeSegment(event.Object.Value)
	count := len(segment.Records)
	if err != nil || count == 0 || count > len(s.head.Records) || !s.isPrefix(segment.Records) {
		// Another owner has sealed this number; the head is out of date, or the
		// object is damaged and its number is passed over.
		s.sealNext++
		s.known = false
		return
	}
	s.sealCount = count
	s.sealNewest = newestTime(segment.Records)
	s.sealVersion = event.Object.Version
}

func (s *Shard) isPrefix(records []api.ClaimRecord) bool {
	ours, err := encode(s.head.Records[:len(records)])
	if err != nil {
		return false
	}
	theirs, err := encode(records)
	return err == nil && bytes.Equal(ours, theirs)
}

func newestTime(records []api.ClaimRecord) int {
	newest := 0
	for i := range records {
		newest = max(newest, records[i].UnixMs)
	}
	return newest
}

func (s *Shard) stepDelete(now time.Time, event Event) {
	gone := event.Err == nil || errors.Is(event.Err, objectstore.ErrNotFound) || errors.Is(event.Err, objectstore.ErrConflict)
	if !gone {
		s.delay(now)
		return
	}
	s.retryDelay = 0
	s.garbage = s.garbage[1:]
}
