package gateway

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/arbutusmill/arbutusmill/admission"
	"github.com/arbutusmill/arbutusmill/bounded"
	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/hop"
	"github.com/arbutusmill/arbutusmill/platform"
	"github.com/arbutusmill/arbutusmill/serving"
)

// defaultTimeout is the timeout of requests without one; routes' timeouts are usually shorter.
const defaultTimeout = 30 * time.Second

// ServeHTTP serves callers. It uses no http.ServeMux: operators configure the routes, and a
// ServeMux would answer unclean paths with its own redirects.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	headers := platform.ReadCallerHeaders(req.Header)
	h := requestHandler{gateway: g, headers: headers, arrived: time.Now()}
	if g.closesConnections() {
		w.Header().Set("Connection", "close")
	}
	if !g.beginRequest() {
		h.refuse(w, req, contract.Refuse(contract.Overloaded, "this router is full"))
		return
	}
	defer g.endRequest()
	h.body = g.bodies.Rest(freeBodyBytes)
	defer h.body.Release()
	refusal := h.resolve(req)
	if refusal == nil {
		refusal = h.admit(w, req)
	}
	if refusal == nil {
		refusal = h.readBody(w, req)
	}
	if refusal != nil {
		h.refuse(w, req, g.checkConfirmed(refusal, h.arrived))
		return
	}
	h.serve(w, req)
}

// requestHandler serves one request of a caller.
type requestHandler struct {
	gateway *Gateway
	headers platform.CallerHeaders
	arrived time.Time
	request *serving.Request
	// body is what the request's body takes of the memory for bodies.
	body *bounded.Share
}

// resolve determines the request's route, team and limits from its headers.
func (h *requestHandler) resolve(req *http.Request) *contract.Refusal {
	table := h.gateway.catalog.Load()
	if table == nil {
		return contract.Refuse(contract.NotReady, "no configuration yet")
	}
	if size, limit := headerSize(req), h.gateway.callerLimits().HeaderBytes; size > limit {
		return contract.Refuse(contract.HeadersTooLarge, "the headers take %d bytes of %d", size, limit)
	}
	if err := platform.CheckCallerHeaders(req.Header); err != nil {
		return contract.Refuse(contract.BadRequest, "%v", err)
	}
	if !canForward(req.RequestURI) {
		return contract.Refuse(contract.BadRequest, "the path %q cannot be sent on unchanged", abbreviate(req.RequestURI))
	}
	path, _, _ := strings.Cut(req.RequestURI, "?")
	route := table.Route(hostname(req.Host), path)
	if route == nil {
		return contract.Refuse(contract.UnknownPath, "no route for %s", path)
	}
	team := table.Team(h.headers.Key)
	if team == nil && table.KeysNeeded() && !route.Public {
		return contract.Refuse(contract.Unauthorized, "the key is not known")
	}
	r := &serving.Request{
		ID:       h.headers.ID,
		Route:    route,
		Service:  selectService(table, route, h.headers.ID),
		Version:  table.Version,
		Rank:     route.Rank,
		Regions:  route.Regions,
		Method:   req.Method,
		URI:      req.RequestURI,
		Host:     req.Host,
		Header:   http.Header{},
		Arrived:  h.arrived,
		Deadline: h.deadline(route),
	}
	r.CallerDeadline = h.arrived.Add(h.callerTimeout())
	if route.Kind == catalog.Streaming {
		r.LastEvent, r.Resumes = h.headers.LastEvent, h.headers.Resumes
	}
	hop.CopyHeaders(r.Header, req.Header)
	if team != nil {
		r.Team, r.Prepaid = team.Name, team.Prepaid
		r.Regions = r.Regions.Intersect(team.Regions)
		if team.Rank != nil {
			r.Rank = *team.Rank
		}
	}
	if route.Generative || r.Service.Engine != nil {
		r.Prompt, r.MaxOutput = h.headers.Prompt, h.headers.MaxOutput
		r.Parts = h.headers.Parts
		if team != nil && team.NoTokens {
			return contract.Refuse(contract.BudgetExhausted, "team %s has no tokens", team.Name)
		}
		if r.Prepaid > 0 && r.MaxTokens() == 0 {
			return contract.Refuse(contract.BadRequest, "the request does not say how many tokens it may take")
		}
	}
	if r.ID == "" {
		return contract.Refuse(contract.BadRequest, "the request has no id: the header %s is missing", platform.IDHeader)
	}
	h.request = r
	return nil
}

// admit refuses a request that no upstream would accept, and any request while work waits too
// long for this VM's link or processor. It does so before the body is read; the caller's retry
// reaches another router.
func (h *requestHandler) admit(w http.ResponseWriter, req *http.Request) *contract.Refusal {
	if !h.gateway.pool.Serves(h.request) {
		refusal := contract.Refuse(contract.NoUpstream, "no upstream of %s takes requests now", h.request.Service.Name)
		refusal.Detail = fmt.Sprintf("drained data centres %v, allowed regions %v", h.gateway.directory.Drained(), h.request.Regions)
		return refusal
	}
	link, cpu := h.gateway.meter.outbound.Delay(h.arrived), h.gateway.lag.Delay(h.arrived)
	if refusal := h.sendElsewhere(w); refusal != nil {
		return refusal
	}
	delay := max(link, cpu)
	if admission.Admit(delay, h.request.Rank, req.ContentLength) {
		return nil
	}
	return contract.Refuse(contract.Overloaded, "this router is behind: link %d ms, processor %d ms",
		link.Milliseconds(), cpu.Milliseconds()).WithRetryAfter(backoff.Jitter(delay))
}

func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

