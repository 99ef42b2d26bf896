package measure

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

// chat holds the messages of a chat so far. The next request contains all of them.
type chat struct {
	workspace int
	id        string
	turns     int // number of user messages so far
	body      chatBody
}

// question is the text of each user message, about 50 tokens as standin.Engine counts them.
var question = strings.Repeat("Which hides are left? ", 9)

func newChat(workspace int, id string, answerTokens int) *chat {
	c := &chat{workspace: workspace, id: id}
	c.body = chatBody{Model: standin.SiteModel, Stream: true, MaxTokens: answerTokens}
	c.addQuestion()
	return c
}

// addQuestion adds the next user message, which differs between chats.
func (c *chat) addQuestion() {
	c.turns++
	text := fmt.Sprintf("%s %d: %s", c.id, c.turns, question)
	c.body.Messages = append(c.body.Messages, message{"user", text})
}

// addAnswer adds an answer and the next user message.
func (c *chat) addAnswer(text string) {
	c.body.Messages = append(c.body.Messages, message{"assistant", text})
	c.addQuestion()
}

// answer is the result of one turn. If err is set, the other fields have no meaning.
type answer struct {
	text string
	// firstByte is the time from sending the request to the first byte of the response
	// body.
	firstByte time.Duration
	// prompt and cached are the numbers of prompt tokens and cached prompt tokens that
	// the engine reports.
	prompt, cached int
	err            error
}

var errIncomplete = errors.New("response stream ended without [DONE]")

// send sends one turn of a chat to the base URL of a router or an engine.
func (b *bench) send(ctx context.Context, base string, c *chat) answer {
	body, err := json.Marshal(c.body)
	if err != nil {
		return answer{err: err}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+standin.WorkspaceKey(c.workspace))
	request.Header.Set("Hornbeam-Chat-Id", c.id)
	request.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d", c.id, c.turns))
	started := time.Now()
	response, err := b.Client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return answer{err: fmt.Errorf("status %d: %s", response.StatusCode, text)}
	}
	return readAnswer(response.Body, started)
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens int `json:"prompt_tokens"`
		Details      struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// readAnswer reads a stream up to its end marker. It takes firstByte from the body and not
// from the header, because an engine sends the header before the first token.
func readAnswer(body io.Reader, started time.Time) answer {
	var a answer
	var text strings.Builder
	reader := bufio.NewReader(body)
	if _, err := reader.Peek(1); err != nil {
		return answer{err: err}
	}
	a.firstByte = time.Since(started)
	lines := bufio.NewScanner(reader)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			_, _ = io.Copy(io.Discard, reader) // so that the connection can be reused
			a.text = text.String()
			return a
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return answer{err: fmt.Errorf("decoding chunk %q: %w", data, err)}
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
		if c.Usage != nil {
			a.prompt, a.cached = c.Usage.PromptTokens, c.Usage.Details.CachedTokens
		}
	}
	return answer{err: errors.Join(errIncomplete, lines.Err())}
}

// promptTokens counts tokens as standin.Engine does: four for each message and one for
// every four bytes of its text.
func promptTokens(messages []message) int {
	sum := 0
	for _, m := range messages {
		sum += 4 + len(m.Content)/4
	}
	return sum
}
