package notes

import (
	"errors"
	"fmt"
	"strings"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

var (
	// ErrUnavailable is returned if a call to the object API failed. The note, if there
	// was one to accept, was not accepted.
	ErrUnavailable = errors.New("notes: the object API is unavailable; the note was not accepted")
	// ErrOutcomeUnknown is returned if the note may have been accepted. Accepting
	// the same note again resolves the outcome.
	ErrOutcomeUnknown = errors.New("notes: the note may have been accepted; accept it again to find out")
)

// LostRaceError is returned if other notes were accepted after this one was
// checked. The note was not accepted.
type LostRaceError struct {
	// Winners lists the notes that were accepted meanwhile, oldest first.
	Winners []api.AcceptedNote
}

// Error names the winning notes and what they changed.
func (e *LostRaceError) Error() string {
	lines := []string{"notes: not accepted, because other notes were accepted meanwhile; check it again"}
	for _, w := range e.Winners {
		lines = append(lines, Describe(w))
	}
	return strings.Join(lines, "\n")
}

// SupersededError is returned if the same note was accepted earlier and a later
// note has undone a part of it.
type SupersededError struct {
	// Accepted is the earlier acceptance.
	Accepted api.AcceptedNote
}

// Error names the earlier revision and says how to accept the note again.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("notes: this note was accepted as revision %d and a later note has undone a part of it; change the title to accept it again", e.Accepted.Revision)
}

// Describe returns one line with the revision, id and title of a note and what
// it changed.
func Describe(accepted api.AcceptedNote) string {
	by := ""
	if accepted.Note.Author != "" {
		by = " by " + accepted.Note.Author
	}
	return fmt.Sprintf("revision %d, note %s %q%s: %s", accepted.Revision, accepted.ID, accepted.Note.Title, by, Changes(accepted))
}

// Changes returns one line that names what a note adds, changes, withdraws and
// removes.
func Changes(accepted api.AcceptedNote) string {
	if accepted.Trimmed {
		return "too large to be listed"
	}
	note := accepted.Note
	var list []string
	if note.Added != nil {
		list = append(list, describeParts("adds", *note.Added)...)
	}
	if note.Changed != nil {
		list = append(list, describeParts("changes", *note.Changed)...)
	}
	if w := note.Withdrawn; w != nil {
		list = appendNames(list, "withdraws", "zones", w.Zones)
		list = appendNames(list, "withdraws", "instances", w.Instances)
		list = appendNames(list, "withdraws", "endpoints", w.Endpoints)
		list = appendNames(list, "withdraws", "models", w.Models)
		list = appendNames(list, "withdraws", "adapters", w.Adapters)
		list = appendNames(list, "withdraws", "versions", w.Versions)
		list = appendNames(list, "withdraws", "services", w.Services)
		list = appendNames(list, "withdraws", "workspaces", w.Workspaces)
	}
	if r := note.Removed; r != nil {
		list = appendNames(list, "removes", "zones", r.Zones)
		list = appendNames(list, "removes", "endpoints", r.Endpoints)
		list = appendNames(list, "removes", "models", r.Models)
		list = appendNames(list, "removes", "services", r.Services)
		list = appendNames(list, "removes", "workspaces", r.Workspaces)
	}
	return strings.Join(list, "; ")
}

func describeParts(verb string, p api.NoteParts) []string {
	var list []string
	list = appendNames(list, verb, "zones", ids(p.Zones, func(z api.Zone) string { return z.ID }))
	list = appendNames(list, verb, "endpoints", ids(p.Endpoints, func(e api.Endpoint) string { return e.ID }))
	list = appendNames(list, verb, "models", ids(p.Models, func(m api.Model) string { return m.ID }))
	list = appendNames(list, verb, "services", ids(p.Services, func(s api.Service) string { return s.ID }))
	return appendNames(list, verb, "workspaces", ids(p.Workspaces, func(w api.Workspace) string { return w.ID }))
}

func ids[T any](list []T, id func(T) string) []string {
	names := make([]string, len(list))
	for i := range list {
		names[i] = id(list[i])
	}
	return names
}

// maxListedNames bounds the names listed for each kind of part, so that the
// description of a large note stays one readable line.
const maxListedNames = 5

func appendNames(list []string, verb, kind string, names []string) []string {
	if len(names) == 0 {
		return list
	}
	rest := ""
	if len(names) > maxListedNames {
		rest = fmt.Sprintf(" and %d more", len(names)-maxListedNames)
		names = names[:maxListedNames]
	}
	return append(list, verb+" "+kind+" "+strings.Join(names, ", ")+rest)
}
