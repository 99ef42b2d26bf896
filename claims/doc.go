// Package claims records which calls have been started, so that a call that
// must not be repeated runs at most once. Each shard of keys has one journal in
// the object API. Shard decides what to read and write; Owner carries it out.
// Attempts is the part of the router that runs the calls.
package claims
