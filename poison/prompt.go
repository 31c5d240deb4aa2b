// Package poison detects prompts that crash the engines that run them. Callers and routers retry
// such a prompt, and each crash interrupts all requests that run on the same upstream.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/arbutusmill/arbutusmill/serving"
)

// Prompt identifies the work requested from an upstream, independent of the caller: a caller's
// retry has a new request id but the same prompt.
type Prompt string

// identityBytes is the length of an identity, long enough to avoid collisions among billions of
// prompts.
const identityBytes = 12

// Identify returns the identity of a request's prompt: a hash of its parts in order and its output
// limit, or without parts, of its output limit, method, URI and body. Prompts that share all parts
// but the last differ. The service is not included, since a caller's retry may go to another one.
func Identify(r *serving.Request) Prompt {
	h := sha256.New()
	writeText := func(s string) {
		_ = binary.Write(h, binary.BigEndian, int64(len(s))) // a hash never returns an error
		_, _ = io.WriteString(h, s)
	}
	_ = binary.Write(h, binary.BigEndian, r.MaxOutput)
	for _, p := range r.Parts {
		writeText(p.ID)
		_ = binary.Write(h, binary.BigEndian, p.Tokens)
	}
	if len(r.Parts) == 0 {
		writeText(r.Method)
		writeText(r.URI)
		writeText(string(r.Body))
	}
	return Prompt(hex.EncodeToString(h.Sum(nil)[:identityBytes]))
}
