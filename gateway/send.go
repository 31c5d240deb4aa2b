package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/arbutusmill/arbutusmill/bounded"
	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/hop"
	"github.com/arbutusmill/arbutusmill/hosted"
	"github.com/arbutusmill/arbutusmill/platform"
	"github.com/arbutusmill/arbutusmill/pool"
	"github.com/arbutusmill/arbutusmill/serving"
	"github.com/arbutusmill/arbutusmill/settings"
	"github.com/rs/zerolog"
)

const (
	// maxResponseBytes limits a response that is buffered until it is complete.
	maxResponseBytes = 8 << 20
	// freeResponseBytes is the size up to which a response, or an event, does not count for responseMemoryShare.
	freeResponseBytes = 16 << 10
	// responseMemoryShare is the part of the process's memory that larger responses may take together.
	responseMemoryShare = 0.25
)

// newResponseMemory returns the limit on the responses that a process with mib MiB of memory buffers.
func newResponseMemory(mib int) *bounded.Sum {
	return bounded.NewSum(int64(responseMemoryShare * float64(mib<<20)))
}

// upstreams implements serving.Upstreams with the platform's HTTP protocol.
type upstreams struct {
	*pool.Pool
	transport http.RoundTripper
	unread    *unreadHeaders
	// memory limits the responses that are buffered at a time.
	memory  *bounded.Sum
	log     zerolog.Logger
	metrics *gatewayMetrics
}

func newTransport(n hosted.Network, s settings.Upstreams) *bounded.CheckedTransport {
	return bounded.Transport(&http.Transport{
		DialContext:         upstreamDialer(n.DialTimeout(time.Duration(s.DialTimeout))),
		DisableCompression:  true, // callers get the upstream's bytes unchanged
		MaxIdleConnsPerHost: idleConnsPerUpstream,
		IdleConnTimeout:     time.Duration(s.IdleTimeout),
	})
}

// idleConnsPerUpstream limits the idle connections to one upstream, which accepts a few hundred
// connections from all routers together.
const idleConnsPerUpstream = 16

// Send implements serving.Upstreams.
func (u *upstreams) Send(ctx context.Context, r *serving.Request, t serving.Target, out serving.Caller) (a serving.Attempt) {
	x := exchange{request: r, target: t, out: out, callerContext: ctx, now: u.Now, sent: u.Now(), memory: u.memory.Share(freeResponseBytes)}
	defer func() {
		if a.Answer == nil {
			x.memory.Release()
		}
	}()
	ctx, cancel := context.WithDeadline(ctx, t.Deadline)
	defer cancel()
	resp, err := u.roundTrip(ctx, &x)
	if err != nil {
		x.use.end(false)
		a = x.failedAttempt(x.use.connected(), err)
		u.recordTooLong(&x, a)
		return a
	}
	defer resp.Body.Close()
	defer x.use.end(false)
	u.unread.record(r.ID, t.Incarnation.String(), platform.UnreadResponseHeaders(resp.Header))
	a = x.handleResponse(resp)
	u.recordDoubt(&x, resp, a)
	u.recordTooLong(&x, a)
	return a
}

// recordTooLong logs and counts a response that passed a limit.
func (u *upstreams) recordTooLong(x *exchange, a serving.Attempt) {
	if !bounded.IsTooLong(x.err) {
		return
	}
	u.metrics.responseTooLong(x.request.Service.Name)
	u.log.Error().Str("id", x.request.ID).Str("upstream", x.target.Incarnation.String()).Str("address", x.target.Address).
		Stringer("result", a.Result).Int64("memory", u.memory.Held()).Err(x.err).Msg("response_too_long")
}

// errConnsRetired is returned if each connection was retired before the request was written to it.
var errConnsRetired = errors.New("all idle connections were retired")

// roundTrip sends the request and returns the response. If the connection is retired before the request is written to
// it, it takes another one; the upstream cannot have received the request then.
func (u *upstreams) roundTrip(ctx context.Context, x *exchange) (*http.Response, error) {
	for range idleConnsPerUpstream + 1 {
		x.use = connUse{id: x.request.ID}
		resp, err := u.transport.RoundTrip(u.upstreamRequest(x.use.trace(ctx), x.request, x.target, x.out))
		if !x.use.refused {
			return resp, err
		}
		if err == nil {
			_ = resp.Body.Close() // left over from an earlier request
		}
	}
	return nil, errConnsRetired
}

