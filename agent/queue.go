package agent

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
)

// Queue assigns an upstream's slots to requests: classes in strict order of precedence,
// the teams of a class round-robin, and one slot in urgentSlotDivisor reserved for urgent
// work.
type Queue struct {
	slots    int
	reserved int
	limit    int
	ageAfter time.Duration
	now      func() time.Time

	mu      sync.Mutex
	running int
	classes [contract.ClassCount]classQueue
	// serviceTime is the average time that a request holds a slot.
	serviceTime time.Duration
	shed        int64
}

// urgentSlotDivisor determines the slots reserved for urgent requests: 1 in 8, and at least
// one if there are two or more. Without them an urgent request that finds all slots taken
// by long deferrable work waits for one of those requests to end.
const urgentSlotDivisor = 8

// DefaultAgeAfter is the wait after which deferrable work counts as normal, so that a
// steady flow of normal work does not starve it. No request ages into the urgent class.
const DefaultAgeAfter = 30 * time.Second

// waiter is one request in the queue.
type waiter struct {
	team  string
	since time.Time
	// ready receives nil when the waiter gets a slot, or the refusal if it is shed.
	ready chan *contract.Refusal
}

// classQueue holds the waiters of one class, by team.
type classQueue struct {
	teams  []string // in round-robin order
	byTeam map[string][]*waiter
	size   int
}

// NewQueue returns a queue with the given number of slots that admits up to limit waiting
// requests per class.
func NewQueue(slots, limit int) *Queue {
	q := &Queue{slots: slots, limit: limit, ageAfter: DefaultAgeAfter, now: time.Now}
	if slots > 1 {
		q.reserved = max(1, slots/urgentSlotDivisor)
	}
	for i := range q.classes {
		q.classes[i].byTeam = map[string][]*waiter{}
	}
	return q
}

// Acquire waits for a slot. It refuses immediately if the queue is full or the expected
// wait is longer than the timeout. The caller must call release once.
func (q *Queue) Acquire(ctx context.Context, class contract.Class, team string, timeout time.Duration) (release func(), refusal *contract.Refusal) {
	w, refusal := q.acquireOrEnqueue(class, team, timeout)
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

// acquireOrEnqueue takes a free slot and returns a nil waiter, or enqueues a waiter.
func (q *Queue) acquireOrEnqueue(class contract.Class, team string, timeout time.Duration) (*waiter, *contract.Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.slotFree(class) && q.aheadLocked(class) == 0 {
		q.running++
		return nil, nil
	}
	if q.classes[class].size >= q.limit {
		return nil, contract.Refuse(contract.Overloaded, "the queue of class %s is full", class)
	}
	if q.totalLocked() >= q.limit && !q.shedLocked(class) {
		return nil, contract.Refuse(contract.Overloaded, "the queue is full")
	}
	if wait := q.expectedWaitLocked(class); wait > timeout {
		return nil, contract.Refuse(contract.DeadlineTooShort, "the wait would be about %s", wait.Round(time.Millisecond))
	}
	w := &waiter{team: team, since: q.now(), ready: make(chan *contract.Refusal, 1)}
	q.classes[class].push(w)
	return w, nil
}

// slotFree reports whether a request of the class may take a slot now.
func (q *Queue) slotFree(class contract.Class) bool {
	if class == contract.Urgent {
		return q.running < q.slots
	}
	return q.running < q.slots-q.reserved
}

// aheadLocked returns the number of waiters ahead of a new one of the class.
func (q *Queue) aheadLocked(class contract.Class) int {
	n := 0
	for c := contract.Urgent; c <= class; c++ {
		n += q.classes[c].size
	}
	return n
}

func (q *Queue) totalLocked() int { return q.aheadLocked(contract.ClassCount - 1) }

// expectedWaitLocked estimates the wait of a new request of the class.
func (q *Queue) expectedWaitLocked(class contract.Class) time.Duration {
	return q.serviceTime * time.Duration(q.aheadLocked(class)) / time.Duration(q.slots)
}

// shedLocked refuses the newest waiter of the lowest class below the given one, in favour
// of more urgent work. It reports whether there was one.
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

// abandon removes a waiter whose timeout expired or whose caller disconnected. If it got a
// slot at the same moment, the slot is released.
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

// serviceTimeWeight is the weight of one request in the average service time.
const serviceTimeWeight = 16

func (q *Queue) release(held time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if q.serviceTime == 0 {
		q.serviceTime = held
	}
	q.serviceTime += (held - q.serviceTime) / serviceTimeWeight
	q.ageLocked()
	for c := contract.Urgent; c < contract.ClassCount; c++ {
		for q.slotFree(c) {
			w := q.classes[c].pop()
			if w == nil {
				break
			}
			q.running++
			w.ready <- nil
		}
	}
}

// ageLocked moves deferrable waiters that have waited for ageAfter to the normal class.
func (q *Queue) ageLocked() {
	from := &q.classes[contract.Deferrable]
	before := q.now().Add(-q.ageAfter)
	for _, w := range from.olderThan(before) {
		from.remove(w)
		q.classes[contract.Normal].push(w)
	}
}

// QueueState is a summary of a queue for debug dumps.
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
		ServiceMS: float64(q.serviceTime) / float64(time.Millisecond)}
	for c := range q.classes {
		s.Waiting[contract.Class(c).String()] = q.classes[c].size
	}
	return s
}