func selectService(t *catalog.Table, route *catalog.Route, id string) catalog.Service {
	name := route.Target(id)
	if s, ok := t.Services[name]; ok {
		return s
	}
	return catalog.Service{Name: name}
}

// deadline returns when the timeout of the caller or of the route ends, whichever is first.
func (h *requestHandler) deadline(route *catalog.Route) time.Time {
	timeout := h.callerTimeout()
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	return h.arrived.Add(timeout)
}

// callerTimeout returns how long the caller waits.
func (h *requestHandler) callerTimeout() time.Duration {
	if h.headers.Timeout > 0 {
		return h.headers.Timeout
	}
	return defaultTimeout
}

// serve dispatches the request and writes the response.
func (h *requestHandler) serve(w http.ResponseWriter, req *http.Request) {
	g := h.gateway
	out := serving.NewHTTPCaller(w, time.Duration(g.current.Load().Limits.WriteTimeout), h.request.Route.Kind == catalog.Streaming)
	outcome := g.dispatcher.Serve(req.Context(), h.request, out)
	outcome.Refusal = g.checkConfirmed(outcome.Refusal, h.arrived)
	if outcome.Refusal != nil {
		h.logOutcome(outcome, outcome.Refusal.Kind.Answer().Status, 0)
		h.writeRefusal(w, outcome.Refusal)
		return
	}
	h.logOutcome(outcome, out.Status(), out.TimeToFirstChunk(h.arrived))
	if outcome.Truncated || !out.Began() {
		// A normal return would complete the response: a truncated body would look
		// whole, and without a response net/http sends status 200.
		panic(http.ErrAbortHandler)
	}
}

// refuse logs, counts and answers the refusal of a request that was not dispatched.
func (h *requestHandler) refuse(w http.ResponseWriter, req *http.Request, refusal *contract.Refusal) {
	if err := h.dropBody(w, req); err != nil {
		h.gateway.Log.Debug().Err(err).Msg("caller_connection_ended") // the write of the refusal fails too
	}
	a := refusal.Kind.Answer()
	h.gateway.metrics.refused(refusal.Kind)
	h.gateway.Log.Info().Str("id", h.headers.ID).Str("kind", string(refusal.Kind)).Int("status", a.Status).
		Str("why", refusal.Message).Str("detail", refusal.Detail).Int64("version", h.gateway.configVersion()).
		Int64("configuration_age_ms", h.gateway.configAge(h.arrived).Milliseconds()).Msg("refused")
	h.writeRefusal(w, refusal)
}

func (h *requestHandler) writeRefusal(w http.ResponseWriter, refusal *contract.Refusal) {
	platform.SetRefusalID(w.Header(), h.headers.ID)
	refusal.Write(w, h.headers.ID)
}

// logOutcome writes the request's log line: its outcome and the reasons for it.
func (h *requestHandler) logOutcome(outcome serving.Outcome, status int, timeToFirstChunk time.Duration) {
	g, r := h.gateway, h.request
	duration, left := time.Since(r.Arrived), time.Until(r.Deadline)
	g.metrics.requestEnded(r, outcome, duration)
	line := g.Log.Info().Str("id", r.ID).Str("team", r.Team).Str("route", r.Route.Name).
		Str("service", r.Service.Name).Int64("version", r.Version).Int("status", status).
		Int64("first_ms", timeToFirstChunk.Milliseconds()).Int64("took_ms", duration.Milliseconds()).Int64("left_ms", left.Milliseconds()).
		Int64("reserved", r.MaxTokens()).Int64("used", outcome.Used).Bool("cut", outcome.Truncated)
	if r.Resumes != "" || r.LastEvent != "" {
		line = line.Str("resumes", abbreviate(r.Resumes)).Str("after_event", abbreviate(r.LastEvent))
	}
	if left < 0 {
		line = line.Int64("processor_lag_ms", g.lag.Delay(time.Now()).Milliseconds()).
			Int64("link_lag_ms", g.meter.outbound.Delay(time.Now()).Milliseconds())
	}
	line = logCrossing(line.Str("attempts", formatAttempts(outcome.Attempts)), outcome.Attempts)
	if outcome.Refusal != nil {
		line = line.Str("kind", string(outcome.Refusal.Kind)).Str("refusal", outcome.Refusal.Message).Str("asked", outcome.Refusal.Detail)
	}
	line.Msg("request")
}

// maxLoggedValue bounds the bytes of a caller's value in a log line.
const maxLoggedValue = 64

// abbreviate returns the beginning of a caller's value for the log.
func abbreviate(value string) string { return value[:min(len(value), maxLoggedValue)] }

// formatAttempts describes the attempts of a request in order: upstream and version, the expected time to
// the first event and prompt tokens to prefill, result, the events of a stream, its longest gap with this
// router's load on the upstream at that time, and the detail of the result.
func formatAttempts(attempts []serving.Attempt) string {
	var b strings.Builder
	for i, a := range attempts {
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "%s [%s, %d ms, %d tokens] %s", a.Upstream, cmp.Or(a.Version, "version unknown"), a.Cost.Milliseconds(), a.PendingPrefill, a.Result)
		if gap := a.Gap; gap.Duration > 0 {
			fmt.Fprintf(&b, ", longest pause %d ms beside %d requests with %d unread tokens",
				gap.Duration.Milliseconds(), gap.ConcurrentLoad.Running, gap.ConcurrentLoad.PendingPrefill)
		}
		if a.Events > 0 {
			fmt.Fprintf(&b, ", %d events", a.Events)
		}
		if a.Detail != "" {
			b.WriteString(" (" + a.Detail + ")")
		}
	}
	return b.String()
}
