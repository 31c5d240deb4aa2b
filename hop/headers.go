// Package hop has what both hops of a request need: caller to router to agent to
// upstream.
package hop

import (
	"net/http"
	"strings"

	"github.com/arbutusmill/arbutusmill/contract"
)

// hopHeaders are meant for one connection only (RFC 9110, 7.6.1), or are the
// system's own; they are not passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Authorization", contract.WorkHeader, contract.RefusalHeader,
}

// CopyHeaders copies what may be passed on from one hop to the next.
func CopyHeaders(dst, src http.Header) {
	drop := map[string]bool{}
	for _, h := range hopHeaders {
		drop[h] = true
	}
	for _, v := range src.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			drop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for k, vv := range src {
		if !drop[k] {
			dst[k] = append([]string(nil), vv...)
		}
	}
}
