package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is a candidate for placement. Create it with NewEndpoint, which sets the
// hash.
type Endpoint struct {
	ID     string
	Zone   string
	Weight float64 // relative capacity, above 0
	hash   uint64
}

// NewEndpoint returns a candidate with its hash. A weight of 0 or less counts
// as 1.
func NewEndpoint(id, zone string, weight float64) Endpoint {
	if weight <= 0 {
		weight = 1
	}
	return Endpoint{ID: id, Zone: zone, Weight: weight, hash: xxhash.Sum64String(id)}
}

// Policy orders endpoints for a key.
type Policy interface {
	// Rank appends to dst up to limit indexes of endpoints, in the order in
	// which they should be tried for the key. It is safe for concurrent use.
	Rank(dst []int, key uint64, endpoints []Endpoint, limit int) []int
}

// ChatKey returns the placement key of a chat of a workspace.
func ChatKey(workspace, chat string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Digest.WriteString never fails.
	_, _ = digest.WriteString(workspace)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(chat)
	return digest.Sum64()
}

// scorer computes the rendezvous scores of endpoints for a key. The endpoint with the
// highest score wins the key. Over all keys, each endpoint wins a share proportional to
// its weight.
type scorer struct {
	key uint64
	// uniform is set when all weights are equal. The score is then the hash alone: the
	// order is the same, without the logarithm that takes most of the time.
	uniform bool
}

// newScorer returns a scorer for the key. It is uniform if the endpoints have equal
// weights.
func newScorer(key uint64, endpoints []Endpoint) scorer {
	for i := range endpoints {
		if endpoints[i].Weight != endpoints[0].Weight {
			return scorer{key: key}
		}
	}
	return scorer{key: key, uniform: true}
}

func (s scorer) score(e *Endpoint) float64 {
	// 53 random bits, shifted by one half so that the logarithm is finite.
	unit := (float64(mix(s.key^e.hash)>>11) + 0.5) / (1 << 53)
	if s.uniform {
		return unit
	}
	return -e.Weight / math.Log(unit)
}
