// Package placement ranks the endpoints of a pool for a chat, and determines the
// router that owns an endpoint or a shard of the claims, the records that let a call
// run at most once. Apart from the baseline policies, the results are pure functions of
// the names and weights. Whether an endpoint may take the work is decided by the router
// that owns its admission.
package placement

import "github.com/cespare/xxhash/v2"

// Owner returns the member that owns name by rendezvous hashing, or "" if there
// are no members. The result does not depend on the order of members. Of members
// with equal scores, the smaller id wins. Owner does not allocate.
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

// Rank returns the position of member in the rendezvous order of members for name,
// where Owner is at position 0. It is 0 if there are no other members. Rank does not
// allocate.
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

// mix is the finalizer of SplitMix64. Without it, the order of the members would
// depend on the high bits of their hashes in the same way for all names.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
