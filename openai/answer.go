package openai

import (
	"bytes"
	"encoding/json"
)

// Usage is the token usage that an engine reports for an answer.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Choice is one completion, or a part of one in a stream.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is a chat message with the role of its author.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Chunk is one event of a stream, or a complete answer that is not streamed.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Field prefix of server-sent events, and the data that ends a stream.
var (
	DataPrefix = []byte("data: ")
	doneMark   = []byte("[DONE]")
)

// Meter counts the tokens of an answer as it is forwarded.
type Meter struct {
	// Outputs counts the pieces of text; each is at least one token.
	Outputs int64
	// Usage is the usage that the engine reported, nil until then.
	Usage *Usage
	// Done reports whether the answer is complete.
	Done bool
}

// RecordLine records one line of a stream.
func (m *Meter) RecordLine(line []byte) {
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

// RecordBody records the body of an answer that is not streamed.
func (m *Meter) RecordBody(body []byte) {
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

// Billed returns the tokens to bill: the engine's usage if it was reported, otherwise
// the pieces of text counted.
func (m *Meter) Billed() int64 {
	if m.Usage == nil {
		return m.Outputs
	}
	return max(m.Usage.TotalTokens, m.Usage.PromptTokens+m.Usage.CompletionTokens)
}
