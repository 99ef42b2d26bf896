// Package soak runs router processes of the built binary against stand-ins, injects
// random faults and checks what callers and endpoints see. Its code is in test files.
package soak
