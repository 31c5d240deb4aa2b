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
var hopHeaders = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Authorization": true, contract.WorkHeader: true, contract.RefusalHeader: true,
}

// CopyHeaders copies what may be passed on from one hop to the next.
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
