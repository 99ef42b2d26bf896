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
	command := parent.Command("check", "List all mistakes of a settings file.")
	file := command.Arg("file", "Settings file in TOML.").Required().String()
	output := command.Flag("output", "Output format.").Default("text").Enum("text", "json")
	command.Action(func(*kingpin.ParseContext) error {
		return checkSettings(*file, *output)
	})
}

// settingsResult is the JSON output of settings check.
type settingsResult struct {
	File     string           `json:"file"`
	OK       bool             `json:"ok"`
	Problems []config.Problem `json:"problems"`
}

func checkSettings(file, output string) error {
	_, err := config.Load(file)
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
