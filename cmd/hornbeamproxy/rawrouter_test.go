package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// newRawRouter returns the address of a router whose handler writes its responses byte by byte.
func newRawRouter(t *testing.T, handler standin.RawHandler) string {
	t.Helper()
	server, err := standin.NewRawServer(handler)
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server.Addr()
}

// respondRaw returns a handler that sends the bytes and closes the connection.
func respondRaw(response string) standin.RawHandler { return standin.RespondRaw(response, "", false) }

// clientCommand is a command that asks a router, with the body of a successful response to it.
type clientCommand struct {
	args []string
	body string
}

// clientCommands returns the commands that send requests to the router at the address.
func clientCommands(t *testing.T, address string) []clientCommand {
	t.Helper()
	note := filepath.Join(t.TempDir(), "note.toml")
	assert.NilError(t, os.WriteFile(note, []byte("title = \"Add a\"\n[[added.zones]]\nid = \"a\"\n"), 0o600))
	return []clientCommand{
		{[]string{"note", "accept", note, "--admin", "http://" + address}, `{"note_id":"n1","revision":1}`},
		{[]string{"note", "check", note, "--admin", "http://" + address}, `{"note_id":"n1","revision":1}`},
		{[]string{"note", "list", "--admin", "http://" + address}, `{"notes":[],"applied_revision":1}`},
		{[]string{"note", "status", "1", "--admin", "http://" + address}, `{"revision":1,"routers":[]}`},
		{[]string{"explain", "--router", address, "--host", "h", "--path", "/x"}, `{"route":"chat"}`},
	}
}

// runClientCommand runs the command and returns its output and exit code.
func runClientCommand(args []string) (string, int) {
	var out bytes.Buffer
	app := kingpin.New("hornbeamproxy", "").Terminate(nil)
	addNoteCommandsTo(app, &out)
	addExplainCommandTo(app, &out)
	_, err := app.Parse(args)
	if err == nil {
		return out.String(), 0
	}
	return out.String(), exitCode(err)
}

// Guards against a command that takes a response with an invalid status for the router's answer.
func TestCommandsRejectInvalidStatus(t *testing.T) {
	for i, c := range clientCommands(t, "") {
		for _, status := range []string{"000", "099", "+20", "101"} {
			address := newRawRouter(t, respondRaw("HTTP/1.1 "+status+" X\r\n\r\n"+c.body))
			out, code := runClientCommand(clientCommands(t, address)[i].args)
			assert.Equal(t, code, exitUsage, "%v with status %s: %s", c.args, status, out)
			assert.Equal(t, out, "", c.args)
		}
		address := newRawRouter(t, respondRaw("HTTP/1.1 200 X\r\n\r\n"+c.body))
		_, code := runClientCommand(clientCommands(t, address)[i].args)
		assert.Equal(t, code, 0, c.args)
	}
}

// Guards against a command that takes a response in whose head the name of a field has a blank or a
// control byte for the router's answer.
func TestCommandsRejectInvalidFieldName(t *testing.T) {
	for i, c := range clientCommands(t, "") {
		for _, name := range []string{"X Bad", "X-Bad ", "Content-Length ", "Transfer-Encoding ", "X\tBad", "X\x01Bad", "X-Bad\x7f"} {
			address := newRawRouter(t, respondRaw("HTTP/1.1 200 OK\r\n"+name+": 1\r\n\r\n"+c.body))
			out, code := runClientCommand(clientCommands(t, address)[i].args)
			assert.Check(t, code == exitUsage && out == "", "%v with field %q: exit code %d, %q", c.args, name, code, out)
		}
	}
}

// Guards against a command that takes a part of a router's answer for the whole, because the router
// reset the connection while a long note was still being sent.
func TestCommandsRejectAnswerCutDuringUpload(t *testing.T) {
	note := filepath.Join(t.TempDir(), "note.toml")
	assert.NilError(t, os.WriteFile(note, bytes.Repeat([]byte("# comment\n"), 2<<20), 0o600))
	const whole = `{"note_id":"n1","revision":1}`
	for _, framing := range []string{"", "Content-Length: 29\r\n"} {
		for cut := range len(whole) {
			for _, command := range []string{"check", "accept"} {
				response := "HTTP/1.1 200 OK\r\n" + framing + "\r\n" + whole[:cut]
				address := newRawRouter(t, standin.RespondDuringUpload(response, "", time.Millisecond))
				out, code := runClientCommand([]string{"note", command, note, "--admin", "http://" + address})
				assert.Equal(t, code, exitUsage, "%s cut after %d bytes: %s", command, cut, out)
				assert.Equal(t, out, "")
			}
		}
	}
}