// recordDoubt logs and counts a response that refuses a request, or does not belong to it. With the connection's
// number, a copy of an earlier response can be traced to its original.
func (u *upstreams) recordDoubt(x *exchange, resp *http.Response, a serving.Attempt) {
	info := platform.ReadResponseInfo(resp)
	if info.ID == x.request.ID && !info.NotRun {
		return
	}
	u.metrics.responseDoubted(x.request.Service.Name, a.Result)
	u.log.Info().Str("id", x.request.ID).Str("response_id", abbreviate(info.ID)).Int("status", resp.StatusCode).Bool("says_not_run", info.NotRun).
		Str("upstream", x.target.Incarnation.String()).Str("address", x.target.Address).Uint64("connection", x.use.conn.number).
		Int64("exchange", x.use.exchange).Int64("connection_age_ms", time.Since(x.use.conn.opened).Milliseconds()).
		Stringer("result", a.Result).Msg("response_without_run")
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
		req.Header["User-Agent"] = []string{""} // prevents the client's default value
	}
	return req
}

// exchange is one attempt: the request sent to an upstream and the response to it.
type exchange struct {
	request *serving.Request
	target  serving.Target
	out     serving.Caller
	// callerContext ends when the caller disconnects or the request's deadline passes.
	callerContext context.Context
	use           connUse
	// memory covers what is buffered of the response.
	memory *bounded.Share
	// err is why the response is not valid, if reading it failed.
	err    error
	now    func() time.Time
	sent   time.Time
	events int64
	// firstEvent and lastEvent are the arrival times of the first and the last event.
	firstEvent, lastEvent time.Time
}

func (x *exchange) newAttempt(result serving.Result, format string, args ...any) serving.Attempt {
	a := serving.Attempt{Upstream: x.target.Incarnation, Result: result, Events: x.events, Detail: fmt.Sprintf(format, args...)}
	if !result.NotRun() {
		a.Began = true
		a.Output = x.chargedOutput(result)
	}
	return a
}

// upstreamStopTime is how long an upstream may send events after its connection was closed.
const upstreamStopTime = 500 * time.Millisecond

// chargedOutput returns the output tokens of the run that the caller's team is charged: those that
// arrived, and those that may be in flight if the run did not complete. When callers that
// disconnected early were charged in full, that took up to 8% of what their teams had paid for, and
// later requests were refused for tokens that were never delivered.
func (x *exchange) chargedOutput(result serving.Result) int64 {
	r := x.request
	if r.Service.Engine == nil {
		return r.MaxOutput
	}
	if result == serving.Unknown && x.events == 0 {
		return r.MaxOutput // how much of it ran is unknown
	}
	events := x.events
	if result != serving.Complete {
		events += x.eventsInFlight()
	}
	return min(r.MaxOutput, events*r.Service.Engine.TokensPerEvent)
}

// eventsInFlight estimates how many events the upstream may send after this side closed the
// connection, from the interval of the received ones.
func (x *exchange) eventsInFlight() int64 {
	const minEvents = 1 // one may have crossed the close
	if x.events < 2 {
		return minEvents
	}
	interval := x.lastEvent.Sub(x.firstEvent) / time.Duration(x.events-1)
	return minEvents + int64(upstreamStopTime/max(interval, time.Millisecond))
}

// failedAttempt returns the result of an attempt without a valid response. connected reports whether
// the request got a connection; without one, the upstream cannot have run it.
func (x *exchange) failedAttempt(connected bool, err error) serving.Attempt {
	x.err = err
	if cause := context.Cause(x.callerContext); errors.Is(cause, serving.ErrRecalled) || errors.Is(cause, serving.ErrPostponed) {
		return x.recalledAttempt(connected, errors.Is(cause, serving.ErrPostponed))
	}
	stopping := errors.Is(context.Cause(x.callerContext), serving.ErrStopping)
	switch cause := x.callerContext.Err(); {
	case connected && stopping:
		return x.newAttempt(serving.OutOfTime, "%v", serving.ErrStopping)
	case stopping:
		return x.newAttempt(serving.Unreached, "%v", serving.ErrStopping)
	case !connected && errors.Is(cause, context.Canceled):
		a := x.newAttempt(serving.CallerGone, "before the request was sent")
		a.Began, a.Output = false, 0
		return a
	case !connected:
		return x.newAttempt(serving.Unreached, "%v", err)
	case errors.Is(cause, context.Canceled):
		return x.newAttempt(serving.CallerGone, "while the upstream processed the request")
	case errors.Is(cause, context.DeadlineExceeded):
		return x.newAttempt(serving.OutOfTime, "%v", err)
	}
	a := x.newAttempt(serving.Unknown, "%v", err)
	if !errors.Is(err, context.DeadlineExceeded) {
		a.Break = x.connectionBreak()
	}
	return a
}

// recalledAttempt returns the result of an attempt that was canceled before its response began,
// since upstreams crashed under its prompt.
func (x *exchange) recalledAttempt(connected, retryPermitted bool) serving.Attempt {
	result := serving.Unknown
	if !connected {
		result = serving.Unreached
	}
	a := x.newAttempt(result, "recalled")
	a.Recalled, a.RetryPermitted = true, retryPermitted
	if a.Began && x.request.Service.Engine != nil {
		a.Output = min(x.request.MaxOutput, x.eventsInFlight()*x.request.Service.Engine.TokensPerEvent)
	}
	return a
}

