// Package bounded limits what this system's clients read of other processes' responses, and what messages take in memory
// together. A faulty peer may send bytes without end, and must not take the memory that the requests of others need. Its
// transport also rejects responses that HTTP does not allow.
package bounded

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

// MaxHeaderBytes limits the status line and headers of a response, together with the informational responses before it.
const MaxHeaderBytes = 32 << 10

// Transport limits the headers of the responses that t reads, and returns a transport that checks them. It changes t.
func Transport(t *http.Transport) *CheckedTransport {
	t.MaxResponseHeaderBytes = MaxHeaderBytes
	if t.DialContext == nil {
		t.DialContext = (&net.Dialer{}).DialContext
		t.ForceAttemptHTTP2 = t.TLSClientConfig == nil // which net/http does if there is no DialContext
	}
	t.DialContext = checkedDialer(t.DialContext)
	return &CheckedTransport{t}
}

// TooLongError is returned for a response, or a part of one, that is longer than its limit.
type TooLongError struct {
	// What names the response, such as the path of the request.
	What string
	// Limit is in bytes.
	Limit int64
}

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("%s: more than %d bytes", e.What, e.Limit)
}

// headerErrorText is part of the error of net/http for headers beyond MaxResponseHeaderBytes, which has no type.
const headerErrorText = "server response headers exceeded"

// IsTooLong reports whether an error is due to a response beyond a limit of this package.
func IsTooLong(err error) bool {
	var tooLong *TooLongError
	return errors.As(err, &tooLong) || err != nil && strings.Contains(err.Error(), headerErrorText)
}

// Reader returns an error of the type *TooLongError once more than the limit was read since the last Reset.
type Reader struct {
	r     io.Reader
	what  string
	limit int64
	left  int64
}

// NewReader returns a reader of r. The limit is in bytes; what names the response in errors.
func NewReader(r io.Reader, limit int64, what string) *Reader {
	return &Reader{r: r, what: what, limit: limit, left: limit}
}

// Reset begins a new message, which may have as many bytes as the limit.
func (r *Reader) Reset() { r.left = r.limit }

// Read implements io.Reader. It takes one byte beyond the limit at most.
func (r *Reader) Read(b []byte) (int, error) {
	if r.left < 0 {
		return 0, &TooLongError{What: r.what, Limit: r.limit}
	}
	if int64(len(b)) > r.left+1 {
		b = b[:r.left+1]
	}
	n, err := r.r.Read(b)
	if r.left -= int64(n); r.left < 0 {
		return n - 1, &TooLongError{What: r.what, Limit: r.limit}
	}
	return n, err
}

// DecodeJSON decodes a JSON document of at most limit bytes; what names it in errors.
func DecodeJSON(r io.Reader, limit int64, what string, out any) error {
	err := json.NewDecoder(NewReader(r, limit, what)).Decode(out)
	if err == nil || IsTooLong(err) {
		return err
	}
	return fmt.Errorf("%s: %w", what, err)
}
