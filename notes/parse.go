package notes

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"

	toml "github.com/pelletier/go-toml/v2"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/fleet"
)

const (
	// MaxNoteBytes bounds a note's file. The import of 3,200 workspaces and 600
	// endpoints takes about 600 KB of TOML.
	MaxNoteBytes = 2 << 20
	// maxTypeProblems bounds the number of wrong types reported at once, because each
	// takes another pass over the file.
	maxTypeProblems = 50
)

// wrongType matches a message of the decoder that contains Go field names, which
// mean nothing to an operator.
var wrongType = regexp.MustCompile(`cannot decode TOML (.+) into struct field \S+ of type (\S+)`)

// ParseTOML parses a note strictly: unknown keys are errors. The error is of type
// fleet.Problems and lists the unknown keys and wrong types with their lines. A
// syntax error is reported alone.
func ParseTOML(data []byte) (api.Note, error) {
	if len(data) > MaxNoteBytes {
		return api.Note{}, fleet.Problems{{Text: fmt.Sprintf("the note has %d bytes, at most %d are allowed", len(data), MaxNoteBytes)}}
	}
	if problem, invalid := syntaxProblem(data); invalid {
		return api.Note{}, fleet.Problems{problem}
	}
	note, problems := decodeCollectingProblems(bytes.Clone(data))
	problems = append(problems, unknownKeys(data, reflect.TypeFor[api.Note]())...)
	if len(problems) > 0 {
		slices.SortStableFunc(problems, func(a, b fleet.Problem) int { return a.Line - b.Line })
		return api.Note{}, problems
	}
	return note, nil
}

func syntaxProblem(data []byte) (fleet.Problem, bool) {
	var document map[string]any
	err := toml.Unmarshal(data, &document)
	if err == nil {
		return fleet.Problem{}, false
	}
	return decodeProblem(err), true
}

// decodeCollectingProblems decodes a note that has no syntax error. The decoder stops
// at the first value of a wrong type. That value's line is then blanked out in data,
// and the decoding is repeated.
func decodeCollectingProblems(data []byte) (api.Note, fleet.Problems) {
	var problems fleet.Problems
	for range maxTypeProblems {
		var note api.Note
		err := toml.Unmarshal(data, &note)
		if err == nil {
			return note, problems
		}
		problem := decodeProblem(err)
		problems = append(problems, problem)
		blankLine(data, problem.Line)
		if _, invalid := syntaxProblem(data); invalid {
			break // the value spans several lines, so the rest cannot be parsed without it
		}
	}
	return api.Note{}, problems
}

func decodeProblem(err error) fleet.Problem {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return fleet.Problem{Text: err.Error()}
	}
	line, _ := decode.Position()
	text := strings.TrimPrefix(decode.Error(), "toml: ")
	text = wrongType.ReplaceAllString(text, "must be of type $2, is a TOML $1")
	return fleet.Problem{Line: line, Path: strings.Join(decode.Key(), "."), Text: text}
}

// blankLine turns line number n, counted from 1, into a comment.
func blankLine(data []byte, n int) {
	start := 0
	for line := 1; line < n; line++ {
		next := bytes.IndexByte(data[start:], '\n')
		if next < 0 {
			return
		}
		start += next + 1
	}
	end := bytes.IndexByte(data[start:], '\n')
	if end < 0 {
		end = len(data) - start
	}
	for i := start; i < start+end; i++ {
		data[i] = '#'
	}
}
