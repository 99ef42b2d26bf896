package peer

import (
	"errors"
	"fmt"
)

var (
	// ErrUnreachable is returned when the message was certainly not passed to the
	// peer's handler: no byte of it was sent, or the peer refused it without handling it.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrNoReply is returned when the message may have been delivered, but no reply
	// arrived before the deadline or before the connection was closed.
	ErrNoReply = errors.New("peer: no reply")
	// ErrRemote is returned when the peer's handler ran but gave an error or no valid
	// reply.
	ErrRemote = errors.New("peer: remote error")
	// ErrInvalidMessage is returned when the message does not have exactly one body,
	// cannot be encoded or exceeds Options.MaxMessageBytes. The message was not sent.
	ErrInvalidMessage = errors.New("peer: invalid message")
	// ErrQueueFull is returned when the queue of unsent messages is full, because the
	// peer reads more slowly than messages are sent. The message was not sent.
	ErrQueueFull = errors.New("peer: send queue full")
	// ErrAuthentication is returned when the other side does not prove that it holds
	// the shared secret.
	ErrAuthentication = errors.New("peer: authentication failed")
	// ErrClosed is the cause in a CallError if the transport has been closed.
	ErrClosed = errors.New("peer: transport closed")

	errIdle         = errors.New("connection idle")
	errPingTimeout  = errors.New("no reply to ping")
	errWriteTimeout = errors.New("write timed out")
	errBackoff      = errors.New("waiting before next connection attempt")
	errSelf         = errors.New("the address is this router's own")
)

// CallError is the error of Transport.Call. It matches one of the package's
// errors and the cause, both through errors.Is.
type CallError struct {
	Addr  string
	Kind  error // ErrUnreachable, ErrNoReply, ErrRemote or ErrInvalidMessage
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
