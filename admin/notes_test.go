package admin

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
	"github.com/hornbeamproxy/hornbeamproxy/notes"
)

// Guards against these faults: an error of the notes package gets the wrong status or
// reason, so that the command line tool exits with the wrong code; the problem body of
// a lost race does not name the winning note.
func TestProblemFromError(t *testing.T) {
	winner := api.AcceptedNote{Revision: 7, ID: "abc", Note: api.Note{
		Title: "Withdraw medeu", Author: "aida", Withdrawn: &api.NoteWithdrawals{Zones: []string{"medeu"}},
	}}
	cases := []struct {
		err    error
		status int
		reason string
	}{
		{fleet.Problems{{Text: "x"}}, http.StatusUnprocessableEntity, ReasonNoteInvalid},
		{&notes.LostRaceError{Winners: []api.AcceptedNote{winner}}, http.StatusConflict, ReasonLostRace},
		{&notes.SupersededError{Accepted: winner}, http.StatusConflict, ReasonSuperseded},
		{fmt.Errorf("%w: x", notes.ErrOutcomeUnknown), http.StatusGatewayTimeout, ReasonOutcomeUnknown},
		{fmt.Errorf("%w: x", notes.ErrUnavailable), http.StatusServiceUnavailable, ReasonUnavailable},
		{errors.New("x"), http.StatusInternalServerError, ReasonInternal},
	}
	for _, c := range cases {
		p := problemFromError(c.err)
		assert.Equal(t, p.Status, c.status)
		assert.Equal(t, p.Reason, c.reason)
	}
	lost := problemFromError(cases[1].err)
	assert.Equal(t, lost.Winners[0].Changes, "withdraws zones medeu")
	assert.Assert(t, lost.Detail != "")
}
