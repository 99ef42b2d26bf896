package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hornbeamproxy/hornbeamproxy/admin"
	"github.com/hornbeamproxy/hornbeamproxy/httpcheck"
	"github.com/hornbeamproxy/hornbeamproxy/notes"
)

const (
	// noteTimeout bounds one request to a router. It is longer than a router takes to
	// accept a note.
	noteTimeout = 45 * time.Second
	// maxResponseBytes bounds the body of a router's response.
	maxResponseBytes = 16 << 20
)

// noteCommands holds the flags and arguments of the note commands, and their output.
type noteCommands struct {
	out       io.Writer
	admin     string // base URL of a router's admin listener
	tokenFile string
	tokenEnv  string
	output    string // text or json
	file      string // of the note; - for standard input
	revision  uint64
}

// addNoteCommands adds the commands for release notes. Their errors carry an
// exit code for exitCode.
func addNoteCommands(app *kingpin.Application) {
	addNoteCommandsTo(app, os.Stdout)
}

func addNoteCommandsTo(app *kingpin.Application, out io.Writer) {
	n := &noteCommands{out: out}
	note := app.Command("note", "Check, accept and follow release notes.")
	check := n.command(note, "check", "Show the effect of a release note without accepting it.", n.check)
	check.Arg("file", "TOML file; - for standard input.").Required().StringVar(&n.file)
	accept := n.command(note, "accept", "Accept a release note.", n.accept)
	accept.Arg("file", "TOML file; - for standard input.").Required().StringVar(&n.file)
	n.command(note, "list", "List the most recently accepted notes.", n.list)
	status := n.command(note, "status", "Show which routers have a revision in force.", n.status)
	status.Arg("revision", "Revision of the note.").Required().Uint64Var(&n.revision)
}

func (n *noteCommands) command(parent *kingpin.CmdClause, name, help string, run func() error) *kingpin.CmdClause {
	c := parent.Command(name, help)
	c.Flag("admin", "Admin listener of a router, such as http://192.0.2.1:9090.").Required().StringVar(&n.admin)
	c.Flag("token-file", "File with the operators' bearer token.").StringVar(&n.tokenFile)
	c.Flag("token-env", "Environment variable with the operators' bearer token.").StringVar(&n.tokenEnv)
	c.Flag("output", "Output format.").Default("text").EnumVar(&n.output, "text", "json")
	c.Action(func(*kingpin.ParseContext) error { return run() })
	return c
}

func (n *noteCommands) check() error {
	return n.submit("/notes/check", "would become revision")
}

func (n *noteCommands) accept() error {
	return n.submit("/notes/accept", "accepted as revision")
}

func (n *noteCommands) submit(path, outcome string) error {
	data, err := readInput(n.file)
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	var result notes.NoteResult
	if err := n.call(http.MethodPost, path, data, &result); err != nil {
		return err
	}
	return n.print(result, func() { n.printResult(outcome, result) })
}

