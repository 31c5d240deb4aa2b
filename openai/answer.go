package openai

import (
	"bytes"
	"encoding/json"
)

// Usage is what an engine says that an answer cost.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Choice is one completion, whole or in part.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is a text with its role.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Chunk is one event of a stream, or a whole answer.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Server-sent events.
var (
	DataPrefix = []byte("data: ")
	doneMark   = []byte("[DONE]")
)

// Meter counts what passes of an answer.
type Meter struct {
	// Outputs counts the pieces of text; each is at least one token.
	Outputs int64
	// Usage is the engine's own count, once it came.
	Usage *Usage
	// Done says that the end of a stream was seen.
	Done bool
}

// Line takes note of one line of a stream.
func (m *Meter) Line(line []byte) {
	data, ok := bytes.CutPrefix(bytes.TrimSpace(line), bytes.TrimSpace(DataPrefix))
	if !ok {
		return
	}
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, doneMark) {
		m.Done = true
		return
	}
	var c Chunk
	if json.Unmarshal(data, &c) != nil {
		return
	}
	m.chunk(c)
}

// Whole takes note of an answer that is not streamed.
func (m *Meter) Whole(body []byte) {
	var c Chunk
	if json.Unmarshal(body, &c) == nil {
		m.Done = true
		m.chunk(c)
	}
}

func (m *Meter) chunk(c Chunk) {
	for _, ch := range c.Choices {
		if ch.Text != "" || (ch.Delta != nil && ch.Delta.Content != "") || ch.Message != nil {
			m.Outputs++
		}
	}
	if c.Usage != nil {
		m.Usage = c.Usage
	}
}

// Billed returns what the answer costs: the engine's usage where it came, else what
// was seen to pass.
func (m *Meter) Billed() int64 {
	if m.Usage == nil {
		return m.Outputs
	}
	return max(m.Usage.TotalTokens, m.Usage.PromptTokens+m.Usage.CompletionTokens)
}
