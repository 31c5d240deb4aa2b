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

// order starts one waiter for each name, in turn, and returns them in the order in
// which they got the slot. A name is class letter and team: u, n or d.
func order(t *testing.T, q *Queue, names []string, pause time.Duration) []string {
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

// A pilot's check and a season's reviews wait for the same engine. The pilot must go
// first although the reviews came first.
func TestUrgentGoesFirst(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		got := order(t, NewQueue(1, 10), []string{"dA", "dA", "nB", "uC"}, 0)
		require.Equal(t, []string{"uC", "nB", "dA", "dA"}, got)
	})
}

// One team sends a flood. Another team's request of the same class must not wait
// behind all of it.
func TestFloodDoesNotStarveOthers(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		got := order(t, NewQueue(1, 10), []string{"nA", "nA", "nA", "nA", "nB"}, 0)
		require.Equal(t, []string{"nA", "nB", "nA", "nA", "nA"}, got)
	})
}

// The queue is full of work that can wait when urgent work arrives. The newest of
// the waiting work is refused at once, and the urgent work is not.
func TestUrgentShedsDeferrable(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		got := order(t, NewQueue(1, 3), []string{"dA", "dB", "dB", "uC"}, 0)
		require.Equal(t, []string{"dB!overloaded", "uC", "dA", "dB"}, got)
	})
}

// Deferrable work waits long behind a steady flow of normal work. After the ageing
// time it counts as normal, so it is served before normal work that came later.
func TestDeferrableAges(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		got := order(t, NewQueue(1, 10), []string{"dA", "nB", "nB"}, DefaultAgeAfter)
		require.Equal(t, "nB", got[0])
		require.Equal(t, "dA", got[1])
	})
}

// The wait would be longer than the request has. It is refused at once, with a true
// "not run", and not when its time is over.
func TestHopelessDeadlineIsRefusedAtOnce(t *testing.T) {
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

// Normal work fills an engine. A slot stays free for urgent work.
func TestSlotIsKeptForUrgent(t *testing.T) {
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

// Requests give up while slots are handed out. No slot may be lost by it.
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
