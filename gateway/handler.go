package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/arbutusmill/arbutusmill/admission"
	"github.com/arbutusmill/arbutusmill/catalog"
	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/coord/backoff"
	"github.com/arbutusmill/arbutusmill/hop"
	"github.com/arbutusmill/arbutusmill/platform"
	"github.com/arbutusmill/arbutusmill/serving"
)

// defaultWait is the caller's patience when it did not say; routes' time-outs are
// usually shorter.
const defaultWait = 30 * time.Second

// ServeHTTP is the interface for callers. It has no mux: routes are the operators' to
// decide, and a mux would answer unclean paths with redirects of its own.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	call := platform.ReadCall(req.Header)
	v := visit{gateway: g, call: call, arrived: time.Now()}
	if g.stopping.Load() || g.crowded() {
		w.Header().Set("Connection", "close")
	}
	if !g.enter() {
		v.refuse(w, contract.Refuse(contract.Overloaded, "this router is full"))
		return
	}
	defer g.leave()
	refusal := v.understand(req)
	if refusal == nil {
		refusal = v.admit(req)
	}
	if refusal == nil {
		refusal = v.read(w, req)
	}
	if refusal != nil {
		v.refuse(w, refusal)
		return
	}
	v.serve(w, req)
}

// visit is one request of a caller on its way through a gateway.
type visit struct {
	gateway *Gateway
	call    platform.Call
	arrived time.Time
	request *serving.Request
}

// understand finds route, team and limits; it reads no body.
func (v *visit) understand(req *http.Request) *contract.Refusal {
	table := v.gateway.catalog.Load()
	if table == nil {
		return contract.Refuse(contract.NotReady, "no configuration yet")
	}
	if size, limit := sizeOfHeaders(req), v.gateway.callerLimits().HeaderBytes; size > limit {
		return contract.Refuse(contract.HeadersTooLarge, "the headers take %d bytes of %d", size, limit)
	}
	if err := platform.CheckCall(req.Header); err != nil {
		return contract.Refuse(contract.BadRequest, "%v", err)
	}
	path, _, _ := strings.Cut(req.RequestURI, "?")
	route := table.Route(hostOf(req.Host), path)
	if route == nil {
		return contract.Refuse(contract.UnknownPath, "no route for %s", path)
	}
	team := table.Team(v.call.Key)
	if team == nil && table.KeysNeeded() && !route.Public {
		return contract.Refuse(contract.Unauthorized, "the key is not known")
	}
	r := &serving.Request{
		ID:      v.call.ID,
		Route:   route,
		Service: serviceOf(table, route, v.call.ID),
		Version: table.Version,
		Rank:    route.Rank,
		Regions: route.Regions,
		Method:  req.Method,
		URI:     req.RequestURI,
		Host:    req.Host,
		Header:  http.Header{},
		Arrived: v.arrived,
		Deadline:   v.until(route),
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
		r.Prompt, r.MaxOutput = v.call.Prompt, v.call.MaxOutput
		r.Parts, r.LastEvent = v.call.Parts, v.call.LastEvent
		if r.Prepaid > 0 && r.MaxTokens() == 0 {
			return contract.Refuse(contract.BadRequest, "the request does not say how many tokens it may take")
		}
	}
	v.request = r
	return nil
}

// admit turns a request away that no upstream would take, and others while work waits too long
// at this VM, for its link or its processor. It does so before the body is read; the caller's
// retry comes in through another router.
func (v *visit) admit(req *http.Request) *contract.Refusal {
	if !v.gateway.pool.Serves(v.request) {
		refusal := contract.Refuse(contract.NoUpstream, "no upstream of %s takes requests now", v.request.Service.Name)
		refusal.Detail = fmt.Sprintf("emptied data centres %v, allowed regions %v", v.gateway.directory.Drained(), v.request.Regions)
		return refusal
	}
	link, cpu := v.gateway.meter.out.Delay(v.arrived), v.gateway.lag.Delay(v.arrived)
	delay := max(link, cpu)
	if admission.Admit(delay, v.request.Rank, req.ContentLength) {
		return nil
	}
	return contract.Refuse(contract.Overloaded, "this router is behind: link %d ms, processor %d ms",
		link.Milliseconds(), cpu.Milliseconds()).After(backoff.Jitter(delay))
}

func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

func serviceOf(t *catalog.Table, route *catalog.Route, id string) catalog.Service {
	name := route.Target(id)
	if s, ok := t.Services[name]; ok {
		return s
	}
	return catalog.Service{Name: name}
}

