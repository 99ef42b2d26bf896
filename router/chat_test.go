package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/engine"
)

// Guards against these faults: an endpoint becomes suspect because callers disconnect; a
// failure is not counted against the endpoint that caused it.
func TestIsEndpointFault(t *testing.T) {
	live := context.Background()
	gone, cancel := context.WithCancel(live)
	cancel()
	incomplete := &engine.Error{Kind: engine.ErrIncomplete, Sent: true}
	tests := []struct {
		name string
		ctx  context.Context
		err  error
		want bool
	}{
		{"no failure", live, nil, false},
		{"stream cut", live, incomplete, true},
		{"connection refused", live, &engine.Error{Kind: engine.ErrNotStarted}, true},
		{"server error", live, &engine.Error{Kind: engine.ErrStatus, Status: http.StatusInternalServerError}, true},
		{"bad request", live, &engine.Error{Kind: engine.ErrStatus, Status: http.StatusBadRequest}, false},
		{"part of a bad request", live, &engine.Error{Kind: engine.ErrStatus, Status: http.StatusBadRequest, Cause: io.ErrUnexpectedEOF}, true},
		{"caller gone", live, fmt.Errorf("%w: broken pipe", errCallerGone), false},
		{"request cancelled", gone, incomplete, false},
		{"drained", live, errDrained, false},
		{"permit expired", live, errPermitExpired, false},
	}
	for _, test := range tests {
		assert.Equal(t, isEndpointFault(test.ctx, test.err), test.want, test.name)
	}
}
