package engine

import (
	"encoding/json"
	"strings"
)

// DeliveredText collects the text of a streamed completion that the caller has received.
// Streamer.Continue sends it to another endpoint, which generates the rest. It is not
// safe for concurrent use.
type DeliveredText struct {
	maxBytes int
	text     strings.Builder
	unusable bool
}

// NewDeliveredText returns an empty collector of at most maxBytes of text.
func NewDeliveredText(maxBytes int) *DeliveredText {
	return &DeliveredText{maxBytes: maxBytes}
}

// chunk holds the fields of a chat.completion.chunk that DeliveredText uses.
type chunk struct {
	Choices []struct {
		Index int `json:"index"`
		Delta struct {
			Content   string          `json:"content"`
			ToolCalls json.RawMessage `json:"tool_calls"`
		} `json:"delta"`
	} `json:"choices"`
}

// Add appends the text in the data of one event. If plain text can't represent the event
// (tool calls, a second choice, invalid JSON), or if the text exceeds the bound, the
// completion can't be continued at another endpoint and Text returns false from then on.
func (d *DeliveredText) Add(data []byte) {
	if d.unusable {
		return
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		d.markUnusable()
		return
	}
	for _, choice := range c.Choices {
		tooLong := d.text.Len()+len(choice.Delta.Content) > d.maxBytes
		if choice.Index != 0 || len(choice.Delta.ToolCalls) > 0 || tooLong {
			d.markUnusable()
			return
		}
		d.text.WriteString(choice.Delta.Content)
	}
}

func (d *DeliveredText) markUnusable() {
	d.unusable = true
	d.text.Reset()
}

// Text returns the collected text; ok is false if the completion can't be continued.
func (d *DeliveredText) Text() (text string, ok bool) {
	return d.text.String(), !d.unusable
}
