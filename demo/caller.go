package demo

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/hornbeamproxy/hornbeamproxy/localfleet"
	"github.com/hornbeamproxy/hornbeamproxy/standin"
)

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatRequest is the body of a chat completion request.
type chatRequest struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

// chat holds the messages of a chat so far. The next request contains all of them.
type chat struct {
	id       string
	key      string // API key of the workspace
	messages []message
}

var errIncomplete = errors.New("response stream ended without [DONE]")

// sendTurn sends the next user message to a router, checks that the streamed answer is
// exactly the expected text, and adds the answer to the chat.
func sendTurn(f *localfleet.Fleet, c *chat, router *localfleet.Router, text string, tokens int) error {
	c.messages = append(c.messages, message{Role: "user", Content: text})
	body, err := json.Marshal(chatRequest{Model: standin.SiteModel, Stream: true, MaxTokens: tokens, Messages: c.messages})
	if err != nil {
		return err
	}
	got, err := streamCompletion(f, router, c.key, c.id, body)
	if err != nil {
		return err
	}
	want, err := standin.GeneratedText(body)
	if err != nil {
		return err
	}
	if got != want {
		return fmt.Errorf("answer of %d bytes differs from the expected %d bytes", len(got), len(want))
	}
	c.messages = append(c.messages, message{Role: "assistant", Content: got})
	return nil
}

// streamCompletion sends a streamed completion request and returns the generated text.
func streamCompletion(f *localfleet.Fleet, router *localfleet.Router, key, chat string, body []byte) (string, error) {
	request, err := http.NewRequest(http.MethodPost, router.CallersURL+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Hornbeam-Chat-Id", chat)
	response, err := f.Client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return "", fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	return readAnswer(response.Body)
}

// readAnswer returns the text of a stream, or an error if it has no end marker.
func readAnswer(body io.Reader) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return "", fmt.Errorf("decoding chunk %q: %w", data, err)
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	if err := lines.Err(); err != nil {
		return "", err
	}
	return "", errIncomplete
}

// holdResult is the response to a hold.
type holdResult struct {
	status   int
	replayed bool // whether the router returned the recorded outcome of an earlier run
	body     string
}

// sendHold sends a hold of one item to the plain service, with the API key of a workspace
// and an idempotency key.
func sendHold(f *localfleet.Fleet, router *localfleet.Router, key, idempotencyKey string) (holdResult, error) {
	body, err := json.Marshal(standin.HoldRequest{Item: "goatskin", Quantity: 1})
	if err != nil {
		return holdResult{}, err
	}
	target := router.CallersURL + "/services/" + standin.SiteService + "/holds"
	request, err := http.NewRequest(http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return holdResult{}, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", idempotencyKey)
	response, err := f.Client.Do(request)
	if err != nil {
		return holdResult{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return holdResult{}, err
	}
	return holdResult{
		status:   response.StatusCode,
		replayed: response.Header.Get("Hornbeam-Replayed") == "true",
		body:     string(text),
	}, nil
}
