// Package fleet holds the desired state of the fleet and derives from it what
// the request path looks up. It does no I/O and reads no clock, so that every
// router computes the same state from the same release notes.
package fleet
