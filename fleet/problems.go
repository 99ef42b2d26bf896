package fleet

import (
	"fmt"
	"strings"
)

// Problem is one fault in a release note.
type Problem struct {
	// Line is the line of the note's file; 0 when it is not known.
	Line int `json:"line,omitempty"`
	// Path names the faulty part, such as added.endpoints[2].url.
	Path string `json:"path"`
	// Text describes the fault.
	Text string `json:"text"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	text := p.Text
	if p.Path != "" {
		text = p.Path + ": " + text
	}
	if p.Line > 0 {
		text = fmt.Sprintf("line %d: %s", p.Line, text)
	}
	return text
}

// Problems is the error for a note that cannot be accepted. It lists all faults.
type Problems []Problem

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// add appends one problem. It does nothing if p is nil.
func (p *Problems) add(path, format string, args ...any) {
	if p == nil {
		return
	}
	*p = append(*p, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

// asError returns an untyped nil for an empty list, so that the error compares equal
// to nil.
func (p Problems) asError() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
