// Package docs checks the pages of this directory against the code.
package docs

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/config"
	"github.com/hornbeamproxy/hornbeamproxy/demo"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
	"github.com/hornbeamproxy/hornbeamproxy/notes"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
	"github.com/hornbeamproxy/hornbeamproxy/platform"
	"github.com/hornbeamproxy/hornbeamproxy/server"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

func readPage(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("operators", name))
	assert.NilError(t, err)
	return string(text)
}

// schemaFile is the part of a JSON Schema that the tests use.
type schemaFile struct {
	Properties map[string]struct {
		Ref string `json:"$ref"`
	} `json:"properties"`
	Defs map[string]struct {
		Enum       []string                   `json:"enum"`
		Required   []string                   `json:"required"`
		Properties map[string]json.RawMessage `json:"properties"`
	} `json:"$defs"`
}

func readSchema(t *testing.T, name string) schemaFile {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "schema", name))
	assert.NilError(t, err)
	var schema schemaFile
	assert.NilError(t, json.Unmarshal(text, &schema))
	return schema
}

// tableRows returns the cells of those table rows whose first cell is a name in code
// style, by that name.
func tableRows(page string) map[string][]string {
	rows := map[string][]string{}
	for _, line := range strings.Split(page, "\n") {
		cells := strings.Split(strings.Trim(line, "| "), " | ")
		if strings.HasPrefix(line, "| `") {
			rows[strings.Trim(cells[0], "`")] = cells
		}
	}
	return rows
}

const minimalSettings = `
[router]
id = "r"
zone = "z"
[listen]
callers = "127.0.0.1:1"
peers = "127.0.0.1:2"
admin = "127.0.0.1:3"
[platform]
url = "http://127.0.0.1:4"
[peers]
secret_env = "S"
[admin]
token_env = "T"
`

var rangeText = regexp.MustCompile(`is not between (\S+) and (\S+)`)

// Guards against a setting that is missing on the settings page, and against a default
// or range on the page that differs from what package config applies.
func TestSettingsPage(t *testing.T) {
	rows := tableRows(readPage(t, "settings.md"))
	settings, err := config.Parse("minimal", []byte(minimalSettings))
	assert.NilError(t, err)
	encoded, err := toml.Marshal(settings)
	assert.NilError(t, err)
	var applied map[string]map[string]any
	assert.NilError(t, toml.Unmarshal(encoded, &applied))
	count := 0
	for section, property := range readSchema(t, "settings.json").Properties {
		def := readSchema(t, "settings.json").Defs[filepath.Base(property.Ref)]
		for name := range def.Properties {
			key := section + "." + name
			count++
			cells := rows[key]
			assert.Assert(t, len(cells) == 5, "%s has no row of five cells", key)
			if strings.Contains(minimalSettings, name+" =") && !strings.HasSuffix(name, "_env") {
				assert.Equal(t, cells[2], "required", key)
				continue
			}
			checkDefault(t, key, cells[2], applied[section][name])
			checkRange(t, key, cells)
		}
	}
	assert.Equal(t, len(rows), count, "the page lists a setting that the schema does not have")
}

func checkDefault(t *testing.T, key, cell string, applied any) {
	t.Helper()
	if strings.HasSuffix(key, "_env") {
		applied = "" // minimalSettings sets this key, so the value in applied is not its default
	}
	if list, ok := applied.([]any); ok && len(list) == 0 {
		applied = nil
	}
	want := strings.Trim(cell, "`")
	if want == `""` || want == "[]" {
		assert.Assert(t, applied == nil || applied == "", "%s: applied %v, page has %s", key, applied, cell)
		return
	}
	encoded, err := json.Marshal(applied)
	assert.NilError(t, err)
	assert.Equal(t, strings.Trim(string(encoded), `"`), want, key)
}

// checkRange sets the key to a value that is outside of any range, and compares the range
// in the error message with the range on the page.
func checkRange(t *testing.T, key string, cells []string) {
	t.Helper()
	value := map[string]string{"duration": `"999999h"`, "integer": "9000000000000000", "number": "1e300"}[cells[1]]
	if value == "" {
		return
	}
	section, name, _ := strings.Cut(key, ".")
	text := strings.Replace(minimalSettings, "["+section+"]\n", "", 1)
	if text != minimalSettings {
		text = strings.Replace(minimalSettings, "["+section+"]\n", "["+section+"]\n"+name+" = "+value+"\n", 1)
	} else {
		text += "[" + section + "]\n" + name + " = " + value + "\n"
	}
	_, err := config.Parse("f", []byte(text))
	assert.Assert(t, err != nil, "%s accepts %s", key, value)
	found := rangeText.FindStringSubmatch(err.Error())
	assert.Assert(t, found != nil, "%s: %v", key, err)
	assert.Equal(t, cells[3], found[1]+" to "+found[2], key)
}

