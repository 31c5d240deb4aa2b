package virtualtime_test

import (
	"sync"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/coord/virtualtime"
	"github.com/stretchr/testify/require"
)

// many lets 16 goroutines of one bubble do the same thing at the same virtual moments.
func many(t *testing.T, do func()) {
	const bubbles, goroutines, times = 10, 16, 2000
	for range bubbles {
		virtualtime.Test(t, func(t *testing.T) {
			var wg sync.WaitGroup
			for range goroutines {
				wg.Go(func() {
					for range times {
						do()
					}
				})
			}
			wg.Wait()
		})
	}
}

// Guards against a test process that the race detector ends while timers of one moment run.
func TestTimersOfOneMoment(t *testing.T) {
	many(t, func() {
		timer := time.NewTimer(time.Millisecond)
		time.Sleep(time.Millisecond)
		select {
		case <-timer.C:
		default:
		}
	})
}

// Guards against the same end where a timer is due as soon as it is set.
func TestTimersDueAtOnce(t *testing.T) {
	many(t, func() {
		select {
		case <-time.NewTimer(0).C:
		default:
		}
		done := make(chan struct{})
		time.AfterFunc(0, func() { close(done) })
		<-done
	})
}

func TestClockIsVirtual(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		began := time.Now()
		time.Sleep(time.Hour)
		require.Equal(t, time.Hour, time.Since(began))
	})
}