// connectionBreak describes a broken connection.
func (x *exchange) connectionBreak() *serving.Break {
	b := &serving.Break{Address: x.target.Address, Events: x.events, Sent: x.sent}
	if x.events > 0 {
		b.Running = x.now().Sub(x.firstEvent)
	}
	return b
}

// handleResponse forwards a valid response, or returns why it is invalid.
func (x *exchange) handleResponse(resp *http.Response) serving.Attempt {
	info := platform.ReadResponseInfo(resp)
	found, why := judge(x.request.ID, x.use.exchange, resp.StatusCode, info)
	if found != foreign && found != misdirected {
		x.target.Observe(info.Statement)
	}
	switch found {
	case misdirected:
		return x.newAttempt(serving.Misdirected, "another process listens at the address")
	case notRun:
		return x.newAttempt(serving.Declined, "status %d", resp.StatusCode)
	case failed:
		return x.handleFailure(resp)
	case succeeded:
		if x.request.Route.Kind == catalog.Streaming {
			return x.forwardStream(resp)
		}
		return x.forwardComplete(resp)
	}
	return x.newAttempt(serving.Unknown, "%s", why)
}

// handleFailure reads an upstream's failure response.
func (x *exchange) handleFailure(resp *http.Response) serving.Attempt {
	body, err := x.readResponse(resp)
	if err != nil {
		return x.failedAttempt(true, err)
	}
	a := x.newAttempt(serving.Failed, "status %d", resp.StatusCode)
	a.Answer = &serving.Answer{Status: resp.StatusCode, Header: resp.Header, Body: body, Release: x.memory.Release}
	return a
}

// readResponse reads a whole response and releases its connection.
func (x *exchange) readResponse(resp *http.Response) ([]byte, error) {
	body, err := bounded.ReadAll(resp.Body, maxResponseBytes, "response", x.memory)
	x.use.end(err == nil)
	return body, err
}

// forwardComplete buffers a response until it is complete: if the connection breaks, the caller has
// received nothing yet, and the request may be retried where that is allowed.
func (x *exchange) forwardComplete(resp *http.Response) serving.Attempt {
	body, err := x.readResponse(resp)
	if err != nil {
		return x.failedAttempt(true, err)
	}
	x.target.Event(x.now())
	response := serving.Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}
	if err := response.SendTo(x.out); err != nil {
		return x.newAttempt(serving.CallerGone, "%v", err)
	}
	return x.newAttempt(serving.Complete, "")
}

// forwardStream forwards events as they arrive.
func (x *exchange) forwardStream(resp *http.Response) serving.Attempt {
	events := newEventReader(&releasingReader{resp.Body, &x.use})
	events.share = x.memory
	for {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) && x.out.Began() {
			return x.newAttempt(serving.Complete, "")
		}
		if err != nil {
			return x.brokenStream(err)
		}
		x.recordEvent()
		if err := x.forwardEvent(resp, event, id, events.hasMore()); err != nil {
			return x.newAttempt(serving.CallerGone, "%v", err)
		}
	}
}

// recordEvent counts an event and records its arrival time.
func (x *exchange) recordEvent() {
	x.lastEvent = x.now()
	if x.events++; x.events == 1 {
		x.firstEvent = x.lastEvent
	}
	x.target.Event(x.lastEvent)
}

// forwardEvent forwards one event and flushes unless more follow at once. The headers are sent with
// the first event, so that a run that fails earlier can still be retried.
func (x *exchange) forwardEvent(resp *http.Response, event []byte, id string, more bool) error {
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

// brokenStream returns the result of a stream that did not complete.
func (x *exchange) brokenStream(err error) serving.Attempt {
	a := x.failedAttempt(true, err)
	if a.Result == serving.Unknown && x.out.Began() {
		a.Result = serving.Broken
	}
	return a
}

// requestURL returns the upstream's URL with path and query byte for byte as the caller sent them: the opaque part of a URL
// is written unchanged, but for one that begins with two slashes, before which net/http writes the scheme.
func requestURL(address, uri string) *url.URL {
	if !strings.HasPrefix(uri, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: uri}
	}
	path, query, hasQuery := strings.Cut(uri, "?")
	u := &url.URL{Scheme: "http", Host: address, RawPath: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	if unescaped, err := url.PathUnescape(path); err == nil { // else the path is not that of the caller, see canForward
		u.Path = unescaped
	}
	return u
}

// canForward reports whether a request's path and query reach an upstream unchanged.
func canForward(uri string) bool { return requestURL("", uri).RequestURI() == uri }
