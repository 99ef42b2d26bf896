package router

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/placement"
)

// Headers of the API for callers.
const (
	headerChatID    = "Hornbeam-Chat-Id"
	headerDeadline  = "Hornbeam-Deadline-Ms"
	headerStream    = "Hornbeam-Stream"
	headerRequestID = "X-Request-Id"
	headerLastEvent = "Last-Event-ID"
)

// chatBody holds the fields of a chat completion request that routing needs.
type chatBody struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Metadata struct {
		ChatID string `json:"chat_id"`
	} `json:"metadata"`
	Messages []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func parseChatBody(body []byte) (chatBody, error) {
	var parsed chatBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return chatBody{}, &refusal{reason: api.RefusalBadRequest, notRun: true, detail: "the body is not a chat completion request", cause: err}
	}
	if parsed.Model == "" {
		return chatBody{}, &refusal{reason: api.RefusalBadRequest, notRun: true, detail: "the field model is required"}
	}
	if len(parsed.Messages) == 0 {
		return chatBody{}, &refusal{reason: api.RefusalBadRequest, notRun: true, detail: "the field messages is required"}
	}
	return parsed, nil
}

// returning reports whether the conversation already contains an answer.
func (b chatBody) returning() bool {
	for _, message := range b.Messages {
		if message.Role == "assistant" {
			return true
		}
	}
	return false
}

// chatKey returns the chat's placement key, by which placement ranks the endpoints. The key
// is derived from the caller's chat id if there is one, and else from a hash of the opening
// messages, which are the same on every turn of a chat.
func chatKey(workspace string, header http.Header, body chatBody) uint64 {
	if id := header.Get(headerChatID); id != "" {
		return placement.ChatKey(workspace, id)
	}
	if body.Metadata.ChatID != "" {
		return placement.ChatKey(workspace, body.Metadata.ChatID)
	}
	return openingKey(workspace, body)
}

// openingKey returns the placement key for the model and the messages up to and
// including the first user message.
func openingKey(workspace string, body chatBody) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(body.Model)
	for _, message := range body.Messages {
		_, _ = digest.Write([]byte{0})
		_, _ = digest.WriteString(message.Role)
		_, _ = digest.Write(message.Content)
		if message.Role == "user" {
			break
		}
	}
	return placement.ChatKey(workspace, strconv.FormatUint(digest.Sum64(), 16))
}

// requestDeadline returns the deadline that the Hornbeam-Deadline-Ms header sets, but at
// most now+longest. Without the header it returns now+longest. The error for an invalid
// header is a *refusal.
func requestDeadline(now time.Time, header http.Header, longest time.Duration) (time.Time, error) {
	text := header.Get(headerDeadline)
	if text == "" {
		return now.Add(longest), nil
	}
	milliseconds, err := strconv.Atoi(text)
	if err != nil || milliseconds <= 0 {
		return time.Time{}, &refusal{reason: api.RefusalBadRequest, notRun: true, detail: headerDeadline + " must be a positive number of milliseconds"}
	}
	return now.Add(min(time.Duration(milliseconds)*time.Millisecond, longest)), nil
}

// bearerToken returns the token of an Authorization header, or "".
func bearerToken(header http.Header) string {
	token, found := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	if !found {
		return ""
	}
	return token
}
