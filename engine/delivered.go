package engine

import (
	"encoding/json"
	"strings"
)

// Delivered collects the text of the chunks that a caller has received, for
// Continue.
type Delivered struct {
	maxBytes int
	text     strings.Builder
	unusable bool
}

// NewDelivered returns an empty collector of at most maxBytes.
func NewDelivered(maxBytes int) *Delivered {
	return &Delivered{maxBytes: maxBytes}
}

type chunk struct {
	Choices []struct {
		Index int `json:"index"`
		Delta struct {
			Content   string          `json:"content"`
			ToolCalls json.RawMessage `json:"tool_calls"`
		} `json:"delta"`
	} `json:"choices"`
}

// Add records the data of one event. A chunk that plain text can't represent (tool
// calls, a second choice, no JSON) or text beyond the bound makes the answer
// impossible to continue.
func (d *Delivered) Add(data []byte) {
	if d.unusable {
		return
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		d.drop()
		return
	}
	for _, choice := range c.Choices {
		tooLong := d.text.Len()+len(choice.Delta.Content) > d.maxBytes
		if choice.Index != 0 || len(choice.Delta.ToolCalls) > 0 || tooLong {
			d.drop()
			return
		}
		d.text.WriteString(choice.Delta.Content)
	}
}

func (d *Delivered) drop() {
	d.unusable = true
	d.text.Reset()
}

// Text returns the collected text; ok is false if the answer can't be continued.
func (d *Delivered) Text() (text string, ok bool) {
	return d.text.String(), !d.unusable
}
