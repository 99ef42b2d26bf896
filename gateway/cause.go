package gateway

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/upstream"
)

// cause is why an attempt ended without a whole response. docs/design.md, section 6.1, has the table of
// causes with their effects.
type cause int

const (
	causeNone        cause = iota // the endpoint has served the request
	causeCallerGone               // the caller disconnected
	causeShutdown                 // this router stops
	causeOwnLimit                 // this router has no descriptor, port or buffer left
	causeDeadline                 // the request's time was over before the endpoint had time to answer
	causeSlowReader               // the endpoint cut a response that the caller did not read
	causeClosedHere               // this router closed the connection, because another one to the zone failed
	causeErrorStatus              // the endpoint answered with a 5xx status
	causeNoAnswer                 // the endpoint had the goal's time and did not answer
	causeCut                      // the endpoint cut the response, or sent bytes that are none
	causeNotReached               // the endpoint refused or reset the connection before it took the request
	causeSilent                   // the endpoint's host did not acknowledge anything
)

// effect is what a cause means for the endpoint.
type effect int

const (
	effectNothing     effect = iota // neither a success nor a failure
	effectSuccess                   // ends the run of failures
	effectRate                      // raises the failure rate, which may make the endpoint grey
	effectEject                     // keeps requests away for a while
	effectUnreachable               // as effectEject, until a new connection has been opened
	effectSilence                   // as effectUnreachable, and the zone may be doubted
)

// effects has the causes that are not effectNothing.
var effects = map[cause]effect{
	causeNone:        effectSuccess,
	causeErrorStatus: effectRate,
	causeNoAnswer:    effectRate,
	causeCut:         effectEject,
	causeNotReached:  effectUnreachable,
	causeSilent:      effectSilence,
}

// counts reports whether the cause counts against the endpoint.
func (c cause) counts() bool { return effects[c] > effectSuccess }

// circumstances are what the router knows of an attempt when it ends.
type circumstances struct {
	callerGone     bool
	ending         bool // the router ends its requests, as it stops
	deadlinePassed bool
	answered       bool // the head of the response has arrived
	hadGoal        bool // the endpoint had at least the goal's time to answer
	slowReader     bool // writes to the caller were blocked for most of the time before
}

// ownLimits are the errors of system calls that fail because this router's host or process is short of
// something.
var ownLimits = []error{upstream.ErrNoSlot, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// classify returns the cause of an error of an attempt. What the caller or this router has caused takes
// precedence, since the endpoint may have failed because of it.
func classify(err error, c circumstances) cause {
	switch {
	case err == nil:
		return causeNone
	case errors.Is(err, errEndpointFailed):
		return causeErrorStatus
	case c.callerGone || errors.Is(err, errCallerGone):
		return causeCallerGone
	case c.ending || errors.Is(err, context.Canceled):
		return causeShutdown
	case isOwnLimit(err):
		return causeOwnLimit
	case errors.Is(err, net.ErrClosed):
		return causeClosedHere
	case c.deadlinePassed && isTimeout(err):
		if c.hadGoal && !c.answered && !errors.Is(err, upstream.ErrNotSent) {
			return causeNoAnswer
		}
		return causeDeadline
	case upstream.IsNetworkTimeout(err):
		return causeSilent
	case errors.Is(err, upstream.ErrNotSent):
		return causeNotReached
	case c.slowReader:
		return causeSlowReader
	}
	return causeCut
}

func isOwnLimit(err error) bool {
	for _, limit := range ownLimits {
		if errors.Is(err, limit) {
			return true
		}
	}
	return false
}

// isTimeout reports whether a deadline that this router has set ended a call. ETIMEDOUT comes from the
// network instead.
func isTimeout(err error) bool {
	if errors.Is(err, syscall.ETIMEDOUT) {
		return false
	}
	var netErr net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
}

// cause returns the cause of an error of the current attempt.
func (x *exchange) cause(err error) cause {
	now := time.Now()
	return classify(err, circumstances{
		callerGone:     x.r.Context().Err() != nil,
		ending:         x.g.ended(),
		deadlinePassed: !now.Before(x.deadline),
		answered:       x.answered,
		hadGoal:        x.deadline.Sub(x.sentAt) >= x.goal(),
		slowReader:     x.reader.slow(now),
	})
}

// goal returns the time within which an endpoint should answer: the route's goal, or half of its
// time-out if it has none.
func (x *exchange) goal() time.Duration {
	if x.route.LatencyGoal > 0 {
		return x.route.LatencyGoal
	}
	if x.route.Timeout > 0 {
		return x.route.Timeout / 2
	}
	return defaultTimeout / 2
}
