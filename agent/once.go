package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/coord/claim"
	"github.com/cespare/xxhash/v2"
)

// maxSavedBody is the maximum size in bytes of a response body that a claim keeps for retries.
const maxSavedBody = 64 << 10

// claimTimeout bounds the wait for the store to confirm a claim.
const claimTimeout = 2 * time.Second

// claimEndTimeout bounds the attempts to record a claim's end.
const claimEndTimeout = 10 * time.Second

// claimCounts counts the claims requested by this incarnation, by result.
type claimCounts struct{ acquired, existing, unavailable atomic.Int64 }

func (c *claimCounts) record(acquired bool, err error) {
	switch {
	case err != nil:
		c.unavailable.Add(1)
	case acquired:
		c.acquired.Add(1)
	default:
		c.existing.Add(1)
	}
}

// ClaimState has the numbers of claims by result, for debug dumps.
type ClaimState struct {
	Acquired       int64 `json:"taken"`
	AlreadyClaimed int64 `json:"found_taken"`
	Unavailable    int64 `json:"unavailable"`
}

func (c *claimCounts) state() ClaimState {
	return ClaimState{Acquired: c.acquired.Load(), AlreadyClaimed: c.existing.Load(), Unavailable: c.unavailable.Load()}
}

// savedResponse is a response as stored in a claim.
type savedResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
	// Truncated reports whether the body was longer than maxSavedBody.
	Truncated bool `json:"cut,omitempty"`
}

// recorder forwards a response and keeps a copy for the claim.
type recorder struct {
	next  sink
	saved savedResponse
	// routerGone reports whether the router disconnected; recording continues.
	routerGone bool
}

func (r *recorder) start(status int, header http.Header) {
	r.saved.Status, r.saved.Header = status, header.Clone()
	r.next.start(status, header)
}

func (r *recorder) write(chunk []byte) error {
	free := maxSavedBody - len(r.saved.Body)
	r.saved.Truncated = r.saved.Truncated || len(chunk) > free
	r.saved.Body = append(r.saved.Body, chunk[:min(len(chunk), max(0, free))]...)
	if !r.routerGone {
		r.routerGone = r.next.write(chunk) != nil
	}
	return nil
}

// runOnce runs a request under its claim, so that it runs at most once in the whole fleet,
// whatever routers and callers retry.
func (a *Agent) runOnce(ctx context.Context, t *run) *contract.Refusal {
	body, err := readBody(t.r)
	if err != nil {
		return t.finish(contract.Outcome{Kind: contract.BadRequest}, contract.Refuse(contract.BadRequest, "%v", err))
	}
	want := claim.Claim{Owner: a.incarnation, Nonce: a.nonce.Add(1), Digest: requestDigest(t.r, body)}
	acquireCtx, cancel := context.WithTimeout(ctx, min(claimTimeout, t.work.Timeout()))
	got, acquired, err := a.claims.Acquire(acquireCtx, t.work.ID, want)
	cancel()
	a.claimCounts.record(acquired, err)
	if err != nil {
		return t.finish(contract.Outcome{Kind: contract.ClaimUnavailable}, contract.Refuse(contract.ClaimUnavailable, "%v", err))
	}
	if !acquired {
		return t.replay(got, want)
	}
	rec := &recorder{next: routerSink{t}}
	o, refusal := t.forward(ctx, rec)
	a.endClaim(t.work.ID, got, o, rec)
	return t.finish(o, refusal)
}

// endClaim records how the run ended. If the store is unreachable, the claim stays
// started, and retries receive OutcomeUnknown, which is correct.
func (a *Agent) endClaim(id string, c claim.Claim, o contract.Outcome, rec *recorder) {
	state := claim.Ended
	switch {
	case o.Kind == contract.NoUpstream:
		state = claim.Withdrawn
	case !o.Complete:
		return
	}
	answer, err := json.Marshal(rec.saved)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimEndTimeout)
	defer cancel()
	if err := a.claims.End(ctx, id, c, state, answer); err != nil {
		a.log.Warn().Str("id", id).Err(err).Msg("claim end not recorded")
	}
}

// replay responds to a request whose claim belongs to another run.
func (t *run) replay(got, want claim.Claim) *contract.Refusal {
	var saved savedResponse
	switch {
	case got.Digest != want.Digest:
		return t.finishRefused(contract.KeyReused, "the idempotency key was used for another request")
	case got.State != claim.Ended:
		return t.finishRefused(contract.OutcomeUnknown, "the request was started before and its outcome is not known")
	case json.Unmarshal(got.Answer, &saved) != nil || saved.Truncated:
		return t.finishRefused(contract.OutcomeUnknown, "the request ran before; its answer was too long to keep")
	}
	s := routerSink{t}
	s.start(saved.Status, saved.Header)
	if err := s.write(saved.Body); err != nil {
		return t.finish(contract.Outcome{Replayed: true, Kind: contract.UpstreamFailed}, nil)
	}
	return t.finish(contract.Outcome{Replayed: true, Complete: true}, nil)
}

func (t *run) finishRefused(k contract.Kind, message string) *contract.Refusal {
	return t.finish(contract.Outcome{Kind: k}, contract.Refuse(k, "%s", message))
}

func requestDigest(r *http.Request, body []byte) string {
	d := xxhash.New()
	_, _ = d.WriteString(r.Method + " " + r.URL.RequestURI() + "\n")
	_, _ = d.Write(body)
	return fmt.Sprintf("%016x", d.Sum64())
}

// readBody reads the whole body and makes it readable again.
func readBody(r *http.Request) ([]byte, error) {
	var b bytes.Buffer
	if _, err := b.ReadFrom(http.MaxBytesReader(nil, r.Body, maxAnswer)); err != nil {
		return nil, err
	}
	r.Body = &replayBody{bytes.NewReader(b.Bytes())}
	return b.Bytes(), nil
}

type replayBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (*replayBody) Close() error { return nil }