// Guards against a refusals page that lacks a reason for a refusal or a retry, or that
// lists a reason that does not exist.
func TestRefusalsPage(t *testing.T) {
	page := readPage(t, "refusals.md")
	refusals, retries, found := strings.Cut(page, "\n## Retry reasons")
	assert.Assert(t, found)
	schema := readSchema(t, "reason.json")
	for def, text := range map[string]string{"Refusal": refusals, "RetryReason": retries} {
		rows := tableRows(text)
		for _, reason := range schema.Defs[def].Enum {
			assert.Assert(t, rows[reason] != nil, "%s %s is missing", def, reason)
		}
		assert.Equal(t, len(rows), len(schema.Defs[def].Enum), def)
	}
}

// section is a part of a page, up to the next heading of the second level.
type section struct {
	title string
	text  string
}

func sections(page string) []section {
	var list []section
	for _, text := range strings.Split(page, "\n## ")[1:] {
		title, _, _ := strings.Cut(text, "\n")
		list = append(list, section{title: title, text: text})
	}
	return list
}

var fencedBlock = regexp.MustCompile("(?ms)^```([a-z]+)\n(.*?)^```$")

// fencedBlocks returns the contents of the fenced code blocks in one language, in order.
func fencedBlocks(text, language string) []string {
	var list []string
	for _, match := range fencedBlock.FindAllStringSubmatch(text, -1) {
		if match[1] == language {
			list = append(list, match[2])
		}
	}
	return list
}

var siteZones = map[string][]string{
	"Zhetisu":  {"medeu", "bostandyk", "auezov", "turksib"},
	"Tamarind": {"port-louis", "curepipe", "ebene", "rose-hill"},
}

var demoZones = []string{"medeu", "bostandyk", "auezov"}

func newSite(zones []string) *standin.Site {
	return standin.NewSite(standin.SiteConfig{Zones: zones, Engines: 6, Services: 2, Workspaces: 2, MaxInflight: 16})
}

// Guards against pages with TOML examples that the software refuses, and with examples
// that the page describes as refused although the software accepts them.
func TestTOMLExamples(t *testing.T) {
	for _, block := range fencedBlocks(readPage(t, "settings.md"), "toml") {
		_, err := config.Parse("settings.md", []byte(block))
		assert.NilError(t, err)
	}
	release := readPage(t, "release-notes.md")
	for _, s := range sections(release) {
		checkNotes(t, siteZones[s.title], s.text)
	}
	checkNotes(t, demoZones, readPage(t, "quick-start.md"))
}

// refusedNotes has, by file name, the example notes that fleet.Apply refuses. The value is
// a part of the expected error message.
var refusedNotes = map[string]string{"again.toml": "exists already"}

// checkNotes applies the example notes of a text, in order, to the fleet state of a site
// with the given zones.
func checkNotes(t *testing.T, zones []string, text string) {
	t.Helper()
	examples := fencedBlocks(text, "toml")
	if len(examples) == 0 {
		return
	}
	site := newSite(zones)
	defer site.Close()
	state, err := fleet.Apply(fleet.State{}, site.Note())
	assert.NilError(t, err)
	for _, example := range examples {
		name := noteFile(t, example)
		note, err := notes.ParseTOML([]byte(example))
		assert.NilError(t, err, name)
		next, err := fleet.Apply(state, note)
		if want := refusedNotes[name]; want != "" {
			assert.ErrorContains(t, err, want, name)
			continue
		}
		assert.NilError(t, err, name)
		state = next
	}
}

// noteFile returns the file name in the first line of an example.
func noteFile(t *testing.T, example string) string {
	t.Helper()
	line, _, _ := strings.Cut(example, "\n")
	name, found := strings.CutPrefix(line, "# ")
	assert.Assert(t, found, "example without a file name: %s", example)
	return name
}

// Guards against commands on the release notes page that fail, or that end with
// another exit code than the page gives.
func TestReleaseNotesCommands(t *testing.T) {
	for _, s := range sections(readPage(t, "release-notes.md")) {
		commands := commandsOf(s.text)
		if len(commands) == 0 {
			continue
		}
		t.Run(s.title, func(t *testing.T) {
			t.Parallel()
			admin := startRouter(t, siteZones[s.title])
			runCommands(t, s.text, commands, admin)
		})
	}
}

// Guards against commands on the quick start page that fail. The second command of the
// page starts the demo in a terminal of its own; the test runs the demo in the test process
// instead.
func TestQuickStartCommands(t *testing.T) {
	t.Parallel()
	text := readPage(t, "quick-start.md")
	commands := commandsOf(text)
	assert.DeepEqual(t, commands[:2], []string{"make build", "bin/hornbeamproxy demo --keep"})
	admin := startDemo(t)
	runCommands(t, text, commands[2:], admin)
}

