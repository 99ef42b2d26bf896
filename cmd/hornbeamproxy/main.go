// Command hornbeamproxy is a router between callers with returning chats and
// the endpoints that answer them, with the tools for its operators.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes of all commands.
const (
	// exitProblems says that the command found problems: a bad file, a note that
	// was refused, a guarantee that did not hold, or work left for a person.
	exitProblems = 1
	// exitUsage says that the usage was wrong or that nothing could be reached. A
	// note may have been accepted all the same.
	exitUsage = 2
)

// Version is set by the linker.
var Version = "development"

// exitError is an error with the exit code that it asks for.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func main() {
	app := kingpin.New("hornbeamproxy", "Router fleet for returning chats.")
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
	command := app.Command("version", "Print the version.")
	command.Action(func(*kingpin.ParseContext) error {
		_, err := fmt.Println("hornbeamproxy", Version)
		return err
	})
}
