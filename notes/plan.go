package notes

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
)

const (
	// HeadKey is the key of the head object.
	HeadKey = "notes/head"
	// statePrefix is the prefix of the state objects' keys, which continue with
	// <revision>-<note id>.
	statePrefix = "notes/state/"
	// maxRecent is the number of notes listed in the head.
	maxRecent = 32
	// maxRecentBytes bounds the encoded size of the notes in the head, because each of
	// the up to 350 routers of a fleet reads the head after each of 440 notes a day.
	// At 64 KiB these reads take 0.3 KB/s per router, of the 4 KB/s allowed for its
	// control traffic.
	maxRecentBytes = 64 << 10
	// keptStates is the number of committed state objects that are kept. The newest one
	// is not enough, because newer notes may be accepted after a router has read the
	// head and before it reads the state of that head's revision.
	keptStates = 4
)

var (
	errGap     = errors.New("notes: revision gap: the notes do not continue from the applied revision")
	errTrimmed = errors.New("notes: the content of a note was trimmed to save space")
	errDigest  = errors.New("notes: digest mismatch between the state and its note")
)

// stateKey returns the key of the state object of a revision.
func stateKey(revision uint64, noteID string) string {
	return statePrefix + strconv.FormatUint(revision, 10) + "-" + noteID
}

// splitStateKey is the inverse of stateKey.
func splitStateKey(key string) (revision uint64, noteID string, ok bool) {
	name, ok := strings.CutPrefix(key, statePrefix)
	if !ok {
		return 0, "", false
	}
	number, noteID, ok := strings.Cut(name, "-")
	if !ok {
		return 0, "", false
	}
	revision, err := strconv.ParseUint(number, 10, 64)
	return revision, noteID, err == nil
}

// commit holds the state and head objects that accepting a note writes, and the values
// that they encode.
type commit struct {
	accepted  api.AcceptedNote
	state     fleet.State
	recent    []api.AcceptedNote
	stateKey  string
	stateData []byte
	headData  []byte
}

// planCommit computes the objects that commit a note on top of head and its state.
// The error is of type fleet.Problems if the note is invalid.
func planCommit(head api.NoteHead, state fleet.State, note api.Note, now time.Time) (commit, error) {
	next, err := fleet.Apply(state, note)
	if err != nil {
		return commit{}, err
	}
	data, digest, err := fleet.Encode(next)
	if err != nil {
		return commit{}, err
	}
	accepted := api.AcceptedNote{
		Revision:       next.Revision,
		ID:             next.NoteID,
		AcceptedUnixMs: int(now.UnixMilli()),
		Note:           note,
		Digest:         digest,
	}
	newHead := api.NoteHead{
		Revision: next.Revision,
		NoteID:   next.NoteID,
		Digest:   digest,
		Recent:   appendRecent(head.Recent, accepted),
	}
	headData, err := fleet.Marshal(newHead)
	if err != nil {
		return commit{}, err
	}
	key := stateKey(next.Revision, next.NoteID)
	return commit{
		accepted:  accepted,
		state:     next,
		recent:    newHead.Recent,
		stateKey:  key,
		stateData: data,
		headData:  headData,
	}, nil
}

// appendRecent returns the last maxRecent notes of recent and more. It goes from the
// newest note to the oldest. Each note that no longer fits into maxRecentBytes is
// trimmed to title and author.
func appendRecent(recent []api.AcceptedNote, more ...api.AcceptedNote) []api.AcceptedNote {
	next := slices.Concat(recent, more)
	next = next[max(0, len(next)-maxRecent):]
	budget := maxRecentBytes
	for i := len(next) - 1; i >= 0; i-- {
		size := encodedSize(next[i])
		if size > budget {
			next[i].Note = api.Note{Title: next[i].Note.Title, Author: next[i].Note.Author}
			next[i].Trimmed = true
			continue
		}
		budget -= size
	}
	return next
}

func encodedSize(note api.AcceptedNote) int {
	data, err := fleet.Marshal(note)
	if err != nil {
		return maxRecentBytes + 1
	}
	return len(data)
}

// findNote returns the newest note that has the id and a revision greater than after.
func findNote(recent []api.AcceptedNote, id string, after uint64) (api.AcceptedNote, bool) {
	for i := len(recent) - 1; i >= 0; i-- {
		if recent[i].ID == id && recent[i].Revision > after {
			return recent[i], true
		}
	}
	return api.AcceptedNote{}, false
}

// notesAfter returns the notes with revisions above after.
func notesAfter(recent []api.AcceptedNote, after uint64) []api.AcceptedNote {
	for i := range recent {
		if recent[i].Revision > after {
			return recent[i:]
		}
	}
	return nil
}

// applyNote applies one note and checks the digest of its result.
func applyNote(state fleet.State, note api.AcceptedNote) (fleet.State, error) {
	if note.Revision != state.Revision+1 {
		return state, errGap
	}
	if note.Trimmed {
		return state, errTrimmed
	}
	next, err := fleet.Apply(state, note.Note)
	if err != nil {
		return state, err
	}
	digest, err := fleet.Digest(next)
	if err != nil {
		return state, err
	}
	if digest != note.Digest {
		return state, errDigest
	}
	return next, nil
}

// decodeState checks the digest of a stored state and decodes it. The digest is that
// of the stored bytes, not of the state encoded again, because a newer version of
// the program may have stored fields that this one does not know.
func decodeState(data []byte, digest string) (fleet.State, error) {
	sum := sha256.Sum256(data)
	if hex.EncodeToString(sum[:]) != digest {
		return fleet.State{}, errDigest
	}
	var state fleet.State
	err := fleet.Unmarshal(data, &state)
	return state, err
}

func decodeHead(data []byte) (api.NoteHead, error) {
	var head api.NoteHead
	if err := fleet.Unmarshal(data, &head); err != nil {
		return api.NoteHead{}, fmt.Errorf("notes: decoding the head: %w", err)
	}
	return head, nil
}

// stateObsolete reports whether a state object may be deleted. An object above the
// head's revision may still be committed by the operator that wrote it. An object
// at or below the head's revision is either committed or can no longer be, because
// the head has changed since its writer read it.
func stateObsolete(head api.NoteHead, revision uint64, noteID string) bool {
	if revision > head.Revision {
		return false
	}
	if revision+keptStates <= head.Revision {
		return true
	}
	return !slices.ContainsFunc(head.Recent, func(n api.AcceptedNote) bool {
		return n.Revision == revision && n.ID == noteID
	})
}