func commandsOf(text string) []string {
	var commands []string
	for _, block := range fencedBlocks(text, "console") {
		for _, line := range strings.Split(block, "\n") {
			if command, found := strings.CutPrefix(line, "$ "); found {
				commands = append(commands, command)
			}
		}
	}
	return commands
}

// buildBinary runs the build command of the quick start page once for all tests. It returns
// the directory of the binary, or the output of the build and an error if the build failed.
var buildBinary = sync.OnceValues(func() (string, error) {
	output, err := exec.Command("make", "-C", "..", "build").CombinedOutput()
	if err != nil {
		return string(output), err
	}
	path, err := filepath.Abs("../bin")
	return path, err
})

// runCommands runs the commands in a directory that has the TOML examples of the text
// as files. A command must end with the exit code in its comment, or with 0 if it has
// none.
func runCommands(t *testing.T, text string, commands []string, admin string) {
	t.Helper()
	binDir, err := buildBinary()
	assert.NilError(t, err, binDir)
	dir := t.TempDir()
	assert.NilError(t, os.Symlink(binDir, filepath.Join(dir, "bin")))
	for _, example := range fencedBlocks(text, "toml") {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, noteFile(t, example)), []byte(example), 0o600))
	}
	for _, command := range commands {
		_, comment, _ := strings.Cut(command, "# exit code ")
		shell := exec.Command("sh", "-c", command)
		shell.Dir = dir
		shell.Env = append(os.Environ(), "ADMIN="+admin, "HORNBEAM_ADMIN_TOKEN="+standin.SiteAdminToken)
		output, err := shell.CombinedOutput()
		want := ""
		if comment != "" {
			want = "exit status " + comment
		}
		got := ""
		if err != nil {
			got = err.Error()
		}
		assert.Equal(t, got, want, "%s\n%s", command, output)
	}
}

// settingsAt returns the settings of a router with the addresses of its listeners for
// callers, peers and operators. The short withdraw_within makes it shut down quickly.
func settingsAt(addresses []string, platformURL string) string {
	replacer := strings.NewReplacer(
		"127.0.0.1:1", addresses[0], "127.0.0.1:2", addresses[1], "127.0.0.1:3", addresses[2],
		"http://127.0.0.1:4", platformURL,
	)
	return replacer.Replace(minimalSettings) + "[limits]\nwithdraw_within = \"500ms\"\n"
}

// startRouter accepts the note that adds a site with the given zones, starts one router for
// the site, and returns the URL of the router's admin listener.
func startRouter(t *testing.T, zones []string) string {
	t.Helper()
	site := newSite(zones)
	addresses, err := standin.FreeAddresses(3)
	assert.NilError(t, err)
	settings, err := config.Parse("router", []byte(settingsAt(addresses, site.PlatformServer.URL)))
	assert.NilError(t, err)
	_, err = notes.NewAcceptor(notes.AcceptorOptions{Store: storeClient(site.PlatformServer.URL)}).Accept(t.Context(), site.Note())
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	started, done := make(chan struct{}), make(chan error, 1)
	go func() {
		done <- server.Run(ctx, server.Options{
			Settings: settings,
			Secrets: config.Secrets{
				PlatformToken: standin.SitePlatformToken,
				PeerSecret:    standin.SitePeerSecret,
				AdminToken:    standin.SiteAdminToken,
			},
			Logger:  zap.NewNop(),
			Started: func() { close(started) },
		})
	}()
	t.Cleanup(func() {
		stop()
		assert.Check(t, <-done)
		site.Close()
	})
	select {
	case <-started:
	case err := <-done:
		t.Fatal(err)
	}
	return "http://" + addresses[2]
}

// startDemo runs the demo with the option to keep its fleet. It returns the URL of the
// admin listener that the demo prints.
func startDemo(t *testing.T) string {
	t.Helper()
	out := &syncBuffer{}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- demo.Run(ctx, demo.Options{Out: out, Keep: true, Logger: zap.NewNop()}) }()
	t.Cleanup(func() {
		stop()
		assert.Check(t, <-done)
	})
	address := regexp.MustCompile(`curl (\S+)/state`)
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if found := address.FindStringSubmatch(out.String()); found != nil {
			return found[1]
		}
	}
	t.Fatalf("demo printed no address:\n%s", out)
	return ""
}

// syncBuffer collects the output of the demo and is safe for concurrent use.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (o *syncBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.Write(p)
}

func (o *syncBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.String()
}

// storeClient returns an object store client for the platform stand-in at url.
func storeClient(url string) *objectstore.Client {
	metrics := telemetry.NewMetrics()
	backend := platform.KeyStore{Store: platform.NewStore(url, standin.SitePlatformToken, metrics)}
	return objectstore.NewClient(objectstore.DefaultClientConfig(), backend, metrics)
}
