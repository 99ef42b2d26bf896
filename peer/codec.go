package peer

import (
	"bytes"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// Limits of one decoded message: its nesting depth, and the elements of one array or the
// pairs of one map. A fleet state with 3,200 workspaces needs arrays of several thousand
// elements.
const (
	maxNesting  = 24
	maxElements = 1 << 17
)

var (
	encoder = newEncoder()
	decoder = newDecoder()
	buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

func newEncoder() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodedSize returns the encoded size of a message in bytes.
func EncodedSize(msg *api.PeerMessage) (int, error) {
	buf := encode(msg)
	defer releaseBuffer(buf)
	if buf.Len() == 0 {
		return 0, ErrInvalidMessage
	}
	return buf.Len(), nil
}

// encode returns the encoded message, or an empty buffer if the message cannot be encoded.
// The caller passes the buffer to releaseBuffer when it is done with it.
func encode(msg *api.PeerMessage) *bytes.Buffer {
	buf := buffers.Get().(*bytes.Buffer)
	buf.Reset()
	if err := encoder.MarshalToBuffer(msg, buf); err != nil {
		buf.Reset()
	}
	return buf
}

// releaseBuffer makes a buffer available to later calls of encode, unless it is larger
// than chunkBytes.
func releaseBuffer(buf *bytes.Buffer) {
	if buf.Cap() <= chunkBytes {
		buffers.Put(buf)
	}
}

// decodeNext decodes the first message in data and returns the data after it.
func decodeNext(data []byte, msg *api.PeerMessage) ([]byte, error) {
	rest, err := decoder.UnmarshalFirst(data, msg)
	if err != nil {
		return nil, fmt.Errorf("decoding message: %w", err)
	}
	return rest, nil
}
