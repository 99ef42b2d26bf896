// Package admin serves a router's HTTP API for operators: health, readiness,
// state, metrics, release notes and failure reports.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
	"github.com/hornbeamproxy/hornbeamproxy/notes"
)

// acceptTimeout bounds the acceptance of a note. The acceptance continues when
// the operator disconnects, so that a lost connection does not leave its outcome
// unknown.
const acceptTimeout = 30 * time.Second

// listTimeout is how long GET /notes waits for the object API before it returns the
// notes that this router has applied instead.
const listTimeout = 3 * time.Second

// RouterRevision is the revision that a router has applied, as it last reported.
type RouterRevision struct {
	Router   string
	Zone     string
	Revision uint64
	// Age is the time since the router reported Revision.
	Age time.Duration
}

// StepState is the progress of a step that follows from a note.
type StepState string

// States of a step.
const (
	StepDone    StepState = "done"
	StepWaiting StepState = "waiting"
	StepFailed  StepState = "failed"
)

// Step is one action that follows from a note, such as an order to an endpoint.
type Step struct {
	Name  string    `json:"name"`
	State StepState `json:"state"`
	// Reason is what a waiting step waits for, or why a step failed.
	Reason string `json:"reason,omitempty"`
}

// StatusSource provides the rollout status of a revision. Implementations are
// safe for concurrent use.
type StatusSource interface {
	// RouterRevisions lists the live routers with the revisions they have applied.
	RouterRevisions() []RouterRevision
	// Steps lists the steps that follow from a revision.
	Steps(revision uint64) []Step
}

// RouterStatus is the status of a revision at one router.
type RouterStatus struct {
	Router string `json:"router"`
	Zone   string `json:"zone"`
	// Revision is the revision that the router has applied, as it last reported.
	Revision uint64 `json:"revision"`
	// InForce is true if Revision is at least the revision that the status is about.
	InForce bool `json:"in_force"`
	// AgeMs is the time since the router reported Revision, in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// NoteStatus is the body of GET /notes/:revision/status.
type NoteStatus struct {
	Revision uint64 `json:"revision"`
	// InForce is true if there are live routers and all have applied the revision.
	InForce bool           `json:"in_force"`
	Routers []RouterStatus `json:"routers"`
	Steps   []Step         `json:"steps"`
}

// NoteSummary is one note in the body of GET /notes.
type NoteSummary struct {
	Revision uint64 `json:"revision"`
	ID       string `json:"id"`
	// AcceptedUnixMs is the time of acceptance by the clock of the accepting router.
	AcceptedUnixMs int    `json:"accepted_unix_ms"`
	Title          string `json:"title"`
	Author         string `json:"author"`
	// Changes is the line that notes.Changes returns.
	Changes string `json:"changes"`
}

// NoteList is the body of GET /notes.
type NoteList struct {
	// AppliedRevision is the revision that this router has applied.
	AppliedRevision uint64 `json:"applied"`
	// Stale is true if the object API did not answer and the list holds the notes
	// that this router has applied.
	Stale bool          `json:"stale"`
	Notes []NoteSummary `json:"notes"`
}

// Reasons in the problem bodies of the note and report calls.
const (
	ReasonNoteInvalid    = "note_invalid"
	ReasonLostRace       = "lost_race"
	ReasonSuperseded     = "superseded"
	ReasonUnavailable    = "unavailable"
	ReasonOutcomeUnknown = "outcome_unknown"
	ReasonBadRequest     = "bad_request"
	ReasonInternal       = "internal"
)

// Problem is the problem body (RFC 9457) of all calls of this package.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Reason string `json:"reason"`
	// Problems lists the faults of the note, for ReasonNoteInvalid.
	Problems []fleet.Problem `json:"problems,omitempty"`
	// Winners lists the notes that were accepted meanwhile, for ReasonLostRace.
	Winners []NoteSummary `json:"winners,omitempty"`
}

type noteHandlers struct {
	acceptor *notes.Acceptor
	syncer   *notes.Syncer
	source   StatusSource
}

// RegisterNotes adds the calls for release notes to a group. The group's
// middleware authenticates operators.
func RegisterNotes(g *echo.Group, acceptor *notes.Acceptor, syncer *notes.Syncer, source StatusSource) {
	h := noteHandlers{acceptor: acceptor, syncer: syncer, source: source}
	g.POST("/notes/check", h.check)
	g.POST("/notes/accept", h.accept)
	g.GET("/notes", h.list)
	g.GET("/notes/:revision/status", h.status)
}

