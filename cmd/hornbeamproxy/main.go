// Command hornbeamproxy runs a router that forwards the requests of callers, among
// them chats of many turns, to the endpoints that answer them. It also holds the
// operators' tools.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes of all commands.
const (
	// exitProblems means that the command found problems: an invalid file, a refused
	// note, a guarantee that did not hold, or work left for a person. It is also the
	// exit code of a router that stopped with an error.
	exitProblems = 1
	// exitUsage means that the usage was wrong, that the router or the store could not
	// be reached, or that one of them sent an unexpected response. In the last two cases
	// the router may have accepted a note nevertheless.
	exitUsage = 2
)

// Version is set by the linker.
var Version = "development"

// exitError is an error with the exit code of the process.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func main() {
	app := kingpin.New("hornbeamproxy", "Router between callers and the endpoints that answer them.")
	app.HelpFlag.Short('h')
	app.Terminate(func(code int) {
		if code != 0 {
			code = exitUsage
		}
		os.Exit(code)
	})
	addServeCommand(app)
	addRouterCommand(app)
	addDemoCommand(app)
	addMeasureCommand(app)
	addSettingsCommands(app)
	addNoteCommands(app)
	addReportCommand(app)
	addLogCommand(app)
	addExplainCommand(app)
	addVersionCommand(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "hornbeamproxy:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	if err == nil {
		return 0
	}
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return exitUsage
}

func addVersionCommand(app *kingpin.Application) {
	command := app.Command("version", "Print the version and the commit that it was built from.")
	command.Action(func(*kingpin.ParseContext) error {
		info, _ := debug.ReadBuildInfo()
		_, err := fmt.Println("hornbeamproxy", Version, buildCommit(info))
		return err
	})
}

// buildCommit returns the commit that the program was built from, with a mark if the sources
// differed from it, or "unknown commit".
func buildCommit(info *debug.BuildInfo) string {
	commit, modified := "unknown commit", ""
	if info == nil {
		return commit
	}
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			commit = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = " (modified)"
		}
	}
	return commit + modified
}
