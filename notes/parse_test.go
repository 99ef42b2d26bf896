package notes

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
)

func readNote(t testing.TB, name string) (api.Note, []byte, error) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	assert.NilError(t, err)
	note, err := ParseTOML(data)
	return note, data, err
}

func baseState(t testing.TB) fleet.State {
	t.Helper()
	note, _, err := readNote(t, "good/base.toml")
	assert.NilError(t, err)
	state, err := fleet.Apply(fleet.State{}, note)
	assert.NilError(t, err)
	return state
}

// Guards against accepting an invalid note, and against messages that do not locate
// each fault. The expected messages are the "want" comments at the top of each file.
func TestBadNotes(t *testing.T) {
	base := baseState(t)
	files, err := filepath.Glob("testdata/bad/*.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			note, data, err := readNote(t, "bad/"+filepath.Base(file))
			if err == nil {
				_, err = fleet.Apply(base, note)
			}
			var want []string
			for line := range strings.Lines(string(data)) {
				if message, ok := strings.CutPrefix(line, "# want: "); ok {
					want = append(want, strings.TrimSpace(message))
				}
			}
			var problems fleet.Problems
			assert.Assert(t, errors.As(err, &problems))
			assert.DeepEqual(t, strings.Split(err.Error(), "\n"), want)
		})
	}
}

// Guards against a file with many faults that keeps a router busy: a search for
// unknown keys in quadratic time took 74 s.
func TestManyUnknownKeysAreFoundQuickly(t *testing.T) {
	const count = 20000
	var file strings.Builder
	for i := range count {
		fmt.Fprintf(&file, "[[added.zones]]\nid = \"z\"\nname = %d\n", i)
	}
	begin := time.Now()
	_, err := ParseTOML([]byte(file.String()))
	var problems fleet.Problems
	assert.Assert(t, errors.As(err, &problems))
	assert.Equal(t, len(problems), count)
	assert.Equal(t, problems[count-1].Line, 3*count)
	assert.Assert(t, time.Since(begin) < 10*time.Second)
}

// Guards against a file that makes the parser panic or hang, and against a note
// whose id changes when it is encoded and decoded again.
func FuzzParseTOML(f *testing.F) {
	files, err := filepath.Glob("testdata/*/*.toml")
	assert.NilError(f, err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(f, err)
		f.Add(data)
	}
	base := baseState(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		note, err := ParseTOML(data)
		if err != nil {
			var problems fleet.Problems
			assert.Assert(t, errors.As(err, &problems) && len(problems) > 0)
			return
		}
		if next, err := fleet.Apply(base, note); err == nil {
			fleet.Diff(base, next)
		}
		id, err := fleet.NoteID(note)
		assert.NilError(t, err)
		encoded, err := fleet.Marshal(note)
		assert.NilError(t, err)
		var decoded api.Note
		assert.NilError(t, fleet.Unmarshal(encoded, &decoded))
		again, err := fleet.NoteID(decoded)
		assert.NilError(t, err)
		assert.Equal(t, again, id)
	})
}
