package routerlog

import (
	"encoding/json"
	"errors"
	"time"
)

// Messages of the lines that the summary counts.
const (
	messageStarted       = "router started"
	messageStopped       = "stopped"
	messageRefused       = "refused"
	messageAborted       = "response aborted"
	messageEjected       = "endpoint ejected"
	messageExited        = "endpoint exited with requests in flight"
	messageStoreDown     = "store unavailable"
	messageStoreUp       = "store available again"
	messageZoneDoubted   = "zone suspected unreachable"
	messagePanic         = "panic while handling input"
	messageRouterRemoved = "registration of a dead router removed"
)

var errNoLine = errors.New("routerlog: not a line of a router")

// Line holds the fields of one line that the summary uses. Absent fields are zero.
type Line struct {
	At         time.Time `json:"ts"`
	Level      string    `json:"level"`
	Message    string    `json:"msg"`
	Router     string    `json:"router"`
	Zone       string    `json:"zone"`
	Request    string    `json:"request"`
	Reason     string    `json:"reason"`
	Service    string    `json:"service"`
	Workspace  string    `json:"workspace"`
	Kind       string    `json:"kind"`
	Endpoint   string    `json:"endpoint"`
	Status     int       `json:"status"`
	MayHaveRun bool      `json:"may_have_run"`
	Age        float64   `json:"age"` // of the request, in seconds
}

// parseLine parses one line. It fails if the line is not a JSON object with a time and a
// message.
func parseLine(text []byte) (Line, error) {
	var line Line
	if err := json.Unmarshal(text, &line); err != nil {
		return Line{}, err
	}
	if line.At.IsZero() || line.Message == "" {
		return Line{}, errNoLine
	}
	return line, nil
}

// outcome is what a line says of a request.
type outcome string

const (
	outcomeNotRun  outcome = "refused, has not run"
	outcomeUnknown outcome = "outcome unknown"
	outcomeBroken  outcome = "answer broken or lost"
)

// requestOutcome returns what the line says of the end of a request, and false if it is not
// about that.
func (l Line) requestOutcome() (outcome, bool) {
	switch {
	case l.Message == messageAborted:
		return outcomeBroken, true
	case l.Message != messageRefused:
		return "", false
	case !l.MayHaveRun:
		return outcomeNotRun, true
	case l.Kind == "unsafe":
		return outcomeUnknown, true
	}
	return outcomeBroken, true
}
