package integration_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// chatCall describes a streamed completion.
type chatCall struct {
	workspace int
	chat      string
	// text is appended to the message, so that calls of one chat get different answers.
	text   string
	tokens int
	// turns is the number of turns after which a caller of startCallers begins a
	// new chat; 0 means never.
	turns int
	ctx   context.Context
	// tolerateAborts makes startCallers ignore answers whose connection was aborted
	// without an error event, as happens when a router is killed.
	tolerateAborts bool
	// onEvent is called after each event; it may be nil.
	onEvent func(id int)
}

// event is one event of a stream.
type event struct {
	id   int
	data string
}

// chatResult is what a caller received of a streamed completion.
type chatResult struct {
	router            string
	status            int
	problem           problem
	requestID, handle string
	events            []event
	raw               []byte
	// errorEvent is set when an event of type error arrived.
	errorEvent bool
	// err is set if the connection failed, or if the response could not be decoded.
	err error
	// want is the expected text of the complete answer.
	want string
}

func chatBody(call chatCall) []byte {
	body, err := json.Marshal(map[string]any{
		"model":      standin.SiteModel,
		"stream":     true,
		"max_tokens": call.tokens,
		"messages":   []map[string]string{{"role": "user", "content": "Question of " + call.chat + call.text}},
	})
	if err != nil {
		panic(err) // the values are plain
	}
	return body
}

// chat runs a streamed completion to its end.
func (f *Fleet) chat(r *Router, call chatCall) *chatResult {
	ctx := call.ctx
	if ctx == nil {
		ctx = context.Background()
	}
	body := chatBody(call)
	result := &chatResult{router: r.id}
	result.want, result.err = standin.GeneratedText(body)
	if result.err != nil {
		return result
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.callers+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		result.err = err
		return result
	}
	request.Header.Set("Authorization", "Bearer "+standin.WorkspaceKey(call.workspace))
	request.Header.Set("Hornbeam-Chat-Id", call.chat)
	f.readStream(request, result, call.onEvent)
	return result
}

// resume requests the events of a stream whose ids are above after.
func (f *Fleet) resume(r *Router, workspace int, handle string, after int) *chatResult {
	result := &chatResult{router: r.id}
	request, err := http.NewRequest(http.MethodGet, r.callers+"/v1/streams/"+handle, nil)
	if err != nil {
		result.err = err
		return result
	}
	request.Header.Set("Authorization", "Bearer "+standin.WorkspaceKey(workspace))
	request.Header.Set("Last-Event-ID", strconv.Itoa(after))
	f.readStream(request, result, nil)
	return result
}

func (f *Fleet) readStream(request *http.Request, result *chatResult, onEvent func(int)) {
	// Without GetBody the client does not send a request twice by itself.
	request.GetBody = nil
	response, err := f.client.Do(request)
	if err != nil {
		result.err = err
		return
	}
	defer response.Body.Close()
	result.status = response.StatusCode
	result.requestID = response.Header.Get("X-Request-Id")
	result.handle = response.Header.Get("Hornbeam-Stream")
	if isProblem(response) {
		result.err = json.NewDecoder(response.Body).Decode(&result.problem)
		return
	}
	var raw bytes.Buffer
	result.err = readEvents(io.TeeReader(response.Body, &raw), result, onEvent)
	result.raw = raw.Bytes()
}

func readEvents(body io.Reader, result *chatResult, onEvent func(int)) error {
	lines := bufio.NewReader(body)
	var current event
	for {
		line, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimSuffix(line, "\n")
		switch {
		case line == "":
			if current.id > 0 {
				result.events = append(result.events, current)
				if onEvent != nil {
					onEvent(current.id)
				}
			}
			current = event{}
		case line == "event: error":
			result.errorEvent = true
		case strings.HasPrefix(line, "id: "):
			current.id, err = strconv.Atoi(line[len("id: "):])
			if err != nil {
				return err
			}
		case strings.HasPrefix(line, "data: "):
			current.data = line[len("data: "):]
		}
	}
}

