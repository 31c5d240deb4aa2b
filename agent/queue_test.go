package agent

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusmill/arbutusmill/contract"
	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
)

// acquireOrder starts one waiter for each name, in the given order, and returns the names in
// the order in which the waiters got the slot. A name is a class letter (u, n or d) and a
// team.
func acquireOrder(t *testing.T, q *Queue, names []string, pause time.Duration) []string {
	classes := map[byte]contract.Class{'u': contract.Urgent, 'n': contract.Normal, 'd': contract.Deferrable}
	hold, refusal := q.Acquire(t.Context(), contract.Urgent, "holder", time.Hour)
	require.Nil(t, refusal)
	got := make(chan string, len(names))
	for _, name := range names {
		go func() {
			release, refusal := q.Acquire(context.Background(), classes[name[0]], name[1:], time.Hour)
			if refusal != nil {
				got <- name + "!" + string(refusal.Kind)
				return
			}
			got <- name
			release()
		}()
		synctest.Wait()
		time.Sleep(pause)
	}
	hold()
	var out []string
	for range names {
		out = append(out, <-got)
	}
	return out
}

// Guards against urgent work that waits behind less urgent work queued before it.
func TestUrgentGoesFirst(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		got := acquireOrder(t, NewQueue(1, 10), []string{"dA", "dA", "nB", "uC"}, 0)
		require.Equal(t, []string{"uC", "nB", "dA", "dA"}, got)
	})
}

// Guards against starvation by one team: it queues many requests, and another team's later
// request of the same class must not wait behind all of them.
func TestFloodDoesNotStarveOthers(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		got := acquireOrder(t, NewQueue(1, 10), []string{"nA", "nA", "nA", "nA", "nB"}, 0)
		require.Equal(t, []string{"nA", "nB", "nA", "nA", "nA"}, got)
	})
}

// Guards against refusing urgent work because the queue is full of deferrable work. The
// newest deferrable request is refused immediately, and the urgent one is queued.
func TestUrgentShedsDeferrable(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		got := acquireOrder(t, NewQueue(1, 3), []string{"dA", "dB", "dB", "uC"}, 0)
		require.Equal(t, []string{"dB!overloaded", "uC", "dA", "dB"}, got)
	})
}

// Guards against starvation of deferrable work by a steady flow of normal work. After
// DefaultAgeAfter it counts as normal, so it is served before normal work queued later.
func TestDeferrableAges(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		got := acquireOrder(t, NewQueue(1, 10), []string{"dA", "nB", "nB"}, DefaultAgeAfter)
		require.Equal(t, "nB", got[0])
		require.Equal(t, "dA", got[1])
	})
}

// Guards against queueing a request until its timeout although the expected wait is longer.
// It must be refused as not run immediately.
func TestTooShortDeadlineIsRefusedAtOnce(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		q := NewQueue(1, 10)
		release, _ := q.Acquire(t.Context(), contract.Normal, "A", time.Hour)
		time.Sleep(10 * time.Second)
		release() // the average is 10 s now
		release, _ = q.Acquire(t.Context(), contract.Normal, "A", time.Hour)
		go func() { _, _ = q.Acquire(context.Background(), contract.Normal, "A", time.Hour) }()
		synctest.Wait()
		start := time.Now()
		_, refusal := q.Acquire(t.Context(), contract.Normal, "B", time.Second)
		require.Equal(t, contract.DeadlineTooShort, refusal.Kind)
		require.Zero(t, time.Since(start))
		release()
		synctest.Wait()
	})
}

// Guards against normal work that takes all slots of an engine. One slot stays free for
// urgent work.
func TestSlotIsReservedForUrgent(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		q := NewQueue(2, 10)
		_, refusal := q.Acquire(t.Context(), contract.Normal, "A", time.Hour)
		require.Nil(t, refusal)
		_, refusal = q.Acquire(t.Context(), contract.Normal, "A", time.Second)
		require.Equal(t, contract.DeadlineTooShort, refusal.Kind)
		_, refusal = q.Acquire(t.Context(), contract.Urgent, "A", time.Second)
		require.Nil(t, refusal)
	})
}

// Guards against lost slots: a request times out at the moment when it gets a slot.
func TestAbandonedWaitersLoseNoSlot(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		q := NewQueue(2, 100)
		for i := range 50 {
			go func() {
				release, refusal := q.Acquire(context.Background(), contract.Class(i%3), fmt.Sprint(i%5), time.Duration(i%7+1)*time.Second)
				if refusal == nil {
					time.Sleep(time.Second)
					release()
				}
			}()
		}
		time.Sleep(time.Hour)
		s := q.State()
		require.Zero(t, s.Running)
		require.Equal(t, map[string]int{"urgent": 0, "normal": 0, "deferrable": 0}, s.Waiting)
	})
}
