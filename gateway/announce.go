package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/member"
	"github.com/arbutusmill/arbutusmill/link"
	"github.com/arbutusmill/arbutusmill/prefill"
)

// silentFor is how long the process beside an engine is left alone after it did not answer.
const silentFor = 2 * time.Second

// announcer tells the processes beside engines of prompts that are sent there.
type announcer struct {
	members *member.Group
	links   *link.Pool
	timeout time.Duration

	mu sync.Mutex
	// silent are the addresses that did not answer, and until when they are left alone.
	silent map[string]time.Time
}

// ask implements pool.Pool's Ask.
func (a *announcer) ask(address string, what prefill.Announcement) (told prefill.Told, ok bool) {
	ok = a.call(address, link.MethodAnnounce, what, &told)
	return told, ok
}

// withdraw implements pool.Pool's Withdraw. Nobody waits for it.
func (a *announcer) withdraw(address string, what prefill.Announcement, told prefill.Told) {
	go a.call(address, link.MethodWithdraw, link.Withdrawal{Announcement: what, Told: told}, nil)
}

// call sends a message to the process beside an upstream and reports whether it was
// answered. Without an answer the choice goes by what this router knows itself.
func (a *announcer) call(address, method string, in, out any) bool {
	m, known := a.members.Beside(address)
	if !known || a.isSilent(m.Address) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.timeout)
	defer cancel()
	if a.links.Call(ctx, m.Address, method, in, out) != nil {
		a.setSilent(m.Address)
		return false
	}
	return true
}

func (a *announcer) isSilent(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.silent[address])
}

func (a *announcer) setSilent(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.silent == nil {
		a.silent = map[string]time.Time{}
	}
	a.silent[address] = time.Now().Add(silentFor)
}
