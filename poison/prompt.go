// Package poison finds requests that end the upstreams which run them: a prompt that an engine
// crashes on, again and again, as long as its caller and the routers send it once more. Each time
// all that runs beside it is cut.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/arbutusmill/arbutusmill/serving"
)

// Prompt identifies what an upstream is asked to do, whoever asks: the caller's own retry is a
// new request with a new id, but the same prompt.
type Prompt string

// promptBytes is the length of an identity: no two of some billions are alike.
const promptBytes = 12

// Identify returns the identity of a request's prompt: its parts in order and the size of its
// output, or where it has no parts, its method, path and body. Prompts that share all parts but the
// last one differ. The service has no part in it: a caller's retry may go to another one.
func Identify(r *serving.Request) Prompt {
	h := sha256.New()
	text := func(s string) {
		_ = binary.Write(h, binary.BigEndian, int64(len(s))) // a hash takes all
		_, _ = io.WriteString(h, s)
	}
	_ = binary.Write(h, binary.BigEndian, r.MaxOutput)
	for _, p := range r.Parts {
		text(p.ID)
		_ = binary.Write(h, binary.BigEndian, p.Tokens)
	}
	if len(r.Parts) == 0 {
		text(r.Method)
		text(r.URI)
		text(string(r.Body))
	}
	return Prompt(hex.EncodeToString(h.Sum(nil)[:promptBytes]))
}
