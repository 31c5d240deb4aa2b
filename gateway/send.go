package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/hop"
	"github.com/arbutusmill/arbutusmill/hosted"
	"github.com/arbutusmill/arbutusmill/platform"
	"github.com/arbutusmill/arbutusmill/pool"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/arbutusmill/arbutusmill/settings"
)

// maxAnswerBytes bounds an answer that is held until it is whole.
const maxAnswerBytes = 8 << 20

// upstreams implements serving.Upstreams in the platform's dialect.
type upstreams struct {
	*pool.Pool
	transport http.RoundTripper
}

func newTransport(n hosted.Network, s settings.Upstreams) *http.Transport {
	return &http.Transport{
		DialContext:         n.Within(time.Duration(s.DialTimeout)),
		DisableCompression:  true, // callers get the upstream's own bytes
		MaxIdleConnsPerHost: idleConnsPerUpstream,
		IdleConnTimeout:     time.Duration(s.IdleTimeout),
	}
}

// idleConnsPerUpstream bounds the kept connections to one upstream, of the few hundred
// that it accepts from all routers.
const idleConnsPerUpstream = 16

// Send implements serving.Upstreams.
func (u *upstreams) Send(ctx context.Context, r *serving.Request, t serving.Target, out serving.Caller) serving.Attempt {
	at := exchange{request: r, target: t, out: out, caller: ctx, now: u.Now}
	ctx, cancel := context.WithDeadline(ctx, t.Deadline)
	defer cancel()
	sent := &hop.Sent{}
	req := u.upstreamRequest(sent.Trace(ctx), r, t, out)
	resp, err := u.transport.RoundTrip(req)
	if err != nil {
		return at.noAnswer(sent.Connected(), err)
	}
	defer resp.Body.Close()
	return at.answer(resp)
}

func (u *upstreams) upstreamRequest(ctx context.Context, r *serving.Request, t serving.Target, out serving.Caller) *http.Request {
	if out.Began() {
		resumed := *r
		resumed.LastEvent = out.LastEvent()
		r = &resumed
	}
	req := (&http.Request{
		Method:        r.Method,
		URL:           requestURL(t.Address, r.URI),
		Host:          r.Host,
		Header:        platform.UpstreamHeader(r, t, u.Now()),
		Body:          hop.OneShot{Reader: bytes.NewReader(r.Body)},
		ContentLength: int64(len(r.Body)),
		ProtoMajor:    1,
		ProtoMinor:    1,
	}).WithContext(ctx)
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = []string{""} // or the client would add its own
	}
	return req
}

// exchange is one send and the answer to it.
type exchange struct {
	request *serving.Request
	target  serving.Target
	out     serving.Caller
	// caller ends when the caller leaves or the request's time is over.
	caller context.Context
	now    func() time.Time
	events int64
	// first and last are when the first and the last event came.
	first, last time.Time
}

func (x *exchange) attempt(result serving.Result, format string, args ...any) serving.Attempt {
	a := serving.Attempt{Upstream: x.target.Life, Result: result, Detail: fmt.Sprintf(format, args...)}
	if !result.NotRun() {
		a.Began = true
		a.Output = x.output(result)
	}
	return a
}

// learnsWithin is the time in which an upstream stops after its connection was closed; it
// may send events until then.
const learnsWithin = 500 * time.Millisecond

// output is the tokens of the run that the caller's team is charged: those that were
// delivered here, and for a run that did not end here, those that may have been on their
// way. Charged in full, callers who left early took up to 8 in 100 of what their teams
// had paid for, and later requests were refused for tokens that nobody got.
func (x *exchange) output(result serving.Result) int64 {
	r := x.request
	if r.Service.Engine == nil {
		return r.MaxOutput
	}
	if result == serving.Unknown && x.events == 0 {
		return r.MaxOutput // whatever it did, nobody can tell
	}
	events := x.events
	if result != serving.Complete {
		events += x.onTheirWay()
	}
	return min(r.MaxOutput, events*r.Service.Engine.TokensPerEvent)
}

// onTheirWay is how many events the upstream may send after this end closed the
// connection, at the pace of those that came.
func (x *exchange) onTheirWay() int64 {
	const least = 1 // one may have crossed the close
	if x.events < 2 {
		return least
	}
	pace := x.last.Sub(x.first) / time.Duration(x.events-1)
	return least + int64(learnsWithin/max(pace, time.Millisecond))
}

// noAnswer is a send without a valid answer.
func (x *exchange) noAnswer(connected bool, err error) serving.Attempt {
	if errors.Is(context.Cause(x.caller), serving.ErrRecalled) {
		return x.recalled(connected)
	}
	switch cause := x.caller.Err(); {
	case !connected && errors.Is(cause, context.Canceled):
		a := x.attempt(serving.CallerGone, "before it was sent")
		a.Began, a.Output = false, 0
		return a
	case !connected:
		return x.attempt(serving.Unreached, "%v", err)
	case errors.Is(cause, context.Canceled):
		return x.attempt(serving.CallerGone, "while the upstream had it")
	case errors.Is(cause, context.DeadlineExceeded):
		return x.attempt(serving.OutOfTime, "%v", err)
	}
	a := x.attempt(serving.Unknown, "%v", err)
	if !errors.Is(err, context.DeadlineExceeded) {
		a.Break = x.brk()
	}
	return a
}

