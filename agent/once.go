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

// keptAnswer is the most of an answer that a claim keeps for retries.
const keptAnswer = 64 << 10

// claimTimeout bounds the wait for the store to confirm a claim.
const claimTimeout = 2 * time.Second

// endTimeout bounds the tries to record a claim's end.
const endTimeout = 10 * time.Second

// claimCounts are the claims that this life asked for, by what came of them.
type claimCounts struct{ taken, found, unavailable atomic.Int64 }

func (c *claimCounts) note(mine bool, err error) {
	switch {
	case err != nil:
		c.unavailable.Add(1)
	case mine:
		c.taken.Add(1)
	default:
		c.found.Add(1)
	}
}

// ClaimState is the counts as dumps show them.
type ClaimState struct {
	Taken       int64 `json:"taken"`
	Found       int64 `json:"found_taken"`
	Unavailable int64 `json:"unavailable"`
}

func (c *claimCounts) state() ClaimState {
	return ClaimState{Taken: c.taken.Load(), Found: c.found.Load(), Unavailable: c.unavailable.Load()}
}

// savedAnswer is an answer as a claim keeps it.
type savedAnswer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
	// Cut says that the body was longer than a claim keeps.
	Cut bool `json:"cut,omitempty"`
}

// recorder passes an answer through and keeps a copy for the claim.
type recorder struct {
	next  sink
	saved savedAnswer
	// lost says that the router went away; the copy goes on.
	lost bool
}

func (r *recorder) start(status int, header http.Header) {
	r.saved.Status, r.saved.Header = status, header.Clone()
	r.next.start(status, header)
}

func (r *recorder) write(piece []byte) error {
	room := keptAnswer - len(r.saved.Body)
	r.saved.Cut = r.saved.Cut || len(piece) > room
	r.saved.Body = append(r.saved.Body, piece[:min(len(piece), max(0, room))]...)
	if !r.lost {
		r.lost = r.next.write(piece) != nil
	}
	return nil
}

// once runs a request behind its claim, so that it runs at most once in the whole
// fleet, whatever routers and callers retry.
func (a *Agent) once(ctx context.Context, t *run) *contract.Refusal {
	body, err := readBody(t.r)
	if err != nil {
		return t.finish(contract.Outcome{Kind: contract.BadRequest}, contract.Refuse(contract.BadRequest, "%v", err))
	}
	want := claim.Claim{Owner: a.incarnation, Nonce: a.nonce.Add(1), Digest: digest(t.r, body)}
	take, cancel := context.WithTimeout(ctx, min(claimTimeout, t.work.Timeout()))
	got, mine, err := a.claims.Acquire(take, t.work.ID, want)
	cancel()
	a.claimCounts.note(mine, err)
	if err != nil {
		return t.finish(contract.Outcome{Kind: contract.ClaimUnavailable}, contract.Refuse(contract.ClaimUnavailable, "%v", err))
	}
	if !mine {
		return t.replay(got, want)
	}
	rec := &recorder{next: passThrough{t}}
	o, refusal := t.pass(ctx, rec)
	a.endClaim(t.work.ID, got, o, rec)
	return t.finish(o, refusal)
}

// endClaim records how the run ended. If the store cannot be reached, the claim
// stays started, and retries learn that the outcome is unknown: that is true.
func (a *Agent) endClaim(id string, c claim.Claim, o contract.Outcome, rec *recorder) {
	state := claim.Ended
	switch {
	case o.Kind == contract.NoUpstream:
		state = claim.Withdrawn
	case !o.Whole:
		return
	}
	answer, err := json.Marshal(rec.saved)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	if err := a.claims.End(ctx, id, c, state, answer); err != nil {
		a.log.Warn().Str("id", id).Err(err).Msg("claim end not recorded")
	}
}

// replay answers a request whose claim another run has.
func (t *run) replay(got, want claim.Claim) *contract.Refusal {
	var saved savedAnswer
	switch {
	case got.Digest != want.Digest:
		return t.end(contract.KeyReused, "the idempotency key was used for another request")
	case got.State != claim.Ended:
		return t.end(contract.OutcomeUnknown, "the request was started before and its outcome is not known")
	case json.Unmarshal(got.Answer, &saved) != nil || saved.Cut:
		return t.end(contract.OutcomeUnknown, "the request ran before; its answer was too long to keep")
	}
	s := passThrough{t}
	s.start(saved.Status, saved.Header)
	if err := s.write(saved.Body); err != nil {
		return t.finish(contract.Outcome{Replayed: true, Kind: contract.UpstreamFailed}, nil)
	}
	return t.finish(contract.Outcome{Replayed: true, Whole: true}, nil)
}

func (t *run) end(k contract.Kind, message string) *contract.Refusal {
	return t.finish(contract.Outcome{Kind: k}, contract.Refuse(k, "%s", message))
}

func digest(r *http.Request, body []byte) string {
	d := xxhash.New()
	_, _ = d.WriteString(r.Method + " " + r.URL.RequestURI() + "\n")
	_, _ = d.Write(body)
	return fmt.Sprintf("%016x", d.Sum64())
}

// readBody reads the whole body and puts it back.
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