func readInput(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

func (n *noteCommands) printResult(outcome string, r notes.NoteResult) {
	if r.AlreadyAccepted {
		outcome = "was accepted before as revision"
	}
	n.printf("note %s %s %d\n", r.NoteID, outcome, r.Revision)
	for _, p := range r.Effect.Pools {
		n.printf("pool %s: %d endpoints, was %d (%d added, %d withdrawn), %.0f%% of its capacity left, %.1f%% of its chats move\n",
			p.Pool, p.After, p.Before, p.Added, p.Withdrawn, 100*p.CapacityRatio, 100*p.MovedChatFraction)
	}
	n.printf("%.1f%% of all chats move\n", 100*r.Effect.MovedChatFraction)
	for _, warning := range r.Effect.Warnings {
		n.printf("warning: %s\n", warning)
	}
}

func (n *noteCommands) list() error {
	var list admin.NoteList
	if err := n.call(http.MethodGet, "/notes", nil, &list); err != nil {
		return err
	}
	return n.print(list, func() {
		if list.Stale {
			n.printf("the object API did not answer; these are the notes that the router has applied\n")
		}
		for _, note := range list.Notes {
			n.printSummary(note)
		}
		n.printf("the router has applied revision %d\n", list.AppliedRevision)
	})
}

func (n *noteCommands) printSummary(note admin.NoteSummary) {
	at := time.UnixMilli(int64(note.AcceptedUnixMs)).UTC().Format(time.RFC3339)
	n.printf("%d  %s  %s  %s  %q: %s\n", note.Revision, at, note.ID, note.Author, note.Title, note.Changes)
}

func (n *noteCommands) status() error {
	var status admin.NoteStatus
	path := "/notes/" + strconv.FormatUint(n.revision, 10) + "/status"
	if err := n.call(http.MethodGet, path, nil, &status); err != nil {
		return err
	}
	return n.print(status, func() { n.printStatus(status) })
}

func (n *noteCommands) printStatus(status admin.NoteStatus) {
	inForce := 0
	for _, r := range status.Routers {
		if r.InForce {
			inForce++
			continue
		}
		n.printf("router %s in zone %s has revision %d, last heard from %d ms ago\n", r.Router, r.Zone, r.Revision, r.AgeMs)
	}
	n.printf("revision %d is in force at %d of %d routers\n", status.Revision, inForce, len(status.Routers))
	for _, step := range status.Steps {
		n.printf("%s: %s %s\n", step.Name, step.State, step.Reason)
	}
}

func (n *noteCommands) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(n.out, format, args...)
}

// print calls text, which prints the value for people, or prints the value as JSON if
// that is the output format.
func (n *noteCommands) print(value any, text func()) error {
	if n.output == "text" {
		text()
		return nil
	}
	encoder := json.NewEncoder(n.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// call makes one request to the router and decodes the body of a 200 response into
// value. Its error is an *exitError.
func (n *noteCommands) call(method, path string, body []byte, value any) error {
	request, err := http.NewRequest(method, strings.TrimSuffix(n.admin, "/")+path, bytes.NewReader(body))
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	token, err := n.token()
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	client := http.Client{Timeout: noteTimeout, CheckRedirect: refuseRedirect, Transport: routerTransport}
	response, err := client.Do(request)
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	if response.StatusCode != http.StatusOK {
		return n.responseError(response.Status, data)
	}
	if err := json.Unmarshal(data, value); err != nil {
		return &exitError{code: exitUsage, err: fmt.Errorf("decoding the router's response: %w", err)}
	}
	return nil
}

// routerTransport sends the commands' requests to routers.
var routerTransport = httpcheck.Transport{Base: http.DefaultTransport}

// refuseRedirect prevents redirects, which would send the token to another address.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (n *noteCommands) token() (string, error) {
	switch {
	case n.tokenFile != "" && n.tokenEnv != "":
		return "", errors.New("give --token-file or --token-env, not both")
	case n.tokenFile != "":
		data, err := os.ReadFile(n.tokenFile)
		return strings.TrimSpace(string(data)), err
	case n.tokenEnv != "":
		token := os.Getenv(n.tokenEnv)
		if token == "" {
			return "", fmt.Errorf("environment variable %s is empty", n.tokenEnv)
		}
		return token, nil
	default:
		return "", nil
	}
}

// responseError returns the error for a response other than 200. With JSON output it
// also prints the problem body.
func (n *noteCommands) responseError(status string, data []byte) error {
	var p admin.Problem
	if err := json.Unmarshal(data, &p); err != nil || p.Reason == "" {
		return &exitError{code: exitUsage, err: fmt.Errorf("the router answered %s", status)}
	}
	if n.output == "json" {
		if err := n.print(p, nil); err != nil {
			return &exitError{code: exitUsage, err: err}
		}
	}
	code := exitUsage
	switch p.Reason {
	case admin.ReasonNoteInvalid, admin.ReasonLostRace, admin.ReasonSuperseded:
		code = exitProblems
	}
	return &exitError{code: code, err: errors.New(p.Detail)}
}
