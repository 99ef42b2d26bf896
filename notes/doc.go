// Package notes accepts release notes and applies them at the routers. A release note
// describes one change of the fleet by an operator; each accepted note creates the next
// revision of the fleet state. An Acceptor commits a note with one conditional update
// of the head, the object that names the newest revision and lists the most recent
// notes. A Syncer in each router follows the head through the object API, and fetches
// missing notes from peers.
//
// The functions in plan.go and plan_sync.go decide what to write and what to
// apply; they do no I/O.
package notes
