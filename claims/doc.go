// Package claims records which calls have been started, so that a call that
// must not be repeated runs at most once. A call is identified by a key, and keys
// are split into shards. A router that has to run a call makes an attempt: it claims
// the call's key at the owner of the key's shard, and runs the call only if the claim
// is granted. Each shard has one journal in the object API: a head object with the
// newest records, and sealed segments with the older ones.
//
// Shard is a state machine that decides what to read and write in the object API, and
// Owner makes these reads and writes. Attempts is the table of one router's attempts;
// ReportOutcomes sends their outcomes to the owners of the shards.
package claims
