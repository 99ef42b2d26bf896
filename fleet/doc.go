// Package fleet applies release notes, in which operators describe changes of the
// fleet, to the desired state of the fleet, and indexes that state for the request
// path. It does no I/O and reads no clock, so that every router computes the same state
// from the same release notes.
package fleet
