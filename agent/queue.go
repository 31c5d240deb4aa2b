package agent

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
)

// Queue gives an upstream's slots to requests: classes strictly in order, teams of
// a class in turn, and one slot in reserveShare kept for urgent work.
type Queue struct {
	slots    int
	reserved int
	limit    int
	ageAfter time.Duration
	now      func() time.Time

	mu      sync.Mutex
	running int
	classes [contract.ClassCount]classQueue
	// service is the average time that a request holds a slot.
	service time.Duration
	shed    int64
}

// reserveShare is the share of slots that only urgent requests may take: 1 in 8,
// at least one where there are two. Without it an urgent request that finds all
// slots taken by long deferrable work waits for one of them to end.
const reserveShare = 8

// DefaultAgeAfter is the wait after which deferrable work counts as normal, so that
// a steady flow of normal work does not hold it back for ever. Nothing ages into
// the urgent class.
const DefaultAgeAfter = 30 * time.Second

// waiter is one request in the queue.
type waiter struct {
	team  string
	since time.Time
	// ready gets nil when the slot is given, or the refusal of a request that
	// was shed.
	ready chan *contract.Refusal
}

// classQueue holds the waiters of one class, by team.
type classQueue struct {
	teams []string // in turn
	byTm  map[string][]*waiter
	size  int
}

// NewQueue returns a queue for slots requests at once and limit waiting ones for
// each class.
func NewQueue(slots, limit int) *Queue {
	q := &Queue{slots: slots, limit: limit, ageAfter: DefaultAgeAfter, now: time.Now}
	if slots > 1 {
		q.reserved = max(1, slots/reserveShare)
	}
	for i := range q.classes {
		q.classes[i].byTm = map[string][]*waiter{}
	}
	return q
}

// Acquire waits for a slot. It refuses at once when the class's queue is full or
// the wait cannot end before the timeout. The caller must call release once.
func (q *Queue) Acquire(ctx context.Context, class contract.Class, team string, timeout time.Duration) (release func(), refusal *contract.Refusal) {
	w, refusal := q.enter(class, team, timeout)
	if refusal != nil {
		return nil, refusal
	}
	if w == nil {
		return q.releaser(), nil
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case r := <-w.ready:
		if r != nil {
			return nil, r
		}
		return q.releaser(), nil
	case <-t.C:
	case <-ctx.Done():
	}
	return q.abandon(class, w)
}

// enter takes a free slot (nil waiter) or a place in the queue.
func (q *Queue) enter(class contract.Class, team string, timeout time.Duration) (*waiter, *contract.Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.free(class) && q.aheadLocked(class) == 0 {
		q.running++
		return nil, nil
	}
	if q.classes[class].size >= q.limit {
		return nil, contract.Refuse(contract.Overloaded, "the queue of class %s is full", class)
	}
	if q.totalLocked() >= q.limit && !q.shedLocked(class) {
		return nil, contract.Refuse(contract.Overloaded, "the queue is full")
	}
	if wait := q.expectLocked(class); wait > timeout {
		return nil, contract.Refuse(contract.DeadlineTooShort, "the wait would be about %s", wait.Round(time.Millisecond))
	}
	w := &waiter{team: team, since: q.now(), ready: make(chan *contract.Refusal, 1)}
	q.classes[class].push(w)
	return w, nil
}

// free reports whether the class may take a slot now.
func (q *Queue) free(class contract.Class) bool {
	if class == contract.Urgent {
		return q.running < q.slots
	}
	return q.running < q.slots-q.reserved
}

// aheadLocked counts the waiters that go before a new one of the class.
func (q *Queue) aheadLocked(class contract.Class) int {
	n := 0
	for c := contract.Urgent; c <= class; c++ {
		n += q.classes[c].size
	}
	return n
}

func (q *Queue) totalLocked() int { return q.aheadLocked(contract.ClassCount - 1) }

// expectLocked estimates the wait of a new request of the class.
func (q *Queue) expectLocked(class contract.Class) time.Duration {
	return q.service * time.Duration(q.aheadLocked(class)) / time.Duration(q.slots)
}

// shedLocked refuses the newest waiter of the lowest class below the given one, so
// that work that can wait makes room for work that cannot.
func (q *Queue) shedLocked(class contract.Class) bool {
	for c := contract.ClassCount - 1; c > class; c-- {
		if w := q.classes[c].popNewest(); w != nil {
			q.shed++
			w.ready <- contract.Refuse(contract.Overloaded, "made room for more urgent work")
			return true
		}
	}
	return false
}

// abandon takes a waiter out whose time is over. The slot may have been given at
// the same moment; then it is used or passed on.
func (q *Queue) abandon(class contract.Class, w *waiter) (func(), *contract.Refusal) {
	q.mu.Lock()
	for c := range q.classes {
		if q.classes[c].remove(w) {
			q.mu.Unlock()
			return nil, contract.Refuse(contract.DeadlineTooShort, "no slot of class %s came free in time", class)
		}
	}
	q.mu.Unlock()
	if r := <-w.ready; r != nil {
		return nil, r
	}
	q.releaser()()
	return nil, contract.Refuse(contract.DeadlineTooShort, "no slot of class %s came free in time", class)
}

func (q *Queue) releaser() func() {
	start := q.now()
	var once sync.Once
	return func() { once.Do(func() { q.release(q.now().Sub(start)) }) }
}

// serviceWeight is the weight of one request in the average service time.
const serviceWeight = 16

func (q *Queue) release(held time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if q.service == 0 {
		q.service = held
	}
	q.service += (held - q.service) / serviceWeight
	q.ageLocked()
	for c := contract.Urgent; c < contract.ClassCount; c++ {
		for q.free(c) {
			w := q.classes[c].pop()
			if w == nil {
				break
			}
			q.running++
			w.ready <- nil
		}
	}
}

// ageLocked moves deferrable waiters that have waited long to the normal class.
func (q *Queue) ageLocked() {
	from := &q.classes[contract.Deferrable]
	before := q.now().Add(-q.ageAfter)
	for _, w := range from.olderThan(before) {
		from.remove(w)
		q.classes[contract.Normal].push(w)
	}
}

// QueueState is a queue as dumps show it.
type QueueState struct {
	Slots     int            `json:"slots"`
	Running   int            `json:"running"`
	Waiting   map[string]int `json:"waiting"`
	Shed      int64          `json:"shed"`
	ServiceMS float64        `json:"service_ms"`
}

// State returns the queue's counts.
func (q *Queue) State() QueueState {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := QueueState{Slots: q.slots, Running: q.running, Waiting: map[string]int{}, Shed: q.shed,
		ServiceMS: float64(q.service) / float64(time.Millisecond)}
	for c := range q.classes {
		s.Waiting[contract.Class(c).String()] = q.classes[c].size
	}
	return s
}
