package notes

import (
	"fmt"
	"slices"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
)

// advance applies the notes that are newer than the state, one by one, and
// checks the digest after each. When it fails, it returns the state and the
// notes up to the last one that led to its digest, and why it stopped.
func advance(state fleet.State, notes []api.AcceptedNote) (fleet.State, []api.AcceptedNote, error) {
	notes = since(notes, state.Revision)
	for i := range notes {
		next, err := step(state, notes[i])
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
		return api.NotesReply{}, fmt.Errorf("notes: peer reply: %w", err)
	}
	return reply, nil
}

// wholeState checks a state that a peer sent against the newest of the notes
// that came with it.
func wholeState(reply api.NotesReply) (fleet.State, error) {
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

// planReply answers a router that has applied the revision after. Revision 0
// asks for the whole state, also when all notes since then are at hand.
func planReply(state fleet.State, recent []api.AcceptedNote, after uint64) api.NotesReply {
	reply := api.NotesReply{Notes: []api.AcceptedNote{}}
	if after >= state.Revision {
		return reply
	}
	notes := since(recent, after)
	if after > 0 && len(notes) > 0 && notes[0].Revision == after+1 && !slices.ContainsFunc(notes, trimmed) {
		reply.Notes = notes
		return reply
	}
	reply.State = &state
	reply.Recent = recent
	return reply
}

func trimmed(note api.AcceptedNote) bool { return note.Trimmed }
