package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hornbeamproxy/hornbeamproxy/config"
)

func addSettingsCommands(app *kingpin.Application) {
	parent := app.Command("settings", "Work with settings files.")
	command := parent.Command("check", "List all problems of a settings file.")
	file := command.Arg("file", "Settings file in TOML.").Required().String()
	onPlatform := command.Flag("platform", "The file is for the router command.").Bool()
	output := command.Flag("output", "Output format.").Default("text").Enum("text", "json")
	command.Action(func(*kingpin.ParseContext) error {
		return checkSettings(*file, *onPlatform, *output)
	})
}

// settingsResult is the JSON output of settings check.
type settingsResult struct {
	File     string           `json:"file"`
	OK       bool             `json:"ok"`
	Problems []config.Problem `json:"problems"`
}

// checkSettings prints the problems of a settings file. The file is checked by the rules
// of the router command if onPlatform is set, and else by those of the serve command.
func checkSettings(file string, onPlatform bool, output string) error {
	var err error
	if onPlatform {
		_, err = config.LoadEdge(file)
	} else {
		_, err = config.Load(file)
	}
	var invalid *config.Error
	if err != nil && !errors.As(err, &invalid) {
		return &exitError{code: exitUsage, err: err}
	}
	result := settingsResult{File: file, OK: err == nil, Problems: []config.Problem{}}
	if invalid != nil {
		result.Problems = invalid.Problems
	}
	if printErr := printSettingsResult(result, output); printErr != nil {
		return printErr
	}
	if !result.OK {
		return &exitError{code: exitProblems, err: fmt.Errorf("%d problems in %s", len(result.Problems), file)}
	}
	return nil
}

func printSettingsResult(result settingsResult, output string) error {
	if output == "json" {
		return json.NewEncoder(os.Stdout).Encode(result)
	}
	for _, problem := range result.Problems {
		fmt.Println(problem)
	}
	if result.OK {
		fmt.Println(result.File + ": ok")
	}
	return nil
}
