package router

import (
	"bytes"
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/arbutusmill/arbutusmill/fleet"
	"github.com/arbutusmill/arbutusmill/hop"
	"github.com/arbutusmill/arbutusmill/openai"
	"github.com/arbutusmill/arbutusmill/team"
)

// Headers of callers.
const (
	// idempotencyHeader identifies a request across its retries.
	idempotencyHeader = "Idempotency-Key"
	// taskHeader states the purpose of a request; presets map it to a class.
	taskHeader = "X-Task"
)

// servicePrefix is the path prefix of plain services; the service's name follows.
const servicePrefix = "/services/"

// keyPattern matches valid idempotency keys; they become part of store keys.
var keyPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// job is one request of a caller. The steps of the request path fill it in order:
// identify, parseRequest, reserve, dispatch, settle.
type job struct {
	// identify
	snapshot *fleet.Snapshot
	team     *team.Team
	key      string
	arrived  time.Time
	// revision is a store revision from before the request began.
	revision store.Revision

	// parseRequest
	service     *fleet.Service
	path        string
	body        *replayableBody
	engine      bool
	idempotent  bool
	prefixKey   uint64
	maxTokens   int64
	outputLimit int64
	class       contract.Class

	// reserve
	reservation grant.Reservation
}

// id returns the request's identity, under which it is billed once and claimed once.
func (j *job) id() string { return j.team.Name + "/" + j.key }

// remaining returns the time until the request's deadline.
func (j *job) remaining() time.Duration {
	return time.Duration(j.service.Timeout) - time.Since(j.arrived)
}

// identify determines the request's team and idempotency key.
func (r *Router) identify(req *http.Request) (*job, *contract.Refusal) {
	j := &job{snapshot: r.current.Load(), arrived: time.Now(), revision: r.holder.Revision()}
	if j.snapshot == nil {
		return j, contract.Refuse(contract.NotReady, "no configuration yet")
	}
	key := req.Header.Get(idempotencyHeader)
	if key == "" {
		key = rand.Text()
	}
	j.key = key
	if !keyPattern.MatchString(key) {
		j.key = ""
		return j, contract.Refuse(contract.BadRequest, "%s: 1 to 128 letters, digits, . _ : -", idempotencyHeader)
	}
	secret, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if ok {
		j.team, ok = j.snapshot.Teams.Authenticate(secret)
	}
	if !ok {
		return j, contract.Refuse(contract.Unauthorized, "the key is not known")
	}
	return j, nil
}

// parseRequest determines the service, the body and the maximum cost of the request.
func (r *Router) parseRequest(j *job, w http.ResponseWriter, req *http.Request) *contract.Refusal {
	var refusal *contract.Refusal
	if name, ok := strings.CutPrefix(req.URL.Path, servicePrefix); ok {
		refusal = r.parsePlain(j, w, req, name)
	} else {
		refusal = r.parseEngine(j, w, req)
	}
	if refusal != nil {
		return refusal
	}
	if !j.team.MayUse(j.service.Name) {
		return contract.Refuse(contract.NotAllowed, "team %s may not use %s", j.team.Name, j.service.Name)
	}
	return nil
}

// setService sets the request's service, and its class by the preset.
func (j *job) setService(sv *fleet.Service, req *http.Request) {
	j.service = sv
	j.class = j.snapshot.Preset.Class(j.team.Name, sv.Name, req.Header.Get(taskHeader))
}

func (r *Router) parseEngine(j *job, w http.ResponseWriter, req *http.Request) *contract.Refusal {
	raw, refusal := readAll(w, req, r.base.Settings.Limits.BodyBytes)
	if refusal != nil {
		return refusal
	}
	parsed, refusal := openai.Parse(req.URL.Path, raw)
	if refusal != nil {
		return refusal
	}
	sv, ok := j.snapshot.ByModel(parsed.Model)
	if !ok {
		return contract.Refuse(contract.UnknownModel, "there is no model %q", parsed.Model)
	}
	j.setService(sv, req)
	if err := parsed.SetLimits(sv.MaxOutputTokens, j.class); err != nil {
		return contract.Refuse(contract.BadRequest, "%v", err)
	}
	j.engine, j.idempotent = true, true
	j.path = req.URL.Path
	j.body = newBufferedBody(parsed.Body)
	j.prefixKey = parsed.PrefixKey
	j.outputLimit = parsed.OutputLimit
	j.maxTokens = parsed.PromptBound + parsed.OutputLimit
	return nil
}

func (r *Router) parsePlain(j *job, w http.ResponseWriter, req *http.Request, rest string) *contract.Refusal {
	name, _, _ := strings.Cut(rest, "/")
	sv, ok := j.snapshot.ByName(name)
	if !ok || sv.Kind != fleet.KindPlain {
		return contract.Refuse(contract.UnknownService, "there is no service %q", name)
	}
	j.setService(sv, req)
	j.path = strings.TrimPrefix(req.URL.RequestURI(), servicePrefix+name)
	if !strings.HasPrefix(j.path, "/") {
		j.path = "/" + j.path
	}
	j.idempotent = slices.Contains(sv.IdempotentMethods, req.Method)
	j.maxTokens = sv.PriceTokens
	limited := http.MaxBytesReader(w, req.Body, r.base.Settings.Limits.BodyBytes)
	body, err := bufferBody(limited)
	if err != nil {
		return bodyRefusal(err)
	}
	j.body = body
	return nil
}

func readAll(w http.ResponseWriter, req *http.Request, limit int64) ([]byte, *contract.Refusal) {
	b, err := io.ReadAll(http.MaxBytesReader(w, req.Body, limit))
	if err != nil {
		return nil, bodyRefusal(err)
	}
	return b, nil
}

func bodyRefusal(err error) *contract.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return contract.Refuse(contract.BodyTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	return contract.Refuse(contract.BadRequest, "the body could not be read: %v", err)
}

// replayableBody is a request body that can be sent again if all of it is buffered.
type replayableBody struct {
	head []byte
	rest io.Reader // nil if head is the complete body
	sent bool
}

// maxBufferedBody is the size in bytes from which a body is streamed and cannot be sent again.
const maxBufferedBody = 64 << 10

func newBufferedBody(b []byte) *replayableBody { return &replayableBody{head: b} }

func bufferBody(r io.Reader) (*replayableBody, error) {
	head, err := io.ReadAll(io.LimitReader(r, maxBufferedBody))
	if err != nil {
		return nil, err
	}
	if len(head) < maxBufferedBody {
		return newBufferedBody(head), nil
	}
	return &replayableBody{head: head, rest: r}, nil
}

// canSend reports whether the body can be sent, for the first time or again.
func (b *replayableBody) canSend() bool { return b.rest == nil || !b.sent }

func (b *replayableBody) reader() io.ReadCloser {
	b.sent = true
	if b.rest == nil {
		return hop.OneShot{Reader: bytes.NewReader(b.head)}
	}
	return hop.OneShot{Reader: io.MultiReader(bytes.NewReader(b.head), b.rest)}
}

// length returns the body's size in bytes, or -1 if it is unknown.
func (b *replayableBody) length() int64 {
	if b.rest != nil {
		return -1
	}
	return int64(len(b.head))
}
