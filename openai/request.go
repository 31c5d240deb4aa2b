// Package openai parses and writes the parts of the published OpenAI API that the
// system needs: the maximum cost of a request, and the usage that an answer reports.
package openai

import (
	"encoding/json"
	"strings"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/cespare/xxhash/v2"
)

// Paths of the API.
const (
	ChatPath        = "/v1/chat/completions"
	CompletionsPath = "/v1/completions"
	ModelsPath      = "/v1/models"
)

// Bounds on the tokens of a prompt beyond its text. A token covers at least one
// byte, so the body's length bounds the text; the chat template adds tokens for
// each message and around the prompt. maxChoices bounds the choices of a request.
const (
	tokensPerMessage = 16
	tokensPerPrompt  = 64
	maxChoices       = 8
)

// prefixBytes is the length of the prompt prefix that PrefixKey hashes, by which an
// engine that probably has it cached is chosen.
const prefixBytes = 1024

// Request is a validated request for a completion.
type Request struct {
	Model  string
	Stream bool
	// PromptBound is an upper bound on the prompt's tokens.
	PromptBound int64
	// OutputLimit is the maximum number of output tokens: per choice as requested, 0
	// for none, and after Bind over all choices.
	OutputLimit int64
	// PrefixKey is a hash of the beginning of the conversation.
	PrefixKey uint64
	// Body is the body sent to the engine: after Bind, the caller's request with the
	// output limit, the priority and the option for a usage chunk set.
	Body []byte
}

// body holds the fields of a request that are read; all others are forwarded unchanged.
type body struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	N                   *int64          `json:"n"`
	BestOf              *int64          `json:"best_of"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// streamOptions requests the usage chunk at the end of a stream.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Parse validates a request to the path, and returns a refusal if it is invalid.
func Parse(path string, raw []byte) (*Request, *contract.Refusal) {
	var b body
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, contract.Refuse(contract.BadRequest, "the body is not a JSON object of the API: %v", err)
	}
	if b.Model == "" {
		return nil, contract.Refuse(contract.BadRequest, "model: is missing")
	}
	text, r := b.text(path)
	if r != nil {
		return nil, r
	}
	return &Request{
		Model:       b.Model,
		Stream:      b.Stream,
		PromptBound: int64(len(raw)) + tokensPerPrompt + tokensPerMessage*int64(len(b.Messages)),
		OutputLimit: b.outputLimit(),
		PrefixKey:   xxhash.Sum64String(text[:min(len(text), prefixBytes)]),
		Body:        raw,
	}, b.checkCounts()
}

// text returns the prompt's text, and refuses other content: an image's length in
// bytes does not bound its tokens.
func (b *body) text(path string) (string, *contract.Refusal) {
	if path == CompletionsPath {
		var s string
		if json.Unmarshal(b.Prompt, &s) != nil || s == "" {
			return "", contract.Refuse(contract.BadRequest, "prompt: must be one string")
		}
		return s, nil
	}
	if len(b.Messages) == 0 {
		return "", contract.Refuse(contract.BadRequest, "messages: must not be empty")
	}
	var sb strings.Builder
	for i, m := range b.Messages {
		s, ok := m.text()
		if !ok {
			return "", contract.Refuse(contract.BadRequest, "messages[%d].content: only text is served", i)
		}
		sb.WriteString(m.Role)
		sb.WriteString(s)
	}
	return sb.String(), nil
}

func (m message) text() (string, bool) {
	var s string
	if len(m.Content) == 0 || json.Unmarshal(m.Content, &s) == nil {
		return s, true
	}
	var parts []contentPart
	if json.Unmarshal(m.Content, &parts) != nil {
		return "", false
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", false
		}
		s += p.Text
	}
	return s, true
}

func (b *body) outputLimit() int64 {
	switch {
	case b.MaxCompletionTokens != nil:
		return *b.MaxCompletionTokens
	case b.MaxTokens != nil:
		return *b.MaxTokens
	}
	return 0
}

func (b *body) checkCounts() *contract.Refusal {
	if b.outputLimit() < 0 {
		return contract.Refuse(contract.BadRequest, "max_tokens: must not be negative")
	}
	if b.N != nil && (*b.N < 1 || *b.N > maxChoices) {
		return contract.Refuse(contract.BadRequest, "n: must be from 1 to %d", maxChoices)
	}
	if b.BestOf != nil && *b.BestOf != 1 {
		return contract.Refuse(contract.BadRequest, "best_of: only 1 is served")
	}
	return nil
}

// SetLimits sets the output limit, at most maxOutput tokens, and the priority in the body,
// and requests a usage report. The limit in the body is for one choice; OutputLimit
// becomes the sum over all choices.
func (r *Request) SetLimits(maxOutput int64, class contract.Class) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(r.Body, &fields); err != nil {
		return err
	}
	limit := r.OutputLimit
	if limit == 0 || limit > maxOutput {
		limit = maxOutput
	}
	set := map[string]any{"max_tokens": limit, "priority": int(class)}
	if r.Stream {
		set["stream_options"] = streamOptions{IncludeUsage: true}
	}
	delete(fields, "max_completion_tokens")
	for k, v := range set {
		b, err := json.Marshal(v)
		if err != nil {
			return err
		}
		fields[k] = b
	}
	r.OutputLimit = limit * choiceCount(fields["n"])
	out, err := json.Marshal(fields)
	r.Body = out
	return err
}

func choiceCount(n json.RawMessage) int64 {
	var v int64
	if json.Unmarshal(n, &v) != nil || v < 1 {
		return 1
	}
	return v
}
