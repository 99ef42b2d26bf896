// Package claims records which calls have been started, so that a call that
// must not be repeated runs at most once. A call is identified by a key, and keys
// are split into shards. Each shard has one journal in the object API: a head
// object with the newest records, and sealed segments with the older ones. Shard
// is a state machine that decides what to read and write; Owner makes the calls
// to the object API. Attempts tracks the attempts of the router that runs the
// calls and reports their outcomes to the owner of the shard.
package claims
