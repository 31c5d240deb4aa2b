package localfleet

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/account"
	"github.com/arbutusmill/arbutusmill/platform/standin"
)

func (s *show) scenes() []scene {
	return []scene{
		{"a prompt is streamed and billed", s.stream, "-log FILE, then arbutusmill explain show-1 FILE"},
		{"a call that must not run twice", s.runOnce, "arbutusmill explain alert-1 FILE"},
		{"a team that has used up its tokens is refused", s.exhaust, "arbutusmill explain skipper-2 FILE"},
		{"a data centre is emptied and taken back", s.empty, "datacentre_emptied in FILE"},
		{"a router is cut off from the store and goes on", s.cutOff, `"event":"lost" in FILE, arbutusmill_followed_age_seconds`},
		{"all processes are lost at once", s.loseAll, "tokens_moved and lender_settled in FILE"},
		{"the bill adds up", s.bill, "-keep, then arbutusmill dump ADMIN-ADDRESS"},
	}
}

func (s *show) stream(ctx context.Context) (string, error) {
	a, err := s.served(ctx, s.f.routers()[0], "harbour")
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d events, the first after %s; team %s is charged %d tokens of %d",
		a.events, a.first.Round(time.Millisecond), pilots, s.answered, pilotsPrepaid), nil
}

// runOnce loses the answer to an alert: nobody can know then whether it went out, so it is not sent
// again.
func (s *show) runOnce(ctx context.Context) (string, error) {
	q := question{id: "alert-1", path: "/alert/surge", key: pilotsKey}
	s.setAlerts(standin.LoseAnswer)
	a, err := s.f.routers()[1].ask(ctx, q)
	s.setAlerts(standin.Serve)
	if err != nil {
		return "", err
	}
	runs := 0
	for _, u := range s.f.AlertServers {
		runs += u.Runs(q.id)
	}
	if a.status != http.StatusBadGateway || runs != 1 {
		return "", Error.New("status %d after %d runs", a.status, runs)
	}
	return fmt.Sprintf("its answer was lost; it ran once, and the caller hears that the outcome is unknown (%d)", a.status), nil
}

func (s *show) setAlerts(m standin.Mode) {
	for _, u := range s.f.AlertServers {
		u.SetMode(m)
	}
}

func (s *show) exhaust(ctx context.Context) (string, error) {
	ask := func(n int) (answer, error) {
		q := question{id: fmt.Sprint("skipper-", n), path: "/chat/tides", key: skippersKey, prompt: promptTokens, topic: "skerry"}
		return s.f.routers()[n%len(datacentres)].ask(ctx, q)
	}
	first, err := ask(1)
	if err != nil {
		return "", err
	}
	time.Sleep(inForce) // until what the first one left is back from its router
	second, err := ask(2)
	if err != nil {
		return "", err
	}
	if first.status != http.StatusOK || second.status != http.StatusPaymentRequired {
		return "", Error.New("status %d, then %d: %s", first.status, second.status, second.body)
	}
	return fmt.Sprintf("of %d tokens the first prompt took %d, the second one is refused at once (%d)",
		skippersPrepaid, promptTokens+first.events*tokensPerEvent, second.status), nil
}

// topics are what the prompts of some scenes are about: enough for every engine to get some.
const topics = 9

// spread asks prompts on different topics of a kind through all routers, and returns how many ran
// at the first data centre's engine.
func (s *show) spread(ctx context.Context, kind string) (here int, err error) {
	before := len(s.f.Engines[0].Seen())
	for n := range topics {
		if _, err := s.served(ctx, s.f.routers()[n%len(datacentres)], fmt.Sprint(kind, "-", n)); err != nil {
			return 0, err
		}
	}
	return len(s.f.Engines[0].Seen()) - before, nil
}

func (s *show) empty(ctx context.Context) (string, error) {
	if err := s.f.Store.Empty(datacentres[0]); err != nil {
		return "", err
	}
	time.Sleep(inForce)
	during, err := s.spread(ctx, "evening")
	if err != nil {
		return "", err
	}
	if err := s.f.Store.EndEmptying(datacentres[0]); err != nil {
		return "", err
	}
	time.Sleep(inForce)
	after, err := s.spread(ctx, "morning")
	if err != nil {
		return "", err
	}
	if during != 0 || after == 0 {
		return "", Error.New("its engine got %d prompts while emptied, %d after", during, after)
	}
	return fmt.Sprintf("%s got none of %d prompts, then %d of %d; all were answered", datacentres[0], topics, after, topics), nil
}

func (s *show) cutOff(ctx context.Context) (string, error) {
	router := s.f.routers()[1]
	router.link.cutOff(s.f.StoreAddress)
	defer router.link.reconnect(s.f.StoreAddress)
	for n := range topics {
		if _, err := s.served(ctx, router, fmt.Sprint("night-", n)); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%s answered %d prompts with tokens that lenders hold", router.name, topics), nil
}

func (s *show) loseAll(ctx context.Context) (string, error) {
	began := time.Now()
	s.f.KillAll()
	if err := s.f.WaitReady(ctx); err != nil {
		return "", err
	}
	ready := time.Since(began)
	if _, err := s.served(ctx, s.f.routers()[2], "harbour"); err != nil {
		return "", err
	}
	return fmt.Sprintf("ready again after %s; nothing is kept on a VM, and the next prompt is answered", ready.Round(time.Millisecond)), nil
}

// billWait bounds the wait for the last reports of use, billPause is the pause between two looks.
const (
	billWait  = 5 * time.Second
	billPause = 50 * time.Millisecond
)

// bill compares the account with what callers got. What dead processes held available is spent by
// nobody any more, since nobody can prove that they had not.
func (s *show) bill(ctx context.Context) (string, error) {
	deadline := time.Now().Add(billWait)
	for {
		a, err := s.f.Book().Get(ctx, pilots)
		if err == nil {
			err = a.Check()
		}
		if err != nil {
			return "", err
		}
		left := a.Free() + s.held(a)
		switch spent := pilotsPrepaid - left; {
		case spent >= s.answered:
			return fmt.Sprintf("of %d tokens %d were answered, %d are lost with the processes that died, %d are left",
				pilotsPrepaid, s.answered, spent-s.answered, left), nil
		case time.Now().After(deadline):
			return "", Error.New("answered %d tokens, but spent only %d of %d", s.answered, spent, pilotsPrepaid)
		}
		time.Sleep(billPause)
	}
}

// held is what the processes that run now may still spend.
func (s *show) held(a *account.Account) (tokens int64) {
	lives := s.f.lives()
	for life, row := range a.Rows {
		if lives[life] {
			tokens += row.Balance()
		}
	}
	return tokens
}
