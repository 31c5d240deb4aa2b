// Package hop has the HTTP helpers for forwarding a request from one hop to the next:
// caller to router to agent to upstream.
package hop

import (
	"net/http"
	"strings"

	"github.com/arbutusmill/arbutusmill/contract"
)

// hopHeaders apply to one connection only (RFC 9110, 7.6.1) or are internal to the
// system; they are not forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Authorization": true, contract.WorkHeader: true, contract.RefusalHeader: true,
}

// CopyHeaders copies the headers that may be forwarded from one hop to the next. It
// skips those that the Connection header names.
func CopyHeaders(dst, src http.Header) {
	named := map[string]bool{}
	for _, v := range src.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for k, vv := range src {
		if !hopHeaders[k] && !named[k] {
			dst[k] = append([]string(nil), vv...)
		}
	}
}
