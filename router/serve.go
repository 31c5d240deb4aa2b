package router

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/coord/grant"
	"github.com/arbutusmill/arbutusmill/coord/ledger"
	"github.com/arbutusmill/arbutusmill/openai"
)

// Handler returns the HTTP handler for callers.
func (r *Router) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+openai.ChatPath, r.serve)
	mux.HandleFunc("POST "+openai.CompletionsPath, r.serve)
	mux.HandleFunc("GET "+openai.ModelsPath, r.serveModels)
	mux.HandleFunc(servicePrefix+"{service}", r.serve)
	mux.HandleFunc(servicePrefix+"{service}/{path...}", r.serve)
	mux.HandleFunc("/", func(w http.ResponseWriter, req *http.Request) {
		r.refuse(w, &job{}, contract.Refuse(contract.UnknownPath, "there is no %s %s", req.Method, req.URL.Path))
	})
	return mux
}

// serve handles one request: each step either continues or refuses immediately.
func (r *Router) serve(w http.ResponseWriter, req *http.Request) {
	if refusal := r.beginRequest(); refusal != nil {
		r.refuse(w, &job{}, refusal)
		return
	}
	defer r.endRequest()
	j, refusal := r.identify(req)
	if refusal == nil {
		w.Header().Set(idempotencyHeader, j.key)
		refusal = r.parseRequest(j, w, req)
	}
	if refusal == nil {
		refusal = r.reserve(req.Context(), j)
	}
	if refusal != nil {
		r.refuse(w, j, refusal)
		return
	}
	r.dispatch(w, req, j)
}

// refuse logs a refusal and writes it, with a Retry-After header where a retry may help.
func (r *Router) refuse(w http.ResponseWriter, j *job, refusal *contract.Refusal) {
	id := j.key
	w.Header().Set(contract.RequestIDHeader, id)
	name := ""
	if j.team != nil {
		name = j.team.Name
	}
	r.metrics.refused(refusal.Kind)
	r.log.Info().Str("id", id).Str("team", name).Str("kind", string(refusal.Kind)).
		Bool("not_run", refusal.Kind.Answer().NotRun).Str("why", refusal.Message).Msg("refused")
	refusal.Write(w, id)
}

// reserve reserves the maximum cost of the request and a place in the outbox for its charge.
func (r *Router) reserve(ctx context.Context, j *job) *contract.Refusal {
	if err := r.outbox.Admit(); err != nil {
		return contract.Refuse(contract.ChargeBacklog, "%v", err)
	}
	budget := j.team.Budget(j.service.Name)
	if j.maxTokens == 0 {
		j.reservation = grant.Reservation{Budget: budget}
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, min(j.remaining(), reserveTimeout))
	defer cancel()
	res, err := r.acquirer.Acquire(ctx, budget, j.maxTokens)
	if err != nil {
		r.outbox.Cancel()
		return budgetRefusal(budget, err)
	}
	j.reservation = res
	return nil
}

// Timeouts for acquiring tokens: in total, and for the store calls.
const (
	reserveTimeout = 5 * time.Second
	storeTimeout   = time.Second
)

func budgetRefusal(budget string, err error) *contract.Refusal {
	switch {
	case errors.Is(err, grant.ErrExhausted):
		return contract.Refuse(contract.BudgetExhausted, "budget %s has too few tokens left for this request", budget)
	case errors.Is(err, grant.ErrNoBudget):
		return contract.Refuse(contract.BudgetMissing, "there is no budget %q", budget)
	case errors.Is(err, grant.ErrFenced):
		return contract.Refuse(contract.Fenced, "this router was replaced")
	}
	return contract.Refuse(contract.BudgetUnreachable, "the tokens of budget %s cannot be reached now", budget)
}

// settle settles the reservation of a request and queues its charge. Unused tokens become
// available again.
func (r *Router) settle(j *job, o contract.Outcome) {
	if len(j.reservation.Parts) > 0 {
		r.holder.Settle(time.Now(), j.reservation, o.Billed())
	}
	if o.Billed() == 0 {
		r.outbox.Cancel()
		return
	}
	r.metrics.tokens.Add(int(o.Used))
	r.outbox.Put(ledger.Charge{
		ID: j.id(), Team: j.team.Name, Budget: j.reservation.Budget, Service: j.service.Name,
		Tokens: o.Used, Floor: r.outbox.Floor(j.team.Name), Unix: time.Now().Unix(),
	})
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (r *Router) serveModels(w http.ResponseWriter, req *http.Request) {
	j, refusal := r.identify(req)
	if refusal != nil {
		r.refuse(w, j, refusal)
		return
	}
	out := modelList{Object: "list", Data: []model{}}
	for _, sv := range j.snapshot.Document.Services {
		if !j.team.MayUse(sv.Name) {
			continue
		}
		for _, m := range sv.Models {
			out.Data = append(out.Data, model{ID: m, Object: "model", OwnedBy: "arbutusmill"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}
