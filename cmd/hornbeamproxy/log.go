package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/alecthomas/kingpin/v2"
	"github.com/mattn/go-isatty"
	"github.com/schollz/progressbar/v3"

	"github.com/hornbeamproxy/hornbeamproxy/routerlog"
)

// maxStoryLines bounds the lines that are kept for one request.
const maxStoryLines = 10_000

// logCommand holds the flags of the log command.
type logCommand struct {
	files   []string
	request string
	output  string
	in      io.Reader
	out     io.Writer
}

// addLogCommand adds the command that summarizes the lines of routers.
func addLogCommand(app *kingpin.Application) {
	addLogCommandTo(app, os.Stdin, os.Stdout)
}

func addLogCommandTo(app *kingpin.Application, in io.Reader, out io.Writer) {
	l := &logCommand{in: in, out: out}
	c := app.Command("log", "Summarize what routers wrote to standard error: what failed, why and where.")
	c.Flag("request", "Print the lines of the request with this id instead.").StringVar(&l.request)
	c.Flag("output", "Output format.").Default("text").EnumVar(&l.output, "text", "json", "html")
	c.Arg("file", "Files of JSON lines, plain or gzip; standard input if there are none, or for -.").StringsVar(&l.files)
	c.Action(func(*kingpin.ParseContext) error { return l.run() })
}

func (l *logCommand) run() error {
	summarizer := routerlog.NewSummarizer()
	var story []storyLine
	use := func(line routerlog.Line, text []byte) {
		summarizer.Add(line)
		if l.request != "" && line.Request == l.request && len(story) < maxStoryLines {
			story = append(story, storyLine{line, string(text)})
		}
	}
	if len(l.files) == 0 {
		l.files = []string{"-"}
	}
	for _, name := range l.files {
		if err := l.read(name, use, summarizer.AddBad); err != nil {
			return &exitError{code: exitUsage, err: fmt.Errorf("reading %s: %w", name, err)}
		}
	}
	if l.request != "" {
		return l.writeStory(story)
	}
	if err := l.writeSummary(summarizer.Summary()); err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	return nil
}

// read passes the lines of a file to use. It shows a progress bar if standard error is a
// terminal.
func (l *logCommand) read(name string, use func(routerlog.Line, []byte), bad func()) error {
	if name == "-" || name == "" { // kingpin passes "-" as ""
		return routerlog.Read(l.in, use, bad)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	var input io.Reader = file
	if info, err := file.Stat(); err == nil && isatty.IsTerminal(os.Stderr.Fd()) {
		bar := progressbar.DefaultBytes(info.Size(), name)
		input = io.TeeReader(file, bar)
	}
	return routerlog.Read(input, use, bad)
}

func (l *logCommand) writeSummary(summary routerlog.Summary) error {
	switch l.output {
	case "json":
		return writeJSON(l.out, summary)
	case "html":
		return summary.WriteHTML(l.out)
	}
	return summary.WriteText(l.out)
}

// storyLine is a line of one request.
type storyLine struct {
	routerlog.Line
	text string
}

// writeStory writes the lines of a request in the order of time. Lines of one router keep
// their order.
func (l *logCommand) writeStory(story []storyLine) error {
	if len(story) == 0 {
		return &exitError{code: exitProblems, err: fmt.Errorf("no line has the request %s", l.request)}
	}
	slices.SortStableFunc(story, func(a, b storyLine) int {
		if a.Router == b.Router {
			return 0
		}
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Router, b.Router))
	})
	for _, line := range story {
		if _, err := fmt.Fprintln(l.out, line.text); err != nil {
			return &exitError{code: exitUsage, err: fmt.Errorf("writing: %w", err)}
		}
	}
	return nil
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
