package bounded

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// CheckedTransport is an http.Transport that returns an error in place of a response that HTTP does not allow. net/http accepts some of
// them, and whoever forwards one sends callers an answer that no sound peer gave.
type CheckedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper. After an error, the peer may have run the request.
func (t *CheckedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	x := newExchange()
	resp, err := t.Transport.RoundTrip(req.WithContext(x.trace(req.Context())))
	if err != nil {
		return nil, err
	}
	if err := errors.Join(checkHead(resp), x.checkLines()); err != nil {
		_ = resp.Body.Close() // what is wrong with the response is known
		x.close()
		return nil, err
	}
	return resp, nil
}

// Bounds of the statuses of final responses.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// checkHead returns an error if HTTP does not allow the head of a final response.
func checkHead(resp *http.Response) error {
	if resp.TLS == nil && resp.ProtoMajor != 1 {
		return fmt.Errorf("malformed response: version %q without TLS", resp.Proto)
	}
	if resp.StatusCode < minFinalStatus || resp.StatusCode > maxFinalStatus {
		return fmt.Errorf("malformed response: status %03d is not that of a final response", resp.StatusCode)
	}
	for name := range resp.Header {
		// net/http rejects all other names that are no tokens.
		if strings.Contains(name, " ") {
			return fmt.Errorf("malformed response: header name %.80q", name)
		}
	}
	return nil
}

// KeepRedirects is the CheckRedirect of all clients: a redirect is the answer of the peer that was asked. To follow it would send the request
// elsewhere, with another method, and take an answer from there for the peer's.
func KeepRedirects(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
