package exchange

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/hornbeamproxy/hornbeamproxy/mirror"
)

// A batch that does not fit into one datagram is compressed and sent in fragments. A router
// that does not receive all of them reads the changes from the store, as after a lost batch.

const (
	// fragmentBytes is the size of the content of a fragment. The rest of a datagram is for
	// the other fields.
	fragmentBytes = maxDatagram - 256
	// maxFragments bounds the fragments of a batch. A larger batch is sent without its
	// objects.
	maxFragments = 12
	// maxBatchBytes bounds a decompressed batch.
	maxBatchBytes = 4 << 20
)

// fragment is a part of a compressed batch.
type fragment struct {
	Kind  string `cbor:"1,keyasint"`
	To    uint64 `cbor:"2,keyasint"` // of the batch
	Index int    `cbor:"3,keyasint"`
	Count int    `cbor:"4,keyasint"`
	Data  []byte `cbor:"5,keyasint"`
}

// assembly holds the fragments of the newest batch of a kind that a peer sends in fragments.
type assembly struct {
	to      uint64
	parts   [][]byte
	missing int
}

// fragments returns the messages that carry the batch in fragments, or nil if it is too
// large.
func (e *Exchange) fragments(batch *mirror.Batch) ([]*message, error) {
	encoded, err := cbor.Marshal(batch)
	if err != nil {
		return nil, fmt.Errorf("encoding a batch: %w", err)
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compressing a batch: %w", err)
	}
	if _, err := writer.Write(encoded); err != nil {
		return nil, fmt.Errorf("compressing a batch: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compressing a batch: %w", err)
	}
	count := (compressed.Len() + fragmentBytes - 1) / fragmentBytes
	if count > maxFragments || len(encoded) > maxBatchBytes {
		return nil, nil
	}
	messages := make([]*message, count)
	for i := range messages {
		data := compressed.Next(fragmentBytes)
		messages[i] = &message{Router: e.config.Router, Fragment: &fragment{Kind: batch.Kind, To: batch.To, Index: i, Count: count, Data: data}}
	}
	return messages, nil
}

// addFragment adds a fragment to those of its batch, and returns the compressed batch when none
// is missing. The fragments of an older batch of the kind are dropped. Callers hold e.mu.
func (p *peer) addFragment(f *fragment) ([]byte, error) {
	if f.Count < 1 || f.Count > maxFragments || f.Index < 0 || f.Index >= f.Count || len(f.Data) > fragmentBytes {
		return nil, fmt.Errorf("exchange: fragment %d of %d with %d bytes", f.Index, f.Count, len(f.Data))
	}
	a := p.assemblies[f.Kind]
	if a == nil || f.To > a.to || f.To == a.to && len(a.parts) != f.Count {
		if len(p.assemblies) >= maxAssemblies {
			clear(p.assemblies)
		}
		a = &assembly{to: f.To, parts: make([][]byte, f.Count), missing: f.Count}
		p.assemblies[f.Kind] = a
	}
	if f.To < a.to || a.parts[f.Index] != nil {
		return nil, nil
	}
	a.parts[f.Index] = f.Data
	if a.missing--; a.missing > 0 {
		return nil, nil
	}
	compressed := bytes.Join(a.parts, nil)
	for i := range a.parts {
		a.parts[i] = []byte{} // received; the bytes are no longer needed
	}
	return compressed, nil
}

func decompressBatch(compressed []byte) (*mirror.Batch, error) {
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxBatchBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompressing a batch: %w", err)
	}
	if len(encoded) > maxBatchBytes {
		return nil, fmt.Errorf("exchange: batch larger than %d bytes", maxBatchBytes)
	}
	var batch mirror.Batch
	if err := cbor.Unmarshal(encoded, &batch); err != nil {
		return nil, fmt.Errorf("decoding a batch: %w", err)
	}
	return &batch, nil
}
