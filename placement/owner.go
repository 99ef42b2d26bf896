// Package placement orders the endpoints of a pool for a chat, and names the
// router that owns an endpoint or a claim shard. All of it is a pure function of
// the names; whether an endpoint may take the work is decided by its admission
// owner.
package placement

import "github.com/cespare/xxhash/v2"

// Owner returns the member that owns name by rendezvous hashing, or "" if there
// are no members. The result does not depend on the order of members. Equal
// scores go to the smaller id. Owner does not allocate.
func Owner(name string, members []string) string {
	nameHash := xxhash.Sum64String(name)
	owner := ""
	var best uint64
	for _, member := range members {
		score := mix(nameHash ^ mix(xxhash.Sum64String(member)))
		if owner == "" || score > best || (score == best && member < owner) {
			owner, best = member, score
		}
	}
	return owner
}

// Rank returns the number of members that come before member in the order whose
// first is Owner. It is 0 if there are no others. Rank does not allocate.
func Rank(name, member string, members []string) int {
	nameHash := xxhash.Sum64String(name)
	own := mix(nameHash ^ mix(xxhash.Sum64String(member)))
	rank := 0
	for _, other := range members {
		score := mix(nameHash ^ mix(xxhash.Sum64String(other)))
		if score > own || score == own && other < member {
			rank++
		}
	}
	return rank
}

// mix is the finalizer of SplitMix64. Without it, the exclusive or of two hashes
// would order the members of all names by the same high bits.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
