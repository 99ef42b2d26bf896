package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/upstream"
)

// Guards against errors that the caller or this router has caused and that count against an endpoint or
// its zone, and against errors of an endpoint that do not count.
func TestClassify(t *testing.T) {
	unsent := func(err error) error {
		return fmt.Errorf("%w: %w", upstream.ErrNotSent, &net.OpError{Op: "dial", Err: err})
	}
	broken := func(err error) error {
		return fmt.Errorf("%w: %w", upstream.ErrBroken, &net.OpError{Op: "read", Err: err})
	}
	system := func(errno syscall.Errno) error { return os.NewSyscallError("socket", errno) }
	over := circumstances{deadlinePassed: true}
	hadGoal := circumstances{deadlinePassed: true, hadGoal: true}
	slow := circumstances{slowReader: true}
	for name, c := range map[string]struct {
		err    error
		with   circumstances
		want   cause
		effect effect
	}{
		"no error":                         {nil, circumstances{callerGone: true}, causeNone, effectSuccess},
		"5xx":                              {errEndpointFailed, circumstances{callerGone: true}, causeErrorStatus, effectRate},
		"caller gone":                      {broken(net.ErrClosed), circumstances{callerGone: true}, causeCallerGone, effectNothing},
		"caller gone, write":               {errCallerGone, circumstances{}, causeCallerGone, effectNothing},
		"caller gone, dial":                {unsent(context.Canceled), circumstances{callerGone: true}, causeCallerGone, effectNothing},
		"stop, receive":                    {broken(os.ErrDeadlineExceeded), circumstances{ending: true}, causeShutdown, effectNothing},
		"stop, send":                       {unsent(os.ErrDeadlineExceeded), circumstances{ending: true}, causeShutdown, effectNothing},
		"stop, probe":                      {unsent(context.Canceled), circumstances{}, causeShutdown, effectNothing},
		"no descriptor in process":         {unsent(system(syscall.EMFILE)), circumstances{}, causeOwnLimit, effectNothing},
		"no descriptor on host":            {unsent(system(syscall.ENFILE)), circumstances{}, causeOwnLimit, effectNothing},
		"no buffer":                        {unsent(system(syscall.ENOBUFS)), circumstances{}, causeOwnLimit, effectNothing},
		"no memory":                        {broken(system(syscall.ENOMEM)), circumstances{}, causeOwnLimit, effectNothing},
		"no port":                          {unsent(system(syscall.EADDRNOTAVAIL)), circumstances{}, causeOwnLimit, effectNothing},
		"closed by this router":            {broken(net.ErrClosed), circumstances{}, causeClosedHere, effectNothing},
		"deadline, dial":                   {unsent(os.ErrDeadlineExceeded), hadGoal, causeDeadline, effectNothing},
		"deadline, dial by context":        {unsent(context.DeadlineExceeded), over, causeDeadline, effectNothing},
		"deadline, send":                   {unsent(os.ErrDeadlineExceeded), over, causeDeadline, effectNothing},
		"deadline before the goal":         {broken(os.ErrDeadlineExceeded), over, causeDeadline, effectNothing},
		"deadline within the response":     {broken(os.ErrDeadlineExceeded), circumstances{deadlinePassed: true, hadGoal: true, answered: true}, causeDeadline, effectNothing},
		"no answer within the goal":        {broken(os.ErrDeadlineExceeded), hadGoal, causeNoAnswer, effectRate},
		"cut, unread":                      {io.ErrUnexpectedEOF, slow, causeSlowReader, effectNothing},
		"reset, unread":                    {broken(system(syscall.ECONNRESET)), slow, causeSlowReader, effectNothing},
		"cut":                              {io.ErrUnexpectedEOF, over, causeCut, effectEject},
		"reset":                            {broken(system(syscall.ECONNRESET)), circumstances{}, causeCut, effectEject},
		"no response":                      {fmt.Errorf("%w: %w", upstream.ErrBroken, upstream.ErrNoResponse), circumstances{}, causeCut, effectEject},
		"event too large":                  {errEventTooLarge, circumstances{}, causeCut, effectEject},
		"refused":                          {unsent(system(syscall.ECONNREFUSED)), over, causeNotReached, effectUnreachable},
		"no route":                         {unsent(system(syscall.EHOSTUNREACH)), circumstances{}, causeNotReached, effectUnreachable},
		"dial timed out":                   {unsent(os.ErrDeadlineExceeded), circumstances{}, causeSilent, effectSilence},
		"not acknowledged":                 {broken(system(syscall.ETIMEDOUT)), circumstances{}, causeSilent, effectSilence},
		"not acknowledged at the deadline": {broken(system(syscall.ETIMEDOUT)), hadGoal, causeSilent, effectSilence},
	} {
		got := classify(c.err, c.with)
		assert.Equal(t, got, c.want, name)
		assert.Equal(t, effects[got], c.effect, name)
		assert.Equal(t, got.counts(), c.effect > effectSuccess, name)
	}
	assert.Assert(t, !errors.Is(errCallerGone, errEndpointFailed))
}

// Guards against a reader that counts as slow because of writes long ago or short ones, and against a
// slow one that is not noticed because it read a little in between.
func TestReaderPace(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var p readerPace
	assert.Assert(t, !p.slow(start))
	for ms := 0; ms < 5000; ms += 50 {
		p.record(at(ms), at(ms+1))
	}
	assert.Assert(t, !p.slow(at(5000)))
	p.record(at(5000), at(5900))
	p.record(at(5910), at(7000))
	p.record(at(7001), at(7002))
	assert.Assert(t, p.slow(at(7010)))
	assert.Assert(t, !p.slow(at(12_000)), "the endpoint had 5 s since then")
	p.record(at(12_000), at(12_001))
	assert.Assert(t, !p.slow(at(12_002)))
}

// Guards against status 408, which says that no endpoint has a byte of the request, after a send that did
// not run or reached another endpoint.
func TestNotRunStatus(t *testing.T) {
	assert.Equal(t, (&exchange{}).notRunStatus(true), http.StatusRequestTimeout)
	assert.Equal(t, (&exchange{}).notRunStatus(false), http.StatusServiceUnavailable)
	assert.Equal(t, (&exchange{sends: 1}).notRunStatus(true), http.StatusServiceUnavailable)
	assert.Equal(t, (&exchange{misdirected: 1}).notRunStatus(true), http.StatusServiceUnavailable)
}
