package main

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/admin"
	"github.com/hornbeamproxy/hornbeamproxy/notes"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

type fixedStatus struct{}

func (fixedStatus) RouterRevisions() []admin.RouterRevision {
	return []admin.RouterRevision{{Router: "r1", Zone: "a", Revision: 1}, {Router: "r2", Zone: "b", Age: time.Second}}
}

func (fixedStatus) Steps(uint64) []admin.Step {
	return []admin.Step{{Name: "load chat at engine-1", State: admin.StepWaiting, Reason: "weight store"}}
}

// Guards against an exit code or output from which a script would conclude that a refused
// or unknown note was accepted.
func TestNoteCommands(t *testing.T) {
	e := echo.New()
	store := objectstore.NewMemory()
	acceptor := notes.NewAcceptor(notes.AcceptorOptions{Store: store})
	syncer := notes.NewSyncer(notes.SyncerOptions{Store: store})
	admin.RegisterNotes(e.Group(""), acceptor, syncer, fixedStatus{})
	server := httptest.NewServer(e)
	defer server.Close()
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	good := file("good.toml", "title = \"Add a\"\n[[added.zones]]\nid = \"a\"\n")
	withdraw := file("withdraw.toml", "title = \"Withdraw a\"\n[withdrawn]\nzones = [\"a\"]\n")
	restore := file("return.toml", "title = \"Return a\"\n[[changed.zones]]\nid = \"a\"\n")
	bad := file("bad.toml", "titel = \"x\"\n")
	for _, c := range []struct {
		args []string
		code int
		text string
	}{
		{[]string{"check", good}, 0, "would become revision 1\n"},
		{[]string{"accept", good}, 0, "accepted as revision 1\n"},
		{[]string{"accept", good}, 0, "was accepted before as revision 1\n"},
		{[]string{"accept", withdraw}, 0, "accepted as revision 2\n"},
		{[]string{"accept", restore}, 0, "warning: zone a returns to service\n"},
		{[]string{"accept", withdraw}, 1, "change the title"},
		{[]string{"accept", bad}, 1, "line 1: titel: unknown key"},
		{[]string{"check", bad, "--output", "json"}, 1, `"reason": "note_invalid"`},
		{[]string{"list"}, 0, `"Withdraw a": withdraws zones a`},
		{[]string{"status", "1"}, 0, "revision 1 is in force at 1 of 2 routers\nload chat at engine-1: waiting weight store\n"},
		{[]string{"status", "0"}, 2, "positive number"},
		{[]string{"status", "x"}, 2, ""},
		{[]string{"check", filepath.Join(dir, "none.toml")}, 2, "no such file"},
		{[]string{"list", "--admin", "http://127.0.0.1:1"}, 2, "refused"},
		{[]string{"list", "--token-env", "HORNBEAMPROXY_TEST_UNSET"}, 2, "is empty"},
	} {
		out := &bytes.Buffer{}
		app := kingpin.New("hornbeamproxy", "").Terminate(nil)
		addNoteCommandsTo(app, out)
		args := append([]string{"note"}, c.args...)
		if !slices.Contains(c.args, "--admin") {
			args = append(args, "--admin", server.URL)
		}
		_, err := app.Parse(args)
		if err != nil {
			out.WriteString(err.Error())
		}
		assert.Equal(t, exitCode(err), c.code, "%v: %s", c.args, out)
		assert.Assert(t, bytes.Contains(out.Bytes(), []byte(c.text)), "%v: %s", c.args, out)
	}
}

// Guards against a usage error with the exit code of a refused note.
func TestNoteUsageErrors(t *testing.T) {
	for _, args := range [][]string{{"note", "list"}, {"note", "check"}, {"note", "list", "--admin", "http://127.0.0.1:1", "--output", "xml"}} {
		app := kingpin.New("hornbeamproxy", "").Terminate(nil)
		addNoteCommands(app)
		_, err := app.Parse(args)
		assert.Equal(t, exitCode(err), exitUsage, "%v", args)
	}
}
