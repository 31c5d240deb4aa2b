package gateway

import (
	"fmt"
	"net/http"

	"github.com/arbutusmill/arbutusmill/platform"
)

// finding is what a response shows about the request that waits for it.
type finding int

const (
	// foreign means that the response may belong to another request.
	foreign finding = iota
	// unproven means that the upstream answered the request, but not with a valid response: it may have run.
	unproven
	// misdirected means that another incarnation than the expected one listens; it did not run the request.
	misdirected
	// notRun means that the upstream refused the request and did not run it.
	notRun
	// failed and succeeded mean that the upstream ran the request. Its body is not read yet.
	failed
	succeeded
)

// judge returns what a response shows about the request with an id, and why if that request may have run. exchange is the
// request's place on its connection, from 1. judge alone decides which responses of upstreams are believed.
//
// Upstreams may send a response again, late, where the next one is expected. The id shows to which request a response
// belongs, but not to which of its attempts. So no response counts without the id, but for a refusal as the first response
// on its connection, and a connection is used again only after the whole response of a run (see connUse.end): no refusal
// precedes on a connection any response that is judged here, so a refusal is never a copy.
func judge(id string, exchange int64, status int, info platform.ResponseInfo) (f finding, why string) {
	nothingPrecedes := info.ID == "" && info.NotRun && exchange == 1
	switch {
	case info.Mixed:
		return foreign, "head of more than one response"
	case info.ID != id && !nothingPrecedes:
		return foreign, fmt.Sprintf("response to request %q", abbreviate(info.ID))
	case info.Misdirected:
		return misdirected, ""
	case info.NotRun:
		return notRun, ""
	case info.Encoded:
		return unproven, "encoded response"
	case !info.Signed:
		return unproven, fmt.Sprintf("status %d without signature", status)
	case impliesNotRun(status):
		return unproven, fmt.Sprintf("status %d without the statement that the request was not run", status)
	case status >= http.StatusMultipleChoices:
		return failed, ""
	}
	return succeeded, ""
}

// impliesNotRun reports whether a status promises callers that their request was not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