// text returns the text of the events.
func (c *chatResult) text() string {
	var text strings.Builder
	for _, e := range c.events {
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(e.data), &chunk) != nil {
			continue
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return text.String()
}

func (c *chatResult) lastEvent() int {
	if len(c.events) == 0 {
		return 0
	}
	return c.events[len(c.events)-1].id
}

// complete reports whether the answer is complete: contiguous ids from 1, the
// expected text, the end marker last, and a clean end of the connection.
func (c *chatResult) complete() bool {
	if c.status != http.StatusOK || c.err != nil || c.errorEvent || len(c.events) == 0 {
		return false
	}
	for i, e := range c.events {
		if e.id != i+1 || (e.data == "[DONE]") != (i == len(c.events)-1) {
			return false
		}
	}
	return c.text() == c.want
}

// failedVisibly reports whether the caller can tell that the answer is not complete: the
// response is a refusal, or it ends with an error event and an aborted connection. The
// events before the error event must be the start of the expected answer.
func (c *chatResult) failedVisibly() bool {
	if c.status != http.StatusOK {
		return c.problem.Reason != ""
	}
	if c.err == nil || !c.errorEvent {
		return false
	}
	for i, e := range c.events {
		if e.id != i+1 || e.data == "[DONE]" {
			return false
		}
	}
	return strings.HasPrefix(c.want, c.text())
}

func (c *chatResult) String() string {
	return fmt.Sprintf("%s request %s: status %d reason %q events %d last %d error event %t: %v",
		c.router, c.requestID, c.status, c.problem.Reason, len(c.events), c.lastEvent(), c.errorEvent, c.err)
}

// holdCall is a call of the plain service with an idempotency key.
type holdCall struct {
	key string
	// tag identifies the call at the service. It is sent as Accept-Language, which routers
	// forward.
	tag string
	// quantity is added to 1: the call holds 1 + quantity items. A different quantity gives
	// a different body.
	quantity int
}

// holdResult is what a caller received for a hold.
type holdResult struct {
	tag, router string
	sent, ended time.Time
	status      int
	body        string
	replayed    bool
	requestID   string
	problem     problem
	err         error
}

func (f *Fleet) hold(r *Router, call holdCall) *holdResult {
	result := &holdResult{tag: call.tag, router: r.id, sent: time.Now()}
	defer func() { result.ended = time.Now() }()
	body, err := json.Marshal(standin.HoldRequest{Item: "goatskin", Quantity: 1 + call.quantity})
	if err != nil {
		result.err = err
		return result
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	target := r.callers + "/services/" + standin.SiteService + "/holds"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		result.err = err
		return result
	}
	// A client of net/http resends a request with an Idempotency-Key by itself unless
	// its body can't be read again.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+standin.WorkspaceKey(0))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", call.key)
	request.Header.Set("Accept-Language", call.tag)
	response, err := f.client.Do(request)
	if err != nil {
		result.err = err
		return result
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		result.err = err
		return result
	}
	result.status = response.StatusCode
	result.requestID = response.Header.Get("X-Request-Id")
	result.replayed = response.Header.Get("Hornbeam-Replayed") == "true"
	if isProblem(response) {
		result.err = json.Unmarshal(text, &result.problem)
		return result
	}
	result.body = string(text)
	return result
}

func (h *holdResult) String() string {
	return fmt.Sprintf("%s at %s from %s to %s: status %d %s%s not_run %t replayed %t request %s: %v",
		h.tag, h.router, h.sent.Format(time.StampMilli), h.ended.Format(time.StampMilli), h.status, h.body,
		h.problem.Reason, h.problem.NotRun, h.replayed, h.requestID, h.err)
}

// fetchStream reads a stream directly from an engine. It returns nil if the engine doesn't
// keep the stream.
func fetchStream(t *testing.T, f *Fleet, url, id string) []byte {
	t.Helper()
	response, err := f.client.Get(url + "/v1/streams/" + id + "?after=0")
	assert.NilError(t, err)
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil
	}
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return body
}
