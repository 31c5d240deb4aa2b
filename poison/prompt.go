// Package poison detects prompts that crash the engines that run them. Callers and routers retry
// such a prompt, and each crash interrupts all requests that run on the same upstream.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/arbutusmill/arbutusmill/serving"
)

// Prompt identifies the work requested from an upstream, independent of the caller: a caller's
// retry has a new request id but the same prompt. It may also identify a part that prompts share, since a
// part may crash upstreams whatever the rest of the prompt holds.
type Prompt string

// partPrefix begins the identities of parts.
const partPrefix = "part-"

// IsPart reports whether the identity is that of a part.
func (p Prompt) IsPart() bool { return strings.HasPrefix(string(p), partPrefix) }

// identityBytes is the length of an identity, long enough to avoid collisions among billions of
// prompts.
const identityBytes = 12

// Identify returns the identity of a request's prompt: a hash of its parts in order and its output
// limit, or without parts, of its output limit, method, URI and body. Prompts that share all parts
// but the last differ. The service is not included, since a caller's retry may go to another one.
func Identify(r *serving.Request) Prompt {
	h := sha256.New()
	write := func(b []byte) {
		_ = binary.Write(h, binary.BigEndian, int64(len(b))) // a hash never returns an error
		_, _ = h.Write(b)
	}
	_ = binary.Write(h, binary.BigEndian, r.MaxOutput)
	for _, p := range r.Parts {
		write([]byte(p.ID))
		_ = binary.Write(h, binary.BigEndian, p.Tokens)
	}
	if len(r.Parts) == 0 {
		write([]byte(r.Method))
		write([]byte(r.URI))
		write(r.Body) // without a copy: it may be large
	}
	return Prompt(hex.EncodeToString(h.Sum(nil)[:identityBytes]))
}

// IdentifyParts returns the identities of the parts of a request's prompt, each once, without the last part: that
// belongs to the request or its session. A part is the same whatever its number of tokens and the case
// of its id.
func IdentifyParts(r *serving.Request) []Prompt {
	if len(r.Parts) < 2 {
		return nil
	}
	out := make([]Prompt, 0, len(r.Parts)-1)
	for _, part := range r.Parts[:len(r.Parts)-1] {
		if part.ID == "" {
			continue
		}
		sum := sha256.Sum256([]byte(strings.ToLower(part.ID)))
		if p := Prompt(partPrefix + hex.EncodeToString(sum[:identityBytes])); !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}
