package standin

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
)

type completionRequest struct {
	Model        string        `json:"model"`
	Messages     []chatMessage `json:"messages"`
	MaxTokens    int           `json:"max_tokens"`
	Stream       bool          `json:"stream"`
	ContinueFrom string        `json:"continue_from"`
	// after is the id of the last event that the client has received, taken from the
	// header X-Resume-After; 0 means none.
	after int
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text returns the content if it is a string, and otherwise its raw JSON.
func (m chatMessage) text() string {
	var text string
	if json.Unmarshal(m.Content, &text) != nil {
		return string(m.Content)
	}
	return text
}

func (m chatMessage) hash() uint64 { return hashParts(m.Role, m.text()) }

func hashParts(parts ...string) uint64 {
	h := fnv.New64a()
	for _, part := range parts {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(part))))
		_, _ = h.Write([]byte(part))
	}
	return h.Sum64()
}

func (c completionRequest) seed() uint64 {
	parts := []string{c.Model}
	for _, m := range c.Messages {
		parts = append(parts, m.Role, m.text())
	}
	return hashParts(parts...)
}

// token returns the i-th token, counted from 1. One in 16 contains characters that JSON
// escapes.
func token(seed uint64, i int) string {
	h := seed + uint64(i)*0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h ^= h >> 27
	if h%16 == 0 {
		return fmt.Sprintf(" %05x\n\"é\"", h&0xfffff)
	}
	return fmt.Sprintf(" %05x", h&0xfffff)
}

// GeneratedText returns the text that every engine generates for the body of a completion
// request. It returns an error if the body is not valid JSON of that form.
func GeneratedText(body []byte) (string, error) {
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return "", fmt.Errorf("decoding completion request: %w", err)
	}
	setDefault(&c.MaxTokens, defaultMaxTokens)
	return generateText(c.seed(), c.MaxTokens), nil
}

const defaultMaxTokens = 16

func generateText(seed uint64, tokens int) string {
	var text strings.Builder
	for i := 1; i <= tokens; i++ {
		text.WriteString(token(seed, i))
	}
	return text.String()
}

// eventsPerWrite is the largest number of events in one write. It keeps the first events of
// a long response from waiting until all others are encoded.
const eventsPerWrite = 64

func (e *Engine) writeEvents(w http.ResponseWriter, r *http.Request, current *run, seed uint64, after int, faults EngineFaults) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	sent := 0
	var buffer bytes.Buffer
	for next := after + 1; next <= current.lastEvent(); {
		available, ended, changed := e.progress(current)
		buffer.Reset()
		for batch := next + eventsPerWrite; next <= min(available, batch); next++ {
			if faults.CutAfter > 0 && sent >= faults.CutAfter {
				break
			}
			e.appendEvent(&buffer, current, seed, next, faults)
			sent++
		}
		if _, err := w.Write(buffer.Bytes()); err != nil {
			return
		}
		_ = controller.Flush()
		if faults.CutAfter > 0 && sent >= faults.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if next <= available || next > current.lastEvent() {
			continue
		}
		if ended {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) appendEvent(out *bytes.Buffer, r *run, seed uint64, id int, faults EngineFaults) {
	if faults.MissingAt == id || faults.OmitEndMarker && id == r.lastEvent() {
		return
	}
	data := e.eventData(r, seed, id)
	fmt.Fprintf(out, "id: %d\ndata: %s\n\n", id, data)
	if faults.DuplicateAt == id {
		fmt.Fprintf(out, "id: %d\ndata: %s\n\n", id, data)
	}
}

type completionChunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *chunkUsage   `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int           `json:"index"`
	Delta        *chunkDelta   `json:"delta,omitempty"`
	Message      *chunkMessage `json:"message,omitempty"`
	FinishReason *string       `json:"finish_reason"`
}

type chunkDelta struct {
	Content string `json:"content,omitempty"`
}

type chunkMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chunkUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (r *run) usage() *chunkUsage {
	u := &chunkUsage{PromptTokens: r.prompt.total, CompletionTokens: r.request.MaxTokens}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	u.Details.CachedTokens = r.prompt.cached
	return u
}

func (e *Engine) eventData(r *run, seed uint64, id int) []byte {
	if id == r.lastEvent() {
		return []byte("[DONE]")
	}
	chunk := completionChunk{ID: "chatcmpl-" + r.id, Object: "chat.completion.chunk", Model: r.request.Model}
	if id > r.request.MaxTokens {
		reason := "length"
		chunk.Choices = []chunkChoice{{Delta: &chunkDelta{}, FinishReason: &reason}}
		chunk.Usage = r.usage()
	} else {
		chunk.Choices = []chunkChoice{{Delta: &chunkDelta{Content: token(seed, id)}}}
	}
	data, _ := json.Marshal(chunk)
	return data
}

// writeFullResponse writes a non-streamed response after its run has ended. The run is
// cancelled when the client disconnects.
func (e *Engine) writeFullResponse(w http.ResponseWriter, r *http.Request, current *run, seed uint64, faults EngineFaults) {
	for {
		_, ended, changed := e.progress(current)
		if ended {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			current.cancel()
			return
		}
	}
	if available, _, _ := e.progress(current); available < current.lastEvent() {
		panic(http.ErrAbortHandler)
	}
	reason := "length"
	answer := &chunkMessage{Role: "assistant", Content: generateText(seed, current.request.MaxTokens)}
	body, _ := json.Marshal(completionChunk{
		ID: "chatcmpl-" + current.id, Object: "chat.completion", Model: current.request.Model,
		Choices: []chunkChoice{{Message: answer, FinishReason: &reason}},
		Usage:   current.usage(),
	})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if faults.CutAfter > 0 {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}
