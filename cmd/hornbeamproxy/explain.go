package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hornbeamproxy/hornbeamproxy/gateway"
	"github.com/hornbeamproxy/hornbeamproxy/platform"
)

const (
	explainTimeout = 5 * time.Second
	// maxExplanation bounds the router's response in bytes: 200 candidates take about 50 KB.
	maxExplanation = 1 << 20
)

// explainCommand holds the flags of the explain command.
type explainCommand struct {
	router, output string
	query          platform.ExplainQuery
	out            io.Writer
}

// addExplainCommand adds the command that asks a router where a request would go.
func addExplainCommand(app *kingpin.Application) { addExplainCommandTo(app, os.Stdout) }

func addExplainCommandTo(app *kingpin.Application, out io.Writer) {
	e := &explainCommand{out: out}
	c := app.Command("explain", "Ask a router where a request would go now and why, without sending it.")
	c.Flag("router", "Metrics listener of the router (IP:PORT).").Required().StringVar(&e.router)
	c.Flag("host", "Host of the request.").Required().StringVar(&e.query.Host)
	c.Flag("path", "Path of the request.").Required().StringVar(&e.query.Path)
	c.Flag("key", "API key; better in the environment, where other users don't see it.").Envar("HORNBEAMPROXY_KEY").StringVar(&e.query.Key)
	c.Flag("model", "Model of the request.").StringVar(&e.query.Model)
	c.Flag("prompt", "Parts of the prompt: ID:TOKENS,... with hexadecimal ids.").StringVar(&e.query.Prompt)
	c.Flag("tokens", "Prompt tokens and the maximum of output tokens: P,O.").StringVar(&e.query.Tokens)
	c.Flag("request", "Id of the request, which decides between endpoints that are equally suitable.").StringVar(&e.query.Request)
	c.Flag("output", "Output format.").Default("text").EnumVar(&e.output, "text", "json")
	c.Action(func(*kingpin.ParseContext) error { return e.run() })
}

func (e *explainCommand) run() error {
	explanation, err := e.ask()
	if err == nil && e.output == "json" {
		err = writeJSON(e.out, explanation)
	} else if err == nil {
		err = writeExplanation(e.out, explanation)
	}
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	return nil
}

// ask gets the explanation from the router.
func (e *explainCommand) ask() (explanation gateway.Explanation, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	request, err := platform.NewExplainRequest(ctx, e.router, e.query)
	if err != nil {
		return explanation, err
	}
	client := http.Client{CheckRedirect: refuseRedirect, Transport: routerTransport}
	response, err := client.Do(request)
	if err != nil {
		return explanation, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return explanation, fmt.Errorf("the router answered %s", response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxExplanation)).Decode(&explanation); err != nil {
		return explanation, fmt.Errorf("decoding the router's response: %w", err)
	}
	return explanation, nil
}

// writeExplanation writes the explanation as text.
func writeExplanation(out io.Writer, e gateway.Explanation) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(name, format string, args ...any) { _, _ = fmt.Fprintf(w, name+"\t"+format+"\n", args...) }
	for _, field := range []struct{ name, value string }{
		{"route", e.Route}, {"workspace", e.Workspace}, {"service", e.Service}, {"refused", string(e.Refused)}, {"chosen", e.Chosen},
	} {
		if field.value != "" {
			line(field.name, "%s", field.value)
		}
	}
	if r := e.Rollout; r != nil {
		line("roll-out", "to %s, %s, share %.2f, stale %v %s", r.Target, r.State, r.Share, r.Stale, r.Reason)
	}
	if r := e.Room; r != nil {
		line("room", "%d of %d slots, share %.2f, %d queued, %s %s, expected wait %.0f ms",
			r.InFlight, r.Slots, r.Share, r.Queued, r.Decision, r.Reason, r.ExpectedWaitMS)
	}
	if err := w.Flush(); err != nil || e.Members == 0 {
		return err
	}
	_, _ = fmt.Fprintf(w, "\n%d of %d endpoints:\n", len(e.Listed), e.Members)
	_, _ = fmt.Fprintln(w, "ENDPOINT\tZONE\tVERSION\tLOAD\tWORK\tSPEED\tEXPECTED\tEXCLUDED")
	for _, c := range e.Listed {
		work, speed, expected, excluded := "-", "-", "-", c.Excluded
		if e.ByWork {
			work, expected = fmt.Sprintf("%.0f ms", c.OutstandingMS), fmt.Sprintf("%.1f ms", c.ExpectedMS)
			speed = strconv.FormatFloat(c.Speed, 'f', 2, 64)
		}
		if c.NoMemory && excluded == "" {
			excluded = "(no memory)"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.0f\t%s\t%s\t%s\t%s\n", c.ID, c.Zone, c.Version, c.Load, work, speed, expected, excluded)
	}
	return w.Flush()
}
