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

// host is where all routes of the local fleet are.
const host = "tides.example"

// question is what a caller asks a router.
type question struct {
	id, path, key string
	// prompt is the tokens of a prompt, 0 for plain calls; topic names what it is about. Prompts of
	// one topic prefer the same engine.
	prompt int64
	topic  string
}

// answer is what the caller got.
type answer struct {
	status int
	body   string
	events int64
	// first is the time to the first event or the whole answer.
	first time.Duration
}

// tokens is what the team is charged for the answer to a prompt.
func (a answer) tokens(q question) int64 { return q.prompt + a.events*tokensPerEvent }

// callerDeadline is how long a caller waits.
const callerDeadline = 5 * time.Second

// ask sends a question to a router and reads the whole answer.
func (v *vm) ask(ctx context.Context, q question) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.callers+q.path, strings.NewReader("tonight?"))
	if err != nil {
		return answer{}, Error.Wrap(err)
	}
	req.Host = host
	req.Header.Set(standin.HeaderID, q.id)
	req.Header.Set(standin.HeaderKey, q.key)
	req.Header.Set(standin.HeaderDeadline, fmt.Sprint(callerDeadline.Milliseconds()))
	if q.prompt > 0 {
		req.Header.Set(standin.HeaderUsage, fmt.Sprintf("%d,%d", q.prompt, mostOutput))
		req.Header.Set(standin.HeaderParts, fmt.Sprintf("%x:%d,%x:%d", q.topic, q.prompt-ownTokens, q.id, ownTokens))
	}
	began := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, Error.Wrap(err)
	}
	defer resp.Body.Close()
	return readAnswer(resp, began)
}

func readAnswer(resp *http.Response, began time.Time) (answer, error) {
	a := answer{status: resp.StatusCode, first: time.Since(began)}
	if resp.Header.Get("Content-Type") != "text/event-stream" {
		body, err := io.ReadAll(resp.Body)
		a.body = string(body)
		return a, Error.Wrap(err)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data:") {
			a.events++
		}
	}
	return a, Error.Wrap(lines.Err())
}
