// Package soak runs routers of the built binary as processes against stand-ins,
// with faults from outside, and checks what callers and endpoints see. Its code is
// in test files.
package soak
