package notes

import (
	"fmt"
	"slices"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
)

// advance applies the notes that are newer than the state one by one and checks the
// digest after each. It returns the resulting state and the applied notes. If a note
// fails, it returns the state before that note, and the notes applied until then.
func advance(state fleet.State, notes []api.AcceptedNote) (fleet.State, []api.AcceptedNote, error) {
	notes = notesAfter(notes, state.Revision)
	for i := range notes {
		next, err := applyNote(state, notes[i])
		if err != nil {
			return state, notes[:i], err
		}
		state = next
	}
	return state, notes, nil
}

// DecodeReply decodes a peer's reply from CBOR with bounds on depth and length.
func DecodeReply(data []byte) (api.NotesReply, error) {
	var reply api.NotesReply
	if err := fleet.Unmarshal(data, &reply); err != nil {
		return api.NotesReply{}, fmt.Errorf("notes: decoding a peer's reply: %w", err)
	}
	return reply, nil
}

// verifyState returns the whole state in a peer's reply after checking its revision,
// note id and digest against the newest note in the reply.
func verifyState(reply api.NotesReply) (fleet.State, error) {
	if reply.State == nil || len(reply.Recent) == 0 {
		return fleet.State{}, errGap
	}
	newest := reply.Recent[len(reply.Recent)-1]
	if newest.Revision != reply.State.Revision || newest.ID != reply.State.NoteID {
		return fleet.State{}, errGap
	}
	digest, err := fleet.Digest(*reply.State)
	if err != nil {
		return fleet.State{}, err
	}
	if digest != newest.Digest {
		return fleet.State{}, errDigest
	}
	return *reply.State, nil
}

// planReply returns the reply to a router that has applied the revision after. The reply
// holds the notes since that revision if recent lists all of them untrimmed, otherwise
// the whole state. Revision 0 requests the whole state in any case.
func planReply(state fleet.State, recent []api.AcceptedNote, after uint64) api.NotesReply {
	reply := api.NotesReply{Notes: []api.AcceptedNote{}}
	if after >= state.Revision {
		return reply
	}
	notes := notesAfter(recent, after)
	if after > 0 && len(notes) > 0 && notes[0].Revision == after+1 && !slices.ContainsFunc(notes, isTrimmed) {
		reply.Notes = notes
		return reply
	}
	reply.State = &state
	reply.Recent = recent
	return reply
}

func isTrimmed(note api.AcceptedNote) bool { return note.Trimmed }
