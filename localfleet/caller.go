package localfleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/arbutusmill/arbutusmill/platform/standin"
)

// host is the host name of all routes of the local fleet.
const host = "tides.example"

// request is a caller's request to a router.
type request struct {
	id, path, key string
	// promptTokens is the number of prompt tokens, 0 for plain requests. Prompts of one topic share
	// all but uniqueTokens of them and prefer the same engine.
	promptTokens int64
	topic        string
}

// response is the response as the caller received it.
type response struct {
	status int
	body   string
	events int64
	// latency is the time to the first event or to a plain response.
	latency time.Duration
}

// chargedTokens returns the tokens that the team is charged for the response to a prompt.
func (r response) chargedTokens(req request) int64 { return req.promptTokens + r.events*tokensPerEvent }

// callerDeadline is the deadline of a caller's request.
const callerDeadline = 5 * time.Second

// send sends a request to a router and reads the complete response.
func (v *vm) send(ctx context.Context, r request) (response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.callers+r.path, strings.NewReader("tonight?"))
	if err != nil {
		return response{}, Error.Wrap(err)
	}
	req.Host = host
	req.Header.Set(standin.HeaderID, r.id)
	req.Header.Set(standin.HeaderKey, r.key)
	req.Header.Set(standin.HeaderDeadline, fmt.Sprint(callerDeadline.Milliseconds()))
	if r.promptTokens > 0 {
		req.Header.Set(standin.HeaderUsage, fmt.Sprintf("%d,%d", r.promptTokens, maxOutput))
		req.Header.Set(standin.HeaderParts, fmt.Sprintf("%x:%d,%x:%d", r.topic, r.promptTokens-uniqueTokens, r.id, uniqueTokens))
	}
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, Error.Wrap(err)
	}
	defer resp.Body.Close()
	return readResponse(resp, start)
}

func readResponse(resp *http.Response, start time.Time) (response, error) {
	r := response{status: resp.StatusCode, latency: time.Since(start)}
	if resp.Header.Get("Content-Type") != "text/event-stream" {
		body, err := io.ReadAll(resp.Body)
		r.body = string(body)
		return r, Error.Wrap(err)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data:") {
			r.events++
		}
	}
	return r, Error.Wrap(lines.Err())
}