// until is when the caller or the route stops waiting, whichever is first.
func (v *visit) until(route *catalog.Route) time.Time {
	wait := defaultWait
	if v.call.Wait > 0 {
		wait = v.call.Wait
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	return v.arrived.Add(wait)
}

// read takes the body, so that it can be sent again and its end is known.
func (v *visit) read(w http.ResponseWriter, req *http.Request) *contract.Refusal {
	if req.ContentLength == 0 {
		return nil
	}
	limits := v.gateway.callerLimits()
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(v.request.Deadline); err != nil {
		return contract.Refuse(contract.Internal, "%v", err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, limits.BodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return contract.Refuse(contract.BodyTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return contract.Refuse(contract.DeadlineTooShort, "the body did not come in time")
	case err != nil:
		return contract.Refuse(contract.BadRequest, "the body could not be read: %v", err)
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		return contract.Refuse(contract.Internal, "%v", err)
	}
	v.request.Body = body
	return nil
}

// serve takes the request through the path.
func (v *visit) serve(w http.ResponseWriter, req *http.Request) {
	g := v.gateway
	out := serving.NewHTTPCaller(w, time.Duration(g.current.Load().Limits.WriteTimeout), v.request.Route.Kind == catalog.Streaming)
	end := g.path.Serve(req.Context(), v.request, out)
	if end.Refusal != nil {
		v.logEnd(end, end.Refusal.Kind.Answer().Status, 0)
		v.answer(w, end.Refusal)
		return
	}
	v.logEnd(end, out.Status(), out.TimeToFirstChunk(v.arrived))
	if end.Truncated {
		// Ending the handler normally would end the body as if that were all;
		// aborting breaks the connection, so that the caller sees the cut.
		panic(http.ErrAbortHandler)
	}
}

// refuse ends a request that never came onto the path.
func (v *visit) refuse(w http.ResponseWriter, refusal *contract.Refusal) {
	a := refusal.Kind.Answer()
	v.gateway.metrics.refused(refusal.Kind)
	v.gateway.Log.Info().Str("id", v.call.ID).Str("kind", string(refusal.Kind)).Int("status", a.Status).
		Str("why", refusal.Message).Str("detail", refusal.Detail).Int64("version", v.gateway.version()).Msg("refused")
	v.answer(w, refusal)
}

func (v *visit) answer(w http.ResponseWriter, refusal *contract.Refusal) {
	platform.SetRefusalID(w.Header(), v.call.ID)
	refusal.Write(w, v.call.ID)
}

// logEnd writes the one line that tells what became of a request, and why.
func (v *visit) logEnd(end serving.Outcome, status int, first time.Duration) {
	g, r := v.gateway, v.request
	took := time.Since(r.Arrived)
	g.metrics.ended(r, end, took)
	line := g.Log.Info().Str("id", r.ID).Str("team", r.Team).Str("route", r.Route.Name).
		Str("service", r.Service.Name).Int64("version", r.Version).Int("status", status).
		Int64("first_ms", first.Milliseconds()).Int64("took_ms", took.Milliseconds()).Int64("left_ms", time.Until(r.Deadline).Milliseconds()).
		Int64("reserved", r.MaxTokens()).Int64("used", end.Used).Bool("cut", end.Truncated)
	line = line.Str("attempts", history(end.Attempts))
	if end.Refusal != nil {
		line = line.Str("kind", string(end.Refusal.Kind)).Str("refusal", end.Refusal.Message).Str("asked", end.Refusal.Detail)
	}
	line.Msg("request")
}

// history tells the attempts of a request in order: upstream, what was expected of it
// (time to the first event, prompt tokens to read), result, the longest pause of a stream
// with what else this router had there then, and why.
func history(attempts []serving.Attempt) string {
	var b strings.Builder
	for i, a := range attempts {
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "%s [%d ms, %d tokens] %s", a.Upstream, a.Cost.Milliseconds(), a.PendingPrefill, a.Result)
		if p := a.Pause; p.Duration > 0 {
			fmt.Fprintf(&b, ", longest pause %d ms beside %d requests with %d unread tokens",
				p.Duration.Milliseconds(), p.ConcurrentLoad.Running, p.ConcurrentLoad.PendingPrefill)
		}
		if a.Detail != "" {
			b.WriteString(" (" + a.Detail + ")")
		}
	}
	return b.String()
}
