package peer

import (
	"errors"
	"fmt"
)

var (
	// ErrUnreachable says that the message was provably not handed to the peer's
	// handler: no byte of it was sent, or the peer refused it unhandled.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrNoReply says that the message may have been delivered, but no reply
	// came before the deadline or before the connection ended.
	ErrNoReply = errors.New("peer: no reply")
	// ErrRemote says that the peer's handler gave no proper reply.
	ErrRemote = errors.New("peer: remote error")
	// ErrMessage says that the message has not exactly one body or exceeds
	// Options.MaxMessageBytes. It was not sent.
	ErrMessage = errors.New("peer: invalid message")
	// ErrQueueFull says that the peer takes messages more slowly than they are
	// sent. The message was not sent.
	ErrQueueFull = errors.New("peer: send queue full")
	// ErrAuthentication says that the other side does not hold the shared secret.
	ErrAuthentication = errors.New("peer: authentication failed")
	// ErrClosed says that the transport is closed.
	ErrClosed = errors.New("peer: transport closed")

	errIdle         = errors.New("connection idle")
	errPingTimeout  = errors.New("no answer to ping")
	errWriteTimeout = errors.New("write timed out")
	errBackoff      = errors.New("waiting before next connection attempt")
	errSelf         = errors.New("the address is this router's own")
)

// CallError is the error of Transport.Call. It matches one of the package's
// errors and the cause, both through errors.Is.
type CallError struct {
	Addr  string
	Kind  error // ErrUnreachable, ErrNoReply, ErrRemote or ErrMessage
	Cause error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("%v at %s: %v", e.Kind, e.Addr, e.Cause)
}

// Unwrap returns the kind and the cause.
func (e *CallError) Unwrap() []error {
	return []error{e.Kind, e.Cause}
}
