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
	// idempotencyHeader names a request across its retries.
	idempotencyHeader = "Idempotency-Key"
	// taskHeader says what a request is for; presets give it a class.
	taskHeader = "X-Task"
)

// servicePrefix is the path of plain services; the service's name follows.
const servicePrefix = "/services/"

// keyForm is what an idempotency key looks like; it becomes part of store keys.
var keyForm = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// job is one request of a caller. The steps of the request path fill it in order:
// identify, understand, reserve, dispatch, settle.
type job struct {
	// identify
	snapshot *fleet.Snapshot
	team     *team.Team
	key      string
	arrived  time.Time
	// revision is a store revision from before the request began.
	revision store.Revision

	// understand
	service     *fleet.Service
	path        string
	body        *replayable
	engine      bool
	idempotent  bool
	prefixKey   uint64
	worst       int64
	outputLimit int64
	class       contract.Class

	// reserve
	reservation grant.Reservation
}

// id is the request's identity: it is billed once, and claimed once.
func (j *job) id() string { return j.team.Name + "/" + j.key }

// left is the time that the request still has.
func (j *job) left() time.Duration {
	return time.Duration(j.service.Timeout) - time.Since(j.arrived)
}

// identify finds the team and the request's name.
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
	if !keyForm.MatchString(key) {
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

// understand reads what the caller wants, and what it may cost at most.
func (r *Router) understand(j *job, w http.ResponseWriter, req *http.Request) *contract.Refusal {
	var refusal *contract.Refusal
	if name, ok := strings.CutPrefix(req.URL.Path, servicePrefix); ok {
		refusal = r.understandPlain(j, w, req, name)
	} else {
		refusal = r.understandEngine(j, w, req)
	}
	if refusal != nil {
		return refusal
	}
	if !j.team.May(j.service.Name) {
		return contract.Refuse(contract.NotAllowed, "team %s may not use %s", j.team.Name, j.service.Name)
	}
	return nil
}

// use notes the service that the request is for, and the class that the preset gives it.
func (j *job) use(sv *fleet.Service, req *http.Request) {
	j.service = sv
	j.class = j.snapshot.Preset.Class(j.team.Name, sv.Name, req.Header.Get(taskHeader))
}

func (r *Router) understandEngine(j *job, w http.ResponseWriter, req *http.Request) *contract.Refusal {
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
	j.use(sv, req)
	if err := parsed.Bind(sv.MaxOutputTokens, j.class); err != nil {
		return contract.Refuse(contract.BadRequest, "%v", err)
	}
	j.engine, j.idempotent = true, true
	j.path = req.URL.Path
	j.body = whole(parsed.Body)
	j.prefixKey = parsed.PrefixKey
	j.outputLimit = parsed.OutputLimit
	j.worst = parsed.PromptBound + parsed.OutputLimit
	return nil
}

func (r *Router) understandPlain(j *job, w http.ResponseWriter, req *http.Request, rest string) *contract.Refusal {
	name, _, _ := strings.Cut(rest, "/")
	sv, ok := j.snapshot.ByName(name)
	if !ok || sv.Kind != fleet.KindPlain {
		return contract.Refuse(contract.UnknownService, "there is no service %q", name)
	}
	j.use(sv, req)
	j.path = strings.TrimPrefix(req.URL.RequestURI(), servicePrefix+name)
	if !strings.HasPrefix(j.path, "/") {
		j.path = "/" + j.path
	}
	j.idempotent = slices.Contains(sv.IdempotentMethods, req.Method)
	j.worst = sv.PriceTokens
	limited := http.MaxBytesReader(w, req.Body, r.base.Settings.Limits.BodyBytes)
	body, err := peek(limited)
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

// replayable is a body that can be sent again as long as all of it was kept.
type replayable struct {
	head []byte
	rest io.Reader // nil when head is everything
	sent bool
}

// keptBody is the most of a body that is kept for another try; longer ones stream.
const keptBody = 64 << 10

func whole(b []byte) *replayable { return &replayable{head: b} }

func peek(r io.Reader) (*replayable, error) {
	head, err := io.ReadAll(io.LimitReader(r, keptBody))
	if err != nil {
		return nil, err
	}
	if len(head) < keptBody {
		return whole(head), nil
	}
	return &replayable{head: head, rest: r}, nil
}

// again reports whether the body can be sent (again).
func (b *replayable) again() bool { return b.rest == nil || !b.sent }

func (b *replayable) reader() io.ReadCloser {
	b.sent = true
	if b.rest == nil {
		return hop.OneShot{Reader: bytes.NewReader(b.head)}
	}
	return hop.OneShot{Reader: io.MultiReader(bytes.NewReader(b.head), b.rest)}
}

// length is the body's size, or -1 when it is not known.
func (b *replayable) length() int64 {
	if b.rest != nil {
		return -1
	}
	return int64(len(b.head))
}
