package router

import (
	"errors"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

// Guards against a recorded outcome whose status can't be sent, which would end the caller's
// connection without an answer each time the call is repeated.
func TestReplayOfInvalidStatus(t *testing.T) {
	for _, status := range []int{0, 20, 99, 101} {
		writer := httptest.NewRecorder()
		_, err := replayOutcome(writer, &api.ClaimOutcome{Status: status, Body: []byte("hello")})
		var refused *refusal
		assert.Assert(t, errors.As(err, &refused), "status %d", status)
		assert.Equal(t, refused.reason, api.RefusalClaimOutcomeUnknown)
		assert.Equal(t, writer.Header().Get(headerReplayed), "")
	}
	response, err := replayOutcome(httptest.NewRecorder(), &api.ClaimOutcome{Status: 201, Body: []byte("hello")})
	assert.NilError(t, err)
	assert.Equal(t, response.Status, 201)
}
