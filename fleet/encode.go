package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// maxDecodedElements bounds the length of arrays and maps in decoded objects, so that
// a malformed object cannot allocate without limit. It is far above the sizing
// target of 3,200 workspaces.
const maxDecodedElements = 1 << 16

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecoder() cbor.DecMode {
	options := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  16,
		MaxArrayElements: maxDecodedElements,
		MaxMapPairs:      maxDecodedElements,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes a value as deterministic CBOR (RFC 8949, section 4.2.1).
func Marshal(value any) ([]byte, error) {
	data, err := encoder.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("fleet: encoding CBOR: %w", err)
	}
	return data, nil
}

// Unmarshal decodes CBOR of bounded depth and length into value.
func Unmarshal(data []byte, value any) error {
	if err := decoder.Unmarshal(data, value); err != nil {
		return fmt.Errorf("fleet: decoding CBOR: %w", err)
	}
	return nil
}

// Digest returns the hex SHA-256 of the state's canonical encoding. Equal states have
// the same digest at every router.
func Digest(s State) (string, error) {
	_, digest, err := Encode(s)
	return digest, err
}

// Encode returns the canonical encoding of a state and its digest.
func Encode(s State) ([]byte, string, error) {
	data, err := Marshal(s)
	if err != nil {
		return nil, "", err
	}
	sum := sha256.Sum256(data)
	return data, hex.EncodeToString(sum[:]), nil
}

// noteIDBytes is the length of the digest prefix that identifies a note. 128
// bits make an accidental collision among accepted notes negligible.
const noteIDBytes = 16

// NoteID derives the id of a note from its content, so that a second acceptance of
// the same file is recognised. The id is in hex.
func NoteID(note api.Note) (string, error) {
	data, err := Marshal(note)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:noteIDBytes]), nil
}
