package gateway

import (
	"context"
	"maps"
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
	// notes are to be sent; see run.
	notes chan note

	mu sync.Mutex
	// silent are the addresses that did not answer, and until when they are left alone.
	silent map[string]time.Time
}

// note is one message that nobody waits for, to the process beside the upstream at an address.
type note struct {
	address, method string
	message         any
	// answer takes the answer, and answered is called then; both may be nil.
	answer   any
	answered func()
}

// mostNotes bounds those that wait to be sent. One that finds no room is dropped: the process
// beside the engine then believes for a moment that it has a prompt more to read, or a part that
// another engine has read is read once more.
const mostNotes = 256

func newAnnouncer(members *member.Group, links *link.Pool, timeout time.Duration) *announcer {
	return &announcer{members: members, links: links, timeout: timeout, notes: make(chan note, mostNotes),
		silent: map[string]time.Time{}}
}

// run sends notes until the context ends.
func (a *announcer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-a.notes:
			if a.call(n.address, n.method, n.message, n.answer) && n.answered != nil {
				n.answered()
			}
		}
	}
}

// ask implements pool.Pool's Ask.
func (a *announcer) ask(address string, what prefill.Announcement) (told prefill.AnnounceReply, ok bool) {
	ok = a.call(address, link.MethodAnnounce, what, &told)
	return told, ok
}

// withdraw implements pool.Pool's Withdraw. Nobody waits for it.
func (a *announcer) withdraw(address string, what prefill.Announcement, told prefill.AnnounceReply) {
	a.send(note{address: address, method: link.MethodWithdraw, message: link.Withdrawal{Announcement: what, Told: told}})
}

// readElsewhere implements pool.Pool's ReadElsewhere. Nobody waits for it.
func (a *announcer) readElsewhere(address string, what prefill.RemotePrefill) {
	a.send(note{address: address, method: link.MethodReadElsewhere, message: what})
}

func (a *announcer) send(n note) {
	select {
	case a.notes <- n:
	default: // see mostNotes
	}
}

// known reports whether there is a process beside the upstream at an address.
func (a *announcer) known(address string) bool {
	_, known := a.members.ByUpstream(address)
	return known
}

// call sends a message to the process beside an upstream and reports whether it was
// answered. Without an answer the choice goes by what this router knows itself.
func (a *announcer) call(address, method string, in, out any) bool {
	m, known := a.members.ByUpstream(address)
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
	now := time.Now()
	maps.DeleteFunc(a.silent, func(_ string, until time.Time) bool { return now.After(until) })
	a.silent[address] = now.Add(silentFor)
}
