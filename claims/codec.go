package claims

import (
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// ErrCorrupt means that a stored object cannot be decoded or violates the
// journal's invariants.
var ErrCorrupt = errors.New("claims: corrupt journal object")

var decMode = mustDecMode()

// mustDecMode returns a decoding mode that rejects repeated map keys. Otherwise a
// decoder that keeps the first value of a key and one that keeps the last would read
// different records from the same bytes.
func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:   cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden,
		TagsMd:      cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func encode(value any) ([]byte, error) {
	data, err := cbor.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("claims: encoding journal object: %w", err)
	}
	return data, nil
}

// DecodeHead decodes and validates the value of a head object. Every error wraps
// ErrCorrupt.
func DecodeHead(data []byte) (api.ClaimHead, error) {
	var head api.ClaimHead
	if err := requireFields(data, "batches", "records", "segments", "next_segment"); err != nil {
		return api.ClaimHead{}, err
	}
	if err := decMode.Unmarshal(data, &head); err != nil {
		return api.ClaimHead{}, fmt.Errorf("%w: head: %w", ErrCorrupt, err)
	}
	for i, segment := range head.Segments {
		if segment.Number >= head.NextSegment || i > 0 && segment.Number <= head.Segments[i-1].Number {
			return api.ClaimHead{}, fmt.Errorf("%w: segment numbers out of order", ErrCorrupt)
		}
	}
	if err := checkRecords(head.Records); err != nil {
		return api.ClaimHead{}, err
	}
	return head, nil
}

// DecodeSegment decodes and validates the value of a segment object. Every error
// wraps ErrCorrupt.
func DecodeSegment(data []byte) (api.ClaimSegment, error) {
	var segment api.ClaimSegment
	if err := requireFields(data, "records"); err != nil {
		return api.ClaimSegment{}, err
	}
	if err := decMode.Unmarshal(data, &segment); err != nil {
		return api.ClaimSegment{}, fmt.Errorf("%w: segment: %w", ErrCorrupt, err)
	}
	if err := checkRecords(segment.Records); err != nil {
		return api.ClaimSegment{}, err
	}
	return segment, nil
}

// requireFields rejects an object that has other fields than names, lacks one of them,
// or has a null field. An object in which a list is missing would otherwise decode as
// an empty journal, which grants every claim.
func requireFields(data []byte, names ...string) error {
	var fields map[string]cbor.RawMessage
	if err := decMode.Unmarshal(data, &fields); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	for _, name := range names {
		const cborNull = 0xf6
		raw, ok := fields[name]
		if !ok || len(raw) == 0 || raw[0] == cborNull {
			return fmt.Errorf("%w: field %s is missing", ErrCorrupt, name)
		}
	}
	if len(fields) != len(names) {
		return fmt.Errorf("%w: unknown fields", ErrCorrupt)
	}
	return nil
}

var recordStates = []api.ClaimState{api.ClaimStateClaimed, api.ClaimStateDone, api.ClaimStateReleased}

func checkRecords(records []api.ClaimRecord) error {
	for _, record := range records {
		switch {
		case record.Key == "" || record.Attempt == "":
			return fmt.Errorf("%w: record without key or attempt", ErrCorrupt)
		case !slices.Contains(recordStates, record.State):
			return fmt.Errorf("%w: unknown record state %q", ErrCorrupt, record.State)
		case (record.State == api.ClaimStateDone) != (record.Outcome != nil):
			return fmt.Errorf("%w: outcome inconsistent with state %q", ErrCorrupt, record.State)
		}
	}
	return nil
}
