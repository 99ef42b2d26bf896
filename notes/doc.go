// Package notes accepts release notes and applies them at the routers. An Acceptor
// commits a note with one conditional update of the head object. A Syncer in
// each router follows the head through the object API and through peers.
//
// The functions in plan.go and plan_sync.go decide what to write and what to
// apply; they do no I/O.
package notes