// recalled is a send that was ended before its answer began.
func (x *exchange) recalled(connected bool) serving.Attempt {
	result := serving.Unknown
	if !connected {
		result = serving.Unreached
	}
	a := x.attempt(result, "recalled")
	a.Recalled = true
	return a
}

// brk describes the break of the connection.
func (x *exchange) brk() *serving.Break {
	b := &serving.Break{Address: x.target.Address, Events: x.events}
	if x.events > 0 {
		b.Running = x.now().Sub(x.first)
	}
	return b
}

// answer passes an answer on, or says what is wrong with it.
func (x *exchange) answer(resp *http.Response) serving.Attempt {
	m := platform.ReadMarks(resp.StatusCode, resp.Header)
	if m.ID != x.request.ID && (m.ID != "" || !m.NotRun) {
		// The answer to another request: an upstream may send a second one on
		// a kept connection, where the next answer is expected. What became of
		// this request is not known.
		return x.attempt(serving.Unknown, "answer to request %q", m.ID)
	}
	if !m.Misdirected {
		x.target.Limit(m.Limit, m.LimitError)
	}
	switch {
	case m.Misdirected:
		return x.attempt(serving.Misdirected, "another process answers there")
	case m.NotRun:
		drain(resp)
		return x.attempt(serving.Declined, "status %d", resp.StatusCode)
	case m.Encoded:
		return x.attempt(serving.Unknown, "encoded answer")
	case resp.StatusCode >= 300:
		return x.failure(resp, m)
	case !m.Signed:
		return x.attempt(serving.Unknown, "answer without signature")
	case x.request.Route.Kind == catalog.Streaming:
		return x.stream(resp)
	}
	return x.whole(resp)
}

// drain reads the rest of a short answer, so that its connection can be used again.
func drain(resp *http.Response) {
	const short = 4 << 10
	_, _ = io.CopyN(io.Discard, resp.Body, short) // a longer one costs the connection only
}

// failure reads an upstream's failure. Statuses that promise "not run" without its
// proof are not passed on.
func (x *exchange) failure(resp *http.Response, m platform.Marks) serving.Attempt {
	body, err := readAnswer(resp)
	if err != nil {
		return x.noAnswer(true, err)
	}
	if !m.Signed || promisesNotRun(resp.StatusCode) {
		return x.attempt(serving.Unknown, "status %d without proof", resp.StatusCode)
	}
	a := x.attempt(serving.Failed, "status %d", resp.StatusCode)
	a.Answer = &serving.Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}
	return a
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func readAnswer(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errors.New("the answer is too long")
	}
	return body, err
}

// whole holds an answer until all of it is there: one that breaks off has then not
// begun for the caller, and may be asked for again where that is allowed.
func (x *exchange) whole(resp *http.Response) serving.Attempt {
	body, err := readAnswer(resp)
	if err != nil {
		return x.noAnswer(true, err)
	}
	x.target.Event(x.now())
	answer := serving.Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}
	if err := answer.SendTo(x.out); err != nil {
		return x.attempt(serving.CallerGone, "%v", err)
	}
	return x.attempt(serving.Complete, "")
}

// stream passes events on as they arrive.
func (x *exchange) stream(resp *http.Response) serving.Attempt {
	events := newEventReader(resp.Body)
	for {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) && x.out.Began() {
			return x.attempt(serving.Complete, "")
		}
		if err != nil {
			return x.broken(err)
		}
		x.came()
		if err := x.event(resp, event, id, events.more()); err != nil {
			return x.attempt(serving.CallerGone, "%v", err)
		}
	}
}

// came notes an event.
func (x *exchange) came() {
	x.last = x.now()
	if x.events++; x.events == 1 {
		x.first = x.last
	}
	x.target.Event(x.last)
}

// event passes one event on. The headers go with the first one, so that a run that
// breaks before it leaves nothing behind.
func (x *exchange) event(resp *http.Response, event []byte, id string, more bool) error {
	if !x.out.Began() {
		if err := x.out.Begin(resp.StatusCode, resp.Header); err != nil {
			return err
		}
	}
	if err := x.out.WriteChunk(event); err != nil {
		return err
	}
	if id != "" {
		x.out.SetLastEvent(id)
	}
	if more {
		return nil
	}
	return x.out.Flush()
}

// broken is a stream that stopped.
func (x *exchange) broken(err error) serving.Attempt {
	a := x.noAnswer(true, err)
	if a.Result == serving.Unknown && x.out.Began() {
		a.Result = serving.Broken
	}
	return a
}

// requestURL keeps path and query byte for byte as the caller sent them: the opaque part
// of a URL is written as it is.
func requestURL(address, uri string) *url.URL {
	return &url.URL{Scheme: "http", Host: address, Opaque: uri}
}
