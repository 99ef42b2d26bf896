package main

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against the command "settings check" applying the rules of the serve command to a
// settings file of the router command, or the reverse.
func TestCheckSettingsOfPlatform(t *testing.T) {
	file := filepath.Join(t.TempDir(), "router.toml")
	text := "[router]\nid = \"r\"\n[listen]\ncallers = \"a:1\"\nreadiness = \"a:2\"\npeers = \"a:3\"\n[store]\naddress = \"a:4\"\n"
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	assert.NilError(t, checkSettings(file, true, "text"))
	assert.Equal(t, exitCode(checkSettings(file, false, "json")), exitProblems)
	assert.NilError(t, os.WriteFile(file, []byte(text+"typo = 1\n"), 0o600))
	assert.Equal(t, exitCode(checkSettings(file, true, "text")), exitProblems)
	assert.Equal(t, exitCode(checkSettings(filepath.Join(t.TempDir(), "none"), true, "text")), exitUsage)
}