func (h noteHandlers) check(c echo.Context) error {
	return handleNote(c, c.Request().Context(), h.acceptor.Check)
}

func (h noteHandlers) accept(c echo.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), acceptTimeout)
	defer cancel()
	return handleNote(c, ctx, h.acceptor.Accept)
}

func handleNote(c echo.Context, ctx context.Context, call func(context.Context, api.Note) (notes.NoteResult, error)) error {
	data, err := io.ReadAll(io.LimitReader(c.Request().Body, notes.MaxNoteBytes+1))
	if err != nil {
		return writeProblem(c, Problem{Status: http.StatusBadRequest, Reason: ReasonBadRequest, Detail: "the note could not be read"})
	}
	note, err := notes.ParseTOML(data)
	if err != nil {
		return writeProblem(c, problemFromError(err))
	}
	result, err := call(ctx, note)
	if err != nil {
		return writeProblem(c, problemFromError(err))
	}
	return c.JSON(http.StatusOK, result)
}

// problemFromError returns the problem body for an error of the notes package.
func problemFromError(err error) Problem {
	var problems fleet.Problems
	var lost *notes.LostRaceError
	var superseded *notes.SupersededError
	p := Problem{Status: http.StatusInternalServerError, Reason: ReasonInternal, Detail: err.Error()}
	switch {
	case errors.As(err, &problems):
		p.Status, p.Reason, p.Problems = http.StatusUnprocessableEntity, ReasonNoteInvalid, problems
	case errors.As(err, &lost):
		p.Status, p.Reason, p.Winners = http.StatusConflict, ReasonLostRace, summarizeNotes(lost.Winners)
	case errors.As(err, &superseded):
		p.Status, p.Reason = http.StatusConflict, ReasonSuperseded
	case errors.Is(err, notes.ErrOutcomeUnknown):
		p.Status, p.Reason = http.StatusGatewayTimeout, ReasonOutcomeUnknown
	case errors.Is(err, notes.ErrUnavailable):
		p.Status, p.Reason = http.StatusServiceUnavailable, ReasonUnavailable
	}
	return p
}

func writeProblem(c echo.Context, p Problem) error {
	p.Type, p.Title = "about:blank", http.StatusText(p.Status)
	body, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return c.Blob(p.Status, "application/problem+json", body)
}

func summarizeNotes(accepted []api.AcceptedNote) []NoteSummary {
	list := make([]NoteSummary, len(accepted))
	for i, a := range accepted {
		list[i] = NoteSummary{
			Revision:       a.Revision,
			ID:             a.ID,
			AcceptedUnixMs: a.AcceptedUnixMs,
			Title:          a.Note.Title,
			Author:         a.Note.Author,
			Changes:        notes.Changes(a),
		}
	}
	return list
}

func (h noteHandlers) list(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), listTimeout)
	defer cancel()
	recent, err := h.acceptor.History(ctx)
	if err != nil {
		recent = h.syncer.Recent()
	}
	return c.JSON(http.StatusOK, NoteList{AppliedRevision: h.syncer.Revision(), Stale: err != nil, Notes: summarizeNotes(recent)})
}

func (h noteHandlers) status(c echo.Context) error {
	revision, err := strconv.ParseUint(c.Param("revision"), 10, 64)
	if err != nil || revision == 0 {
		return writeProblem(c, Problem{Status: http.StatusBadRequest, Reason: ReasonBadRequest, Detail: "the revision must be a positive number"})
	}
	return c.JSON(http.StatusOK, h.statusOf(revision))
}

func (h noteHandlers) statusOf(revision uint64) NoteStatus {
	status := NoteStatus{Revision: revision, InForce: true, Routers: []RouterStatus{}, Steps: []Step{}}
	for _, r := range h.source.RouterRevisions() {
		inForce := r.Revision >= revision
		status.InForce = status.InForce && inForce
		status.Routers = append(status.Routers, RouterStatus{
			Router: r.Router, Zone: r.Zone, Revision: r.Revision, InForce: inForce, AgeMs: r.Age.Milliseconds(),
		})
	}
	status.InForce = status.InForce && len(status.Routers) > 0
	status.Steps = append(status.Steps, h.source.Steps(revision)...)
	return status
}
