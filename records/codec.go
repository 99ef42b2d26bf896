package records

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

const (
	// MaxBatchBytes bounds an encoded batch to a third of
	// objectstore.MaxValueBytes, so that one write stays short.
	MaxBatchBytes = 256 << 10
	// batchOverheadBytes is an upper bound of the encoded size of a batch without its
	// records.
	batchOverheadBytes = 512
	// maxTextBytes bounds each text of a record, and maxNameBytes each name.
	maxTextBytes = 512
	maxNameBytes = 256
	// maxIDBytes is enough for a router name followed by two numbers.
	maxIDBytes = maxNameBytes + 64
	// maxReasons exceeds the number of reasons in schema/reason.json.
	maxReasons = 128
	// maxUnixMs is the end of the year 9999, the last year that times can have in JSON.
	maxUnixMs = 253_402_300_799_999
	// maxBatchRecords is about what fits into MaxBatchBytes at 60 bytes per record.
	maxBatchRecords = 4096
)

// ErrInvalidBatch means that a stored or received batch violates the format or its
// bounds.
var ErrInvalidBatch = errors.New("records: invalid batch")

var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxBatchRecords,
		MaxMapPairs:      maxReasons,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

var encoder = mustEncoder()

// mustEncoder returns a canonical encoder. Merge compares encoded records, so the
// encoding must not depend on map order.
func mustEncoder() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeBatch returns the CBOR encoding in which a batch is stored.
func EncodeBatch(batch api.RecordBatch) ([]byte, error) {
	data, err := encoder.Marshal(batch)
	if err != nil {
		return nil, fmt.Errorf("encoding records: %w", err)
	}
	return data, nil
}

// DecodeBatch decodes and checks a stored batch. Errors: ErrInvalidBatch.
func DecodeBatch(data []byte) (api.RecordBatch, error) {
	var batch api.RecordBatch
	if len(data) > MaxBatchBytes {
		return batch, fmt.Errorf("%w: %d bytes", ErrInvalidBatch, len(data))
	}
	if err := decoder.Unmarshal(data, &batch); err != nil {
		return api.RecordBatch{}, fmt.Errorf("%w: %w", ErrInvalidBatch, err)
	}
	if err := checkBatch(batch); err != nil {
		return api.RecordBatch{}, err
	}
	return batch, nil
}

// checkBatch checks the bounds of a batch. It also rejects records of another
// router than the batch's, so that the limit of copies per origin cannot be
// bypassed.
func checkBatch(batch api.RecordBatch) error {
	if batch.Router == "" || len(batch.Router) > maxNameBytes {
		return fmt.Errorf("%w: router name of %d bytes", ErrInvalidBatch, len(batch.Router))
	}
	if len(batch.Records) > maxBatchRecords {
		return fmt.Errorf("%w: %d records", ErrInvalidBatch, len(batch.Records))
	}
	for _, record := range batch.Records {
		if record.Router != batch.Router {
			return fmt.Errorf("%w: record of router %q in a batch of %q", ErrInvalidBatch, record.Router, batch.Router)
		}
		if err := checkRecord(record); err != nil {
			return err
		}
	}
	return nil
}

func checkRecord(r api.Record) error {
	switch {
	case r.ID == "" || len(r.ID) > maxIDBytes:
		return fmt.Errorf("%w: record id of %d bytes", ErrInvalidBatch, len(r.ID))
	case r.Kind == "" || len(r.Kind) > maxNameBytes:
		return fmt.Errorf("%w: record kind of %d bytes", ErrInvalidBatch, len(r.Kind))
	case len(r.Subject) > maxNameBytes || len(r.Zone) > maxNameBytes:
		return fmt.Errorf("%w: names of record %q are too long", ErrInvalidBatch, r.ID)
	case max(len(r.Text), len(r.Effect), len(r.Action), len(r.Remaining)) > maxTextBytes:
		return fmt.Errorf("%w: texts of record %q are too long", ErrInvalidBatch, r.ID)
	case r.SinceUnixMs < 0 || r.UntilUnixMs < 0 || r.LastUnixMs < 0 || r.Times < 0:
		return fmt.Errorf("%w: negative number in record %q", ErrInvalidBatch, r.ID)
	case max(r.SinceUnixMs, r.UntilUnixMs, r.LastUnixMs) > maxUnixMs:
		return fmt.Errorf("%w: time of record %q is out of range", ErrInvalidBatch, r.ID)
	case len(r.Counts) > maxReasons:
		return fmt.Errorf("%w: %d counts in record %q", ErrInvalidBatch, len(r.Counts), r.ID)
	}
	return nil
}

// encodedSize returns the encoded size of a record in bytes. A record that cannot
// be encoded counts as MaxBatchBytes, so that it does not fit into a stored batch.
func encodedSize(record api.Record) int {
	data, err := encoder.Marshal(record)
	if err != nil {
		return MaxBatchBytes
	}
	return len(data)
}
