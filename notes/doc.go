// Package notes accepts release notes and brings them into force. An Acceptor
// commits a note with one conditional update of the head object. A Syncer in
// each router follows the head through the object API and through peers.
//
// What to write and what to apply is decided by the functions in plan.go, which
// do no I/O.
package notes
